//! The planner: starts, watches and stops gangs while its entry holds the newest term.
//!
//! Every entry keeps this table up to date from the log, so that the next planner has nothing to
//! read when it takes over; only the one that holds the term acts.

use std::{
    collections::{BTreeSet, VecDeque},
    sync::Arc,
    time::Duration, //
};

use crate::{
    connection::{GangMessage, JobEnd, MemberReport, MemberState, RecordBody},
    job::{
        Close, Decision, Election, ElectionView, Gang, GangAction, GangId, Item, JobId, JobSpec,
        LiveJob, Notice, Retention, Ring, Scheduler, StopReason, Unreachable, UsageReport,
        WorkerInfo,
    },
    utils::{HashMap, HashSet, Name, Timestamp},
    version::Version,
};

/// Workers that one job may bring into disrepute by failing on them. Some jobs can never run, and
/// must not have all workers set aside one after the other.
const BLAMED_WORKERS: usize = 2;

/// Attempts of one job that may fail beyond those that it takes to set those workers aside, so that
/// they can't fail a good job.
const SPARE_FAILURES: u32 = 2;

/// How long a shape must not be had from the workers known before an accepted job is ended for it.
/// A planner that was replaced lately may not have heard of a worker that is away for a while.
const IMPOSSIBLE_FOR: Duration = Duration::from_secs(600);

/// Time between two looks at a job whose shape can't be had.
const IMPOSSIBLE_PAUSE: Duration = Duration::from_secs(15);

/// Pause before a job is tried again, for each of its failures, and the longest such pause.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
const LONGEST_RETRY_PAUSE: Duration = Duration::from_millis(4_000);

/// Pause before a record that did not reach the log is appended again.
const APPEND_PAUSE: Duration = Duration::from_millis(1_000);

/// How long a gang has to run to count as well started, and a task that fails sooner as badly.
const PROVED: Duration = Duration::from_millis(10_000);

/// Time between two looks at the owners of keys.
const RING_PERIOD: Duration = Duration::from_millis(500);

/// What a record that the planner appends is for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Purpose {
    /// To claim a term.
    Term,
    /// To start a gang.
    Start(GangId),
    /// To fence a gang.
    Fence(GangId),
    /// To end an attempt or a job.
    Close(JobId),
    /// To change the owners of keys.
    Ring,
    /// To repeat a state before the log drops it.
    Carry(Item),
}

/// What is to be done for the planner.
#[derive(Clone, Debug, PartialEq)]
pub enum PlannerAction {
    /// Send an order.
    Send(Notice),
    /// Append a record, and tell [`Planner::appended`] its id.
    Append {
        /// The record.
        body: Box<RecordBody>,
        /// What it is for.
        purpose: Purpose,
    },
    /// Repeat a state, as it is on the log now, in a record.
    Carry(Item),
}

/// What the entry knows when the planner looks at its gangs.
#[derive(Clone, Debug)]
pub struct PlannerView {
    /// What decides on a claim.
    pub election: ElectionView,
    /// The offset of the next record that this entry will fold.
    pub next_offset: u64,
    /// The least such offset of all entries.
    pub folded_by_all: u64,
    /// The owners of keys.
    pub owners: Vec<Name>,
}

/// A live job at the planner.
#[derive(Debug)]
pub(super) struct Planned {
    pub(super) live: LiveJob,
    /// The last attempt of this planner, which may not have reached the log.
    pub(super) tried: u32,
    pub(super) gang: Option<Gang>,
    /// How long its former attempts of this planner ran.
    ran: Duration,
    impossible_since: Option<Timestamp>,
    /// Workers that were blamed for its failures, and how often.
    blamed: HashMap<Name, u32>,
}

/// A record that ends an attempt or a job, until it is on the log.
#[derive(Debug)]
pub(super) struct Closing {
    body: RecordBody,
    /// None while the record is under way.
    retry_at: Option<Timestamp>,
}

/// The planner's table.
#[derive(Debug)]
pub struct Planner {
    pub(super) election: Election,
    ring: Ring,
    next_ring: Timestamp,
    pub(super) retention: Retention,
    pub(super) scheduler: Scheduler,
    pub(super) version: Arc<Version>,
    pub(super) jobs: HashMap<JobId, Planned>,
    by_worker: HashMap<Name, HashSet<JobId>>,
    workers: BTreeSet<Name>,
    /// Jobs whose gang is not known to run steadily.
    pub(super) touched: HashSet<JobId>,
    pub(super) closing: HashMap<JobId, Closing>,
    pub(super) resting: BTreeSet<(Timestamp, JobId)>,
    pub(super) proving: VecDeque<(Timestamp, GangId)>,
    pub(super) pending: HashMap<Name, Purpose>,
}

