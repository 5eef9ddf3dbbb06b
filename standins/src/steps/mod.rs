//! Runs jobs of steps on a store and workers in memory. They implement the traits of
//! `dragonflyrun::port`, which the users' platform provides in real deployments.

#![expect(
    clippy::arc_with_non_send_sync,
    reason = "the product shares these by `Arc` and runs all tasks of a process on one thread"
)]

mod deployment;
mod store;
mod worker;

pub use deployment::{StepOutcome, run};
pub use store::MemoryStore;
pub use worker::MemoryWorker;
