//! One member of a gang at its agent: from the reservation to its end.
//!
//! A member has at most one call to the worker under way, so that nothing prolongs its lease
//! between the check before its start and the start itself.

use std::time::Duration;

use crate::{
    connection::{
        LeaseState,
        MemberReport,
        MemberState,
        StartTasks,
        TaskOrder,
        WorkerError,
        WorkerLease, //
    },
    job::{
        CHECKPOINT_TIME, DRIFT, GANG_LEASE, GangId, Gate, LeaseName, RENEW_PERIOD, RESERVATION,
        StartCheck, WORKER_SILENCE, WORKER_TTL, WorkerOp,
    },
    utils::{Name, Timestamp},
};

/// Pause before a call that the worker did not answer is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The end of what was stopped before it had anything to save.
pub(super) const STOPPED: MemberState = MemberState::Stopped {
    checkpointed: false,
};

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// The lease is being obtained.
    Obtaining,
    /// The lease is held.
    Reserved,
    /// The start was sent, and the tasks may run.
    Starting,
    /// The tasks run.
    Running,
    /// They are being stopped, and this is to be reported where they had not ended by themselves.
    Stopping(MemberState),
    /// Nothing runs and nothing is held.
    Ended(MemberState),
}

/// One member of a gang.
#[derive(Clone, Debug)]
pub(super) struct Member {
    number: u64,
    name: LeaseName,
    lease: Name,
    /// None for a member that a former process of this agent has started.
    order: Option<TaskOrder>,
    phase: Phase,
    begun: Timestamp,
    ended: Timestamp,
    /// The offset up to which the log has to be folded to see that the start is on it.
    go: Option<u64>,
    checkpoint: bool,
    /// When the gang's lease ends; set when the tasks are started.
    until: Timestamp,
    /// When the worker lease has lapsed at the latest.
    held_until: Timestamp,
    /// When the worker was last known to run the tasks or to hold the lease.
    seen: Timestamp,
    next_call: Timestamp,
    busy: bool,
    /// Whether the worker has said that the lease is over, but not how.
    over: bool,
}

impl Member {
    /// Returns a member whose accelerators are to be obtained.
    pub(super) fn reserve(now: Timestamp, number: u64, order: TaskOrder) -> Self {
        let name = LeaseName {
            gang: order.gang.clone(),
            member: order.member,
            members: order.members,
        };
        Self {
            order: Some(order),
            ..Self::new(now, number, name, Phase::Obtaining)
        }
    }

    /// Returns a member that holds nothing and only reports `state`.
    pub(super) fn ended(now: Timestamp, number: u64, name: LeaseName, state: MemberState) -> Self {
        Self::new(now, number, name, Phase::Ended(state))
    }

    /// Returns the member whose lease a former process of this agent has obtained; `asked` is when
    /// the worker was asked for it.
    ///
    /// Its gang's lease is not known any more. It ends no earlier than the worker's, so the tasks
    /// may run as long as that, and go on if a renewal arrives in time.
    pub(super) fn adopt(
        asked: Timestamp,
        number: u64,
        name: LeaseName,
        lease: &WorkerLease,
    ) -> Self {
        let until = asked + Duration::from_millis(lease.ttl_ms);
        let phase = match lease.state {
            LeaseState::Held => Phase::Stopping(STOPPED),
            LeaseState::Running => Phase::Running,
            _ => Phase::Ended(end_of(lease)),
        };
        Self {
            until,
            held_until: until,
            ..Self::new(asked, number, name, phase)
        }
    }

    fn new(now: Timestamp, number: u64, name: LeaseName, phase: Phase) -> Self {
        Self {
            number,
            lease: name.to_name(),
            name,
            order: None,
            phase,
            begun: now,
            ended: now,
            go: None,
            checkpoint: false,
            until: now,
            held_until: now,
            seen: now,
            next_call: now,
            busy: false,
            over: false,
        }
    }

    pub(super) fn gang(&self) -> &GangId {
        &self.name.gang
    }

    pub(super) fn lease(&self) -> &Name {
        &self.lease
    }

    /// Returns what the agent's report says of the member; none before it holds anything.
    pub(super) fn report(&self) -> Option<MemberReport> {
        let state = match self.phase {
            Phase::Obtaining => return None,
            Phase::Reserved | Phase::Starting => MemberState::Reserved,
            Phase::Running => MemberState::Running,
            Phase::Stopping(_) => MemberState::Stopping,
            Phase::Ended(state) => state,
        };
        Some(MemberReport {
            number: self.number,
            gang: self.gang().clone(),
            members: self.name.members,
            state,
        })
    }

