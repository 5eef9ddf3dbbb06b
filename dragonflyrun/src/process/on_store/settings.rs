//! Settings of the entry and the agent.

use std::time::Duration;

use crate::{utils::Name, workload::HostRoom};

/// Time limits and factors from the deployment's settings.
#[derive(Clone, Debug)]
pub struct StoreBounds {
    /// The longest lease that a worker grants.
    pub lease: Duration,
    /// Time after the confirmation of a configuration within which every process, connected or
    /// not, has to stop accepting keys that it revoked.
    pub revoke: Duration,
    /// Time after the confirmation of a configuration within which every process that reaches the
    /// store has to act by it.
    pub apply: Duration,
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
    /// Thousandths of a core that the host gives the process, if known.
    pub cpu_millis: Option<u64>,
    /// Bytes per second that the host's link carries, if known.
    pub link_bytes_per_s: Option<u64>,
    /// Bytes per second that the store returns to all its readers together, if known.
    pub store_read_bytes_per_s: Option<u64>,
    /// Time limits and factors.
    pub bounds: StoreBounds,
}

/// Share of the bound on revoked keys up to which the last current read of the configuration still
/// counts. The rest covers the time that a request takes.
const REVOKE_BOUND_SHARE: f64 = 0.85;

/// Time that a read of the operators' records may take beyond its wait, until it is repeated on
/// another connection.
const READ_MARGIN: Duration = Duration::from_millis(400);

impl StoreBounds {
    /// Returns the age of the last current read of the configuration up to which requests are admitted
    /// by it.
    pub fn max_configuration_age(&self) -> Duration {
        self.revoke.mul_f64(REVOKE_BOUND_SHARE)
    }

    /// Returns the longest wait of a read of the operators' records that keeps the bounds on a
    /// configuration. What a read shows was current when it was sent, so it is up to two waits old
    /// before the next one arrives.
    pub fn max_operators_wait(&self) -> Duration {
        let bound = self.apply.min(self.max_configuration_age());
        bound.saturating_sub(READ_MARGIN) / 2
    }
}

impl StoreSettings {
    /// Returns the capacity of the host, as far as it is known.
    pub fn host_room(&self) -> HostRoom {
        HostRoom {
            cpu_millis: self.cpu_millis.unwrap_or(0),
            link_bytes_per_s: self.link_bytes_per_s.unwrap_or(0),
        }
    }
}
