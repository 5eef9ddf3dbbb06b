//! The daemon's settings after all checks.

use std::{
    fmt,
    net::SocketAddr,
    time::Duration, //
};

use crate::{
    connection::Role,
    process::Config,
    utils::Name,
    version::Finding, //
};

/// Characters of the secret, at the least.
const MIN_SECRET_BYTES: usize = 16;

const DEFAULT_CONNECTIONS: u32 = 256;
const DEFAULT_HTTP_TIMEOUT_MS: u64 = 5_000;
const DEFAULT_LOG_TIMEOUT_MS: u64 = 2_000;
const DEFAULT_QUIET_MS: u64 = 1_000;
const DEFAULT_THREADS: u32 = 4;
const MAX_THREADS: u32 = 64;

/// Checked settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of this process.
    pub name: Name,
    /// What only one role has.
    pub role: RoleSettings,
    /// The HTTP listener.
    pub http: SocketAddr,
    /// The platform's log service.
    pub log: SocketAddr,
    /// The secret that all processes of one deployment share.
    pub secret: Name,
    /// Entries to link to before the log has been read.
    pub entries: Vec<SocketAddr>,
    /// HTTP connections at once, at the most.
    pub connections: usize,
    /// How long a sender or a reader of HTTP may pause.
    pub http_timeout: Duration,
    /// How long the log has for an answer.
    pub log_timeout: Duration,
    /// How long a stopping process says so and still takes work.
    pub quiet: Duration,
    /// Threads of the worker pool.
    pub threads: usize,
}

/// What only one role has.
#[derive(Clone, Debug)]
pub enum RoleSettings {
    /// An entry.
    Entry {
        /// The listener for peer links.
        peers: SocketAddr,
        /// Under which address others reach it; none for the bound one.
        advertise: Option<SocketAddr>,
    },
    /// An agent.
    Agent {
        /// Its failure domain.
        failure_domain: Name,
        /// Its rack.
        rack: Name,
        /// The worker beside it.
        worker: Option<SocketAddr>,
    },
}

/// All that is wrong with the settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingsError {
    /// The findings, each with its place.
    pub findings: Vec<Finding>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the settings are not valid:")?;
        for finding in &self.findings {
            write!(f, "\n  {finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Checks `cfg`.
    ///
    /// # Errors
    ///
    /// All findings at once, so that an operator mends them in one go.
    pub fn check(cfg: Config) -> Result<Self, SettingsError> {
        let mut findings = Findings::default();
        let name = findings.required("/name", cfg.name.filter(|n| !n.is_empty()));
        let http = findings.required_address("/http", cfg.http.as_deref());
        let log = findings.required_address("/log", cfg.log.as_deref());
        let secret = findings.required("/secret", cfg.secret);
        if secret.as_ref().is_some_and(|s| s.len() < MIN_SECRET_BYTES) {
            findings.add("/secret", "It is shorter than 16 characters.");
        }
        let entries = cfg.entries.unwrap_or_default();
        let entries = entries
            .iter()
            .enumerate()
            .filter_map(|(i, e)| findings.address(&format!("/entries/{i}"), Some(e)))
            .collect();
        let role = match findings.required("/role", cfg.role) {
            Some(Role::Entry) => findings
                .required_address("/peers", cfg.peers.as_deref())
                .map(|peers| RoleSettings::Entry {
                    peers,
                    advertise: findings.address("/advertise", cfg.advertise.as_deref()),
                }),
            Some(Role::Agent) => {
                let failure_domain = findings.required("/failure_domain", cfg.failure_domain);
                let rack = findings.required("/rack", cfg.rack);
                let worker = findings.address("/worker", cfg.worker.as_deref());
                failure_domain
                    .zip(rack)
                    .map(|(failure_domain, rack)| RoleSettings::Agent {
                        failure_domain,
                        rack,
                        worker,
                    })
            }
            None => None,
        };
        let threads = cfg.threads.unwrap_or(DEFAULT_THREADS);
        if !(1..=MAX_THREADS).contains(&threads) {
            findings.add("/threads", "It is not between 1 and 64.");
        }
        let connections = cfg.connections.unwrap_or(DEFAULT_CONNECTIONS);
        if connections == 0 {
            findings.add("/connections", "It is zero.");
        }
        let (Some(name), Some(http), Some(log), Some(secret), Some(role), true) =
            (name, http, log, secret, role, findings.0.is_empty())
        else {
            return Err(SettingsError {
                findings: findings.0,
            });
        };
        Ok(Self {
            name,
            role,
            http,
            log,
            secret,
            entries,
            connections: connections as usize,
            http_timeout: millis(cfg.http_timeout_ms, DEFAULT_HTTP_TIMEOUT_MS),
            log_timeout: millis(cfg.log_timeout_ms, DEFAULT_LOG_TIMEOUT_MS),
            quiet: millis(cfg.quiet_ms, DEFAULT_QUIET_MS),
            threads: threads as usize,
        })
    }
}

fn millis(configured: Option<u64>, default: u64) -> Duration {
    Duration::from_millis(configured.unwrap_or(default))
}

#[derive(Default)]
struct Findings(Vec<Finding>);

impl Findings {
    fn add(&mut self, place: &str, what: &str) {
        self.0.push(Finding {
            place: place.to_owned(),
            what: what.to_owned(),
        });
    }

    fn required<T>(&mut self, place: &str, value: Option<T>) -> Option<T> {
        if value.is_none() {
            self.add(place, "It is required.");
        }
        value
    }

    fn required_address(&mut self, place: &str, text: Option<&str>) -> Option<SocketAddr> {
        let text = self.required(place, text);
        self.address(place, text)
    }

    fn address(&mut self, place: &str, text: Option<&str>) -> Option<SocketAddr> {
        let text = text?;
        let address = text.parse().ok();
        if address.is_none() {
            self.add(place, "It is not an IP number and a port.");
        }
        address
    }
}
