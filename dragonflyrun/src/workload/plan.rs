//! How far a job is: what the planner keeps of it in the store.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    utils::Name,
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
    /// A task has failed as often as it may.
    Failed,
    /// A caller cancelled it.
    Cancelled,
}

/// Where a run of a task was ordered.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Place {
    /// The worker.
    #[serde(rename = "w")]
    pub worker: Name,
    /// The session of its agent.
    #[serde(rename = "s")]
    pub session: u64,
}

/// How far one task is.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskPlan {
    /// The number of its newest run; 0 before the first.
    #[serde(rename = "n", default)]
    pub run: u32,
    /// Its runs that ended as failed; a gang's are counted at its first task.
    #[serde(rename = "f", default, skip_serializing_if = "is_zero")]
    pub failed: u32,
    /// The last run that was counted in `failed`, since several members of a gang may report it.
    #[serde(rename = "l", default, skip_serializing_if = "is_zero")]
    pub failed_run: u32,
    /// Whether it is done.
    #[serde(rename = "d", default, skip_serializing_if = "is_false")]
    pub done: bool,
    /// Where the next run goes on; empty for the beginning.
    #[serde(rename = "c", default, skip_serializing_if = "String::is_empty")]
    pub checkpoint: String,
    /// Where the newest run is; none where it is over.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub place: Option<Place>,
}

/// How far a job is.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct JobPlan {
    /// Rises with each change, so that an older record never replaces a newer one.
    #[serde(rename = "v")]
    pub revision: u64,
    /// Whether any task has been ordered.
    #[serde(rename = "b", default, skip_serializing_if = "is_false")]
    pub begun: bool,
    /// How the job ended.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<Outcome>,
    /// Unix milliseconds of its end on the planner's clock; 0 before.
    #[serde(rename = "e", default, skip_serializing_if = "is_zero_u64")]
    pub ended_ms: u64,
    /// The tasks of which anything is known, by their number in the job.
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

    /// Returns whether a run of any task may still be under way.
    pub fn has_runs(&self) -> bool {
        self.tasks.values().any(|t| t.place.is_some())
    }

    /// Drops what an ended job needs no more: only runs that are still to be stopped are kept.
    pub fn end(&mut self, outcome: Outcome, now_ms: u64) {
        self.outcome = Some(outcome);
        self.ended_ms = now_ms;
        self.tasks.retain(|_, t| t.place.is_some());
    }
}

impl Job {
    /// Returns the numbers of the tasks of a step.
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
