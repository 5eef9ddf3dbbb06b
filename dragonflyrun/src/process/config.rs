//! The settings file as written in JSON: every field is optional here, and required ones are
//! checked later.

use serde::{Deserialize, Serialize};

use crate::{connection::Role, utils::Name};

/// The daemon's settings; `docs/OPERATIONS.md` has an example for each role.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// `entry` or `agent`. Required.
    pub role: Option<Role>,
    /// The name of this process, unique in the deployment. An agent's name is also the name of its
    /// worker. Required.
    pub name: Option<Name>,
    /// `IP:port` of the HTTP listener, which serves callers and operators at an entry and backend
    /// servers at an agent. Required.
    pub http: Option<String>,
    /// `IP:port` of an entry's listener for peer links. Required for an entry.
    pub peers: Option<String>,
    /// `IP:port` at which other processes reach that listener. Default: the bound address.
    pub advertise: Option<String>,
    /// `IP:port` of the platform's log service. Required.
    pub log: Option<String>,
    /// The secret shared by all processes of one deployment, at least 16 characters long. Required.
    pub secret: Option<Name>,
    /// `IP:port` of the entries to link to before the log has been read. Default: none.
    pub entries: Option<Vec<String>>,
    /// The failure domain of an agent. Required for an agent.
    pub failure_domain: Option<Name>,
    /// The rack of an agent. Required for an agent.
    pub rack: Option<Name>,
    /// `IP:port` of the worker on the agent's host. Default: none; the agent then runs no tasks.
    pub worker: Option<String>,
    /// Maximum number of concurrent HTTP connections. Default: 256.
    pub connections: Option<u32>,
    /// Milliseconds that an HTTP client may pause while it sends a request or reads an answer.
    /// Default: 5,000.
    pub http_timeout_ms: Option<u64>,
    /// Timeout of a call to the log, in milliseconds. Default: 2,000.
    pub log_timeout_ms: Option<u64>,
    /// Milliseconds for which a stopping process reports on its readiness page that it is leaving,
    /// but still accepts work, so that the load balancer can react. Default: 1,000.
    pub quiet_ms: Option<u64>,
    /// Number of threads in the worker pool. Default: 4.
    pub threads: Option<u32>,
}

impl Config {
    /// Returns `self` with the fields that `overrides` sets replaced.
    pub fn merge(self, overrides: Self) -> Self {
        Self {
            role: overrides.role.or(self.role),
            name: overrides.name.or(self.name),
            http: overrides.http.or(self.http),
            peers: overrides.peers.or(self.peers),
            advertise: overrides.advertise.or(self.advertise),
            log: overrides.log.or(self.log),
            secret: overrides.secret.or(self.secret),
            entries: overrides.entries.or(self.entries),
            failure_domain: overrides.failure_domain.or(self.failure_domain),
            rack: overrides.rack.or(self.rack),
            worker: overrides.worker.or(self.worker),
            connections: overrides.connections.or(self.connections),
            http_timeout_ms: overrides.http_timeout_ms.or(self.http_timeout_ms),
            log_timeout_ms: overrides.log_timeout_ms.or(self.log_timeout_ms),
            quiet_ms: overrides.quiet_ms.or(self.quiet_ms),
            threads: overrides.threads.or(self.threads),
        }
    }
}