impl Planned {
    pub(super) fn new(live: &LiveJob) -> Self {
        Self {
            live: live.clone(),
            tried: live.attempt,
            gang: None,
            ran: Duration::ZERO,
            impossible_since: None,
            blamed: HashMap::default(),
        }
    }
}

impl Planner {
    /// Returns the table of the entry called `me`, which is not planner.
    pub fn new(me: Name, version: Arc<Version>) -> Self {
        let mut scheduler = Scheduler::new();
        scheduler.configure(&version);
        Self {
            election: Election::new(me),
            ring: Ring::default(),
            next_ring: Timestamp::default(),
            retention: Retention::default(),
            scheduler,
            version,
            jobs: HashMap::default(),
            by_worker: HashMap::default(),
            workers: BTreeSet::new(),
            touched: HashSet::default(),
            closing: HashMap::default(),
            resting: BTreeSet::new(),
            proving: VecDeque::new(),
            pending: HashMap::default(),
        }
    }

    /// Returns the term that this process holds as planner; none where it is not planner.
    pub fn term(&self) -> Option<u64> {
        self.election.held()
    }

    /// Returns the name of the entry.
    pub fn me(&self) -> &Name {
        self.election.me()
    }

    /// Checks that a job can be had from the workers known.
    ///
    /// # Errors
    ///
    /// Why it can never be had.
    pub fn possible(&self, spec: &JobSpec) -> Result<(), Unreachable> {
        self.scheduler.possible(spec)
    }

    /// Takes note of the id of a record that was queued for `purpose`.
    pub fn appended(&mut self, id: Name, purpose: Purpose) {
        self.pending.insert(id, purpose);
    }

    /// Takes note that a record of this process is not known to be on the log.
    pub fn append_failed(&mut self, now: Timestamp, id: &Name) {
        match self.pending.remove(id) {
            Some(Purpose::Term) => self.election.claim_failed(),
            Some(Purpose::Start(gang)) => {
                if let Some(gang) = self.gang_mut(&gang) {
                    gang.stop(now, StopReason::NotRecorded);
                }
            }
            Some(Purpose::Fence(gang)) => {
                if let Some(gang) = self.gang_mut(&gang) {
                    gang.fence_failed();
                }
            }
            Some(Purpose::Close(job)) => {
                if let Some(closing) = self.closing.get_mut(&job) {
                    closing.retry_at = Some(now + APPEND_PAUSE);
                }
            }
            Some(Purpose::Carry(item)) => self.retention.outdated(now, item),
            Some(Purpose::Ring) | None => {}
        }
    }

    /// Takes note of a new configuration.
    pub fn configure(&mut self, version: &Arc<Version>) {
        if Arc::ptr_eq(version, &self.version) {
            return;
        }
        self.version = version.clone();
        self.scheduler.configure(version);
    }

    /// Takes note of a live agent with its worker.
    pub fn worker_up(&mut self, now: Timestamp, info: WorkerInfo) {
        self.workers.insert(info.name.clone());
        self.scheduler.worker_up(now, info);
    }

    /// Takes note that an agent may get no work: its link or its worker is lost, or it is leaving.
    pub fn worker_down(&mut self, now: Timestamp, worker: &Name) {
        self.workers.remove(worker);
        self.scheduler.worker_down(now, worker);
    }

    /// Takes note that an agent has been silent for so long that its members count as lost.
    pub fn worker_lost(&mut self, now: Timestamp, worker: &Name) {
        for job in self.jobs_on(worker) {
            self.touched.insert(job.clone());
            if let Some(gang) = self.jobs.get_mut(&job).and_then(|j| j.gang.as_mut()) {
                gang.worker_lost(now, worker);
            }
        }
    }

