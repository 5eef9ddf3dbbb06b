//! The times of the gang protocol, and the bounds derived from them.
//!
//! `docs/GANGS.md` derives each bound; `tests/gang_faults.rs` measures them.

use std::time::Duration;

use crate::process::MAX_HEAD_AGE;

/// How long a member may run after the last time at which all members were alive for certain.
pub const GANG_LEASE: Duration = Duration::from_millis(3_000);

/// Maximum time to live of a worker lease when it is obtained or renewed.
///
/// An agent that is frozen between its decision to renew or start and the call itself can act late
/// by at most this time, since the worker refuses calls after the lease has lapsed.
pub const WORKER_TTL: Duration = Duration::from_millis(2_000);

/// Time without an answer of the worker after which its tasks count as lost.
pub const WORKER_SILENCE: Duration = Duration::from_millis(1_500);

/// How long before the end of its gang's lease a member stops by itself, to have time for a
/// checkpoint.
pub const CHECKPOINT_TIME: Duration = Duration::from_millis(500);

/// How long an agent keeps a reservation without an order to start it.
pub const RESERVATION_TIMEOUT: Duration = Duration::from_millis(10_000);

/// Time between two renewals of a worker lease.
pub const RENEW_PERIOD: Duration = Duration::from_millis(500);

/// Allowance for the drift between two clocks over the longest of these times, and for a delay of a
/// thread between two lines of code that belong together.
pub const CLOCK_TOLERANCE: Duration = Duration::from_millis(500);

/// How long an entry continues to renew gangs after it last knew the latest state of the log.
///
/// It is long so that no gang stops because the log is down and an entry has failed as well. It is
/// bounded because a job whose worker and entry were both lost has to wait for this time.
pub const RENEWAL_WITHOUT_LOG: Duration = Duration::from_secs(600);

/// Upper bound of the time during which some members of a gang run while another does not.
///
/// An agent may take up to [`WORKER_SILENCE`] to notice that its worker no longer runs the tasks;
/// the leases of the other members end [`GANG_LEASE`] after that; and an agent that is frozen in
/// the middle of a renewal may extend its worker lease once more, by [`WORKER_TTL`].
pub const PARTIAL_BOUND: Duration = WORKER_SILENCE
    .saturating_add(GANG_LEASE)
    .saturating_add(WORKER_TTL);

/// Upper bound of the time from an edit that takes a failure domain out of service to the last
/// start of a task in it.
///
/// The agent's view of the log is at most [`MAX_HEAD_AGE`] old when it decides to start, and the
/// worker lease lapses [`WORKER_TTL`] after its last renewal, which precedes that decision.
pub const START_BOUND: Duration = MAX_HEAD_AGE.saturating_add(WORKER_TTL);

/// Time after which a member that no entry renews any more has stopped for certain.
pub const LAPSE: Duration = GANG_LEASE
    .saturating_add(WORKER_TTL)
    .saturating_add(CLOCK_TOLERANCE);

/// Time after which a member that was never known to run, and that the log no longer allows to
/// start, has stopped for certain.
pub const LAPSE_UNSTARTED: Duration = START_BOUND.saturating_add(LAPSE);
