//! The backend servers of one agent and their slots.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    connection::BackendReport,
    utils::{HashMap, Name, Timestamp},
};

/// Time after which a backend server that does not renew its announcement gets no new requests.
pub const ANNOUNCEMENT_TTL: Duration = Duration::from_secs(3);

/// How long a backend server that refused a connection gets no requests.
const REFUSED_BACKOFF: Duration = Duration::from_millis(500);

/// Maximum number of slots of one backend server; each slot may use a thread of the agent.
const MAX_SLOTS_PER_BACKEND: u32 = 256;

/// Maximum number of backend servers of one agent.
const MAX_BACKENDS: usize = 64;

/// The announcement that a backend server sends every second.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BackendAnnouncement {
    /// The name of the backend server.
    pub name: Name,
    /// The service that it runs.
    pub service: Name,
    /// The address at which it accepts requests.
    pub address: SocketAddr,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Maximum number of concurrent connections.
    pub connections: u32,
    /// Whether it is leaving and gets no new requests.
    #[serde(default)]
    pub leaving: bool,
}

/// The choice of a backend server for a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BackendChoice {
    /// This backend server has a free slot.
    Free {
        /// The name of the backend server.
        name: Name,
        /// The address at which it accepts requests.
        address: SocketAddr,
    },
    /// No backend server of the service has a free slot now.
    Busy,
    /// No backend server runs the service.
    None,
}

/// The backend servers of one agent.
#[derive(Debug, Default)]
pub struct Backends {
    servers: HashMap<Name, Server>,
}

#[derive(Debug)]
struct Server {
    announced: BackendAnnouncement,
    renewed_at: Timestamp,
    /// Requests that may be running on the server. A request counts until the server has answered
    /// it or closed its connection, even if no caller waits for the answer any more.
    in_use: u32,
    refused_until: Timestamp,
}

impl Backends {
    /// Adds a backend server or renews its announcement.
    pub fn announce(&mut self, now: Timestamp, mut announced: BackendAnnouncement) {
        announced.slots = announced.slots.min(MAX_SLOTS_PER_BACKEND);
        if let Some(server) = self.servers.get_mut(&announced.name) {
            server.announced = announced;
            server.renewed_at = now;
            return;
        }
        if self.servers.len() >= MAX_BACKENDS {
            log::warn!(backend:% = announced.name; "announcement_over_limit");
            return;
        }
        let server = Server {
            announced,
            renewed_at: now,
            in_use: 0,
            refused_until: Timestamp::default(),
        };
        self.servers.insert(server.announced.name.clone(), server);
    }

    /// Removes backend servers whose announcement has lapsed and that run no request.
    pub fn remove_lapsed(&mut self, now: Timestamp) {
        self.servers
            .retain(|_, s| s.is_current(now) || s.in_use > 0);
    }

    /// Chooses a backend server for a request of `service` and occupies one of its slots.
    pub fn acquire(&mut self, now: Timestamp, service: &Name) -> BackendChoice {
        let mut known = false;
        let mut best: Option<&mut Server> = None;
        for server in self.servers.values_mut() {
            if !server.accepts_work(now) || server.announced.service != *service {
                continue;
            }
            known = true;
            let free = server.free(now);
            if free > best.as_ref().map_or(0, |b| b.free(now)) {
                best = Some(server);
            }
        }
        match best {
            Some(server) => {
                server.in_use += 1;
                BackendChoice::Free {
                    name: server.announced.name.clone(),
                    address: server.announced.address,
                }
            }
            None if known => BackendChoice::Busy,
            None => BackendChoice::None,
        }
    }

    /// Releases a slot; `refused` is true if the server refused the request.
    pub fn release(&mut self, now: Timestamp, name: &Name, refused: bool) {
        if let Some(server) = self.servers.get_mut(name) {
            server.in_use = server.in_use.saturating_sub(1);
            if refused {
                server.refused_until = now + REFUSED_BACKOFF;
            }
        }
    }

    /// Returns the number of free slots of `service`.
    pub fn free(&self, now: Timestamp, service: &Name) -> u32 {
        let servers = self.servers.values();
        servers
            .filter(|s| s.announced.service == *service && s.accepts_work(now))
            .map(|s| s.free(now))
            .sum()
    }

    /// Returns the backend reports for the heartbeat, sorted by name.
    pub fn reports(&self, now: Timestamp) -> Vec<BackendReport> {
        let mut reports: Vec<BackendReport> = self
            .servers
            .values()
            .map(|s| BackendReport {
                name: s.announced.name.clone(),
                service: s.announced.service.clone(),
                slots: s.max_requests(),
                free: s.free(now),
                leaving: !s.accepts_work(now),
            })
            .collect();
        reports.sort_by(|a, b| a.name.cmp(&b.name));
        reports
    }
}

impl Server {
    fn is_current(&self, now: Timestamp) -> bool {
        now.since(self.renewed_at) <= ANNOUNCEMENT_TTL
    }

    fn accepts_work(&self, now: Timestamp) -> bool {
        self.is_current(now) && !self.announced.leaving
    }

    /// Returns the maximum number of concurrent requests. Each request has its own connection, so
    /// both limits apply.
    fn max_requests(&self) -> u32 {
        self.announced.slots.min(self.announced.connections)
    }

    fn free(&self, now: Timestamp) -> u32 {
        if now < self.refused_until {
            return 0;
        }
        self.max_requests().saturating_sub(self.in_use)
    }
}
