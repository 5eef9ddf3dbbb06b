//! An entry: answers callers, follows the store, and is planner when it holds the term.

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
    port::{
        Advisor, Append, AppendError, CallerAnswer, CallerCall, CallerRequest, Configuration,
        Entrance, JobState, OperatorRecord, Partition, ReadError, Refusal, Store, StoreRecord,
    },
    process::{
        Counters,
        on_store::{
            Batch, BootTime, Follower, StoreSettings, planner_term::PlannerTerm,
            read_pause::ReadPause,
        },
    },
    utils::{HashMap, HashSet, Name, Timestamp, lock},
    workload::{Book, Election, Job, JobRecord, LookUp, MOST_NAME_BYTES, StoreReach, Waiting},
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

/// Time for one append of a caller's record.
const APPEND_TIMEOUT: Duration = Duration::from_millis(900);

/// Time for the read that shows whether the store can be reached.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// How many of the store's usual delays that read may take.
const PROBE_DELAYS: u32 = 4;

/// Pause between two tries of an append.
const APPEND_PAUSE: Duration = Duration::from_millis(60);

/// Tries of an append that the store refuses before the caller is told so: one short refusal is
/// bridged, a store that stays away is not waited for.
const REFUSED_TRIES: u32 = 3;

/// When callers come back after a refusal: the time in which a short outage ends.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Age of the newest proof from the store above which the balancer is told to go elsewhere.
const READY_AGE: Duration = Duration::from_millis(2_200);

const _: () = assert!(READY_AGE.as_millis() > 2 * READ_WAIT.as_millis() + FOLLOW_PAUSE.as_millis());

/// Share of the bound on revoked keys up to which an old proof still counts; the rest covers the
/// time that a request is under way.
const REVOKE_SHARE: f64 = 0.85;

/// Share of a caller's patience after which it is told that the outcome is not known.
const PATIENCE_SHARE: f64 = 0.85;

/// Decodes operators' records; the adapter knows their format.
pub type OperatorDecoder = dyn Fn(&StoreRecord) -> Option<OperatorRecord>;

