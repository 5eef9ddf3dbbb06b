//! The planner, which starts, monitors and stops gangs while its entry holds the newest term.
//!
//! Every entry keeps this table up to date from the log, so that the next planner needn't read
//! anything when it takes over. Only the entry that holds the term acts.

use std::{
    collections::{BTreeSet, VecDeque},
    sync::Arc,
    time::Duration, //
};

use crate::{
    connection::{GangMessage, MemberReport, MemberState, RecordBody},
    job::{
        AgentMessage,
        Election,
        ElectionView,
        Gang,
        GangAction,
        GangId,
        ImpossibleReason,
        Item,
        JobId,
        JobSpec,
        LiveJob,
        Retention,
        RingUpdater,
        Scheduler,
        StopReason,
        WorkerInfo,
        closing::ClosingRecord,
        starting::START_CONFIRMED_AFTER, //
    },
    utils::{HashMap, HashSet, Name, Timestamp},
    version::Version,
};

/// Interval between updates of the key owners.
const RING_INTERVAL: Duration = Duration::from_millis(500);

/// The purpose of a record that the planner appends.
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
    /// To repeat a state before the log drops the records that hold it.
    Repeat(Item),
}

/// An action to carry out for the planner.
#[derive(Clone, Debug, PartialEq)]
pub enum PlannerAction {
    /// Send a message to an agent.
    Send(AgentMessage),
    /// Append a record, and pass its id to [`Planner::appended`].
    Append {
        /// The content of the record to append.
        body: Box<RecordBody>,
        /// What the planner appends the record for.
        purpose: Purpose,
    },
    /// Append a record that repeats a state as it is on the log now.
    Repeat(Item),
}

/// The state of the entry that a planner tick depends on.
#[derive(Clone, Debug)]
pub struct PlannerView {
    /// The state that decides on a claim of a term.
    pub election: ElectionView,
    /// The offset of the next log record that this entry will apply.
    pub next_offset: u64,
    /// The lowest such offset among all entries.
    pub folded_by_all: u64,
    /// The current owners of keys.
    pub owners: Vec<Name>,
}

/// The planner's state of a live job.
#[derive(Debug)]
pub(super) struct PlannedJob {
    pub(super) live: LiveJob,
    /// The number of the last attempt made by this planner, which may not have reached the log.
    pub(super) last_attempt: u32,
    pub(super) gang: Option<Gang>,
    /// Total run time of its earlier attempts under this planner.
    pub(super) ran: Duration,
    pub(super) impossible_since: Option<Timestamp>,
    /// Workers that failures of the job were attributed to, and how often.
    pub(super) blamed: HashMap<Name, u32>,
}

/// The planner's state.
#[derive(Debug)]
pub struct Planner {
    pub(super) election: Election,
    pub(super) ring: RingUpdater,
    pub(super) next_ring: Timestamp,
    pub(super) retention: Retention,
    pub(super) scheduler: Scheduler,
    pub(super) version: Arc<Version>,
    pub(super) jobs: HashMap<JobId, PlannedJob>,
    pub(super) by_worker: HashMap<Name, HashSet<JobId>>,
    /// Agents that may get work; each of them may own keys.
    pub(super) agents: BTreeSet<Name>,
    /// Jobs whose gang has to be ticked, because it isn't running or its state may have changed.
    pub(super) jobs_to_tick: HashSet<JobId>,
    pub(super) closing: HashMap<JobId, ClosingRecord>,
    pub(super) delayed_jobs: BTreeSet<(Timestamp, JobId)>,
    pub(super) unconfirmed_starts: VecDeque<(Timestamp, GangId)>,
    pub(super) pending: HashMap<Name, Purpose>,
}

impl PlannedJob {
    pub(super) fn new(live: &LiveJob) -> Self {
        Self {
            live: live.clone(),
            last_attempt: live.attempt,
            gang: None,
            ran: Duration::ZERO,
            impossible_since: None,
            blamed: HashMap::default(),
        }
    }
}

impl Planner {
    /// Returns the planner of the entry called `me`, which doesn't hold a term.
    pub fn new(me: Name, version: Arc<Version>) -> Self {
        let mut scheduler = Scheduler::new();
        scheduler.configure(&version);
        Self {
            election: Election::new(me),
            ring: RingUpdater::default(),
            next_ring: Timestamp::default(),
            retention: Retention::default(),
            scheduler,
            version,
            jobs: HashMap::default(),
            by_worker: HashMap::default(),
            agents: BTreeSet::new(),
            jobs_to_tick: HashSet::default(),
            closing: HashMap::default(),
            delayed_jobs: BTreeSet::new(),
            unconfirmed_starts: VecDeque::new(),
            pending: HashMap::default(),
        }
    }

    /// Returns the term that this process holds as planner; none if it isn't planner.
    pub fn term(&self) -> Option<u64> {
        self.election.held_term()
    }

    /// Returns the name of the entry.
    pub fn me(&self) -> &Name {
        self.election.me()
    }

    /// Checks whether a job can ever run on the known workers.
    ///
    /// # Errors
    ///
    /// Returns why the job can never run.
    pub fn check_possible(&self, spec: &JobSpec) -> Result<(), ImpossibleReason> {
        self.scheduler.check_possible(spec)
    }

    /// Records the id of a log record that was queued for `purpose`.
    pub fn appended(&mut self, id: Name, purpose: Purpose) {
        self.pending.insert(id, purpose);
    }

