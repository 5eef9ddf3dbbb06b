//! The simulated callers. Each wants its ticket done once and retries if the answer allows it.

use dragonflyrun::{
    connection::Outcome,
    request::CallerRequest, //
};
use rand::Rng;

use super::{Attempt, Event, Sim, Ticket, nodes, nodes::NodeEvent, nodes::NodeRole};

/// Time after the deadline during which a caller still waits for its answer.
const ANSWER_GRACE_MS: u64 = 400;

/// Age of a ticket above which its caller does not retry, since the owner may have removed the key.
const MAX_RETRY_AGE_MS: u64 = 6_000;

impl Sim {
    pub(super) fn arrive(&mut self) {
        let classes = &self.setup.classes;
        let total: u32 = classes.iter().map(|c| c.weight).sum();
        let mut draw = self.rng.random_range(0..total);
        let mut class = 0;
        while draw >= self.setup.classes[class].weight {
            draw -= self.setup.classes[class].weight;
            class += 1;
        }
        let ticket = self.tickets.len();
        self.tickets.push(Ticket {
            class,
            arrived: self.now,
            attempts: Vec::new(),
        });
        self.call(ticket, 1);
        let mean = 1_000.0 / self.setup.arrivals_per_s;
        let pause = -mean * (1.0 - self.rng.random::<f64>()).ln();
        let next = self.now + pause.round() as u64;
        if next < self.setup.arrivals_until_ms {
            self.schedule(next, Event::Arrival);
        }
    }

    fn call(&mut self, ticket: usize, number: u32) {
        let any = self.rng.random_range(0..self.setup.entries);
        let entry = if self.chance(self.setup.skew) { 0 } else { any };
        let attempt_index = self.attempts.len();
        let deadline_ms = self.setup.classes[self.tickets[ticket].class].deadline_ms;
        self.tickets[ticket].attempts.push(attempt_index);
        self.attempts.push(Attempt {
            ticket,
            number,
            entry,
            submitted: self.now,
            deadline: self.now + deadline_ms,
            answer: None,
            died: false,
        });
        self.schedule_node(self.now + 3, entry, NodeEvent::Submit { attempt_index });
        // Some callers hang up long before the deadline and retry at once.
        let wait_ms = if self.setup.faults.every_ms > 0 && self.chance(20.0) {
            self.rng.random_range(50..deadline_ms)
        } else {
            deadline_ms + ANSWER_GRACE_MS
        };
        self.schedule(self.now + wait_ms, Event::CallerWakes { attempt_index });
    }

    pub(super) fn submit(&mut self, node: usize, attempt_index: usize) {
        let now = self.clock(node);
        let attempt = &self.attempts[attempt_index];
        let class = &self.setup.classes[self.tickets[attempt.ticket].class];
        let req = CallerRequest {
            service: class.service.as_str().into(),
            key: class
                .keyed
                .then(|| format!("ticket-{}", attempt.ticket).into()),
            attempt: attempt.number,
            deadline_ms: Some(class.deadline_ms),
            urgency: Some(class.urgency),
            body: nodes::body(attempt_index),
        };
        let NodeRole::Entry {
            table, attempts, ..
        } = &mut self.nodes[node].role
        else {
            return;
        };
        let number = table.submit(now, req);
        attempts.insert(number, attempt_index);
        if let Some(deadline) = table.deadline(number) {
            let left = deadline.since(now).as_millis() as u64;
            self.schedule_node(self.now + left, node, NodeEvent::Deadline { number });
        }
    }

    pub(super) fn answer_caller(&mut self, attempt_index: usize, outcome: Outcome) {
        let (now, attempt) = (self.now, &mut self.attempts[attempt_index]);
        assert!(attempt.answer.is_none(), "a request was answered twice");
        attempt.answer = Some((now, outcome));
        let pause = self.rng.random_range(5..500);
        self.schedule(self.now + pause, Event::CallerWakes { attempt_index });
    }

    /// Handles a caller that has its answer or no longer waits for it.
    pub(super) fn caller_wakes(&mut self, attempt_index: usize) {
        let attempt = &self.attempts[attempt_index];
        let (ticket, number) = (attempt.ticket, attempt.number);
        let is_latest = self.tickets[ticket].attempts.last() == Some(&attempt_index);
        let attempts_made = self.tickets[ticket].attempts.len() as u32;
        let is_too_old = self.now > self.tickets[ticket].arrived + MAX_RETRY_AGE_MS;
        if !is_latest || attempts_made >= self.setup.max_attempts || is_too_old {
            return;
        }
        let next_number = match &attempt.answer {
            Some((_, Outcome::Done { .. })) => return,
            // The request did not run, so the next attempt may have the same number; some callers
            // increase it anyway.
            Some((_, Outcome::NotRun { .. })) => number + u32::from(self.chance(30.0)),
            Some((_, Outcome::Unknown)) | None => number + 1,
        };
        self.call(ticket, next_number);
    }
}
