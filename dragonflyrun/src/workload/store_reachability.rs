//! Whether the store is away, as far as an entry can tell.
//!
//! Load pattern answered here: the store is down, or turns this host away while it serves others. A caller
//! whose record is sent then may never hear what became of it, and cannot hand its job in again
//! elsewhere; refused before anything is sent, it has all its time left for another entry.

use std::time::{Duration, Instant};

/// Silence that is bridged while reads fail: a store that refuses for a moment is not away.
const MAX_FAILING_SILENCE: Duration = Duration::from_millis(300);

/// Age up to which an answer shows that the store can be reached now.
const RECENT_ANSWER_AGE: Duration = Duration::from_millis(100);

/// Silence of the store after which it is away though no read has failed: the longest wait for news,
/// and time for an answer on another connection.
const MAX_SILENCE: Duration = Duration::from_millis(1_300);

/// When callers come back after a refusal at the earliest: the time in which a short outage ends.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// When they come back at the latest: only this host may be cut off, and others would serve them.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// How many of its usual delays the store may be silent beside that.
const SILENCE_STORE_DELAYS: u32 = 4;

/// What an entry has heard of the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreReachability {
    /// When a call was last answered.
    answered: Option<Instant>,
    /// Whether a read has failed since.
    failing: bool,
    /// Whether an append has run out of time since, and no read was answered for as long.
    suspect: bool,
}

impl StoreReachability {
    /// Takes note of an answer.
    pub fn answered(&mut self, now: Instant) {
        *self = Self {
            answered: Some(now),
            failing: false,
            suspect: false,
        };
    }

    /// Takes note of a read without an answer, or that was refused.
    pub fn read_failed(&mut self) {
        self.failing = true;
    }

    /// Takes note of an append that had no answer for `within`.
    pub fn append_unanswered(&mut self, now: Instant, within: Duration) {
        self.suspect |= self.silence(now) >= within;
    }

    /// Returns whether a record that is sent now would most likely be in doubt or refused, where the
    /// store usually takes `delay` for an answer.
    pub fn is_unreachable(&self, now: Instant, delay: Duration) -> bool {
        let silence = self.silence(now);
        let refused = self.failing && silence > MAX_FAILING_SILENCE;
        let silent = silence > MAX_SILENCE + delay * SILENCE_STORE_DELAYS;
        self.suspect || refused || silent
    }

    /// Returns when a caller that is refused should come back: an outage is expected to last as long again
    /// as it has lasted. Callers try a few times only, and must not use up their tries while it lasts.
    pub fn retry_after(&self, now: Instant) -> Duration {
        self.silence(now).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Returns whether the store has answered a moment ago.
    pub fn is_recent(&self, now: Instant, delay: Duration) -> bool {
        self.silence(now) < RECENT_ANSWER_AGE + delay
    }

    fn silence(&self, now: Instant) -> Duration {
        self.answered.map_or(Duration::MAX, |answered| {
            now.saturating_duration_since(answered)
        })
    }
}
