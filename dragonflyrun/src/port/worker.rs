//! A worker as its agent sees it, and what a worker says of itself.

use std::{sync::Arc, time::Duration};

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::{
    utils::Name,
    workload::{Resources, RunId},
};

/// What a worker says of itself, over and over.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The worker's name. A worker that starts again may take the same name.
    pub worker: Name,
    /// Unix milliseconds of its start; tells two lives under one name apart.
    pub born_ms: u64,
    /// Where it listens; no two workers do so at one address at once.
    #[serde(default)]
    pub address: Name,
    /// The pool that it serves.
    pub service: Name,
    /// Its failure domain.
    pub failure_domain: Name,
    /// Whether it is about to leave and takes no new work.
    pub draining: bool,
    /// What it can run at once.
    pub capacity: Resources,
    /// Its labels, all of them.
    pub labels: Vec<Name>,
    /// The rack it stands in, where it names one.
    pub rack: Option<Name>,
    /// Milliseconds that a draining worker stays at the least, where it says so.
    #[serde(default)]
    pub remaining_ms: Option<u64>,
    /// Rises with each heartbeat of one life.
    pub sequence: u64,
}

/// A task that runs on a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunningTask {
    /// Which run of which task.
    #[serde(rename = "r")]
    pub run: RunId,
    /// Its newest checkpoint; empty for none.
    #[serde(rename = "c", default, skip_serializing_if = "String::is_empty")]
    pub checkpoint: String,
    /// How much of its work is done, in percent; one that serves users is at work at 100.
    #[serde(rename = "p", default)]
    pub percent: u32,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum EndKind {
    /// The task is done.
    Done,
    /// The task or its worker is at fault.
    Failed,
    /// It was told to stop.
    Stopped,
    /// The worker's lease ran out.
    LeaseExpired,
    /// Another member of its gang ended.
    GangBroken,
    /// It waited in vain for the other members of its gang.
    GangIncomplete,
    /// The adapter knows no such end; it counts as a run that ended without fault.
    Other,
}

/// The end of a run, as the worker lists it until it is confirmed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct End {
    /// Numbers the ends of one life of the worker, from 1 on.
    #[serde(rename = "n")]
    pub number: u64,
    /// Which run of which task.
    #[serde(rename = "r")]
    pub run: RunId,
    /// How it ended.
    #[serde(rename = "k")]
    pub kind: EndKind,
    /// Its last checkpoint; empty for none.
    #[serde(rename = "c", default, skip_serializing_if = "String::is_empty")]
    pub checkpoint: String,
}

/// What a worker lists.
#[derive(Clone, Debug, Default)]
pub struct WorkerLists {
    /// The worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// Unix milliseconds of the worker's start, where it says so.
    pub born_ms: Option<u64>,
    /// What runs.
    pub running: Vec<RunningTask>,
    /// Ends that have not been confirmed, oldest first.
    pub ends: Vec<End>,
}

/// An order to start a run.
#[derive(Clone, Debug)]
pub struct StartOrder {
    /// Which run of which task.
    pub run: RunId,
    /// What the caller handed in for the task to work on.
    pub payload: Arc<str>,
    /// Where the task goes on; empty for the beginning.
    pub checkpoint: String,
    /// The worker's own clock at which everything on it loses its lease, in milliseconds.
    pub lease_until_ms: u64,
    /// The fencing token.
    pub token: u64,
    /// Proof for the queue's policy that the worker may run the step.
    pub ticket: Option<String>,
}

/// What a worker made of a start order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StartOutcome {
    /// The run is there.
    Started,
    /// The worker has seen a higher fencing token.
    Fenced,
    /// The worker has stopped or ended this run or a later one.
    Superseded,
    /// The lease in the order has already run out.
    Expired,
    /// The task does not fit beside what runs.
    NoRoom,
    /// The proof for the queue's policy was refused.
    NoTicket,
    /// The worker could not read the order.
    Malformed,
    /// The worker is not well and did nothing.
    Unhealthy,
    /// Another life of the worker answered.
    OtherLife,
    /// The agent did not ask the worker, which is about to leave.
    Draining,
}

quick_error! {
    /// Why a call to a worker gave no answer.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum CallError {
        /// The call may have been carried out, or may be yet.
        NoAnswer(reason: String) {
            display("no answer: {reason}")
        }
        /// Nobody listens at the worker's address; nothing was done.
        NotListening {
            display("nobody listens there")
        }
        /// Another life of the worker answered; nothing was done.
        OtherLife {
            display("another life of the worker answered")
        }
        /// The worker refused; nothing was done.
        Refused(status: u16) {
            display("refused with status {status}")
        }
    }
}

/// The worker beside an agent.
#[expect(
    async_fn_in_trait,
    reason = "a process runs all its tasks on one thread"
)]
pub trait Worker: 'static {
    /// Starts a run.
    async fn start(&self, worker: &str, order: &StartOrder) -> Result<StartOutcome, CallError>;

    /// Stops a run, or makes sure that it never starts.
    async fn stop(&self, worker: &str, run: &RunId, token: u64) -> Result<(), CallError>;

    /// Confirms ends up to `confirmed`, extends the lease to `lease_until_ms` on the worker's
    /// clock where given, and waits up to `wait` for an end.
    async fn renew(
        &self,
        worker: &str,
        token: u64,
        confirmed: u64,
        lease_until_ms: Option<u64>,
        wait: Duration,
    ) -> Result<WorkerLists, CallError>;
}

/// Takes what workers say of themselves.
pub trait Registry: 'static {
    /// Takes a heartbeat; returns whether it was taken in and may be confirmed.
    fn heartbeat(&self, heartbeat: Heartbeat) -> bool;

    /// Takes note that a worker ends now.
    fn leave(&self, worker: &str);
}
