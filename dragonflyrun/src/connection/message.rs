//! What the system's own processes say to each other; see `docs/DESIGN.md`, peer links.

use serde::{Deserialize, Serialize};

use crate::{
    connection::LogRecord,
    job::GangId,
    utils::Name, //
};

/// One message on a peer link, encoded as CBOR in one WebSocket frame.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// The sender is alive; sent at a fixed interval and at once on some changes.
    Heartbeat(Box<Heartbeat>),
    /// Records of the log, for a peer that may not reach the log itself.
    Records(Vec<LogRecord>),
    /// The sender lacks the records from this offset on and can't reach the log.
    Missing {
        /// The first offset that it lacks.
        from: u64,
    },
    /// About a caller's request.
    Request(RequestMessage),
    /// About a key that may run once.
    Key(KeyMessage),
    /// About the members of a gang.
    Gang(GangMessage),
}

/// A sign of life, with the sender's state where that changed.
///
/// Most messages between processes are heartbeats, so their fields have short names on the wire.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The sender's clock in milliseconds; echoed in lease renewals.
    #[serde(rename = "s")]
    pub sent_ms: u64,
    /// The `sent_ms` of the last heartbeat that the sender had received on this link. It proves to
    /// the receiver that the sender was alive after that moment of the receiver's own clock, also
    /// where this message has waited in a buffer while the receiver was frozen.
    #[serde(rename = "e")]
    pub echo_ms: Option<u64>,
    /// Counts the changes of the report, so that an unchanged one need not be sent again.
    #[serde(rename = "c")]
    pub change: u64,
    /// What the sender knows of the log.
    #[serde(rename = "l")]
    pub log: LogView,
    /// The report as of `change`; absent where this link has already carried it.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub report: Option<Report>,
}

/// What a process is and has.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Report {
    /// From an agent.
    Agent(AgentReport),
    /// From an agent of whose report nothing else has changed: its backend servers. Their free
    /// slots change with every request, and the members, of which there may be many, seldom do.
    Backends(Vec<BackendReport>),
    /// From an entry.
    Entry(EntryReport),
}

/// How far a process has read the log, and whether it reaches it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogView {
    /// The offset after the last record it has folded.
    #[serde(rename = "n")]
    pub next_offset: u64,
    /// Milliseconds since it was last known to have read up to the log's head.
    #[serde(rename = "a")]
    pub age_ms: Option<u64>,
    /// Whether its last attempt to read the log succeeded.
    #[serde(rename = "r")]
    pub reachable: bool,
    /// Whether an append of its own may have taken effect without an answer.
    #[serde(rename = "p")]
    pub append_pending: bool,
    /// The offset of the configuration in force.
    #[serde(rename = "v")]
    pub version: u64,
}

/// What an agent has: its worker, backend servers and gang members.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct AgentReport {
    /// The failure domain from its settings.
    pub failure_domain: Name,
    /// The rack from its settings.
    pub rack: Name,
    /// Accelerators of its worker; zero while the worker does not answer.
    pub accelerators: u32,
    /// The backend servers that announced themselves.
    pub backends: Vec<BackendReport>,
    /// The gang members on its worker.
    pub members: Vec<MemberReport>,
    /// Whether it is stopping and takes no new work.
    pub leaving: bool,
}

/// A backend server as its agent sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BackendReport {
    /// The name it announced itself with.
    pub name: Name,
    /// The service it runs.
    pub service: Name,
    /// Requests it runs at once, at the most.
    pub slots: u32,
    /// Slots not in use.
    pub free: u32,
    /// Whether it gets no new work.
    pub leaving: bool,
}

/// What an entry says of itself.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryReport {
    /// Whether it is stopping.
    pub leaving: bool,
    /// Where other processes reach it.
    pub address: Name,
}

/// A request at one entry; unique for as long as the entry's process lives.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestId {
    /// The entry's name with a number drawn when its process started.
    pub entry: Name,
    /// Counts the requests of that process.
    pub number: u64,
}

/// About a caller's request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum RequestMessage {
    /// Entry to agent: run this now or refuse it.
    Run {
        /// Matches the answer to the request.
        id: RequestId,
        /// The agent's incarnation, whose clock the deadline is on.
        incarnation: u64,
        /// The service to run it.
        service: Name,
        /// The key, where the caller gave one.
        key: Option<Name>,
        /// The request that holds the key's grant, where the request may run once only.
        claim: Option<RequestId>,
        /// The caller's deadline on the agent's own clock, reckoned from its last heartbeat.
        ///
        /// A message that was held up in a frozen process or a broken network can arrive at any
        /// later time. With a deadline on its own clock the agent sees that, and does not run
        /// what the caller has long given up.
        deadline_ms: u64,
        /// The whole body.
        #[serde(with = "serde_bytes")]
        body: Vec<u8>,
    },
    /// Agent to entry: the final answer of this agent.
    Answer {
        /// The request it answers.
        id: RequestId,
        /// What became of it.
        outcome: Outcome,
        /// Free slots of the service at this agent after the request.
        free: u32,
    },
    /// Entry to agent: the answer has arrived, the agent need not keep it.
    Received {
        /// The request whose answer arrived.
        id: RequestId,
    },
}

