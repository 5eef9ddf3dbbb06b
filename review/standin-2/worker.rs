//! A stand-in of a worker, by PROTOCOL.md: it guards its capacity, runs tasks under a lease and says
//! what has ended.
//!
//! The spec of a task begins with what becomes of it: `done MS` or `failed MS`. With `lasts` it runs until it
//! is stopped.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::net::{Json, Record, Reply, Request, call, json, serve, unix_ms};

const HEARTBEAT: Duration = Duration::from_millis(1_500);
const MAX_HOLD_MS: u64 = 6_000;
const STOP_MS: u64 = 50;
/// The time for which a task that lasts would run; no case takes as long.
const LASTS_MS: u64 = 1_000_000;

/// What a worker offers.
#[derive(Clone, Copy)]
pub struct Capacity {
    pub cpu: u64,
    pub mem_mb: u64,
    pub gpu: u64,
}

impl Capacity {
    fn fits(&self, needs: &Capacity) -> bool {
        self.cpu >= needs.cpu && self.mem_mb >= needs.mem_mb && self.gpu >= needs.gpu
    }

    fn minus(&self, needs: &Capacity) -> Capacity {
        Capacity {
            cpu: self.cpu.saturating_sub(needs.cpu),
            mem_mb: self.mem_mb.saturating_sub(needs.mem_mb),
            gpu: self.gpu.saturating_sub(needs.gpu),
        }
    }
}

struct Running {
    run: u64,
    needs: Capacity,
    ends_ms: u64,
    begun_ms: u64,
    how: &'static str,
}

#[derive(Default)]
struct State {
    token: u64,
    lease_ms: u64,
    running: BTreeMap<String, Running>,
    /// The highest run of each task that was stopped or has ended.
    over: BTreeMap<String, u64>,
    /// Number, task, run and how.
    ends: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    sequence: u64,
}

/// A start that a worker has begun.
#[derive(Clone, Debug)]
pub struct Start {
    pub at_ms: u64,
    pub task: String,
}

/// An end of a run that was taken note of.
#[derive(Clone, Debug)]
pub struct Noted {
    pub at_ms: u64,
    pub task: String,
    pub how: &'static str,
}

/// All starts and ends of a case, over all workers.
#[derive(Default)]
pub struct History {
    pub starts: Mutex<Vec<Start>>,
    /// When, which task, which run and how.
    pub ends: Mutex<Vec<(u64, String, u64, &'static str)>>,
    pub noted: Mutex<Vec<Noted>>,
}

pub struct Worker {
    pub id: String,
    zone: String,
    rack: String,
    capacity: Capacity,
    /// What the tasks of a job need, by the job's name.
    needs: Arc<dyn Fn(&str) -> Capacity + Send + Sync>,
    address: SocketAddr,
    agent: SocketAddr,
    born: u64,
    began: Instant,
    state: Mutex<State>,
    changed: Condvar,
    history: Arc<History>,
    record: Record,
}

/// The properties of a worker and the addresses of its machine.
pub struct Place {
    pub id: String,
    pub zone: String,
    pub rack: String,
    pub capacity: Capacity,
    pub needs: Arc<dyn Fn(&str) -> Capacity + Send + Sync>,
    pub address: SocketAddr,
    pub agent: SocketAddr,
}

impl Worker {
    pub fn start(place: Place, history: Arc<History>, record: Record) -> Arc<Worker> {
        let worker = Arc::new(Worker {
            id: place.id,
            zone: place.zone,
            rack: place.rack,
            capacity: place.capacity,
            needs: place.needs,
            address: place.address,
            agent: place.agent,
            born: unix_ms(),
            began: Instant::now(),
            state: Mutex::default(),
            changed: Condvar::new(),
            history,
            record,
        });
        let answering = worker.clone();
        serve(worker.address, move |req| answering.answer(&req));
        let beating = worker.clone();
        thread::spawn(move || {
            loop {
                beating.send_heartbeat();
                thread::sleep(HEARTBEAT);
            }
        });
        let working = worker.clone();
        thread::spawn(move || {
            loop {
                working.work();
                thread::sleep(Duration::from_millis(5));
            }
        });
        worker
    }

