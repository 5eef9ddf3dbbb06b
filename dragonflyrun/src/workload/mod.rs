//! Jobs with their steps and tasks: their requirements, their progress and the placement of their
//! tasks on workers.
//!
//! Each module is a table that takes the time and an event and returns typed decisions. No table
//! holds a socket, a thread or a clock. State doesn't refer to the code that decides on it, so the
//! modules are best read in the order `job`, `plan`, `fleet`, `schedule`, `planner`.
//! `docs/SYSTEM.md` describes the design.

mod admission;
mod agent_table;
mod attention;
mod backoff;
mod candidates;
mod demands;
mod departure;
mod entries;
mod eviction;
mod eviction_records;
mod failed_starts;
mod fleet;
mod idle_workers;
mod job;
mod job_table;
mod job_waits;
mod late_gangs;
mod live;
mod load;
mod message;
mod overdue;
mod pace;
mod packed_starts;
mod pass;
mod plan;
mod planner;
mod planner_heartbeat;
mod progress;
mod queues;
mod recent_failures;
mod record;
mod relocation;
mod report_reads;
mod rooms;
mod run_times;
mod schedule;
mod shares;
mod skip;
mod speed_samples;
mod speeds;
mod store_reachability;
mod task;
mod term;
mod tickets;
mod waiting;
mod withheld;
mod worker_sets;
mod worker_status;

pub use admission::{
    EntryView, ExpectedWaits, LoadAdmission, LoadPublisher, LoadRecord, LoadRefusal, PoolWork,
    RunningWork, WaitEstimator, WaitingWork, Waits, is_covered,
};
pub use agent_table::{AgentAction, AgentTable, HeartbeatNews, ListsNews, StartResult};
pub use attention::{Attention, Contact, SELDOM_REPORT_INTERVAL};
pub use backoff::Backoff;
pub use candidates::IncarnationId;
pub use entries::{EntryRecord, EntryTable, HostRoom};
pub use eviction_records::EvictionCounts;
pub use fleet::{Fleet, FleetWorker, GoneProof, RunOver, RunOverReason, SessionState, WorkerRun};
pub use job::{Job, JobRequest, Occurrences, Resources, Step};
pub use job_table::{JobLookup, JobTable, KnownJob};
pub use job_waits::{FailedStarts, JobWait, OrderState, PlaceSession, PlaceStatus, WaitCause};
pub use message::{Order, OrderMessage, Report, Succession, TaskStart};
pub use pace::Pace;
pub use plan::{JobPlan, Outcome, Place, TaskPlan};
pub use planner::{Decisions, Planner, PlannerBounds, View, WorkerOrder};
pub use planner_heartbeat::PlannerHeartbeat;
pub use progress::Progress;
pub use recent_failures::Caution;
pub use record::{JobRecord, MAX_JOB_NAME_BYTES, Term, decode, encode};
pub use report_reads::{ReportReads, report_partition};
pub use run_times::RunTimes;
pub use schedule::{Demand, Hold, Room};
pub use shares::WorkspaceShare;
pub use speeds::{SpeedEstimate, SpeedSample, WorkerSpeeds};
pub use store_reachability::StoreReachability;
pub use task::{RunId, TaskId};
pub use term::{Candidate, Election, TermStep};
pub use waiting::{WaitReason, Waiting};
pub use withheld::{WithheldChange, WithheldStarts};
pub use worker_status::{WorkerState, WorkerStatus};
