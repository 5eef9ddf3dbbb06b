//! All jobs, folded from the jobs' topic, as every entry knows them.

use crate::{
    port::JobState,
    utils::{HashMap, Name},
    workload::{Job, JobPlan, JobRecord, Outcome, Term},
};

/// A job in the book.
#[derive(Clone, Debug, Default)]
pub struct KnownJob {
    /// The job; none where only a later record of it has come yet.
    pub job: Option<Box<Job>>,
    /// Whether a caller has cancelled it.
    pub cancelled: bool,
    /// How far it is.
    pub plan: JobPlan,
}

/// What a caller's question about a job finds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobLookup {
    /// No such job.
    Unknown,
    /// The job's state.
    Known(JobState),
}

/// All jobs and the planner's term.
#[derive(Clone, Debug, Default)]
pub struct JobTable {
    jobs: HashMap<Name, KnownJob>,
    term: Term,
}

impl JobTable {
    /// Folds a record; returns whether it changed anything. Any order and any repeat of the same
    /// records gives the same book.
    pub fn fold(&mut self, record: JobRecord) -> bool {
        match record {
            JobRecord::Accepted(job) => {
                let entry = self.jobs.entry(job.name.clone()).or_default();
                let new = entry.job.is_none();
                if new {
                    entry.job = Some(job);
                }
                new
            }
            JobRecord::Cancelled(name) => {
                let entry = self.jobs.entry(name).or_default();
                !std::mem::replace(&mut entry.cancelled, true)
            }
            JobRecord::Plan(name, Some(plan)) => {
                let entry = self.jobs.entry(name).or_default();
                let newer = plan.revision > entry.plan.revision;
                if newer {
                    entry.plan = *plan;
                }
                newer
            }
            JobRecord::Plan(name, None) => self.jobs.remove(&name).is_some(),
            JobRecord::Planner(term) => {
                let newer = term.number >= self.term.number && term != self.term;
                if newer {
                    self.term = term;
                }
                newer
            }
        }
    }

    /// Returns the newest term.
    pub fn term(&self) -> &Term {
        &self.term
    }

    /// Returns all jobs.
    pub fn jobs(&self) -> impl Iterator<Item = (&Name, &KnownJob)> {
        self.jobs.iter()
    }

    /// Returns a job's entry.
    pub fn get(&self, name: &str) -> Option<&KnownJob> {
        self.jobs.get(name)
    }

    /// Returns a job's state as callers see it.
    pub fn look_up(&self, name: &str) -> JobLookup {
        let entry = self.jobs.get(name).filter(|e| e.job.is_some());
        let Some(entry) = entry else {
            return JobLookup::Unknown;
        };
        JobLookup::Known(match entry.plan.outcome {
            Some(Outcome::Completed) => JobState::Completed,
            Some(Outcome::Failed) => JobState::Failed,
            Some(Outcome::Cancelled) => JobState::Cancelled,
            None if entry.cancelled => JobState::Cancelled,
            None if entry.plan.begun => JobState::Running,
            None => JobState::Queued,
        })
    }

    /// Returns the number of a queue's jobs of which nothing has started.
    pub fn pending(&self, queue: &str) -> usize {
        let waiting = self.jobs.values().filter(|e| {
            let here = e.job.as_ref().is_some_and(|j| &*j.queue == queue);
            here && !e.cancelled && !e.plan.begun && e.plan.outcome.is_none()
        });
        waiting.count()
    }
}
