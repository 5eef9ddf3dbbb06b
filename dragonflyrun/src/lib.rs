//! The library of dragonflyrun, a scheduler that places multi-accelerator jobs for workspaces that
//! hold guarantees and routes callers' requests to guarded backend servers.
//!
//! Modules are grouped by the lifetime of what they contain; `docs/DESIGN.md` explains the choice.

#![warn(clippy::unwrap_used, clippy::expect_used)]

pub mod connection;
pub mod job;
pub mod port;
pub mod process;
pub mod request;
pub mod tool;
pub mod utils;
pub mod version;
pub mod workload;

pub use connection::{LogClient, Message, Record};
pub use job::{JobSpec, Shape};
pub use process::Settings;
pub use utils::{Name, Timestamp};
pub use version::Document;
