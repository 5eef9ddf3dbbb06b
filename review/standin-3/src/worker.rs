//! A stand-in of a worker, as the pages describe it: it sends heartbeats to its agent, runs tasks under a
//! lease, refuses what doesn't fit, and lists what runs and what has ended, 500 ends at a time.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use hyper::{Method, StatusCode};
use platform::{Client, Phase, WireAnswer, WireRequest, serve};
use serde_json::{Value, json};
use tokio::{
    sync::{Notify, watch},
    time::{Instant, sleep, timeout},
};

/// Interval of heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Longest lease in milliseconds.
const MAX_HOLD_MS: u64 = 6_000;
/// Most ends in one answer.
const MAX_ENDS: usize = 500;
const MAX_WAIT_MS: u64 = 2_000;
/// The share of orders, in percent, that have no answer (`applied_late`).
const LATE_PERCENT: u64 = 50;
const RANDOM_SEED: u64 = 0x9e37_79b9_7f4a_7c15;
/// The least time that a worker that drains has left.
const REMAINING_MS: u64 = 6_000;
const TICK: Duration = Duration::from_millis(2);
/// Capacity of a worker.
pub const CPU: u64 = 64_000;
const MEM_MB: u64 = 131_072;
const GPU: u64 = 8;

/// The resources and the duration of tasks, by the name of their job.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Thousandths of a core.
    pub cpu: u64,
    /// Megabytes.
    pub mem_mb: u64,
    /// Milliseconds of work of the task with index 0.
    pub ms: u64,
    /// Milliseconds more for each index.
    pub more_ms: u64,
    /// Accelerators.
    pub gpu: u64,
    /// Whether the tasks fail by their own fault.
    pub fails: bool,
}

impl Shape {
    /// Returns the shape of tasks without accelerators that don't fail.
    pub const fn new(cpu: u64, mem_mb: u64, ms: u64, more_ms: u64) -> Self {
        Self {
            cpu,
            mem_mb,
            ms,
            more_ms,
            gpu: 0,
            fails: false,
        }
    }
}

struct Running {
    run: u64,
    began: Instant,
    ms: u64,
    shape: Shape,
}

/// A start that the worker has carried out.
#[derive(Clone, Debug)]
pub struct Start {
    /// The task's name.
    pub task: String,
    /// The number of the run.
    pub run: u64,
    /// The worker.
    pub worker: String,
    /// When it began.
    pub began: Instant,
    /// Whether the call that started it was carried out late.
    pub is_late: bool,
    /// When and how it ended, and the number of the end.
    pub ended: Option<(Instant, &'static str, u64)>,
}

/// A worker.
pub struct Worker {
    /// Its id.
    pub id: String,
    zone: String,
    rack: String,
    address: SocketAddr,
    agent: SocketAddr,
    born_ms: u64,
    began: Instant,
    shapes: Rc<RefCell<BTreeMap<String, Shape>>>,
    running: RefCell<BTreeMap<String, Running>>,
    highest: RefCell<BTreeMap<String, u64>>,
    ends: RefCell<Vec<(u64, String, u64, &'static str)>>,
    next_end: Cell<u64>,
    token: Cell<u64>,
    until_ms: Cell<u64>,
    ended: Notify,
    /// When it last sent a heartbeat.
    pub beat_at: Cell<Instant>,
    /// Until when a share of the orders has no answer and is carried out late.
    pub orders_late_until: Cell<Option<Instant>>,
    random: Cell<u64>,
    draining: Cell<bool>,
    /// When a heartbeat that says that it drains was first acknowledged.
    pub drain_acked_at: Cell<Option<Instant>>,
    beat_due: Notify,
    /// All starts.
    pub starts: RefCell<Vec<Start>>,
}

impl Worker {
    /// Starts a worker at `address`, which registers with the agent at `agent`.
    pub async fn start(
        number: usize,
        address: SocketAddr,
        agent: SocketAddr,
        shapes: Rc<RefCell<BTreeMap<String, Shape>>>,
    ) -> Rc<Self> {
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let worker = Rc::new(Self {
            id: format!("i-7f3a91c{number:x}"),
            zone: ["murau", "judenburg", "leoben"][number % 3].to_owned(),
            rack: format!("r{}", number / 3),
            address,
            agent,
            born_ms: born.map_or(0, |b| b.as_millis() as u64),
            began: Instant::now(),
            shapes,
            running: RefCell::default(),
            highest: RefCell::default(),
            ends: RefCell::default(),
            next_end: Cell::new(1),
            token: Cell::new(0),
            until_ms: Cell::new(0),
            ended: Notify::new(),
            beat_at: Cell::new(Instant::now()),
            orders_late_until: Cell::new(None),
            random: Cell::new(RANDOM_SEED + number as u64),
            draining: Cell::new(false),
            drain_acked_at: Cell::new(None),
            beat_due: Notify::new(),
            starts: RefCell::default(),
        });
        let (keep, stop) = watch::channel(Phase::default());
        std::mem::forget(keep);
        let shared = worker.clone();
        serve(address, stop, move |req| shared.clone().answer(req))
            .await
            .expect("the worker's port");
        tokio::task::spawn_local(worker.clone().send_heartbeats());
        tokio::task::spawn_local(worker.clone().run_tasks());
        worker
    }

