//! Starts the project's programs as processes of their own, with the commands of the deploy file, and
//! keeps the record of a case.

use std::{
    fmt::Write as _,
    fs,
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    net::{call, field, listener},
    store::Store,
    worker::Event,
};

/// The program of both roles in `deploy/system.toml`.
const PROGRAM: &str = "target/release/dragonflyrund";

/// The key of the only tenant.
pub const KEY: &str = "a-key";

/// How long a consumer waits for an answer.
pub const BUDGET: Duration = Duration::from_secs(3);

/// The record of a case: what was sent, answered and run.
pub struct Record {
    began: Instant,
    text: Mutex<String>,
    path: PathBuf,
}

impl Record {
    /// Returns an empty record that is written to `record.txt` in `folder`.
    pub fn new(folder: &Path) -> Arc<Self> {
        Arc::new(Self {
            began: Instant::now(),
            text: Mutex::default(),
            path: folder.join("record.txt"),
        })
    }

    /// Adds a line with the time since the start of the case.
    pub fn line(&self, line: &str) {
        self.line_at(Instant::now(), line);
    }

    /// Adds a line about an earlier moment.
    pub fn line_at(&self, at: Instant, line: &str) {
        let line = self.add(at, line);
        let text = self.text.lock().unwrap();
        let _ = fs::write(&self.path, &*text);
        println!("{line}");
    }

    /// Adds a line for each thing that the workers did, in the order of time, and prints none of them.
    pub fn events(&self, events: &[Event]) {
        let mut events: Vec<&Event> = events.iter().collect();
        events.sort_by_key(|e| e.at);
        for event in events {
            let Event {
                what,
                task,
                run,
                how,
                ..
            } = event;
            self.add(event.at, &format!("worker: {what} {task} run {run} {how}"));
        }
    }

    fn add(&self, at: Instant, line: &str) -> String {
        let seconds = at.saturating_duration_since(self.began).as_secs_f64();
        let line = format!("{seconds:8.3} {line}");
        let mut text = self.text.lock().unwrap();
        let _ = writeln!(text, "{line}");
        line
    }
}

/// A process of the project; it is killed when this is dropped.
pub struct Process(Child);

impl Process {
    /// Sends a signal, such as `STOP`, to this process only.
    pub fn signal(&self, name: &str) {
        let pid = self.0.id();
        let command = format!("kill -{name} {pid}");
        let _ = Command::new("sh").args(["-c", &command]).status();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A relay between a process and the store that can be partitioned.
pub struct Link {
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
}

impl Link {
    /// Starts a relay to `to`.
    pub fn start(to: SocketAddr) -> Self {
        let listener = listener();
        let address = listener.local_addr().expect("an address");
        let cut = Arc::new(AtomicBool::new(false));
        let shared = cut.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let cut = shared.clone();
                thread::spawn(move || {
                    // While the link is cut, a connection opens and nothing passes.
                    wait_while(&cut);
                    let Ok(other) = TcpStream::connect(to) else {
                        return;
                    };
                    relay_both(&stream, &other, &cut);
                });
            }
        });
        Self { address, cut }
    }

    /// Holds back all bytes, or passes them on again.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }
}

fn wait_while(cut: &AtomicBool) {
    while cut.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(2));
    }
}

fn relay_both(a: &TcpStream, b: &TcpStream, cut: &Arc<AtomicBool>) {
    let _ = (a.set_nodelay(true), b.set_nodelay(true));
    for (from, to) in [(a, b), (b, a)] {
        let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else {
            return;
        };
        let cut = cut.clone();
        thread::spawn(move || {
            let mut buf = vec![0; 1 << 16];
            loop {
                let length = from.read(&mut buf).unwrap_or(0);
                wait_while(&cut);
                if length == 0 || to.write_all(&buf[..length]).is_err() {
                    let _ = to.shutdown(Shutdown::Both);
                    let _ = from.shutdown(Shutdown::Both);
                    return;
                }
            }
        });
    }
}

/// An entry.
pub struct Entry {
    _process: Process,
    pub name: String,
    pub callers: SocketAddr,
    pub api: SocketAddr,
}

/// An agent.
pub struct Agent {
    pub process: Process,
    pub heartbeats: SocketAddr,
}

/// The temporary folder of the settings; it is removed when this is dropped.
pub struct Folder(PathBuf);

impl Folder {
    /// Makes a new folder.
    pub fn new() -> Self {
        let path = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }

    /// Starts a process with these settings, which are `deploy/settings.json` rendered for a small
    /// deployment.
    fn start(&self, name: &str, store: SocketAddr, of_role: &str) -> Process {
        let settings = format!(
            concat!(
                r#"{{"platform":{{"name":"{}","store":"{}",{},"partitions":12,"lease_ms":6000,"#,
                r#""revoke_ms":5000,"apply_ms":2000,"keep_ended_s":120,"grace_s":6,"far_factor":3,"#,
                r#""checkpoint_s":2,"cpu_share":0.25,"link_mbps":1000.0}}}}"#
            ),
            name, store, of_role
        );
        let path = self.0.join(format!("{name}.json"));
        fs::write(&path, settings).expect("settings");
        let log = fs::File::create(self.0.join(format!("{name}.log"))).expect("a log");
        let child = Command::new(PROGRAM)
            .arg("--config")
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("the program of the deploy file; build it first");
        note_pid(child.id());
        Process(child)
    }