    /// Handles a record of this process that isn't known to have reached the log.
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
            Some(Purpose::Close(job)) => self.closing_record_failed(now, &job),
            Some(Purpose::Repeat(item)) => self.retention.repeat_now(now, item),
            Some(Purpose::Ring) | None => {}
        }
    }

    /// Applies a new configuration.
    pub fn configure(&mut self, version: &Arc<Version>) {
        if Arc::ptr_eq(version, &self.version) {
            return;
        }
        self.version = version.clone();
        self.scheduler.configure(version);
    }

    /// Records whether an agent may get work. This is independent of its worker: an agent owns keys
    /// even if it has no worker or its worker doesn't answer.
    pub fn agent_live(&mut self, agent: &Name, live: bool) {
        if live {
            self.agents.insert(agent.clone());
        } else {
            self.agents.remove(agent);
        }
    }

    /// Records a live agent with its worker.
    pub fn worker_up(&mut self, now: Timestamp, info: WorkerInfo) {
        self.scheduler.worker_up(now, info);
    }

    /// Records that an agent may not get work: its link or its worker is lost, or it is leaving.
    pub fn worker_down(&mut self, now: Timestamp, worker: &Name) {
        self.scheduler.worker_down(now, worker);
    }

    /// Records that an agent has been silent for so long that its members count as lost.
    pub fn worker_lost(&mut self, now: Timestamp, worker: &Name) {
        for job in self.jobs_on(worker) {
            self.jobs_to_tick.insert(job.clone());
            if let Some(gang) = self.jobs.get_mut(&job).and_then(|j| j.gang.as_mut()) {
                gang.worker_lost(now, worker);
            }
        }
    }

    /// Handles an agent's report of its members; returns the messages to send. Until an agent
    /// `knows_worker`, its report doesn't contain members that an earlier process of the agent may
    /// have left running, so members missing from it don't count as stopped.
    pub fn report(
        &mut self,
        now: Timestamp,
        agent: &Name,
        members: &[MemberReport],
        knows_worker: bool,
    ) -> Vec<AgentMessage> {
        let Some(term) = self.election.held_term() else {
            return Vec::new();
        };
        let mut absent = self.jobs_on(agent);
        let mut messages = Vec::new();
        for member in members {
            if self.gang_mut(&member.gang).is_some() {
                absent.retain(|job| *job != member.gang.job);
                self.member_state(now, agent, member);
            } else if is_held(member.state) {
                // The attempt was abandoned before it reached the log, or has ended.
                messages.push(AgentMessage {
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
            self.jobs_to_tick.insert(job.clone());
            if let Some(gang) = self.jobs.get_mut(&job).and_then(|j| j.gang.as_mut()) {
                gang.report(now, agent, None);
            }
        }
        messages
    }

    /// Returns the actions to carry out now; to be called every 100 ms.
    pub fn tick(&mut self, now: Timestamp, view: &PlannerView) -> Vec<PlannerAction> {
        let mut actions = Vec::new();
        self.scheduler.update_discovery(now);
        if let Some(term) = self.election.tick(now, &view.election) {
            let entry = self.election.me().clone();
            actions.push(append(RecordBody::Term { entry, term }, Purpose::Term));
        }
        let Some(term) = self.election.held_term() else {
            return actions;
        };
        self.requeue_due_jobs(now);
        self.confirm_starts(now);
        // A planner that may have been replaced without knowing it starts nothing.
        if view.election.fresh {
            self.decide(now, term);
            self.change_owners(now, term, &view.owners, &mut actions);
            let due = self.retention.due(now, view.next_offset);
            actions.extend(due.into_iter().map(PlannerAction::Repeat));
        }
        self.tick_gangs(now, term, view.folded_by_all, &mut actions);
        self.append_closing_records(now, &mut actions);
        actions
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
        self.next_ring = now + RING_INTERVAL;
        if let Some(members) = self.ring.tick(now, &self.agents, owners) {
            actions.push(append(RecordBody::Ring { term, members }, Purpose::Ring));
        }
    }

    fn tick_gangs(
        &mut self,
        now: Timestamp,
        term: u64,
        folded_by_all: u64,
        actions: &mut Vec<PlannerAction>,
    ) {
        let jobs_to_tick: Vec<JobId> = self.jobs_to_tick.drain().collect();
        for job in jobs_to_tick {
            let Some(gang) = self.jobs.get_mut(&job).and_then(|j| j.gang.as_mut()) else {
                continue;
            };
            let was_running = gang.running_since().is_some();
            for action in gang.tick(now, term, folded_by_all) {
                self.apply_gang_action(now, &job, action, actions);
            }
            let Some(gang) = self.jobs.get(&job).and_then(|j| j.gang.as_ref()) else {
                continue;
            };
            if gang.running_since().is_none() {
                self.jobs_to_tick.insert(job);
            } else if !was_running {
                self.unconfirmed_starts
                    .push_back((now + START_CONFIRMED_AFTER, gang.id().clone()));
            }
        }
    }

    fn apply_gang_action(
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
                actions.push(PlannerAction::Send(AgentMessage { to, message }));
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
                    term: self.election.held_term().unwrap_or(term),
                    job: job.clone(),
                    attempt,
                };
                log::warn!(job:% = job, attempt = attempt; "gang_fenced");
                actions.push(append(body, Purpose::Fence(gang.id().clone())));
            }
            GangAction::Close(close) => self.close_gang(now, job, close),
        }
    }

    pub(super) fn gang_mut(&mut self, id: &GangId) -> Option<&mut Gang> {
        let gang = self.jobs.get_mut(&id.job)?.gang.as_mut()?;
        (gang.id() == id).then_some(gang)
    }
}

fn is_held(state: MemberState) -> bool {
    matches!(
        state,
        MemberState::Reserved | MemberState::Running | MemberState::Stopping
    )
}

pub(super) fn append(body: RecordBody, purpose: Purpose) -> PlannerAction {
    PlannerAction::Append {
        body: Box::new(body),
        purpose,
    }
}