    /// Returns the names of the tasks that run.
    pub fn tasks(&self) -> Vec<String> {
        self.running.borrow().keys().cloned().collect()
    }

    fn clock_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64 + 1_000
    }

    async fn send_heartbeats(self: Rc<Self>) {
        let client = Client::new(self.agent, 2);
        let path = format!("/api/instances/{}/heartbeat", self.id);
        let mut is_known = false;
        for sequence in 1_u64.. {
            let body = json!({
                "service": "svc", "address": self.address.to_string(), "zone": self.zone,
                "version": "v1", "slots": 8, "state": if self.draining.get() { "draining" } else { "ready" }, "cold_remaining_ms": 0,
                "capacity": {"cpu": CPU, "mem_mb": MEM_MB, "gpu": GPU},
                "labels": ["a", self.rack], "clock_ms": self.clock_ms(), "sequence": sequence,
                "born": self.born_ms, "remaining_ms": self.draining.get().then_some(REMAINING_MS),
            });
            let is_draining = self.draining.get();
            let body = body.to_string().into_bytes();
            let second = Duration::from_secs(1);
            let answer = client.call(Method::POST, &path, &[], body, second).await;
            // The agent may not have started yet at the begin.
            is_known |= answer.is_ok();
            let is_acked = answer.is_ok_and(|a| a.status == StatusCode::OK);
            if is_acked && is_draining && self.drain_acked_at.get().is_none() {
                self.drain_acked_at.set(Some(Instant::now()));
            }
            let again = if is_known {
                HEARTBEAT
            } else {
                Duration::from_millis(200)
            };
            self.beat_at.set(Instant::now());
            let _ = timeout(again, self.beat_due.notified()).await;
        }
    }

    async fn run_tasks(self: Rc<Self>) {
        loop {
            sleep(TICK).await;
            let lapsed = self.clock_ms() > self.until_ms.get();
            let due: Vec<(String, &'static str)> = {
                let running = self.running.borrow();
                let over = running.iter().filter_map(|(task, r)| {
                    let done = r.began.elapsed() >= Duration::from_millis(r.ms);
                    match (done, lapsed) {
                        (true, _) if r.shape.fails => Some((task.clone(), "failed")),
                        (true, _) => Some((task.clone(), "done")),
                        (_, true) => Some((task.clone(), "lapsed")),
                        _ => None,
                    }
                });
                over.collect()
            };
            for (task, how) in due {
                self.end(&task, how);
            }
        }
    }

    fn end(&self, task: &str, how: &'static str) {
        let Some(running) = self.running.borrow_mut().remove(task) else {
            return;
        };
        let number = self.next_end.replace(self.next_end.get() + 1);
        let end = (number, task.to_owned(), running.run, how);
        self.ends.borrow_mut().push(end);
        let mut starts = self.starts.borrow_mut();
        let start = starts
            .iter_mut()
            .rev()
            .find(|s| s.task == task && s.run == running.run);
        if let Some(start) = start {
            start.ended = Some((Instant::now(), how, number));
        }
        drop(starts);
        self.ended.notify_waiters();
    }

    /// Says from now on that it drains.
    pub fn drain(&self) {
        self.draining.set(true);
        self.beat_due.notify_one();
    }

    /// Returns a number below `limit`, from a sequence that is the same in each run.
    fn draw(&self, limit: u64) -> u64 {
        let mut x = self.random.get();
        x ^= x << 13;
        x ^= x >> 7;
        x ^= x << 17;
        self.random.set(x);
        x % limit
    }

    async fn answer(self: Rc<Self>, req: WireRequest) -> WireAnswer {
        let expected = req.headers.get("Dragonflyrun-Expected-Instance");
        if expected.is_some_and(|e| e.as_bytes() != self.id.as_bytes()) {
            return WireAnswer::status(StatusCode::MISDIRECTED_REQUEST);
        }
        let Ok(body) = serde_json::from_slice::<Value>(&req.body) else {
            return WireAnswer::status(StatusCode::BAD_REQUEST);
        };
        if req.path == "/api/hold" {
            if !self.accepts(&body) {
                return self.refuse("fence");
            }
            return self.hold(&body).await;
        }
        let is_window = self
            .orders_late_until
            .get()
            .is_some_and(|until| Instant::now() < until);
        if is_window && self.draw(100) < LATE_PERCENT {
            let after = Duration::from_millis(2_000 + self.draw(10_000));
            let (worker, path) = (self.clone(), req.path.clone());
            tokio::task::spawn_local(async move {
                sleep(after).await;
                worker.order(&path, &body, true);
            });
            return std::future::pending().await;
        }
        self.order(&req.path, &body, false)
    }

