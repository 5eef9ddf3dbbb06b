//! When a member that was told to stop, and does not answer, has stopped for certain.

use crate::{
    job::{AUTONOMY, LAPSE, LAPSE_UNSTARTED},
    utils::Timestamp,
};

/// Why a gang is stopped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopReason {
    /// Not all members could reserve.
    NotReserved,
    /// The start is not known to be on the log.
    NotRecorded,
    /// Not all members have started.
    NotStarted,
    /// A member was lost.
    MemberLost,
    /// A task failed.
    TaskFailed,
    /// Its accelerators are needed for another job or its failure domain leaves service.
    Evicted,
    /// Somebody asked to cancel the job.
    Cancelled,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Stopping {
    pub(super) since: Timestamp,
    pub(super) reason: StopReason,
    pub(super) checkpoint: bool,
    /// When it was heard that some member had stopped: no entry renews from then on.
    pub(super) first_stop: Option<Timestamp>,
    pub(super) fence: Fence,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Fence {
    Open,
    Asked,
    Folded {
        offset: u64,
        at: Timestamp,
        /// When all entries were known to have folded it.
        obeyed: Option<Timestamp>,
    },
}

impl Stopping {
    /// Returns whether a member that was not heard to have stopped has done so for certain.
    pub(super) fn is_lapsed(&self, now: Timestamp, ran: bool) -> bool {
        // A renewal needs all members running, so the first stop ends them for those that ran.
        let by_stop = ran && self.first_stop.is_some_and(|at| now.since(at) > LAPSE);
        by_stop || self.is_lapsed_by_fence(now, ran)
    }

    fn is_lapsed_by_fence(&self, now: Timestamp, ran: bool) -> bool {
        let Fence::Folded { at, obeyed, .. } = self.fence else {
            return false;
        };
        let unrenewed = obeyed.is_some_and(|since| now.since(since) > LAPSE);
        let by_itself = now.since(at) > AUTONOMY + LAPSE_UNSTARTED;
        (unrenewed || by_itself) && (ran || now.since(at) > LAPSE_UNSTARTED)
    }
}
