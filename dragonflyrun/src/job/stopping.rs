//! The time after which a member that was ordered to stop, and whose agent does not answer, has
//! stopped for certain.

use crate::{
    job::{LAPSE, LAPSE_UNSTARTED, RENEWAL_WITHOUT_LOG},
    utils::Timestamp,
};

/// Why a gang is stopped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopReason {
    /// Not all members could reserve their accelerators.
    NotReserved,
    /// The start is not known to be on the log.
    NotRecorded,
    /// Not all members started in time.
    NotStarted,
    /// A member was lost.
    MemberLost,
    /// A task failed.
    TaskFailed,
    /// Its accelerators are needed for another job, or its failure domain is taken out of service.
    Evicted,
    /// Cancellation of the job was requested.
    Cancelled,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Stopping {
    pub(super) since: Timestamp,
    pub(super) reason: StopReason,
    pub(super) checkpoint: bool,
    /// When some member was first reported as stopped: no entry renews the gang from then on.
    pub(super) first_stop: Option<Timestamp>,
    pub(super) fence: Fence,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Fence {
    NotRequested,
    Requested,
    Recorded {
        offset: u64,
        folded_at: Timestamp,
        /// When all entries were known to have folded the fence.
        folded_by_all_at: Option<Timestamp>,
    },
}

impl Stopping {
    /// Returns whether a member has stopped for certain although its agent has not reported it.
    pub(super) fn has_lapsed(&self, now: Timestamp, has_run: bool) -> bool {
        // A gang is renewed only while all members run, so no member that has run is renewed after
        // the first one stopped.
        let lapsed_after_stop = has_run && self.first_stop.is_some_and(|at| now.since(at) > LAPSE);
        lapsed_after_stop || self.has_lapsed_after_fence(now, has_run)
    }

    fn has_lapsed_after_fence(&self, now: Timestamp, has_run: bool) -> bool {
        let Fence::Recorded {
            folded_at,
            folded_by_all_at,
            ..
        } = self.fence
        else {
            return false;
        };
        let no_longer_renewed = folded_by_all_at.is_some_and(|since| now.since(since) > LAPSE);
        let renewals_expired = now.since(folded_at) > RENEWAL_WITHOUT_LOG + LAPSE_UNSTARTED;
        (no_longer_renewed || renewals_expired)
            && (has_run || now.since(folded_at) > LAPSE_UNSTARTED)
    }
}