    /// Returns how the member ended; none while it may hold something.
    pub(super) fn end(&self) -> Option<MemberState> {
        match self.phase {
            Phase::Ended(state) => Some(state),
            _ => None,
        }
    }

    /// Returns when the member ended or, before that, when it began.
    pub(super) fn ended_at(&self) -> Timestamp {
        self.ended
    }

    /// Takes note that the planner has the start on the log, at `offset` or before.
    pub(super) fn go(&mut self, now: Timestamp, offset: u64) {
        if self.go.is_none() {
            self.next_call = now;
        }
        self.go = self.go.max(Some(offset));
    }

    /// Stops the member where it has not ended; `state` is reported where it ends by this.
    pub(super) fn stop(&mut self, now: Timestamp, checkpoint: bool, state: MemberState) {
        if matches!(self.phase, Phase::Stopping(_) | Phase::Ended(_)) {
            return;
        }
        self.checkpoint = checkpoint && self.phase == Phase::Running;
        self.phase = Phase::Stopping(state);
        self.next_call = now;
    }

    /// Prolongs the gang's lease.
    pub(super) fn renew(&mut self, until: Timestamp) {
        if self.phase == Phase::Running {
            self.until = self.until.max(until);
        }
    }

    /// Returns the next call to the worker, where one is due; it then counts as under way.
    pub(super) fn next_call(&mut self, now: Timestamp) -> Option<WorkerOp> {
        self.expire(now);
        if self.busy || now < self.next_call {
            return None;
        }
        let op = match self.phase {
            Phase::Obtaining => WorkerOp::Obtain {
                accelerators: self.order.as_ref()?.total_accelerators(),
                until: self.begun + RESERVATION,
            },
            Phase::Reserved | Phase::Starting if self.go.is_some() && !self.over => {
                WorkerOp::Start(self.tasks()?)
            }
            Phase::Reserved => WorkerOp::Renew {
                until: self.begun + RESERVATION,
            },
            Phase::Starting | Phase::Running if self.over => WorkerOp::Inspect,
            Phase::Starting | Phase::Running => WorkerOp::Renew { until: self.until },
            Phase::Stopping(_) => WorkerOp::Stop {
                checkpoint: self.checkpoint,
            },
            Phase::Ended(_) => return None,
        };
        self.busy = true;
        Some(op)
    }

    /// Stops the member where its time is up or its worker is silent.
    fn expire(&mut self, now: Timestamp) {
        let silent = now.since(self.seen) > WORKER_SILENCE;
        match self.phase {
            Phase::Obtaining | Phase::Reserved if now >= self.begun + RESERVATION => {
                self.stop(now, false, STOPPED);
            }
            Phase::Starting | Phase::Running if now + CHECKPOINT_TIME >= self.until || silent => {
                log::info!(
                    job:% = self.gang().job,
                    attempt = self.gang().attempt,
                    silent = silent;
                    "gang_lease_ended"
                );
                self.stop(now, true, STOPPED);
            }
            // The worker does not answer, so nothing more can be asked of it: its own clock has
            // stopped the tasks by then.
            Phase::Stopping(state) if now > self.held_until + DRIFT && silent => {
                self.finish(now, state);
            }
            _ => {}
        }
    }

    /// Decides right before the start whether it may be sent.
    pub(super) fn may_start(&mut self, now: Timestamp, gate: Gate) -> StartCheck {
        let check = match self.phase {
            Phase::Reserved | Phase::Starting if !gate.in_service => StartCheck::Never,
            // The agent may be fresh and yet lack the last second's records, the start among them.
            Phase::Reserved | Phase::Starting
                if !gate.fresh || self.go >= Some(gate.next_offset) =>
            {
                StartCheck::Wait
            }
            Phase::Reserved | Phase::Starting if !gate.allowed => StartCheck::Never,
            Phase::Reserved => StartCheck::Start,
            // The answer to the first start was lost. Its lease counts from the first.
            Phase::Starting if now < self.until => StartCheck::Start,
            _ => StartCheck::Never,
        };
        match check {
            StartCheck::Start if self.phase == Phase::Reserved => {
                self.phase = Phase::Starting;
                self.until = now + GANG_LEASE;
            }
            StartCheck::Start => {}
            StartCheck::Wait => self.release(now),
            StartCheck::Never => {
                self.release(now);
                self.stop(now, false, MemberState::Refused);
            }
        }
        check
    }

    /// Returns how long after an answer the next call follows.
    fn pause(&self) -> Duration {
        match self.phase {
            Phase::Reserved if self.go.is_some() => Duration::ZERO,
            Phase::Stopping(_) => Duration::ZERO,
            _ => RENEW_PERIOD,
        }
    }

