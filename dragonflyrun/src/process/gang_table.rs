//! What an entry decides about gangs: which it renews, and what it does as planner.
//!
//! The table does no I/O and reads no clock, so that the tests run it against failures on a clock
//! of their own; [`EntryJobs`](crate::process::EntryJobs) carries out what it returns.

use std::{sync::Arc, time::Duration};

use crate::{
    connection::{Carried, MemberReport, Record, RecordBody, Report, Role},
    job::{
        AgentMessage, ElectionView, ImpossibleReason, Item, JobId, JobRecord, JobSpec, Planner,
        PlannerAction, PlannerView, Purpose, RENEWAL_WITHOUT_LOG, Renewals, WorkerInfo,
    },
    process::{FRESH, Folded, Ledger, PeerState, Roster, SILENCE},
    utils::{HashMap, Name, Timestamp},
    version::Version,
};

/// Time between two ticks that shows that this process was frozen in between. What its peers sent
/// then still waits to be read, so nobody counts as silent until it was.
const FROZEN: Duration = Duration::from_millis(1_000);

/// What was last taken from an agent's state in the roster.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Taken {
    incarnation: u64,
    report_number: u64,
    /// Whether its worker may get work.
    up: bool,
    /// Its worker and its members, of which a report may say the same once more.
    worker: WorkerInfo,
    members: Vec<MemberReport>,
}

/// What the log and the roster say at one moment.
#[derive(Clone, Debug)]
pub struct TickView {
    /// What the planner needs.
    pub planner: PlannerView,
    /// The agents that have been silent for so long that their members count as lost.
    pub silent: Vec<Name>,
}

impl TickView {
    /// Reads what the entry called `me` knows; `fresh` says whether that is the latest state.
    pub fn read(now: Timestamp, me: &Name, fresh: bool, ledger: &Ledger, roster: &Roster) -> Self {
        let membership = &ledger.membership;
        let next_offset = ledger.next_offset();
        let planner = membership.planner().cloned();
        let planner_alive = planner
            .as_ref()
            .and_then(|p| roster.peer(p))
            .is_some_and(|p| p.is_live(now));
        let smaller = roster
            .live(now, Role::Entry)
            .filter(|p| p.peer.name < *me)
            .count();
        let folded_by_all = membership
            .entries()
            .keys()
            .filter(|name| *name != me)
            .map(|name| roster.peer(name))
            .filter(|peer| !peer.is_some_and(|p| p.is_leaving() && !p.linked))
            .map(|peer| peer.map_or(0, |p| p.log.next_offset))
            .fold(next_offset, u64::min);
        let silent = roster
            .of_role(Role::Agent)
            .filter(|p| now.since(p.heard) > SILENCE)
            .map(|p| p.peer.name.clone())
            .collect();
        Self {
            planner: PlannerView {
                election: ElectionView {
                    term: membership.term(),
                    planner_alive,
                    planner,
                    fresh,
                    rank: u32::try_from(smaller).unwrap_or(u32::MAX),
                },
                next_offset,
                folded_by_all,
                owners: membership.ring().to_vec(),
            },
            silent,
        }
    }
}

/// The gangs of one entry.
#[derive(Debug)]
pub struct GangTable {
    renewals: Renewals,
    planner: Planner,
    agents: HashMap<Name, Taken>,
    last_tick: Timestamp,
    /// Until when no agent counts as silent.
    grace: Timestamp,
    /// When this entry last knew the latest state of the log.
    fresh_at: Option<Timestamp>,
    /// Entries that the planner has removed, and until when they may go on renewing gangs. One
    /// that is only cut off from everybody but the agents does not know that it was removed.
    removed: HashMap<Name, Timestamp>,
    gaps: u64,
}

impl GangTable {
    /// Returns the table of the entry called `me` as its process starts.
    pub fn new(now: Timestamp, me: Name, version: Arc<Version>) -> Self {
        Self {
            renewals: Renewals::default(),
            planner: Planner::new(me, version),
            agents: HashMap::default(),
            last_tick: now,
            grace: now + SILENCE,
            fresh_at: None,
            removed: HashMap::default(),
            gaps: 0,
        }
    }

    /// Returns the term that this process holds as planner; none where it is not planner.
    pub fn term(&self) -> Option<u64> {
        self.planner.term()
    }

