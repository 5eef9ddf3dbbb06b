//! The interface between an agent and its worker.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::{
    utils::{Name, exact_number},
    workload::{Resources, RunId},
};

/// The state that a worker reports at regular intervals.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The worker's name. A restarted worker may keep its name.
    pub worker: Name,
    /// When it started, in Unix milliseconds; distinguishes incarnations of the same name.
    pub born_ms: u64,
    /// The address that it listens on, which no two workers share at the same time.
    #[serde(default)]
    pub address: Name,
    /// The service whose pool it belongs to.
    pub service: Name,
    /// Its failure domain.
    pub failure_domain: Name,
    /// Whether it will leave soon and accepts no new work.
    pub draining: bool,
    /// The resources that all its running tasks may use together.
    pub capacity: Resources,
    /// All its labels.
    pub labels: Vec<Name>,
    /// The rack that it is in, if it reports one.
    pub rack: Option<Name>,
    /// The least time that a draining worker will stay, in milliseconds, if it reports one.
    #[serde(default)]
    pub remaining_ms: Option<u64>,
    /// Increases with each heartbeat of one incarnation.
    #[serde(deserialize_with = "exact_number")]
    pub sequence: u64,
}

/// Maximum size in bytes of a name that a worker sends about itself; a key of the store holds more.
const MAX_NAME_BYTES: usize = 253;

/// Maximum number of a worker's labels.
const MAX_LABELS: usize = 64;

impl Heartbeat {
    /// Returns the first field that is too large. A report repeats all of them and has to fit into a record
    /// of the store beside the lists of a busy worker, so a heartbeat with such a field must not be accepted.
    pub fn oversized_field(&self) -> Option<&'static str> {
        let is_long = |name: &Name| name.len() > MAX_NAME_BYTES;
        let fields = [
            ("worker", is_long(&self.worker)),
            ("address", is_long(&self.address)),
            ("service", is_long(&self.service)),
            ("failure_domain", is_long(&self.failure_domain)),
            ("rack", self.rack.as_ref().is_some_and(is_long)),
            (
                "labels",
                self.labels.len() > MAX_LABELS || self.labels.iter().any(is_long),
            ),
        ];
        let oversized = fields.into_iter().find(|(_, is_large)| *is_large);
        oversized.map(|(field, _)| field)
    }

    /// Returns whether this names the service, address and failure domain of `other`, which don't change
    /// while a worker lives.
    pub fn has_place_of(&self, other: &Self) -> bool {
        self.service == other.service
            && self.address == other.address
            && self.failure_domain == other.failure_domain
    }

    /// Returns whether this says the same as `other`, apart from the sequence number.
    pub fn repeats(&self, other: &Self) -> bool {
        let same = Self {
            sequence: other.sequence,
            ..self.clone()
        };
        same == *other
    }
}

/// A task that is running on a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunningTask {
    /// Which run of which task.
    #[serde(rename = "r")]
    pub run: RunId,
    /// Its newest checkpoint; empty if it has none.
    #[serde(rename = "c", default, skip_serializing_if = "String::is_empty")]
    pub checkpoint: String,
    /// How much of its work is done, in percent; a task that serves users reports 100 once it is
    /// serving.
    #[serde(rename = "p", default)]
    pub percent: u32,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum EndKind {
    /// The task is done.
    Done,
    /// The task or its worker failed.
    Failed,
    /// The run was ordered to stop.
    Stopped,
    /// The worker's lease expired.
    LeaseExpired,
    /// Another member of its gang ended.
    GangBroken,
    /// The other members of its gang did not start in time.
    GangIncomplete,
    /// An end that the adapter does not know; it counts as an end without a fault.
    Other,
}

/// The end of a run, as the worker lists it until it is confirmed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct End {
    /// The number of this end among those of one incarnation of the worker, from 1 on.
    #[serde(rename = "n", deserialize_with = "exact_number")]
    pub number: u64,
    /// Which run of which task.
    #[serde(rename = "r")]
    pub run: RunId,
    /// How it ended.
    #[serde(rename = "k")]
    pub kind: EndKind,
    /// Its last checkpoint; empty if it has none.
    #[serde(rename = "c", default, skip_serializing_if = "String::is_empty")]
    pub checkpoint: String,
}

