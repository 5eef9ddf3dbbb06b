//! Reads one partition without being held up by a connection that has gone silent, and without
//! making a congested store do its work twice.
//!
//! Open connections to the store sometimes go silent while new ones work. A read spends most of
//! its time waiting for new records, so a silent connection is noticed only once the answer is
//! overdue. A second read is then sent on another connection, and the first answer counts: a
//! hedged request (Dean and Barroso, "The Tail at Scale", CACM 2013). An answer that has started to
//! arrive is not overdue, however long the rest takes: a second copy would take half of the link
//! from the first.
//!
//! A read can also be late because all reads share the store's rate. The store does the work of a
//! read whether or not its client still waits, so reads that are given up and sent again would keep
//! the store congested for good (`docs/incidents/congested-reads.md`). Therefore:
//!
//! - A read that is late is reported as failed, but kept. Its answer counts whenever it arrives, so
//!   that the store's work is not lost, until the read is so old that its connection must be silent.
//! - The reads beside it ask for no more than one record.
//! - Hedges are limited to a share of the reads that were answered.
//!
//! After a failed read the next one does not wait for new records. It shows at once that the store
//! is back, whereas a waiting read on a store without new records would show that only at the end
//! of its wait.

use std::{collections::VecDeque, mem::take, sync::Arc, time::Duration};

use crate::{
    port::{Page, PageRequest, Partition, ReadError, Store},
    process::on_store::{
        BootTime,
        pending_read::{MAX_READ_AGE, PendingRead},
    },
};

/// Maximum size of a page in bytes: a few orders or plans, or a single large record. While all
/// hosts catch up at once, each waits for a page of every other one.
const MAX_PAGE_BYTES: usize = 128 << 10;

/// Maximum size in bytes of a page that is read only in case another one doesn't arrive: one record.
const MIN_PAGE_BYTES: usize = 1 << 10;

/// Time beyond its wait after which a read is reported as failed.
const READ_LIMIT: Duration = Duration::from_millis(900);

/// Number of late reads that are kept. With a probe each 0.8 s, the answer to one counts for 2 s.
const MAX_LATE_READS: usize = 3;

/// Minimum time beyond its wait after which an answer is overdue.
const MIN_OVERDUE: Duration = Duration::from_millis(150);

/// The same time as a multiple of the store's usual delay, if that is longer.
const OVERDUE_STORE_DELAYS: u32 = 3;

/// Time limit for a read after a failed one, to which [`PROBE_STORE_DELAYS`] is added. A store
/// that was silent never answers a read that was sent before it came back.
const PROBE_LIMIT: Duration = Duration::from_millis(400);

/// Multiple of the store's usual delay that is added to [`PROBE_LIMIT`].
const PROBE_STORE_DELAYS: u32 = 8;

/// A page and when it was current.
pub(super) struct Answer {
    /// The page.
    pub(super) page: Page,
    /// When its read was sent.
    pub(super) sent: std::time::Instant,
    /// The same on the clock that includes suspended time.
    pub(super) sent_at: BootTime,
}

/// Reads one partition.
pub(super) struct Reader<S> {
    store: Arc<S>,
    partition: Partition,
    delay: StoreDelay,
    hedges: HedgeAllowance,
    /// Whether the last read failed.
    failing: bool,
    /// Reads that were not answered in time, oldest first, with the offset of their first record.
    late: (u64, Vec<PendingRead<Page>>),
}

/// How long the store takes for an answer, apart from the wait for new records.
#[derive(Debug, Default)]
struct StoreDelay {
    /// Delays of the latest answers: for an empty answer the time beyond the wait, for one with
    /// records the whole time, because it is not known when the records arrived.
    samples: VecDeque<Duration>,
}

impl StoreDelay {
    /// Number of answers that are remembered. It is rare that this many answers in a row are all
    /// late because their records arrived late.
    const MAX_SAMPLES: usize = 4;

    fn record(&mut self, took: Duration, wait: Duration, has_records: bool) {
        if self.samples.len() == Self::MAX_SAMPLES {
            self.samples.pop_front();
        }
        let delay = if has_records {
            took
        } else {
            took.saturating_sub(wait)
        };
        // A store that is later than this fails reads, and time limits are multiples of the delay.
        self.samples.push_back(delay.min(READ_LIMIT));
    }

    fn usual(&self) -> Duration {
        self.samples.iter().min().copied().unwrap_or_default()
    }
}

/// How many hedges may be sent.
#[derive(Debug)]
struct HedgeAllowance {
    hedges: f64,
}

impl Default for HedgeAllowance {
    fn default() -> Self {
        Self {
            hedges: Self::MAX_HEDGES,
        }
    }
}

impl HedgeAllowance {
    /// Hedges that may follow each other. After a pause of all traffic several connections of one
    /// reader may be silent.
    const MAX_HEDGES: f64 = 4.0;

