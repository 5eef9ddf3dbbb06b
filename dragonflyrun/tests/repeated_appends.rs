//! How appends are repeated that the store refuses for a long time, or that wait in its queue for longer
//! than the limit of the first attempt.
//!
//! Bounds follow from the largest installation, whose processes together must not exceed the store's
//! limits: a store that refuses calls because of their number would otherwise never recover.

mod agent_inputs;
mod store_entry;

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use agent_inputs::heartbeat;
use dragonflyrun::{
    port::{
        Append, AppendError, Appended, CallError, Newest, NewestRequest, OperatorRecord, Page,
        PageBody, PageRequest, Partition, ReadError, Registry, StartOrder, StartOutcome, Store,
        StoreRecord, Worker, WorkerLists,
    },
    process::{
        Counters,
        on_store::{StoreAgent, StoreEntry},
    },
    utils::{HashMap, HashSet, Name, lock},
    workload::{JobRecord, OrderMessage, RunId, decode},
};
use store_entry::{NoAdvisor, configuration, settings};
use tokio::{
    task::LocalSet,
    time::{Instant, sleep, sleep_until, timeout},
};

/// Number of agents of the largest installation.
const AGENTS: u32 = 800;

/// Number of entries there.
const ENTRIES: u32 = 183;

/// Number of writing calls per second that its store allows.
const WRITES_PER_S: u32 = 4_000;

/// Number of appends per second to one partition there, at 2 ms each.
const PARTITION_APPENDS_PER_S: u32 = 500;

/// How long the store refuses.
const OUTAGE_S: u32 = 8;

/// The kinds of appends that a test counts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Kind {
    Announcement,
    /// A claim of a term, a heartbeat of its planner or its end.
    Term,
    Session,
    Other,
}

fn kind(append: &Append) -> Kind {
    let Some(record) = append.records.first() else {
        return Kind::Other;
    };
    if append.partition == Partition::JOBS {
        return match JobRecord::decode(record) {
            Some(JobRecord::Entry(_)) => Kind::Announcement,
            Some(JobRecord::Planner(_)) => Kind::Term,
            _ => Kind::Other,
        };
    }
    let value = record.value.as_deref().unwrap_or_default();
    match decode::<OrderMessage>(value) {
        Some(OrderMessage::Session { .. }) => Kind::Session,
        _ => Kind::Other,
    }
}

/// A store that answers all reads, and refuses appends of one kind but for the first few.
struct RefusingStore {
    refused: Kind,
    /// Number of appends of that kind that are still confirmed.
    confirmed: AtomicU32,
    /// When appends of that kind were refused.
    refused_at: Mutex<Vec<Instant>>,
    jobs: Mutex<Vec<StoreRecord>>,
}

impl RefusingStore {
    fn new(refused: Kind, confirmed: u32) -> Arc<Self> {
        Arc::new(Self {
            refused,
            confirmed: confirmed.into(),
            refused_at: Mutex::default(),
            jobs: Mutex::default(),
        })
    }

    /// Waits for the first refusal and returns the number of refusals from then on for `period`.
    async fn count_refusals(&self, period: Duration) -> usize {
        while lock(&self.refused_at).is_empty() {
            sleep(Duration::from_millis(20)).await;
        }
        let first = lock(&self.refused_at)[0];
        sleep_until(first + period).await;
        let refused_at = lock(&self.refused_at);
        refused_at
            .iter()
            .filter(|at| **at <= first + period)
            .count()
    }
}

