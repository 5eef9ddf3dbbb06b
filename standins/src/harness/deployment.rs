//! A deployment of separate processes on free loopback ports.

use std::{
    env,
    fs,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::PathBuf,
    time::Duration, //
};

use dragonflyrun::{
    connection::{AuthorKey, Role},
    process::Config,
    utils::Name,
};

use crate::{
    caller::Caller,
    editor::unique,
    harness::{
        daemon::{Daemon, StandIn},
        document,
        permit::Permit,
        wait_until, //
    },
    relay::Relay,
    worker::Interval,
};

/// The editor that owns every section of the document.
pub const EDITOR: &str = "operator";

/// The secret that all processes of the deployment share.
pub const SECRET: &str = "a secret of test deployments";

/// The service of the backend servers. Its requests may run only once, unless
/// [`DeploymentBuilder::repeatable`] is set.
pub const SERVICE: &str = "scaling";

/// The workspace to which all jobs belong.
pub const WORKSPACE: &str = "sawmills";

const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Number of keyed requests that each entry has to answer before a deployment counts as ready.
/// With several keys, every key owner is asked.
const READINESS_KEYS: usize = 8;

const READINESS_DEADLINE: Duration = Duration::from_secs(5);

/// Describes the deployment to start.
#[derive(Clone, Debug)]
pub struct DeploymentBuilder {
    entries: usize,
    domains: Vec<&'static str>,
    accelerators: u32,
    slots: u32,
    repeatable: bool,
}

impl DeploymentBuilder {
    /// Sets the number of entries.
    pub fn entries(self, entries: usize) -> Self {
        Self { entries, ..self }
    }

    /// Sets the failure domain of each agent, and thereby the number of agents.
    pub fn agents_in(self, domains: &[&'static str]) -> Self {
        Self {
            domains: domains.to_vec(),
            ..self
        }
    }

    /// Sets how many requests each backend server runs concurrently.
    pub fn slots(self, slots: u32) -> Self {
        Self { slots, ..self }
    }

    /// Allows requests of the service to run more than once.
    pub fn repeatable(self) -> Self {
        Self {
            repeatable: true,
            ..self
        }
    }

    /// Starts all processes, writes the document to the log and waits until the deployment is
    /// ready.
    ///
    /// # Panics
    ///
    /// If a process does not start or the deployment does not become ready.
    pub fn start(self) -> Deployment {
        let mut deployment = Deployment::start_log(self);
        deployment.start_daemons();
        deployment.put_document();
        deployment.wait_until_ready();
        deployment
    }
}

/// A running deployment. Dropping it kills all its processes.
pub struct Deployment {
    /// The log service.
    pub log: StandIn,
    /// The entries.
    pub entries: Vec<Daemon>,
    /// The agents. Each runs on one host with the worker and the backend server of the same index.
    pub agents: Vec<Daemon>,
    /// The workers.
    pub workers: Vec<StandIn>,
    /// The backend servers.
    pub backends: Vec<StandIn>,
    builder: DeploymentBuilder,
    pub(super) lost_intervals: Vec<Interval>,
    dir: PathBuf,
    // Declared last: fields are dropped in order, and the permit must outlive the processes.
    _permit: Permit,
}

impl Deployment {
    /// Returns a builder with the defaults: two entries, and three agents in two failure domains.
    pub fn builder() -> DeploymentBuilder {
        DeploymentBuilder {
            entries: 2,
            domains: vec!["murau", "murau", "judenburg"],
            accelerators: 8,
            slots: 4,
            repeatable: false,
        }
    }

    fn start_log(builder: DeploymentBuilder) -> Self {
        let permit = Permit::acquire();
        let dir = scratch_dir();
        let log = StandIn::start("log", &["log"], &dir);
        Self {
            log,
            entries: Vec::new(),
            agents: Vec::new(),
            workers: Vec::new(),
            backends: Vec::new(),
            builder,
            lost_intervals: Vec::new(),
            dir,
            _permit: permit,
        }
    }

    fn start_daemons(&mut self) {
        for number in 0..self.builder.entries {
            self.start_entry(&format!("entry-{number}"));
        }
        for (number, domain) in self.builder.domains.clone().into_iter().enumerate() {
            self.start_host(number, domain);
        }
    }

    /// Starts an additional entry.
    pub fn start_entry(&mut self, name: &str) {
        let peer_link = relay(ANY_PORT);
        let config = Config {
            role: Some(Role::Entry),
            peers: Some(ANY_PORT.to_string()),
            advertise: Some(peer_link.address().to_string()),
            ..self.config(name)
        };
        let entry = self.start_daemon(name, config, Some(peer_link));
        self.entries.push(entry);
    }

