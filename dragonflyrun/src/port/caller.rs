//! Requests of callers and the answers to them.

use std::time::Duration;

use crate::workload::JobRequest;

/// What a caller requests.
#[derive(Clone, Debug)]
pub enum CallerCall {
    /// Submits a job; `None` if the body can't be parsed as one.
    Submit(Option<JobRequest>),
    /// Queries a job's state, or the queue's number of waiting jobs if the path names no job.
    Query,
    /// Cancels a job.
    Cancel,
}

/// A caller's request.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// The host that the request names, without a port.
    pub host: String,
    /// The path of the request's URL, without the query.
    pub path: String,
    /// The workspace key, if the request carries one.
    pub key: Option<String>,
    /// How long the caller waits for the answer.
    pub patience: Duration,
    /// What the caller requests.
    pub call: CallerCall,
}

/// A job's state as reported to callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobState {
    /// Nothing of the job has started.
    Queued,
    /// Part of the job has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task has failed as many times as its queue allows.
    Failed,
    /// A caller cancelled it.
    Cancelled,
}

/// Why a request was refused. Nothing of it was carried out, and nothing will be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The process has not read the configuration yet, or is stopping.
    NotReady,
    /// The process can't confirm that its configuration is still in force.
    ConfigurationStale,
    /// The store refused the record.
    StoreRefused,
    /// The store does not answer; nothing was sent to it.
    StoreUnreachable,
    /// Because of load, the job would start too late to be useful; nothing was sent to the store.
    Overloaded,
}

impl Refusal {
    /// Returns the name that refusals are counted under.
    pub const fn name(self) -> &'static str {
        match self {
            Self::NotReady => "not_ready",
            Self::ConfigurationStale => "configuration_stale",
            Self::StoreRefused => "store_refused",
            Self::StoreUnreachable => "store_away",
            Self::Overloaded => "overloaded",
        }
    }
}

/// The answer to a caller's request.
#[derive(Clone, Debug)]
pub enum CallerAnswer {
    /// The job is accepted and stored.
    Accepted,
    /// The job's state.
    State(JobState),
    /// The job is cancelled or had ended.
    Cancelled,
    /// Number of accepted jobs of the queue of which nothing has started.
    Pending(usize),
    /// There is no such queue.
    NoQueue,
    /// There is no such job.
    NoJob,
    /// The workspace key is unknown.
    UnknownKey,
    /// The request can't be parsed or is invalid.
    Malformed,
    /// Not carried out; the caller may retry after the given time.
    Refused(Refusal, Duration),
    /// It is unknown whether the request was carried out; the caller may retry it under the same
    /// job name.
    Unknown,
}

/// Handles callers' requests.
#[expect(
    async_fn_in_trait,
    reason = "a process runs all its tasks on one thread"
)]
pub trait CallerHandler: 'static {
    /// Handles a request and returns its answer.
    async fn call(&self, req: CallerRequest) -> CallerAnswer;

    /// Returns whether the load balancer may send requests to this process.
    fn is_ready(&self) -> bool;
}
