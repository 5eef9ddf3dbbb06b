//! The agent's state machine of one gang member, from the reservation to the end.
//!
//! A member has at most one outstanding call to the worker, so that nothing extends its lease
//! between the check before the start and the start itself.

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

/// Delay before a call that the worker did not answer is retried.
const CALL_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The final state of a member that was stopped without saving a checkpoint.
pub(super) const STOPPED_WITHOUT_CHECKPOINT: MemberState = MemberState::Stopped {
    checkpointed: false,
};

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// The worker lease is being obtained.
    Obtaining,
    /// The worker lease is held, and the tasks have not been started.
    Reserved,
    /// The start was sent; the tasks may be running.
    Starting,
    /// The tasks are running.
    Running,
    /// The member is being stopped; holds the state to report unless the tasks ended by themselves.
    Stopping(MemberState),
    /// No task runs and no lease is held; holds the final state.
    Ended(MemberState),
}

/// One member of a gang, as its agent tracks it.
#[derive(Clone, Debug)]
pub(super) struct Member {
    number: u64,
    name: LeaseName,
    lease: Name,
    /// The order to reserve; none for a member started by a previous process of this agent.
    order: Option<TaskOrder>,
    phase: Phase,
    created_at: Timestamp,
    ended_at: Timestamp,
    /// A log offset at or after that of the start record, which has to be folded before the start.
    start_offset: Option<u64>,
    checkpoint: bool,
    /// When the gang's lease ends; set when the tasks are started.
    gang_lease_until: Timestamp,
    /// The latest time at which the worker lease lapses.
    worker_lease_until: Timestamp,
    /// When the worker was last known to run the tasks or to hold the lease.
    last_seen: Timestamp,
    next_call: Timestamp,
    call_pending: bool,
    /// Whether the worker reported that the lease has ended, but not how.
    lease_over: bool,
}

impl Member {
    /// Creates a member whose accelerators have yet to be obtained.
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

    /// Creates a member that holds no lease and only reports `state`.
    pub(super) fn ended(now: Timestamp, number: u64, name: LeaseName, state: MemberState) -> Self {
        Self::new(now, number, name, Phase::Ended(state))
    }

    /// Creates the member of a lease that a previous process of this agent obtained; `called_at` is
    /// when the worker was asked for its leases.
    ///
    /// The end of the gang's lease is no longer known, but it is not before that of the worker
    /// lease. The tasks may therefore run until the worker lease ends, and continue if a renewal
    /// arrives in time.
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

    /// Returns the member's entry in the agent's report, or none before it holds a lease.
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

    /// Returns the final state of the member, or none while it may hold a lease.
    pub(super) fn end(&self) -> Option<MemberState> {
        match self.phase {
            Phase::Ended(state) => Some(state),
            _ => None,
        }
    }

    /// Returns when the member ended or, before that, when it was created.
    pub(super) fn ended_at(&self) -> Timestamp {
        self.ended_at
    }

    /// Records the planner's message that the start is on the log, at `offset` or before.
    pub(super) fn on_go(&mut self, now: Timestamp, offset: u64) {
        if self.start_offset.is_none() {
            self.next_call = now;
        }
        self.start_offset = self.start_offset.max(Some(offset));
    }

    /// Starts to stop the member unless it is already stopping or has ended. `state` is reported if
    /// the tasks end because of it.
    pub(super) fn stop(&mut self, now: Timestamp, checkpoint: bool, state: MemberState) {
        if matches!(self.phase, Phase::Stopping(_) | Phase::Ended(_)) {
            return;
        }
        self.checkpoint = checkpoint && self.phase == Phase::Running;
        self.phase = Phase::Stopping(state);
        self.next_call = now;
    }

    /// Extends the gang's lease.
    pub(super) fn renew(&mut self, until: Timestamp) {
        if self.phase == Phase::Running {
            self.gang_lease_until = self.gang_lease_until.max(until);
        }
    }

    /// Returns the next call to the worker if one is due, and marks it as outstanding.
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

    /// Stops the member if its reservation or lease is about to end or its worker is silent.
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
            // The worker does not answer any more calls. By its own clock the lease has lapsed, and
            // it has stopped the tasks.
            Phase::Stopping(state) if now > self.worker_lease_until + CLOCK_TOLERANCE && silent => {
                self.finish(now, state);
            }
            _ => {}
        }
    }

    /// Checks whether the start may be sent; to be called directly before sending it.
    pub(super) fn may_start(&mut self, now: Timestamp, conditions: StartConditions) -> StartCheck {
        let check = match self.phase {
            Phase::Reserved | Phase::Starting if !conditions.in_service => StartCheck::Never,
            // An agent whose view of the log counts as fresh may still lack the records of the last
            // second, including the start record.
            Phase::Reserved | Phase::Starting
                if !conditions.fresh || self.start_offset >= Some(conditions.next_offset) =>
            {
                StartCheck::Wait
            }
            Phase::Reserved | Phase::Starting if !conditions.allowed => StartCheck::Never,
            Phase::Reserved => StartCheck::Start,
            // The answer to the first start was lost. The gang's lease counts from that start.
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

    /// Returns the delay between an answer of the worker and the next call.
    fn pause_after_answer(&self) -> Duration {
        match self.phase {
            Phase::Reserved if self.start_offset.is_some() => Duration::ZERO,
            Phase::Stopping(_) => Duration::ZERO,
            _ => RENEW_PERIOD,
        }
    }

    /// Ends the outstanding call and schedules the next one after the retry delay.
    fn end_call(&mut self, now: Timestamp) {
        self.call_pending = false;
        self.next_call = now + CALL_RETRY_PAUSE;
    }

    /// Applies the worker's answer to `op`, a call made at `called_at`.
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
            (WorkerOp::Stop { .. } | WorkerOp::Inspect, Err(WorkerError::LeaseEnded)) => {
                self.on_stopped(now);
            }
            // The tasks may have ended by themselves. Reporting them as lost would stop the
            // remaining members of a gang whose members finish one after another.
            (WorkerOp::Renew { .. } | WorkerOp::Start(_), Err(WorkerError::LeaseEnded))
                if matches!(self.phase, Phase::Starting | Phase::Running) =>
            {
                self.lease_over = true;
                self.next_call = now;
            }
            (_, Err(WorkerError::LeaseEnded)) => self.stop(now, false, STOPPED_WITHOUT_CHECKPOINT),
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
            // The tasks may be running, in which case a second start has no effect.
            (WorkerOp::Start(_), Err(WorkerError::Uncertain(_))) => {}
            // Both calls are retried until the worker answers or its lease has lapsed.
            (WorkerOp::Stop { .. } | WorkerOp::Inspect, Err(_)) => {}
        }
    }

    /// Applies the state of the lease that the worker reported for a call made at `called_at`.
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

    /// Handles the absence of this lease from the worker's list of leases, which was requested at
    /// `called_at`.
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
        // A refused order holds nothing any more that could be stopped, so it is reported as
        // refused.
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
