//! The planner's state machine of one gang, from the reservation of its members to the end of the
//! last one.

use std::time::Duration;

use crate::{
    connection::{GangMessage, MemberState, Placement},
    job::{
        GangId, LiveJob, StopReason,
        stopping::{Fence, Stopping},
    },
    utils::{HashMap, Name, Timestamp},
};

/// An action that a gang needs from the planner.
#[derive(Clone, Debug, PartialEq)]
pub enum GangAction {
    /// Send an order to an agent.
    Send {
        /// The name of the agent that receives the order.
        to: Name,
        /// The message about the gang's members at that agent.
        message: GangMessage,
    },
    /// Append the start of the attempt to the log.
    RecordStart,
    /// Append a record that forbids all further renewals of the gang's leases.
    RecordFence,
    /// End the attempt: all its members have ended for certain.
    Close(GangEnd),
}

/// How a gang ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GangEnd {
    /// All tasks succeeded.
    Finished,
    /// The gang was stopped: the job waits for another attempt, or ends if it was cancelled.
    Stopped {
        /// Whether the next attempt resumes from a checkpoint.
        checkpointed: bool,
        /// Whether a task failed.
        failed: bool,
        /// Whether the start of the attempt is on the log.
        recorded: bool,
    },
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Phase {
    Reserving { since: Timestamp },
    Recording,
    Starting { since: Timestamp },
    Running { since: Timestamp },
    Stopping(Stopping),
    Closed,
}

#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) worker: Name,
    pub(super) tasks: u32,
    pub(super) reported: Option<MemberState>,
    /// Whether the member has ever run; if so, it can't be started again.
    pub(super) has_run: bool,
}

/// One gang, as the planner tracks it.
#[derive(Clone, Debug)]
pub struct Gang {
    pub(super) id: GangId,
    pub(super) job: LiveJob,
    pub(super) members: Vec<Member>,
    pub(super) index: HashMap<Name, usize>,
    pub(super) phase: Phase,
    /// A log offset at or after that of the start record; none until the start is known to be on
    /// the log.
    pub(super) start_offset: Option<u64>,
    /// When all members were first known to be running.
    pub(super) first_running: Option<Timestamp>,
    pub(super) next_order: Timestamp,
}

impl Gang {
    /// Creates a gang whose members have yet to be reserved at `placements`.
    pub fn reserve(now: Timestamp, id: GangId, job: LiveJob, placements: &[Placement]) -> Self {
        Self::new(
            now,
            id,
            job,
            placements,
            Phase::Reserving { since: now },
            None,
        )
    }

    /// Creates the gang of a job that the log records as placed, as of `offset`. The state of its
    /// members is unknown until their agents report.
    pub fn adopt(now: Timestamp, job: LiveJob, offset: u64) -> Self {
        let placements = job.placements.clone();
        let phase = Phase::Starting { since: now };
        Self::new(now, job.gang(), job, &placements, phase, Some(offset))
    }

    fn new(
        now: Timestamp,
        id: GangId,
        job: LiveJob,
        placements: &[Placement],
        phase: Phase,
        start_offset: Option<u64>,
    ) -> Self {
        let members: Vec<Member> = placements
            .iter()
            .map(|p| Member {
                worker: p.worker.clone(),
                tasks: p.tasks,
                reported: None,
                has_run: false,
            })
            .collect();
        let index = members
            .iter()
            .enumerate()
            .map(|(i, m)| (m.worker.clone(), i))
            .collect();
        Self {
            id,
            job,
            members,
            index,
            phase,
            start_offset,
            first_running: None,
            next_order: now,
        }
    }

    /// Returns the identifier of the attempt.
    pub fn id(&self) -> &GangId {
        &self.id
    }

    /// Returns the job as of its last record on the log.
    pub fn job(&self) -> &LiveJob {
        &self.job
    }

    /// Returns the placements of the members.
    pub fn placements(&self) -> Vec<Placement> {
        self.members
            .iter()
            .map(|m| Placement {
                worker: m.worker.clone(),
                tasks: m.tasks,
            })
            .collect()
    }

    /// Returns the workers of the members.
    pub fn workers(&self) -> impl Iterator<Item = &Name> {
        self.members.iter().map(|m| &m.worker)
    }

    /// Returns the time since which all members have been running, or none while some are not.
    pub fn running_since(&self) -> Option<Timestamp> {
        match self.phase {
            Phase::Running { since } => Some(since),
            _ => None,
        }
    }

    /// Returns the time since all members were first known to be running; zero before that.
    pub fn run_time(&self, now: Timestamp) -> Duration {
        self.first_running
            .map_or(Duration::ZERO, |at| now.since(at))
    }

    /// Returns whether the gang is stopping or has ended.
    pub fn is_stopping(&self) -> bool {
        matches!(self.phase, Phase::Stopping(_) | Phase::Closed)
    }

    /// Returns whether the start is on the log.
    pub fn is_recorded(&self) -> bool {
        self.start_offset.is_some()
    }

