//! A test harness: starts a deployment of separate processes, injects faults and evaluates the
//! records of the workers and backend servers.
//!
//! Helpers panic with the reason if a step fails that is not itself under test, so that tests
//! don't have to handle such errors.

mod child;
mod daemon;
mod deployment;
mod document;
mod gang;
mod load;
mod permit;
mod platform;
mod records;
mod wait;

pub use child::{Child, Signal, binary};
pub use daemon::{Daemon, StandIn};
pub use deployment::{Deployment, DeploymentBuilder, EDITOR, SECRET, SERVICE, WORKSPACE};
pub use gang::job;
pub use load::{Load, LoadShape, TrackedRequest, contradicted_answers};
pub use platform::unix_ms;
pub use records::{
    RepeatedKey, Span, longest_partial, overlapping, repeated_keys, starts_in_domain_after,
};
pub use wait::{WAIT_TIMEOUT, wait_for, wait_until};
