//! What lives for one job, which outlives any process.

mod book;
mod spec;

pub use book::{JobBook, LiveJob};
pub use spec::{JobId, JobSpec, Shape, Unreachable, WorkerInfo};
