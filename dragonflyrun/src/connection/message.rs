//! Messages between the processes of a deployment; see `docs/DESIGN.md`, peer links.

use serde::{Deserialize, Serialize};

use crate::{
    connection::LogRecord,
    job::GangId,
    utils::Name, //
};

/// One message on a peer link, encoded as CBOR in one WebSocket frame.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// Reports that the sender is alive. Sent at a fixed interval, and immediately after some
    /// changes.
    Heartbeat(Box<Heartbeat>),
    /// Log records for a peer that may be unable to reach the log.
    Records(Vec<LogRecord>),
    /// Requests the records from an offset on; the sender lacks them and can't reach the log.
    Missing {
        /// The first offset that the sender lacks.
        from: u64,
    },
    /// Concerns a caller's request.
    Request(RequestMessage),
    /// Concerns an idempotency key.
    Key(KeyMessage),
    /// Concerns the members of a gang.
    Gang(GangMessage),
}

/// A heartbeat, with the sender's state if that has changed.
///
/// Most messages between processes are heartbeats, so the fields have short names on the wire.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The time on the sender's clock in milliseconds. Lease renewals echo it.
    #[serde(rename = "s")]
    pub sent_ms: u64,
    /// The `sent_ms` of the last heartbeat that the sender received on this link. It proves to the
    /// receiver that the sender was alive after that time on the receiver's own clock, even if
    /// this message waited in a buffer while the receiver was frozen.
    #[serde(rename = "e")]
    pub echo_ms: Option<u64>,
    /// The number of changes of the report so far, so that an unchanged report is not sent again.
    #[serde(rename = "c")]
    pub change: u64,
    /// The sender's view of the log.
    #[serde(rename = "l")]
    pub log: LogView,
    /// The report as of `change`; absent if it has already been sent on this link.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub report: Option<Report>,
}

/// The state that a process reports to its peers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Report {
    /// The full report of an agent.
    Agent(AgentReport),
    /// The backend servers of an agent, sent if nothing else in its report has changed. Their free
    /// slots change with every request, whereas the gang members, which may be many, rarely change.
    Backends(Vec<BackendReport>),
    /// The report of an entry.
    Entry(EntryReport),
}

/// How far a process has read the log, and whether it can reach it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogView {
    /// The offset after the last record that the process has applied.
    #[serde(rename = "n")]
    pub next_offset: u64,
    /// Milliseconds since the process was last known to have read up to the head of the log; `None`
    /// if it never was.
    #[serde(rename = "a")]
    pub age_ms: Option<u64>,
    /// Whether the last attempt to read the log succeeded.
    #[serde(rename = "r")]
    pub reachable: bool,
    /// Whether an append by the process may have taken effect without being answered.
    #[serde(rename = "p")]
    pub append_pending: bool,
    /// The offset of the configuration in force.
    #[serde(rename = "v")]
    pub version: u64,
}

/// The state of an agent: its worker, backend servers and gang members.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct AgentReport {
    /// The failure domain from the agent's settings.
    pub failure_domain: Name,
    /// The rack from the agent's settings.
    pub rack: Name,
    /// Number of accelerators of the worker; zero while the worker does not answer.
    pub accelerators: u32,
    /// The backend servers that have announced themselves to the agent.
    pub backends: Vec<BackendReport>,
    /// The gang members on the worker.
    pub members: Vec<MemberReport>,
    /// Whether the agent is stopping and accepts no new work.
    pub leaving: bool,
}

/// The state of a backend server as its agent knows it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BackendReport {
    /// The name under which the backend server announced itself.
    pub name: Name,
    /// The service that it runs.
    pub service: Name,
    /// Maximum number of requests that it runs concurrently.
    pub slots: u32,
    /// Number of slots that are not in use.
    pub free: u32,
    /// Whether the backend server gets no new work.
    pub leaving: bool,
}

