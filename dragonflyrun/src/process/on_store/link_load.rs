//! What a process sends over its host's link at once.
//!
//! Load pattern answered here: many jobs of large payloads are placed in one pass by an entry with a slow
//! link. The orders for all their workers share the link; with a bound that does not count that, all of
//! them are given up at once, sent again from the beginning, and never arrive.

use std::{
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

/// How many times its time alone on the link a transfer may take: other traffic shares the link, and lost
/// packets are sent again.
const LINK_TIME_FACTOR: u32 = 2;

/// The transfers under way.
#[derive(Debug)]
pub(super) struct LinkLoad {
    bytes_per_s: Option<u64>,
    bytes: AtomicUsize,
}

/// A transfer; it counts until it is dropped.
#[derive(Debug)]
pub(super) struct Transfer<'a> {
    load: &'a LinkLoad,
    bytes: usize,
}

impl LinkLoad {
    /// Returns the load of an idle link; one of unknown speed takes no time.
    pub(super) fn new(bytes_per_s: Option<u64>) -> Self {
        Self {
            bytes_per_s,
            bytes: AtomicUsize::new(0),
        }
    }

    /// Begins a transfer.
    pub(super) fn begin(&self, bytes: usize) -> Transfer<'_> {
        self.bytes.fetch_add(bytes, Ordering::Relaxed);
        Transfer { load: self, bytes }
    }

    /// Returns how long all that is under way may take.
    pub(super) fn time_limit(&self) -> Duration {
        let bytes = self.bytes.load(Ordering::Relaxed) as f64;
        let rate = self.bytes_per_s.filter(|rate| *rate > 0);
        rate.map_or(Duration::ZERO, |rate| {
            Duration::from_secs_f64(bytes / rate as f64) * LINK_TIME_FACTOR
        })
    }
}

impl Drop for Transfer<'_> {
    fn drop(&mut self) {
        self.load.bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