    fn start_host(&mut self, number: usize, domain: &str) {
        let name = format!("worker-{number}");
        let accelerators = self.builder.accelerators.to_string();
        let arguments = [
            "worker",
            "--name",
            &name,
            "--failure-domain",
            domain,
            "--accelerators",
            &accelerators,
        ];
        let worker = StandIn::start(&name, &arguments, &self.dir);
        let config = Config {
            role: Some(Role::Agent),
            failure_domain: Some(Name::from(domain)),
            rack: Some(Name::from(format!("{domain}-rack"))),
            worker: Some(worker.address.to_string()),
            ..self.config(&name)
        };
        let agent = self.start_daemon(&name, config, None);
        self.workers.push(worker);
        let backend = self.start_backend(number, agent.http);
        self.agents.push(agent);
        self.backends.push(backend);
    }

    fn start_backend(&self, number: usize, agent: SocketAddr) -> StandIn {
        let name = format!("backend-{number}");
        let (agent, slots) = (agent.to_string(), self.builder.slots.to_string());
        let token = AuthorKey::of_backend(SECRET, &name).to_hex();
        let arguments = [
            "backend",
            "--name",
            &name,
            "--service",
            SERVICE,
            "--agent",
            &agent,
            "--slots",
            &slots,
            "--token",
            &token,
        ];
        StandIn::start(&name, &arguments, &self.dir)
    }

    fn config(&self, name: &str) -> Config {
        let seeds = self.entries.iter().filter_map(Daemon::advertised);
        Config {
            name: Some(Name::from(name)),
            http: Some(ANY_PORT.to_string()),
            secret: Some(Name::from(SECRET)),
            entries: Some(seeds.collect()),
            ..Config::default()
        }
    }

    fn start_daemon(&self, name: &str, config: Config, peer_link: Option<Relay>) -> Daemon {
        let log_link = relay(self.log.address);
        let config = Config {
            log: Some(log_link.address().to_string()),
            ..config
        };
        Daemon::start(name, config, log_link, peer_link, &self.dir)
    }

    /// Returns a caller for each entry.
    pub fn callers(&self) -> Vec<Caller> {
        (0..self.entries.len()).map(|n| self.caller(n)).collect()
    }

    /// Returns a caller for the entry with this index.
    pub fn caller(&self, entry: usize) -> Caller {
        Caller::new(self.entries[entry].http).with_key(EDITOR, SECRET)
    }

    /// Kills the entry with this index and starts a new process with the same settings and
    /// addresses.
    pub fn restart_entry(&mut self, number: usize) {
        self.entries[number].restart(&self.dir);
    }

    /// Kills the agent with this index and starts a new process with the same settings and
    /// addresses.
    pub fn restart_agent(&mut self, number: usize) {
        self.agents[number].restart(&self.dir);
    }

    fn put_document(&self) {
        let (domains, repeatable) = (&self.builder.domains, self.builder.repeatable);
        for (name, section) in document::sections(domains, repeatable) {
            self.edit(name, section);
        }
    }

    /// Waits until each entry has the complete document in force, receives heartbeats from every
    /// process, knows of every slot and is granted keys. Keys are granted only some time after the
    /// set of key owners has changed.
    pub fn wait_until_ready(&self) {
        let version = self.ledger().history.current().offset;
        let peers = self.entries.len() + self.agents.len() - 1;
        let slots = self.builder.slots * u32::try_from(self.backends.len()).unwrap_or(u32::MAX);
        for number in 0..self.entries.len() {
            let caller = self.caller(number);
            wait_until("all processes to be ready", || {
                caller.status().is_ok_and(|s| {
                    let live = s.peers.iter().filter(|p| p.live && p.version >= version);
                    let known: u32 = s.services.iter().map(|s| s.slots).sum();
                    s.version >= version && s.fresh && live.count() >= peers && known >= slots
                })
            });
            for _ in 0..READINESS_KEYS {
                wait_until("a key to be granted", || {
                    let key = unique("probe");
                    let reply = caller.request(SERVICE, Some(&key), 1, READINESS_DEADLINE, b"{}");
                    reply.is_done()
                });
            }
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        // The logs of a failed test are kept for diagnosis.
        if std::thread::panicking() {
            eprintln!("process logs are kept in {}", self.dir.display());
        } else {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

fn relay(target: SocketAddr) -> Relay {
    Relay::start(ANY_PORT, target).unwrap_or_else(|e| panic!("cannot start a relay: {e}"))
}

/// Creates a directory for the settings and logs of one deployment.
fn scratch_dir() -> PathBuf {
    let dir = env::temp_dir().join(unique("dragonflyrun"));
    if let Err(error) = fs::create_dir_all(&dir) {
        panic!("cannot create the test directory: {error}");
    }
    dir
}
