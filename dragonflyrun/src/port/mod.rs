//! What the product asks of a platform: a store, workers, and the callers' and operators' side.
//!
//! Each trait and type here is in the product's own words. An adapter implements the traits and
//! decodes what comes from outside into these types; it decides nothing. `docs/SYSTEM.md` tells
//! which promise rests on which of these calls.

mod advisor;
mod caller;
mod operator;
mod store;
mod worker;

pub use advisor::{AdviceAnswer, AdviceQuestion, Advisor};
pub use caller::{CallerAnswer, CallerCall, CallerHandler, CallerRequest, JobState, Refusal};
pub use operator::{Advice, Configuration, OperatorRecord, Queue, Service, Workspace};
pub use store::{
    Append, AppendError, Appended, Newest, Page, PageBody, Partition, ReadError, Store,
    StoreRecord, Topic, Writer,
};
pub use worker::{
    CallError, End, EndKind, Heartbeat, Registry, RunningTask, StartOrder, StartOutcome, Worker,
    WorkerLists,
};
