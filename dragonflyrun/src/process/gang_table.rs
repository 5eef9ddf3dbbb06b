//! The decisions of an entry on gangs: which ones it renews, and what it does as planner.
//!
//! The table does no I/O and reads no clock, so that tests can run it through failures on a
//! simulated clock; [`EntryJobs`](crate::process::EntryJobs) performs the actions that it returns.

use std::{sync::Arc, time::Duration};

use crate::{
    connection::{MemberReport, Record, RecordBody, RepeatedState, Report, Role},
    job::{
        AgentMessage, ElectionView, ImpossibleReason, Item, JobId, JobRecord, JobSpec, Planner,
        PlannerAction, PlannerView, Purpose, RENEWAL_WITHOUT_LOG, Renewals, WorkerInfo,
    },
    process::{Folded, Ledger, MAX_HEAD_AGE, MAX_PEER_SILENCE, PeerState, Roster},
    utils::{HashMap, Name, Timestamp},
    version::Version,
};

/// Gap between two ticks above which this process counts as having been frozen. Messages that its
/// peers sent meanwhile are still unread, so no peer counts as silent until they have been
/// processed.
const FREEZE_THRESHOLD: Duration = Duration::from_millis(1_000);

/// The last state of an agent that was read from the roster.
#[derive(Clone, Debug, Eq, PartialEq)]
struct AgentSnapshot {
    incarnation: u64,
    report_number: u64,
    /// Whether its worker may get work.
    usable: bool,
    /// Its worker and members, kept to recognize a report that repeats them.
    worker: WorkerInfo,
    members: Vec<MemberReport>,
}

/// The state of the log and the roster at one moment.
#[derive(Clone, Debug)]
pub struct TickView {
    /// The input of the planner.
    pub planner: PlannerView,
    /// The agents that have been silent for so long that their members count as lost.
    pub silent: Vec<Name>,
}

