//! The planner's state of one job that it plans.

use std::collections::BTreeMap;

use crate::{
    port::Configuration,
    utils::{HashMap, HashSet, Name, Timestamp},
    workload::{Job, JobPlan, Outcome, RunTimes, Step, TaskId, queues::Queues},
};

/// An occurrence that takes longer than this multiple of the time that its objective allows is of no
/// use to its caller.
pub(super) const USEFUL_OBJECTIVES: u64 = 3;

/// A job, its stored plan, and the planner's volatile state about its runs.
#[derive(Clone, Debug)]
pub(super) struct LiveJob {
    pub(super) job: Box<Job>,
    pub(super) cancelled: bool,
    pub(super) plan: JobPlan,
    /// When the planner decided that the job has ended, or took it over.
    pub(super) ended_at: Option<Timestamp>,
    /// Whether the end has been read from the store, so that callers may have learned of it.
    pub(super) is_end_stored: bool,
    /// When that was first known to this process.
    pub(super) end_stored_at: Option<Timestamp>,
    /// The workers on which runs of the job have failed.
    pub(super) failed_on: Vec<Name>,
    /// When a run of the job last failed.
    pub(super) failed_at: Option<Timestamp>,
    /// The tasks of which an overdue run was stopped. Their next run isn't stopped, however long it
    /// takes.
    pub(super) overdue_stopped: HashSet<TaskId>,
    /// Whether a gang or a task of the job was stopped to begin again on faster workers.
    pub(super) moved_faster: bool,
    /// The durations of tasks in milliseconds, derived from the progress of their runs and keyed by
    /// task number.
    measured_ms: BTreeMap<u32, u64>,
    /// The longest measured duration of each step, keyed by the number of its first task.
    longest_ms: HashMap<u32, u64>,
}

impl LiveJob {
    /// Returns a job without any plan.
    pub(super) fn new(job: Box<Job>) -> Self {
        Self {
            job,
            cancelled: false,
            plan: JobPlan::default(),
            ended_at: None,
            is_end_stored: false,
            end_stored_at: None,
            failed_on: Vec::new(),
            failed_at: None,
            overdue_stopped: HashSet::default(),
            moved_faster: false,
            measured_ms: BTreeMap::new(),
            longest_ms: HashMap::default(),
        }
    }

    /// Returns the indexes of a step's tasks that may be started. The result is empty until all steps
    /// that the step depends on are done, and contains either all tasks of a gang or none.
    pub(super) fn startable_tasks(&self, occurrence: u32, step: u32) -> Vec<u32> {
        let Some(shape) = self.job.request.steps.get(step as usize) else {
            return Vec::new();
        };
        let mut after = shape.after.iter();
        if !after.all(|a| self.plan.is_step_done(&self.job, occurrence, *a)) {
            return Vec::new();
        }
        let waits = |number: u32| {
            let task = self.plan.tasks.get(&number);
            task.is_none_or(|t| !t.done && t.place.is_none())
        };
        let numbers = (0_u32..).zip(self.job.task_numbers(occurrence, step));
        let waiting = numbers.filter(|(_, n)| waits(*n)).map(|(index, _)| index);
        let waiting: Vec<u32> = waiting.collect();
        if shape.gang && waiting.len() < shape.tasks as usize {
            return Vec::new();
        }
        waiting
    }

    /// Returns whether the next run of a task, or of its gang, is a retry that uses up the attempts.
    /// If it fails, the job fails if it [limits the attempts](Self::limits_attempts).
    pub(super) fn is_last_attempt(&self, occurrence: u32, step: u32, index: u32) -> bool {
        let gang = self
            .job
            .request
            .steps
            .get(step as usize)
            .is_some_and(|s| s.gang);
        let first = self.job.task_numbers(occurrence, step).start;
        let counted = if gang { first } else { first + index };
        let failed = self.plan.tasks.get(&counted).map_or(0, |t| t.failed);
        failed > 0 && failed + 1 >= self.job.max_attempts
    }

    /// Records that a run of the job has failed on a worker.
    pub(super) fn record_failed_on(&mut self, worker: &Name) {
        if !self.failed_on.contains(worker) {
            self.failed_on.push(worker.clone());
        }
    }

    /// Records the duration of a task, as derived from the progress of one of its runs.
    pub(super) fn record_task_ms(&mut self, task: &TaskId, total_ms: u64) {
        let Some(number) = self.job.task_number(task) else {
            return;
        };
        self.measured_ms.insert(number, total_ms);
        let numbers = self.job.task_numbers(task.occurrence, task.step);
        let of_step = self.measured_ms.range(numbers.clone());
        let longest = of_step.map(|(_, ms)| *ms).max().unwrap_or(total_ms);
        self.longest_ms.insert(numbers.start, longest);
    }

