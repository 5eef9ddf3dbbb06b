//! All gang members at one agent: which orders it takes, and what it asks of its worker.

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
        GANG_LEASE, GangId, Gate, JobId, LAPSE, LeaseName, StartCheck, WorkerCall, WorkerOp,
        member::{Member, STOPPED},
    },
    utils::{HashMap, HashSet, Name, Timestamp},
};

/// How long an agent remembers that it was told to stop a gang, so that an order to reserve that
/// was overtaken is not followed.
const REMEMBER_STOP: Duration = Duration::from_secs(60);

/// Ended members that are kept for a planner, at the most, where none takes note of them.
const KEPT_ENDS: usize = 4_096;

/// Time between two looks at all leases of the worker.
const LOOK_PERIOD: Duration = Duration::from_millis(500);

/// Silence of the worker after which the agent no longer reports its accelerators.
const WORKER_LOST: Duration = Duration::from_millis(2_000);

/// The members at one agent.
#[derive(Debug)]
pub struct Members {
    started: Timestamp,
    term: u64,
    members: BTreeMap<u64, Member>,
    by_gang: HashMap<GangId, u64>,
    next_number: u64,
    leaving: bool,
    /// Whether the worker's leases have been seen since the process started.
    synced: bool,
    stops: HashSet<GangId>,
    looking: bool,
    next_look: Timestamp,
    seen: Timestamp,
    accelerators: u32,
    unwanted: Vec<Name>,
}

impl Members {
    /// Returns an agent's table as its process starts.
    pub fn new(now: Timestamp) -> Self {
        Self {
            started: now,
            term: 0,
            members: BTreeMap::new(),
            by_gang: HashMap::default(),
            next_number: 1,
            leaving: false,
            synced: false,
            stops: HashSet::default(),
            looking: false,
            next_look: now,
            seen: now,
            accelerators: 0,
            unwanted: Vec::new(),
        }
    }

    /// Returns what the agent's report says of its members.
    pub fn reports(&self) -> Vec<MemberReport> {
        self.members.values().filter_map(Member::report).collect()
    }

    /// Returns the accelerators of the worker; zero while it does not answer.
    pub fn accelerators(&self, now: Timestamp) -> u32 {
        let lost = !self.synced || now.since(self.seen) > WORKER_LOST;
        if lost { 0 } else { self.accelerators }
    }

    /// Returns whether some member may hold something.
    pub fn is_active(&self) -> bool {
        self.members.values().any(|m| m.end().is_none())
    }

    /// Follows a record of the log that is in effect.
    pub fn on_record(&mut self, now: Timestamp, body: &RecordBody) {
        match body {
            RecordBody::Term { term, .. } => self.term = self.term.max(*term),
            RecordBody::JobStopped {
                term, job, attempt, ..
            } => self.on_settled(now, job, Some((*term, *attempt))),
            RecordBody::JobEnded { job, .. } => self.on_settled(now, job, None),
            _ => {}
        }
    }

    /// Stops all members with a checkpoint and takes no order from now on.
    pub fn drain(&mut self, now: Timestamp) {
        self.leaving = true;
        for member in self.members.values_mut() {
            member.stop(now, true, STOPPED);
        }
    }

    /// Follows an order or a renewal.
    pub fn on_message(&mut self, now: Timestamp, message: GangMessage) {
        match message {
            GangMessage::Reserve(order) => self.reserve(now, order),
            GangMessage::Go { term, gang, offset } => {
                if self.obeys(term)
                    && let Some(member) = self.member(&gang)
                {
                    member.go(now, offset);
                }
            }
            GangMessage::Stop {
                term,
                gang,
                checkpoint,
            } => {
                if self.obeys(term) {
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
                    member.stop(now, true, STOPPED);
                }
            }
        }
    }

    /// Takes note that the log has the end of all attempts of `job` up to `last`, or of the job
    /// itself where `last` is none.
    fn on_settled(&mut self, now: Timestamp, job: &JobId, last: Option<(u64, u32)>) {
        let settled: Vec<u64> = self
            .members
            .iter()
            .filter(|(_, m)| m.gang().job == *job)
            .filter(|(_, m)| last.is_none_or(|l| (m.gang().term, m.gang().attempt) <= l))
            .map(|(number, _)| *number)
            .collect();
        for number in settled {
            let Some(member) = self.members.get_mut(&number) else {
                continue;
            };
            if member.end().is_some() {
                self.forget(number);
            } else {
                // The planner knew that it had stopped, so only an attempt that was given up
                // before its start can be left over.
                member.stop(now, false, STOPPED);
            }
        }
    }

    /// Returns the calls that are due.
    pub fn calls(&mut self, now: Timestamp) -> Vec<WorkerCall> {
        self.forget_old(now);
        self.confirm_unsynced(now);
        let removals = std::mem::take(&mut self.unwanted);
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
        if !self.looking && now >= self.next_look {
            self.looking = true;
            calls.push(WorkerCall::Look);
        }
        calls
    }

    /// Decides right before a start is sent whether it may be; see [`Gate`].
    pub fn may_start(&mut self, now: Timestamp, number: u64, gate: Gate) -> StartCheck {
        match self.members.get_mut(&number) {
            Some(member) => member.may_start(now, gate),
            None => StartCheck::Never,
        }
    }

    /// Returns the gang of a member.
    pub fn gang(&self, number: u64) -> Option<&GangId> {
        self.members.get(&number).map(Member::gang)
    }