    /// Hedges per answered read.
    const HEDGES_PER_ANSWER: f64 = 0.25;

    fn record_answer(&mut self) {
        self.hedges = (self.hedges + Self::HEDGES_PER_ANSWER).min(Self::MAX_HEDGES);
    }

    fn take(&mut self) -> bool {
        let is_allowed = self.hedges >= 1.0;
        if is_allowed {
            self.hedges -= 1.0;
        }
        is_allowed
    }
}

impl<S: Store> Reader<S> {
    /// Returns a reader that has not measured the store's delay yet.
    pub(super) fn new(store: Arc<S>, partition: Partition) -> Self {
        Self {
            store,
            partition,
            delay: StoreDelay::default(),
            hedges: HedgeAllowance::default(),
            failing: false,
            late: (0, Vec::new()),
        }
    }

    /// Returns the store's usual delay before it answers: the least of the latest answers.
    pub(super) fn usual_delay(&self) -> Duration {
        self.delay.usual()
    }

    /// Returns the records from offset `from` on, waiting for the first for up to `wait`, or not
    /// at all if the previous read failed. The answer may be that of an earlier read that failed.
    ///
    /// # Errors
    ///
    /// Returns an error if neither the read nor its hedge gets an answer in time.
    pub(super) async fn read(&mut self, from: u64, wait: Duration) -> Result<Answer, ReadError> {
        let (late_from, mut late) = take(&mut self.late);
        late.retain(|read| late_from == from && read.is_kept());
        let answer = if self.failing {
            self.probe(from, late).await
        } else {
            self.read_hedged(from, wait).await
        };
        self.failing = matches!(answer, Err(ReadError::Unavailable(_) | ReadError::Late));
        if answer.is_ok() {
            self.hedges.record_answer();
        }
        answer
    }

    /// Reads after a failed read. The answers of the `late` ones may still arrive.
    async fn probe(
        &mut self,
        from: u64,
        late: Vec<PendingRead<Page>>,
    ) -> Result<Answer, ReadError> {
        let limit = PROBE_LIMIT + self.delay.usual() * PROBE_STORE_DELAYS;
        let mut reads = late;
        reads.push(self.start_read(from, Duration::ZERO, MIN_PAGE_BYTES));
        match self.first_answer(&mut reads, limit).await {
            Some(answer) => answer,
            None => self.keep_late(from, reads),
        }
    }

    /// Sends the read, and a second one if the answer is overdue; returns the first answer that
    /// starts to arrive.
    async fn read_hedged(&mut self, from: u64, wait: Duration) -> Result<Answer, ReadError> {
        let overdue = wait + MIN_OVERDUE.max(self.delay.usual() * OVERDUE_STORE_DELAYS);
        let mut reads = vec![self.start_read(from, wait, MAX_PAGE_BYTES)];
        if let Some(answer) = self.first_answer(&mut reads, overdue).await {
            return answer;
        }
        let is_hedged = self.hedges.take();
        log::debug!(
            partition:? = self.partition, from, is_hedged, overdue_ms = overdue.as_millis() as u64;
            "read_overdue"
        );
        if is_hedged {
            reads.push(self.start_read(from, Duration::ZERO, MIN_PAGE_BYTES));
        }
        match self.first_answer(&mut reads, READ_LIMIT).await {
            Some(answer) => answer,
            None => self.keep_late(from, reads),
        }
    }

    /// Keeps the oldest of `reads`, which is nearest to its answer, and the newest, since the store may
    /// have been silent when the oldest was sent.
    fn keep_late(
        &mut self,
        from: u64,
        mut reads: Vec<PendingRead<Page>>,
    ) -> Result<Answer, ReadError> {
        let excess = reads.len().saturating_sub(MAX_LATE_READS);
        reads.drain(1..=excess);
        self.late = (from, reads);
        Err(ReadError::Late)
    }

    fn start_read(&self, from: u64, wait: Duration, max_bytes: usize) -> PendingRead<Page> {
        let req = PageRequest {
            partition: self.partition,
            from,
            wait,
            max_bytes,
            within: wait + MAX_READ_AGE,
        };
        PendingRead::send(self.store.clone(), wait, async move |store: &S| {
            store.read(req).await
        })
    }

    /// Waits up to `limit` for the first answer to start to arrive, and then for the rest of it.
    async fn first_answer(
        &mut self,
        reads: &mut Vec<PendingRead<Page>>,
        limit: Duration,
    ) -> Option<Result<Answer, ReadError>> {
        let (read, page) = PendingRead::first_answer(reads, limit).await?;
        Some(page.map(|page| {
            let took = read.started_after();
            let took = took.unwrap_or_else(|| read.sent.elapsed());
            self.delay.record(took, read.wait, !page.records.is_empty());
            Answer {
                page,
                sent: read.sent.into_std(),
                sent_at: read.sent_at,
            }
        }))
    }
}
