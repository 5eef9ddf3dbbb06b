//! The table of all jobs, which every entry folds from the records of the jobs' topic.

use crate::{
    port::JobState,
    utils::{HashMap, Name, Timestamp},
    workload::{Job, JobPlan, JobRecord, Outcome, Term},
};

/// The state of one job in the table.
#[derive(Clone, Debug, Default)]
pub struct KnownJob {
    /// The accepted job; `None` if only later records of it have been read so far.
    pub job: Option<Box<Job>>,
    /// Whether a caller has cancelled the job.
    pub cancelled: bool,
    /// The newest plan of the job: how far its tasks are and how it ended.
    pub plan: JobPlan,
    /// When this process first read that the job has ended, on its own clock.
    pub ended_at: Option<Timestamp>,
}

/// The result of looking up a job for a caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobLookup {
    /// The table has no such job.
    Unknown,
    /// The job exists and has this state.
    Known(JobState),
}

/// All jobs and the planner's term.
#[derive(Clone, Debug, Default)]
pub struct JobTable {
    jobs: HashMap<Name, KnownJob>,
    term: Term,
}

impl JobTable {
    /// Folds a record that was read by `now` into the table and returns whether it changed anything. The
    /// result depends neither on the order of the records nor on repeats.
    pub fn fold(&mut self, now: Timestamp, record: JobRecord) -> bool {
        match record {
            JobRecord::Accepted(job) => {
                let known = self.jobs.entry(job.name.clone()).or_default();
                let new = known.job.is_none();
                if new {
                    known.job = Some(job);
                }
                new
            }
            JobRecord::Cancelled(name) => {
                let known = self.jobs.entry(name).or_default();
                !std::mem::replace(&mut known.cancelled, true)
            }
            JobRecord::Plan(name, Some(plan)) => {
                let known = self.jobs.entry(name).or_default();
                let newer = plan.revision > known.plan.revision;
                if newer {
                    known.plan = *plan;
                    if known.plan.outcome.is_some() {
                        known.ended_at.get_or_insert(now);
                    }
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
            JobRecord::Entry(_) | JobRecord::EntryGone(_) | JobRecord::Load(_) => false,
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

    /// Returns the state of a job.
    pub fn get(&self, name: &str) -> Option<&KnownJob> {
        self.jobs.get(name)
    }

    /// Returns the state of a job as shown to callers.
    pub fn look_up(&self, name: &str) -> JobLookup {
        let known = self.jobs.get(name).filter(|k| k.job.is_some());
        let Some(known) = known else {
            return JobLookup::Unknown;
        };
        JobLookup::Known(match known.plan.outcome {
            Some(Outcome::Completed) => JobState::Completed,
            Some(Outcome::Failed) => JobState::Failed,
            Some(Outcome::Cancelled) => JobState::Cancelled,
            None if known.cancelled => JobState::Cancelled,
            None if known.plan.begun => JobState::Running,
            None => JobState::Queued,
        })
    }

    /// Returns the number of a queue's jobs that wait and have no started task.
    pub fn pending(&self, queue: &str) -> usize {
        let waiting = self.jobs.values().filter(|e| {
            let here = e.job.as_ref().is_some_and(|j| &*j.queue == queue);
            here && !e.cancelled && !e.plan.begun && e.plan.outcome.is_none()
        });
        waiting.count()
    }
}
