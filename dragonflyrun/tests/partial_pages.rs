//! What an entry answers while it has read only a part of the store's records.

mod store_entry;

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use dragonflyrun::{
    port::{
        Append, AppendError, Appended, CallerAnswer, CallerCall, CallerHandler, CallerRequest,
        Configuration, Newest, NewestRequest, OperatorRecord, Page, PageBody, PageRequest,
        Partition, ReadError, Refusal, Store, StoreRecord, Workspace,
    },
    process::{Counters, on_store::StoreEntry},
    utils::lock,
    workload::{Job, JobRecord, JobRequest, Step},
};
use store_entry::{NoAdvisor, settings};
use tokio::{task::LocalSet, time::sleep};

/// The time that the store's link takes for a page of one record.
const PAGE_TIME: Duration = Duration::from_millis(100);

/// Number of records that are appended at once.
const BACKLOG: u64 = 80;

/// Number of records read before the call. Their pages take longer than any proof that the state is
/// current is valid.
const READ_BEFORE_CALL: u64 = 35;

/// A time limit for revoked keys that is shorter than the time for those pages.
const SHORT_REVOKE: Duration = Duration::from_secs(1);

/// A time limit that is longer.
const LONG_REVOKE: Duration = Duration::from_secs(60);

/// A store that is read over a slow link, one record per page.
#[derive(Default)]
struct PagedStore {
    jobs: Mutex<Vec<StoreRecord>>,
    operators: Mutex<Vec<StoreRecord>>,
    /// Number of records that have been returned to the entry.
    returned_records: AtomicU64,
    /// Whether reads of the newest records are refused.
    refuses_newest: AtomicBool,
}

impl PagedStore {
    fn records(&self, partition: Partition) -> &Mutex<Vec<StoreRecord>> {
        if partition == Partition::JOBS {
            &self.jobs
        } else {
            &self.operators
        }
    }
}

impl Store for PagedStore {
    async fn append(&self, _: &Append, _: Duration) -> Result<Appended, AppendError> {
        Err(AppendError::NotAppended(
            "the test store is read-only".to_owned(),
        ))
    }

    async fn read(&self, req: PageRequest) -> Result<PageBody<'_>, ReadError> {
        let PageRequest {
            partition,
            from,
            wait,
            ..
        } = req;
        sleep(PAGE_TIME).await;
        let has_news = || lock(self.records(partition)).len() as u64 > from;
        if !has_news() {
            sleep(wait).await;
        }
        let records = lock(self.records(partition));
        let page = records.get(from as usize).cloned();
        if page.is_some() {
            self.returned_records.fetch_max(from + 1, Ordering::Relaxed);
        }
        let page = Page {
            end: records.len() as u64,
            records: page.into_iter().collect(),
        };
        Ok(page.into())
    }

    async fn newest(&self, req: NewestRequest<'_>) -> Result<PageBody<'_, Newest>, ReadError> {
        let NewestRequest { partition, .. } = req;
        if self.refuses_newest.load(Ordering::Relaxed) {
            return Err(ReadError::Unavailable("refused".to_owned()));
        }
        let records = lock(self.records(partition)).clone();
        Ok(Newest {
            end: records.len() as u64,
            records,
            more: false,
        }
        .into())
    }
}

type Entry = StoreEntry<PagedStore, NoAdvisor>;

/// Starts an entry and waits until it has read a store with the first version of the configuration.
async fn start_entry(store: &Arc<PagedStore>, revoke: Duration) -> Arc<Entry> {
    lock(&store.operators).push(version(1));
    let mut settings = settings();
    settings.bounds.revoke = revoke;
    let counters = Arc::new(Counters::new().expect("counters"));
    let entry = StoreEntry::new(settings, store.clone(), NoAdvisor, counters);
    entry.start(Arc::new(|record: &StoreRecord| {
        let version = record.value.as_ref()?.first().copied()?;
        let configuration = configuration(u64::from(version));
        Some(OperatorRecord::Configuration(Box::new(configuration)))
    }));
    while !entry.is_ready() {
        sleep(PAGE_TIME).await;
    }
    entry
}

