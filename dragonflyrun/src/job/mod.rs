//! The state of jobs, which outlives any single process: scheduling, gangs and the planner.

mod allotment;
mod book;
mod closing;
mod coverage;
mod decision;
mod election;
mod estimate;
mod eviction;
mod gang;
mod gang_id;
mod gang_tick;
mod guarantee;
mod holding;
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
mod starting;
mod stopping;
mod take_over;
mod timing;
mod worker_op;

pub use book::{JobBook, LiveJob};
pub use decision::{Decision, UsageReport};
pub use election::{Election, ElectionView, PLANNER_SILENCE};
pub use gang::{Close, Gang, GangAction};
pub use gang_id::{GangId, LeaseName};
pub use members::Members;
pub use planner::{Planner, PlannerAction, PlannerView, Purpose};
pub use renewal::{LATE, Notice, Renewals};
pub use retention::{Item, MEMBERSHIP_REPEAT, RepeatAfter, Retention, STATE_REPEAT};
pub use ring::Ring;
pub use scheduler::{Allotment, Scheduler, UnmetGuarantee};
pub use spec::{ImpossibleReason, JobId, JobSpec, Shape, WorkerInfo};
pub use stopping::StopReason;
pub use take_over::JobRecord;
pub use timing::{
    AUTONOMY, CHECKPOINT_TIME, DRIFT, GANG_LEASE, LAPSE, LAPSE_UNSTARTED, PARTIAL_BOUND,
    RENEW_PERIOD, RESERVATION, START_BOUND, WORKER_SILENCE, WORKER_TTL,
};
pub use worker_op::{Gate, StartCheck, WorkerCall, WorkerOp};
