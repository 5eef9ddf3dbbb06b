//! Handles short requests: admission, queueing, routing, retries and at-most-once keys.
//!
//! This module only decides and does no I/O; `process::EntryRequests` and `process::AgentRequests`
//! carry out the decisions. See `docs/REQUESTS.md`.

mod agent_table;
mod backends;
mod caller;
mod entry_table;
mod key_owner;
mod load;
mod retry_budget;
mod ring;
mod run_time;
mod wait_queue;

pub use agent_table::{AgentAction, AgentTable, RunOrder};
pub use backends::{ANNOUNCEMENT_TTL, BackendAnnouncement, BackendChoice, Backends};
pub use caller::{CallerRequest, Refusal};
pub use entry_table::{EntryAction, EntryTable, ServiceStats};
pub use key_owner::{KeyClaim, KeyOutcome, KeyOwner, OwnerAction};
pub use load::{AgentLoads, AgentView, ServiceView};
pub use retry_budget::RetryBudget;
pub use ring::Ring;
pub use run_time::RunTime;
pub use wait_queue::{WaitQueue, Waiting};

use crate::{connection::Peer, utils::Name};

/// Returns the entry id that is part of its request ids: the entry's name and its incarnation,
/// which distinguishes its process from an earlier one of the same name.
pub fn entry_id(entry: &Peer) -> Name {
    format!("{}#{}", entry.name, entry.incarnation).into()
}
