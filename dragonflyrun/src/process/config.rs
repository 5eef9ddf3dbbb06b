//! The settings file as it is written in JSON: every field is optional and has its default.

use serde::{Deserialize, Serialize};

use crate::{connection::Role, utils::Name};

/// The daemon's settings; `docs/OPERATIONS.md` shows an example of each role.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// `entry` or `agent`. Required.
    pub role: Option<Role>,
    /// The name of this process, unique in the deployment; an agent's is also its worker's.
    /// Required.
    pub name: Option<Name>,
    /// `IP:port` of the HTTP listener: callers and operators at an entry, backend servers at an
    /// agent. Required.
    pub http: Option<String>,
    /// `IP:port` of an entry's listener for peer links. Required at an entry.
    pub peers: Option<String>,
    /// `IP:port` under which other processes reach that listener. Default: the bound address.
    pub advertise: Option<String>,
    /// `IP:port` of the platform's log service. Required.
    pub log: Option<String>,
    /// The secret that all processes of one deployment share, of 16 characters at least. Required.
    pub secret: Option<Name>,
    /// `IP:port` of entries to link to before the log has been read. Default: none.
    pub entries: Option<Vec<String>>,
    /// The failure domain that an agent stands in. Required at an agent.
    pub failure_domain: Option<Name>,
    /// The rack that an agent stands in. Required at an agent.
    pub rack: Option<Name>,
    /// `IP:port` of the worker beside an agent. Default: none, the agent runs no tasks.
    pub worker: Option<String>,
    /// HTTP connections at once, at the most. Default: 256.
    pub connections: Option<u32>,
    /// Milliseconds that a sender or a reader of HTTP may pause. Default: 5,000.
    pub http_timeout_ms: Option<u64>,
    /// Milliseconds that the log has for an answer. Default: 2,000.
    pub log_timeout_ms: Option<u64>,
    /// Milliseconds for which a stopping process says on its readiness page that it is leaving and
    /// still takes work, so that the balancer can notice. Default: 1,000.
    pub quiet_ms: Option<u64>,
    /// Threads of the worker pool. Default: 4.
    pub threads: Option<u32>,
}

impl Config {
    /// Returns `self` with what `overrides` sets in place of its own.
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