impl TickView {
    /// Reads the state known to the entry `me`; `fresh` tells whether it is the latest state.
    pub fn read(now: Timestamp, me: &Name, fresh: bool, ledger: &Ledger, roster: &Roster) -> Self {
        let membership = &ledger.membership;
        let next_offset = ledger.next_offset();
        let planner = membership.planner().cloned();
        let planner_alive = planner
            .as_ref()
            .and_then(|p| roster.peer(p))
            .is_some_and(|p| p.is_live(now));
        let preceding = roster
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
            .filter(|p| now.since(p.heard_at) > MAX_PEER_SILENCE)
            .map(|p| p.peer.name.clone())
            .collect();
        Self {
            planner: PlannerView {
                election: ElectionView {
                    term: membership.term(),
                    planner_alive,
                    planner,
                    fresh,
                    rank: u32::try_from(preceding).unwrap_or(u32::MAX),
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
    agents: HashMap<Name, AgentSnapshot>,
    last_tick: Timestamp,
    /// Until when no agent counts as silent.
    silence_grace_until: Timestamp,
    /// When this entry last knew the latest state of the log.
    fresh_at: Option<Timestamp>,
    /// Entries that the planner has removed, with the time until which they may still renew gangs.
    /// An entry that is cut off from everything but the agents does not know that it was removed.
    removed: HashMap<Name, Timestamp>,
    /// The value of [`Ledger::log_gaps`] when the table was last reset.
    seen_log_gaps: u64,
}

impl GangTable {
    /// Returns the table of the entry `me` at the start of its process.
    pub fn new(now: Timestamp, me: Name, version: Arc<Version>) -> Self {
        Self {
            renewals: Renewals::default(),
            planner: Planner::new(me, version),
            agents: HashMap::default(),
            last_tick: now,
            silence_grace_until: now + MAX_PEER_SILENCE,
            fresh_at: None,
            removed: HashMap::default(),
            seen_log_gaps: 0,
        }
    }

    /// Returns the term that this process holds as planner; `None` if it is not the planner.
    pub fn term(&self) -> Option<u64> {
        self.planner.term()
    }

    /// Checks that the quota of its workspace allows a job and that the known workers could run it.
    ///
    /// # Errors
    ///
    /// Returns the reason if they never can.
    pub fn check_possible(&self, spec: &JobSpec) -> Result<(), ImpossibleReason> {
        self.planner.check_possible(spec)
    }

    /// Applies a heartbeat of `peer` and returns the messages to send to it and to other agents.
    pub fn on_heartbeat(&mut self, now: Timestamp, peer: &PeerState) -> Vec<AgentMessage> {
        let agent = &peer.peer.name;
        let mut messages = self.apply_report(now, agent, peer);
        let renewal = self
            .renewals
            .on_heartbeat(now, agent, peer.alive_at, peer.sent_ms);
        let may_renew = self
            .fresh_at
            .is_some_and(|at| now.since(at) <= RENEWAL_WITHOUT_LOG);
        if let Some(message) = renewal.filter(|_| may_renew) {
            let to = agent.clone();
            messages.push(AgentMessage { to, message });
        }
        messages
    }

    /// Handles the end of the link to an agent.
    ///
    /// The agent gets no new work from then on. Its members keep running: the link may come back,
    /// and a replacement of the agent's process may continue with them.
    pub fn on_link_down(&mut self, now: Timestamp, agent: &Name) {
        if let Some(snapshot) = self.agents.get_mut(agent) {
            snapshot.usable = false;
            self.planner.agent_live(agent, false);
            self.planner.worker_down(now, agent);
        }
    }

    /// Applies the record that was last folded into `ledger`.
    pub fn on_folded(&mut self, now: Timestamp, folded: &Folded, ledger: &Ledger) {
        if ledger.log_gaps() != self.seen_log_gaps {
            self.reset_after_gap(now, ledger);
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
        self.track_removed_entries(now, &folded.record);
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
            // Makes each agent's next heartbeat count as a change, so that it reaches the new
            // planner.
            self.agents
                .values_mut()
                .for_each(|agent| agent.report_number = 0);
        }
    }

    /// Records the id of a record that was queued for `purpose`.
    pub fn appended(&mut self, id: Name, purpose: Purpose) {
        self.planner.appended(id, purpose);
    }

    /// Handles a record of this process that is not known to be on the log.
    pub fn append_failed(&mut self, now: Timestamp, id: &Name) {
        self.planner.append_failed(now, id);
    }

    /// Returns the actions that are due now. Called every 100 ms.
    pub fn tick(&mut self, now: Timestamp, view: &TickView) -> Vec<PlannerAction> {
        if now.since(self.last_tick) > FREEZE_THRESHOLD {
            self.silence_grace_until = now + MAX_PEER_SILENCE;
        }
        self.last_tick = now;
        if view.planner.election.fresh {
            self.fresh_at = Some(now);
        }
        self.renewals.tick(now);
        if now >= self.silence_grace_until {
            self.drop_silent_agents(now, &view.silent);
        }
        self.removed.retain(|_, until| *until > now);
        let mut view = view.planner.clone();
        if !self.removed.is_empty() {
            view.folded_by_all = 0;
        }
        self.planner.tick(now, &view)
    }

    /// Drops the agents that have been silent for so long that their members count as lost.
    fn drop_silent_agents(&mut self, now: Timestamp, silent: &[Name]) {
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

    fn track_removed_entries(&mut self, now: Timestamp, record: &Record) {
        match &record.body {
            RecordBody::EntryJoined { entry, .. } => {
                self.removed.remove(entry);
            }
            // An entry that leaves by itself renews nothing afterwards.
            RecordBody::EntryLeft { entry } if record.author != *entry => {
                self.removed
                    .insert(entry.clone(), now + MAX_HEAD_AGE + RENEWAL_WITHOUT_LOG);
            }
            _ => {}
        }
    }

    /// Resets the table after a gap in the log: the missing records may include the end of a job,
    /// the end of this process's term or the removal of an entry. The next heartbeats of the agents
    /// and the repeated states fill the table again. Until this process knows the log's head again
    /// it renews nothing, since a fence may be among the missing records.
    fn reset_after_gap(&mut self, now: Timestamp, ledger: &Ledger) {
        let me = self.planner.me().clone();
        *self = Self::new(now, me.clone(), ledger.history.current().clone());
        self.removed
            .insert(me, now + MAX_HEAD_AGE + RENEWAL_WITHOUT_LOG);
        self.seen_log_gaps = ledger.log_gaps();
    }

    fn apply_report(
        &mut self,
        now: Timestamp,
        agent: &Name,
        peer: &PeerState,
    ) -> Vec<AgentMessage> {
        let Some(Report::Agent(report)) = &peer.report else {
            return Vec::new();
        };
        let live = peer.is_live(now);
        self.planner.agent_live(agent, live);
        let usable = report.accelerators > 0 && live;
        let incarnation = peer.peer.incarnation;
        if let Some(snapshot) = self.agents.get(agent)
            && snapshot.report_number == peer.report_number
            && snapshot.incarnation == incarnation
            && snapshot.usable == usable
        {
            return Vec::new();
        }
        let snapshot = AgentSnapshot {
            incarnation,
            report_number: peer.report_number,
            usable,
            worker: WorkerInfo {
                name: agent.clone(),
                rack: report.rack.clone(),
                failure_domain: report.failure_domain.clone(),
                accelerators: report.accelerators,
            },
            members: report.members.clone(),
        };
        let before = self.agents.insert(agent.clone(), snapshot.clone());
        if before.is_some_and(|before| before.has_same_gang_state(&snapshot)) {
            return Vec::new();
        }
        if usable {
            self.planner.worker_up(now, snapshot.worker);
        } else {
            self.planner.worker_down(now, agent);
        }
        // Until an agent knows its worker, it does not report the members that its predecessor
        // left.
        let knows_worker = report.accelerators > 0;
        let mut messages = self
            .planner
            .report(now, agent, &snapshot.members, knows_worker);
        messages.extend(self.renewals.report(agent, incarnation, snapshot.members));
        messages
    }
}

impl AgentSnapshot {
    /// Returns whether a later report changes nothing about gangs, such as a report on the free
    /// slots of backend servers. A report after `report_number` was reset to 0 always counts as a
    /// change, since the planner has not processed the last one.
    fn has_same_gang_state(&self, later: &Self) -> bool {
        self.report_number != 0
            && self.incarnation == later.incarnation
            && self.usable == later.usable
            && self.worker == later.worker
            && self.members == later.members
    }
}

/// Returns whether a repeated state is still the current one. It is not if another record reached
/// the log after the state was read and before it was appended.
fn is_current(ledger: &Ledger, body: &RecordBody) -> bool {
    match body {
        RecordBody::RepeatedState(RepeatedState::Configuration(carried)) => {
            carried.version >= ledger.history.current().offset
        }
        RecordBody::RepeatedState(RepeatedState::Membership(carried)) => {
            ledger.membership.state_to_repeat().as_ref() == Some(carried)
        }
        RecordBody::RepeatedState(RepeatedState::Job { job, .. }) => {
            ledger.jobs.live(&job.job) == Some(&**job)
        }
        _ => true,
    }
}

/// Returns the current state of `item`, to be repeated on the log; `None` if it has ended.
pub fn state_to_repeat(ledger: &Ledger, item: &Item) -> Option<RepeatedState> {
    let term = ledger.membership.term();
    match item {
        Item::Membership => ledger
            .membership
            .state_to_repeat()
            .map(RepeatedState::Membership),
        Item::Configuration => ledger.history.state_to_repeat(term, ledger.next_offset()),
        Item::Job(job) => ledger.jobs.live(job).map(|live| RepeatedState::Job {
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
        RecordBody::RepeatedState(RepeatedState::Job { job, .. }) => Some(&job.job),
        _ => None,
    }
}
