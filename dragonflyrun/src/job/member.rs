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
        CHECKPOINT_TIME, CLOCK_TOLERANCE, GANG_LEASE, GangId, LeaseName, RENEW_PERIOD,
        RESERVATION_TIMEOUT, StartCheck, StartConditions, WORKER_SILENCE, WORKER_TTL, WorkerOp,
    },
    utils::{Name, Timestamp},
};

/// Pause before a call that the worker did not answer is repeated.
const CALL_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The end of what was stopped before it had anything to save.
pub(super) const STOPPED_WITHOUT_CHECKPOINT: MemberState = MemberState::Stopped {
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
    created_at: Timestamp,
    ended_at: Timestamp,
    /// The offset up to which the log has to be folded to see that the start is on it.
    start_offset: Option<u64>,
    checkpoint: bool,
    /// When the gang's lease ends; set when the tasks are started.
    gang_lease_until: Timestamp,
    /// When the worker lease has lapsed at the latest.
    worker_lease_until: Timestamp,
    /// When the worker was last known to run the tasks or to hold the lease.
    last_seen: Timestamp,
    next_call: Timestamp,
    call_pending: bool,
    /// Whether the worker has said that the lease is over, but not how.
    lease_over: bool,
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

    /// Returns the member whose lease a former process of this agent has obtained; `called_at` is when
    /// the worker was called_at for it.
    ///
    /// Its gang's lease is not known any more. It ends no earlier than the worker's, so the tasks
    /// may run as long as that, and go on if a renewal arrives in time.
    pub(super) fn adopt(
        called_at: Timestamp,
        number: u64,
        name: LeaseName,
        lease: &WorkerLease,
    ) -> Self {
        let until = called_at + Duration::from_millis(lease.ttl_ms);
        let phase = match lease.state {
            LeaseState::Held => Phase::Stopping(STOPPED_WITHOUT_CHECKPOINT),
            LeaseState::Running => Phase::Running,
            _ => Phase::Ended(end_state(lease)),
        };
        Self {
            gang_lease_until: until,
            worker_lease_until: until,
            ..Self::new(called_at, number, name, phase)
        }
    }

    fn new(now: Timestamp, number: u64, name: LeaseName, phase: Phase) -> Self {
        Self {
            number,
            lease: name.to_name(),
            name,
            order: None,
            phase,
            created_at: now,
            ended_at: now,
            start_offset: None,
            checkpoint: false,
            gang_lease_until: now,
            worker_lease_until: now,
            last_seen: now,
            next_call: now,
            call_pending: false,
            lease_over: false,
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
        self.ended_at
    }

    /// Takes note that the planner has the start on the log, at `offset` or before.
    pub(super) fn on_go(&mut self, now: Timestamp, offset: u64) {
        if self.start_offset.is_none() {
            self.next_call = now;
        }
        self.start_offset = self.start_offset.max(Some(offset));
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
            self.gang_lease_until = self.gang_lease_until.max(until);
        }
    }

    /// Returns the next call to the worker, where one is due; it then counts as under way.
    pub(super) fn next_call(&mut self, now: Timestamp) -> Option<WorkerOp> {
        self.stop_if_expired(now);
        if self.call_pending || now < self.next_call {
            return None;
        }
        let op = match self.phase {
            Phase::Obtaining => WorkerOp::Obtain {
                accelerators: self.order.as_ref()?.total_accelerators(),
                until: self.created_at + RESERVATION_TIMEOUT,
            },
            Phase::Reserved | Phase::Starting
                if self.start_offset.is_some() && !self.lease_over =>
            {
                WorkerOp::Start(self.tasks()?)
            }
            Phase::Reserved => WorkerOp::Renew {
                until: self.created_at + RESERVATION_TIMEOUT,
            },
            Phase::Starting | Phase::Running if self.lease_over => WorkerOp::Inspect,
            Phase::Starting | Phase::Running => WorkerOp::Renew {
                until: self.gang_lease_until,
            },
            Phase::Stopping(_) => WorkerOp::Stop {
                checkpoint: self.checkpoint,
            },
            Phase::Ended(_) => return None,
        };
        self.call_pending = true;
        Some(op)
    }

    /// Stops the member where its time is up or its worker is silent.
    fn stop_if_expired(&mut self, now: Timestamp) {
        let silent = now.since(self.last_seen) > WORKER_SILENCE;
        match self.phase {
            Phase::Obtaining | Phase::Reserved if now >= self.created_at + RESERVATION_TIMEOUT => {
                self.stop(now, false, STOPPED_WITHOUT_CHECKPOINT);
            }
            Phase::Starting | Phase::Running
                if now + CHECKPOINT_TIME >= self.gang_lease_until || silent =>
            {
                log::info!(
                    job:% = self.gang().job,
                    attempt = self.gang().attempt,
                    silent = silent;
                    "gang_lease_ended"
                );
                self.stop(now, true, STOPPED_WITHOUT_CHECKPOINT);
            }
            // The worker does not answer, so nothing more can be called_at of it: its own clock has
            // stopped the tasks by then.
            Phase::Stopping(state) if now > self.worker_lease_until + CLOCK_TOLERANCE && silent => {
                self.finish(now, state);
            }
            _ => {}
        }
    }

    /// Decides right before the start whether it may be sent.
    pub(super) fn may_start(&mut self, now: Timestamp, conditions: StartConditions) -> StartCheck {
        let check = match self.phase {
            Phase::Reserved | Phase::Starting if !conditions.in_service => StartCheck::Never,
            // The agent may be fresh and yet lack the last second's records, the start among them.
            Phase::Reserved | Phase::Starting
                if !conditions.fresh || self.start_offset >= Some(conditions.next_offset) =>
            {
                StartCheck::Wait
            }
            Phase::Reserved | Phase::Starting if !conditions.allowed => StartCheck::Never,
            Phase::Reserved => StartCheck::Start,
            // The answer to the first start was lost. Its lease counts from the first.
            Phase::Starting if now < self.gang_lease_until => StartCheck::Start,
            _ => StartCheck::Never,
        };
        match check {
            StartCheck::Start if self.phase == Phase::Reserved => {
                self.phase = Phase::Starting;
                self.gang_lease_until = now + GANG_LEASE;
            }
            StartCheck::Start => {}
            StartCheck::Wait => self.end_call(now),
            StartCheck::Never => {
                self.end_call(now);
                self.stop(now, false, MemberState::Refused);
            }
        }
        check
    }

    /// Returns how long after an answer the next call follows.
    fn pause_after_answer(&self) -> Duration {
        match self.phase {
            Phase::Reserved if self.start_offset.is_some() => Duration::ZERO,
            Phase::Stopping(_) => Duration::ZERO,
            _ => RENEW_PERIOD,
        }
    }

    /// Takes note that the call under way is over and the next may follow after a pause.
    fn end_call(&mut self, now: Timestamp) {
        self.call_pending = false;
        self.next_call = now + CALL_RETRY_PAUSE;
    }

    /// Takes the worker's answer to `op`, which was called_at at `called_at`.
    pub(super) fn on_answer(
        &mut self,
        now: Timestamp,
        called_at: Timestamp,
        op: &WorkerOp,
        answer: &Result<WorkerLease, WorkerError>,
    ) {
        self.end_call(now);
        match (op, answer) {
            (_, Ok(lease)) => {
                self.on_lease(now, called_at, lease);
                self.next_call = now + self.pause_after_answer();
            }
            (WorkerOp::Stop { .. } | WorkerOp::Inspect, Err(WorkerError::Over)) => {
                self.on_stopped(now);
            }
            // The tasks may have ended by themselves. To report them as lost would stop the rest
            // of a gang whose members end one after the other.
            (WorkerOp::Renew { .. } | WorkerOp::Start(_), Err(WorkerError::Over))
                if matches!(self.phase, Phase::Starting | Phase::Running) =>
            {
                self.lease_over = true;
                self.next_call = now;
            }
            (_, Err(WorkerError::Over)) => self.stop(now, false, STOPPED_WITHOUT_CHECKPOINT),
            (WorkerOp::Obtain { .. }, Err(WorkerError::NotFree | WorkerError::Refused(_))) => {
                self.on_refused(now);
            }
            (WorkerOp::Obtain { .. } | WorkerOp::Renew { .. }, Err(error)) => {
                if matches!(error, WorkerError::Uncertain(_)) {
                    self.worker_lease_until = now + WORKER_TTL;
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
    pub(super) fn on_lease(&mut self, now: Timestamp, called_at: Timestamp, lease: &WorkerLease) {
        self.last_seen = self.last_seen.max(called_at);
        let worker_lease_until = now + Duration::from_millis(lease.ttl_ms);
        self.worker_lease_until = self.worker_lease_until.max(worker_lease_until);
        match (lease.state, self.phase) {
            (LeaseState::Held, Phase::Obtaining) => self.phase = Phase::Reserved,
            (LeaseState::Running, Phase::Starting) => self.phase = Phase::Running,
            (LeaseState::Held | LeaseState::Running, _) => {}
            _ => self.finish(now, end_state(lease)),
        }
    }

    /// Takes note that the worker, called_at at `called_at`, does not know the lease.
    pub(super) fn on_lease_missing(&mut self, now: Timestamp, called_at: Timestamp) {
        if self.phase == Phase::Running && !self.call_pending && self.last_seen < called_at {
            self.on_stopped(now);
        }
    }

    fn on_refused(&mut self, now: Timestamp) {
        match self.phase {
            Phase::Obtaining => self.finish(now, MemberState::Refused),
            _ => self.on_stopped(now),
        }
    }

    fn on_stopped(&mut self, now: Timestamp) {
        let state = match self.phase {
            Phase::Stopping(state) => state,
            _ => STOPPED_WITHOUT_CHECKPOINT,
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
        self.ended_at = now;
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

fn end_state(lease: &WorkerLease) -> MemberState {
    match lease.state {
        LeaseState::Finished => MemberState::Finished,
        LeaseState::Failed => MemberState::Failed,
        _ => MemberState::Stopped {
            checkpointed: lease.checkpointed,
        },
    }
}
