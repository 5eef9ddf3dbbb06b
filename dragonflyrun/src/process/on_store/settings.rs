//! Settings of the entry and the agent.

use std::time::Duration;

use crate::utils::Name;

/// Time limits and factors from the deployment's settings.
#[derive(Clone, Debug)]
pub struct StoreBounds {
    /// The longest lease that a worker grants.
    pub lease: Duration,
    /// Time after the confirmation of a configuration within which every process, connected or
    /// not, has to stop accepting keys that it revoked.
    pub revoke: Duration,
    /// How long the state of an ended job is kept.
    pub keep_ended: Duration,
    /// Time from the stop signal until the process is killed.
    pub grace: Duration,
    /// The factor by which a task's run time grows outside the rack that holds its data, or when
    /// its gang is spread over several racks.
    pub far_factor: f64,
    /// Amount of work after which a run saves a checkpoint; zero if unknown.
    pub checkpoint_every: Duration,
}

/// Settings of an entry or an agent on the store.
#[derive(Clone, Debug)]
pub struct StoreSettings {
    /// The name of this process.
    pub name: Name,
    /// Number of partitions of each topic in the store.
    pub partitions: u32,
    /// Bytes per second that the host's link carries, if known.
    pub link_bytes_per_s: Option<u64>,
    /// Time limits and factors.
    pub bounds: StoreBounds,
}
