//! Whether the store is reachable, as far as an entry can tell.
//!
//! The store may be down, or may refuse this host while it serves others. If the entry sent a caller's
//! record then, the caller might never learn the outcome and could not submit its job elsewhere. A
//! caller that is refused before anything is sent has its whole time left for another entry.

use std::time::{Duration, Instant};

/// Time without an answer, while reads fail, up to which the store still counts as reachable: a short
/// refusal isn't an outage.
const MAX_FAILING_SILENCE: Duration = Duration::from_millis(300);

/// Maximum age of an answer that proves that the store is reachable now.
const RECENT_ANSWER_AGE: Duration = Duration::from_millis(100);

/// Time without an answer after which the store counts as unreachable although no read has failed:
/// the longest wait of a read for new records, and the time for an answer on another connection.
const MAX_SILENCE: Duration = Duration::from_millis(1_300);

/// Minimum time after which refused callers retry: a short outage ends within it.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Maximum time after which refused callers retry: possibly only this host is cut off, and other
/// entries would serve them.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Time added to `MAX_SILENCE`, as a multiple of the store's usual delay.
const SILENCE_STORE_DELAYS: u32 = 4;

/// The recent results of an entry's calls to the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreReachability {
    /// When a call was last answered.
    answered: Option<Instant>,
    /// Whether a read has failed since then.
    failing: bool,
    /// Whether since then an append has timed out while no call was answered for the same time.
    suspect: bool,
}

impl StoreReachability {
    /// Records that a call was answered.
    pub fn answered(&mut self, now: Instant) {
        *self = Self {
            answered: Some(now),
            failing: false,
            suspect: false,
        };
    }

    /// Records that a read had no answer or was refused.
    pub fn read_failed(&mut self) {
        self.failing = true;
    }

    /// Records that an append had no answer within the time `within`.
    pub fn append_unanswered(&mut self, now: Instant, within: Duration) {
        self.suspect |= self.silence(now) >= within;
    }

    /// Returns whether a record sent now would most likely be refused or have an unknown outcome.
    /// `delay` is the time that the store usually takes to answer.
    pub fn is_unreachable(&self, now: Instant, delay: Duration) -> bool {
        let silence = self.silence(now);
        let refused = self.failing && silence > MAX_FAILING_SILENCE;
        let silent = silence > MAX_SILENCE + delay * SILENCE_STORE_DELAYS;
        self.suspect || refused || silent
    }

    /// Returns the time after which a refused caller should retry. An outage is expected to continue
    /// for as long as it has lasted. Callers retry only a few times and must not use up their attempts
    /// during the outage.
    pub fn retry_after(&self, now: Instant) -> Duration {
        self.silence(now).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Returns whether the store has answered so recently that it counts as reachable. `delay` is the
    /// time that the store usually takes to answer.
    pub fn is_recent(&self, now: Instant, delay: Duration) -> bool {
        self.silence(now) < RECENT_ANSWER_AGE + delay
    }

    fn silence(&self, now: Instant) -> Duration {
        self.answered.map_or(Duration::MAX, |answered| {
            now.saturating_duration_since(answered)
        })
    }
}
