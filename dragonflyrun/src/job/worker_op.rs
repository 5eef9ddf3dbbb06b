//! What an agent asks of its worker, and what it has to know before a start.

use std::time::Duration;

use crate::{
    connection::StartTasks,
    job::WORKER_TTL,
    utils::{Name, Timestamp},
};

/// A call to make on the worker. Its answer goes back to [`Members`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WorkerCall {
    /// Look at all leases.
    ListLeases,
    /// Do something about one member's lease.
    Lease {
        /// The member.
        number: u64,
        /// The lease.
        lease: Name,
        /// What to do.
        op: WorkerOp,
    },
    /// Forget a lease that nobody needs any more.
    Remove {
        /// The lease.
        lease: Name,
    },
}

/// What a member asks of its worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WorkerOp {
    /// Hold the accelerators until the given time, but no longer than [`WORKER_TTL`].
    Obtain {
        /// Accelerators to hold.
        accelerators: u32,
        /// When the lease is to lapse at the latest.
        until: Timestamp,
    },
    /// Prolong the lease until the given time, but no longer than [`WORKER_TTL`].
    Renew {
        /// When the lease is to lapse at the latest.
        until: Timestamp,
    },
    /// Start the tasks, after [`Members::may_start`](crate::job::Members::may_start) has agreed.
    Start(StartTasks),
    /// Look at the lease, which the worker says is over: its tasks may have ended by themselves.
    Inspect,
    /// Stop the tasks or give the accelerators back.
    Stop {
        /// Whether to save a checkpoint first.
        checkpoint: bool,
    },
}

impl WorkerOp {
    /// Returns the time to live to ask for at `now`, for a lease that ends at `until`.
    ///
    /// It is reckoned right before the call, so that time in a queue does not prolong the lease.
    pub fn ttl(until: Timestamp, now: Timestamp) -> Duration {
        until.since(now).min(WORKER_TTL)
    }
}

/// What the agent knows right before it starts a member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StartConditions {
    /// Whether it knows the latest state of the log.
    pub fresh: bool,
    /// The offset after the last record it has folded.
    pub next_offset: u64,
    /// Whether its failure domain is in service.
    pub in_service: bool,
    /// Whether the log has this attempt as the job's current one, placed on this worker and not
    /// fenced. An order that was delayed until its planner had given the attempt up fails here.
    pub allowed: bool,
}

/// Whether a member may start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartCheck {
    /// It may, at once.
    Start,
    /// Not until the agent knows the latest state of the log.
    Wait,
    /// It may not; it gives its reservation back.
    Never,
}
