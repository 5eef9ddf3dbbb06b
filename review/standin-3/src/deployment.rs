//! A small deployment: the stand-ins, and the project's processes with the settings that the deploy file's
//! template gives them.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    fs::{self, File},
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    rc::Rc,
    sync::atomic::{AtomicU16, Ordering},
    time::Duration,
};

use hyper::Method;
use platform::Client;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::{
    record::Record,
    store::Store,
    worker::{Shape, Worker},
};

const HOST: &str = "nony24.example";
/// The key of the first tenant.
pub const KEY: &str = "key-of-the-tenant";
/// Time after which the workers have sent their first heartbeats and the planner knows them.
const REGISTRATION: Duration = Duration::from_secs(5);
/// How long a consumer waits for an answer.
const PATIENCE_MS: u64 = 3_000;

/// A process of the project; it is killed when this is dropped.
pub struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// An entry.
pub struct Entry {
    /// Its name.
    pub name: String,
    callers: Client,
    ready: Client,
    _process: Process,
}

/// The deployment.
pub struct Deployment {
    /// The record.
    pub record: Rc<Record>,
    /// The store.
    pub store: Rc<Store>,
    /// The entries.
    pub entries: Vec<Entry>,
    store_address: SocketAddr,
    /// The workers.
    pub workers: Vec<Rc<Worker>>,
    shapes: Rc<RefCell<BTreeMap<String, Shape>>>,
    agents: Vec<RefCell<Option<Process>>>,
    agent_roles: Vec<Value>,
    dir: PathBuf,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        // The processes are killed when they are dropped, after this; they need the files no more.
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

impl Deployment {
    /// Starts a deployment and waits until it is ready; returns `None` if it doesn't become so.
    pub async fn start(record: Rc<Record>, entries: usize, workers: usize) -> Option<Self> {
        let dir = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&dir).expect("a temporary folder");
        let store = Store::new();
        store.put("config", &manifest());
        let store_address = store.listen().await;
        let shapes: Rc<RefCell<BTreeMap<String, Shape>>> = Rc::default();
        let mut deployment = Self {
            record,
            store,
            entries: Vec::new(),
            store_address,
            workers: Vec::new(),
            shapes,
            agents: Vec::new(),
            agent_roles: Vec::new(),
            dir,
        };
        for i in 0..entries {
            let (callers, ready) = (free_port(), free_port());
            let name = format!("front-{i}");
            let role = json!({
                "role": "entry", "callers": callers.to_string(), "ready": ready.to_string(),
                "cpu_share": 0.25,
            });
            let process = start(&deployment.dir, &name, store_address, role)?;
            deployment.entries.push(Entry {
                name,
                callers: Client::new(callers, 64),
                ready: Client::new(ready, 2),
                _process: process,
            });
        }
        for i in 0..workers {
            let (worker, heartbeats) = (free_port(), free_port());
            let role = json!({
                "role": "agent", "worker": worker.to_string(), "heartbeats": heartbeats.to_string(),
                "cpu_share": 0.15,
            });
            deployment.agent_roles.push(role);
            deployment.agents.push(RefCell::new(None));
            if !deployment.start_agent(i) {
                return None;
            }
            let shapes = deployment.shapes.clone();
            let worker = Worker::start(i, worker, heartbeats, shapes).await;
            deployment.workers.push(worker);
        }
        deployment.wait_ready().await.then_some(deployment)
    }

