//! What lives for one job, which outlives any process.

mod allotment;
mod book;
mod decision;
mod estimate;
mod guarantee;
mod inventory;
mod packing;
mod pass;
mod placement;
mod quarantine;
mod queue;
mod reclaim;
mod reservation;
mod scheduler;
mod slots;
mod spec;

pub use book::{JobBook, LiveJob};
pub use decision::{Decision, UsageReport};
pub use scheduler::{Allotment, Scheduler, UnmetGuarantee};
pub use spec::{JobId, JobSpec, Shape, Unreachable, WorkerInfo};