    fn clock_ms(&self) -> u64 {
        1_000 + self.began.elapsed().as_millis() as u64
    }

    /// Returns the next heartbeat.
    pub fn heartbeat(&self) -> String {
        let mut state = self.state.lock().expect("the lock");
        state.sequence += 1;
        let Capacity { cpu, mem_mb, gpu } = self.capacity;
        format!(
            "{{\"service\":\"svc\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_remaining_ms\":0,\"capacity\":{{\"cpu\":{cpu},\"mem_mb\":{mem_mb},\"gpu\":{gpu}}},\"labels\":[\"a\",\"{}\"],\"clock_ms\":{},\"born\":{},\"sequence\":{}}}",
            self.address,
            self.zone,
            self.rack,
            self.clock_ms(),
            self.born,
            state.sequence
        )
    }

    /// Returns a heartbeat of another writer under this worker's name: the fields of its capacity and
    /// others are missing.
    pub fn flawed_heartbeat(&self, sequence: u64) -> String {
        format!(
            "{{\"service\":\"svc\",\"address\":\"{}\",\"zone\":\"{}\",\"state\":\"ready\",\"capacity\":{{}},\"born\":{},\"sequence\":{sequence}}}",
            self.address, self.zone, self.born
        )
    }

    /// Sends a heartbeat; returns whether the agent has confirmed it.
    pub fn send_heartbeat(&self) -> bool {
        let body = self.heartbeat();
        self.send(&body)
    }

    /// Sends the agent a heartbeat under this worker's name; returns whether it was confirmed.
    pub fn send(&self, body: &str) -> bool {
        let path = format!("/api/instances/{}/heartbeat", self.id);
        let answer = call(self.agent, "POST", &path, &[], body, Duration::from_secs(1));
        let status = answer.map(|(status, _)| status);
        let sent = Json::parse(body.as_bytes());
        let state = sent.as_ref().map_or("", |b| b.text("state")).to_owned();
        let sequence = sent.as_ref().and_then(|b| b.number("sequence"));
        self.record.line(format!(
            "{}: heartbeat state {state:?} sequence {sequence:?}, answered {status:?}",
            self.id
        ));
        status.is_some_and(|s| (200..300).contains(&s))
    }

    fn work(&self) {
        let clock = self.clock_ms();
        let mut state = self.state.lock().expect("the lock");
        let lapsed = clock >= state.lease_ms;
        let over = state.running.iter().filter_map(|(task, r)| {
            let how = if clock >= r.ends_ms { r.how } else { "lapsed" };
            (lapsed || clock >= r.ends_ms).then(|| (task.clone(), r.run, how))
        });
        let over: Vec<_> = over.collect();
        for (task, run, how) in &over {
            state.running.remove(task);
            self.end(&mut state, task, *run, how);
        }
        drop(state);
        if !over.is_empty() {
            self.changed.notify_all();
        }
    }

    fn end(&self, state: &mut State, task: &str, run: u64, how: &'static str) {
        state.last_end += 1;
        let number = state.last_end;
        state.ends.push((number, task.to_owned(), run, how));
        let over = state.over.entry(task.to_owned()).or_default();
        *over = run.max(*over);
        self.record.line(format!("{}: {task} run {run} ends {how}", self.id));
        let mut ends = self.history.ends.lock().expect("the lock");
        ends.push((self.record.ms(), task.to_owned(), run, how));
    }

