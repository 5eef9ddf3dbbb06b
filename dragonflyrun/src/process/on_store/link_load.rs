//! Tracks how much data the process is sending over its host's link.
//!
//! An entry with a slow link may place many jobs with large payloads in one planning pass, and the
//! orders for all their workers share the link. With time limits that ignore this, all the appends
//! would time out at once, be sent again from the beginning, and never arrive.

use std::{
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

/// How long a transfer may take, as a multiple of the time that the data needs on an idle link:
/// other traffic shares the link, and lost packets are sent again.
const LINK_TIME_FACTOR: u32 = 2;

/// The transfers in progress.
#[derive(Debug)]
pub(super) struct LinkLoad {
    bytes_per_s: Option<u64>,
    bytes: AtomicUsize,
}

/// A transfer, which counts towards the load until it is dropped.
#[derive(Debug)]
pub(super) struct Transfer<'a> {
    load: &'a LinkLoad,
    bytes: usize,
}

impl LinkLoad {
    /// Returns the load of an idle link. If its speed is unknown, transfers get no extra time.
    pub(super) fn new(bytes_per_s: Option<u64>) -> Self {
        Self {
            bytes_per_s,
            bytes: AtomicUsize::new(0),
        }
    }

    /// Adds a transfer to the load.
    pub(super) fn begin(&self, bytes: usize) -> Transfer<'_> {
        self.bytes.fetch_add(bytes, Ordering::Relaxed);
        Transfer { load: self, bytes }
    }

    /// Returns the time limit for all transfers in progress together.
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
