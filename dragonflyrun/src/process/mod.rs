//! What lives for one process: settings, the tables shared by its threads, start and stop.

mod agent_jobs;
mod appender;
mod clock;
mod config;
mod context;
mod counters;
mod entry_jobs;
mod entry_table;
mod freshness;
mod ledger;
mod membership;
mod roster;
mod settings;
mod status;

pub use agent_jobs::AgentJobs;
pub use appender::{AppendError, Appender};
pub use clock::Clock;
pub use config::Config;
pub use context::{Context, link_settings, lock};
pub use counters::Counters;
pub use entry_jobs::EntryJobs;
pub use entry_table::{EntryTable, TickView, carried_body};
pub use freshness::{EntryView, FRESH, Freshness};
pub use ledger::{Folded, Ledger};
pub use membership::Membership;
pub use roster::{PeerState, Roster, SILENCE};
pub use settings::{RoleSettings, Settings, SettingsError};
pub use status::{
    EDITOR_HEADER, JobAnswer, JobRefusal, JobState, JobStatus, JobsAnswer, PeerStatus,
    ServiceStatus, StatusAnswer, TOKEN_HEADER, WorkspaceStatus,
};