    fn answer(&self, req: &Request) -> Reply {
        if let Some(id) = req.headers.get("dragonflyrun-expected-instance")
            && *id != self.id
        {
            return json(421, "{}".to_owned());
        }
        let Some(body) = Json::parse(&req.body) else {
            return json(400, "{}".to_owned());
        };
        let token = body.number("fencing_token").unwrap_or(0);
        let clock = self.clock_ms();
        let refused = |why: &str| {
            let body = format!("{{\"clock_ms\":{clock},\"reason\":\"{why}\"}}");
            json(409, body)
        };
        let mut state = self.state.lock().expect("the lock");
        if token < state.token {
            return refused("fence");
        }
        state.token = token;
        let until = body.number("until_ms").map(|ms| ms.min(clock + MAX_HOLD_MS));
        match req.path.as_str() {
            "/api/run-start" => {
                let (task, run) = (body.text("task").to_owned(), body.number("run").unwrap_or(0));
                if until.is_none_or(|until| until <= clock) {
                    return refused("late");
                }
                if state.running.get(&task).is_some_and(|r| r.run == run) {
                    return json(200, format!("{{\"clock_ms\":{clock}}}"));
                }
                state.lease_ms = state.lease_ms.max(until.unwrap_or(0));
                if state.over.get(&task).is_some_and(|over| run <= *over) {
                    return refused("old");
                }
                let needs = (self.needs)(&task);
                let free = state.running.values().fold(self.capacity, |c, r| c.minus(&r.needs));
                if state.running.contains_key(&task) || !free.fits(&needs) {
                    return refused("room");
                }
                let mut words = body.text("spec").split(' ');
                let word = words.next().unwrap_or_default();
                let how = if word == "failed" { "failed" } else { "done" };
                let ms = words.next().and_then(|ms| ms.parse().ok());
                let ms: u64 = if word == "lasts" { LASTS_MS } else { ms.unwrap_or(1_000) };
                let running = Running {
                    run,
                    needs,
                    begun_ms: clock,
                    ends_ms: clock + ms,
                    how,
                };
                state.running.insert(task.clone(), running);
                drop(state);
                self.record.line(format!("{}: {task} run {run} starts", self.id));
                let mut starts = self.history.starts.lock().expect("the lock");
                starts.push(Start {
                    at_ms: self.record.ms(),
                    task,
                });
                json(200, format!("{{\"clock_ms\":{clock}}}"))
            }
            "/api/run-stop" => {
                let (task, run) = (body.text("task").to_owned(), body.number("run").unwrap_or(0));
                match state.running.get_mut(&task) {
                    Some(running) if running.run == run => {
                        running.ends_ms = running.ends_ms.min(clock + STOP_MS);
                        running.how = "stopped";
                    }
                    _ => {
                        let over = state.over.entry(task).or_default();
                        *over = run.max(*over);
                    }
                }
                json(200, format!("{{\"clock_ms\":{clock}}}"))
            }
            "/api/hold" => {
                state.lease_ms = state.lease_ms.max(until.unwrap_or(0));
                let acked = body.number("acked_through").unwrap_or(0);
                let noted = state.ends.iter().filter(|e| e.0 <= acked);
                let mut all = self.history.noted.lock().expect("the lock");
                all.extend(noted.map(|(_, task, _, how)| Noted {
                    at_ms: self.record.ms(),
                    task: task.clone(),
                    how,
                }));
                drop(all);
                state.ends.retain(|e| e.0 > acked);
                let wait = Duration::from_millis(body.number("wait_ms").unwrap_or(0).min(2_000));
                let until = Instant::now() + wait;
                loop {
                    let left = until.saturating_duration_since(Instant::now());
                    if !state.ends.is_empty() || left.is_zero() {
                        break;
                    }
                    state = self.changed.wait_timeout(state, left).expect("the lock").0;
                }
                json(200, self.lists(&state))
            }
            _ => json(404, "{}".to_owned()),
        }
    }

    fn lists(&self, state: &State) -> String {
        let clock = self.clock_ms();
        let running = state.running.iter().map(|(task, r)| {
            let whole = (r.ends_ms - r.begun_ms).max(1);
            let done = (clock.saturating_sub(r.begun_ms) * 100 / whole).min(99);
            // A task that lasts is at work when its percent is 100.
            let percent = if whole >= LASTS_MS { 100 } else { done };
            format!("[\"{task}\",{},\"\",{percent},0]", r.run)
        });
        let ends = state.ends.iter().take(500);
        let ends = ends.map(|(n, task, run, how)| format!("[{n},\"{task}\",{run},\"{how}\",\"\"]"));
        let running: Vec<String> = running.collect();
        let ends: Vec<String> = ends.collect();
        format!(
            "{{\"clock_ms\":{clock},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
            self.born,
            running.join(","),
            ends.join(",")
        )
    }
}
