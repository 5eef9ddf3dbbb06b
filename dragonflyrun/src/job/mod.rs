//! The state of jobs, which outlives any single process: scheduling, gangs and the planner.

mod allotment;
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
mod job_table;
mod member;
mod members;
mod packing;
mod pass;
mod placement;
mod planner;
mod planner_records;
mod quarantine;
mod queue;
mod reclaim;
mod renewal;
mod reservation;
mod retention;
mod ring_updater;
mod scheduler;
mod slots;
mod spec;
mod starting;
mod stopping;
mod timing;
mod worker_op;

pub use decision::{Decision, UsageReport};
pub use election::{Election, ElectionView, PLANNER_SILENCE};
pub use gang::{Gang, GangAction, GangEnd};
pub use gang_id::{GangId, LeaseName};
pub use job_table::{JobTable, LiveJob};
pub use members::Members;
pub use planner::{Planner, PlannerAction, PlannerView, Purpose};
pub use planner_records::JobRecord;
pub use renewal::{AgentMessage, LATE_AFTER, Renewals};
pub use retention::{Item, MEMBERSHIP_REPEAT, RepeatAfter, Retention, STATE_REPEAT};
pub use ring_updater::RingUpdater;
pub use scheduler::{Allotment, Scheduler, UnmetGuarantee};
pub use spec::{ImpossibleReason, JobId, JobSpec, Shape, WorkerInfo};
pub use stopping::StopReason;
pub use timing::{
    CHECKPOINT_TIME, CLOCK_TOLERANCE, GANG_LEASE, LAPSE, LAPSE_UNSTARTED, PARTIAL_BOUND,
    RENEW_PERIOD, RENEWAL_WITHOUT_LOG, RESERVATION_TIMEOUT, START_BOUND, WORKER_SILENCE,
    WORKER_TTL,
};
pub use worker_op::{StartCheck, StartConditions, WorkerCall, WorkerOp};
