//! The state and threads of one process: settings, the tables that its threads share, startup and
//! shutdown.

mod agent;
mod agent_jobs;
mod agent_requests;
mod appender;
mod cli;
mod clock;
mod config;
mod context;
mod counters;
mod daemon;
mod entry;
mod entry_http;
mod entry_jobs;
mod entry_presence;
mod entry_requests;
mod entry_routes;
mod entry_status;
mod freshness;
mod gang_table;
mod heartbeats;
mod ledger;
mod log_reader;
mod log_writer;
pub mod logging;
mod membership;
mod node;
pub mod on_store;
mod roster;
mod routes;
mod run_pool;
mod settings;
mod signal;
mod status;

pub use agent_jobs::AgentJobs;
pub use agent_requests::AgentRequests;
pub use appender::{AppendError, Appender};
pub use cli::Cli;
pub use clock::Clock;
pub use config::Config;
pub use context::{Context, link_settings};
pub use counters::Counters;
pub use daemon::{Daemon, StartError};
pub use entry_http::requested_service;
pub use entry_jobs::EntryJobs;
pub use entry_requests::EntryRequests;
pub use freshness::{EntryView, Freshness, MAX_HEAD_AGE};
pub use gang_table::{GangTable, TickView, state_to_repeat};
pub use ledger::{Folded, Ledger};
pub use log_writer::LogWriter;
pub use membership::Membership;
pub use node::Node;
pub use roster::{MAX_PEER_SILENCE, PeerState, Roster};
pub use settings::{RoleSettings, Settings, SettingsError};
pub use signal::wait_for_signal;
pub use status::{
    DomainStatus, EDITOR_HEADER, JobAnswer, JobRefusal, JobState, JobStatus, JobsAnswer,
    PeerStatus, ServiceStatus, StatusAnswer, TOKEN_HEADER, WorkspaceStatus,
};

pub use crate::utils::lock;

pub(crate) use agent::AgentNode;
pub(crate) use entry::EntryNode;
pub(crate) use entry_presence::EntryPresence;
