//! What becomes of a gang as time passes: its next phase, and the orders that its agents get.

use std::time::Duration;

use crate::{
    connection::{GangMessage, MemberState, TaskOrder},
    job::{
        Close, Gang, GangAction, StopReason,
        gang::{Member, Phase, is_over},
        stopping::{Fence, Stopping},
    },
    utils::Timestamp,
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

impl Gang {
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
