//! The calls of an agent to its worker, and the conditions to check before a start.

use std::time::Duration;

use crate::{
    connection::StartTasks,
    job::WORKER_TTL,
    utils::{Name, Timestamp},
};

/// A call to the worker, whose answer is passed to [`Members`](crate::job::Members).
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WorkerCall {
    /// List all leases.
    ListLeases,
    /// Perform an operation on the lease of one member.
    Lease {
        /// The number that the agent has given the member.
        number: u64,
        /// The name of the lease.
        lease: Name,
        /// The operation to perform on that lease.
        op: WorkerOp,
    },
    /// Remove a lease that is no longer needed.
    Remove {
        /// The name of the lease.
        lease: Name,
    },
}

/// An operation on a member's worker lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WorkerOp {
    /// Hold the accelerators until the given time, but no longer than [`WORKER_TTL`].
    Obtain {
        /// The number of accelerators to hold.
        accelerators: u32,
        /// When the lease is to lapse at the latest.
        until: Timestamp,
    },
    /// Extend the lease until the given time, but no longer than [`WORKER_TTL`].
    Renew {
        /// When the lease is to lapse at the latest.
        until: Timestamp,
    },
    /// Start the tasks, after [`Members::may_start`](crate::job::Members::may_start) has agreed.
    Start(StartTasks),
    /// Read the state of a lease that has ended according to the worker: its tasks may have ended
    /// by themselves.
    Inspect,
    /// Stop the tasks, or release the accelerators if none were started.
    Stop {
        /// Whether to save a checkpoint first.
        checkpoint: bool,
    },
}

impl WorkerOp {
    /// Returns the time to live to request at `now` for a lease that ends at `until`.
    ///
    /// It is computed directly before the call, so that time in a queue does not extend the lease.
    pub fn ttl(until: Timestamp, now: Timestamp) -> Duration {
        until.since(now).min(WORKER_TTL)
    }
}

/// What the agent knows directly before it starts a member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StartConditions {
    /// Whether the agent knows the latest state of the log.
    pub fresh: bool,
    /// The offset after the last record that the agent has folded.
    pub next_offset: u64,
    /// Whether the agent's failure domain is in service.
    pub in_service: bool,
    /// Whether, according to the log, this attempt is the job's current one, is placed on this
    /// worker and is not fenced. This is false for an order delayed until its planner had abandoned
    /// the attempt.
    pub allowed: bool,
}

/// Whether a member may start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartCheck {
    /// It may start now.
    Start,
    /// It may not start before the agent knows the latest state of the log.
    Wait,
    /// It may never start, and releases its reservation.
    Never,
}