    /// Checks that a job can be had from the workers known.
    ///
    /// # Errors
    ///
    /// Why it can never be had.
    pub fn possible(&self, spec: &JobSpec) -> Result<(), ImpossibleReason> {
        self.planner.check_possible(spec)
    }

    /// Takes note of a heartbeat of `peer`, and returns what it and others are to be told.
    pub fn on_heartbeat(&mut self, now: Timestamp, peer: &PeerState) -> Vec<AgentMessage> {
        let agent = &peer.peer.name;
        let mut messages = self.take_report(now, agent, peer);
        let renewal = self
            .renewals
            .on_heartbeat(now, agent, peer.confirmed, peer.sent_ms);
        let may_renew = self
            .fresh_at
            .is_some_and(|at| now.since(at) <= RENEWAL_WITHOUT_LOG);
        if let Some(message) = renewal.filter(|_| may_renew) {
            let to = agent.clone();
            messages.push(AgentMessage { to, message });
        }
        messages
    }

    /// Takes note that the link to an agent ended.
    ///
    /// It gets no new work from then on. What it runs goes on: the link may come back, and an agent
    /// whose process was replaced may go on with its members.
    pub fn on_down(&mut self, now: Timestamp, agent: &Name) {
        if let Some(taken) = self.agents.get_mut(agent) {
            taken.up = false;
            self.planner.agent_live(agent, false);
            self.planner.worker_down(now, agent);
        }
    }

    /// Follows a record that was folded last into `ledger`.
    pub fn on_folded(&mut self, now: Timestamp, folded: &Folded, ledger: &Ledger) {
        if ledger.gaps() != self.gaps {
            self.begin_anew(now, ledger);
        }
        if !folded.in_effect {
            return;
        }
        let body = &folded.record.body;
        let job = job_of(body);
        let live = job.and_then(|j| ledger.jobs.live(j));
        match body {
            RecordBody::JobStopped { job, .. } | RecordBody::JobEnded { job, .. } => {
                self.renewals.attempts_ended(job);
            }
            _ => {
                if let Some(live) = live.filter(|l| l.fenced) {
                    self.renewals.fence(live.gang());
                }
            }
        }
        self.follow_entries(now, &folded.record);
        self.planner.configure(ledger.history.current());
        let record = JobRecord {
            offset: folded.offset,
            record: &folded.record,
            term: ledger.membership.term(),
            live,
            ended: job.and_then(|j| ledger.jobs.ended(j)),
            current: is_current(ledger, body),
        };
        if self.planner.on_record(now, record) {
            // Each agent's next heartbeat counts as a change and so reaches the new planner.
            self.agents
                .values_mut()
                .for_each(|agent| agent.report_number = 0);
        }
    }

    /// Takes note of the id of a record that was queued for `purpose`.
    pub fn appended(&mut self, id: Name, purpose: Purpose) {
        self.planner.appended(id, purpose);
    }

    /// Takes note that a record of this process is not known to be on the log.
    pub fn append_failed(&mut self, now: Timestamp, id: &Name) {
        self.planner.append_failed(now, id);
    }

    /// Returns what is to be done now; to be called every 100 ms.
    pub fn tick(&mut self, now: Timestamp, view: &TickView) -> Vec<PlannerAction> {
        if now.since(self.last_tick) > FROZEN {
            self.grace = now + SILENCE;
        }
        self.last_tick = now;
        if view.planner.election.fresh {
            self.fresh_at = Some(now);
        }
        self.renewals.tick(now);
        if now >= self.grace {
            self.drop_silent(now, &view.silent);
        }
        self.removed.retain(|_, until| *until > now);
        let mut view = view.planner.clone();
        if !self.removed.is_empty() {
            view.folded_by_all = 0;
        }
        self.planner.tick(now, &view)
    }

    /// Drops the agents that have been silent for so long that their members count as lost.
    fn drop_silent(&mut self, now: Timestamp, silent: &[Name]) {
        for agent in silent {
            if self.agents.remove(agent).is_none() {
                continue;
            }
            log::info!(agent:% = agent; "agent_lost");
            self.renewals.remove_agent(agent);
            self.planner.agent_live(agent, false);
            self.planner.worker_down(now, agent);
            self.planner.worker_lost(now, agent);
        }
    }

