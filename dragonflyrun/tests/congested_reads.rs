//! Reads of a store whose rate all readers share.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use dragonflyrun::{
    port::{
        Append, AppendError, Appended, Newest, NewestRequest, Page, PageBody, PageRequest,
        Partition, ReadError, Store, StoreRecord,
    },
    process::on_store::Follower,
    utils::lock,
    workload::Backoff,
};
use tokio::{
    task::{JoinSet, LocalSet},
    time::{Instant, sleep, sleep_until, timeout},
};

/// Bytes per second that the store returns to all its readers.
const RATE: f64 = 10e6;

/// Number of readers.
const READERS: u32 = 100;

/// Size of a record in bytes.
const RECORD_BYTES: usize = 8 << 10;

/// Number of records that all readers have missed. One page for each reader takes the store longer
/// than a reader waits for an answer.
const BACKLOG: u64 = 64;

/// A store that does the work of all reads in turn, also of those that were given up.
struct SharedStore {
    records: Mutex<u64>,
    /// When the store has done the work of all reads so far.
    free_at: Mutex<Instant>,
    /// Bytes that it has read.
    bytes: Mutex<usize>,
}

impl SharedStore {
    async fn work(&self, bytes: usize) {
        *lock(&self.bytes) += bytes;
        let done_at = {
            let mut free_at = lock(&self.free_at);
            let begins_at = (*free_at).max(Instant::now());
            *free_at = begins_at + Duration::from_secs_f64(bytes as f64 / RATE);
            *free_at
        };
        sleep_until(done_at).await;
    }
}

fn record() -> StoreRecord {
    StoreRecord {
        key: "key".into(),
        value: Some(vec![0; RECORD_BYTES]),
    }
}

impl Store for SharedStore {
    async fn append(&self, _: &Append, _: Duration) -> Result<Appended, AppendError> {
        Err(AppendError::NotAppended(
            "the test store is read-only".to_owned(),
        ))
    }

    async fn read(&self, req: PageRequest) -> Result<PageBody<'_>, ReadError> {
        let answer = async {
            if *lock(&self.records) <= req.from {
                sleep(req.wait).await;
            }
            let end = *lock(&self.records);
            let most = (req.max_bytes / RECORD_BYTES).max(1) as u64;
            let found = end.saturating_sub(req.from).min(most);
            self.work(found as usize * RECORD_BYTES).await;
            Page {
                end,
                records: (0..found).map(|_| record()).collect(),
            }
        };
        let page = timeout(req.within, answer).await;
        let page = page.map_err(|_| ReadError::Unavailable("timeout".to_owned()))?;
        Ok(page.into())
    }

    async fn newest(&self, _: NewestRequest<'_>) -> Result<PageBody<'_, Newest>, ReadError> {
        Ok(Newest {
            end: *lock(&self.records),
            ..Newest::default()
        }
        .into())
    }
}

async fn follow_to(store: Arc<SharedStore>, end: u64) {
    let mut follower = Follower::new(store, Partition::JOBS);
    let mut backoff = Backoff::default();
    loop {
        let began = Instant::now();
        match follower.next(Duration::from_millis(800)).await {
            Ok(batch) if batch.end == end => return,
            Ok(_) => backoff.succeeded(),
            Err(_) => {
                let pause = backoff.failed(began.elapsed(), Duration::from_millis(400));
                sleep(pause).await;
            }
        }
    }
}

/// Guards against readers that give up late reads and send them again, which keeps the store congested
/// for good: nobody would catch up any more.
#[tokio::test(start_paused = true)]
async fn everyone_catches_up() {
    let test = async {
        let store = Arc::new(SharedStore {
            records: Mutex::new(0),
            free_at: Mutex::new(Instant::now()),
            bytes: Mutex::new(0),
        });
        let mut readers = JoinSet::new();
        for _ in 0..READERS {
            readers.spawn_local(follow_to(store.clone(), BACKLOG));
        }
        // All readers have read the empty partition.
        sleep(Duration::from_millis(100)).await;
        *lock(&store.records) = BACKLOG;
        let needed_bytes = READERS as usize * BACKLOG as usize * RECORD_BYTES;
        let needed = Duration::from_secs_f64(needed_bytes as f64 / RATE);
        let limit = needed * 2 + Duration::from_secs(2);
        let caught_up = timeout(limit, async {
            while readers.join_next().await.is_some() {}
        });
        let result = caught_up.await;
        let read_bytes = *lock(&store.bytes);
        assert!(
            result.is_ok(),
            "{} of {READERS} readers behind after {limit:?}, {read_bytes} bytes read for {needed_bytes}",
            readers.len(),
        );
        assert!(
            read_bytes < needed_bytes * 3 / 2,
            "{read_bytes} of {needed_bytes}"
        );
    };
    LocalSet::new().run_until(test).await;
}