/// What became of a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// It ran, and this is the whole answer.
    Done {
        /// The backend server's HTTP status.
        status: u16,
        /// Bytes of the body, to detect one that was cut off.
        length: u64,
        /// The whole body.
        #[serde(with = "serde_bytes")]
        body: Vec<u8>,
    },
    /// It did not run and will not.
    NotRun {
        /// Why.
        reason: NotRun,
        /// Milliseconds after which another attempt is worth while.
        retry_after_ms: u64,
    },
    /// It ran once at the most, and it is not known whether.
    Unknown,
}

/// Why a request did not run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRun {
    /// The service is not in the document.
    UnknownService,
    /// The request breaks a rule of the interface.
    Malformed,
    /// The body is over the limit.
    TooLarge,
    /// As many requests wait as may.
    QueueFull,
    /// It could not start before its deadline.
    Deadline,
    /// No backend server of the service is known.
    NoBackend,
    /// All slots are in use.
    Busy,
    /// The retry budget is used up.
    RetryBudget,
    /// The process is stopping.
    Leaving,
    /// The failure domain is out of service.
    OutOfService,
    /// The backend server refused the connection.
    Refused,
    /// A request with the same key is running.
    KeyRunning,
    /// The owner of the key can't exclude that another owner is at work.
    KeyUnsettled,
    /// The process does not know the latest state of the log.
    NotFresh,
}

/// About a key that may run once.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum KeyMessage {
    /// Entry to owner: may this attempt run?
    Claim {
        /// The request that asks.
        id: RequestId,
        /// The service it is for.
        service: Name,
        /// The caller's key.
        key: Name,
        /// The caller's count of attempts with this key, from 1.
        attempt: u32,
        /// The owner's incarnation, whose clock the times are on.
        incarnation: u64,
        /// When it was sent, on the owner's clock, reckoned from its last heartbeat; see `Run`.
        sent_ms: u64,
        /// The caller's deadline on the owner's clock; after it the request does not start.
        deadline_ms: u64,
    },
    /// Owner to entry: what it may do.
    Verdict {
        /// The request that asked.
        id: RequestId,
        /// The verdict.
        verdict: KeyVerdict,
    },
    /// Entry or agent to owner: what became of a granted key.
    Settle {
        /// The service of the key.
        service: Name,
        /// The caller's key.
        key: Name,
        /// The request that held the grant.
        id: RequestId,
        /// What became of it.
        outcome: Outcome,
    },
}

/// An owner's decision about a key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum KeyVerdict {
    /// This attempt, and no other, may run.
    Granted,
    /// It ran before, and this was the outcome.
    Known(Outcome),
    /// It may not run now; `reason` says why, and it did not run in this attempt.
    Refused {
        /// Why.
        reason: NotRun,
        /// Milliseconds after which another attempt is worth while.
        retry_after_ms: u64,
    },
    /// An earlier attempt may have run.
    Unknown,
}

/// About the members of a gang.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum GangMessage {
    /// Planner to agent: hold the accelerators for this member.
    Reserve(TaskOrder),
    /// Planner to agent: the start is on the log, start the tasks.
    Go {
        /// The planner's term, which may be later than that of the gang.
        term: u64,
        /// The gang.
        gang: GangId,
        /// An offset of the log at which the start is known to stand, there or before.
        offset: u64,
    },
    /// Planner to agent: stop the member, or give back its reservation.
    Stop {
        /// The planner's term, which may be later than that of the gang.
        term: u64,
        /// The gang.
        gang: GangId,
        /// Whether to save a checkpoint first.
        checkpoint: bool,
    },
    /// Entry to agent: all members of these gangs were heard, their leases go on.
    Renewal {
        /// The `sent_ms` of the heartbeat of this agent that is answered.
        echo_ms: u64,
        /// Milliseconds since which every member of the gangs was alive for certain.
        age_ms: u64,
        /// The `number` of each member of this agent whose gang is renewed.
        members: Vec<u64>,
    },
    /// Entry to agent: a member is lost, the others stop with a checkpoint.
    Broken {
        /// The gang.
        gang: GangId,
    },
}

/// What an agent is to run as one member of a gang; a gang has one member on a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskOrder {
    /// The gang. Its term is the planner's; one older than the highest seen is refused.
    pub gang: GangId,
    /// The number of this member, from 0.
    pub member: u32,
    /// How many members the gang has, one a worker.
    pub members: u32,
    /// Tasks of this member.
    pub tasks: u32,
    /// Accelerators of each task.
    pub accelerators: u32,
    /// The program to run.
    pub program: Name,
    /// Whether to go on from a checkpoint.
    pub resume: bool,
}

/// The state of one member, as its agent knows it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberReport {
    /// Counts the members that the agent's process has had; short, since renewals name it often.
    pub number: u64,
    /// The gang.
    pub gang: GangId,
    /// How many members the gang has; 0 where the agent was told to stop what it never held.
    pub members: u32,
    /// Its state.
    pub state: MemberState,
}

/// Where a member is in its life.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// The order was refused or the worker did not start it; nothing is held.
    Refused,
    /// The accelerators are held under a worker lease; no task runs.
    Reserved,
    /// The tasks run.
    Running,
    /// The tasks are being stopped, or the reservation is being given back.
    Stopping,
    /// All tasks ended well.
    Finished,
    /// A task ended badly.
    Failed,
    /// The tasks were stopped, or the reservation was given back.
    Stopped {
        /// Whether a checkpoint was saved.
        checkpointed: bool,
    },
}
