//! What agents answer, and what follows where an answer does not come.

use super::{DEFAULT_RETRY_AFTER_MS, Dispatch, Due, EntryAction, EntryTable, Stage};
use crate::{
    connection::{Message, NotRun, Outcome, RequestId, RequestMessage},
    request::{Refusal, load::Sample},
    utils::{Name, Timestamp},
};

/// The first status by which a backend server says that it failed.
const MIN_SERVER_ERROR_STATUS: u16 = 500;

impl EntryTable {
    /// Takes in an agent's answer, with the free slots of the service after it.
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
            // The agent keeps the answer until we have it, and gives it again to the same request.
            self.actions.push(EntryAction::Event("answer_cut_off"));
            self.resend(number);
            return;
        }
        let message = Message::Request(RequestMessage::Received { id });
        let to = from.clone();
        if matching.is_some()
            && let Some(dispatch) =
                self.end_dispatch(now, number, sample(now, matching, &outcome), Some(free))
        {
            self.apply_outcome(now, &dispatch, outcome);
            self.dispatch_queued(now, &dispatch.service);
        }
        self.actions.push(EntryAction::Resend { to, message });
    }

    /// Takes note that `message`, which [`EntryAction::Send`] was to hand to `to`, was not sent.
    pub fn send_failed(&mut self, now: Timestamp, to: &Name, message: &Message) {
        match message {
            Message::Request(RequestMessage::Run { id, .. }) => {
                let ended = self.end_dispatch(now, id.number, Sample::NotStarted, None);
                if let Some(dispatch) = ended {
                    self.enqueue(now, dispatch.request);
                }
            }
            Message::Key(message) => self.key_send_failed(now, to, message),
            _ => {}
        }
    }

    /// Answers what is due by `now`.
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
            // The agent may be at it. Its answer still tells the key's owner the truth, so the
            // request stays known without its body.
            Stage::Running { dispatch } => {
                pending.stage = Stage::Answered { dispatch };
                pending.body = Vec::new();
                self.answer(number, Outcome::Unknown);
            }
            Stage::Answered { .. } => {}
        }
    }

    /// Forgets a dispatch and frees what it held.
    pub(super) fn end_dispatch(
        &mut self,
        now: Timestamp,
        number: u64,
        sample: Sample,
        free: Option<u32>,
    ) -> Option<Dispatch> {
        let dispatch = self.dispatches.remove(&number)?;
        self.loads.request_ended(
            now,
            &dispatch.agent,
            dispatch.incarnation,
            &dispatch.service,
            sample,
            free,
        );
        let state = self.services.entry(dispatch.service.clone()).or_default();
        state.running = state.running.saturating_sub(1);
        if let Sample::Ran(time) = sample {
            state.record_run_time(now, dispatch.urgency, time);
        }
        Some(dispatch)
    }

    /// Concludes from the answer of an agent, or from the loss of it, what becomes of a request.
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
            // Running it twice does no harm, and it may not have run at all.
            Outcome::Unknown if repeatable => {
                self.retry(now, number, EntryAction::Event("retried_after_loss"));
            }
            outcome => self.finish(number, outcome),
        }
    }

    /// Lets a request wait for another agent, if the budget allows.
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

    /// Sends a request again to the same process of its agent, which knows it by its id.
    pub(super) fn resend(&mut self, dispatch: u64) {
        let to = self.dispatches.get(&dispatch).map(|d| d.agent.clone());
        if let (Some(to), Some(message)) = (to, self.run_message(dispatch)) {
            self.actions.push(EntryAction::Resend { to, message });
        }
    }

    /// Answers a request at its deadline, for the thread that waits for it.
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

fn sample(now: Timestamp, dispatch: Option<&Dispatch>, outcome: &Outcome) -> Sample {
    let sent_at = dispatch.map_or(now, |d| d.sent_at);
    match outcome {
        Outcome::Done { status, .. } if *status < MIN_SERVER_ERROR_STATUS => {
            Sample::Ran(now.since(sent_at))
        }
        Outcome::Done { .. } | Outcome::Unknown => Sample::Failed,
        Outcome::NotRun { reason, .. } => match reason {
            NotRun::Refused => Sample::Refused,
            _ => Sample::NotStarted,
        },
    }
}
