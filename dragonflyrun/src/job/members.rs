//! The table of all gang members at one agent: it follows the planner's orders and the entries'
//! renewals, and determines the calls to the worker.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use crate::{
    connection::{
        GangMessage,
        MemberReport,
        MemberState,
        RecordBody,
        TaskOrder,
        WorkerError,
        WorkerLease,
        WorkerView, //
    },
    job::{
        GANG_LEASE, GangId, JobId, LAPSE, LeaseName, StartCheck, StartConditions, WorkerCall,
        WorkerOp,
        member::{Member, STOPPED_WITHOUT_CHECKPOINT},
    },
    utils::{HashMap, HashSet, Name, Timestamp},
};

/// How long an agent remembers an order to stop a gang, so that an older order to reserve which
/// arrives after it is not followed.
const STOP_RETENTION: Duration = Duration::from_secs(60);

/// Maximum number of members, above which the oldest ended ones are removed even though no planner
/// has recorded their end.
const MAX_KEPT_MEMBERS: usize = 4_096;

/// Time between an answer to a request for all leases of the worker and the next request.
const LIST_PERIOD: Duration = Duration::from_millis(500);

/// Time without an answer of the worker after which the agent no longer reports its accelerators.
const WORKER_LOST_AFTER: Duration = Duration::from_millis(2_000);

/// The gang members at one agent.
#[derive(Debug)]
pub struct Members {
    started: Timestamp,
    term: u64,
    members: BTreeMap<u64, Member>,
    by_gang: HashMap<GangId, u64>,
    next_number: u64,
    draining: bool,
    /// Whether the worker's leases have been read since the process started.
    synced: bool,
    pending_stops: HashSet<GangId>,
    list_pending: bool,
    next_list: Timestamp,
    worker_seen: Timestamp,
    accelerators: u32,
    unneeded_leases: Vec<Name>,
}

impl Members {
    /// Creates the table of an agent whose process starts at `now`.
    pub fn new(now: Timestamp) -> Self {
        Self {
            started: now,
            term: 0,
            members: BTreeMap::new(),
            by_gang: HashMap::default(),
            next_number: 1,
            draining: false,
            synced: false,
            pending_stops: HashSet::default(),
            list_pending: false,
            next_list: now,
            worker_seen: now,
            accelerators: 0,
            unneeded_leases: Vec::new(),
        }
    }

    /// Returns the members' entries in the agent's report.
    pub fn reports(&self) -> Vec<MemberReport> {
        self.members.values().filter_map(Member::report).collect()
    }

    /// Returns the number of accelerators of the worker, or zero while it does not answer.
    pub fn accelerators(&self, now: Timestamp) -> u32 {
        let lost = !self.synced || now.since(self.worker_seen) > WORKER_LOST_AFTER;
        if lost { 0 } else { self.accelerators }
    }

    /// Returns whether any member may still hold a lease.
    pub fn is_active(&self) -> bool {
        self.members.values().any(|m| m.end().is_none())
    }

    /// Applies a log record that is in effect.
    pub fn on_record(&mut self, now: Timestamp, body: &RecordBody) {
        match body {
            RecordBody::Term { term, .. } => self.term = self.term.max(*term),
            RecordBody::JobStopped {
                term, job, attempt, ..
            } => self.on_attempts_ended(now, job, Some((*term, *attempt))),
            RecordBody::JobEnded { job, .. } => self.on_attempts_ended(now, job, None),
            _ => {}
        }
    }

    /// Stops all members with a checkpoint, and refuses all further orders to reserve.
    pub fn drain(&mut self, now: Timestamp) {
        self.draining = true;
        for member in self.members.values_mut() {
            member.stop(now, true, STOPPED_WITHOUT_CHECKPOINT);
        }
    }

    /// Handles an order of the planner or a renewal of an entry.
    pub fn on_message(&mut self, now: Timestamp, message: GangMessage) {
        match message {
            GangMessage::Reserve(order) => self.reserve(now, order),
            GangMessage::Go { term, gang, offset } => {
                if self.accepts_term(term)
                    && let Some(member) = self.member(&gang)
                {
                    member.on_go(now, offset);
                }
            }
            GangMessage::Stop {
                term,
                gang,
                checkpoint,
            } => {
                if self.accepts_term(term) {
                    self.stop(now, gang, checkpoint);
                }
            }
            GangMessage::Renewal {
                echo_ms,
                age_ms,
                members,
            } => self.renew(now, echo_ms, age_ms, &members),
            GangMessage::Broken { gang } => {
                if let Some(member) = self.member(&gang) {
                    member.stop(now, true, STOPPED_WITHOUT_CHECKPOINT);
                }
            }
        }
    }