impl Store for RefusingStore {
    async fn append(&self, append: &Append, _: Duration) -> Result<Appended, AppendError> {
        sleep(Duration::from_millis(4)).await;
        if kind(append) == self.refused {
            let confirmed =
                self.confirmed
                    .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |n| n.checked_sub(1));
            if confirmed.is_err() {
                lock(&self.refused_at).push(Instant::now());
                return Err(AppendError::NotAppended("refused".to_owned()));
            }
        }
        if append.partition != Partition::JOBS {
            return Ok(Appended { offset: 0, end: 1 });
        }
        let mut jobs = lock(&self.jobs);
        let offset = jobs.len() as u64;
        if append.expected_end.is_some_and(|at| at != offset) {
            return Err(AppendError::EndMoved(offset));
        }
        jobs.extend(append.records.iter().cloned());
        let end = jobs.len() as u64;
        Ok(Appended { offset, end })
    }

    async fn read(&self, req: PageRequest) -> Result<PageBody<'_>, ReadError> {
        let PageRequest {
            partition,
            from,
            wait,
            ..
        } = req;
        let has_news = || partition == Partition::JOBS && lock(&self.jobs).len() as u64 > from;
        sleep(if has_news() {
            Duration::from_millis(4)
        } else {
            wait
        })
        .await;
        let records = match partition {
            Partition::JOBS => lock(&self.jobs)[from as usize..].to_vec(),
            _ => Vec::new(),
        };
        let page = Page {
            end: from + records.len() as u64,
            records,
        };
        Ok(page.into())
    }

    async fn newest(&self, req: NewestRequest<'_>) -> Result<PageBody<'_, Newest>, ReadError> {
        let is_operator = req.partition == Partition::OPERATOR && req.after.is_none();
        let records = is_operator.then(|| StoreRecord {
            key: "config".into(),
            value: Some(Vec::new()),
        });
        let end = match req.partition {
            Partition::JOBS => lock(&self.jobs).len() as u64,
            _ => 1,
        };
        Ok(Newest {
            end,
            records: records.into_iter().collect(),
            more: false,
        }
        .into())
    }
}

/// Starts an entry. Must be called inside a `LocalSet`.
fn start_entry<S: Store>(store: &Arc<S>) {
    let counters = Arc::new(Counters::new().expect("counters"));
    let entry = StoreEntry::new(settings(), store.clone(), NoAdvisor, counters);
    let decoder = |_: &StoreRecord| Some(OperatorRecord::Configuration(Box::new(configuration())));
    entry.start(Arc::new(decoder));
}

/// How long an append waits in the queue of its partition. The store refuses appends when more than
/// 2 s are waiting.
const QUEUE_WAIT: Duration = Duration::from_millis(1_500);

/// The time after a disturbance in which a job that can run has to run.
const PLANNED_WITHIN: Duration = Duration::from_secs(16);

/// A store that answers reads at once but carries out each append only after [`QUEUE_WAIT`], even if
/// its caller has given it up.
#[derive(Clone)]
struct QueueingStore {
    store: Arc<RefusingStore>,
    /// The answers to the appends of each term and sequence number.
    answered: Arc<Mutex<HashMap<(u64, u64), Appended>>>,
}

impl QueueingStore {
    fn new() -> Self {
        Self {
            store: RefusingStore::new(Kind::Other, u32::MAX),
            answered: Arc::default(),
        }
    }

    async fn execute(&self, append: &Append) -> Result<Appended, AppendError> {
        let repeat = append.writer.as_ref().map(|w| (w.term, w.sequence));
        let answered = repeat.and_then(|key| lock(&self.answered).get(&key).copied());
        if let Some(answer) = answered {
            return Ok(answer);
        }
        let appended = self.store.append(append, Duration::MAX).await?;
        if let Some(key) = repeat {
            lock(&self.answered).insert(key, appended);
        }
        Ok(appended)
    }

    /// Returns whether a planner has stored a heartbeat after its claim.
    fn has_planner(&self) -> bool {
        let jobs = lock(&self.store.jobs);
        let mut terms = HashSet::default();
        jobs.iter().any(|record| match JobRecord::decode(record) {
            Some(JobRecord::Planner(term)) => !terms.insert(term.number),
            _ => false,
        })
    }
}

impl Store for QueueingStore {
    async fn append(&self, append: &Append, within: Duration) -> Result<Appended, AppendError> {
        let (store, append) = (self.clone(), append.clone());
        let executed = tokio::task::spawn_local(async move {
            sleep(QUEUE_WAIT).await;
            store.execute(&append).await
        });
        match timeout(within, executed).await {
            Ok(answer) => answer.expect("the append was executed"),
            Err(_) => Err(AppendError::Unknown("timeout".to_owned())),
        }
    }