    /// Updates the job after a log record at `offset`, and stops the gang if the job is cancelled
    /// or fenced.
    pub fn update(&mut self, now: Timestamp, job: LiveJob, offset: u64) {
        if job.fenced
            && !self.job.fenced
            && let Phase::Stopping(stopping) = &mut self.phase
        {
            stopping.fence = Fence::Recorded {
                offset,
                folded_at: now,
                folded_by_all_at: None,
            };
        }
        let (cancelled, fenced) = (job.cancelled, job.fenced);
        self.job = job;
        if cancelled {
            self.stop(now, StopReason::Cancelled);
        } else if fenced {
            self.stop(now, StopReason::MemberLost);
        }
    }

    /// Records that the start is on the log at `offset`.
    pub fn start_recorded(&mut self, now: Timestamp, offset: u64) {
        self.start_offset = Some(offset);
        if self.phase == Phase::Recording {
            self.phase = Phase::Starting { since: now };
            self.next_order = now;
        }
    }

    /// Allows the fence to be requested again after it could not be appended to the log.
    pub fn fence_failed(&mut self) {
        if let Phase::Stopping(stopping) = &mut self.phase
            && stopping.fence == Fence::Requested
        {
            stopping.fence = Fence::NotRequested;
        }
    }

    /// Starts to stop the gang, unless it is already stopping or has ended.
    pub fn stop(&mut self, now: Timestamp, reason: StopReason) {
        if self.is_stopping() {
            return;
        }
        log::info!(
            job:% = self.id.job,
            attempt = self.id.attempt,
            reason:? = reason;
            "gang_stopping"
        );
        // An earlier planner may already have fenced the attempt.
        let fence = match (self.job.fenced, self.start_offset) {
            (true, Some(offset)) => Fence::Recorded {
                offset,
                folded_at: now,
                folded_by_all_at: None,
            },
            _ => Fence::NotRequested,
        };
        self.phase = Phase::Stopping(Stopping {
            since: now,
            reason,
            checkpoint: reason != StopReason::Cancelled,
            first_stop: None,
            fence,
        });
        self.next_order = now;
    }

    /// Applies the member state that an agent reports, or none if the agent does not know the
    /// member. Returns the state reported before.
    pub fn report(
        &mut self,
        now: Timestamp,
        worker: &Name,
        state: Option<MemberState>,
    ) -> Option<MemberState> {
        let index = *self.index.get(worker)?;
        let member = &mut self.members[index];
        let before = member.reported;
        if before.is_some_and(is_over) {
            return before;
        }
        if state.is_some() {
            member.reported = state;
            member.has_run |= matches!(state, Some(MemberState::Running | MemberState::Finished));
        }
        match (self.phase, state) {
            (Phase::Reserving { .. } | Phase::Recording, Some(s)) if s != MemberState::Reserved => {
                self.stop(now, StopReason::NotReserved);
            }
            (Phase::Starting { .. } | Phase::Running { .. }, Some(MemberState::Failed)) => {
                self.stop(now, StopReason::TaskFailed);
            }
            (Phase::Starting { .. } | Phase::Running { .. }, Some(s)) if !is_healthy(s) => {
                self.stop(now, StopReason::MemberLost);
            }
            // The agent's process was replaced and found no lease of this member.
            (Phase::Starting { .. } | Phase::Running { .. }, None) if before.is_some() => {
                self.stop(now, StopReason::MemberLost);
            }
            _ => {}
        }
        if self.is_stopping() && !state.is_some_and(is_healthy) {
            log::info!(
                job:% = self.id.job,
                attempt = self.id.attempt,
                worker:% = worker,
                state:? = state;
                "member_not_running"
            );
        }
        if state.is_some_and(is_stopped)
            && let Phase::Stopping(stopping) = &mut self.phase
        {
            stopping.first_stop = stopping.first_stop.or(Some(now));
        }
        before
    }

    /// Stops the gang because the agent of a member is lost: it has been silent for too long. A
    /// member that has finished does not need its agent any more.
    pub fn worker_lost(&mut self, now: Timestamp, worker: &Name) {
        let finished = self
            .index
            .get(worker)
            .is_some_and(|i| self.members[*i].reported == Some(MemberState::Finished));
        // An agent may not have connected yet to a new planner; the start timeout covers that case.
        let never_reported = matches!(self.phase, Phase::Starting { .. })
            && self
                .index
                .get(worker)
                .is_some_and(|i| self.members[*i].reported.is_none());
        if !finished && !never_reported {
            log::info!(
                job:% = self.id.job,
                attempt = self.id.attempt,
                worker:% = worker;
                "member_silent"
            );
            self.stop(now, StopReason::MemberLost);
        }
    }
}

/// Returns whether the member no longer holds accelerators or runs tasks.
pub(super) fn is_over(state: MemberState) -> bool {
    state == MemberState::Finished || is_stopped(state)
}

/// Returns whether the member ended before its work was done.
pub(super) fn is_stopped(state: MemberState) -> bool {
    matches!(
        state,
        MemberState::Refused | MemberState::Failed | MemberState::Stopped { .. }
    )
}

pub(super) fn is_healthy(state: MemberState) -> bool {
    matches!(
        state,
        MemberState::Reserved | MemberState::Running | MemberState::Finished
    )
}
