//! Interfaces between the product and a platform: the store, workers, callers and operators.
//!
//! The traits and types use the product's own terms. An adapter implements the traits and
//! translates the platform's data into these types; it makes no decisions. `docs/SYSTEM.md` lists
//! which guarantee depends on which of these calls.

mod advisor;
mod caller;
mod operator;
mod store;
mod worker;

pub use advisor::{AdviceAnswer, AdviceQuestion, Advisor};
pub use caller::{CallerAnswer, CallerCall, CallerHandler, CallerRequest, JobState, Refusal};
pub use operator::{Advice, Configuration, OperatorRecord, Queue, Service, Workspace};
pub use store::{
    Append, AppendError, Appended, Newest, NewestRequest, Page, PageBody, PageRequest, Partition,
    ReadError, Store, StoreRecord, Topic, Writer,
};
pub use worker::{
    CallError, End, EndKind, Heartbeat, Registry, RunningTask, StartOrder, StartOutcome, Worker,
    WorkerLists,
};
