//! Reads of one partition that do not hang with their connection.
//!
//! Load pattern answered here: open connections to the store fall silent while new ones work. A read
//! waits for news most of the time, so the silence of its connection shows only once the answer is
//! overdue. A second read on another connection is sent then, and the first answer counts: a hedged
//! request (Dean and Barroso, "The Tail at Scale", CACM 2013). On a store that is slow altogether it
//! waits longer before that, so that the load of such a store does not double. An answer that has begun to
//! come is not overdue, however long the rest takes: sent again, it would take half of the link from itself.
//!
//! After a read that failed the next one waits for no news: it proves at once that the store is back,
//! which a read that waits for news on a store without any would prove only when its wait is over.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use tokio::{
    pin, select,
    time::{Instant, timeout},
};

use crate::port::{Page, PageBody, Partition, ReadError, Store};

/// An answer counts as overdue so long after its time at the least.
const MIN_OVERDUE: Duration = Duration::from_millis(150);

/// How many times the usual delay an answer may take.
const OVERDUE_STORE_DELAYS: u32 = 3;

/// Time for a read after one that failed, beside [`PROBE_DELAYS`]. A store that was silent answers no
/// read that was sent before its return.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// How many times the usual delay such a read may take beside that.
const PROBE_STORE_DELAYS: u32 = 8;

/// Reads one partition.
pub(super) struct Reader<S> {
    store: Arc<S>,
    partition: Partition,
    delay: StoreDelay,
    /// Whether the newest read failed.
    failing: bool,
}

/// How long the store takes for an answer, beside the time that it waits for news.
#[derive(Debug, Default)]
struct StoreDelay {
    /// Of the newest answers: what an empty one took beyond the wait, and what one with news took in
    /// all, since nobody knows when the news came.
    samples: VecDeque<Duration>,
}

impl StoreDelay {
    /// Answers that are remembered: so many in a row that all came late for their news are rare.
    const MAX_SAMPLES: usize = 4;

    fn record(&mut self, took: Duration, wait: Duration, has_news: bool) {
        if self.samples.len() == Self::MAX_SAMPLES {
            self.samples.pop_front();
        }
        let delay = if has_news {
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
    /// Returns a reader that knows nothing of the store's pace.
    pub(super) fn new(store: Arc<S>, partition: Partition) -> Self {
        Self {
            store,
            partition,
            delay: StoreDelay::default(),
            failing: false,
        }
    }

    /// Returns how long the store takes for an answer.
    pub(super) fn usual_delay(&self) -> Duration {
        self.delay.usual()
    }

    /// Returns the records from offset `from` on, waiting for the first up to `wait`, and not at all
    /// where the read before failed.
    ///
    /// # Errors
    ///
    /// Where neither read has an answer.
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

    /// Returns the first answer that begins to come.
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

/// An answer that has begun to come.
struct StartedAnswer<'s> {
    body: PageBody<'s>,
    /// How long it took until then.
    took: Duration,
    /// How long the store was allowed to wait for news.
    wait: Duration,
}

async fn start_read<S: Store>(
    store: &S,
    partition: Partition,
    from: u64,
    wait: Duration,
) -> Result<StartedAnswer<'_>, ReadError> {
    let sent = Instant::now();
    let body = store.read(partition, from, wait).await?;
    Ok(StartedAnswer {
        body,
        took: sent.elapsed(),
        wait,
    })
}