/// What an entry knows. Guarded by one lock.
pub(super) struct EntryState {
    pub(super) book: Book,
    pub(super) book_end: u64,
    pub(super) book_proof: Option<BootTime>,
    pub(super) configuration: Option<Arc<Configuration>>,
    pub(super) evacuated: Arc<HashSet<Name>>,
    pub(super) operator_proof: Option<BootTime>,
    pub(super) reach: StoreReach,
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
    job_reads: ReadPause,
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
            settings,
            store,
            advisor,
            counters,
            state: Mutex::new(EntryState {
                book: Book::default(),
                book_end: 0,
                book_proof: None,
                configuration: None,
                evacuated: Arc::default(),
                operator_proof: None,
                reach: StoreReach::default(),
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
        loop {
            match follower.next(READ_WAIT).await {
                Ok(batch) => {
                    self.report_reach(&mut reachable, true, "operators", "");
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
        state.operator_proof = Some(batch.asked);
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
                    self.report_reach(&mut reachable, true, "jobs", "");
                    self.fold_jobs(batch, regained);
                    lock(&self.state).store_delay = follower.usual_delay();
                    wait = self.pause_reads().await;
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
        let wanted = self.job_reads.pause(FOLLOW_PAUSE).await;
        if wanted { Duration::ZERO } else { READ_WAIT }
    }

    /// Brings the book up to date before a question is answered from it.
    pub(super) async fn catch_up(&self) {
        self.job_reads.catch_up(CATCH_UP).await;
    }

    /// Returns what the book has of a job, as current as the store's answers allow.
    async fn look_up(&self, name: &Name) -> LookUp {
        self.catch_up().await;
        let found = lock(&self.state).book.look_up(name);
        if found != LookUp::Unknown {
            return found;
        }
        // Another entry may have accepted it since the read under way was answered.
        self.job_reads.next_read(CATCH_UP).await;
        lock(&self.state).book.look_up(name)
    }

    fn fold_jobs(&self, batch: Batch, regained: bool) {
        let now = self.now();
        self.counters.latency("state_read", batch.asked.elapsed());
        let mut state = lock(&self.state);
        if regained || batch.replaces {
            state.election.was_cut_off(now);
        }
        let mut changed = false;
        for record in &batch.records {
            let Some(record) = JobRecord::decode(record) else {
                log::warn!(key:% = record.key; "job_record_unreadable");
                continue;
            };
            match &record {
                JobRecord::Planner(term) => state.election.saw(now, term),
                JobRecord::Plan(..) => state.election.saw_plan(now),
                JobRecord::Accepted(_) | JobRecord::Cancelled(_) => {}
            }
            if state.book.fold(record.clone()) && !matches!(record, JobRecord::Planner(_)) {
                changed = true;
                state.tell_planner(record);
            }
        }
        state.book_end = batch.end;
        state.book_proof = Some(batch.asked);
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

    async fn submit(&self, req: &CallerRequest, job: Job) -> CallerAnswer {
        let known = lock(&self.state)
            .book
            .get(&job.name)
            .is_some_and(|e| e.job.is_some());
        if known {
            return CallerAnswer::Accepted;
        }
        let summary = job.to_string();
        let name = job.name.clone();
        let record = JobRecord::Accepted(Box::new(job));
        let came = Instant::now();
        let answer = self.append(req, &record).await;
        self.counters.latency("hand_in", came.elapsed());
        self.counters.event(match &answer {
            Ok(()) => "job_accepted",
            Err(CallerAnswer::Unknown) => "job_unknown",
            Err(_) => "job_refused",
        });
        if answer.is_ok() {
            self.remember(record);
        }
        log::info!(
            job:% = name, outcome = outcome_name(&answer), summary,
            patience_ms = req.patience.as_millis() as u64;
            "job_handed_in"
        );
        answer.map_or_else(|refused| refused, |()| CallerAnswer::Accepted)
    }

    async fn cancel(&self, req: &CallerRequest, name: &Name) -> CallerAnswer {
        let LookUp::Known(state) = self.look_up(name).await else {
            return self.not_known();
        };
        if matches!(
            state,
            JobState::Completed | JobState::Failed | JobState::Cancelled
        ) {
            return CallerAnswer::Cancelled;
        }
        let record = JobRecord::Cancelled(name.clone());
        let answer = self.append(req, &record).await;
        if answer.is_ok() {
            self.remember(record);
        }
        log::info!(job:% = name, outcome = outcome_name(&answer); "job_cancelled");
        answer.map_or_else(|refused| refused, |()| CallerAnswer::Cancelled)
    }

    /// Folds a record that the store has confirmed before the follower reads it, so that this
    /// entry answers for it at once.
    fn remember(&self, record: JobRecord) {
        let mut state = lock(&self.state);
        if state.book.fold(record.clone()) {
            state.tell_planner(record);
        }
        drop(state);
        self.news.notify_one();
    }

    /// Appends a caller's record. Repeats and late arrivals of it do no harm, so it is tried again
    /// until the store confirms it; it is refused only where no try can have reached the store.
    async fn append(&self, req: &CallerRequest, record: &JobRecord) -> Result<(), CallerAnswer> {
        let append = Append {
            partition: Partition::JOBS,
            records: vec![record.encode()],
            writer: None,
            at: None,
        };
        if !self.store_answers().await {
            return Err(self.refuse(Refusal::StoreAway));
        }
        let end = Instant::now() + req.patience.mul_f64(PATIENCE_SHARE);
        let mut doubtful = false;
        let mut refused = 0;
        loop {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(self.not_stored(doubtful));
            }
            if !doubtful && self.store_is_away() {
                return Err(self.refuse(Refusal::StoreAway));
            }
            let asked = Instant::now();
            let appended = self.store.append(&append, left.min(APPEND_TIMEOUT)).await;
            self.counters.latency("append", asked.elapsed());
            match appended {
                Ok(_) => {
                    lock(&self.state).reach.answered(Instant::now());
                    return Ok(());
                }
                Err(AppendError::Unknown(reason)) => {
                    doubtful = true;
                    let mut state = lock(&self.state);
                    state
                        .reach
                        .append_unanswered(Instant::now(), APPEND_TIMEOUT);
                    drop(state);
                    self.counters.event("append_doubtful");
                    log::debug!(reason; "append_doubtful");
                }
                Err(error) => {
                    refused += 1;
                    log::debug!(reason:% = error; "append_refused");
                    if refused >= REFUSED_TRIES && !doubtful {
                        return Err(self.not_stored(false));
                    }
                }
            }
            sleep(APPEND_PAUSE).await;
        }
    }

    /// Returns whether the store can be reached, by an answer of a moment ago or by a short read.
    ///
    /// A record that is sent into a partition leaves its caller in doubt until its patience ends. A read that
    /// is not answered harms nobody: the caller is refused truly, and tries another entry.
    async fn store_answers(&self) -> bool {
        let (recent, delay, end) = {
            let state = lock(&self.state);
            let recent = state.reach.is_recent(Instant::now(), state.store_delay);
            (recent, state.store_delay, state.book_end)
        };
        if recent {
            return true;
        }
        let within = PROBE_TIMEOUT.max(delay * PROBE_DELAYS);
        let read = self.store.read(Partition::JOBS, end, Duration::ZERO);
        let answered = match timeout(within, read).await {
            Ok(Ok(_) | Err(ReadError::Dropped(_))) => true,
            Ok(Err(ReadError::Unavailable(_))) | Err(_) => false,
        };
        let mut state = lock(&self.state);
        if answered {
            state.reach.answered(Instant::now());
        } else {
            state.reach.read_failed();
        }
        answered
    }

    fn store_is_away(&self) -> bool {
        let state = lock(&self.state);
        state.reach.is_away(Instant::now(), state.store_delay)
    }

    fn not_stored(&self, doubtful: bool) -> CallerAnswer {
        if doubtful {
            CallerAnswer::Unknown
        } else {
            self.refuse(Refusal::StoreRefused)
        }
    }

    fn refuse(&self, refusal: Refusal) -> CallerAnswer {
        self.counters.event(refusal.name());
        CallerAnswer::Refused(refusal, RETRY_AFTER)
    }

    /// Answers for a job that the book does not have: only a current book can deny it.
    fn not_known(&self) -> CallerAnswer {
        let proof = lock(&self.state).book_proof;
        if proof.is_some_and(|p| p.elapsed() < READY_AGE) {
            CallerAnswer::NoJob
        } else {
            self.refuse(Refusal::NotReady)
        }
    }

    fn admit(&self, req: &CallerRequest) -> Result<Admitted, CallerAnswer> {
        let state = lock(&self.state);
        let Some(configuration) = state.configuration.clone() else {
            drop(state);
            return Err(self.refuse(Refusal::NotReady));
        };
        let proof = state.operator_proof.map(BootTime::elapsed);
        let read = state.book_proof.is_some();
        drop(state);
        let most = self.settings.bounds.revoke.mul_f64(REVOKE_SHARE);
        if proof.is_none_or(|age| age > most) || !read {
            return Err(self.refuse(Refusal::ConfigurationStale));
        }
        let Some((queue, rest)) = configuration.queue_of(&req.host, &req.path) else {
            return Err(CallerAnswer::NoQueue);
        };
        let workspace = req
            .key
            .as_deref()
            .and_then(|k| configuration.workspace_of(k));
        if !queue.public && workspace.is_none() {
            return Err(CallerAnswer::UnknownKey);
        }
        Ok(Admitted {
            queue: queue.clone(),
            workspace: workspace.map(|w| w.name.clone()),
            job: rest.into(),
        })
    }
}

/// A request that the configuration in force allows.
struct Admitted {
    queue: crate::port::Queue,
    workspace: Option<Name>,
    job: Name,
}

impl<S: Store, A: Advisor> Entrance for StoreEntry<S, A> {
    async fn call(&self, req: CallerRequest) -> CallerAnswer {
        let admitted = match self.admit(&req) {
            Ok(admitted) => admitted,
            Err(answer) => return answer,
        };
        let name = admitted.job.clone();
        match &req.call {
            CallerCall::Look if name.is_empty() => {
                CallerAnswer::Pending(lock(&self.state).book.pending(&admitted.queue.name))
            }
            CallerCall::Look => match self.look_up(&name).await {
                LookUp::Known(state) => CallerAnswer::State(state),
                LookUp::Unknown => self.not_known(),
            },
            CallerCall::Cancel => self.cancel(&req, &name).await,
            CallerCall::Submit(Some(job)) if job.is_sound() && is_storable(&name) => {
                let job = Job {
                    name,
                    queue: admitted.queue.name.clone(),
                    service: admitted.queue.service.clone(),
                    workspace: admitted.workspace,
                    priority: admitted.queue.priority,
                    max_attempts: admitted.queue.max_attempts,
                    stretch: admitted.queue.stretch,
                    target_ms: u64::try_from(admitted.queue.target.as_millis()).unwrap_or(0),
                    accepted_ms: unix_ms(),
                    request: job.clone(),
                };
                self.submit(&req, job).await
            }
            CallerCall::Submit(_) => CallerAnswer::Malformed,
        }
    }

    fn is_ready(&self) -> bool {
        let state = lock(&self.state);
        let current = |proof: Option<BootTime>| proof.is_some_and(|p| p.elapsed() < READY_AGE);
        state.configuration.is_some()
            && current(state.operator_proof)
            && current(state.book_proof)
            && !self.stopping.load(Ordering::Relaxed)
    }
}

impl EntryState {
    fn tell_planner(&mut self, record: JobRecord) {
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

/// Returns whether records of a job with this name can be told apart in the store.
fn is_storable(name: &str) -> bool {
    !name.is_empty() && name.len() <= MOST_NAME_BYTES
}

fn outcome_name(answer: &Result<(), CallerAnswer>) -> &'static str {
    match answer {
        Ok(()) => "stored",
        Err(CallerAnswer::Unknown) => "unknown",
        Err(_) => "refused",
    }
}

/// Waits for `notify`, up to `most`; returns whether it came.
pub(super) async fn wait_for(notify: &Notify, most: Duration) -> bool {
    timeout(most, notify.notified()).await.is_ok()
}