    /// Handles that the log has the end of all attempts of `job` up to `last` (term and attempt
    /// number), or the end of the job itself if `last` is none.
    fn on_attempts_ended(&mut self, now: Timestamp, job: &JobId, last: Option<(u64, u32)>) {
        let ended: Vec<u64> = self
            .members
            .iter()
            .filter(|(_, m)| m.gang().job == *job)
            .filter(|(_, m)| last.is_none_or(|l| (m.gang().term, m.gang().attempt) <= l))
            .map(|(number, _)| *number)
            .collect();
        for number in ended {
            let Some(member) = self.members.get_mut(&number) else {
                continue;
            };
            if member.end().is_some() {
                self.remove_member(number);
            } else {
                // The planner knew that the attempt had stopped, so any member left belongs to an
                // attempt that was abandoned before its start.
                member.stop(now, false, STOPPED_WITHOUT_CHECKPOINT);
            }
        }
    }

    /// Returns the calls to the worker that are due.
    pub fn calls(&mut self, now: Timestamp) -> Vec<WorkerCall> {
        self.remove_old_ends(now);
        self.report_unsynced_stops(now);
        let removals = std::mem::take(&mut self.unneeded_leases);
        let mut calls: Vec<WorkerCall> = removals
            .into_iter()
            .map(|lease| WorkerCall::Remove { lease })
            .collect();
        for (number, member) in &mut self.members {
            if let Some(op) = member.next_call(now) {
                calls.push(WorkerCall::Lease {
                    number: *number,
                    lease: member.lease().clone(),
                    op,
                });
            }
        }
        if !self.list_pending && now >= self.next_list {
            self.list_pending = true;
            calls.push(WorkerCall::ListLeases);
        }
        calls
    }

    /// Checks whether a start may be sent, directly before sending it; see [`StartConditions`].
    pub fn may_start(
        &mut self,
        now: Timestamp,
        number: u64,
        conditions: StartConditions,
    ) -> StartCheck {
        match self.members.get_mut(&number) {
            Some(member) => member.may_start(now, conditions),
            None => StartCheck::Never,
        }
    }

    /// Returns the gang of the member `number`.
    pub fn gang(&self, number: u64) -> Option<&GangId> {
        self.members.get(&number).map(Member::gang)
    }

    /// Applies the answer to a call about a lease, made at `called_at`.
    pub fn on_answer(
        &mut self,
        now: Timestamp,
        called_at: Timestamp,
        number: u64,
        op: &WorkerOp,
        answer: &Result<WorkerLease, WorkerError>,
    ) {
        if let Some(member) = self.members.get_mut(&number) {
            member.on_answer(now, called_at, op, answer);
        }
    }

    /// Applies the answer to a request for all leases, made at `called_at`.
    pub fn on_leases(
        &mut self,
        now: Timestamp,
        called_at: Timestamp,
        answer: &Result<WorkerView, WorkerError>,
    ) {
        self.list_pending = false;
        self.next_list = now + LIST_PERIOD;
        let Ok(view) = answer else {
            return;
        };
        self.worker_seen = now;
        self.accelerators = view.accelerators;
        let leases: HashMap<&Name, &WorkerLease> =
            view.leases.iter().map(|l| (&l.lease, l)).collect();
        for member in self.members.values_mut() {
            match leases.get(member.lease()) {
                Some(lease) => member.on_lease(now, called_at, lease),
                None => member.on_lease_missing(now, called_at),
            }
        }
        if self.synced {
            self.remove_unknown(view);
        } else {
            self.adopt(called_at, view);
        }
    }

    fn accepts_term(&mut self, term: u64) -> bool {
        let accepted = term >= self.term;
        self.term = self.term.max(term);
        accepted
    }

    fn member(&mut self, gang: &GangId) -> Option<&mut Member> {
        let number = self.by_gang.get(gang)?;
        self.members.get_mut(number)
    }

    fn reserve(&mut self, now: Timestamp, order: TaskOrder) {
        // The planner repeats an order that came before the worker's leases were read.
        if !self.accepts_term(order.gang.term)
            || !self.synced
            || self.by_gang.contains_key(&order.gang)
        {
            return;
        }
        let job = &order.gang.job;
        let job_active = self
            .members
            .values()
            .any(|m| m.gang().job == *job && m.end().is_none());
        let number = self.allocate_number();
        let member = if job_active || self.draining || self.pending_stops.contains(&order.gang) {
            let name = LeaseName {
                gang: order.gang,
                member: order.member,
                members: order.members,
            };
            Member::ended(now, number, name, MemberState::Refused)
        } else {
            Member::reserve(now, number, order)
        };
        self.insert(number, member);
    }

