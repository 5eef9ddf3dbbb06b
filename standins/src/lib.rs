//! Small stand-ins for the platform, used only by the tests and the quick start of dragonflyrun.
//!
//! `docs/PLATFORM.md` describes the interfaces that they serve.

pub mod backend;
pub mod caller;
pub mod editor;
pub mod harness;
pub mod http;
pub mod log;
pub mod quickstart;
pub mod relay;
pub mod steps;
pub mod worker;
