//! The command-line tool for operators and callers; see `docs/OPERATIONS.md`, the commands.

mod commands;
mod entries;
mod error;
mod in_force;
mod log_reader;
mod options;
mod printed;
mod publisher;
mod settings;

pub use commands::run;
pub use entries::CallError;
pub use error::ToolError;
pub use in_force::{InForce, ProcessVersion};
pub use log_reader::{Log, LogReader, Opener};
pub use options::{Cli, Command};
pub use printed::{Exit, Printed};
pub use publisher::{Published, Publisher};
pub use settings::{ToolConfig, ToolSettings};