/// The state of an entry.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryReport {
    /// Whether the entry is stopping.
    pub leaving: bool,
    /// The address at which other processes reach the entry.
    pub address: Name,
}

/// Identifies a request at one entry. Unique during the lifetime of the entry's process.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestId {
    /// The entry's name with a random number chosen when its process started.
    pub entry: Name,
    /// The sequence number of the request in that process.
    pub number: u64,
}

/// A message about a caller's request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum RequestMessage {
    /// Entry to agent: run this request now or refuse it.
    Run {
        /// The request; its answer has the same id.
        id: RequestId,
        /// The incarnation of the agent on whose clock the deadline is expressed.
        incarnation: u64,
        /// The service that is to run it.
        service: Name,
        /// The idempotency key, if the caller gave one.
        key: Option<Name>,
        /// The request that holds the grant of the key, if the request may run only once.
        #[serde(rename = "claim")]
        granted_request: Option<RequestId>,
        /// The caller's deadline on the agent's own clock, computed from its last heartbeat.
        ///
        /// A message that was delayed by a frozen process or a network failure can arrive
        /// arbitrarily late. A deadline on the agent's own clock lets the agent detect this and
        /// refuse a request that the caller has already given up.
        deadline_ms: u64,
        /// The complete body.
        #[serde(with = "serde_bytes")]
        body: Vec<u8>,
    },
    /// Agent to entry: the agent's final answer.
    Answer {
        /// The request that is answered.
        id: RequestId,
        /// The outcome of the request.
        outcome: Outcome,
        /// Number of free slots of the service at this agent after the request.
        free: u32,
    },
    /// Entry to agent: the answer has arrived, so the agent can delete its copy.
    Received {
        /// The request whose answer has arrived.
        id: RequestId,
    },
}

/// The outcome of a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// The request ran, and this is its complete answer.
    Done {
        /// The backend server's HTTP status.
        status: u16,
        /// Length of the body in bytes, used to detect a truncated body.
        length: u64,
        /// The complete body.
        #[serde(with = "serde_bytes")]
        body: Vec<u8>,
    },
    /// The request did not run and will not run.
    NotRun {
        /// The reason why it does not run.
        reason: NotRun,
        /// Milliseconds after which the caller should try again.
        retry_after_ms: u64,
    },
    /// The request ran at most once; whether it ran is not known.
    Unknown,
}

/// The reason why a request did not run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRun {
    /// The service is not in the configuration.
    UnknownService,
    /// The request violates a rule of the interface.
    Malformed,
    /// The body exceeds the limit.
    TooLarge,
    /// The maximum number of requests is already waiting.
    QueueFull,
    /// The request could not start before its deadline.
    Deadline,
    /// No backend server of the service is known.
    NoBackend,
    /// All slots are in use.
    Busy,
    /// The retry budget is exhausted.
    RetryBudget,
    /// The process is stopping.
    Leaving,
    /// The failure domain is out of service.
    OutOfService,
    /// The backend server refused the connection.
    Refused,
    /// A request with the same key is running.
    KeyRunning,
    /// The owner of the key can't rule out that another process also acts as the owner.
    KeyUnsettled,
    /// The process does not have the latest state of the log.
    NotFresh,
}

/// A message about an idempotency key, whose request may run only once.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum KeyMessage {
    /// Entry to owner: asks whether this attempt may run.
    Claim {
        /// The request that claims the key.
        id: RequestId,
        /// The service that the request is for.
        service: Name,
        /// The idempotency key of the caller.
        key: Name,
        /// The number of this attempt with the key, counted by the caller from 1.
        attempt: u32,
        /// The incarnation of the owner on whose clock the times are expressed.
        incarnation: u64,
        /// The time of sending on the owner's clock, computed from its last heartbeat; see
        /// [`RequestMessage::Run`].
        sent_ms: u64,
        /// The caller's deadline on the owner's clock. The request does not start after it.
        deadline_ms: u64,
    },
    /// Owner to entry: the decision about a claim.
    Verdict {
        /// The request that claimed the key.
        id: RequestId,
        /// The decision on the claim.
        verdict: KeyVerdict,
    },
    /// Entry or agent to owner: the outcome of a request that held the grant of a key.
    Settle {
        /// The service that the key belongs to.
        service: Name,
        /// The idempotency key of the caller.
        key: Name,
        /// The request that held the grant.
        id: RequestId,
        /// The outcome of that request.
        outcome: Outcome,
    },
}

