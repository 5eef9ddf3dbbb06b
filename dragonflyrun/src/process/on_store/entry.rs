//! The entry: follows the store on behalf of its callers and of the planner that it may become.

use std::{
    mem::take,
    sync::{
        Arc,
        Mutex,
        atomic::{AtomicBool, Ordering}, //
    },
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use tokio::{
    select,
    sync::Notify,
    time::{sleep, timeout}, //
};

use crate::{
    port::{Advisor, Configuration, OperatorRecord, Partition, ReadError, Store, StoreRecord},
    process::{
        Counters,
        on_store::{
            Batch, BootTime, Follower, StoreSettings,
            caller_load::RefusalLog,
            link_load::LinkLoad,
            planner_term::PlannerTerm,
            read_pace::ReadPace,
            read_pause::{PauseEnd, ReadPause},
        },
    },
    utils::{HashMap, HashSet, Name, Timestamp, lock},
    workload::{
        Backoff, Election, EntryRecord, EntryTable, HostRoom, JobRecord, JobTable, JobWait,
        LoadAdmission, StoreReachability, Waiting, WorkerStatus, WorkspaceShare,
    },
};

/// How long a read waits for new records. An answer shows that the known state was current when
/// the read was sent, so that confirmation is up to two waits old before the next one arrives, and
/// every bound on its age must be longer. With a wait of 1.2 s and a bound of 2 s nothing was
/// started for a third of the time.
pub(super) const READ_WAIT: Duration = Duration::from_millis(800);

/// How long a read of the jobs waits for new records at the entry that plans. All work waits if
/// its connection goes silent, which is noticed only after this time.
const PLANNER_READ_WAIT: Duration = Duration::from_millis(300);

/// Pause between two reads of the jobs at an entry that does not plan; see [`ReadPause`].
const STANDBY_READ_PAUSE: Duration = Duration::from_millis(200);

/// Pause between two reads of the jobs at an entry that does not even stand by to plan. Together with
/// the read it is shorter than [`MAX_READY_AGE`], because these reads show that the store is
/// reachable.
const DISTANT_READ_PAUSE: Duration = Duration::from_millis(1_500);

/// Age of the planner's newest sign of life from which on every entry stands by.
const MAX_PLANNER_SILENCE: Duration = Duration::from_millis(2_500);

/// How long a caller's request waits for a read that it has triggered.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(150);

/// Longest delay before a failed read is retried. Callers are refused until a read succeeds.
pub(super) const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Age of the last current read above which the entry reports itself as not ready, so that the
/// load balancer sends requests elsewhere. A read is current if it returned everything that the
/// store had when the read was sent; its age counts from then.
pub(super) const MAX_READY_AGE: Duration = Duration::from_millis(2_200);

const _: () =
    assert!(MAX_READY_AGE.as_millis() > 2 * READ_WAIT.as_millis() + STANDBY_READ_PAUSE.as_millis());

const _: () = assert!(MAX_READY_AGE.as_millis() > DISTANT_READ_PAUSE.as_millis() + 500);

/// Decodes operators' records, whose format only the adapter knows.
pub type OperatorDecoder = dyn Fn(&StoreRecord) -> Option<OperatorRecord>;

/// The state of an entry, guarded by one lock.
pub(super) struct EntryState {
    pub(super) job_table: JobTable,
    pub(super) job_table_end: u64,
    /// When the last current read of the jobs was sent.
    pub(super) job_table_current_at: Option<BootTime>,
    pub(super) configuration: Option<Arc<Configuration>>,
    pub(super) evacuated: Arc<HashSet<Name>>,
    /// The offset up to which the operators' records have been read.
    pub(super) operators_end: u64,
    /// When the last current read of the operators' records was sent.
    pub(super) operators_current_at: Option<BootTime>,
    pub(super) reachability: StoreReachability,
    /// The store's usual delay before it answers.
    pub(super) store_delay: Duration,
    pub(super) election: Election,
    pub(super) entries: EntryTable,
    /// Whether the planner of this entry should leave its term to an entry on a host with room.
    pub(super) should_yield: bool,
    /// Whether this entry is the planner, so that its planner needs `new_records`.
    pub(super) is_planner: bool,
    pub(super) new_records: Vec<JobRecord>,
    /// Why jobs wait, as the planner of this entry found in its last pass; empty while the entry
    /// does not plan.
    pub(super) waiting: HashMap<Name, Waiting>,
    /// The jobs of which nothing runs although the turn of one of their tasks has come, likewise.
    pub(super) job_waits: HashMap<Name, JobWait>,
    pub(super) admission: LoadAdmission,
    pub(super) refusal_log: RefusalLog,
    /// The shares of the workspaces in the last pass of the planner of this entry; `None` while the
    /// entry does not plan.
    pub(super) shares: Option<Vec<WorkspaceShare>>,
    /// The state of the workers, likewise.
    pub(super) workers: Option<Vec<WorkerStatus>>,
}

/// An entry that follows the store.
pub struct StoreEntry<S, A> {
    pub(super) settings: StoreSettings,
    pub(super) store: Arc<S>,
    pub(super) advisor: A,
    pub(super) counters: Arc<Counters>,
    pub(super) state: Mutex<EntryState>,
    pub(super) job_read_pause: ReadPause,
    pub(super) link_load: LinkLoad,
    operators_pace: ReadPace,
    /// Ends the pause after a failed read of the operators' records when the jobs can be read again.
    store_regained: Notify,
    /// Wakes the planner after a new job, cancellation, configuration or report.
    pub(super) planner_wakeup: Notify,
    /// Ends a long read of the operators' records when this entry has won a term.
    term_won: Notify,
    pub(super) stopping: AtomicBool,
    started: Instant,
}

impl<S: Store, A: Advisor> StoreEntry<S, A> {
    /// Returns an entry that has not read anything yet.
    pub fn new(
        settings: StoreSettings,
        store: Arc<S>,
        advisor: A,
        counters: Arc<Counters>,
    ) -> Arc<Self> {
        let election = Election::new(settings.name.clone(), rand::random(), Timestamp::default());
        Arc::new(Self {
            link_load: LinkLoad::new(settings.link_bytes_per_s),
            operators_pace: ReadPace::new(settings.store_read_bytes_per_s),
            store_regained: Notify::new(),
            settings,
            store,
            advisor,
            counters,
            state: Mutex::new(EntryState {
                job_table: JobTable::default(),
                job_table_end: 0,
                job_table_current_at: None,
                configuration: None,
                evacuated: Arc::default(),
                operators_end: 0,
                operators_current_at: None,
                reachability: StoreReachability::default(),
                store_delay: Duration::ZERO,
                election,
                entries: EntryTable::default(),
                should_yield: false,
                is_planner: false,
                new_records: Vec::new(),
                waiting: HashMap::default(),
                job_waits: HashMap::default(),
                admission: LoadAdmission::default(),
                refusal_log: RefusalLog::default(),
                shares: None,
                workers: None,
            }),
            job_read_pause: ReadPause::default(),
            planner_wakeup: Notify::new(),
            term_won: Notify::new(),
            stopping: AtomicBool::new(false),
            started: Instant::now(),
        })
    }

    /// Starts the tasks that follow the store. Must be called inside a `LocalSet`.
    pub fn start(self: &Arc<Self>, decoder: Arc<OperatorDecoder>) {
        tokio::task::spawn_local(self.clone().follow_operators(decoder));
        tokio::task::spawn_local(self.clone().follow_jobs());
        tokio::task::spawn_local(self.clone().announce());
        tokio::task::spawn_local(PlannerTerm::run(self.clone()));
    }

    /// Returns the metrics.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Begins the shutdown: the entry reports itself as not ready, and still serves the requests
    /// that arrive.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
        self.planner_wakeup.notify_one();
    }

    pub(super) fn now(&self) -> Timestamp {
        let ms = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        Timestamp::from_millis(ms)
    }

    async fn follow_operators(self: Arc<Self>, decoder: Arc<OperatorDecoder>) {
        let mut follower = Follower::new(self.store.clone(), Partition::OPERATOR).skipping();
        let mut reachable = true;
        let mut backoff = Backoff::default();
        let mut wait = READ_WAIT;
        // Bytes of the reads since the last pause.
        let mut unpaused_bytes = 0;
        let mut was_answered = false;
        loop {
            let sent_at = Instant::now();
            let read = select! {
                read = follower.next(wait) => read,
                // A planner needs a newer proof than an entry that does not stand by.
                () = self.term_won.notified() => {
                    wait = Duration::ZERO;
                    continue;
                }
            };
            match read {
                Ok(batch) => {
                    backoff.succeeded();
                    was_answered = true;
                    self.log_reachability(&mut reachable, true, "operators", "");
                    // A large record may take long to arrive, and confirms only what was in force
                    // when its read was sent. The read after a batch with records therefore
                    // returns at once.
                    wait = match batch.records.is_empty() {
                        true => self.operators_wait(),
                        false => Duration::ZERO,
                    };
                    unpaused_bytes += batch.bytes;
                    let is_current = batch.is_current;
                    self.fold_operators(batch, &decoder);
                    if is_current {
                        let pause = self.operators_pause(take(&mut unpaused_bytes));
                        if self.pause_unless_planner(pause).await {
                            wait = Duration::ZERO;
                        }
                    }
                }
                Err(error) => {
                    self.log_reachability(&mut reachable, false, "operators", &error.to_string());
                    lock(&self.state).reachability.read_failed();
                    let mut pause = backoff.failed(sent_at.elapsed(), MAX_RETRY_DELAY);
                    // The store may still do the work of late reads. A single one is more likely due to a
                    // silent connection.
                    if !take(&mut was_answered) && error == ReadError::Late {
                        pause = pause.max(self.operators_pause(follower.step_bytes()));
                    }
                    select! {
                        _ = self.pause_unless_planner(pause) => {}
                        () = self.store_regained.notified() => {}
                    }
                }
            }
        }
    }

    /// Returns the pause after a read of the operators' records of `bytes` bytes. The planner and those
    /// that stand by don't pause: they are few whatever the number of entries, and tasks are started
    /// only with a new proof of the configuration.
    fn operators_pause(&self, bytes: usize) -> Duration {
        let readers = {
            let mut state = lock(&self.state);
            let term = state.election.term().number;
            let is_standby = state.entries.is_known_standby(&self.settings.name, term);
            if state.is_planner || is_standby {
                return Duration::ZERO;
            }
            state.entries.len()
        };
        let mean = self.operators_pace.mean_pause(bytes, readers);
        self.counters
            .level("operators_pause_ms", mean.as_millis() as f64);
        if mean * 2 > self.settings.bounds.apply {
            log::warn!(
                bytes, readers, pause_ms = mean.as_millis() as u64,
                apply_ms = self.settings.bounds.apply.as_millis() as u64;
                "configuration_spreads_slowly"
            );
        }
        // Longer pauses would let the proof of the configuration expire, and callers be refused.
        let bounds = &self.settings.bounds;
        let max_pause = bounds.apply.min(bounds.max_configuration_age()) / 2;
        self.operators_pace.pause(bytes, readers).min(max_pause)
    }

    /// Sleeps for `pause`, or until this entry has won a term; returns whether it has.
    async fn pause_unless_planner(&self, pause: Duration) -> bool {
        select! {
            () = sleep(pause) => false,
            () = self.term_won.notified() => true,
        }
    }

    /// Returns how long a read of the operators' records may wait. The planner and those that may
    /// succeed it need a newer proof of the configuration than callers' requests do.
    fn operators_wait(&self) -> Duration {
        let mut state = lock(&self.state);
        let needs_proof = state.is_planner || state.stands_by(&self.settings.name, self.now());
        match needs_proof {
            true => READ_WAIT,
            false => READ_WAIT.max(self.settings.bounds.max_operators_wait()),
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
                    state.apply_configuration(*configuration);
                }
                Some(OperatorRecord::Evacuation {
                    failure_domain,
                    out_of_service,
                }) => {
                    log::info!(failure_domain:% = failure_domain, out = out_of_service; "evacuation");
                    if out_of_service {
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
        state.operators_end = batch.end;
        if batch.is_current {
            state.operators_current_at = Some(batch.requested_at);
        }
        state.reachability.answered(Instant::now());
        drop(state);
        if changed {
            self.planner_wakeup.notify_one();
        }
    }

    async fn follow_jobs(self: Arc<Self>) {
        let mut follower = Follower::new(self.store.clone(), Partition::JOBS);
        let mut reachable = true;
        let mut backoff = Backoff::default();
        let mut wait = READ_WAIT;
        loop {
            let sent_at = Instant::now();
            match follower.next(wait).await {
                Ok(batch) => {
                    backoff.succeeded();
                    let regained = !reachable;
                    let is_current = batch.is_current;
                    self.log_reachability(&mut reachable, true, "jobs", "");
                    if regained {
                        self.store_regained.notify_one();
                    }
                    self.fold_jobs(batch, regained);
                    lock(&self.state).store_delay = follower.usual_delay();
                    if is_current {
                        wait = self.pause_reads().await;
                    }
                }
                Err(error) => {
                    self.log_reachability(&mut reachable, false, "jobs", &error.to_string());
                    lock(&self.state).reachability.read_failed();
                    sleep(backoff.failed(sent_at.elapsed(), MAX_RETRY_DELAY)).await;
                }
            }
        }
    }

    /// Pauses before the next read of the jobs, unless this entry plans, and returns how long that
    /// read may wait for new records.
    async fn pause_reads(&self) -> Duration {
        self.job_read_pause.notify_read_folded();
        let stands_by = {
            let mut state = lock(&self.state);
            if state.is_planner {
                return PLANNER_READ_WAIT;
            }
            state.stands_by(&self.settings.name, self.now())
        };
        let (pause, wait) = match stands_by {
            true => (STANDBY_READ_PAUSE, READ_WAIT),
            false => (DISTANT_READ_PAUSE, Duration::ZERO),
        };
        match self.job_read_pause.pause(pause).await {
            PauseEnd::ReadRequested => Duration::ZERO,
            PauseEnd::Watched => READ_WAIT,
            PauseEnd::Due => wait,
        }
    }

    /// Begins to follow the store as closely as a planner has to.
    pub(super) fn follow_as_planner(&self) {
        self.job_read_pause.end();
        self.term_won.notify_one();
    }

    /// Brings the job table up to date before a request is answered from it.
    pub(super) async fn catch_up_jobs(&self) {
        self.job_read_pause.catch_up(CATCH_UP_TIMEOUT).await;
    }

    /// Waits for the next read of the jobs to be applied.
    pub(super) async fn await_next_read(&self) {
        self.job_read_pause.await_next_read(CATCH_UP_TIMEOUT).await;
    }

    fn fold_jobs(&self, batch: Batch, regained: bool) {
        let now = self.now();
        self.counters
            .latency("state_read", batch.requested_at.elapsed());
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
                JobRecord::Entry(entry) => {
                    state.entry_announced(now, self.settings.host_room(), entry);
                }
                JobRecord::EntryGone(name) => state.entries.remove(name),
                JobRecord::Load(load) => state.admission.apply(load.clone()),
                JobRecord::Accepted(_) | JobRecord::Cancelled(_) => {}
            }
            if state.job_table.fold(now, record.clone()) && !matches!(record, JobRecord::Planner(_))
            {
                changed = true;
                state.queue_for_planner(record);
            }
        }
        state.job_table_end = batch.end;
        if batch.is_current {
            state.job_table_current_at = Some(batch.requested_at);
        }
        state.reachability.answered(Instant::now());
        let load_age_ms = state.admission.record_age_ms(unix_ms());
        drop(state);
        if let Some(age_ms) = load_age_ms {
            self.counters.level("load_record_age_ms", age_ms as f64);
        }
        if changed {
            self.planner_wakeup.notify_one();
        }
    }

    pub(super) fn log_reachability(&self, before: &mut bool, now: bool, what: &str, why: &str) {
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
    /// Returns whether the entry has to watch the planner closely because it may have to succeed it.
    pub(super) fn stands_by(&mut self, name: &Name, now: Timestamp) -> bool {
        let is_silent = now.since(self.election.seen()) > MAX_PLANNER_SILENCE;
        is_silent || self.entries.stands_by(name, self.election.term().number)
    }

    fn entry_announced(&mut self, now: Timestamp, own: HostRoom, entry: &EntryRecord) {
        self.entries.announced(now, entry);
        if self.is_planner && self.entries.should_yield(own, entry) {
            log::info!(to:% = entry.name; "term_yielded");
            self.should_yield = true;
        }
    }

    pub(super) fn queue_for_planner(&mut self, record: JobRecord) {
        if self.is_planner {
            self.new_records.push(record);
        }
    }

    /// Applies a configuration unless it is older than the one in force; an earlier version never
    /// comes back into force.
    fn apply_configuration(&mut self, configuration: Configuration) {
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

/// Waits for `notify` for at most `limit`; returns whether it was notified.
pub(super) async fn wait_for(notify: &Notify, limit: Duration) -> bool {
    timeout(limit, notify.notified()).await.is_ok()
}
