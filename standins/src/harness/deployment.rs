//! A deployment of separate processes on free loopback ports.

use std::{
    env, fs,
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    sync::{Condvar, Mutex, PoisonError},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use dragonflyrun::{
    connection::{self, Carried, LogClient, RecordBody, Role},
    process::{Config, Ledger},
    utils::Name,
    version::{Adjacency, FailureDomain, Guarantee, Section, Service, Urgency, Workspace},
};
use oxhttp::model::Method;
use serde::Serialize;

use crate::{
    backend::{BackendControl, BackendRecord},
    caller::Caller,
    editor::{Editor, unique},
    harness::{
        Child,
        child::address_in,
        wait_for,
        wait_until, //
    },
    http,
    log::{LogControl, LogMode},
    relay::Relay,
    worker::{Interval, WorkerControl},
};

/// The editor who owns every section.
pub const EDITOR: &str = "operator";

/// The secret of the deployment.
pub const SECRET: &str = "a secret of test deployments";

/// The service that the backend servers run; its requests may run once only.
pub const SERVICE: &str = "scaling";

/// The workspace of the jobs.
pub const WORKSPACE: &str = "sawmills";

const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Time that a stand-in has for an answer.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Records of one read of the log.
const PAGE_RECORDS: usize = 1_000;

/// What is to be started.
#[derive(Clone, Debug)]
pub struct DeploymentBuilder {
    entries: usize,
    domains: Vec<&'static str>,
    accelerators: u32,
    slots: u32,
    repeatable: bool,
}

impl DeploymentBuilder {
    /// Sets how many entries there are.
    pub fn entries(self, entries: usize) -> Self {
        Self { entries, ..self }
    }

    /// Sets the failure domain of each agent, and thereby how many there are.
    pub fn agents_in(self, domains: &[&'static str]) -> Self {
        Self {
            domains: domains.to_vec(),
            ..self
        }
    }

    /// Sets how many requests each backend server runs at once.
    pub fn slots(self, slots: u32) -> Self {
        Self { slots, ..self }
    }

    /// Lets the service's requests run more than once.
    pub fn repeatable(self) -> Self {
        Self {
            repeatable: true,
            ..self
        }
    }

    /// Starts all processes, puts the document on the log and waits until all are at work.
    ///
    /// # Panics
    ///
    /// Where that fails.
    pub fn start(self) -> Deployment {
        let mut deployment = Deployment::start_log(self);
        deployment.start_daemons();
        deployment.put_document();
        deployment.wait_until_ready();
        deployment
    }
}

/// A daemon with its place in the deployment.
pub struct Daemon {
    /// The process.
    pub child: Child,
    /// Where its HTTP listener is.
    pub http: SocketAddr,
    /// The link between it and the log.
    pub log_link: Relay,
    /// The link before an entry's peer listener, which all its peers use.
    pub peer_link: Option<Relay>,
    config: Config,
}

/// A stand-in with its place in the deployment.
pub struct StandIn {
    /// The process.
    pub child: Child,
    /// Where it listens.
    pub address: SocketAddr,
}

/// A running deployment; all its processes are killed when it is dropped.
pub struct Deployment {
    /// The log service.
    pub log: StandIn,
    /// The entries.
    pub entries: Vec<Daemon>,
    /// The agents, each beside the worker and the backend server of the same number.
    pub agents: Vec<Daemon>,
    /// The workers.
    pub workers: Vec<StandIn>,
    /// The backend servers.
    pub backends: Vec<StandIn>,
    builder: DeploymentBuilder,
    lost_intervals: Vec<Interval>,
    dir: PathBuf,
    // Given back last.
    _permit: Permit,
}

impl Deployment {
    /// Returns what is started unless something else is set: two entries and three agents in two
    /// failure domains.
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
        let permit = Permit::take();
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

    /// Starts one more entry.
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
        ];
        StandIn::start(&name, &arguments, &self.dir)
    }

    fn config(&self, name: &str) -> Config {
        let seeds = self
            .entries
            .iter()
            .filter_map(|e| e.config.advertise.clone());
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
        let child = start_daemon_process(name, &config, &self.dir);
        let mut daemon = Daemon {
            child,
            http: ANY_PORT,
            log_link,
            peer_link,
            config,
        };
        daemon.take_addresses();
        daemon
    }

    /// Returns a caller of the entry with this number.
    pub fn caller(&self, entry: usize) -> Caller {
        Caller::new(self.entries[entry].http).with_key(EDITOR, SECRET)
    }

    fn control_log(&self, control: LogControl) {
        self.log.control(&control);
    }

    /// Returns the operator of the deployment.
    pub fn editor(&self) -> Editor {
        Editor::new(self.log.address, EDITOR, SECRET)
    }

    /// Sets the fault of the log service.
    ///
    /// # Panics
    ///
    /// Where it does not answer.
    pub fn set_log(&self, mode: LogMode) {
        self.control_log(LogControl {
            mode: Some(mode),
            ..LogControl::default()
        });
    }

    /// Waits until the planner has carried the newest configuration forward, and has the log drop
    /// all records from before.
    ///
    /// # Panics
    ///
    /// Where it is not carried.
    pub fn drop_old_records(&self) {
        let client = LogClient::new(&self.log.address.to_string(), TIMEOUT);
        let (carried, head) = wait_for("the carried configuration", || {
            let version = self.ledger().history.current().offset;
            let page = client.read(version, PAGE_RECORDS, Duration::ZERO).ok()?;
            let carried = page.records.iter().find(|r| carries(&r.data))?;
            Some((carried.offset, page.head))
        });
        self.control_log(LogControl {
            keep: usize::try_from(head - carried).ok(),
            ..LogControl::default()
        });
    }

    /// Folds the whole log, as every process does.
    ///
    /// # Panics
    ///
    /// Where the log can't be read.
    pub fn ledger(&self) -> Ledger {
        let ledger = self.editor().ledger();
        ledger.unwrap_or_else(|e| panic!("the log can't be read: {e}"))
    }

    /// Edits a section and returns the offset of the edit.
    ///
    /// # Panics
    ///
    /// Where the log does not take it or it is rejected.
    pub fn edit(&self, section: &str, content: Section) -> u64 {
        let edited = self.editor().edit(section, content);
        edited.unwrap_or_else(|e| panic!("{section}: {e}"))
    }

    /// Takes a failure domain out of service or returns it; returns the edit's offset.
    ///
    /// # Panics
    ///
    /// As [`Deployment::edit`].
    pub fn set_in_service(&self, domain: &str, in_service: bool) -> u64 {
        let edited = self.editor().set_in_service(domain, in_service);
        edited.unwrap_or_else(|e| panic!("{domain}: {e}"))
    }

    /// Kills the entry with this number and starts its successor with the same settings, at the
    /// same addresses.
    pub fn restart_entry(&mut self, number: usize) {
        self.entries[number].restart(&self.dir);
    }

    /// Does the same with an agent.
    pub fn restart_agent(&mut self, number: usize) {
        self.agents[number].restart(&self.dir);
    }

    fn put_document(&self) {
        self.edit("administration", owned());
        self.edit("failure-domains", self.domains_section());
        self.edit("services", self.services_section());
        self.edit("workspaces", workspaces_section());
    }

    fn domains_section(&self) -> Section {
        let mut names = self.builder.domains.clone();
        names.sort_unstable();
        names.dedup();
        let failure_domains = names.into_iter().map(|name| FailureDomain {
            name: Name::from(name),
            region: None,
            in_service: true,
        });
        Section {
            failure_domains: failure_domains.collect(),
            ..owned()
        }
    }

    fn services_section(&self) -> Section {
        let service = Service {
            name: Name::from(SERVICE),
            urgency: Urgency::Normal,
            deadline_ms: 10_000,
            repeatable: self.builder.repeatable,
            queue_limit: 256,
            key_window_ms: 600_000,
        };
        Section {
            services: vec![service],
            ..owned()
        }
    }

    /// Waits until each entry has the whole document in force, hears every process and may use
    /// every slot.
    pub fn wait_until_ready(&self) {
        let version = self.ledger().history.current().offset;
        let peers = self.entries.len() + self.agents.len() - 1;
        let slots = self.builder.slots * u32::try_from(self.backends.len()).unwrap_or(u32::MAX);
        for number in 0..self.entries.len() {
            let caller = self.caller(number);
            wait_until("all processes at work", || {
                caller.status().is_ok_and(|s| {
                    let live = s.peers.iter().filter(|p| p.live && p.version >= version);
                    let free: u32 = s.services.iter().map(|s| s.free_slots).sum();
                    s.version >= version && s.fresh && live.count() >= peers && free >= slots
                })
            });
        }
    }

    /// Waits until the log names a planner and returns the number of that entry.
    pub fn planner(&self) -> usize {
        wait_for("a planner", || {
            let ledger = self.ledger();
            let planner = ledger.membership.planner()?;
            self.entries
                .iter()
                .position(|e| e.child.name() == &**planner)
        })
    }

    /// Returns the times in which tasks ran on all workers that answer.
    pub fn intervals(&self) -> Vec<Interval> {
        let records = self.workers.iter();
        records
            .filter_map(|w| w.ask::<Vec<Interval>>("/v1/record"))
            .flatten()
            .chain(self.lost_intervals.iter().cloned())
            .collect()
    }

    /// Returns the times in which tasks of one job ran.
    pub fn intervals_of(&self, job: &str) -> Vec<Interval> {
        let mut intervals = self.intervals();
        intervals.retain(|i| *i.job == *job);
        intervals
    }

    /// Returns how many members of a job's attempt run now.
    pub fn running_members(&self, job: &str, attempt: u32) -> usize {
        let intervals = self.intervals_of(job);
        let running = |i: &&Interval| i.attempt == attempt && i.stopped_unix_ms.is_none();
        intervals.iter().filter(running).count()
    }

    /// Kills a worker with its tasks. Its record up to now is kept.
    pub fn kill_worker(&mut self, number: usize) {
        let worker = &mut self.workers[number];
        let record: Vec<Interval> = worker.ask("/v1/record").unwrap_or_default();
        worker.child.kill();
        let killed = unix_ms();
        self.lost_intervals
            .extend(record.into_iter().map(|i| Interval {
                stopped_unix_ms: i.stopped_unix_ms.or(Some(killed)),
                ..i
            }));
    }

    /// Returns a caller of each entry.
    pub fn callers(&self) -> Vec<Caller> {
        (0..self.entries.len()).map(|n| self.caller(n)).collect()
    }

    /// Returns what all backend servers that answer have run.
    pub fn backend_records(&self) -> Vec<BackendRecord> {
        let records = self.backends.iter();
        records.filter_map(|b| b.ask("/v1/record")).collect()
    }

    /// Sets how a worker behaves.
    pub fn control_worker(&self, number: usize, control: WorkerControl) {
        self.workers[number].control(&control);
    }

    /// Sets how a backend server behaves.
    pub fn control_backend(&self, number: usize, control: BackendControl) {
        self.backends[number].control(&control);
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        // A failed test leaves its logs behind for whoever looks for the cause.
        if std::thread::panicking() {
            eprintln!("logs of the processes: {}", self.dir.display());
        } else {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

impl Daemon {
    fn restart(&mut self, dir: &Path) {
        self.child.kill();
        let name = self.child.name().to_owned();
        self.child = start_daemon_process(&name, &self.config, dir);
        self.take_addresses();
    }

    /// Reads where the daemon listens, and has it listen there again after a restart.
    fn take_addresses(&mut self) {
        let line = self.child.first_line();
        self.http = address_in(&line, "http=");
        self.config.http = Some(self.http.to_string());
        if let Some(peer_link) = &self.peer_link {
            let peers = address_in(&line, "peers=");
            peer_link.set_target(peers);
            self.config.peers = Some(peers.to_string());
        }
    }
}

impl StandIn {
    fn start(name: &str, arguments: &[&str], dir: &Path) -> Self {
        let arguments: Vec<String> = arguments.iter().map(|&a| a.to_owned()).collect();
        let child = Child::start(name, "standins", &arguments, dir);
        let address = address_in(&child.first_line(), "");
        Self { child, address }
    }

    fn control(&self, control: &impl Serialize) {
        let answer = http::call_json(self.address, Method::POST, "/control", control, TIMEOUT);
        if let Err(error) = answer {
            panic!("{}: {error}", self.child.name());
        }
    }

    fn ask<T: serde::de::DeserializeOwned>(&self, path: &str) -> Option<T> {
        http::call(self.address, Method::GET, path, &[], Vec::new(), TIMEOUT)
            .and_then(|answer| answer.json())
            .ok()
    }
}

fn start_daemon_process(name: &str, config: &Config, dir: &Path) -> Child {
    let path = dir.join(format!("{name}.json"));
    let json = serde_json::to_vec_pretty(config).unwrap_or_default();
    if let Err(error) = fs::write(&path, json) {
        panic!("{name}: the settings can't be written: {error}");
    }
    let arguments = ["--config".to_owned(), path.display().to_string()];
    Child::start(name, "dragonflyrund", &arguments, dir)
}

fn relay(target: SocketAddr) -> Relay {
    Relay::start(ANY_PORT, target).unwrap_or_else(|e| panic!("no relay: {e}"))
}

fn owned() -> Section {
    Section {
        owners: vec![Name::from(EDITOR)],
        ..Section::default()
    }
}

fn workspaces_section() -> Section {
    let guarantee = Guarantee {
        tasks: 1,
        accelerators: 1,
        adjacency: Adjacency::Any,
    };
    let workspace = Workspace {
        name: Name::from(WORKSPACE),
        guarantees: vec![guarantee],
        quota_accelerators: None,
    };
    Section {
        workspaces: vec![workspace],
        ..owned()
    }
}

fn carries(data: &str) -> bool {
    let record = connection::open(data, SECRET);
    matches!(
        record.map(|r| r.body),
        Ok(RecordBody::Carried(Carried::Configuration { .. }))
    )
}

/// Deployments of one test program that run at once, at the most. More would only slow each other
/// down.
const DEPLOYMENTS: usize = 2;

static RUNNING: Mutex<usize> = Mutex::new(0);
static ENDED: Condvar = Condvar::new();

/// The right to run a deployment.
struct Permit;

impl Permit {
    fn take() -> Self {
        let running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
        let running = ENDED.wait_while(running, |running| *running >= DEPLOYMENTS);
        *running.unwrap_or_else(PoisonError::into_inner) += 1;
        Self
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        *RUNNING.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        ENDED.notify_one();
    }
}

/// Makes a directory for the settings and logs of one deployment.
fn scratch_dir() -> PathBuf {
    let dir = env::temp_dir().join(unique("dragonflyrun"));
    if let Err(error) = fs::create_dir_all(&dir) {
        panic!("no directory for the test: {error}");
    }
    dir
}

/// Returns the time by the clock that the stand-ins write into their records.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}