    /// Returns the milliseconds that the given tasks of a step take when they run in parallel: the
    /// longest measured duration, or the estimate for their queue if none is measured.
    pub(super) fn estimate_ms(
        &self,
        times: &RunTimes,
        occurrence: u32,
        step: u32,
        shape: &Step,
        indexes: &[u32],
    ) -> u64 {
        let first = self.job.task_numbers(occurrence, step).start;
        let measured = indexes.iter();
        let measured = measured.filter_map(|i| self.measured_ms.get(&(first + i)));
        let expected = || times.estimate_ms(&self.job.queue, shape.estimate_ms);
        measured.max().copied().unwrap_or_else(expected)
    }

    /// Returns the Unix time in milliseconds by which an occurrence should be done.
    pub(super) fn objective_ms(&self, times: &RunTimes, occurrence: u32) -> u64 {
        let job = &self.job;
        let estimate = |step: u32, shape: &Step| {
            let first = job.task_numbers(occurrence, step).start;
            let longest = self.longest_ms.get(&first).copied();
            longest.unwrap_or_else(|| times.estimate_ms(&job.queue, shape.estimate_ms))
        };
        let critical_path_ms = job.request.critical_path_ms(estimate) as f64;
        self.waiting_since_ms(occurrence) + (job.stretch * critical_path_ms) as u64 + job.target_ms
    }

    /// Returns the Unix time in milliseconds after which an occurrence with this objective is of no
    /// use to its caller.
    pub(super) fn useful_until_ms(&self, objective_ms: u64, occurrence: u32) -> u64 {
        let waiting_since_ms = self.waiting_since_ms(occurrence);
        waiting_since_ms + (objective_ms - waiting_since_ms) * USEFUL_OBJECTIVES
    }

    /// Returns the Unix time in milliseconds since which an occurrence has been waiting: when the job
    /// was accepted or, if later, when the occurrence is due.
    pub(super) fn waiting_since_ms(&self, occurrence: u32) -> u64 {
        self.job.accepted_ms.max(self.job.due_ms(occurrence))
    }

    /// Returns the outcome of the job if all its tasks are done, it is cancelled, or it has failed.
    pub(super) fn outcome(&self) -> Option<Outcome> {
        if self.plan.is_all_done(&self.job) {
            return Some(Outcome::Completed);
        }
        if self.cancelled {
            return Some(Outcome::Cancelled);
        }
        let tasks = self.plan.tasks.values();
        let mut exhausted = tasks.filter(|t| !t.done && t.failed >= self.job.max_attempts.max(1));
        (self.limits_attempts() && exhausted.next().is_some()).then_some(Outcome::Failed)
    }

    /// Returns whether the job fails once a task has used up its attempts.
    pub(super) fn limits_attempts(&self) -> bool {
        !self.job.request.steps.iter().any(|s| s.lasting)
    }
}

/// Returns the service whose workers run the job: the current service of its queue or, if the queue
/// no longer exists, the service that the queue had when the job was accepted.
pub(super) fn service_of(job: &Job, queues: &Queues<'_>) -> Name {
    let queue = queues.get(&job.queue);
    queue.map_or_else(|| job.service.clone(), |q| q.service.clone())
}

/// Returns the urgent jobs that fit into the guarantees of their workspaces. Older jobs use up a
/// guarantee first.
pub(super) fn guaranteed_jobs(
    jobs: &BTreeMap<Name, LiveJob>,
    configuration: &Configuration,
) -> HashSet<Name> {
    let mut urgent: Vec<&LiveJob> = jobs
        .values()
        .filter(|l| l.job.priority == 0 && l.plan.outcome.is_none() && !l.cancelled)
        .collect();
    urgent.sort_by_key(|l| l.job.accepted_ms);
    let mut used: HashMap<&Name, u64> = HashMap::default();
    let mut found = HashSet::default();
    for live in urgent {
        let Some(workspace) = &live.job.workspace else {
            continue;
        };
        let guarantee = configuration
            .workspaces
            .iter()
            .find(|w| w.name == *workspace);
        let guarantee = guarantee.map_or(0, |w| u64::from(w.guaranteed_accelerators));
        let used = used.entry(workspace).or_default();
        *used += live.job.request.accelerators();
        if *used <= guarantee {
            found.insert(live.job.name.clone());
        }
    }
    found
}
