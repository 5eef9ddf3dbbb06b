//! What lives for one job, which outlives any process.

mod book;
mod gang_id;
mod member;
mod members;
mod spec;
mod timing;

pub use book::{JobBook, LiveJob};
pub use gang_id::{GangId, LeaseName};
pub use member::{Gate, StartCheck, WorkerOp};
pub use members::{Members, WorkerCall};
pub use spec::{JobId, JobSpec, Shape, Unreachable, WorkerInfo};
pub use timing::{
    AUTONOMY, CHECKPOINT_TIME, DRIFT, GANG_LEASE, LAPSE, LAPSE_UNSTARTED, PARTIAL_BOUND,
    RENEW_PERIOD, RESERVATION, START_BOUND, WORKER_SILENCE, WORKER_TTL,
};
