//! The progress of a job, as the planner keeps it in the store.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    utils::{Name, exact_number},
    workload::{
        Job,
        TaskId,
        skip::{is_false, is_zero, is_zero_u64}, //
    },
};

/// How a job ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// All tasks are done.
    Completed,
    /// A task has failed `max_attempts` times.
    Failed,
    /// A caller has cancelled the job.
    Cancelled,
}

/// The worker to which a run of a task is assigned.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Place {
    /// The name of the worker that the run is assigned to.
    #[serde(rename = "w")]
    pub worker: Name,
    /// The session of the worker's agent.
    #[serde(rename = "s", deserialize_with = "exact_number")]
    pub session: u64,
}

/// The progress of one task.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskPlan {
    /// The number of the newest run; 0 before the first one.
    #[serde(rename = "n", default)]
    pub run: u32,
    /// The number of failed runs; the failures of a gang are counted at its first task.
    #[serde(rename = "f", default, skip_serializing_if = "is_zero")]
    pub failed: u32,
    /// The newest run counted in `failed`. It prevents counting a run twice when several members of a
    /// gang report its failure.
    #[serde(rename = "l", default, skip_serializing_if = "is_zero")]
    pub failed_run: u32,
    /// Whether the task is done.
    #[serde(rename = "d", default, skip_serializing_if = "is_false")]
    pub done: bool,
    /// The checkpoint from which the next run continues; empty for the beginning.
    #[serde(rename = "c", default, skip_serializing_if = "String::is_empty")]
    pub checkpoint: String,
    /// The place of the newest run; `None` once that run is over.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub place: Option<Place>,
}

/// The progress of a job.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct JobPlan {
    /// Increases with each change, so that an older record never replaces a newer one.
    #[serde(rename = "v", deserialize_with = "exact_number")]
    pub revision: u64,
    /// Whether any task has been ordered.
    #[serde(rename = "b", default, skip_serializing_if = "is_false")]
    pub begun: bool,
    /// How the job ended, if it has.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<Outcome>,
    /// When the job ended, in Unix milliseconds on the planner's clock; 0 before that.
    #[serde(rename = "e", default, skip_serializing_if = "is_zero_u64")]
    pub ended_ms: u64,
    /// How many times running tasks of the job were stopped to make room for other work. It is stored
    /// with the next change of the plan, which follows when the stopped runs are over.
    #[serde(rename = "x", default, skip_serializing_if = "is_zero")]
    pub evictions: u32,
    /// The tasks that have a plan, keyed by task number.
    #[serde(rename = "t", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub tasks: BTreeMap<u32, TaskPlan>,
}

impl JobPlan {
    /// Returns the task with the number `number`.
    pub fn task(&self, number: u32) -> TaskPlan {
        self.tasks.get(&number).cloned().unwrap_or_default()
    }

    /// Returns whether the task with the number `number` is done.
    pub fn is_done(&self, number: u32) -> bool {
        self.tasks.get(&number).is_some_and(|t| t.done)
    }

    /// Returns whether all tasks of a step are done.
    pub fn is_step_done(&self, job: &Job, occurrence: u32, step: u32) -> bool {
        job.task_numbers(occurrence, step).all(|n| self.is_done(n))
    }

    /// Returns whether all tasks of the job are done.
    pub fn is_all_done(&self, job: &Job) -> bool {
        let all = job.request.tasks() * job.request.repeats();
        let done = self.tasks.values().filter(|t| t.done).count();
        done == all as usize
    }

    /// Returns whether a run of any task may still be executing.
    pub fn has_runs(&self) -> bool {
        self.tasks.values().any(|t| t.place.is_some())
    }

    /// Ends the job and drops the tasks without a run. Only runs that still have to be stopped are
    /// kept.
    pub fn end(&mut self, outcome: Outcome, now_ms: u64) {
        self.outcome = Some(outcome);
        self.ended_ms = now_ms;
        self.tasks.retain(|_, t| t.place.is_some());
    }
}

impl Job {
    /// Returns the task numbers of a step. They are consecutive within the job.
    pub fn task_numbers(&self, occurrence: u32, step: u32) -> std::ops::Range<u32> {
        let before = self.request.steps.iter().take(step as usize);
        let before: u32 = before.map(|s| s.tasks).sum();
        let first = occurrence * self.request.tasks() + before;
        let tasks = self.request.steps.get(step as usize).map_or(0, |s| s.tasks);
        first..first + tasks
    }

    /// Returns the number of a task in the job; `None` where the job has no such task.
    pub fn task_number(&self, task: &TaskId) -> Option<u32> {
        if task.job != self.name || task.occurrence >= self.request.repeats() {
            return None;
        }
        let mut numbers = self.task_numbers(task.occurrence, task.step);
        numbers.nth(task.index as usize)
    }

    /// Returns the Unix milliseconds before which no task of an occurrence may start.
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        self.request.occurrences.map_or(0, |o| {
            o.first_ms + u64::from(occurrence).saturating_mul(o.every_ms)
        })
    }
}
