//! The service that knows which workers may run which steps.

use std::time::Duration;

use crate::utils::Name;

/// What the advisor is asked.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdviceQuestion {
    /// The job.
    pub job: Name,
    /// Which repetition.
    pub occurrence: u32,
    /// Which step.
    pub step: u32,
    /// The workers that could run it.
    pub workers: Vec<Name>,
    /// How long the answer takes at the most.
    pub within: Duration,
}

/// What the advisor says.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AdviceAnswer {
    /// The workers that may run the step, each with the ticket that proves it to the worker.
    pub tickets: Vec<(Name, String)>,
    /// How long the tickets are valid.
    pub valid: Duration,
}

/// The advisor.
#[expect(
    async_fn_in_trait,
    reason = "a process runs all its tasks on one thread"
)]
pub trait Advisor: 'static {
    /// Asks which workers may run a step; `None` where there is no answer.
    async fn advise(&self, question: &AdviceQuestion) -> Option<AdviceAnswer>;
}