    /// Returns whether the token of a call isn't lower than the highest one.
    fn accepts(&self, body: &Value) -> bool {
        let token = body["fencing_token"].as_u64().unwrap_or(0);
        if token < self.token.get() {
            return false;
        }
        self.token.set(token);
        true
    }

    fn order(&self, path: &str, body: &Value, is_late: bool) -> WireAnswer {
        if !self.accepts(body) {
            return self.refuse("fence");
        }
        match path {
            "/api/run-start" => self.start_task(body, is_late),
            "/api/run-stop" => self.stop_task(body),
            _ => WireAnswer::status(StatusCode::NOT_FOUND),
        }
    }

    async fn hold(&self, body: &Value) -> WireAnswer {
        self.extend(body);
        let acked = body["acked_through"].as_u64().unwrap_or(0);
        self.ends.borrow_mut().retain(|end| end.0 > acked);
        let wait = body["wait_ms"].as_u64().unwrap_or(0).min(MAX_WAIT_MS);
        let until = Instant::now() + Duration::from_millis(wait);
        while self.ends.borrow().is_empty() && Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            let _ = timeout(left, self.ended.notified()).await;
        }
        let running: Vec<Value> = {
            let running = self.running.borrow();
            let rows = running.iter().map(|(task, r)| {
                let percent = r.began.elapsed().as_millis() as u64 * 100 / r.ms.max(1);
                json!([task, r.run, "", percent.min(100), r.shape.cpu])
            });
            rows.collect()
        };
        let ends = self.ends.borrow();
        let finished: Vec<Value> = ends
            .iter()
            .take(MAX_ENDS)
            .map(|(number, task, run, how)| json!([number, task, run, how, ""]))
            .collect();
        WireAnswer::json(&json!({
            "clock_ms": self.clock_ms(), "born": self.born_ms, "running": running,
            "finished": finished,
        }))
    }

    fn start_task(&self, body: &Value, is_late: bool) -> WireAnswer {
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run = body["run"].as_u64().unwrap_or(0);
        let known = self.running.borrow().get(&task).map(|r| r.run);
        if known == Some(run) {
            return self.ok();
        }
        let until = body["until_ms"].as_u64().unwrap_or(0);
        if until < self.clock_ms() {
            return self.refuse("late");
        }
        self.extend(body);
        let highest = self.highest.borrow().get(&task).copied().unwrap_or(0);
        if run <= highest || known.is_some() {
            return self.refuse("old");
        }
        let mut parts = task.split('.');
        let job = parts.next().unwrap_or_default();
        let index: u64 = parts.next_back().and_then(|i| i.parse().ok()).unwrap_or(0);
        let Some(shape) = self.shapes.borrow().get(job).copied() else {
            return WireAnswer::status(StatusCode::BAD_REQUEST);
        };
        let used = {
            let running = self.running.borrow();
            let sum = running.values().fold((0, 0, 0), |s, r| {
                (s.0 + r.shape.cpu, s.1 + r.shape.mem_mb, s.2 + r.shape.gpu)
            });
            sum
        };
        if used.0 + shape.cpu > CPU || used.1 + shape.mem_mb > MEM_MB || used.2 + shape.gpu > GPU {
            return self.refuse("room");
        }
        let began = Instant::now();
        self.highest.borrow_mut().insert(task.clone(), run);
        self.starts.borrow_mut().push(Start {
            task: task.clone(),
            run,
            worker: self.id.clone(),
            began,
            is_late,
            ended: None,
        });
        let ms = shape.ms + shape.more_ms * index;
        let running = Running {
            run,
            began,
            ms,
            shape,
        };
        self.running.borrow_mut().insert(task, running);
        self.ok()
    }

    fn stop_task(&self, body: &Value) -> WireAnswer {
        let task = body["task"].as_str().unwrap_or_default();
        let run = body["run"].as_u64().unwrap_or(0);
        let running = self.running.borrow().get(task).map(|r| r.run);
        if running == Some(run) {
            self.end(task, "stopped");
        }
        let mut highest = self.highest.borrow_mut();
        let known = highest.entry(task.to_owned()).or_default();
        *known = run.max(*known);
        drop(highest);
        self.ok()
    }

    fn extend(&self, body: &Value) {
        if let Some(until) = body["until_ms"].as_u64() {
            let until = until.min(self.clock_ms() + MAX_HOLD_MS);
            self.until_ms.set(self.until_ms.get().max(until));
        }
    }

    fn ok(&self) -> WireAnswer {
        WireAnswer::json(&json!({"clock_ms": self.clock_ms()}))
    }

    fn refuse(&self, reason: &str) -> WireAnswer {
        let body = json!({"clock_ms": self.clock_ms(), "reason": reason});
        WireAnswer {
            status: StatusCode::CONFLICT,
            ..WireAnswer::json(&body)
        }
    }
}
