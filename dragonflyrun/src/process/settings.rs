//! The daemon's settings after validation.

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

/// Minimum length of the secret in bytes. The error message says characters, but the check counts
/// bytes, so a secret with non-ASCII characters may have fewer characters.
const MIN_SECRET_BYTES: usize = 16;

const DEFAULT_CONNECTIONS: u32 = 256;
const DEFAULT_HTTP_TIMEOUT_MS: u64 = 5_000;
const DEFAULT_LOG_TIMEOUT_MS: u64 = 2_000;
const DEFAULT_QUIET_MS: u64 = 1_000;
const DEFAULT_THREADS: u32 = 4;
const MAX_THREADS: u32 = 64;

/// Validated settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of this process.
    pub name: Name,
    /// The settings of one role.
    pub role: RoleSettings,
    /// The address of the HTTP listener.
    pub http: SocketAddr,
    /// The address of the platform's log service.
    pub log: SocketAddr,
    /// The secret shared by all processes of one deployment.
    pub secret: Name,
    /// The entries to link to before the log has been read.
    pub entries: Vec<SocketAddr>,
    /// Maximum number of concurrent HTTP connections.
    pub connections: usize,
    /// How long an HTTP client may pause while it sends a request or reads an answer.
    pub http_timeout: Duration,
    /// Timeout of a call to the log.
    pub log_timeout: Duration,
    /// How long a stopping process announces that it is leaving while it still accepts work.
    pub quiet: Duration,
    /// Number of threads in the worker pool.
    pub threads: usize,
}

/// The settings of one role.
#[derive(Clone, Debug)]
pub enum RoleSettings {
    /// The settings of an entry.
    Entry {
        /// The address of the listener for peer links.
        peers: SocketAddr,
        /// The address at which other processes reach it; `None` for the bound address.
        advertise: Option<SocketAddr>,
    },
    /// The settings of an agent.
    Agent {
        /// Its failure domain.
        failure_domain: Name,
        /// Its rack.
        rack: Name,
        /// The address of the worker on its host, if there is one.
        worker: Option<SocketAddr>,
    },
}

/// The errors found in the settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingsError {
    /// The findings, each with its location.
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
    /// Validates `cfg`.
    ///
    /// # Errors
    ///
    /// Returns all findings at once, so that an operator can correct them together.
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
            self.add(place, "It is not an IP address and a port.");
        }
        address
    }
}
