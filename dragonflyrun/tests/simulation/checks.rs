//! Checks every answer against the records of the backend servers.

use dragonflyrun::connection::Outcome;

use super::{Sim, nodes};

/// Maximum delay of an answer after its deadline, from ticks and latency.
const MAX_ANSWER_DELAY_MS: u64 = 50;

/// A violation of the guarantees that entries give to callers.
#[derive(Debug, PartialEq)]
pub(crate) enum Violation {
    RanTwice { ticket: usize },
    NotRunButRan { ticket: usize, attempt_index: usize },
    WrongAnswer { ticket: usize, attempt_index: usize },
    NoAnswer { ticket: usize, attempt_index: usize },
}

impl Sim {
    /// Returns all violations of a finished run.
    pub(crate) fn violations(&self) -> Vec<Violation> {
        let mut found = Vec::new();
        for ticket in 0..self.tickets.len() {
            self.check_runs(ticket, &mut found);
        }
        for attempt_index in 0..self.attempts.len() {
            self.check_answer(attempt_index, &mut found);
        }
        found
    }

    fn check_runs(&self, ticket: usize, found: &mut Vec<Violation>) {
        let keyed = self.setup.classes[self.tickets[ticket].class].keyed;
        if keyed
            && self
                .run_records
                .iter()
                .filter(|r| r.ticket == ticket)
                .count()
                > 1
        {
            found.push(Violation::RanTwice { ticket });
        }
    }

    fn check_answer(&self, attempt_index: usize, found: &mut Vec<Violation>) {
        let attempt = &self.attempts[attempt_index];
        let ticket = attempt.ticket;
        let keyed = self.setup.classes[self.tickets[ticket].class].keyed;
        match &attempt.answer {
            None if attempt.died => {}
            None => found.push(Violation::NoAnswer {
                ticket,
                attempt_index,
            }),
            Some((_, Outcome::Done { .. } | Outcome::Unknown)) if attempt.answer_is(ticket) => {}
            Some((_, Outcome::Done { .. })) => {
                found.push(Violation::WrongAnswer {
                    ticket,
                    attempt_index,
                });
            }
            // This attempt may not run, before or after the answer; nor may an earlier attempt with
            // the same key.
            Some((_, Outcome::NotRun { .. })) => {
                let ran = |r: &&super::RunRecord| {
                    r.ticket == ticket
                        && (r.attempt_index == attempt_index
                            || keyed && r.attempt_index < attempt_index)
                };
                if self.run_records.iter().any(|r| ran(&r)) {
                    found.push(Violation::NotRunButRan {
                        ticket,
                        attempt_index,
                    });
                }
            }
            Some((_, Outcome::Unknown)) => {}
        }
    }

    /// Returns all attempts and runs of a ticket, to find the cause of a violation.
    pub(crate) fn trace(&self, ticket: usize) -> String {
        let attempts = self.tickets[ticket].attempts.iter();
        let attempts = attempts.map(|t| format!("  attempt {t}: {:?}", self.attempts[*t]));
        let ran = self.run_records.iter().filter(|r| r.ticket == ticket);
        let ran = ran.map(|r| format!("  {r:?}"));
        attempts.chain(ran).collect::<Vec<_>>().join("\n")
    }

    /// Returns the number of answers that came more than [`MAX_ANSWER_DELAY_MS`] after the
    /// deadline.
    pub(crate) fn late_answers(&self) -> usize {
        let late = |t: &&super::Attempt| {
            t.answer
                .as_ref()
                .is_some_and(|(at, _)| *at > t.deadline + MAX_ANSWER_DELAY_MS)
        };
        self.attempts.iter().filter(late).count()
    }
}

impl Violation {
    pub(crate) fn ticket(&self) -> usize {
        match self {
            Self::RanTwice { ticket }
            | Self::NotRunButRan { ticket, .. }
            | Self::WrongAnswer { ticket, .. }
            | Self::NoAnswer { ticket, .. } => *ticket,
        }
    }
}

impl super::Attempt {
    fn answer_is(&self, ticket: usize) -> bool {
        match &self.answer {
            Some((_, outcome @ Outcome::Done { .. })) => *outcome == nodes::done(ticket),
            _ => true,
        }
    }
}
