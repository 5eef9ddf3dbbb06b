//! A small deployment: the store, entries and agents as processes of their own, and workers.

use std::{
    fs::{self, File},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    net::{Json, Record, call, free_port},
    store::Store,
    worker::{Capacity, History, Place, Worker},
};

/// The program and the option of `deploy/system.toml`.
const PROGRAM: &str = "target/release/dragonflyrund";

pub const KEY: &str = "a-key";
/// The key of the tenant with a guarantee.
pub const SURE_KEY: &str = "a-sure-key";
pub const HOST: &str = "jobs.example";
/// How long a consumer waits for an answer.
const PATIENCE_MS: u64 = 3_000;

pub struct Deployment {
    pub store: Arc<Store>,
    pub record: Record,
    pub history: Arc<History>,
    pub entries: Vec<SocketAddr>,
    ready: Vec<SocketAddr>,
    folder: PathBuf,
}

/// All processes of the case, and its temporary folder.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Ends all processes, and removes the temporary folder unless `KEEP_LOGS` is set.
pub fn stop_all() {
    for child in CHILDREN.lock().expect("the lock").iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = fs::remove_dir_all(folder());
    }
}

fn folder() -> PathBuf {
    std::env::temp_dir().join(format!("review-2-{}", std::process::id()))
}

/// Returns a manifest as the operator writes it: queue `q` of priority 1, and queue `u` of priority 0, in
/// which a tenant has 8 GPUs guaranteed.
pub fn manifest(version: u64, max_attempts: u32) -> String {
    let route = |name: &str, priority: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"/{name}/\",\"service\":\"svc\",\"priority\":{priority},\"max_attempts\":{max_attempts},\"stretch\":3.0,\"target_latency_ms\":1000,\"public\":false}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{},{}],\"services\":[{{\"name\":\"svc\",\"rejects_overload\":true}}],\"tenants\":[{{\"name\":\"t\",\"api_keys\":[\"{KEY}\"],\"guaranteed\":{{\"gpu\":0}}}},{{\"name\":\"s\",\"api_keys\":[\"{SURE_KEY}\"],\"guaranteed\":{{\"gpu\":8}}}}],\"limits\":{{}}}}",
        route("q", 1),
        route("u", 0)
    )
}

impl Deployment {
    pub fn start(record: Record, entries: usize, max_attempts: u32) -> Deployment {
        let folder = folder();
        fs::create_dir_all(&folder).expect("a temporary folder");
        let store = Store::new(record.clone());
        store.put_operator("config", &manifest(1, max_attempts));
        let mut deployment = Deployment {
            store,
            record,
            history: Arc::default(),
            entries: Vec::new(),
            ready: Vec::new(),
            folder,
        };
        for i in 0..entries {
            let (callers, ready) = (free_port(), free_port());
            let store = deployment.store.listen();
            let listeners = format!(
                "\"role\":\"entry\",\"callers\":\"{callers}\",\"ready\":\"{ready}\",\"cpu_share\":0.25"
            );
            deployment.spawn(&format!("front-{i}"), store, &listeners);
            deployment.entries.push(callers);
            deployment.ready.push(ready);
        }
        deployment
    }

    /// Starts a process with the settings of the template.
    fn spawn(&self, name: &str, store: SocketAddr, listeners: &str) {
        let metrics = free_port();
        let settings = format!(
            "{{\"platform\":{{{listeners},\"name\":\"{name}\",\"store\":\"{store}\",\"metrics\":\"{metrics}\",\"partitions\":12,\"lease_ms\":6000,\"revoke_ms\":5000,\"apply_ms\":2000,\"keep_ended_s\":120,\"grace_s\":6,\"far_factor\":3,\"checkpoint_s\":2,\"link_mbps\":1000}}}}"
        );
        let path = self.folder.join(format!("{name}.json"));
        fs::write(&path, settings).expect("a settings file");
        let log = File::create(self.folder.join(format!("{name}.log"))).expect("a log");
        let child = Command::new(PROGRAM)
            .arg("--config")
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn();
        let child = child.unwrap_or_else(|e| crate::cannot_run(&format!("{PROGRAM}: {e}")));
        CHILDREN.lock().expect("the lock").push(child);
    }

