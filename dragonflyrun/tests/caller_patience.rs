//! How long a caller waits for an answer.

mod store_entry;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use dragonflyrun::{
    port::{
        Append, AppendError, Appended, CallerAnswer, CallerCall, CallerHandler, CallerRequest,
        Newest, NewestRequest, OperatorRecord, Page, PageBody, PageRequest, Partition, ReadError,
        Store, StoreRecord, Topic,
    },
    process::{Counters, on_store::StoreEntry},
    workload::{JobRequest, Step},
};
use store_entry::{NoAdvisor, configuration, settings};
use tokio::{
    task::LocalSet,
    time::{sleep, timeout},
};

const PATIENCE: Duration = Duration::from_secs(3);

/// The time that the store takes for an answer.
const STORE_DELAY: Duration = Duration::from_millis(600);

/// A slow store that never answers appends and eventually stops answering reads.
#[derive(Default)]
struct SlowStore {
    /// Number of answered reads of the jobs.
    answered_job_reads: AtomicU32,
    /// Whether reads are no longer answered, except for probes if `answers_probes` is set.
    is_silent: AtomicBool,
    /// Whether reads that don't wait for new records are still answered.
    answers_probes: AtomicBool,
}

impl Store for SlowStore {
    async fn append(&self, _: &Append, within: Duration) -> Result<Appended, AppendError> {
        sleep(within).await;
        Err(AppendError::Unknown("no answer".to_owned()))
    }

    async fn read(&self, req: PageRequest) -> Result<PageBody<'_>, ReadError> {
        let PageRequest {
            partition,
            from: end,
            wait,
            ..
        } = req;
        sleep(wait + STORE_DELAY).await;
        let probe = wait.is_zero() && self.answers_probes.load(Ordering::Relaxed);
        if self.is_silent.load(Ordering::Relaxed) && !probe {
            std::future::pending::<()>().await;
        }
        if partition == Partition::JOBS {
            self.answered_job_reads.fetch_add(1, Ordering::Relaxed);
        }
        let page = Page {
            end,
            records: Vec::new(),
        };
        Ok(page.into())
    }

    async fn newest(&self, req: NewestRequest<'_>) -> Result<PageBody<'_, Newest>, ReadError> {
        let NewestRequest { partition, .. } = req;
        let record = StoreRecord {
            key: "config".into(),
            value: Some(Vec::new()),
        };
        let records = if partition.topic == Topic::Operator {
            vec![record]
        } else {
            Vec::new()
        };
        Ok(Newest {
            records,
            more: false,
            end: 0,
        }
        .into())
    }
}

fn submit_request() -> CallerRequest {
    CallerRequest {
        host: "host".to_owned(),
        path: "/q/0123456789abcdef".to_owned(),
        key: None,
        patience: PATIENCE,
        call: CallerCall::Submit(Some(JobRequest {
            payload: "".into(),
            steps: vec![Step {
                tasks: 1,
                ..Step::default()
            }],
            occurrences: None,
        })),
    }
}

/// Guards against answers after a caller's deadline: the read that checks whether the store is
/// reachable counts against it too.
#[tokio::test]
async fn probe_within_deadline() {
    let test = async {
        let store = Arc::new(SlowStore::default());
        let counters = Arc::new(Counters::new().expect("counters"));
        let entry = StoreEntry::new(settings(), store.clone(), NoAdvisor, counters);
        entry.start(Arc::new(|_: &StoreRecord| {
            Some(OperatorRecord::Configuration(Box::new(configuration())))
        }));
        while store.answered_job_reads.load(Ordering::Relaxed) < 2 {
            sleep(Duration::from_millis(10)).await;
        }
        store.is_silent.store(true, Ordering::Relaxed);
        // An entry probes the store before it sends a record only if it has had no answer for a
        // while.
        sleep(STORE_DELAY + Duration::from_millis(150)).await;
        store.answers_probes.store(true, Ordering::Relaxed);
        let called_at = Instant::now();
        let answer = timeout(PATIENCE * 2, entry.call(submit_request())).await;
        assert!(matches!(answer, Ok(CallerAnswer::Unknown)), "{answer:?}");
        assert!(called_at.elapsed() < PATIENCE, "{:?}", called_at.elapsed());
    };
    LocalSet::new().run_until(test).await;
}
