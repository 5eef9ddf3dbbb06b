//! What lives for one job, which outlives any process.

mod book;
mod decision;
mod scheduler;
mod spec;

pub use book::{JobBook, LiveJob};
pub use decision::{Decision, UsageReport};
pub use scheduler::Scheduler;
pub use spec::{JobId, JobSpec, Shape, Unreachable, WorkerInfo};
