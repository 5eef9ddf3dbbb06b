//! What lives for one job, which outlives any process.

mod allotment;
mod book;
mod decision;
mod election;
mod estimate;
mod gang;
mod gang_id;
mod guarantee;
mod inventory;
mod member;
mod members;
mod packing;
mod pass;
mod placement;
mod planner;
mod quarantine;
mod queue;
mod reclaim;
mod renewal;
mod reservation;
mod retention;
mod ring;
mod scheduler;
mod slots;
mod spec;
mod take_over;
mod timing;

pub use book::{JobBook, LiveJob};
pub use decision::{Decision, UsageReport};
pub use election::{Election, ElectionView, PLANNER_SILENCE};
pub use gang::{Close, Gang, GangAction, StopReason};
pub use gang_id::{GangId, LeaseName};
pub use member::{Gate, StartCheck, WorkerOp};
pub use members::{Members, WorkerCall};
pub use planner::{Planner, PlannerAction, PlannerView, Purpose};
pub use renewal::{LATE, Notice, Renewals};
pub use retention::{CARRY, Carry, Item, MEMBERSHIP_CARRY, Retention};
pub use ring::Ring;
pub use scheduler::{Scheduler, UnmetGuarantee};
pub use spec::{JobId, JobSpec, Shape, Unreachable, WorkerInfo};
pub use take_over::JobRecord;
pub use timing::{
    AUTONOMY, CHECKPOINT_TIME, DRIFT, GANG_LEASE, LAPSE, LAPSE_UNSTARTED, PARTIAL_BOUND,
    RENEW_PERIOD, RESERVATION, START_BOUND, WORKER_SILENCE, WORKER_TTL,
};