    /// Waits until all entries are ready and the workers have registered; returns whether they are.
    async fn wait_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(20);
        for entry in &self.entries {
            loop {
                let limit = Duration::from_secs(1);
                let answer = entry
                    .ready
                    .call(Method::GET, "/api/ready", &[], Vec::new(), limit);
                if answer.await.is_ok_and(|a| a.status.as_u16() == 200) {
                    break;
                }
                if Instant::now() > end {
                    self.record.line(&format!("{} is not ready", entry.name));
                    return false;
                }
                sleep(Duration::from_millis(100)).await;
            }
        }
        sleep(REGISTRATION).await;
        self.record.line("the deployment is ready");
        true
    }

    /// Starts the process of an agent; returns whether it could be started.
    pub fn start_agent(&self, number: usize) -> bool {
        let role = self.agent_roles[number].clone();
        let store = self.store_address;
        let process = start(&self.dir, &format!("side-{number}"), store, role);
        let is_started = process.is_some();
        *self.agents[number].borrow_mut() = process;
        is_started
    }

    /// Kills the process of an agent.
    pub fn kill_agent(&self, number: usize) {
        self.agents[number].borrow_mut().take();
    }

    /// Sets what the tasks of a job need and how long they take.
    pub fn set_shape(&self, job: &str, shape: Shape) {
        self.shapes.borrow_mut().insert(job.to_owned(), shape);
    }

    /// Submits a job with one step through an entry, again until it is accepted, and returns whether it is.
    pub async fn submit(&self, entry: usize, job: &str, shape: Shape, extra: Value) -> bool {
        self.set_shape(job, shape);
        let mut step = json!({
            "cpu": shape.cpu, "mem_mb": shape.mem_mb, "gpu": shape.gpu, "estimate_ms": shape.ms,
        });
        let mut body = json!({"spec": "(text)"});
        for (name, value) in extra.as_object().into_iter().flatten() {
            match name.as_str() {
                "start_at_ms" | "interval_ms" | "repeat_count" => body[name] = value.clone(),
                _ => step[name] = value.clone(),
            }
        }
        body["steps"] = json!([step]);
        for attempt in 0..5 {
            let entry = (entry + attempt) % self.entries.len();
            let status = self
                .call(Method::POST, entry, job, body.to_string())
                .await
                .0;
            match status {
                Some(200..300) => return true,
                Some(400..429) => return false,
                _ => sleep(Duration::from_millis(1_000)).await,
            }
        }
        false
    }

    /// Asks an entry for the state of a job and returns the status and the state.
    pub async fn state(&self, entry: usize, job: &str) -> (Option<u16>, String) {
        let (status, body) = self.call(Method::GET, entry, job, String::new()).await;
        let state = body["state"].as_str().unwrap_or_default().to_owned();
        (status, state)
    }

    async fn call(
        &self,
        method: Method,
        entry: usize,
        job: &str,
        body: String,
    ) -> (Option<u16>, Value) {
        let entry = &self.entries[entry];
        let patience = PATIENCE_MS.to_string();
        let headers = [
            ("host", HOST),
            ("x-api-key", KEY),
            ("dragonflyrun-request-deadline", patience.as_str()),
        ];
        let path = format!("/lohu930/{job}");
        let limit = Duration::from_millis(PATIENCE_MS);
        let answer = entry
            .callers
            .call(method.clone(), &path, &headers, body.into_bytes(), limit)
            .await;
        let (status, value) = match &answer {
            Ok(answer) => {
                let value = serde_json::from_slice(&answer.body).unwrap_or_default();
                (Some(answer.status.as_u16()), value)
            }
            Err(_) => (None, Value::Null),
        };
        self.record.line(&format!(
            "consumer: {method} {job} at {} -> {} {value}",
            entry.name,
            status.map_or("no answer".to_owned(), |s| s.to_string()),
        ));
        (status, value)
    }
}

/// Starts a process with the command of the deploy file.
fn start(dir: &Path, name: &str, store: SocketAddr, role: Value) -> Option<Process> {
    let mut section = json!({
        "name": name, "store": store.to_string(), "metrics": free_port().to_string(),
        "partitions": 12, "lease_ms": 6_000, "revoke_ms": 5_000, "apply_ms": 2_000,
        "keep_ended_s": 120, "grace_s": 6, "far_factor": 3, "checkpoint_s": 2,
        "store_read_mb_s": 80, "link_mbps": 1_000,
    });
    for (field, value) in role.as_object().into_iter().flatten() {
        section[field] = value.clone();
    }
    let settings = dir.join(format!("{name}.json"));
    fs::write(&settings, json!({"platform": section}).to_string()).expect("a settings file");
    let log = File::create(dir.join(format!("{name}.log"))).expect("a log file");
    let errors = log.try_clone().expect("a log file");
    let child = Command::new("target/release/dragonflyrund")
        .arg("--config")
        .arg(&settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors)
        .spawn();
    match child {
        Ok(child) => Some(Process(child)),
        Err(error) => {
            eprintln!("target/release/dragonflyrund can't be started: {error}");
            None
        }
    }
}

fn manifest() -> Value {
    json!({
        "version": 3,
        "routes": [{
            "name": "lohu", "host": HOST, "path_prefix": "/lohu930/", "service": "svc",
            "priority": 1, "max_attempts": 3, "stretch": 3, "target_latency_ms": 5_000,
        }],
        "services": [{"name": "svc", "rejects_overload": true}],
        "tenants": [{"name": "sawmills", "api_keys": [KEY], "guaranteed": {"gpu": 0}}],
        "limits": {},
    })
}

/// Returns a loopback address whose port is free and below those that the system gives to connections, so that
/// none of these takes it before its process listens.
fn free_port() -> SocketAddr {
    /// The next port to try; the process's id spreads scripts that run at the same time.
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = 10_000 + (std::process::id() % 170) as u16 * 128;
    loop {
        let port = first + NEXT.fetch_add(1, Ordering::Relaxed);
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}