    /// Starts an entry whose store is at `store`.
    pub fn entry(&self, name: &str, store: SocketAddr) -> Entry {
        let [callers, ready, api] = free_addresses();
        let of_role =
            format!(r#""role":"entry","callers":"{callers}","ready":"{ready}","metrics":"{api}""#);
        Entry {
            _process: self.start(name, store, &of_role),
            name: name.to_owned(),
            callers,
            api,
        }
    }

    /// Starts an agent for the worker at `worker`.
    pub fn agent(&self, name: &str, store: SocketAddr, worker: SocketAddr) -> Agent {
        let [heartbeats, api] = free_addresses();
        let of_role = format!(
            r#""role":"agent","worker":"{worker}","heartbeats":"{heartbeats}","metrics":"{api}""#
        );
        Agent {
            process: self.start(name, store, &of_role),
            heartbeats,
        }
    }
}

/// Tells `run.sh` of a process, so that it ends it if the case itself is interrupted.
fn note_pid(pid: u32) {
    let Ok(path) = std::env::var("REVIEW_PIDS") else {
        return;
    };
    let file = fs::OpenOptions::new().append(true).create(true).open(path);
    if let Ok(mut file) = file {
        let _ = writeln!(file, "{pid}");
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var("REVIEW_KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// Ports below those that the system gives to outgoing connections, so that none of them takes one
/// before the program listens on it.
const PORTS: std::ops::Range<u16> = 12_000..32_000;

/// How many ports this process has tried, from a start of its own.
static TRIED_PORTS: AtomicUsize = AtomicUsize::new(0);

/// Returns loopback addresses whose ports are free.
fn free_addresses<const N: usize>() -> [SocketAddr; N] {
    std::array::from_fn(|_| {
        loop {
            let tried = TRIED_PORTS.fetch_add(1, Ordering::Relaxed);
            let step = (std::process::id() as usize * 97 + tried) % PORTS.len();
            let address = SocketAddr::from(([127, 0, 0, 1], PORTS.start + step as u16));
            if TcpListener::bind(address).is_ok() {
                return address;
            }
        }
    })
}

impl Entry {
    /// Makes a consumer's call to the queue `queue`, and records it if `record` is given.
    pub fn call(
        &self,
        record: Option<&Record>,
        method: &str,
        queue: &str,
        id: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let path = format!("/{queue}/{id}");
        let budget = BUDGET.as_millis().to_string();
        let headers = [
            ("host", "jobs.example"),
            ("x-api-key", KEY),
            ("dragonflyrun-request-deadline", budget.as_str()),
        ];
        let sent = Instant::now();
        let answer = call(self.callers, method, &path, &headers, body, BUDGET).ok();
        if let Some(record) = record {
            record.line_at(
                sent,
                &format!("consumer -> {}: {method} {path} {body}", self.name),
            );
            let text = match &answer {
                Some((status, body)) => format!("{status} {body}"),
                None => "no answer".to_owned(),
            };
            record.line(&format!(
                "consumer <- {}: {method} {path}: {text}",
                self.name
            ));
        }
        answer
    }

    /// Returns whether the entry plans, by its own interface.
    pub fn plans(&self) -> bool {
        let answer = call(self.api, "GET", "/v1/deployment", &[], "", BUDGET);
        answer.is_ok_and(|(_, body)| field(&body, "plans_here") == Some("true"))
    }

    fn is_ready(&self) -> bool {
        self.call(None, "GET", "q", "", "")
            .is_some_and(|(status, _)| status == 200)
    }
}

/// A manifest with the queues `q` and `r` of one tenant.
pub fn manifest() -> String {
    let route = |name: &str, priority: u32| {
        format!(
            concat!(
                r#"{{"name":"{}","host":"jobs.example","path_prefix":"/{}/","service":"svc","#,
                r#""priority":{},"max_attempts":3,"stretch":3.0,"target_latency_ms":1000,"public":false}}"#
            ),
            name, name, priority
        )
    };
    format!(
        concat!(
            r#"{{"version":3,"routes":[{},{}],"services":[{{"name":"svc","rejects_overload":true}}],"#,
            r#""tenants":[{{"name":"w","api_keys":["{}"],"guaranteed":{{"gpu":4}}}}],"limits":{{}}}}"#
        ),
        route("q", 1),
        route("r", 1),
        KEY
    )
}

/// Waits until `is_true`; returns whether that was within `limit`.
pub fn wait_until(limit: Duration, is_true: impl Fn() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if is_true() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}

/// Waits until all entries answer and one of them plans; moves that one to the front.
pub fn wait_ready(entries: &mut [Entry]) -> bool {
    let is_up = wait_until(Duration::from_secs(20), || {
        entries.iter().all(Entry::is_ready) && entries.iter().any(Entry::plans)
    });
    entries.sort_by_key(|e| !e.plans());
    is_up
}

/// Starts a store and three entries, each behind a link of its own.
pub fn start_entries(folder: &Folder) -> (Arc<Store>, Vec<(Entry, Link)>) {
    let store = Store::start(&manifest());
    let entries = (1..=3).map(|i| {
        let link = Link::start(store.address);
        (folder.entry(&format!("entry-{i}"), link.address), link)
    });
    let entries = entries.collect();
    (store, entries)
}
