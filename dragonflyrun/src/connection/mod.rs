//! Connections: peer links, the HTTP server, and clients of the platform's services.

mod backend_client;
pub mod codec;
mod handshake;
mod http_server;
mod links;
mod log_client;
mod message;
mod record;
mod seal;
mod worker_client;

pub use backend_client::{BackendRequest, run_at_backend};
pub use handshake::{Peer, Role};
pub use http_server::{Handler, HttpLimits, HttpRequest, HttpResponse, HttpServer};
pub use links::{LinkEvent, LinkSettings, Links, OpenLink, SendError};
pub use log_client::{LogClient, LogError, LogPage, LogRecord};
pub use message::{
    AgentReport, BackendReport, EntryReport, GangMessage, Heartbeat, KeyMessage, KeyVerdict,
    LogView, MemberReport, MemberState, Message, NotRun, Outcome, Report, RequestId,
    RequestMessage, TaskOrder,
};
pub use record::{
    Edit, JobEnd, Placement, Record, RecordBody, RepeatedConfiguration, RepeatedEntry,
    RepeatedMembership, RepeatedSection, RepeatedState,
};
pub use seal::{
    AuthorKey, MAX_RECORD_BYTES, OpenError, editor_of, is_backend_token, is_editor_token, open,
    open_unchecked,
};
pub use worker_client::{
    LeaseState, StartTasks, TaskUsage, WorkerClient, WorkerError, WorkerLease, WorkerView,
};