    fn stop(&mut self, now: Timestamp, gang: GangId, checkpoint: bool) {
        if let Some(member) = self.member(&gang) {
            member.stop(now, checkpoint, STOPPED_WITHOUT_CHECKPOINT);
        } else if self.synced {
            self.report_stopped(now, gang);
        } else {
            // The worker may hold a lease from a previous process of this agent, so its leases are
            // read first.
            self.pending_stops.insert(gang);
        }
    }

    /// Reports a gang as stopped that this agent has no lease for; a later order to reserve it is
    /// ignored.
    fn report_stopped(&mut self, now: Timestamp, gang: GangId) {
        let name = LeaseName {
            gang,
            member: 0,
            members: 0,
        };
        let number = self.allocate_number();
        self.insert(
            number,
            Member::ended(now, number, name, STOPPED_WITHOUT_CHECKPOINT),
        );
    }

    /// Reports the gangs with a pending stop as stopped if the worker's leases could not be read
    /// for so long that all leases of previous processes have lapsed.
    fn report_unsynced_stops(&mut self, now: Timestamp) {
        if !self.synced && now.since(self.started) > LAPSE {
            for gang in std::mem::take(&mut self.pending_stops) {
                self.report_stopped(now, gang);
            }
        }
    }

    fn renew(&mut self, now: Timestamp, echo_ms: u64, age_ms: u64, members: &[u64]) {
        if echo_ms > now.as_millis() {
            return;
        }
        let alive_at = Timestamp::from_millis(echo_ms.saturating_sub(age_ms));
        for number in members {
            if let Some(member) = self.members.get_mut(number) {
                member.renew(alive_at + GANG_LEASE);
            }
        }
    }

    /// Takes over the leases that a previous process of this agent left on the worker.
    fn adopt(&mut self, called_at: Timestamp, view: &WorkerView) {
        self.synced = true;
        for lease in &view.leases {
            let Some(name) = LeaseName::parse(&lease.lease) else {
                continue;
            };
            log::info!(lease:% = lease.lease, state:? = lease.state; "lease_adopted");
            let number = self.allocate_number();
            self.insert(number, Member::adopt(called_at, number, name, lease));
        }
        for gang in std::mem::take(&mut self.pending_stops) {
            self.stop(called_at, gang, true);
        }
    }

    /// Schedules the removal of leases without a member: those of removed members, and any obtained
    /// by a call whose answer was lost.
    fn remove_unknown(&mut self, view: &WorkerView) {
        let known: HashSet<&Name> = self.members.values().map(Member::lease).collect();
        let unknown = view
            .leases
            .iter()
            .map(|l| &l.lease)
            .filter(|lease| !known.contains(*lease) && LeaseName::parse(lease).is_some())
            .cloned();
        self.unneeded_leases.extend(unknown);
    }

    fn remove_old_ends(&mut self, now: Timestamp) {
        let old: Vec<u64> = self
            .members
            .iter()
            .filter(|(_, m)| m.end().is_some_and(|end| !is_result(end)))
            .filter(|(_, m)| now.since(m.ended_at()) > STOP_RETENTION)
            .map(|(number, _)| *number)
            .collect();
        for number in old {
            self.remove_member(number);
        }
        while self.members.len() > MAX_KEPT_MEMBERS {
            let ended = self.members.iter().find(|(_, m)| m.end().is_some());
            let Some(number) = ended.map(|(number, _)| *number) else {
                return;
            };
            self.remove_member(number);
        }
    }

    fn remove_member(&mut self, number: u64) {
        if let Some(member) = self.members.remove(&number) {
            self.by_gang.remove(member.gang());
            self.unneeded_leases.push(member.lease().clone());
        }
    }

    fn insert(&mut self, number: u64, member: Member) {
        self.by_gang.insert(member.gang().clone(), number);
        self.members.insert(number, member);
    }

    fn allocate_number(&mut self) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        number
    }
}

/// Returns whether the final state tells the planner something that it can't learn elsewhere.
fn is_result(end: MemberState) -> bool {
    !matches!(end, MemberState::Refused | STOPPED_WITHOUT_CHECKPOINT)
}