/// The runs and ends that a worker lists.
#[derive(Clone, Debug, Default)]
pub struct WorkerLists {
    /// The worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// When the worker started, in Unix milliseconds, if it reports it.
    pub born_ms: Option<u64>,
    /// The running tasks.
    pub running: Vec<RunningTask>,
    /// The ends of runs that the agent has not confirmed yet, oldest first.
    pub run_ends: Vec<End>,
}

/// An order to start a run.
#[derive(Clone, Debug)]
pub struct StartOrder {
    /// Which run of which task.
    pub run: RunId,
    /// The task's input as submitted by the caller.
    pub payload: Arc<str>,
    /// The checkpoint that the task resumes from; empty to start from the beginning.
    pub checkpoint: String,
    /// When the lease of everything on the worker expires, in milliseconds of the worker's own
    /// clock.
    pub lease_until_ms: u64,
    /// When the call must no longer be sent. It is before the planner may count the lease as expired: a
    /// worker that has restarted under its name doesn't refuse the old lease, since its clock began anew.
    pub send_before: Instant,
    /// The fencing token.
    pub token: u64,
    /// The ticket that proves that the queue's policy allows this worker to run the step.
    pub ticket: Option<String>,
}

/// The outcome of a start order at a worker.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StartOutcome {
    /// The run exists on the worker.
    Started,
    /// The worker has seen a higher fencing token.
    Fenced,
    /// The worker has already stopped or ended this run or a later one of the task.
    Superseded,
    /// The lease in the order had already expired.
    Expired,
    /// The task does not fit beside the running ones.
    NoRoom,
    /// The ticket for the queue's policy was refused.
    NoTicket,
    /// The worker could not parse the order.
    Malformed,
    /// The worker is unhealthy and did nothing.
    Unhealthy,
    /// Another incarnation of the worker answered.
    OtherLife,
    /// The agent did not call the worker, which will leave soon.
    Draining,
}

quick_error! {
    /// Why a call to a worker returned no result.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum CallError {
        /// The call was not sent; nothing was done.
        NotSent(reason: String) {
            display("not sent: {reason}")
        }
        /// The call may have been carried out, or may still be.
        NoAnswer(reason: String) {
            display("no answer: {reason}")
        }
        /// Nothing listens on the worker's address; nothing was done.
        NotListening {
            display("nothing listens on the worker's address")
        }
        /// Another incarnation of the worker answered; nothing was done.
        OtherLife {
            display("another incarnation of the worker answered")
        }
        /// The worker has seen a higher fencing token; nothing was done.
        Fenced {
            display("the worker has seen a higher fencing token")
        }
        /// The worker refused the call; nothing was done.
        Refused(status: u16) {
            display("refused with status {status}")
        }
    }
}

/// Access to an agent's worker.
#[expect(
    async_fn_in_trait,
    reason = "a process runs all its tasks on one thread"
)]
pub trait Worker: 'static {
    /// Returns the address that all calls go to. No two workers are there at the same time.
    fn address(&self) -> Name;

    /// Starts a run. The call may have to wait for a connection, so `may_send` is asked just before it is
    /// sent; if it returns `false`, the result is [`CallError::NotSent`].
    async fn start(
        &self,
        worker: &str,
        order: &StartOrder,
        may_send: &dyn Fn() -> bool,
    ) -> Result<StartOutcome, CallError>;

    /// Stops a run, or ensures that it never starts.
    async fn stop(&self, worker: &str, run: &RunId, token: u64) -> Result<(), CallError>;

    /// Confirms all ends of runs whose number is at most `confirmed_end`, so that the worker need not
    /// list them again, extends the lease to `lease_until_ms` of the
    /// worker's clock if given, and waits up to `wait` for a run to end.
    async fn renew(
        &self,
        worker: &str,
        token: u64,
        confirmed_end: u64,
        lease_until_ms: Option<u64>,
        wait: Duration,
    ) -> Result<WorkerLists, CallError>;
}

/// Receives the messages that workers send about themselves.
pub trait Registry: 'static {
    /// Handles a heartbeat; returns whether it was accepted and may be confirmed.
    fn heartbeat(&self, heartbeat: Heartbeat) -> bool;

    /// Handles the message that a worker is shutting down, with its start in Unix milliseconds if the
    /// message names it.
    fn leave(&self, worker: &str, born_ms: Option<u64>);
}
