//! The simulated callers: each wants its ticket done once, and tries again where it may.

use dragonflyrun::{
    connection::Outcome,
    request::CallerRequest, //
};
use rand::Rng;

use super::{Event, Sim, Ticket, Try, nodes, nodes::NodeEvent, nodes::NodeRole};

/// Time beyond the deadline for which a caller waits for its answer.
const PATIENCE_MS: u64 = 400;

/// Callers don't try again once their key may be forgotten.
const LONGEST_MS: u64 = 6_000;

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
            tries: Vec::new(),
        });
        self.call(ticket, 1);
        let mean = 1_000.0 / self.setup.arrivals_per_s;
        let pause = -mean * (1.0 - self.rng.random::<f64>()).ln();
        let next = self.now + pause.round() as u64;
        if next < self.setup.arrivals_until_ms {
            self.schedule(next, Event::Arrival);
        }
    }

    fn call(&mut self, ticket: usize, attempt: u32) {
        let any = self.rng.random_range(0..self.setup.entries);
        let entry = if self.chance(self.setup.skew) { 0 } else { any };
        let number_of_try = self.tries.len();
        let deadline_ms = self.setup.classes[self.tickets[ticket].class].deadline_ms;
        self.tickets[ticket].tries.push(number_of_try);
        self.tries.push(Try {
            ticket,
            attempt,
            entry,
            submitted: self.now,
            deadline: self.now + deadline_ms,
            answer: None,
            died: false,
        });
        self.schedule_node(self.now + 3, entry, NodeEvent::Submit { number_of_try });
        // Some hang up long before the deadline and try again at once.
        let patience = if self.setup.faults.every_ms > 0 && self.chance(20.0) {
            self.rng.random_range(50..deadline_ms)
        } else {
            deadline_ms + PATIENCE_MS
        };
        self.schedule(self.now + patience, Event::CallerWakes { number_of_try });
    }

    pub(super) fn submit(&mut self, node: usize, number_of_try: usize) {
        let now = self.clock(node);
        let asked = &self.tries[number_of_try];
        let class = &self.setup.classes[self.tickets[asked.ticket].class];
        let req = CallerRequest {
            service: class.service.as_str().into(),
            key: class
                .keyed
                .then(|| format!("ticket-{}", asked.ticket).into()),
            attempt: asked.attempt,
            deadline_ms: Some(class.deadline_ms),
            urgency: Some(class.urgency),
            body: nodes::body(number_of_try),
        };
        let NodeRole::Entry { table, tries, .. } = &mut self.nodes[node].role else {
            return;
        };
        let number = table.submit(now, req);
        tries.insert(number, number_of_try);
        if let Some(deadline) = table.deadline(number) {
            let left = deadline.since(now).as_millis() as u64;
            self.schedule_node(self.now + left, node, NodeEvent::Deadline { number });
        }
    }

    pub(super) fn answer_caller(&mut self, number_of_try: usize, outcome: Outcome) {
        let (now, asked) = (self.now, &mut self.tries[number_of_try]);
        assert!(asked.answer.is_none(), "a request was answered twice");
        asked.answer = Some((now, outcome));
        let pause = self.rng.random_range(5..500);
        self.schedule(self.now + pause, Event::CallerWakes { number_of_try });
    }

    /// A caller has its answer, or no longer waits for it.
    pub(super) fn caller_wakes(&mut self, number_of_try: usize) {
        let asked = &self.tries[number_of_try];
        let (ticket, attempt) = (asked.ticket, asked.attempt);
        let latest = self.tickets[ticket].tries.last() == Some(&number_of_try);
        let tried = self.tickets[ticket].tries.len() as u32;
        let old = self.now > self.tickets[ticket].arrived + LONGEST_MS;
        if !latest || tried >= self.setup.tries || old {
            return;
        }
        let attempt = match &asked.answer {
            Some((_, Outcome::Done { .. })) => return,
            // It did not run, so the next attempt may still be the first; some count it anyway.
            Some((_, Outcome::NotRun { .. })) => attempt + u32::from(self.chance(30.0)),
            Some((_, Outcome::Unknown)) | None => attempt + 1,
        };
        self.call(ticket, attempt);
    }
}