    /// Starts a worker and the agent beside it. `needs` tells what a task needs, by its name.
    pub fn add_worker(
        &self,
        number: usize,
        zone: &str,
        rack: &str,
        capacity: Capacity,
        needs: Arc<dyn Fn(&str) -> Capacity + Send + Sync>,
    ) -> Arc<Worker> {
        let (address, agent) = (free_port(), free_port());
        let store = self.store.listen();
        let listeners = format!(
            "\"role\":\"agent\",\"worker\":\"{address}\",\"heartbeats\":\"{agent}\",\"cpu_share\":0.15"
        );
        self.spawn(&format!("side-{number}"), store, &listeners);
        let place = Place {
            id: format!("i-7f3a91c{number}"),
            zone: zone.to_owned(),
            rack: rack.to_owned(),
            capacity,
            needs,
            address,
            agent,
        };
        Worker::start(place, self.history.clone(), self.record.clone())
    }

    /// Waits until all entries are ready; the case can't run without that.
    pub fn wait_ready(&self) {
        self.wait("the entries to be ready", Duration::from_secs(15), || {
            self.ready.iter().all(|address| {
                let answer = call(*address, "GET", "/api/ready", &[], "", Duration::from_secs(1));
                answer.is_some_and(|(status, _)| status == 200)
            })
        });
    }

    /// Waits for a condition without which the case can't run.
    pub fn wait(&self, what: &str, limit: Duration, condition: impl Fn() -> bool) {
        let end = Instant::now() + limit;
        while !condition() {
            if Instant::now() > end {
                crate::cannot_run(&format!("waited in vain for {what}"));
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Makes a consumer's call at an entry about a job of queue `q`; returns the status, 0 without an
    /// answer, and the body.
    pub fn call(&self, entry: usize, method: &str, job: &str, body: &str) -> (u16, Json) {
        self.call_at(entry, method, &format!("/q/{job}"), KEY, body)
    }

    /// Makes a consumer's call at an entry with the key of a tenant.
    pub fn call_at(
        &self,
        entry: usize,
        method: &str,
        path: &str,
        key: &str,
        body: &str,
    ) -> (u16, Json) {
        let patience = PATIENCE_MS.to_string();
        let headers = [
            ("Host", HOST),
            ("X-Api-Key", key),
            ("Dragonflyrun-Request-Deadline", &*patience),
        ];
        let within = Duration::from_millis(PATIENCE_MS);
        let sent = self.record.ms();
        let answer = call(self.entries[entry], method, path, &headers, body, within);
        let (status, body) = answer.unwrap_or_default();
        let text = String::from_utf8_lossy(&body).into_owned();
        self.record.line(format!(
            "consumer: {method} {path} at front-{entry}, sent at {sent}, answered {status} {text}"
        ));
        (status, Json::parse(&body).unwrap_or(Json::Null))
    }

    /// Submits a job as consumers do: again, at the next entry, until it is accepted. Returns whether it
    /// was accepted.
    pub fn submit(&self, entry: usize, job: &str, body: &str) -> bool {
        for attempt in 0..5 {
            let (status, _) = self.call((entry + attempt) % self.entries.len(), "POST", job, body);
            if (200..300).contains(&status) {
                return true;
            }
            thread::sleep(Duration::from_millis(500));
        }
        false
    }

    /// Returns the state of a job as an entry shows it; empty without one.
    pub fn state(&self, entry: usize, job: &str) -> String {
        let (_, body) = self.call(entry, "GET", job, "");
        body.text("state").to_owned()
    }
}