    fn follow_entries(&mut self, now: Timestamp, record: &Record) {
        match &record.body {
            RecordBody::EntryJoined { entry, .. } => {
                self.removed.remove(entry);
            }
            // One that leaves by itself renews nothing from then on.
            RecordBody::EntryLeft { entry } if record.author != *entry => {
                self.removed
                    .insert(entry.clone(), now + FRESH + RENEWAL_WITHOUT_LOG);
            }
            _ => {}
        }
    }

    /// Forgets everything after a gap of the log: what was missed may be the end of a job, of this
    /// process's term, or the removal of an entry. The agents' next heartbeats and the carried
    /// states fill the table. It renews nothing before it knows the log's head again, since a
    /// fence may be among what was missed.
    fn begin_anew(&mut self, now: Timestamp, ledger: &Ledger) {
        let me = self.planner.me().clone();
        *self = Self::new(now, me.clone(), ledger.history.current().clone());
        self.removed.insert(me, now + FRESH + RENEWAL_WITHOUT_LOG);
        self.gaps = ledger.gaps();
    }

    fn take_report(&mut self, now: Timestamp, agent: &Name, peer: &PeerState) -> Vec<AgentMessage> {
        let Some(Report::Agent(report)) = &peer.report else {
            return Vec::new();
        };
        let live = peer.is_live(now);
        self.planner.agent_live(agent, live);
        let up = report.accelerators > 0 && live;
        let incarnation = peer.peer.incarnation;
        if let Some(taken) = self.agents.get(agent)
            && taken.report_number == peer.report_number
            && taken.incarnation == incarnation
            && taken.up == up
        {
            return Vec::new();
        }
        let taken = Taken {
            incarnation,
            report_number: peer.report_number,
            up,
            worker: WorkerInfo {
                name: agent.clone(),
                rack: report.rack.clone(),
                failure_domain: report.failure_domain.clone(),
                accelerators: report.accelerators,
            },
            members: report.members.clone(),
        };
        let before = self.agents.insert(agent.clone(), taken.clone());
        if before.is_some_and(|before| before.says_the_same(&taken)) {
            return Vec::new();
        }
        if up {
            self.planner.worker_up(now, taken.worker);
        } else {
            self.planner.worker_down(now, agent);
        }
        // Before it knows its worker, an agent reports none of those that its predecessor left.
        let knows_worker = report.accelerators > 0;
        let mut messages = self
            .planner
            .report(now, agent, &taken.members, knows_worker);
        messages.extend(self.renewals.report(agent, incarnation, taken.members));
        messages
    }
}

impl Taken {
    /// Returns whether a later report says nothing new about gangs, such as one on the free slots
    /// of backend servers. What was marked as not taken by the planner is always new.
    fn says_the_same(&self, later: &Self) -> bool {
        self.report_number != 0
            && self.incarnation == later.incarnation
            && self.up == later.up
            && self.worker == later.worker
            && self.members == later.members
    }
}

/// Returns whether a state that was repeated is still the current one. Where it is not, something
/// reached the log between the moment at which it was read and that at which it was repeated.
fn is_current(ledger: &Ledger, body: &RecordBody) -> bool {
    match body {
        RecordBody::Carried(Carried::Configuration(carried)) => {
            carried.version >= ledger.history.current().offset
        }
        RecordBody::Carried(Carried::Membership(carried)) => {
            ledger.membership.carried().as_ref() == Some(carried)
        }
        RecordBody::Carried(Carried::Job { job, .. }) => ledger.jobs.live(&job.job) == Some(&**job),
        _ => true,
    }
}

/// Returns a state as it is on the log now, to be repeated in a record; none where it is over.
pub fn carried_body(ledger: &Ledger, item: &Item) -> Option<Carried> {
    let term = ledger.membership.term();
    match item {
        Item::Membership => ledger.membership.carried().map(Carried::Membership),
        Item::Configuration => ledger.history.state_to_repeat(term, ledger.next_offset()),
        Item::Job(job) => ledger.jobs.live(job).map(|live| Carried::Job {
            term,
            job: Box::new(live.clone()),
        }),
    }
}

fn job_of(body: &RecordBody) -> Option<&JobId> {
    match body {
        RecordBody::JobAccepted { job, .. }
        | RecordBody::JobStarted { job, .. }
        | RecordBody::JobStopped { job, .. }
        | RecordBody::JobFenced { job, .. }
        | RecordBody::JobEnded { job, .. }
        | RecordBody::JobCancelled { job } => Some(job),
        RecordBody::Carried(Carried::Job { job, .. }) => Some(&job.job),
        _ => None,
    }
}