    /// Takes an agent's report of its members. Before it `knows_worker` it reports none of those
    /// that a former process of it may have left.
    pub fn report(
        &mut self,
        now: Timestamp,
        agent: &Name,
        members: &[MemberReport],
        knows_worker: bool,
    ) -> Vec<Notice> {
        let Some(term) = self.election.held() else {
            return Vec::new();
        };
        let mut absent = self.jobs_on(agent);
        let mut notices = Vec::new();
        for member in members {
            if self.gang_mut(&member.gang).is_some() {
                absent.retain(|job| *job != member.gang.job);
                self.member_state(now, agent, member);
            } else if is_held(member.state) {
                // An attempt that was given up before the log had it, or that has ended.
                notices.push(Notice {
                    to: agent.clone(),
                    message: GangMessage::Stop {
                        term,
                        gang: member.gang.clone(),
                        checkpoint: true,
                    },
                });
            }
        }
        for job in absent.into_iter().filter(|_| knows_worker) {
            self.touched.insert(job.clone());
            if let Some(gang) = self.jobs.get_mut(&job).and_then(|j| j.gang.as_mut()) {
                gang.report(now, agent, None);
            }
        }
        notices
    }

    /// Returns what is to be done now; to be called every 100 ms.
    pub fn tick(&mut self, now: Timestamp, view: &PlannerView) -> Vec<PlannerAction> {
        let mut actions = Vec::new();
        if let Some(term) = self.election.tick(now, &view.election) {
            let entry = self.election.me().clone();
            actions.push(append(RecordBody::Term { entry, term }, Purpose::Term));
        }
        let Some(term) = self.election.held() else {
            return actions;
        };
        self.wake_resting(now);
        self.prove_starts(now);
        // A planner that may have been replaced without knowing starts nothing.
        if view.election.fresh {
            self.decide(now, term);
            self.change_owners(now, term, &view.owners, &mut actions);
            let due = self.retention.due(now, view.next_offset);
            actions.extend(due.into_iter().map(PlannerAction::Carry));
        }
        self.tick_gangs(now, term, view.folded_by_all, &mut actions);
        self.append_closing(now, &mut actions);
        actions
    }

    fn decide(&mut self, now: Timestamp, term: u64) {
        for decision in self.scheduler.decide(now) {
            match decision {
                Decision::Start { job, placements } => {
                    let Some(planned) = self.jobs.get_mut(&job) else {
                        continue;
                    };
                    if planned.gang.is_some() || self.closing.contains_key(&job) {
                        continue;
                    }
                    planned.impossible_since = None;
                    planned.tried = planned.tried.max(planned.live.attempt) + 1;
                    let id = GangId {
                        job: job.clone(),
                        term,
                        attempt: planned.tried,
                    };
                    log::info!(job:% = job, attempt = id.attempt; "gang_reserving");
                    let gang = Gang::reserve(now, id, planned.live.clone(), &placements);
                    self.place(gang);
                }
                Decision::Evict { job, .. } => self.stop_gang(now, &job, StopReason::Evicted),
                Decision::Impossible { job, why } => self.impossible(now, &job, why),
            }
        }
    }

    fn impossible(&mut self, now: Timestamp, job: &JobId, why: Unreachable) {
        let Some(planned) = self.jobs.get_mut(job) else {
            return;
        };
        let since = *planned.impossible_since.get_or_insert(now);
        log::warn!(job:% = job, why:? = why; "job_impossible");
        if now.since(since) > IMPOSSIBLE_FOR {
            self.end(now, job, JobEnd::Impossible);
        } else {
            self.resting.insert((now + IMPOSSIBLE_PAUSE, job.clone()));
        }
    }

    fn change_owners(
        &mut self,
        now: Timestamp,
        term: u64,
        owners: &[Name],
        actions: &mut Vec<PlannerAction>,
    ) {
        if now < self.next_ring {
            return;
        }
        self.next_ring = now + RING_PERIOD;
        if let Some(members) = self.ring.tick(now, &self.workers, owners) {
            actions.push(append(RecordBody::Ring { term, members }, Purpose::Ring));
        }
    }

    fn tick_gangs(
        &mut self,
        now: Timestamp,
        term: u64,
        folded: u64,
        actions: &mut Vec<PlannerAction>,
    ) {
        let touched: Vec<JobId> = self.touched.drain().collect();
        for job in touched {
            let Some(gang) = self.jobs.get_mut(&job).and_then(|j| j.gang.as_mut()) else {
                continue;
            };
            let was_running = gang.running_since().is_some();
            for action in gang.tick(now, term, folded) {
                self.follow(now, &job, action, actions);
            }
            let Some(gang) = self.jobs.get(&job).and_then(|j| j.gang.as_ref()) else {
                continue;
            };
            if gang.running_since().is_none() {
                self.touched.insert(job);
            } else if !was_running {
                self.proving.push_back((now + PROVED, gang.id().clone()));
            }
        }
    }

