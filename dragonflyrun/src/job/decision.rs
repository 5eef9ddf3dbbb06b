//! The decisions that the scheduler returns to the planner, and the usage reports that it gets.

use serde::{Deserialize, Serialize};

use crate::{
    connection::Placement,
    job::{ImpossibleReason, JobId},
};

/// A decision for the planner to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Reserve and start a waiting job. The scheduler counts the accelerators as held from here on,
    /// until the planner reports that the job waits again or has ended.
    Start {
        /// The waiting job to start.
        job: JobId,
        /// Where its members run, with one element for each worker.
        placements: Vec<Placement>,
    },
    /// Stop a running job with a checkpoint and let it wait again. Its accelerators count as held
    /// until the planner knows that all its members have stopped.
    Evict {
        /// The job to stop.
        job: JobId,
        /// The job that needs the accelerators; none if the failure domain is taken out of service.
        for_job: Option<JobId>,
    },
    /// End a waiting job that no set of known workers can hold, in service or not, or that exceeds
    /// its quota.
    Impossible {
        /// The waiting job to end.
        job: JobId,
        /// Why the job can never run.
        why: ImpossibleReason,
    },
}

/// A report of the run time of a job, which may arrive after the end of the job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UsageReport {
    /// The job whose run time is reported.
    pub job: JobId,
    /// Run time in milliseconds over all its attempts, without time that was lost.
    pub ran_ms: u64,
    /// Whether the job has finished, so that `ran_ms` is its total run time.
    pub finished: bool,
}
