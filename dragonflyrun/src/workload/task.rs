//! Names of tasks and of their runs.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::utils::Name;

/// A task of a job.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TaskId {
    /// The job's name, chosen by its caller.
    #[serde(rename = "j")]
    pub job: Name,
    /// Which repetition of a timed job, from 0 on; 0 for other jobs.
    #[serde(rename = "k")]
    pub occurrence: u32,
    /// The step, from 0 on.
    #[serde(rename = "s")]
    pub step: u32,
    /// The task in the step, from 0 on.
    #[serde(rename = "i")]
    pub index: u32,
}

/// A run of a task. A task's runs are numbered from 1 on, and the members of a gang share a number.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RunId {
    /// The task.
    #[serde(rename = "t")]
    pub task: TaskId,
    /// The number of the run.
    #[serde(rename = "n")]
    pub number: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            job,
            occurrence,
            step,
            index,
        } = self;
        write!(f, "{job}/{occurrence}/{step}/{index}")
    }
}

impl fmt::Display for RunId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.task, self.number)
    }
}
