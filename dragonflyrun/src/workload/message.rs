//! The messages that the planner and the agents exchange through the store.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{
    port::{End, Heartbeat, RunningTask, StartOutcome},
    utils::{Name, exact_number},
    workload::{
        Attention,
        Pace,
        Progress,
        RunId,
        SpeedEstimate,
        packed_starts,
        skip::{is_false, is_zero_u64}, //
    },
};

/// Bytes that a start takes in its order besides its payload, checkpoint and ticket: the name of its job
/// of up to 253 bytes, some numbers, and the keys of the fields.
const START_OVERHEAD_BYTES: usize = 400;

/// A run that an agent has to start.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskStart {
    /// The task and the number of the run to start.
    pub run: RunId,
    /// The input that the caller submitted.
    pub payload: Arc<str>,
    /// The checkpoint from which the task continues; empty for the beginning.
    pub checkpoint: String,
    /// The ticket of the queue's policy, which proves that the worker may run the step.
    pub ticket: Option<String>,
}

/// The planner's order to one agent.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Order {
    /// The runs to stop.
    #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
    pub stops: Vec<RunId>,
    /// The runs to start.
    #[serde(
        rename = "s",
        default,
        skip_serializing_if = "Vec::is_empty",
        with = "packed_starts"
    )]
    pub starts: Vec<TaskStart>,
    /// The number up to which ends are recorded in the plan and may be confirmed to the worker.
    #[serde(
        rename = "n",
        default,
        deserialize_with = "exact_number",
        skip_serializing_if = "is_zero_u64"
    )]
    pub confirmed: u64,
    /// Whether the session is fenced: the agent must stop all runs, must not extend the lease any more
    /// and has to begin a new session, since the tasks may be started elsewhere.
    #[serde(rename = "f", default, skip_serializing_if = "is_false")]
    pub fence: bool,
    /// How closely the agent has to follow from now on, if that changes. The agent answers with a
    /// report.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub attention: Option<Attention>,
    /// The estimate of the worker's speed, which the agent repeats in its reports. It is sent along
    /// with orders only.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub speed: Option<SpeedEstimate>,
}

impl TaskStart {
    /// Returns an upper bound of the bytes that the start takes in an order after the start `previous`,
    /// with which it may share the payload.
    fn bytes_after(&self, previous: Option<&Self>) -> usize {
        let is_shared = previous.is_some_and(|previous| previous.payload == self.payload);
        let payload = if is_shared { 0 } else { self.payload.len() };
        let ticket = self.ticket.as_ref().map_or(0, String::len);
        START_OVERHEAD_BYTES + payload + self.checkpoint.len() + ticket
    }
}

impl Order {
    /// Splits the order into parts that have the same effect one after the other. The starts of each
    /// take at most `max_bytes`, unless it is a single one.
    pub fn split(mut self, max_bytes: usize) -> Vec<Self> {
        let mut groups: Vec<Vec<TaskStart>> = Vec::new();
        let mut bytes = 0;
        for start in std::mem::take(&mut self.starts) {
            let added = groups.last().and_then(|group| group.last());
            let added = start.bytes_after(added);
            match groups.last_mut() {
                Some(group) if bytes + added <= max_bytes => {
                    bytes += added;
                    group.push(start);
                }
                _ => {
                    bytes = start.bytes_after(None);
                    groups.push(vec![start]);
                }
            }
        }
        // A fence, and the agent's attention after the order, take effect after all starts.
        let last = Self {
            starts: groups.pop().unwrap_or_default(),
            fence: self.fence,
            attention: self.attention,
            ..Self::default()
        };
        let others = groups.into_iter().map(|starts| Self {
            starts,
            ..Self::default()
        });
        let mut parts: Vec<Self> = others.chain([last]).collect();
        if let Some(first) = parts.first_mut() {
            first.stops = self.stops;
            first.confirmed = self.confirmed;
            first.speed = self.speed;
        }
        parts
    }

    /// Returns whether the order requires nothing. An estimate of the speed alone isn't worth an
    /// append.
    pub fn is_empty(&self) -> bool {
        let only_speed = Self {
            speed: self.speed,
            ..Self::default()
        };
        *self == only_speed
    }

    /// Returns the agent's attention after the order, if that may differ from before.
    pub fn attention_after(&self) -> Option<Attention> {
        let starts = !self.starts.is_empty();
        self.attention.or(starts.then_some(Attention::Close))
    }
}

