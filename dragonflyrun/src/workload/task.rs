//! Identifiers of tasks and of their runs.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::utils::Name;

/// Identifies a task of a job.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TaskId {
    /// The job's name, chosen by its caller.
    #[serde(rename = "j")]
    pub job: Name,
    /// The occurrence of a timed job, counted from 0; 0 for other jobs.
    #[serde(rename = "k")]
    pub occurrence: u32,
    /// The index of the step in the job.
    #[serde(rename = "s")]
    pub step: u32,
    /// The index of the task in the step.
    #[serde(rename = "i")]
    pub index: u32,
}

/// Identifies a run of a task. The runs of a task are numbered from 1, and all members of a gang run
/// under the same number.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RunId {
    /// The task that is run.
    #[serde(rename = "t")]
    pub task: TaskId,
    /// The number of the run.
    #[serde(rename = "n")]
    pub number: u32,
}

impl RunId {
    /// Returns the run that stands for a whole gang: the run of its first task, if `is_gang`.
    pub(super) fn of_gang(&self, is_gang: bool) -> Self {
        let index = if is_gang { 0 } else { self.task.index };
        Self {
            task: TaskId {
                index,
                ..self.task.clone()
            },
            ..self.clone()
        }
    }
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
