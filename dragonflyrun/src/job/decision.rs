//! What the scheduler tells the planner to do, and what it is told of usage.

use serde::{Deserialize, Serialize};

use crate::{
    connection::Placement,
    job::{ImpossibleReason, JobId},
};

/// Something that the planner is to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Reserve and start a waiting job. The scheduler counts the accelerators as held from here
    /// on, until it is told that the job waits again or is gone.
    Start {
        /// The job.
        job: JobId,
        /// Where its members run, one entry a worker.
        placements: Vec<Placement>,
    },
    /// Stop a running job with a checkpoint and let it wait again. Its accelerators count as held
    /// until the planner knows that all its members have stopped.
    Evict {
        /// The job to stop.
        job: JobId,
        /// The job that needs the accelerators; none where the failure domain leaves service.
        for_job: Option<JobId>,
    },
    /// End a waiting job whose shape can no longer be had from any workers, in service or not.
    Impossible {
        /// The job.
        job: JobId,
        /// Why.
        why: ImpossibleReason,
    },
}

/// What workers say of a job's use of its accelerators; arrives late, also after its end.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UsageReport {
    /// The job.
    pub job: JobId,
    /// Milliseconds that it has run in all its attempts, without time that was lost.
    pub ran_ms: u64,
    /// Whether it has finished, so that `ran_ms` is its whole run time.
    pub finished: bool,
}
