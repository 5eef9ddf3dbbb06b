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
    connection::{GangMessage, MemberReport, MemberState, RecordBody},
    job::{
        AgentMessage,
        Election,
        ElectionView,
        Gang,
        GangAction,
        GangId,
        Item,
        JobId,
        JobSpec,
        LiveJob,
        Retention,
        RingUpdater,
        Scheduler,
        StopReason,
        Unreachable,
        WorkerInfo,
        closing::ClosingRecord,
        starting::PROVED, //
    },
    utils::{HashMap, HashSet, Name, Timestamp},
    version::Version,
};

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
    Send(AgentMessage),
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
    pub(super) ran: Duration,
    pub(super) impossible_since: Option<Timestamp>,
    /// Workers that were blamed for its failures, and how often.
    pub(super) blamed: HashMap<Name, u32>,
}

/// The planner's table.
#[derive(Debug)]
pub struct Planner {
    pub(super) election: Election,
    pub(super) ring: RingUpdater,
    pub(super) next_ring: Timestamp,
    pub(super) retention: Retention,
    pub(super) scheduler: Scheduler,
    pub(super) version: Arc<Version>,
    pub(super) jobs: HashMap<JobId, Planned>,
    pub(super) by_worker: HashMap<Name, HashSet<JobId>>,
    /// Agents that may get work, each of which may own keys.
    pub(super) agents: BTreeSet<Name>,
    /// Jobs whose gang is not known to run steadily.
    pub(super) touched: HashSet<JobId>,
    pub(super) closing: HashMap<JobId, ClosingRecord>,
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
            ring: RingUpdater::default(),
            next_ring: Timestamp::default(),
            retention: Retention::default(),
            scheduler,
            version,
            jobs: HashMap::default(),
            by_worker: HashMap::default(),
            agents: BTreeSet::new(),
            touched: HashSet::default(),
            closing: HashMap::default(),
            resting: BTreeSet::new(),
            proving: VecDeque::new(),
            pending: HashMap::default(),
        }
    }

    /// Returns the term that this process holds as planner; none where it is not planner.
    pub fn term(&self) -> Option<u64> {
        self.election.held_term()
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
            Some(Purpose::Close(job)) => self.closing_record_failed(now, &job),
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

    /// Takes note of whether an agent may get work. That of its worker is another matter: an agent
    /// owns keys also where it has no worker, or its worker does not answer.
    pub fn agent_live(&mut self, agent: &Name, live: bool) {
        if live {
            self.agents.insert(agent.clone());
        } else {
            self.agents.remove(agent);
        }
    }

    /// Takes note of a live agent with its worker.
    pub fn worker_up(&mut self, now: Timestamp, info: WorkerInfo) {
        self.scheduler.worker_up(now, info);
    }

    /// Takes note that an agent may get no work: its link or its worker is lost, or it is leaving.
    pub fn worker_down(&mut self, now: Timestamp, worker: &Name) {
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
    ) -> Vec<AgentMessage> {
        let Some(term) = self.election.held_term() else {
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
                notices.push(AgentMessage {
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
        self.scheduler.settle(now);
        if let Some(term) = self.election.tick(now, &view.election) {
            let entry = self.election.me().clone();
            actions.push(append(RecordBody::Term { entry, term }, Purpose::Term));
        }
        let Some(term) = self.election.held_term() else {
            return actions;
        };
        self.requeue_due_jobs(now);
        self.prove_starts(now);
        // A planner that may have been replaced without knowing starts nothing.
        if view.election.fresh {
            self.decide(now, term);
            self.change_owners(now, term, &view.owners, &mut actions);
            let due = self.retention.due(now, view.next_offset);
            actions.extend(due.into_iter().map(PlannerAction::Carry));
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
        self.next_ring = now + RING_PERIOD;
        if let Some(members) = self.ring.tick(now, &self.agents, owners) {
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
