//! The backend servers beside one agent and their slots.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    connection::BackendReport,
    utils::{HashMap, Name, Timestamp},
};

/// Time after which a backend server that does not renew its announcement gets no new work.
pub const ANNOUNCEMENT_TTL: Duration = Duration::from_secs(3);

/// How long a backend server that refused a connection gets nothing.
const REFUSED_BACKOFF: Duration = Duration::from_millis(500);

/// Slots that one backend server may announce; each may take a thread of the agent.
const MAX_SLOTS_PER_BACKEND: u32 = 256;

/// Backend servers that one agent takes announcements of.
const MAX_BACKENDS: usize = 64;

/// What a backend server says of itself, each second.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BackendAnnouncement {
    /// Its name.
    pub name: Name,
    /// The service it runs.
    pub service: Name,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Requests it runs at once, at the most.
    pub slots: u32,
    /// Connections it takes at once, at the most.
    pub connections: u32,
    /// Whether it gets no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// Which backend server runs a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BackendChoice {
    /// This one has a free slot.
    Free {
        /// Its name.
        name: Name,
        /// Where it takes requests.
        address: SocketAddr,
    },
    /// All slots are in use.
    Busy,
    /// None runs the service.
    None,
}

/// The backend servers beside one agent.
#[derive(Debug, Default)]
pub struct Backends {
    servers: HashMap<Name, Server>,
}

#[derive(Debug)]
struct Server {
    announced: BackendAnnouncement,
    renewed_at: Timestamp,
    /// Requests that may be running on it; they count until it has answered or closed their
    /// connections, also where nobody waits for the answer any more.
    in_use: u32,
    refused_until: Timestamp,
}

impl Backends {
    /// Takes in an announcement.
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

    /// Forgets backend servers that have lapsed and run nothing.
    pub fn remove_lapsed(&mut self, now: Timestamp) {
        self.servers
            .retain(|_, s| s.is_current(now) || s.in_use > 0);
    }

    /// Chooses a backend server for a request of `service` and takes one of its slots.
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

    /// Gives back a slot; `refused` tells that the server did not take the request.
    pub fn release(&mut self, now: Timestamp, name: &Name, refused: bool) {
        if let Some(server) = self.servers.get_mut(name) {
            server.in_use = server.in_use.saturating_sub(1);
            if refused {
                server.refused_until = now + REFUSED_BACKOFF;
            }
        }
    }

    /// Returns the free slots of `service`.
    pub fn free(&self, now: Timestamp, service: &Name) -> u32 {
        let servers = self.servers.values();
        servers
            .filter(|s| s.announced.service == *service && s.accepts_work(now))
            .map(|s| s.free(now))
            .sum()
    }

    /// Returns what the heartbeat says of them, in the order of their names.
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

    /// Each request has a connection of its own, so both limits bound the requests at once.
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
