//! Reads one partition without being held up by a connection that has gone silent.
//!
//! Open connections to the store sometimes go silent while new ones work. A read spends most of
//! its time waiting for new records, so a silent connection is noticed only once the answer is
//! overdue. A second read is then sent on another connection, and the first answer counts: a
//! hedged request (Dean and Barroso, "The Tail at Scale", CACM 2013). On a store that is slow
//! altogether the second read is sent later, so that it does not double the store's load. An
//! answer that has started to arrive is not overdue, however long the rest takes: a second copy
//! would take half of the link from the first.
//!
//! After a failed read the next one does not wait for new records. It shows at once that the store
//! is back, whereas a waiting read on a store without new records would show that only at the end
//! of its wait.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use tokio::{
    pin, select,
    time::{Instant, timeout},
};

use crate::port::{Page, PageBody, PageRequest, Partition, ReadError, Store};

/// Maximum size of a page in bytes.
const MAX_PAGE_BYTES: usize = 512 << 10;

/// Time limit for the start of an answer beyond its wait.
pub(super) const READ_LIMIT: Duration = Duration::from_millis(900);

/// Minimum time beyond its wait after which an answer is overdue.
const MIN_OVERDUE: Duration = Duration::from_millis(150);

/// The same time as a multiple of the store's usual delay, if that is longer.
const OVERDUE_STORE_DELAYS: u32 = 3;

/// Time limit for a read after a failed one, to which [`PROBE_STORE_DELAYS`] is added. A store
/// that was silent never answers a read that was sent before it came back.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Multiple of the store's usual delay that is added to [`PROBE_TIMEOUT`].
const PROBE_STORE_DELAYS: u32 = 8;

/// Reads one partition.
pub(super) struct Reader<S> {
    store: Arc<S>,
    partition: Partition,
    delay: StoreDelay,
    /// Whether the last read failed.
    failing: bool,
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
        self.samples.push_back(delay);
    }

    fn usual(&self) -> Duration {
        self.samples.iter().min().copied().unwrap_or_default()
    }
}

impl<S: Store> Reader<S> {
    /// Returns a reader that has not measured the store's delay yet.
    pub(super) fn new(store: Arc<S>, partition: Partition) -> Self {
        Self {
            store,
            partition,
            delay: StoreDelay::default(),
            failing: false,
        }
    }

    /// Returns the store's usual delay before it answers: the least of the latest answers.
    pub(super) fn usual_delay(&self) -> Duration {
        self.delay.usual()
    }

    /// Returns the records from offset `from` on, waiting for the first for up to `wait`, or not
    /// at all if the previous read failed.
    ///
    /// # Errors
    ///
    /// Returns an error if neither the read nor its hedge gets an answer.
    pub(super) async fn read(&mut self, from: u64, wait: Duration) -> Result<Page, ReadError> {
        let answer = if self.failing {
            self.probe(from).await
        } else {
            self.read_hedged(from, wait).await
        };
        self.failing = matches!(answer, Err(ReadError::Unavailable(_)));
        answer
    }

    async fn probe(&mut self, from: u64) -> Result<Page, ReadError> {
        let limit = PROBE_TIMEOUT + self.delay.usual() * PROBE_STORE_DELAYS;
        let store = self.store.clone();
        let read = self.start_hedged(&store, from, Duration::ZERO);
        let timed_out = |_| Err(ReadError::Unavailable("timeout".to_owned()));
        let started = timeout(limit, read).await.unwrap_or_else(timed_out);
        self.finish(started?).await
    }

    async fn read_hedged(&mut self, from: u64, wait: Duration) -> Result<Page, ReadError> {
        let store = self.store.clone();
        let started = self.start_hedged(&store, from, wait).await?;
        self.finish(started).await
    }

    /// Sends the read, and a second one if the answer is overdue; returns the first answer that
    /// starts to arrive.
    async fn start_hedged<'s>(
        &self,
        store: &'s S,
        from: u64,
        wait: Duration,
    ) -> Result<StartedAnswer<'s>, ReadError> {
        let partition = self.partition;
        let first = start_read(store, partition, from, wait);
        pin!(first);
        let overdue = wait + MIN_OVERDUE.max(self.delay.usual() * OVERDUE_STORE_DELAYS);
        if let Ok(answer) = timeout(overdue, &mut first).await {
            return answer;
        }
        log::debug!(partition:? = partition, from, overdue_ms = overdue.as_millis() as u64; "read_overdue");
        let second = start_read(store, partition, from, Duration::ZERO);
        pin!(second);
        select! {
            answer = &mut first => match answer {
                Err(ReadError::Unavailable(_)) => second.await,
                answer => answer,
            },
            answer = &mut second => match answer {
                Err(ReadError::Unavailable(_)) => first.await,
                answer => answer,
            },
        }
    }

    async fn finish(&mut self, started: StartedAnswer<'_>) -> Result<Page, ReadError> {
        let page = started.body.read_all().await?;
        self.delay
            .record(started.took, started.wait, !page.records.is_empty());
        Ok(page)
    }
}

/// An answer that has started to arrive.
struct StartedAnswer<'s> {
    body: PageBody<'s>,
    /// Time from the request until the answer started to arrive.
    took: Duration,
    /// How long the store was allowed to wait for new records.
    wait: Duration,
}

async fn start_read<S: Store>(
    store: &S,
    partition: Partition,
    from: u64,
    wait: Duration,
) -> Result<StartedAnswer<'_>, ReadError> {
    let sent = Instant::now();
    let body = store
        .read(PageRequest {
            partition,
            from,
            wait,
            max_bytes: MAX_PAGE_BYTES,
            within: wait + READ_LIMIT,
        })
        .await?;
    Ok(StartedAnswer {
        body,
        took: sent.elapsed(),
        wait,
    })
}
