//! Reads of the store that have been sent.

use std::{
    future::Future,
    pin::Pin,
    sync::{Arc, OnceLock},
    time::Duration,
};

use futures_util::future::select_all;
use tokio::time::{Instant, timeout};

use crate::{
    port::{PageBody, ReadError},
    process::on_store::BootTime,
};

/// Time beyond its wait for which a late read is kept. A store whose queue of reads is longer serves
/// nobody in time, and a read on a silent connection occupies one of the connections until then.
pub(super) const MAX_READ_AGE: Duration = Duration::from_secs(20);

/// A read whose answer is a page of type `P`. Dropping it closes its connection.
pub(super) struct PendingRead<P> {
    /// How long the store may wait for a first record.
    pub(super) wait: Duration,
    /// When it was sent.
    pub(super) sent: Instant,
    /// The same on the clock that includes suspended time.
    pub(super) sent_at: BootTime,
    /// Time from the request until the answer started to arrive.
    started_after: Arc<OnceLock<Duration>>,
    page: Pin<Box<dyn Future<Output = Result<P, ReadError>>>>,
}

impl<P: 'static> PendingRead<P> {
    /// Sends a read to `store`, which may wait for records for up to `wait`.
    pub(super) fn send<S, F>(store: Arc<S>, wait: Duration, read: F) -> Self
    where
        S: 'static,
        F: AsyncFnOnce(&S) -> Result<PageBody<'_, P>, ReadError> + 'static,
    {
        let started_after = Arc::new(OnceLock::new());
        let started = started_after.clone();
        let sent = Instant::now();
        Self {
            wait,
            sent,
            sent_at: BootTime::now(),
            started_after,
            page: Box::pin(async move {
                let body = read(&store).await?;
                started.get_or_init(|| sent.elapsed());
                body.read_all().await
            }),
        }
    }

    /// Returns whether the answer may still arrive: it has started to, or the read is not older than
    /// [`MAX_READ_AGE`].
    pub(super) fn is_kept(&self) -> bool {
        self.started_after().is_some() || self.sent.elapsed() < self.wait + MAX_READ_AGE
    }

    /// Returns the time from the request until the answer started to arrive, if it has.
    pub(super) fn started_after(&self) -> Option<Duration> {
        self.started_after.get().copied()
    }

    /// Waits up to `limit` for the first answer to one of `reads` to start to arrive, and then for the
    /// rest of it; returns it with its read. An error counts only if no other read is pending.
    pub(super) async fn first_answer(
        reads: &mut Vec<Self>,
        limit: Duration,
    ) -> Option<(Self, Result<P, ReadError>)> {
        let end = Instant::now() + limit;
        loop {
            let pages = select_all(reads.iter_mut().map(|read| &mut read.page));
            let left = end.saturating_duration_since(Instant::now());
            let (page, index) = match timeout(left, pages).await {
                Ok((page, index, _)) => (page, index),
                Err(_) => {
                    let index = reads.iter().position(|r| r.started_after().is_some())?;
                    ((&mut reads[index].page).await, index)
                }
            };
            let read = reads.remove(index);
            match page {
                Err(ReadError::Unavailable(_)) if !reads.is_empty() => {}
                page => return Some((read, page)),
            }
        }
    }
}
