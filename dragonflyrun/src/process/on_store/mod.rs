//! The entry and the agent of a deployment whose state is in the platform's store.
//!
//! A process holds no state that would be lost with it: it follows the store and can be killed at
//! any time. All tasks of a process run on one thread because its host gives it only a fraction of
//! a core. They share tables behind mutexes that no task holds across an `await`. Lock order:
//! entry state, then planner. `docs/SYSTEM.md` describes the design.

mod agent;
mod announcement;
mod api;
mod append_timeout;
mod boot_clock;
mod caller_load;
mod caller_records;
mod caller_requests;
mod counted_store;
mod entry;
mod follower;
mod lanes;
mod link_load;
mod pending_read;
mod planner_term;
mod read_counts;
mod read_pace;
mod read_pause;
mod reader;
mod settings;
mod term_writer;
mod view;

pub use agent::StoreAgent;
pub use api::{ApiAnswer, ApiCall, ApiError, WORKSPACE_KEY_HEADER};
pub use append_timeout::{AppendRetry, append_timeout};
pub use boot_clock::BootTime;
pub use counted_store::CountedStore;
pub use entry::{OperatorDecoder, StoreEntry};
pub use follower::{Batch, Follower};
pub use lanes::Lanes;
pub use settings::{StoreBounds, StoreSettings};
pub use view::{
    DeploymentView, OccurrencesFile, StepFile, StepJobFile, StepJobView, StepView, WorkersView,
    WorkspacesView,
};
