//! Handles the answers of agents, and requests whose answer does not arrive.

use super::{DEFAULT_RETRY_AFTER_MS, Dispatch, Due, EntryAction, EntryTable, Stage};
use crate::{
    connection::{Message, NotRun, Outcome, RequestId, RequestMessage},
    request::{Refusal, load::DispatchResult},
    utils::{Name, Timestamp},
};

/// The lowest HTTP status that counts as a failure of the backend server.
const MIN_SERVER_ERROR_STATUS: u16 = 500;

impl EntryTable {
    /// Handles an answer from an agent; `free` is the number of free slots of the service at the
    /// agent when it sent the answer.
    pub fn answered(
        &mut self,
        now: Timestamp,
        from: &Name,
        id: RequestId,
        outcome: Outcome,
        free: u32,
    ) {
        if id.entry != self.entry {
            return;
        }
        let number = id.number;
        let matching = self.dispatches.get(&number).filter(|d| d.agent == *from);
        if matching.is_some() && !is_complete(&outcome) {
            // The agent keeps the answer until it is acknowledged and returns it to a repeated
            // request.
            self.actions.push(EntryAction::Event("answer_cut_off"));
            self.resend(number);
            return;
        }
        let message = Message::Request(RequestMessage::Received { id });
        let to = from.clone();
        if matching.is_some()
            && let Some(dispatch) = self.end_dispatch(
                now,
                number,
                dispatch_result(now, matching, &outcome),
                Some(free),
            )
        {
            self.apply_outcome(now, &dispatch, outcome);
            self.dispatch_queued(now, &dispatch.service);
        }
        self.actions.push(EntryAction::Resend { to, message });
    }

    /// Handles the failure of an [`EntryAction::Send`] of `message` to `to`.
    pub fn send_failed(&mut self, now: Timestamp, to: &Name, message: &Message) {
        match message {
            Message::Request(RequestMessage::Run { id, .. }) => {
                let ended = self.end_dispatch(now, id.number, DispatchResult::NotStarted, None);
                if let Some(dispatch) = ended {
                    self.enqueue(now, dispatch.request);
                }
            }
            Message::Key(message) => self.key_send_failed(now, to, message),
            _ => {}
        }
    }

    /// Answers the requests whose deadline has passed by `now`.
    pub(super) fn expire_due(&mut self, now: Timestamp) {
        while let Some(due) = self.due.first().copied().filter(|d| d.at <= now) {
            self.due.remove(&due);
            self.expire(now, due.number);
        }
    }

    fn expire(&mut self, now: Timestamp, number: u64) {
        let Some(pending) = self.requests.get_mut(&number) else {
            return;
        };
        match pending.stage.clone() {
            Stage::Claiming { .. } => {
                let refusal = Refusal::new(NotRun::Deadline, DEFAULT_RETRY_AFTER_MS);
                self.give_up_claim(now, number, refusal);
            }
            Stage::Queued => {
                let service = pending.service.clone();
                let retry_after = self.retry_after(now, &service);
                let refusal = Refusal::new(NotRun::Deadline, retry_after);
                self.finish(number, refusal.outcome());
            }
            // The agent may be running the request. Its answer still gives the key's owner the
            // true outcome, so the request is kept without its body.
            Stage::Running { dispatch } => {
                pending.stage = Stage::Answered { dispatch };
                pending.body = Vec::new();
                self.answer(number, Outcome::Unknown);
            }
            Stage::Answered { .. } => {}
        }
    }

    /// Removes a dispatch and releases its slot.
    pub(super) fn end_dispatch(
        &mut self,
        now: Timestamp,
        number: u64,
        result: DispatchResult,
        free: Option<u32>,
    ) -> Option<Dispatch> {
        let dispatch = self.dispatches.remove(&number)?;
        self.loads.request_ended(
            now,
            &dispatch.agent,
            dispatch.incarnation,
            &dispatch.service,
            result,
            free,
        );
        let state = self.services.entry(dispatch.service.clone()).or_default();
        state.running = state.running.saturating_sub(1);
        if let DispatchResult::Ran(time) = result {
            state.record_run_time(now, dispatch.urgency, time);
        }
        Some(dispatch)
    }

    /// Finishes or retries a request according to the answer of its agent, or the loss of the
    /// agent.
    pub(super) fn apply_outcome(&mut self, now: Timestamp, dispatch: &Dispatch, outcome: Outcome) {
        let number = dispatch.request;
        let Some(pending) = self.requests.get_mut(&number) else {
            return;
        };
        pending.may_have_run |= matches!(outcome, Outcome::Unknown);
        let repeatable = pending.repeatable;
        let answered = matches!(pending.stage, Stage::Answered { .. });
        match outcome {
            outcome if answered => self.finish(number, outcome),
            Outcome::NotRun { reason, .. } if reason != NotRun::Deadline => {
                self.retry(now, number, EntryAction::Retried(reason));
            }
            // The request may not have run at all, and running it twice does no harm.
            Outcome::Unknown if repeatable => {
                self.retry(now, number, EntryAction::Event("retried_after_loss"));
            }
            outcome => self.finish(number, outcome),
        }
    }

    /// Queues a request for another agent if the retry budget allows it, and refuses it otherwise.
    fn retry(&mut self, now: Timestamp, number: u64, action: EntryAction) {
        if self.budget.spend() {
            self.actions.push(action);
            self.enqueue(now, number);
            return;
        }
        let service = self.requests.get(&number).map(|p| p.service.clone());
        let retry_after = service.map_or(DEFAULT_RETRY_AFTER_MS, |s| self.retry_after(now, &s));
        let refusal = Refusal::new(NotRun::RetryBudget, retry_after);
        self.finish(number, refusal.outcome());
    }

    /// Sends a request again to the same process of its agent, which recognizes it by its id.
    pub(super) fn resend(&mut self, dispatch: u64) {
        let to = self.dispatches.get(&dispatch).map(|d| d.agent.clone());
        if let (Some(to), Some(message)) = (to, self.run_message(dispatch)) {
            self.actions.push(EntryAction::Resend { to, message });
        }
    }

    /// Answers a request at its deadline; called by the thread that waits for the request.
    pub fn deadline_passed(&mut self, now: Timestamp, number: u64) {
        let Some(pending) = self.requests.get(&number) else {
            return;
        };
        let at = pending.deadline;
        if self.due.remove(&Due { at, number }) {
            self.expire(now, number);
        }
    }
}

pub(super) fn is_complete(outcome: &Outcome) -> bool {
    match outcome {
        Outcome::Done { length, body, .. } => *length == body.len() as u64,
        Outcome::NotRun { .. } | Outcome::Unknown => true,
    }
}

fn dispatch_result(
    now: Timestamp,
    dispatch: Option<&Dispatch>,
    outcome: &Outcome,
) -> DispatchResult {
    let sent_at = dispatch.map_or(now, |d| d.sent_at);
    match outcome {
        Outcome::Done { status, .. } if *status < MIN_SERVER_ERROR_STATUS => {
            DispatchResult::Ran(now.since(sent_at))
        }
        Outcome::Done { .. } | Outcome::Unknown => DispatchResult::Failed,
        Outcome::NotRun { reason, .. } => match reason {
            NotRun::Refused => DispatchResult::Refused,
            _ => DispatchResult::NotStarted,
        },
    }
}
