//! Compares every answer with the backend servers' record.

use dragonflyrun::connection::Outcome;

use super::{Sim, nodes};

/// Ticks and latency by which an answer may be behind its deadline.
const LATE_MS: u64 = 50;

/// A broken promise.
#[derive(Debug, PartialEq)]
pub(crate) enum Violation {
    RanTwice { ticket: usize },
    NotRunButRan { ticket: usize, number_of_try: usize },
    WrongAnswer { ticket: usize, number_of_try: usize },
    NoAnswer { ticket: usize, number_of_try: usize },
}

impl Sim {
    /// Returns all broken promises of a run that has come to its end.
    pub(crate) fn violations(&self) -> Vec<Violation> {
        let mut found = Vec::new();
        for ticket in 0..self.tickets.len() {
            self.check_runs(ticket, &mut found);
        }
        for number_of_try in 0..self.tries.len() {
            self.check_answer(number_of_try, &mut found);
        }
        found
    }

    fn check_runs(&self, ticket: usize, found: &mut Vec<Violation>) {
        let keyed = self.setup.classes[self.tickets[ticket].class].keyed;
        if keyed && self.ran.iter().filter(|r| r.ticket == ticket).count() > 1 {
            found.push(Violation::RanTwice { ticket });
        }
    }

    fn check_answer(&self, number_of_try: usize, found: &mut Vec<Violation>) {
        let asked = &self.tries[number_of_try];
        let ticket = asked.ticket;
        let keyed = self.setup.classes[self.tickets[ticket].class].keyed;
        match &asked.answer {
            None if asked.died => {}
            None => found.push(Violation::NoAnswer {
                ticket,
                number_of_try,
            }),
            Some((_, Outcome::Done { .. } | Outcome::Unknown)) if asked.answer_is(ticket) => {}
            Some((_, Outcome::Done { .. })) => {
                found.push(Violation::WrongAnswer {
                    ticket,
                    number_of_try,
                });
            }
            // Nothing that the caller had asked for until this answer ran, at whatever time.
            Some((_, Outcome::NotRun { .. })) => {
                let ran = |r: &&super::Ran| {
                    r.ticket == ticket
                        && (r.number_of_try == number_of_try
                            || keyed && r.number_of_try < number_of_try)
                };
                if self.ran.iter().any(|r| ran(&r)) {
                    found.push(Violation::NotRunButRan {
                        ticket,
                        number_of_try,
                    });
                }
            }
            Some((_, Outcome::Unknown)) => {}
        }
    }

    /// Returns the story of a ticket, to find the cause of a violation.
    pub(crate) fn story(&self, ticket: usize) -> String {
        let tries = self.tickets[ticket].tries.iter();
        let tries = tries.map(|t| format!("  try {t}: {:?}", self.tries[*t]));
        let ran = self.ran.iter().filter(|r| r.ticket == ticket);
        let ran = ran.map(|r| format!("  {r:?}"));
        tries.chain(ran).collect::<Vec<_>>().join("\n")
    }

    /// Returns the tries whose answer came after their deadline though their entry was at work.
    pub(crate) fn late_answers(&self) -> usize {
        let late = |t: &&super::Try| {
            t.answer
                .as_ref()
                .is_some_and(|(at, _)| *at > t.deadline + LATE_MS)
        };
        self.tries.iter().filter(late).count()
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

impl super::Try {
    fn answer_is(&self, ticket: usize) -> bool {
        match &self.answer {
            Some((_, outcome @ Outcome::Done { .. })) => *outcome == nodes::done(ticket),
            _ => true,
        }
    }
}