    /// Takes the answer to a call on a lease that was made at `asked`.
    pub fn on_answer(
        &mut self,
        now: Timestamp,
        asked: Timestamp,
        number: u64,
        op: &WorkerOp,
        answer: &Result<WorkerLease, WorkerError>,
    ) {
        if let Some(member) = self.members.get_mut(&number) {
            member.answered(now, asked, op, answer);
        }
    }

    /// Takes the answer to a look at all leases that was made at `asked`.
    pub fn on_look(
        &mut self,
        now: Timestamp,
        asked: Timestamp,
        answer: &Result<WorkerView, WorkerError>,
    ) {
        self.looking = false;
        self.next_look = now + LOOK_PERIOD;
        let Ok(view) = answer else {
            return;
        };
        self.seen = now;
        self.accelerators = view.accelerators;
        let leases: HashMap<&Name, &WorkerLease> =
            view.leases.iter().map(|l| (&l.lease, l)).collect();
        for member in self.members.values_mut() {
            match leases.get(member.lease()) {
                Some(lease) => member.seen_lease(now, asked, lease),
                None => member.missing(now, asked),
            }
        }
        if self.synced {
            self.remove_unknown(view);
        } else {
            self.adopt(asked, view);
        }
    }

    fn obeys(&mut self, term: u64) -> bool {
        let obeys = term >= self.term;
        self.term = self.term.max(term);
        obeys
    }

    fn member(&mut self, gang: &GangId) -> Option<&mut Member> {
        let number = self.by_gang.get(gang)?;
        self.members.get_mut(number)
    }

    fn reserve(&mut self, now: Timestamp, order: TaskOrder) {
        // An order that came before the worker was read is repeated by the planner.
        if !self.obeys(order.gang.term) || !self.synced || self.by_gang.contains_key(&order.gang) {
            return;
        }
        let job = &order.gang.job;
        let busy = self
            .members
            .values()
            .any(|m| m.gang().job == *job && m.end().is_none());
        let number = self.take_number();
        let member = if busy || self.leaving || self.stops.contains(&order.gang) {
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
            member.stop(now, checkpoint, STOPPED);
        } else if self.synced {
            self.confirm_stop(now, gang);
        } else {
            // The worker may hold it from a former process of this agent; it is looked at first.
            self.stops.insert(gang);
        }
    }

    /// Reports as stopped what this agent does not hold, and will not.
    fn confirm_stop(&mut self, now: Timestamp, gang: GangId) {
        let name = LeaseName {
            gang,
            member: 0,
            members: 0,
        };
        let number = self.take_number();
        self.insert(number, Member::ended(now, number, name, STOPPED));
    }

    /// Confirms what it was told to stop where the worker could not be read for so long that all
    /// leases from the time before this process have lapsed.
    fn confirm_unsynced(&mut self, now: Timestamp) {
        if !self.synced && now.since(self.started) > LAPSE {
            for gang in std::mem::take(&mut self.stops) {
                self.confirm_stop(now, gang);
            }
        }
    }

    fn renew(&mut self, now: Timestamp, echo_ms: u64, age_ms: u64, members: &[u64]) {
        if echo_ms > now.as_millis() {
            return;
        }
        let alive = Timestamp::from_millis(echo_ms.saturating_sub(age_ms));
        for number in members {
            if let Some(member) = self.members.get_mut(number) {
                member.renew(alive + GANG_LEASE);
            }
        }
    }

    /// Takes over the leases that a former process of this agent has left.
    fn adopt(&mut self, asked: Timestamp, view: &WorkerView) {
        self.synced = true;
        for lease in &view.leases {
            let Some(name) = LeaseName::parse(&lease.lease) else {
                continue;
            };
            log::info!(lease:% = lease.lease, state:? = lease.state; "lease_adopted");
            let number = self.take_number();
            self.insert(number, Member::adopt(asked, number, name, lease));
        }
        for gang in std::mem::take(&mut self.stops) {
            self.stop(asked, gang, true);
        }
    }

    /// Removes leases that no member has: those of forgotten members, and one that was obtained by
    /// a call whose answer was lost.
    fn remove_unknown(&mut self, view: &WorkerView) {
        let known: HashSet<&Name> = self.members.values().map(Member::lease).collect();
        let unknown = view
            .leases
            .iter()
            .map(|l| &l.lease)
            .filter(|lease| !known.contains(*lease) && LeaseName::parse(lease).is_some())
            .cloned();
        self.unwanted.extend(unknown);
    }

    fn forget_old(&mut self, now: Timestamp) {
        let old: Vec<u64> = self
            .members
            .iter()
            .filter(|(_, m)| m.end().is_some_and(|end| !is_result(end)))
            .filter(|(_, m)| now.since(m.ended_at()) > REMEMBER_STOP)
            .map(|(number, _)| *number)
            .collect();
        for number in old {
            self.forget(number);
        }
        while self.members.len() > KEPT_ENDS {
            let ended = self.members.iter().find(|(_, m)| m.end().is_some());
            let Some(number) = ended.map(|(number, _)| *number) else {
                return;
            };
            self.forget(number);
        }
    }

    fn forget(&mut self, number: u64) {
        if let Some(member) = self.members.remove(&number) {
            self.by_gang.remove(member.gang());
            self.unwanted.push(member.lease().clone());
        }
    }

    fn insert(&mut self, number: u64, member: Member) {
        self.by_gang.insert(member.gang().clone(), number);
        self.members.insert(number, member);
    }

    fn take_number(&mut self) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        number
    }
}

/// Returns whether the end tells the planner something that it can't learn elsewhere.
fn is_result(end: MemberState) -> bool {
    !matches!(end, MemberState::Refused | STOPPED)
}
