//! Dispatches queued requests to agents.

use std::time::Duration;

use super::{Dispatch, EntryAction, EntryTable, Stage};
use crate::{
    connection::{Message, NotRun, RequestMessage},
    request::{Refusal, Waiting},
    utils::{Name, Timestamp},
    version::Urgency,
};

impl EntryTable {
    pub(super) fn enqueue(&mut self, now: Timestamp, number: u64) {
        let Some(pending) = self.requests.get_mut(&number) else {
            return;
        };
        pending.stage = Stage::Queued;
        let waiting = pending.waiting(number);
        let service = pending.service.clone();
        let state = self.services.entry(service.clone()).or_default();
        state.queue.push(waiting);
        self.dispatch_queued(now, &service);
    }

    /// Dispatches the queued requests of `service` while there are free slots.
    pub(super) fn dispatch_queued(&mut self, now: Timestamp, service: &Name) {
        while let Some(waiting) = self.services.get(service).and_then(|s| s.queue.first()) {
            if self.would_miss_deadline(now, service, &waiting) {
                let retry_after = self.retry_after(now, service);
                let refusal = Refusal::new(NotRun::Deadline, retry_after);
                self.finish(waiting.number, refusal.outcome());
                continue;
            }
            let run_time_ratio = self.run_time_ratio(now, service, waiting.urgency);
            let max_mean = waiting.deadline.since(now).div_f64(run_time_ratio);
            let agent = self
                .loads
                .choose(now, service, max_mean, self.choices, &mut self.rng);
            let Some(agent) = agent else {
                return;
            };
            if let Some(state) = self.services.get_mut(service) {
                state.queue.dequeue(&waiting);
            }
            self.dispatch(now, waiting.number, agent);
        }
    }

    fn dispatch(&mut self, now: Timestamp, number: u64, agent: Name) {
        let dispatch = self.allocate_number();
        let (Some(pending), Some(view)) = (self.requests.get_mut(&number), self.loads.view(&agent))
        else {
            return;
        };
        pending.stage = Stage::Running { dispatch };
        let service = pending.service.clone();
        self.dispatches.insert(
            dispatch,
            Dispatch {
                request: number,
                service: service.clone(),
                urgency: pending.urgency,
                agent: agent.clone(),
                incarnation: view.incarnation,
                sent_at: now,
                deadline_ms: view.clock_at(pending.deadline),
                lost_at: None,
                resend_at: None,
                resends_left: 0,
            },
        );
        self.loads.request_sent(&agent, &service);
        self.services.entry(service).or_default().running += 1;
        if let Some(message) = self.run_message(dispatch) {
            self.actions.push(EntryAction::Send { to: agent, message });
        }
    }

    pub(super) fn run_message(&self, dispatch: u64) -> Option<Message> {
        let target = self.dispatches.get(&dispatch)?;
        let pending = self.requests.get(&target.request)?;
        let view = self.loads.view(&target.agent)?;
        if view.incarnation != target.incarnation || matches!(pending.stage, Stage::Answered { .. })
        {
            return None;
        }
        Some(Message::Request(RequestMessage::Run {
            id: self.id(dispatch),
            incarnation: target.incarnation,
            service: pending.service.clone(),
            key: pending.key.clone(),
            // The owner granted the key under the id of the request, not under that of the dispatch.
            granted_request: pending.granted_by.as_ref().map(|_| self.id(target.request)),
            deadline_ms: target.deadline_ms,
            body: pending.body.clone(),
        }))
    }

    /// Returns whether a request can no longer be answered by its deadline. Running it would take a
    /// slot from a request that can.
    fn would_miss_deadline(&self, now: Timestamp, service: &Name, waiting: &Waiting) -> bool {
        now + self.run_time_bound(now, service, waiting.urgency) >= waiting.deadline
    }

    /// Returns how long most requests of `urgency` take if they start now at the fastest agent.
    pub(super) fn run_time_bound(
        &self,
        now: Timestamp,
        service: &Name,
        urgency: Urgency,
    ) -> Duration {
        let fastest_mean = self.loads.fastest_mean(now, service);
        fastest_mean.mul_f64(self.run_time_ratio(now, service, urgency))
    }

    fn run_time_ratio(&self, now: Timestamp, service: &Name, urgency: Urgency) -> f64 {
        let state = self.services.get(service);
        state.map_or(1.0, |s| s.run_time_ratio(now, urgency))
    }
}