/// A record of an orders partition, which several agents may share.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum OrderMessage {
    /// An agent begins a session. The offset of the record is the number of the session. It increases
    /// across all processes and incarnations, so it also serves as the fencing token of the agent's
    /// calls to its worker. A second record, in the lane of the worker's address, gives the session its
    /// [`Succession`].
    Session {
        /// The name of the worker, or its address.
        worker: Name,
    },
    /// An order for one session of a worker's agent.
    Order {
        /// The name of the worker.
        worker: Name,
        /// The number of the session that the order is for.
        session: u64,
        /// What the agent has to start, stop or confirm, and whether the session is fenced.
        order: Order,
    },
}

/// The place of an incarnation among all those that have answered at one address.
///
/// No two workers are at an address at the same time, so of two incarnations there the one with the
/// lower number has ended. The store assigns the number, after the incarnation has answered. It is
/// reported once the incarnation has answered again, so neither a late append nor the time of day can
/// put two of them out of order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Succession {
    /// The address at which the agent calls its worker.
    #[serde(rename = "a")]
    pub address: Name,
    /// The offset of a session record in the lane of the address.
    #[serde(rename = "n", deserialize_with = "exact_number")]
    pub number: u64,
}

/// An agent's report about its worker. Each report holds the complete state, so that reading the
/// newest one is enough.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// The newest heartbeat of the worker.
    #[serde(rename = "h")]
    pub heartbeat: Heartbeat,
    /// The number of the agent's session.
    #[serde(rename = "s", deserialize_with = "exact_number")]
    pub session: u64,
    /// The number of the report, which increases with each report of a session.
    #[serde(rename = "q", deserialize_with = "exact_number")]
    pub sequence: u64,
    /// When the report was sent, in Unix milliseconds on the agent's host. It only hints at the age of
    /// the report, since clocks may jump.
    #[serde(rename = "a", default)]
    pub sent_ms: u64,
    /// The offset before which all orders are carried out, except for the runs in `starting`.
    #[serde(rename = "o", deserialize_with = "exact_number")]
    pub orders_seen: u64,
    /// The runs with a start or stop that the worker hasn't answered or whose result its lists don't
    /// reflect yet.
    #[serde(rename = "g", default, skip_serializing_if = "Vec::is_empty")]
    pub starting: Vec<RunId>,
    /// The starts that the worker or the agent refused, each with the reason.
    #[serde(rename = "f", default, skip_serializing_if = "Vec::is_empty")]
    pub refused: Vec<(RunId, StartOutcome)>,
    /// The tasks that run on the worker.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub running: Vec<RunningTask>,
    /// The progress of the running tasks, in the same order; shorter or empty if the agent doesn't
    /// report it.
    #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
    pub progress: Vec<Progress>,
    /// The paces of runs that save checkpoints.
    #[serde(rename = "v", default, skip_serializing_if = "Vec::is_empty")]
    pub paces: Vec<Pace>,
    /// The ends that the planner hasn't confirmed.
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub ends: Vec<End>,
    /// The milliseconds that the whole work of each ended run took by its progress, in the order of
    /// `ends`; 0 if unknown. Empty if the agent doesn't report it.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub end_totals_ms: Vec<u64>,
    /// Whether the session is over and no run of it is left: it was fenced, or the worker has ended.
    #[serde(rename = "z", default, skip_serializing_if = "is_false")]
    pub closed: bool,
    /// Whether the worker has announced that it is ending.
    #[serde(rename = "b", default, skip_serializing_if = "is_false")]
    pub left: bool,
    /// Whether the agent can start nothing there: the worker doesn't answer it, another incarnation
    /// answers under its name, or the session is fenced and still has runs.
    #[serde(rename = "u", default, skip_serializing_if = "is_false")]
    pub unreachable: bool,
    /// How closely the agent follows, and so when the next report is due.
    #[serde(rename = "t", default, skip_serializing_if = "Attention::is_close")]
    pub attention: Attention,
    /// The newest estimate of the worker's speed that a planner has told the agent since the worker
    /// booted.
    #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
    pub speed: Option<SpeedEstimate>,
    /// Which of the incarnations at its address the worker is, if the agent can prove that.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub succession: Option<Succession>,
}

impl Report {
    /// Returns whether the report tells the planner something on which a decision may depend now,
    /// compared with the report before it. The progress of runs isn't such news: it changes with
    /// each report, and the planner looks at it in its regular passes.
    pub fn has_news_since(&self, before: Option<&Self>) -> bool {
        before.is_none_or(|before| {
            let state = |r: &Self| (r.session, r.closed, r.left, r.unreachable, r.attention);
            !self.ends.is_empty()
                || state(self) != state(before)
                || !self.heartbeat.repeats(&before.heartbeat)
        })
    }
}