    async fn read(&self, req: PageRequest) -> Result<PageBody<'_>, ReadError> {
        self.store.read(req).await
    }

    async fn newest(&self, req: NewestRequest<'_>) -> Result<PageBody<'_, Newest>, ReadError> {
        self.store.newest(req).await
    }
}

/// An idle worker.
struct IdleWorker(Instant);

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
        _: &str,
        _: u64,
        _: u64,
        _: Option<u64>,
        _: Duration,
    ) -> Result<WorkerLists, CallError> {
        Ok(WorkerLists {
            clock_ms: 1_000 + self.0.elapsed().as_millis() as u64,
            born_ms: Some(heartbeat().born_ms),
            ..WorkerLists::default()
        })
    }
}

/// Guards against agents that together exceed the store's limit on writing calls by opening their
/// sessions after a power failure, for as long as the store refuses them.
#[tokio::test(flavor = "current_thread")]
async fn refused_sessions() {
    let sessions = async {
        let store = RefusingStore::new(Kind::Session, 0);
        let worker = Arc::new(IdleWorker(Instant::now()));
        let counters = Arc::new(Counters::new().expect("counters"));
        let agent = StoreAgent::new(settings(), store.clone(), worker, counters);
        agent.start();
        agent.heartbeat(heartbeat());
        store
            .count_refusals(Duration::from_secs(OUTAGE_S.into()))
            .await
    };
    let refusals = LocalSet::new().run_until(sessions).await;
    let limit = OUTAGE_S * WRITES_PER_S / AGENTS;
    assert!(
        refusals <= limit as usize,
        "{refusals} in {OUTAGE_S} s, limit {limit}"
    );
}

/// Guards against claims of all entries that fill the queue of the partition that the winner of the
/// term has to write to.
#[tokio::test(flavor = "current_thread")]
async fn refused_claims() {
    let claims = async {
        let store = RefusingStore::new(Kind::Term, 0);
        start_entry(&store);
        store
            .count_refusals(Duration::from_secs(OUTAGE_S.into()))
            .await
    };
    let refusals = LocalSet::new().run_until(claims).await;
    let limit = OUTAGE_S * PARTITION_APPENDS_PER_S / ENTRIES;
    assert!(
        refusals <= limit as usize,
        "{refusals} in {OUTAGE_S} s, limit {limit}"
    );
}

/// Guards against a planner whose writers of all lanes, one for each agent, together exceed the
/// store's limit on writing calls while they are refused.
#[tokio::test(flavor = "current_thread")]
async fn refused_heartbeats() {
    let heartbeats = async {
        let store = RefusingStore::new(Kind::Term, 1);
        start_entry(&store);
        store
            .count_refusals(Duration::from_secs(OUTAGE_S.into()))
            .await
    };
    let refusals = LocalSet::new().run_until(heartbeats).await;
    let limit = OUTAGE_S * WRITES_PER_S / AGENTS;
    assert!(
        refusals <= limit as usize,
        "{refusals} in {OUTAGE_S} s, limit {limit}"
    );
}

/// Guards against announcements that keep the queue of the planner's partition full for as long as it
/// is full.
#[tokio::test(flavor = "current_thread")]
async fn refused_announcements() {
    /// Number of attempts in 16 s if the pause after each is at least twice the one before, from 1 s
    /// on, and a quarter shorter at random.
    const MAX_ATTEMPTS: usize = 6;
    let announcements = async {
        let store = RefusingStore::new(Kind::Announcement, 0);
        start_entry(&store);
        store.count_refusals(Duration::from_secs(16)).await
    };
    let refusals = LocalSet::new().run_until(announcements).await;
    assert!(refusals <= MAX_ATTEMPTS, "{refusals} in 16 s");
}

/// Guards against having no planner for as long as the queue of the jobs' partition is longer than the
/// limit of a claim, although its reads are prompt: each claim is given up while it is queued.
#[tokio::test(flavor = "current_thread")]
async fn queued_claims() {
    let planned = async {
        let store = Arc::new(QueueingStore::new());
        start_entry(&store);
        let until = Instant::now() + PLANNED_WITHIN;
        while Instant::now() < until && !store.has_planner() {
            sleep(Duration::from_millis(50)).await;
        }
        store.has_planner()
    };
    assert!(LocalSet::new().run_until(planned).await);
}
