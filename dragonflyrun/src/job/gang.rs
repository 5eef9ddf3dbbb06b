//! One gang at the planner: from its reservation to the end of its last member.

use std::time::Duration;

use crate::{
    connection::{GangMessage, MemberState, Placement, TaskOrder},
    job::{AUTONOMY, GangId, LAPSE, LAPSE_UNSTARTED, LiveJob},
    utils::{HashMap, Name, Timestamp},
};

/// How long the members have to reserve.
const RESERVE_WAIT: Duration = Duration::from_millis(4_000);

/// How long the members have to start.
const START_WAIT: Duration = Duration::from_millis(5_000);

/// How long the members have to stop before the gang is fenced.
const STOP_WAIT: Duration = Duration::from_millis(1_000);

/// How long a reservation that can't start any more is waited for.
const RELEASE_WAIT: Duration = Duration::from_millis(3_000);

/// Time between two copies of an order that was not followed yet.
const ORDER_PERIOD: Duration = Duration::from_millis(500);

/// What is to be done about a gang.
#[derive(Clone, Debug, PartialEq)]
pub enum GangAction {
    /// Send an order.
    Send {
        /// The agent.
        to: Name,
        /// The order.
        message: GangMessage,
    },
    /// Put the start on the log.
    RecordStart,
    /// Put on the log that the gang is not renewed any more.
    RecordFence,
    /// The gang is over on all workers for certain.
    Close(Close),
}

/// How a gang was over.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Close {
    /// All tasks ended well.
    Finished,
    /// The job is to wait for another attempt, or to end where it was cancelled.
    Stopped {
        /// Whether the next attempt goes on from a checkpoint.
        checkpointed: bool,
        /// Whether a task failed.
        failed: bool,
        /// Whether the attempt is on the log.
        recorded: bool,
    },
}