    fn follow(
        &mut self,
        now: Timestamp,
        job: &JobId,
        action: GangAction,
        actions: &mut Vec<PlannerAction>,
    ) {
        let Some(gang) = self.jobs.get(job).and_then(|j| j.gang.as_ref()) else {
            return;
        };
        let GangId { term, attempt, .. } = *gang.id();
        match action {
            GangAction::Send { to, message } => {
                actions.push(PlannerAction::Send(Notice { to, message }));
            }
            GangAction::RecordStart => {
                let body = RecordBody::JobStarted {
                    term,
                    job: job.clone(),
                    attempt,
                    placements: gang.placements(),
                };
                actions.push(append(body, Purpose::Start(gang.id().clone())));
            }
            GangAction::RecordFence => {
                let body = RecordBody::JobFenced {
                    term: self.election.held().unwrap_or(term),
                    job: job.clone(),
                    attempt,
                };
                log::warn!(job:% = job, attempt = attempt; "gang_fenced");
                actions.push(append(body, Purpose::Fence(gang.id().clone())));
            }
            GangAction::Close(close) => self.close(now, job, close),
        }
    }

    fn close(&mut self, now: Timestamp, job: &JobId, close: Close) {
        let limit = failure_limit(self.version.limits.worker_failures);
        let Some(planned) = self.jobs.get(job) else {
            return;
        };
        let failures = planned.live.failures;
        let attempt = planned.live.attempt;
        match close {
            Close::Finished => {
                self.learn_usage(now, job);
                self.end(now, job, JobEnd::Finished);
            }
            Close::Stopped { .. } if planned.live.cancelled => {
                self.end(now, job, JobEnd::Cancelled);
            }
            Close::Stopped { failed: true, .. } if failures + 1 >= limit => {
                self.end(now, job, JobEnd::Failed);
            }
            Close::Stopped {
                checkpointed,
                failed,
                recorded: true,
            } => {
                self.count_run(now, job, checkpointed);
                let body = RecordBody::JobStopped {
                    term: self.election.held().unwrap_or_default(),
                    job: job.clone(),
                    attempt,
                    checkpointed,
                    failed,
                };
                self.close_with(now, job, body);
            }
            Close::Stopped { .. } => {
                self.unplace(job);
                self.rest(now, job);
            }
        }
    }

    /// Counts the time that an attempt ran, unless its work is lost.
    fn count_run(&mut self, now: Timestamp, job: &JobId, checkpointed: bool) {
        if let Some(planned) = self.jobs.get_mut(job)
            && let Some(gang) = &planned.gang
            && checkpointed
        {
            planned.ran += gang.ran(now);
        }
    }

    fn learn_usage(&mut self, now: Timestamp, job: &JobId) {
        let Some(planned) = self.jobs.get(job) else {
            return;
        };
        let ran = planned.ran + planned.gang.as_ref().map_or(Duration::ZERO, |g| g.ran(now));
        let report = UsageReport {
            job: job.clone(),
            ran_ms: u64::try_from(ran.as_millis()).unwrap_or(u64::MAX),
            finished: true,
        };
        self.scheduler.usage(now, &report);
    }

    pub(super) fn end(&mut self, now: Timestamp, job: &JobId, end: JobEnd) {
        let body = RecordBody::JobEnded {
            term: self.election.held().unwrap_or_default(),
            job: job.clone(),
            end,
        };
        self.close_with(now, job, body);
    }

    pub(super) fn close_with(&mut self, now: Timestamp, job: &JobId, body: RecordBody) {
        let closing = Closing {
            body,
            retry_at: Some(now),
        };
        self.closing.insert(job.clone(), closing);
    }

    fn append_closing(&mut self, now: Timestamp, actions: &mut Vec<PlannerAction>) {
        for (job, closing) in &mut self.closing {
            if closing.retry_at.is_some_and(|at| now >= at) {
                closing.retry_at = None;
                actions.push(append(closing.body.clone(), Purpose::Close(job.clone())));
            }
        }
    }

    /// Lets a job wait again after a pause, so that one that can't be started does not keep the
    /// agents and the log busy.
    pub(super) fn rest(&mut self, now: Timestamp, job: &JobId) {
        let failures = self.jobs.get(job).map_or(0, |j| j.live.failures);
        let pause = (RETRY_PAUSE * (failures + 1)).min(LONGEST_RETRY_PAUSE);
        self.resting.insert((now + pause, job.clone()));
    }

