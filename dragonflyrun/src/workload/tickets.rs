//! Tickets from the advisor: which workers may run the steps of queues whose policy asks it.
//!
//! The advisor answers one question at a time and takes long for many workers. A question therefore
//! names only a few workers, those with room first, and is repeated only when its tickets expire.

use std::time::Duration;

use crate::{
    port::{Advice, AdviceAnswer, AdviceQuestion},
    utils::{HashMap, Name, Timestamp},
    workload::{Demand, Room},
};

/// Number of workers in one question, unless a gang needs more. The advisor takes time for each.
const WORKERS_PER_QUESTION: usize = 30;

/// Maximum number of workers in one question; the advisor refuses longer ones.
const MAX_WORKERS_PER_QUESTION: usize = 100;

/// Maximum number of open questions. More would only queue at the advisor.
const MAX_OPEN_QUESTIONS: usize = 4;

/// Margin added to the time limit of a question. The rest of the limit is the time that the advisor
/// takes, by its configured times ([`Advice`]), for the maximum number of open questions of this
/// size, since it answers them one after the other.
const ANSWER_MARGIN: Duration = Duration::from_secs(2);

/// Time before its expiry from which on a ticket isn't used any more, because the order takes a
/// while to reach the worker.
const TICKET_EXPIRY_MARGIN: Duration = Duration::from_millis(500);

/// Pause after an answer, or after a question that got none, before the step may be asked about
/// again. It limits the questions while no worker with room has a ticket.
const ASK_AGAIN_AFTER: Duration = Duration::from_millis(500);

/// Time after which refused workers are asked about again, where too few others are allowed. The verdict
/// on a step doesn't change, but the advisor may not have known workers that had just started.
const ASK_REFUSED_AGAIN_AFTER: Duration = Duration::from_secs(5);

type StepKey = (Name, u32, u32);

/// What is known about one step.
#[derive(Clone, Debug, Default)]
struct StepAdvice {
    is_pending: bool,
    ask_after: Timestamp,
    tickets: HashMap<Name, (String, Timestamp)>,
    /// Workers that the advisor gave no ticket for, each with the time of its last answer.
    refused: HashMap<Name, Timestamp>,
}

/// The tickets and open questions of all steps.
#[derive(Clone, Debug, Default)]
pub(super) struct Tickets {
    steps: HashMap<StepKey, StepAdvice>,
    questions: Vec<AdviceQuestion>,
}

impl Tickets {
    /// Returns the ticket with which a worker may run the demand's step now.
    pub(super) fn ticket(
        &self,
        now: Timestamp,
        demand: &Demand<'_>,
        worker: &Name,
    ) -> Option<&str> {
        let (ticket, until) = self.steps.get(&key(demand))?.tickets.get(worker)?;
        (now + TICKET_EXPIRY_MARGIN < *until).then_some(ticket)
    }

    /// Returns the ticket that a start on a worker has to carry, if the step needs one.
    pub(super) fn ticket_for_start(
        &self,
        job: &Name,
        occurrence: u32,
        step: u32,
        worker: &Name,
    ) -> Option<String> {
        let step = self.steps.get(&(job.clone(), occurrence, step))?;
        step.tickets.get(worker).map(|(ticket, _)| ticket.clone())
    }

    /// Asks about the demand's step for workers in `rooms` that have neither a valid ticket nor a
    /// refusal. While fewer are known to be allowed than the demand has tasks, those are asked about
    /// again that were refused some time ago.
    pub(super) fn ask(
        &mut self,
        now: Timestamp,
        demand: &Demand<'_>,
        advice: &Advice,
        rooms: &[Room],
    ) {
        let pending = self.steps.values().filter(|s| s.is_pending).count();
        let step = self.steps.entry(key(demand)).or_default();
        if step.is_pending || now < step.ask_after || pending >= MAX_OPEN_QUESTIONS {
            return;
        }
        let wanted = demand.indexes.len();
        let has_ticket = |r: &Room| {
            let ticket = step.tickets.get(&r.worker);
            ticket.is_some_and(|(_, until)| now + TICKET_EXPIRY_MARGIN < *until)
        };
        let allowed = rooms
            .iter()
            .filter(|r| step.tickets.contains_key(&r.worker));
        let is_short = allowed.count() < wanted;
        let unknown = rooms.iter().filter(|r| {
            let refused_at = step.refused.get(&r.worker);
            let is_due = |at: &Timestamp| is_short && now.since(*at) >= ASK_REFUSED_AGAIN_AFTER;
            !has_ticket(r) && refused_at.is_none_or(is_due)
        });
        let mut unknown: Vec<&Room> = unknown.collect();
        unknown.sort_by_key(|r| {
            (
                step.refused.contains_key(&r.worker),
                !r.free.fits(&demand.shape.needs),
                r.fault_count,
                r.slowness_step,
            )
        });
        unknown.truncate(wanted.clamp(WORKERS_PER_QUESTION, MAX_WORKERS_PER_QUESTION));
        if unknown.is_empty() {
            return;
        }
        step.is_pending = true;
        let named = u32::try_from(unknown.len()).unwrap_or(u32::MAX);
        self.questions.push(AdviceQuestion {
            job: demand.job.clone(),
            occurrence: demand.occurrence,
            step: demand.step,
            workers: unknown.iter().map(|r| r.worker.clone()).collect(),
            within: (advice.base + advice.each * named) * MAX_OPEN_QUESTIONS as u32 + ANSWER_MARGIN,
        });
    }

    /// Returns the new questions and clears them.
    pub(super) fn take_questions(&mut self) -> Vec<AdviceQuestion> {
        std::mem::take(&mut self.questions)
    }

    /// Applies the advisor's answer to a question; `None` if it didn't answer.
    pub(super) fn answer(
        &mut self,
        now: Timestamp,
        question: &AdviceQuestion,
        answer: Option<AdviceAnswer>,
    ) {
        let key = (question.job.clone(), question.occurrence, question.step);
        let Some(step) = self.steps.get_mut(&key) else {
            return;
        };
        step.is_pending = false;
        step.ask_after = now + ASK_AGAIN_AFTER;
        let Some(answer) = answer else {
            return;
        };
        let until = now + answer.valid;
        let tickets: HashMap<Name, String> = answer.tickets.into_iter().collect();
        for worker in &question.workers {
            match tickets.get(worker) {
                Some(ticket) => {
                    step.refused.remove(worker);
                    step.tickets.insert(worker.clone(), (ticket.clone(), until));
                }
                None => {
                    step.refused.insert(worker.clone(), now);
                }
            }
        }
    }

    /// Drops a ticket that a worker rejected because it has restarted.
    pub(super) fn drop_ticket(&mut self, job: &Name, occurrence: u32, step: u32, worker: &Name) {
        if let Some(step) = self.steps.get_mut(&(job.clone(), occurrence, step)) {
            step.tickets.remove(worker);
        }
    }

    /// Removes the state of a job.
    pub(super) fn remove_job(&mut self, job: &Name) {
        self.steps.retain(|(name, ..), _| name != job);
    }
}

fn key(demand: &Demand<'_>) -> StepKey {
    (demand.job.clone(), demand.occurrence, demand.step)
}