/// Why a gang is stopped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopReason {
    /// Not all members could reserve.
    NotReserved,
    /// The start is not known to be on the log.
    NotRecorded,
    /// Not all members have started.
    NotStarted,
    /// A member was lost.
    MemberLost,
    /// A task failed.
    TaskFailed,
    /// Its accelerators are needed for another job or its failure domain leaves service.
    Evicted,
    /// Somebody asked to cancel the job.
    Cancelled,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    Reserving { since: Timestamp },
    Recording,
    Starting { since: Timestamp },
    Running { since: Timestamp },
    Stopping(Stopping),
    Closed,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Stopping {
    since: Timestamp,
    reason: StopReason,
    checkpoint: bool,
    /// When it was heard that some member had stopped: no entry renews from then on.
    first_stop: Option<Timestamp>,
    fence: Fence,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fence {
    Open,
    Asked,
    Folded {
        offset: u64,
        at: Timestamp,
        /// When all entries were known to have folded it.
        obeyed: Option<Timestamp>,
    },
}

#[derive(Clone, Debug)]
struct Member {
    worker: Name,
    tasks: u32,
    seen: Option<MemberState>,
    /// Whether it has run; one that has can't be started again.
    ran: bool,
}

/// One gang.
#[derive(Clone, Debug)]
pub struct Gang {
    id: GangId,
    job: LiveJob,
    members: Vec<Member>,
    index: HashMap<Name, usize>,
    phase: Phase,
    /// An offset of the log at which the start is known to stand, there or before.
    recorded: Option<u64>,
    /// When all members were first known to run.
    began: Option<Timestamp>,
    next_order: Timestamp,
}

impl Gang {
    /// Returns a gang that is to be reserved at `placements`.
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

    /// Returns the gang of a job that the log, as of `offset`, says is placed, and of whose members
    /// nothing is known yet.
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
        recorded: Option<u64>,
    ) -> Self {
        let members: Vec<Member> = placements
            .iter()
            .map(|p| Member {
                worker: p.worker.clone(),
                tasks: p.tasks,
                seen: None,
                ran: false,
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
            recorded,
            began: None,
            next_order: now,
        }
    }

    /// Returns which attempt it is.
    pub fn id(&self) -> &GangId {
        &self.id
    }

    /// Returns the job as of the last record on it.
    pub fn job(&self) -> &LiveJob {
        &self.job
    }

    /// Returns where the members are placed.
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

    /// Returns since when all members run; none where not all do.
    pub fn running_since(&self) -> Option<Timestamp> {
        match self.phase {
            Phase::Running { since } => Some(since),
            _ => None,
        }
    }

    /// Returns for how long it has run.
    pub fn ran(&self, now: Timestamp) -> Duration {
        self.began.map_or(Duration::ZERO, |at| now.since(at))
    }

    /// Returns whether it is stopping or over.
    pub fn is_stopping(&self) -> bool {
        matches!(self.phase, Phase::Stopping(_) | Phase::Closed)
    }

    /// Returns whether the start is on the log.
    pub fn is_recorded(&self) -> bool {
        self.recorded.is_some()
    }

    /// Takes note of a record about the job.
    pub fn update(&mut self, now: Timestamp, job: LiveJob, offset: u64) {
        if job.fenced
            && !self.job.fenced
            && let Phase::Stopping(stopping) = &mut self.phase
        {
            stopping.fence = Fence::Folded {
                offset,
                at: now,
                obeyed: None,
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

    /// Takes note that the start is on the log at `offset`.
    pub fn recorded(&mut self, now: Timestamp, offset: u64) {
        self.recorded = Some(offset);
        if self.phase == Phase::Recording {
            self.phase = Phase::Starting { since: now };
            self.next_order = now;
        }
    }

    /// Takes note that the fence could not be put on the log.
    pub fn fence_failed(&mut self) {
        if let Phase::Stopping(stopping) = &mut self.phase
            && stopping.fence == Fence::Asked
        {
            stopping.fence = Fence::Open;
        }
    }

    /// Stops the gang where it does not stop yet.
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
        // A former planner may have fenced it.
        let fence = match (self.job.fenced, self.recorded) {
            (true, Some(offset)) => Fence::Folded {
                offset,
                at: now,
                obeyed: None,
            },
            _ => Fence::Open,
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

    /// Takes what an agent reports of its member; none where it does not know it. Returns the
    /// state before.
    pub fn report(
        &mut self,
        now: Timestamp,
        worker: &Name,
        state: Option<MemberState>,
    ) -> Option<MemberState> {
        let index = *self.index.get(worker)?;
        let member = &mut self.members[index];
        let before = member.seen;
        if before.is_some_and(is_over) {
            return before;
        }
        if state.is_some() {
            member.seen = state;
            member.ran |= matches!(state, Some(MemberState::Running | MemberState::Finished));
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
            // Its process was replaced and found nothing.
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

    /// Takes note that an agent is silent or gone.
    pub fn worker_lost(&mut self, now: Timestamp, worker: &Name) {
        let finished = self
            .index
            .get(worker)
            .is_some_and(|i| self.members[*i].seen == Some(MemberState::Finished));
        // After a change of planner an agent may not be linked yet; that has its own timeout.
        let never_heard = matches!(self.phase, Phase::Starting { .. })
            && self
                .index
                .get(worker)
                .is_some_and(|i| self.members[*i].seen.is_none());
        if !finished && !never_heard {
            log::info!(
                job:% = self.id.job,
                attempt = self.id.attempt,
                worker:% = worker;
                "member_silent"
            );
            self.stop(now, StopReason::MemberLost);
        }
    }

    /// Returns what is to be done now. `folded` is the offset up to which every entry is known to
    /// have folded the log.
    pub fn tick(&mut self, now: Timestamp, term: u64, folded: u64) -> Vec<GangAction> {
        let mut actions = Vec::new();
        if self.has_finished() {
            self.phase = Phase::Closed;
            actions.push(GangAction::Close(Close::Finished));
            return actions;
        }
        self.advance(now);
        if let Phase::Stopping(stopping) = self.phase {
            self.follow_stop(now, stopping, folded, &mut actions);
        }
        if self.phase == Phase::Recording && self.recorded.is_none() && now >= self.next_order {
            // It is asked for once; its fate is always told.
            self.next_order = Timestamp::from_millis(u64::MAX);
            actions.push(GangAction::RecordStart);
        }
        if now >= self.next_order && self.phase != Phase::Closed {
            self.next_order = now + ORDER_PERIOD;
            self.send_orders(term, &mut actions);
        }
        actions
    }

    fn has_finished(&self) -> bool {
        let all = |state| self.members.iter().all(|m| m.seen == Some(state));
        self.phase != Phase::Closed && all(MemberState::Finished)
    }

    fn advance(&mut self, now: Timestamp) {
        let all = |f: fn(MemberState) -> bool| self.members.iter().all(|m| m.seen.is_some_and(f));
        match self.phase {
            Phase::Reserving { .. } if all(|s| s == MemberState::Reserved) => {
                self.phase = Phase::Recording;
                self.next_order = now;
            }
            Phase::Reserving { since } if now.since(since) > RESERVE_WAIT => {
                self.stop(now, StopReason::NotReserved);
            }
            Phase::Starting { .. }
                if all(|s| matches!(s, MemberState::Running | MemberState::Finished)) =>
            {
                log::info!(job:% = self.id.job, attempt = self.id.attempt; "gang_running");
                self.phase = Phase::Running { since: now };
                self.began = Some(now);
            }
            Phase::Starting { since } if now.since(since) > START_WAIT => {
                self.stop(now, StopReason::NotStarted);
            }
            _ => {}
        }
    }

    fn follow_stop(
        &mut self,
        now: Timestamp,
        mut stopping: Stopping,
        folded: u64,
        actions: &mut Vec<GangAction>,
    ) {
        if let Fence::Folded { offset, obeyed, .. } = &mut stopping.fence
            && obeyed.is_none()
            && folded > *offset
        {
            *obeyed = Some(now);
        }
        let open: Vec<bool> = self
            .members
            .iter()
            .filter(|m| !m.seen.is_some_and(is_over))
            .map(|m| m.ran)
            .collect();
        let certain = |ran: bool| match self.recorded {
            None => now.since(stopping.since) > RELEASE_WAIT,
            Some(_) => stopping.is_lapsed(now, ran),
        };
        if open.iter().all(|ran| certain(*ran)) {
            self.phase = Phase::Closed;
            actions.push(GangAction::Close(self.close(stopping.reason)));
            return;
        }
        let bounded = open.iter().all(|ran| *ran) && stopping.first_stop.is_some();
        let waited = now.since(stopping.since) > STOP_WAIT;
        if self.recorded.is_some() && waited && !bounded && stopping.fence == Fence::Open {
            stopping.fence = Fence::Asked;
            actions.push(GangAction::RecordFence);
        }
        self.phase = Phase::Stopping(stopping);
    }

    fn close(&self, reason: StopReason) -> Close {
        let ends = || self.members.iter().filter_map(|m| m.seen);
        Close::Stopped {
            checkpointed: ends().any(|s| s == MemberState::Stopped { checkpointed: true }),
            failed: reason == StopReason::TaskFailed || ends().any(|s| s == MemberState::Failed),
            recorded: self.recorded.is_some(),
        }
    }

    fn send_orders(&self, term: u64, actions: &mut Vec<GangAction>) {
        for (i, member) in self.members.iter().enumerate() {
            if let Some(message) = self.order(term, i, member) {
                actions.push(GangAction::Send {
                    to: member.worker.clone(),
                    message,
                });
            }
        }
    }

    fn order(&self, term: u64, index: usize, member: &Member) -> Option<GangMessage> {
        let gang = self.id.clone();
        match (self.phase, member.seen) {
            (Phase::Reserving { .. }, None) => {
                let number = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
                Some(GangMessage::Reserve(TaskOrder {
                    gang,
                    member: number(index),
                    members: number(self.members.len()),
                    tasks: member.tasks,
                    accelerators: self.job.spec.accelerators,
                    program: self.job.spec.program.clone(),
                    resume: self.job.checkpointed,
                }))
            }
            (Phase::Starting { .. }, Some(MemberState::Reserved)) => Some(GangMessage::Go {
                term,
                gang,
                offset: self.recorded?,
            }),
            (Phase::Stopping(stopping), seen) if !seen.is_some_and(is_over) => {
                Some(GangMessage::Stop {
                    term,
                    gang,
                    checkpoint: stopping.checkpoint,
                })
            }
            _ => None,
        }
    }
}

impl Stopping {
    /// Returns whether a member that was not heard to have stopped has done so for certain.
    fn is_lapsed(&self, now: Timestamp, ran: bool) -> bool {
        // A renewal needs all members running, so the first stop ends them for those that ran.
        let by_stop = ran && self.first_stop.is_some_and(|at| now.since(at) > LAPSE);
        by_stop || self.is_lapsed_by_fence(now, ran)
    }

    fn is_lapsed_by_fence(&self, now: Timestamp, ran: bool) -> bool {
        let Fence::Folded { at, obeyed, .. } = self.fence else {
            return false;
        };
        let unrenewed = obeyed.is_some_and(|since| now.since(since) > LAPSE);
        let by_itself = now.since(at) > AUTONOMY + LAPSE_UNSTARTED;
        (unrenewed || by_itself) && (ran || now.since(at) > LAPSE_UNSTARTED)
    }
}

/// Returns whether the member holds and runs nothing any more.
fn is_over(state: MemberState) -> bool {
    state == MemberState::Finished || is_stopped(state)
}

/// Returns whether the member has ended before its work was done.
fn is_stopped(state: MemberState) -> bool {
    matches!(
        state,
        MemberState::Refused | MemberState::Failed | MemberState::Stopped { .. }
    )
}

fn is_healthy(state: MemberState) -> bool {
    matches!(
        state,
        MemberState::Reserved | MemberState::Running | MemberState::Finished
    )
}