/// Waits until the entry has read a part of the records, with many left.
async fn wait_for_partial_read(store: &PagedStore) {
    while store.returned_records.load(Ordering::Relaxed) < READ_BEFORE_CALL {
        sleep(PAGE_TIME / 4).await;
    }
    assert!(store.returned_records.load(Ordering::Relaxed) < BACKLOG - 20);
}

fn version(number: u64) -> StoreRecord {
    StoreRecord {
        key: "config".into(),
        value: Some(vec![u8::try_from(number).expect("a small number")]),
    }
}

/// Returns a version of the configuration. The last one revokes the key.
fn configuration(version: u64) -> Configuration {
    let keys = if version < BACKLOG {
        vec!["key".into()]
    } else {
        Vec::new()
    };
    let mut configuration = store_entry::configuration();
    configuration.queues[0].public = false;
    Configuration {
        version,
        workspaces: vec![Workspace {
            name: "w".into(),
            keys,
            guaranteed_accelerators: 0,
        }],
        ..configuration
    }
}

fn accepted(name: &str) -> StoreRecord {
    let job = Job {
        name: name.into(),
        queue: "q".into(),
        service: "svc".into(),
        workspace: Some("w".into()),
        priority: 0,
        max_attempts: 3,
        stretch: 3.0,
        target_ms: 1_000,
        accepted_ms: 1,
        request: JobRequest {
            payload: "".into(),
            steps: vec![Step {
                tasks: 1,
                ..Step::default()
            }],
            occurrences: None,
        },
    };
    JobRecord::Accepted(Box::new(job)).encode()
}

fn query(job: &str) -> CallerRequest {
    CallerRequest {
        host: "host".to_owned(),
        path: format!("/q/{job}"),
        key: Some("key".to_owned()),
        patience: Duration::from_secs(3),
        call: CallerCall::Query,
    }
}

/// Guards against telling a caller that a job doesn't exist when the entry hasn't read the page
/// with the job yet.
#[tokio::test]
async fn unread_job() {
    let test = async {
        let store = Arc::new(PagedStore::default());
        let entry = start_entry(&store, LONG_REVOKE).await;
        let names = (0..BACKLOG).map(|i| format!("{i:016x}"));
        lock(&store.jobs).extend(names.map(|name| accepted(&name)));
        wait_for_partial_read(&store).await;
        let answer = entry.call(query(&format!("{:016x}", BACKLOG - 1))).await;
        assert!(!matches!(answer, CallerAnswer::NoJob), "{answer:?}");
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against serving a revoked key because each older version that is read counts as the
/// newest one.
#[tokio::test]
async fn unread_version() {
    let test = async {
        let store = Arc::new(PagedStore::default());
        let entry = start_entry(&store, SHORT_REVOKE).await;
        // The entry can't go to the newest version, so it reads one after the other.
        store.refuses_newest.store(true, Ordering::Relaxed);
        lock(&store.operators).extend((2..=BACKLOG).map(version));
        wait_for_partial_read(&store).await;
        let answer = entry.call(query("")).await;
        let stale = matches!(
            answer,
            CallerAnswer::Refused(Refusal::ConfigurationStale, _)
        );
        assert!(stale, "{answer:?}");
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against an entry that is behind and reads each version of the configuration in turn: with many
/// entries that is more than the store can return.
#[tokio::test]
async fn newest_version_first() {
    let test = async {
        let store = Arc::new(PagedStore::default());
        let entry = start_entry(&store, LONG_REVOKE).await;
        lock(&store.operators).extend((2..=BACKLOG).map(version));
        // The last version revokes the key.
        let is_newest = async {
            while !matches!(entry.call(query("")).await, CallerAnswer::UnknownKey) {
                sleep(PAGE_TIME).await;
            }
        };
        let newest = tokio::time::timeout(PAGE_TIME * 30, is_newest).await;
        newest.expect("the newest version in force");
        assert!(store.returned_records.load(Ordering::Relaxed) < READ_BEFORE_CALL);
    };
    LocalSet::new().run_until(test).await;
}
