//! Small stand-ins of the platform, for dragonflyrun's tests and its quick start only.
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
