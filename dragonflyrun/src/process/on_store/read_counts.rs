//! Counts what reads of the store return and what of it is discarded.
//!
//! All processes share the store's rate of reading. A read whose answer is given up has cost that
//! rate as much as one whose answer is used, so the two are counted apart
//! (`docs/incidents/congested-reads.md`).

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::time::Instant;

use crate::{
    port::{ReadError, StoreRecord, Topic},
    process::Counters,
    utils::{HashMap, lock},
};

/// Minimum time between two log lines about the same topic.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Returns the name of a topic in metrics.
pub(super) const fn topic_name(topic: Topic) -> &'static str {
    match topic {
        Topic::Operator => "operator",
        Topic::Jobs => "jobs",
        Topic::Workers => "workers",
        Topic::Orders(_) => "orders",
    }
}

/// Returns the name of a topic in log lines, the same as in `store_lost`.
const fn logged_topic(topic: Topic) -> &'static str {
    match topic {
        Topic::Operator => "operators",
        topic => topic_name(topic),
    }
}

/// Why the answer to a read was not used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Discard {
    /// The answer had not started to arrive within the read's time limit.
    Timeout,
    /// The read failed before its time limit: it was refused, or not sent.
    Refused,
    /// The answer started to arrive, but not all of it did.
    Cut,
    /// The caller gave the read up.
    Dropped,
}

impl Discard {
    const fn name(self) -> &'static str {
        match self {
            Self::Timeout => "timeout",
            Self::Refused => "refused",
            Self::Cut => "cut",
            Self::Dropped => "dropped",
        }
    }
}

/// The reads of one topic since the last log line was due.
#[derive(Debug)]
struct Tally {
    since: Instant,
    reads: u64,
    failed: u64,
    /// How many of the failed reads were refused, which costs the store little.
    refused: u64,
    dropped: u64,
    answered_bytes: u64,
    asked_bytes: u64,
}

impl Tally {
    fn new() -> Self {
        Self {
            since: Instant::now(),
            reads: 0,
            failed: 0,
            refused: 0,
            dropped: 0,
            answered_bytes: 0,
            asked_bytes: 0,
        }
    }

    /// Logs what was counted if a line is due and anything was discarded, and starts again.
    fn log_if_due(&mut self, topic: Topic) {
        let over = self.since.elapsed();
        if over < LOG_INTERVAL {
            return;
        }
        let tally = std::mem::replace(self, Self::new());
        if tally.failed + tally.dropped == 0 {
            return;
        }
        log::info!(
            what = logged_topic(topic),
            over_ms = over.as_millis() as u64,
            reads = tally.reads,
            failed = tally.failed,
            refused = tally.refused,
            dropped = tally.dropped,
            answered_bytes = tally.answered_bytes,
            asked_bytes = tally.asked_bytes;
            "reads_discarded"
        );
    }
}

/// Counts the reads of one process.
pub(super) struct ReadCounts {
    counters: Arc<Counters>,
    tallies: Mutex<HashMap<&'static str, Tally>>,
}

impl ReadCounts {
    /// Returns counts of zero.
    pub(super) fn new(counters: Arc<Counters>) -> Self {
        Self {
            counters,
            tallies: Mutex::default(),
        }
    }

    /// Counts a read that is about to be sent. `asked_bytes` is the size that the answer may have,
    /// 0 if the call has no limit or serves only to show that the store answers.
    pub(super) fn start(
        &self,
        call: &'static str,
        topic: Topic,
        asked_bytes: usize,
    ) -> PendingRead<'_> {
        self.tally(topic, |tally| {
            tally.reads += 1;
            tally.asked_bytes += asked_bytes as u64;
        });
        PendingRead {
            counts: self,
            call,
            topic,
            asked_bytes,
            sent_at: Instant::now(),
            wait: Duration::ZERO,
            is_settled: false,
        }
    }

    fn tally(&self, topic: Topic, count: impl FnOnce(&mut Tally)) {
        let mut tallies = lock(&self.tallies);
        let tally = tallies.entry(topic_name(topic)).or_insert_with(Tally::new);
        count(tally);
        tally.log_if_due(topic);
    }
}

/// A read that has not been answered in full. If it is dropped, its caller has given it up.
pub(super) struct PendingRead<'a> {
    counts: &'a ReadCounts,
    call: &'static str,
    topic: Topic,
    asked_bytes: usize,
    sent_at: Instant,
    wait: Duration,
    is_settled: bool,
}

impl PendingRead<'_> {
    /// Sets how long the store may wait for a first record. A read that is given up within this
    /// time has cost the store nothing, so it isn't counted as discarded.
    pub(super) fn waiting(mut self, wait: Duration) -> Self {
        self.wait = wait;
        self
    }

    /// Counts an answer that has arrived in full.
    pub(super) fn answered(mut self, records: &[StoreRecord]) {
        self.is_settled = true;
        let of = |r: &StoreRecord| r.key.len() + r.value.as_ref().map_or(0, Vec::len);
        let bytes = records.iter().map(of).sum::<usize>() as u64;
        let topic = topic_name(self.topic);
        self.counts.counters.read_bytes(self.call, topic, bytes);
        self.counts
            .tally(self.topic, |tally| tally.answered_bytes += bytes);
    }

    /// Counts a read that failed before its answer started to arrive. `within` was the time limit
    /// for that.
    pub(super) fn failed(mut self, error: &ReadError, within: Duration) {
        self.is_settled = true;
        // The store has answered that the records no longer exist.
        if matches!(error, ReadError::Dropped(_)) {
            return;
        }
        let is_late = self.sent_at.elapsed() >= within;
        self.discard(if is_late {
            Discard::Timeout
        } else {
            Discard::Refused
        });
    }

    /// Counts a read whose answer started to arrive and did not arrive in full.
    pub(super) fn cut(mut self) {
        self.is_settled = true;
        self.discard(Discard::Cut);
    }

    fn discard(&self, why: Discard) {
        let topic = topic_name(self.topic);
        let bytes = self.asked_bytes as u64;
        self.counts
            .counters
            .read_discarded(self.call, topic, why.name(), bytes);
        self.counts.tally(self.topic, |tally| match why {
            Discard::Dropped => tally.dropped += 1,
            _ => {
                tally.failed += 1;
                tally.refused += u64::from(why == Discard::Refused);
            }
        });
    }
}

impl Drop for PendingRead<'_> {
    fn drop(&mut self) {
        let is_probe = self.call == "read" && self.asked_bytes == 0;
        if !self.is_settled && !is_probe && self.sent_at.elapsed() >= self.wait {
            self.discard(Discard::Dropped);
        }
    }
}
