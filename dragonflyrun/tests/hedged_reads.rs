//! Reads whose answers are overdue.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use dragonflyrun::{
    port::{
        Append, AppendError, Appended, Newest, NewestRequest, Page, PageBody, PageRequest,
        Partition, ReadError, Store,
    },
    process::on_store::Follower,
    utils::lock,
};
use tokio::time::{Instant, sleep};

const WAIT: Duration = Duration::from_millis(400);

/// A store without new records.
#[derive(Default)]
struct QuietStore {
    /// Number of reads so far.
    reads: AtomicU32,
    /// The number of the read that is never answered.
    silent_read: Mutex<Option<u32>>,
    /// Whether all reads are refused.
    refuses_reads: AtomicBool,
    /// The delay of each answer.
    delay: Mutex<Duration>,
    /// The time from the first to the last byte of an answer.
    transfer: Mutex<Duration>,
}

impl Store for QuietStore {
    async fn append(&self, _: &Append, _: Duration) -> Result<Appended, AppendError> {
        Err(AppendError::NotAppended(
            "the test store is read-only".to_owned(),
        ))
    }

    async fn read(&self, req: PageRequest) -> Result<PageBody<'_>, ReadError> {
        let PageRequest {
            from: end, wait, ..
        } = req;
        let number = self.reads.fetch_add(1, Ordering::Relaxed);
        if self.refuses_reads.load(Ordering::Relaxed) {
            return Err(ReadError::Unavailable("refused".to_owned()));
        }
        if *lock(&self.silent_read) == Some(number) {
            std::future::pending::<()>().await;
        }
        let delay = *lock(&self.delay);
        sleep(wait + delay).await;
        let page = Page {
            end,
            records: Vec::new(),
        };
        let transfer = *lock(&self.transfer);
        Ok(PageBody::new(async move {
            sleep(transfer).await;
            Ok(page)
        }))
    }

    async fn newest(&self, _: NewestRequest<'_>) -> Result<PageBody<'_, Newest>, ReadError> {
        Ok(Newest {
            records: Vec::new(),
            more: false,
            end: 0,
        }
        .into())
    }
}

async fn start_follower(store: &Arc<QuietStore>) -> Follower<QuietStore> {
    let mut follower = Follower::new(store.clone(), Partition::JOBS);
    follower.next(WAIT).await.expect("the newest records");
    follower
}

/// Guards against work that stalls until the read on a silent connection times out.
#[tokio::test(start_paused = true)]
async fn silent_connection() {
    let store = Arc::new(QuietStore::default());
    let mut follower = start_follower(&store).await;
    follower.next(WAIT).await.expect("an answer");
    *lock(&store.silent_read) = Some(store.reads.load(Ordering::Relaxed));
    let called_at = Instant::now();
    follower.next(WAIT).await.expect("the second answer");
    assert!(called_at.elapsed() < WAIT + Duration::from_millis(250));
}

/// Guards against doubling the load on a store that is slow for all reads.
#[tokio::test(start_paused = true)]
async fn slow_store() {
    const ROUNDS: u32 = 20;
    let store = Arc::new(QuietStore::default());
    let mut follower = start_follower(&store).await;
    *lock(&store.delay) = Duration::from_millis(300);
    for _ in 0..ROUNDS {
        follower.next(WAIT).await.expect("an answer");
    }
    let reads = store.reads.load(Ordering::Relaxed);
    assert!(reads < ROUNDS + 4, "{reads}");
}

/// Guards against work that stalls after the store has returned because the first read waits for
/// new records.
#[tokio::test(start_paused = true)]
async fn store_returned() {
    let store = Arc::new(QuietStore::default());
    let mut follower = start_follower(&store).await;
    store.refuses_reads.store(true, Ordering::Relaxed);
    follower.next(WAIT).await.expect_err("a refusal");
    store.refuses_reads.store(false, Ordering::Relaxed);
    let called_at = Instant::now();
    follower.next(WAIT).await.expect("an answer");
    assert!(called_at.elapsed() < Duration::from_millis(50));
    let called_at = Instant::now();
    follower.next(WAIT).await.expect("an answer");
    assert!(
        called_at.elapsed() >= WAIT,
        "it waits for new records again"
    );
}

/// Guards against a large answer on a slow link that is aborted, or requested again while it
/// arrives.
#[tokio::test(start_paused = true)]
async fn slow_transfer() {
    const TRANSFER: Duration = Duration::from_secs(5);
    let store = Arc::new(QuietStore::default());
    let mut follower = start_follower(&store).await;
    *lock(&store.transfer) = TRANSFER;
    let called_at = Instant::now();
    follower.next(WAIT).await.expect("the whole answer");
    assert!(called_at.elapsed() >= WAIT + TRANSFER);
    assert_eq!(store.reads.load(Ordering::Relaxed), 1);
    // The transfer time isn't part of the store's delay.
    assert!(follower.usual_delay() < Duration::from_millis(50));
}

/// Guards against a large answer to the read after a failed one, which has a shorter timeout, that is
/// aborted, or requested again while it arrives.
#[tokio::test(start_paused = true)]
async fn slow_transfer_after_failure() {
    let store = Arc::new(QuietStore::default());
    let mut follower = start_follower(&store).await;
    store.refuses_reads.store(true, Ordering::Relaxed);
    follower.next(WAIT).await.expect_err("a refusal");
    store.refuses_reads.store(false, Ordering::Relaxed);
    *lock(&store.transfer) = Duration::from_secs(5);
    follower.next(WAIT).await.expect("the whole answer");
}
