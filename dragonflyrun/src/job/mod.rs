//! What lives for one job, which outlives any process.

mod allotment;
mod book;
mod gang_id;
mod decision;
mod estimate;
mod guarantee;
mod inventory;
mod packing;
mod pass;
mod placement;
mod quarantine;
mod queue;
mod reclaim;
mod scheduler;
mod slots;
mod spec;
mod timing;

pub use book::{JobBook, LiveJob};
pub use gang_id::{GangId, LeaseName};
pub use decision::{Decision, UsageReport};
pub use scheduler::{Scheduler, UnmetGuarantee};
pub use spec::{JobId, JobSpec, Shape, Unreachable, WorkerInfo};
pub use timing::{
    AUTONOMY, CHECKPOINT_TIME, DRIFT, GANG_LEASE, LAPSE, LAPSE_UNSTARTED, PARTIAL_BOUND,
    RENEW_PERIOD, RESERVATION, START_BOUND, WORKER_SILENCE, WORKER_TTL,
};
