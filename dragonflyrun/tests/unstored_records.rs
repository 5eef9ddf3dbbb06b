//! An agent whose records the store refuses for a while.

mod agent_inputs;
mod store_entry;

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use agent_inputs::heartbeat;
use dragonflyrun::{
    port::{
        Append, AppendError, Appended, CallError, Heartbeat, Newest, NewestRequest, Page, PageBody,
        PageRequest, Partition, ReadError, Registry, StartOrder, StartOutcome, Store, Worker,
        WorkerLists,
    },
    process::{Counters, on_store::StoreAgent},
    utils::{HashMap, Name, lock},
    workload::{OrderMessage, Report, RunId, decode},
};
use store_entry::settings;
use tokio::{
    task::LocalSet,
    time::{Instant, sleep},
};

/// The time after a disturbance in which a job that can run has to run.
const STORED_WITHIN: Duration = Duration::from_secs(16);

/// A store without orders that refuses some appends.
#[derive(Default)]
struct RefusingStore {
    ends: Mutex<HashMap<Partition, u64>>,
    reports: Mutex<Vec<Report>>,
    /// How many more records of places at an address are refused.
    refused_places: AtomicU32,
    /// How many more final reports are refused.
    refused_final_reports: AtomicU32,
}

impl RefusingStore {
    fn has_stored(&self, is_expected: impl Fn(&Report) -> bool) -> bool {
        lock(&self.reports).iter().any(is_expected)
    }
}

fn refuse(remaining: &AtomicU32) -> bool {
    let counted =
        remaining.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |n| n.checked_sub(1));
    counted.is_ok()
}

impl Store for RefusingStore {
    async fn append(&self, append: &Append, _: Duration) -> Result<Appended, AppendError> {
        let value = append.records[0].value.as_deref().unwrap_or_default();
        let report = decode::<Report>(value);
        let is_refused = match (&report, decode::<OrderMessage>(value)) {
            (Some(report), _) => report.closed && refuse(&self.refused_final_reports),
            (None, Some(OrderMessage::Session { worker })) => {
                worker.contains('@') && refuse(&self.refused_places)
            }
            _ => false,
        };
        if is_refused {
            return Err(AppendError::NotAppended("refused".to_owned()));
        }
        lock(&self.reports).extend(report);
        let mut ends = lock(&self.ends);
        let end = ends.entry(append.partition).or_insert(0);
        let offset = *end;
        *end += 1;
        Ok(Appended { offset, end: *end })
    }

    async fn read(&self, req: PageRequest) -> Result<PageBody<'_>, ReadError> {
        let PageRequest {
            from: end, wait, ..
        } = req;
        sleep(wait).await;
        let page = Page {
            end,
            records: Vec::new(),
        };
        Ok(page.into())
    }

    async fn newest(&self, _: NewestRequest<'_>) -> Result<PageBody<'_, Newest>, ReadError> {
        Ok(Newest::default().into())
    }
}

/// An idle worker.
struct IdleWorker {
    clock: Instant,
    name: Mutex<Name>,
    is_gone: AtomicBool,
}

impl Worker for IdleWorker {
    fn address(&self) -> Name {
        "w:1".into()
    }

    async fn start(
        &self,
        _: &str,
        _: &StartOrder,
        _: &dyn Fn() -> bool,
    ) -> Result<StartOutcome, CallError> {
        Ok(StartOutcome::NoRoom)
    }

    async fn stop(&self, _: &str, _: &RunId, _: u64) -> Result<(), CallError> {
        Ok(())
    }

    async fn renew(
        &self,
        worker: &str,
        _: u64,
        _: u64,
        _: Option<u64>,
        _: Duration,
    ) -> Result<WorkerLists, CallError> {
        if self.is_gone.load(Ordering::Relaxed) {
            return Err(CallError::NotListening);
        }
        if **lock(&self.name) != *worker {
            return Err(CallError::OtherLife);
        }
        Ok(WorkerLists {
            clock_ms: 1_000 + self.clock.elapsed().as_millis() as u64,
            born_ms: Some(heartbeat().born_ms),
            ..WorkerLists::default()
        })
    }
}

struct Host {
    store: Arc<RefusingStore>,
    worker: Arc<IdleWorker>,
    agent: Arc<StoreAgent<RefusingStore, IdleWorker>>,
}

impl Host {
    /// Starts an agent on a store that refuses so many places and final reports. Must be called
    /// inside a `LocalSet`.
    fn start(refused_places: u32, refused_final_reports: u32) -> Self {
        let store = Arc::new(RefusingStore {
            refused_places: refused_places.into(),
            refused_final_reports: refused_final_reports.into(),
            ..RefusingStore::default()
        });
        let worker = Arc::new(IdleWorker {
            clock: Instant::now(),
            name: Mutex::new("w".into()),
            is_gone: AtomicBool::new(false),
        });
        let counters = Arc::new(Counters::new().expect("counters"));
        let agent = StoreAgent::new(settings(), store.clone(), worker.clone(), counters);
        agent.start();
        agent.heartbeat(heartbeat());
        Self {
            store,
            worker,
            agent,
        }
    }

    /// Returns whether such a report is stored in time.
    async fn stores(&self, is_expected: impl Fn(&Report) -> bool) -> bool {
        let until = Instant::now() + STORED_WITHIN;
        while Instant::now() < until {
            if self.store.has_stored(&is_expected) {
                return true;
            }
            sleep(Duration::from_millis(20)).await;
        }
        false
    }
}

/// Guards against runs that wait for a lease after each power failure, because the store refused the
/// agent's place at its address once, when the session began.
#[tokio::test(flavor = "current_thread")]
async fn refused_place() {
    let in_place = async {
        let host = Host::start(3, 0);
        assert!(host.stores(|r| r.succession.is_some()).await);
    };
    LocalSet::new().run_until(in_place).await;
}

/// Guards against runs that wait for a lease although their worker has certainly ended, because the
/// store refused the agent's last report of it.
#[tokio::test(flavor = "current_thread")]
async fn refused_last_report() {
    let in_place = async {
        let host = Host::start(0, 6);
        assert!(host.stores(|r| !r.closed).await);
        host.worker.is_gone.store(true, Ordering::Relaxed);
        assert!(host.stores(|r| r.closed).await);
    };
    LocalSet::new().run_until(in_place).await;
}

/// Guards against runs that wait for a lease although another worker has replaced theirs, because the
/// store refused the last report of the one before.
#[tokio::test(flavor = "current_thread")]
async fn refused_final_report() {
    let in_place = async {
        let host = Host::start(0, 3);
        assert!(host.stores(|r| !r.closed).await);
        *lock(&host.worker.name) = "next".into();
        host.agent.heartbeat(Heartbeat {
            worker: "next".into(),
            ..heartbeat()
        });
        assert!(
            host.stores(|r| r.closed && &*r.heartbeat.worker == "w")
                .await
        );
    };
    LocalSet::new().run_until(in_place).await;
}
