//! The service that decides which workers may run which steps.

use std::time::Duration;

use crate::utils::Name;

/// A question to the advisor.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdviceQuestion {
    /// The name of the job that the step belongs to.
    pub job: Name,
    /// Which occurrence of the job.
    pub occurrence: u32,
    /// Which step of the job.
    pub step: u32,
    /// The workers that could run it.
    pub workers: Vec<Name>,
    /// The time limit for the answer.
    pub within: Duration,
}

/// The advisor's answer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AdviceAnswer {
    /// The workers that may run the step, each with the ticket that proves it to the worker.
    pub tickets: Vec<(Name, String)>,
    /// How long the tickets are valid.
    pub valid: Duration,
}

/// Access to the advisor.
#[expect(
    async_fn_in_trait,
    reason = "a process runs all its tasks on one thread"
)]
pub trait Advisor: 'static {
    /// Asks which workers may run a step; `None` if there is no answer.
    async fn advise(&self, question: &AdviceQuestion) -> Option<AdviceAnswer>;
}
