//! Periodic processing of a gang: phase changes, timeouts and the orders sent to its agents.

use std::time::Duration;

use crate::{
    connection::{GangMessage, MemberState, TaskOrder},
    job::{
        Gang, GangAction, GangEnd, StopReason,
        gang::{Member, Phase, is_over},
        stopping::{Fence, Stopping},
    },
    utils::Timestamp,
};

/// Time within which all members have to reserve their accelerators.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(4_000);

/// Time within which all members have to start.
const START_TIMEOUT: Duration = Duration::from_millis(5_000);

/// Time within which the members have to stop before the gang is fenced.
const STOP_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long a stopping gang waits for its members to release their reservations if its start is not
/// on the log, so that they can no longer start.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Interval at which an order is sent again until the agent has followed it.
const ORDER_RESEND_PERIOD: Duration = Duration::from_millis(500);

impl Gang {
    /// Advances the gang and returns the actions that are due. `folded` is the offset up to which
    /// every entry is known to have folded the log.
    pub fn tick(&mut self, now: Timestamp, term: u64, folded: u64) -> Vec<GangAction> {
        let mut actions = Vec::new();
        if self.has_finished() {
            self.phase = Phase::Closed;
            actions.push(GangAction::Close(GangEnd::Finished));
            return actions;
        }
        self.advance(now);
        if let Phase::Stopping(stopping) = self.phase {
            self.advance_stop(now, stopping, folded, &mut actions);
        }
        if self.phase == Phase::Recording && self.start_offset.is_none() && now >= self.next_order {
            // Requested once only: the appender always reports whether the record reached the log.
            self.next_order = Timestamp::from_millis(u64::MAX);
            actions.push(GangAction::RecordStart);
        }
        if now >= self.next_order && self.phase != Phase::Closed {
            self.next_order = now + ORDER_RESEND_PERIOD;
            self.send_orders(term, &mut actions);
        }
        actions
    }

    fn has_finished(&self) -> bool {
        let all = |state| self.members.iter().all(|m| m.reported == Some(state));
        self.phase != Phase::Closed && all(MemberState::Finished)
    }

    fn advance(&mut self, now: Timestamp) {
        let all =
            |f: fn(MemberState) -> bool| self.members.iter().all(|m| m.reported.is_some_and(f));
        match self.phase {
            Phase::Reserving { .. } if all(|s| s == MemberState::Reserved) => {
                self.phase = Phase::Recording;
                self.next_order = now;
            }
            Phase::Reserving { since } if now.since(since) > RESERVE_TIMEOUT => {
                self.stop(now, StopReason::NotReserved);
            }
            Phase::Starting { .. }
                if all(|s| matches!(s, MemberState::Running | MemberState::Finished)) =>
            {
                log::info!(job:% = self.id.job, attempt = self.id.attempt; "gang_running");
                self.phase = Phase::Running { since: now };
                self.first_running = Some(now);
            }
            Phase::Starting { since } if now.since(since) > START_TIMEOUT => {
                self.stop(now, StopReason::NotStarted);
            }
            _ => {}
        }
    }

    fn advance_stop(
        &mut self,
        now: Timestamp,
        mut stopping: Stopping,
        folded: u64,
        actions: &mut Vec<GangAction>,
    ) {
        if let Fence::Recorded {
            offset,
            folded_by_all_at,
            ..
        } = &mut stopping.fence
            && folded_by_all_at.is_none()
            && folded > *offset
        {
            *folded_by_all_at = Some(now);
        }
        let unended: Vec<bool> = self
            .members
            .iter()
            .filter(|m| !m.reported.is_some_and(is_over))
            .map(|m| m.has_run)
            .collect();
        let ended_for_certain = |has_run: bool| match self.start_offset {
            None => now.since(stopping.since) > RELEASE_TIMEOUT,
            Some(_) => stopping.has_lapsed(now, has_run),
        };
        if unended.iter().all(|has_run| ended_for_certain(*has_run)) {
            self.phase = Phase::Closed;
            actions.push(GangAction::Close(self.gang_end(stopping.reason)));
            return;
        }
        let lapses_without_fence =
            unended.iter().all(|has_run| *has_run) && stopping.first_stop.is_some();
        let timed_out = now.since(stopping.since) > STOP_TIMEOUT;
        if self.start_offset.is_some()
            && timed_out
            && !lapses_without_fence
            && stopping.fence == Fence::NotRequested
        {
            stopping.fence = Fence::Requested;
            actions.push(GangAction::RecordFence);
        }
        self.phase = Phase::Stopping(stopping);
    }

    fn gang_end(&self, reason: StopReason) -> GangEnd {
        let ends = || self.members.iter().filter_map(|m| m.reported);
        GangEnd::Stopped {
            checkpointed: ends().any(|s| s == MemberState::Stopped { checkpointed: true }),
            failed: reason == StopReason::TaskFailed || ends().any(|s| s == MemberState::Failed),
            recorded: self.start_offset.is_some(),
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
        match (self.phase, member.reported) {
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
                offset: self.start_offset?,
            }),
            (Phase::Stopping(stopping), reported) if !reported.is_some_and(is_over) => {
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
