//! Entry and agent of a deployment whose state lives on the platform's store.
//!
//! A process keeps nothing that matters: it follows the store and can be thrown away at any
//! moment. All tasks of a process run on one thread, since its host gives it a fraction of a core;
//! tables are shared under mutexes that no task holds while it waits. Lock order: state, planner.
//! `docs/SYSTEM.md` tells the design.

mod agent;
mod api;
mod append_timeout;
mod boot_clock;
mod caller_records;
mod caller_requests;
mod entry;
mod follower;
mod lanes;
mod link_load;
mod planner_term;
mod read_pause;
mod reader;
mod settings;
mod term_writer;
mod view;

pub use agent::StoreAgent;
pub use api::{ApiAnswer, ApiCall, ApiError, WORKSPACE_KEY_HEADER};
pub use append_timeout::append_timeout;
pub use boot_clock::BootTime;
pub use entry::{OperatorDecoder, StoreEntry};
pub use follower::{Batch, Follower};
pub use lanes::Lanes;
pub use settings::{StoreBounds, StoreSettings};
pub use view::{DeploymentView, OccurrencesFile, StepFile, StepJobFile, StepJobView, StepView};