/// An owner's decision about a key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum KeyVerdict {
    /// This attempt may run, and no other may.
    Granted,
    /// An earlier attempt ran with this outcome.
    Known(Outcome),
    /// The request may not run now and did not run in this attempt.
    Refused {
        /// The reason why it does not run.
        reason: NotRun,
        /// Milliseconds after which the caller should try again.
        retry_after_ms: u64,
    },
    /// An earlier attempt may have run.
    Unknown,
}

/// A message about the members of a gang.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum GangMessage {
    /// Planner to agent: reserve the accelerators for this member.
    Reserve(TaskOrder),
    /// Planner to agent: start the tasks, since the start is recorded on the log.
    Go {
        /// The planner's term, which may be later than that of the gang.
        term: u64,
        /// The job, attempt and term that identify the gang.
        gang: GangId,
        /// An offset of the log; the start is known to be recorded at or before it.
        offset: u64,
    },
    /// Planner to agent: stop the member, or release its reservation.
    Stop {
        /// The planner's term, which may be later than that of the gang.
        term: u64,
        /// The job, attempt and term that identify the gang.
        gang: GangId,
        /// Whether to save a checkpoint first.
        checkpoint: bool,
    },
    /// Entry to agent: all members of these gangs have reported, so their leases are renewed.
    Renewal {
        /// The `sent_ms` of the agent's heartbeat that this message answers.
        echo_ms: u64,
        /// Milliseconds since the time at which every member of the gangs was certainly alive.
        age_ms: u64,
        /// The [`MemberReport::number`] of each member of this agent whose gang is renewed.
        members: Vec<u64>,
    },
    /// Entry to agent: a member of the gang is lost, so the others stop with a checkpoint.
    Broken {
        /// The job, attempt and term that identify the gang.
        gang: GangId,
    },
}

/// An order to an agent to run one member of a gang. A gang has at most one member on a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskOrder {
    /// The gang. Its term is the planner's; an agent refuses a term older than the highest that it
    /// has seen.
    pub gang: GangId,
    /// The number of this member, counted from 0.
    pub member: u32,
    /// Number of members of the gang, one on each worker.
    pub members: u32,
    /// Number of tasks of this member.
    pub tasks: u32,
    /// Number of accelerators for each task.
    pub accelerators: u32,
    /// The program to run.
    pub program: Name,
    /// Whether to resume from a checkpoint.
    pub resume: bool,
}

/// The state of one member, as its agent knows it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberReport {
    /// The sequence number of the member in the agent's process. A number is short, which matters
    /// because renewals name members often.
    pub number: u64,
    /// The job, attempt and term that identify the gang.
    pub gang: GangId,
    /// Number of members of the gang; 0 if the agent was ordered to stop a member that it never
    /// held.
    pub members: u32,
    /// The state of the member.
    pub state: MemberState,
}

/// The lifecycle state of a member.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// The order was refused or the worker did not start the member; no accelerators are held.
    Refused,
    /// The accelerators are held under a worker lease; no task is running.
    Reserved,
    /// The tasks are running.
    Running,
    /// The tasks are being stopped, or the reservation is being released.
    Stopping,
    /// All tasks succeeded.
    Finished,
    /// A task failed.
    Failed,
    /// The tasks were stopped, or the reservation was released.
    Stopped {
        /// Whether a checkpoint was saved.
        checkpointed: bool,
    },
}
