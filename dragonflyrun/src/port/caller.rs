//! Callers' requests and the answers to them.

use std::time::Duration;

use crate::workload::JobRequest;

/// What a caller asks for.
#[derive(Clone, Debug)]
pub enum CallerCall {
    /// Hands a job in, which is `None` where the body can't be read as one.
    Submit(Option<JobRequest>),
    /// Asks for a job's state, or for the queue's count where the path names no job.
    Query,
    /// Cancels a job.
    Cancel,
}

/// A caller's request.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// The host that it names, without a port.
    pub host: String,
    /// The path.
    pub path: String,
    /// The key that it carries.
    pub key: Option<String>,
    /// How long the caller waits for the answer.
    pub patience: Duration,
    /// What it asks for.
    pub call: CallerCall,
}

/// A job's state as callers see it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobState {
    /// Nothing of it has started.
    Queued,
    /// Some of it has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task has failed as often as it may.
    Failed,
    /// A caller cancelled it.
    Cancelled,
}

/// Why a request was refused; nothing of it was done, and nothing will be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The process has not read the configuration yet, or is stopping.
    NotReady,
    /// The process can't prove that its configuration is still in force.
    ConfigurationStale,
    /// The store refused the record.
    StoreRefused,
    /// The store does not answer; nothing was sent.
    StoreUnreachable,
}

impl Refusal {
    /// Returns the name under which refusals are counted.
    pub const fn name(self) -> &'static str {
        match self {
            Self::NotReady => "not_ready",
            Self::ConfigurationStale => "configuration_stale",
            Self::StoreRefused => "store_refused",
            Self::StoreUnreachable => "store_away",
        }
    }
}

/// The answer to a caller.
#[derive(Clone, Debug)]
pub enum CallerAnswer {
    /// The job is accepted and stored.
    Accepted,
    /// The job's state.
    State(JobState),
    /// The job is cancelled or had ended.
    Cancelled,
    /// Accepted jobs of the queue of which nothing has started.
    Pending(usize),
    /// No such queue.
    NoQueue,
    /// No such job.
    NoJob,
    /// The key is not known.
    UnknownKey,
    /// The request can't be understood.
    Malformed,
    /// Not done, and the caller may come again after the given time.
    Refused(Refusal, Duration),
    /// It is not known whether it was done; the caller may ask again under the same name.
    Unknown,
}

/// Answers callers.
#[expect(
    async_fn_in_trait,
    reason = "a process runs all its tasks on one thread"
)]
pub trait CallerHandler: 'static {
    /// Answers a request.
    async fn call(&self, req: CallerRequest) -> CallerAnswer;

    /// Returns whether the balancer may send requests here.
    fn is_ready(&self) -> bool;
}