    fn wake_resting(&mut self, now: Timestamp) {
        while let Some((at, _)) = self.resting.first()
            && *at <= now
        {
            let Some((_, job)) = self.resting.pop_first() else {
                return;
            };
            if let Some(planned) = self.jobs.get(&job)
                && planned.gang.is_none()
                && !self.closing.contains_key(&job)
            {
                if planned.impossible_since.is_some() {
                    // It is no longer in the scheduler's queue.
                    self.scheduler.job_gone(now, &job);
                }
                self.scheduler.job_waits(now, &planned.live);
            }
        }
    }

    fn prove_starts(&mut self, now: Timestamp) {
        while let Some((at, _)) = self.proving.front()
            && *at <= now
        {
            let Some((_, id)) = self.proving.pop_front() else {
                return;
            };
            let gang = self.jobs.get(&id.job).and_then(|j| j.gang.as_ref());
            if let Some(gang) = gang.filter(|g| *g.id() == id && g.running_since().is_some()) {
                for worker in gang.workers() {
                    self.scheduler.start_succeeded(now, worker);
                }
            }
        }
    }

    fn member_state(&mut self, now: Timestamp, agent: &Name, member: &MemberReport) {
        let job = &member.gang.job;
        self.touched.insert(job.clone());
        let Some(gang) = self.jobs.get_mut(job).and_then(|j| j.gang.as_mut()) else {
            return;
        };
        let young = gang.running_since().is_none_or(|at| now.since(at) < PROVED);
        let before = gang.report(now, agent, Some(member.state));
        if before == Some(member.state) {
            return;
        }
        match member.state {
            MemberState::Failed | MemberState::Refused if young => self.blame(now, job, agent),
            MemberState::Finished => self.scheduler.start_succeeded(now, agent),
            _ => {}
        }
    }

    fn blame(&mut self, now: Timestamp, job: &JobId, worker: &Name) {
        let Some(planned) = self.jobs.get_mut(job) else {
            return;
        };
        let known = planned.blamed.len() < BLAMED_WORKERS || planned.blamed.contains_key(worker);
        if !known {
            return;
        }
        // Once the worker is set aside for it, more failures of the same job prove nothing new.
        let count = planned.blamed.entry(worker.clone()).or_default();
        if *count < self.version.limits.worker_failures {
            *count += 1;
            self.scheduler.start_failed(now, worker);
        }
    }

    fn stop_gang(&mut self, now: Timestamp, job: &JobId, reason: StopReason) {
        self.touched.insert(job.clone());
        if let Some(gang) = self.jobs.get_mut(job).and_then(|j| j.gang.as_mut()) {
            gang.stop(now, reason);
        }
    }

    pub(super) fn place(&mut self, gang: Gang) {
        let job = gang.id().job.clone();
        self.unplace(&job);
        for worker in gang.workers() {
            let jobs = self.by_worker.entry(worker.clone()).or_default();
            jobs.insert(job.clone());
        }
        self.touched.insert(job.clone());
        if let Some(planned) = self.jobs.get_mut(&job) {
            planned.gang = Some(gang);
        }
    }

    pub(super) fn unplace(&mut self, job: &JobId) {
        let Some(planned) = self.jobs.get_mut(job) else {
            return;
        };
        let Some(gang) = planned.gang.take() else {
            return;
        };
        for worker in gang.workers() {
            if let Some(jobs) = self.by_worker.get_mut(worker) {
                jobs.remove(job);
                if jobs.is_empty() {
                    self.by_worker.remove(worker);
                }
            }
        }
    }

    fn jobs_on(&self, worker: &Name) -> Vec<JobId> {
        let jobs = self.by_worker.get(worker);
        jobs.into_iter().flatten().cloned().collect()
    }

    fn gang_mut(&mut self, id: &GangId) -> Option<&mut Gang> {
        let gang = self.jobs.get_mut(&id.job)?.gang.as_mut()?;
        (gang.id() == id).then_some(gang)
    }
}

/// Returns how many attempts of a job may fail, where a worker is set aside after that many.
fn failure_limit(worker_failures: u32) -> u32 {
    let blamed = u32::try_from(BLAMED_WORKERS).unwrap_or(u32::MAX);
    worker_failures
        .saturating_mul(blamed)
        .saturating_add(SPARE_FAILURES)
}

fn append(body: RecordBody, purpose: Purpose) -> PlannerAction {
    PlannerAction::Append {
        body: Box::new(body),
        purpose,
    }
}

fn is_held(state: MemberState) -> bool {
    matches!(
        state,
        MemberState::Reserved | MemberState::Running | MemberState::Stopping
    )
}