    /// Takes note that the call under way is over and the next may follow after a pause.
    fn release(&mut self, now: Timestamp) {
        self.busy = false;
        self.next_call = now + RETRY_PAUSE;
    }

    /// Takes the worker's answer to `op`, which was asked at `asked`.
    pub(super) fn answered(
        &mut self,
        now: Timestamp,
        asked: Timestamp,
        op: &WorkerOp,
        answer: &Result<WorkerLease, WorkerError>,
    ) {
        self.release(now);
        match (op, answer) {
            (_, Ok(lease)) => {
                self.seen_lease(now, asked, lease);
                self.next_call = now + self.pause();
            }
            (WorkerOp::Stop { .. } | WorkerOp::Inspect, Err(WorkerError::Over)) => {
                self.stopped(now);
            }
            // The tasks may have ended by themselves. To report them as lost would stop the rest
            // of a gang whose members end one after the other.
            (WorkerOp::Renew { .. } | WorkerOp::Start(_), Err(WorkerError::Over))
                if matches!(self.phase, Phase::Starting | Phase::Running) =>
            {
                self.over = true;
                self.next_call = now;
            }
            (_, Err(WorkerError::Over)) => self.stop(now, false, STOPPED),
            (WorkerOp::Obtain { .. }, Err(WorkerError::NotFree | WorkerError::Refused(_))) => {
                self.refused(now);
            }
            (WorkerOp::Obtain { .. } | WorkerOp::Renew { .. }, Err(error)) => {
                if matches!(error, WorkerError::Uncertain(_)) {
                    self.held_until = now + WORKER_TTL;
                }
                if self.phase == Phase::Obtaining {
                    self.stop(now, false, MemberState::Refused);
                }
            }
            (WorkerOp::Start(_), Err(WorkerError::NotFree | WorkerError::Refused(_))) => {
                self.stop(now, true, MemberState::Refused);
            }
            // The tasks may run. Starting them again changes nothing where they do.
            (WorkerOp::Start(_), Err(WorkerError::Uncertain(_))) => {}
            // Both are repeated until the worker answers or its lease has lapsed.
            (WorkerOp::Stop { .. } | WorkerOp::Inspect, Err(_)) => {}
        }
    }

    /// Takes note of what the worker says of the lease.
    pub(super) fn seen_lease(&mut self, now: Timestamp, asked: Timestamp, lease: &WorkerLease) {
        self.seen = self.seen.max(asked);
        let held_until = now + Duration::from_millis(lease.ttl_ms);
        self.held_until = self.held_until.max(held_until);
        match (lease.state, self.phase) {
            (LeaseState::Held, Phase::Obtaining) => self.phase = Phase::Reserved,
            (LeaseState::Running, Phase::Starting) => self.phase = Phase::Running,
            (LeaseState::Held | LeaseState::Running, _) => {}
            _ => self.finish(now, end_of(lease)),
        }
    }

    /// Takes note that the worker, asked at `asked`, does not know the lease.
    pub(super) fn missing(&mut self, now: Timestamp, asked: Timestamp) {
        if self.phase == Phase::Running && !self.busy && self.seen < asked {
            self.stopped(now);
        }
    }

    fn refused(&mut self, now: Timestamp) {
        match self.phase {
            Phase::Obtaining => self.finish(now, MemberState::Refused),
            _ => self.stopped(now),
        }
    }

    fn stopped(&mut self, now: Timestamp) {
        let state = match self.phase {
            Phase::Stopping(state) => state,
            _ => STOPPED,
        };
        self.finish(now, state);
    }

    fn finish(&mut self, now: Timestamp, state: MemberState) {
        if matches!(self.phase, Phase::Ended(_)) {
            return;
        }
        // An order that was refused holds nothing that could be stopped; say so.
        let state = match (self.phase, state) {
            (Phase::Stopping(MemberState::Refused), MemberState::Stopped { .. }) => {
                MemberState::Refused
            }
            (_, state) => state,
        };
        self.phase = Phase::Ended(state);
        self.ended = now;
    }

    fn tasks(&self) -> Option<StartTasks> {
        let order = self.order.as_ref()?;
        Some(StartTasks {
            job: order.gang.job.clone(),
            attempt: order.gang.attempt,
            member: order.member,
            tasks: order.tasks,
            program: order.program.clone(),
            resume: order.resume,
        })
    }
}

impl TaskOrder {
    fn total_accelerators(&self) -> u32 {
        self.tasks.saturating_mul(self.accelerators)
    }
}

fn end_of(lease: &WorkerLease) -> MemberState {
    match lease.state {
        LeaseState::Finished => MemberState::Finished,
        LeaseState::Failed => MemberState::Failed,
        _ => MemberState::Stopped {
            checkpointed: lease.checkpointed,
        },
    }
}
