//! The times of the gang protocol, and the bounds that follow from them.
//!
//! `docs/GANGS.md` tells how each bound follows; `tests/gang_faults.rs` measures them.

use std::time::Duration;

use crate::process::FRESH;

/// How long a member may run after the last moment at which every member was alive for certain.
pub const GANG_LEASE: Duration = Duration::from_millis(3_000);

/// Time to live of a worker lease when it is obtained or renewed, at the most.
///
/// An agent that is frozen between its decision to renew or to start and the call itself can act
/// that much too late, since the worker refuses what comes after the lease has lapsed.
pub const WORKER_TTL: Duration = Duration::from_millis(2_000);

/// Silence of the worker after which its tasks count as lost.
pub const WORKER_SILENCE: Duration = Duration::from_millis(1_500);

/// How long before its gang's lease ends a member stops by itself, to have time for a checkpoint.
pub const CHECKPOINT_TIME: Duration = Duration::from_millis(500);

/// How long an agent keeps a reservation that it is not told to start.
pub const RESERVATION_TIMEOUT: Duration = Duration::from_millis(10_000);

/// Time between two renewals of a worker lease.
pub const RENEW_PERIOD: Duration = Duration::from_millis(500);

/// How much two clocks may differ over the longest of these times, and what a thread may lose
/// between two lines of code that belong together.
pub const CLOCK_TOLERANCE: Duration = Duration::from_millis(500);

/// How long an entry goes on renewing gangs after it has last known the latest state of the log.
///
/// It is long, since a gang is not to stop because the log is down and an entry has died besides.
/// It is bounded, since a job whose worker and entry were both lost waits for it.
pub const RENEWAL_WITHOUT_LOG: Duration = Duration::from_secs(600);

/// The longest time for which some members of a gang run while another does not.
///
/// A member's agent may take a worker that no longer runs the tasks for running until
/// [`WORKER_SILENCE`]; the others' leases end [`GANG_LEASE`] after that; and an agent that is
/// frozen in the middle of a renewal may prolong its worker lease once more.
pub const PARTIAL_BOUND: Duration = WORKER_SILENCE
    .saturating_add(GANG_LEASE)
    .saturating_add(WORKER_TTL);

/// The longest time from the moment at which an edit takes a failure domain out of service to the
/// last start of a task in it.
///
/// The agent's view of the log is at most [`FRESH`] old when it decides to start; the worker lease
/// lapses [`WORKER_TTL`] after its last renewal, which comes before that decision.
pub const START_BOUND: Duration = FRESH.saturating_add(WORKER_TTL);

/// Time after which a member that nobody renews any more has stopped for certain.
pub const LAPSE: Duration = GANG_LEASE
    .saturating_add(WORKER_TTL)
    .saturating_add(CLOCK_TOLERANCE);

/// Time after which a member that was not known to run, and which the log no longer allows to
/// start, has stopped for certain.
pub const LAPSE_UNSTARTED: Duration = START_BOUND.saturating_add(LAPSE);
