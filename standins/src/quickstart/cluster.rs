//! A deployment with the stand-ins for its platform, all in this process.

use std::{
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    thread,
    time::{Duration, Instant},
};

use dragonflyrun::{
    connection::{AuthorKey, Role},
    process::{Config, Daemon, Settings},
    utils::Name,
};

use crate::{
    backend::{Backend, BackendRecord, BackendSettings, Work},
    caller::Caller,
    editor::Editor,
    log::LogService,
    quickstart::{Plan, plan::WorkerPlan},
    worker::{Checkpoints, Interval, Worker, WorkerSettings},
};

/// The secret of the deployment, which exists only as long as this process.
const SECRET: &str = "a secret for as long as the quick start runs";

const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// The age of the usage that workers report.
const USAGE_LAG: Duration = Duration::from_secs(2);

/// Timeout for the deployment to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which the readiness of the deployment is polled.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A running deployment.
pub(super) struct Cluster {
    log: LogService,
    editor: Editor,
    entries: Vec<Daemon>,
    hosts: Vec<WorkerHost>,
}

/// The processes of a worker host.
struct WorkerHost {
    worker: Worker,
    backend: Backend,
    agent: Daemon,
}

impl Cluster {
    /// Starts all processes, writes the document to the log and waits until the deployment is
    /// ready.
    pub(super) fn start(plan: &Plan) -> io::Result<Self> {
        let log = LogService::start(ANY_PORT)?;
        let editor = Editor::new(log.address(), &plan.deployment.editor, SECRET);
        let entries = start_entries(plan, log.address())?;
        let seeds: Vec<SocketAddr> = entries.iter().filter_map(Daemon::peers_addr).collect();
        let hosts = plan.deployment.workers.iter();
        let hosts = hosts.map(|w| WorkerHost::start(w, log.address(), &seeds));
        let cluster = Self {
            hosts: hosts.collect::<io::Result<_>>()?,
            entries,
            editor,
            log,
        };
        for named in &plan.sections {
            cluster.editor.edit(&named.name, named.section.clone())?;
        }
        cluster.wait_until_ready(plan)?;
        Ok(cluster)
    }

    /// Returns a caller of the entry with this index, modulo the number of entries.
    pub(super) fn caller(&self, number: usize) -> Caller {
        let entry = &self.entries[number % self.entries.len()];
        Caller::new(entry.http_addr()).with_key(&self.editor.name(), SECRET)
    }

    /// Returns the editor that may edit every section.
    pub(super) fn editor(&self) -> &Editor {
        &self.editor
    }

    /// Returns the address of the log service.
    pub(super) fn log_address(&self) -> SocketAddr {
        self.log.address()
    }

    /// Returns the records of the backend servers.
    pub(super) fn backend_records(&self) -> Vec<BackendRecord> {
        self.hosts.iter().map(|h| h.backend.record()).collect()
    }

    /// Returns the intervals in which tasks ran on the workers.
    pub(super) fn intervals(&self) -> Vec<Interval> {
        self.hosts.iter().flat_map(|h| h.worker.record()).collect()
    }

    /// Stops all entries and agents.
    pub(super) fn stop(self) {
        let entries = self.entries.into_iter();
        let agents = self.hosts.into_iter().map(|h| h.agent);
        thread::scope(|scope| {
            for daemon in entries.chain(agents) {
                scope.spawn(|| daemon.stop());
            }
        });
    }

    fn wait_until_ready(&self, plan: &Plan) -> io::Result<()> {
        let start = Instant::now();
        while !self.is_ready(plan) {
            if start.elapsed() > READY_TIMEOUT {
                return Err(io::Error::other("the deployment did not become ready"));
            }
            thread::sleep(READY_POLL_INTERVAL);
        }
        Ok(())
    }

    /// Returns whether every entry receives heartbeats from every agent, and each service answers a
    /// request. After the start, key owners grant no keys until no earlier owner can be active.
    fn is_ready(&self, plan: &Plan) -> bool {
        let workers = plan.deployment.workers.len();
        let sees_all_agents = |number: usize| {
            let status = self.caller(number).status();
            status.is_ok_and(|s| {
                let live = s.peers.iter().filter(|p| p.live && p.role == Role::Agent);
                s.fresh && s.planner.is_some() && live.count() == workers
            })
        };
        let services = plan.workload.requests.iter().map(|r| &r.service);
        (0..self.entries.len()).all(sees_all_agents)
            && services.into_iter().all(|s| self.is_answering(s))
    }

    fn is_answering(&self, service: &str) -> bool {
        let key = crate::editor::unique("ready");
        let deadline = Duration::from_secs(1);
        let reply = self
            .caller(0)
            .request(service, Some(&key), 1, deadline, b"{\"work_ms\":0}");
        reply.is_done()
    }
}

impl WorkerHost {
    fn start(plan: &WorkerPlan, log: SocketAddr, seeds: &[SocketAddr]) -> io::Result<Self> {
        let worker = Worker::start(WorkerSettings {
            address: ANY_PORT,
            name: plan.name.clone(),
            accelerators: plan.accelerators,
            failure_domain: plan.failure_domain.clone(),
            usage_lag: USAGE_LAG,
            checkpoints: Checkpoints::default(),
        })?;
        let agent = start_daemon(Config {
            role: Some(Role::Agent),
            failure_domain: Some(plan.failure_domain.clone()),
            rack: Some(plan.rack.clone()),
            worker: Some(worker.address().to_string()),
            entries: Some(seeds.iter().map(ToString::to_string).collect()),
            ..base_config(&plan.name, log)
        })?;
        let name = Name::from(format!("{}-server", plan.name));
        let backend = Backend::start(BackendSettings {
            address: ANY_PORT,
            agent: Some(agent.http_addr()),
            announced: None,
            token: AuthorKey::of_backend(SECRET, &name).to_hex(),
            name,
            service: plan.service.clone(),
            slots: plan.slots,
            connections: plan.connections,
            work: Work::default(),
        })?;
        Ok(Self {
            worker,
            backend,
            agent,
        })
    }
}

fn start_entries(plan: &Plan, log: SocketAddr) -> io::Result<Vec<Daemon>> {
    let mut entries: Vec<Daemon> = Vec::new();
    for name in &plan.deployment.entries {
        let seeds = entries.iter().filter_map(Daemon::peers_addr);
        let seeds = seeds.map(|a| a.to_string()).collect();
        entries.push(start_daemon(Config {
            role: Some(Role::Entry),
            peers: Some(ANY_PORT.to_string()),
            entries: Some(seeds),
            ..base_config(name, log)
        })?);
    }
    Ok(entries)
}

fn base_config(name: &Name, log: SocketAddr) -> Config {
    Config {
        name: Some(name.clone()),
        http: Some(ANY_PORT.to_string()),
        log: Some(log.to_string()),
        secret: Some(SECRET.into()),
        ..Config::default()
    }
}

fn start_daemon(cfg: Config) -> io::Result<Daemon> {
    let settings = Settings::check(cfg).map_err(io::Error::other)?;
    Daemon::start(settings).map_err(io::Error::other)
}
