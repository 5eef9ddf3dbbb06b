//! An entry: follows the store for the callers that it answers and the planner that it may become.

use std::{
    sync::{
        Arc,
        Mutex,
        atomic::{AtomicBool, Ordering}, //
    },
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use tokio::{
    sync::Notify,
    time::{sleep, timeout}, //
};

use crate::{
    port::{Advisor, Configuration, OperatorRecord, Partition, Store, StoreRecord},
    process::{
        Counters,
        on_store::{
            Batch, BootTime, Follower, StoreSettings,
            link_load::LinkLoad,
            planner_term::PlannerTerm,
            read_pause::{PauseEnd, ReadPause},
        },
    },
    utils::{HashMap, HashSet, Name, Timestamp, lock},
    workload::{Election, JobRecord, JobTable, StoreReachability, Waiting},
};

/// How long a read waits for news. An answer proves that what is known was current when the read
/// was sent, so a proof is up to two waits old before the next one comes; every bound on its age is
/// above that. With 1.2 s and a bound of 2 s, nothing was started for a third of the time.
pub(super) const READ_WAIT: Duration = Duration::from_millis(800);

/// How long a read of the jobs waits for news at the entry that plans: all work waits where its
/// connection has fallen silent, which shows only after that.
const PLANNER_READ_WAIT: Duration = Duration::from_millis(300);

/// Pause between two reads of the jobs at an entry that does not plan; see [`ReadPause`].
const FOLLOW_PAUSE: Duration = Duration::from_millis(200);

/// How long a caller's question waits for a read that it has asked for.
const CATCH_UP: Duration = Duration::from_millis(150);

/// Pause after a read that failed, so that a store that is down is not asked without end.
const READ_PAUSE: Duration = Duration::from_millis(100);

/// Age of the newest proof from the store above which the balancer is told to go elsewhere.
pub(super) const READY_AGE: Duration = Duration::from_millis(2_200);

const _: () = assert!(READY_AGE.as_millis() > 2 * READ_WAIT.as_millis() + FOLLOW_PAUSE.as_millis());

/// Decodes operators' records; the adapter knows their format.
pub type OperatorDecoder = dyn Fn(&StoreRecord) -> Option<OperatorRecord>;

/// What an entry knows. Guarded by one lock.
pub(super) struct EntryState {
    pub(super) book: JobTable,
    pub(super) book_end: u64,
    pub(super) book_proof: Option<BootTime>,
    pub(super) configuration: Option<Arc<Configuration>>,
    pub(super) evacuated: Arc<HashSet<Name>>,
    pub(super) operator_proof: Option<BootTime>,
    pub(super) reach: StoreReachability,
    /// How long the store takes for an answer.
    pub(super) store_delay: Duration,
    pub(super) election: Election,
    /// Whether this entry plans, so that its planner wants to hear of `news`.
    pub(super) plans: bool,
    pub(super) news: Vec<JobRecord>,
    /// What jobs wait for, as this entry's planner found it; empty where it does not plan.
    pub(super) waiting: HashMap<Name, Waiting>,
}

/// An entry.
pub struct StoreEntry<S, A> {
    pub(super) settings: StoreSettings,
    pub(super) store: Arc<S>,
    pub(super) advisor: A,
    pub(super) counters: Arc<Counters>,
    pub(super) state: Mutex<EntryState>,
    pub(super) job_reads: ReadPause,
    pub(super) link_load: LinkLoad,
    /// Wakes the planner: a job, a cancellation, a configuration or a report has come.
    pub(super) news: Notify,
    pub(super) stopping: AtomicBool,
    started: Instant,
}

impl<S: Store, A: Advisor> StoreEntry<S, A> {
    /// Returns an entry that has read nothing yet.
    pub fn new(
        settings: StoreSettings,
        store: Arc<S>,
        advisor: A,
        counters: Arc<Counters>,
    ) -> Arc<Self> {
        let election = Election::new(settings.name.clone(), rand::random(), Timestamp::default());
        Arc::new(Self {
            link_load: LinkLoad::new(settings.link),
            settings,
            store,
            advisor,
            counters,
            state: Mutex::new(EntryState {
                book: JobTable::default(),
                book_end: 0,
                book_proof: None,
                configuration: None,
                evacuated: Arc::default(),
                operator_proof: None,
                reach: StoreReachability::default(),
                store_delay: Duration::ZERO,
                election,
                plans: false,
                news: Vec::new(),
                waiting: HashMap::default(),
            }),
            job_reads: ReadPause::default(),
            news: Notify::new(),
            stopping: AtomicBool::new(false),
            started: Instant::now(),
        })
    }

    /// Starts the tasks that follow the store. To be called inside a local task set.
    pub fn start(self: &Arc<Self>, decoder: Arc<OperatorDecoder>) {
        tokio::task::spawn_local(self.clone().follow_operators(decoder));
        tokio::task::spawn_local(self.clone().follow_jobs());
        tokio::task::spawn_local(PlannerTerm::run(self.clone()));
    }

    /// Returns the metrics.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Tells the balancer to go elsewhere; what still comes is served.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
        self.news.notify_one();
    }

    pub(super) fn now(&self) -> Timestamp {
        let ms = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        Timestamp::from_millis(ms)
    }

    async fn follow_operators(self: Arc<Self>, decoder: Arc<OperatorDecoder>) {
        let mut follower = Follower::new(self.store.clone(), Partition::OPERATOR);
        let mut reachable = true;
        let mut wait = READ_WAIT;
        loop {
            match follower.next(wait).await {
                Ok(batch) => {
                    self.report_reach(&mut reachable, true, "operators", "");
                    // A large record proves what was in force when its read was sent, long ago.
                    wait = match batch.records.is_empty() {
                        true => READ_WAIT,
                        false => Duration::ZERO,
                    };
                    self.fold_operators(batch, &decoder);
                }
                Err(error) => {
                    self.report_reach(&mut reachable, false, "operators", &error.to_string());
                    lock(&self.state).reach.read_failed();
                    sleep(READ_PAUSE).await;
                }
            }
        }
    }

    fn fold_operators(&self, batch: Batch, decoder: &Arc<OperatorDecoder>) {
        let mut state = lock(&self.state);
        let changed = batch.replaces || !batch.records.is_empty();
        let mut evacuated = (*state.evacuated).clone();
        if batch.replaces {
            evacuated.clear();
        }
        for record in &batch.records {
            match decoder(record) {
                Some(OperatorRecord::Configuration(configuration)) => {
                    state.take_configuration(*configuration);
                }
                Some(OperatorRecord::Evacuation {
                    failure_domain,
                    out,
                }) => {
                    log::info!(failure_domain:% = failure_domain, out; "evacuation");
                    if out {
                        evacuated.insert(failure_domain);
                    } else {
                        evacuated.remove(&failure_domain);
                    }
                }
                Some(OperatorRecord::Other) => {}
                None => log::warn!(key:% = record.key; "operator_record_unreadable"),
            }
        }
        state.evacuated = Arc::new(evacuated);
        if batch.is_current {
            state.operator_proof = Some(batch.asked);
        }
        state.reach.answered(Instant::now());
        drop(state);
        if changed {
            self.news.notify_one();
        }
    }

    async fn follow_jobs(self: Arc<Self>) {
        let mut follower = Follower::new(self.store.clone(), Partition::JOBS);
        let mut reachable = true;
        let mut wait = READ_WAIT;
        loop {
            match follower.next(wait).await {
                Ok(batch) => {
                    let regained = !reachable;
                    let is_current = batch.is_current;
                    self.report_reach(&mut reachable, true, "jobs", "");
                    self.fold_jobs(batch, regained);
                    lock(&self.state).store_delay = follower.usual_delay();
                    if is_current {
                        wait = self.pause_reads().await;
                    }
                }
                Err(error) => {
                    self.report_reach(&mut reachable, false, "jobs", &error.to_string());
                    lock(&self.state).reach.read_failed();
                    sleep(READ_PAUSE).await;
                }
            }
        }
    }

    /// Pauses before the next read of the jobs, unless this entry plans; returns how long that read
    /// is to wait for news.
    async fn pause_reads(&self) -> Duration {
        self.job_reads.was_read();
        if lock(&self.state).plans {
            return PLANNER_READ_WAIT;
        }
        match self.job_reads.pause(FOLLOW_PAUSE).await {
            PauseEnd::Asked => Duration::ZERO,
            PauseEnd::Due => READ_WAIT,
        }
    }

    /// Brings the book up to date before a question is answered from it.
    pub(super) async fn catch_up(&self) {
        self.job_reads.catch_up(CATCH_UP).await;
    }

    /// Waits for the next read of the jobs.
    pub(super) async fn next_read(&self) {
        self.job_reads.next_read(CATCH_UP).await;
    }

    fn fold_jobs(&self, batch: Batch, regained: bool) {
        let now = self.now();
        self.counters.latency("state_read", batch.asked.elapsed());
        let mut state = lock(&self.state);
        if regained || batch.replaces {
            state.election.store_regained(now);
        }
        let mut changed = false;
        for record in &batch.records {
            let Some(record) = JobRecord::decode(record) else {
                log::warn!(key:% = record.key; "job_record_unreadable");
                continue;
            };
            match &record {
                JobRecord::Planner(term) => state.election.saw_heartbeat(now, term),
                JobRecord::Plan(..) => state.election.saw_plan(now),
                JobRecord::Accepted(_) | JobRecord::Cancelled(_) => {}
            }
            if state.book.fold(record.clone()) && !matches!(record, JobRecord::Planner(_)) {
                changed = true;
                state.tell_planner(record);
            }
        }
        state.book_end = batch.end;
        if batch.is_current {
            state.book_proof = Some(batch.asked);
        }
        state.reach.answered(Instant::now());
        drop(state);
        if changed {
            self.news.notify_one();
        }
    }

    pub(super) fn report_reach(&self, before: &mut bool, now: bool, what: &str, why: &str) {
        if *before == now {
            return;
        }
        *before = now;
        if now {
            log::info!(what; "store_regained");
        } else {
            self.counters.event("store_lost");
            log::warn!(what, why; "store_lost");
        }
    }
}

impl EntryState {
    pub(super) fn tell_planner(&mut self, record: JobRecord) {
        if self.plans {
            self.news.push(record);
        }
    }

    /// Takes over a configuration, unless it is older than the one in force: what was in force
    /// once never comes back.
    fn take_configuration(&mut self, configuration: Configuration) {
        let known = self.configuration.as_ref().map_or(0, |c| c.version);
        if self.configuration.is_some() && configuration.version <= known {
            return;
        }
        log::info!(
            version = configuration.version, before = known, queues = configuration.queues.len(),
            workspaces = configuration.workspaces.len();
            "configuration_in_force"
        );
        self.configuration = Some(Arc::new(configuration));
    }
}

pub(super) fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}

/// Waits for `notify`, up to `most`; returns whether it came.
pub(super) async fn wait_for(notify: &Notify, most: Duration) -> bool {
    timeout(most, notify.notified()).await.is_ok()
}
