//! What a job asks for and what a worker has.

use serde::{Deserialize, Serialize};

use crate::{
    utils::Name,
    version::{Adjacency, Urgency}, //
};

/// The name of a job: chosen by the caller, or made by the entry that accepted it.
pub type JobId = Name;

/// A job as its submitter describes it. Sizes and run time are hints, often far from the truth.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// The workspace on whose behalf it runs.
    pub workspace: Name,
    /// How soon it is needed.
    #[serde(default)]
    pub urgency: Urgency,
    /// Tasks that run together or not at all.
    pub tasks: u32,
    /// Accelerators of each task.
    pub accelerators: u32,
    /// How near to each other the tasks have to be.
    #[serde(default)]
    pub adjacency: Adjacency,
    /// Declared run time in milliseconds.
    #[serde(default)]
    pub run_time_ms: u64,
    /// The program that the worker runs, in the platform's own terms.
    #[serde(default)]
    pub program: Name,
}

impl JobSpec {
    /// Returns what the job needs to run.
    pub fn shape(&self) -> Shape {
        Shape {
            tasks: self.tasks,
            accelerators: self.accelerators,
            adjacency: self.adjacency,
        }
    }
}

/// Tasks that run together, with the accelerators of each and their adjacency.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Shape {
    /// Tasks that run together.
    pub tasks: u32,
    /// Accelerators of each task.
    pub accelerators: u32,
    /// How near to each other the tasks have to be.
    pub adjacency: Adjacency,
}

impl Shape {
    /// Returns whether room for this shape is room for `other` too.
    pub fn contains(&self, other: &Self) -> bool {
        self.tasks >= other.tasks
            && self.accelerators >= other.accelerators
            && self.adjacency >= other.adjacency
    }
}

/// Why a shape can never be had from the workers known.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ImpossibleReason {
    /// No task or no accelerator was asked for.
    Empty,
    /// No worker has the accelerators of one task.
    TaskTooLarge,
    /// No set of workers with the adjacency holds all tasks, even when empty.
    GangTooLarge,
    /// The workspace's quota is below the job's accelerators.
    OverQuota,
}

/// What is known of a worker from the agent beside it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerInfo {
    /// The worker's name, which is also the name of the agent beside it.
    pub name: Name,
    /// The rack it stands in.
    pub rack: Name,
    /// The failure domain it belongs to.
    pub failure_domain: Name,
    /// Accelerators it has.
    pub accelerators: u32,
}
