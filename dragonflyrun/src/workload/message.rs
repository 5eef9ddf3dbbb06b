//! What the planner tells agents and agents tell the planner, over the store.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{
    port::{End, Heartbeat, RunningTask, StartOutcome},
    utils::Name,
    workload::{
        Pace,
        Progress,
        RunId,
        packed_starts,
        skip::{is_false, is_zero_u64}, //
    },
};

/// A run that an agent is to start.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskStart {
    /// Which run of which task.
    pub run: RunId,
    /// What the caller handed in.
    pub payload: Arc<str>,
    /// Where the task goes on; empty for the beginning.
    pub checkpoint: String,
    /// Proof for the queue's policy that the worker may run the step.
    pub ticket: Option<String>,
}

/// An order to one agent.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Order {
    /// Runs to stop.
    #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
    pub stops: Vec<RunId>,
    /// Runs to start.
    #[serde(
        rename = "s",
        default,
        skip_serializing_if = "Vec::is_empty",
        with = "packed_starts"
    )]
    pub starts: Vec<TaskStart>,
    /// Ends up to this number stand in the plan and may be confirmed to the worker.
    #[serde(rename = "n", default, skip_serializing_if = "is_zero_u64")]
    pub confirmed: u64,
    /// Whether the agent must stop all, extend no lease any more and begin a new session: its
    /// tasks may be started elsewhere.
    #[serde(rename = "f", default, skip_serializing_if = "is_false")]
    pub fence: bool,
}

impl Order {
    /// Returns whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// A record of an orders' partition, which several agents may share.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum OrderMessage {
    /// An agent begins a session. Its offset is the session's number: it rises over all processes
    /// and lives, so it is the fencing token of the agent's calls to its worker too.
    Session {
        /// The worker.
        worker: Name,
    },
    /// An order for one session of a worker's agent.
    Order {
        /// The worker.
        worker: Name,
        /// The session.
        session: u64,
        /// The order.
        order: Order,
    },
}

/// What an agent says of its worker: everything, each time, so that the newest report is enough.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// The worker's newest heartbeat.
    #[serde(rename = "h")]
    pub heartbeat: Heartbeat,
    /// The number of the agent's session.
    #[serde(rename = "s")]
    pub session: u64,
    /// Rises with each report of a session.
    #[serde(rename = "q")]
    pub sequence: u64,
    /// Unix milliseconds on the agent's host; only a hint of the report's age, since clocks may jump.
    #[serde(rename = "a", default)]
    pub sent_ms: u64,
    /// All orders before this offset are carried out, or stand in `starting`.
    #[serde(rename = "o")]
    pub orders_seen: u64,
    /// Runs whose start has had no answer yet.
    #[serde(rename = "g", default, skip_serializing_if = "Vec::is_empty")]
    pub starting: Vec<RunId>,
    /// Starts that the worker refused, or the agent, and why.
    #[serde(rename = "f", default, skip_serializing_if = "Vec::is_empty")]
    pub refused: Vec<(RunId, StartOutcome)>,
    /// What runs.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub running: Vec<RunningTask>,
    /// How it comes on, in the same order; shorter where the agent does not say so.
    #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
    pub progress: Vec<Progress>,
    /// How fast runs that save checkpoints have come on.
    #[serde(rename = "v", default, skip_serializing_if = "Vec::is_empty")]
    pub paces: Vec<Pace>,
    /// Ends that have not been confirmed.
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub ends: Vec<End>,
    /// Whether the session has ended by a fence, and nothing of it runs any more.
    #[serde(rename = "z", default, skip_serializing_if = "is_false")]
    pub closed: bool,
    /// Whether the worker has said that it ends now.
    #[serde(rename = "b", default, skip_serializing_if = "is_false")]
    pub left: bool,
    /// Whether the worker answers its agent.
    #[serde(rename = "u", default, skip_serializing_if = "is_false")]
    pub unreachable: bool,
}
