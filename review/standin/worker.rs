//! A stand-in of a worker: capacity, leases, fencing tokens, runs and ends as in PROTOCOL.md.

use std::{
    collections::{BTreeMap, HashMap},
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::net::{Answer, Request, call, field, number, serve};

/// Interval of the heartbeats, `heartbeat_ms` of the settings.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// How many ends are listed at a time.
const LISTED_ENDS: usize = 500;

/// `bounds.checkpoint_s` of the settings.
const CHECKPOINT: Duration = Duration::from_secs(2);

/// What a worker is.
#[derive(Clone)]
pub struct Kind {
    pub name: String,
    pub zone: String,
    /// Its kind, the first label.
    pub label: String,
    pub rack: String,
    pub cpu: u64,
    pub mem_mb: u64,
}

/// How long the tasks of a job run, and what each of them needs.
#[derive(Clone, Copy)]
pub struct Work {
    /// The shortest run of a task.
    pub task: Duration,
    /// How much longer the longest one is; the tasks of a job lie evenly between.
    pub uneven: Duration,
    pub cpu: u64,
    pub mem_mb: u64,
    pub saves: bool,
}

struct Running {
    run: u64,
    began: Instant,
    work: Work,
}

/// Something that the worker did, for the record.
#[derive(Clone, Debug)]
pub struct Event {
    pub at: Instant,
    pub what: &'static str,
    pub task: String,
    pub run: u64,
    pub how: String,
}

#[derive(Default)]
struct State {
    token: u64,
    until_ms: u64,
    acked: u64,
    running: BTreeMap<String, Running>,
    /// Number, task, run, how, checkpoint.
    ends: Vec<(u64, String, u64, &'static str, String)>,
    last_end: u64,
    ended: HashMap<String, u64>,
    events: Vec<Event>,
    most_unacked: usize,
}

/// The worker.
pub struct Worker {
    kind: Kind,
    work: HashMap<String, Work>,
    began: Instant,
    born_ms: u64,
    state: Mutex<State>,
    changed: Condvar,
}

impl Worker {
    /// Starts a worker at `listener` that registers with the agent at `agent`. `work` gives the work of
    /// the tasks of each job, by the job's id.
    pub fn start(
        kind: Kind,
        listener: TcpListener,
        agent: SocketAddr,
        work: HashMap<String, Work>,
    ) -> Arc<Self> {
        let address = listener.local_addr().expect("an address");
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let worker = Arc::new(Self {
            kind,
            work,
            began: Instant::now(),
            born_ms: unix.as_millis() as u64,
            state: Mutex::default(),
            changed: Condvar::new(),
        });
        let shared = worker.clone();
        serve(listener, move |req| shared.answer(&req));
        let shared = worker.clone();
        thread::spawn(move || shared.beat(address, agent));
        let shared = worker.clone();
        thread::spawn(move || shared.work());
        worker
    }

    /// Returns all that the worker has done.
    pub fn events(&self) -> Vec<Event> {
        self.state.lock().unwrap().events.clone()
    }

    /// Returns the number of running tasks.
    pub fn running(&self) -> usize {
        self.state.lock().unwrap().running.len()
    }

    /// Returns the most ends that were listed or waited to be listed at a time.
    pub fn most_unacked(&self) -> usize {
        self.state.lock().unwrap().most_unacked
    }

    fn clock_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64 + 1_000
    }

    fn beat(&self, address: SocketAddr, agent: SocketAddr) {
        let path = format!("/api/instances/{}/heartbeat", self.kind.name);
        for sequence in 1.. {
            let body = format!(
                concat!(
                    r#"{{"service":"svc","address":"{}","zone":"{}","version":"v1","slots":8,"#,
                    r#""state":"ready","cold_remaining_ms":0,"capacity":{{"cpu":{},"mem_mb":{},"gpu":8}},"#,
                    r#""labels":["{}","{}"],"clock_ms":{},"sequence":{},"born":{}}}"#
                ),
                address,
                self.kind.zone,
                self.kind.cpu,
                self.kind.mem_mb,
                self.kind.label,
                self.kind.rack,
                self.clock_ms(),
                sequence,
                self.born_ms
            );
            let _ = call(agent, "POST", &path, &[], &body, Duration::from_secs(1));
            thread::sleep(HEARTBEAT);
        }
    }

    /// Ends the tasks that are done and those whose lease has expired.
    fn work(&self) {
        loop {
            thread::sleep(Duration::from_millis(5));
            let mut state = self.state.lock().unwrap();
            let lapsed = self.clock_ms() > state.until_ms;
            let over: Vec<String> = state
                .running
                .iter()
                .filter(|(_, r)| lapsed || r.began.elapsed() >= r.work.task)
                .map(|(task, _)| task.clone())
                .collect();
            for task in over {
                self.end(&mut state, &task, if lapsed { "lapsed" } else { "done" });
            }
        }
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(running) = state.running.remove(task) else {
            return;
        };
        state.last_end += 1;
        let (number, run) = (state.last_end, running.run);
        let saved = checkpoint(task, &running);
        state.ends.push((number, task.to_owned(), run, how, saved));
        state.most_unacked = state.most_unacked.max(state.ends.len());
        state.ended.insert(task.to_owned(), run);
        state.events.push(Event {
            at: Instant::now(),
            what: "end",
            task: task.to_owned(),
            run,
            how: format!("{how}, number {number}"),
        });
        self.changed.notify_all();
    }

    fn answer(&self, req: &Request) -> Option<Answer> {
        let expected = req.headers.get("dragonflyrun-expected-instance");
        if expected.is_some_and(|e| *e != self.kind.name) {
            return Answer::new(421, "{}");
        }
        let body = String::from_utf8_lossy(&req.body).into_owned();
        let token = number(&body, "fencing_token").unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        if token < state.token {
            return self.refuse("fence");
        }
        state.token = token;
        let task = field(&body, "task").unwrap_or_default().to_owned();
        let run = number(&body, "run").unwrap_or(0);
        match req.path.as_str() {
            "/api/run-start" => self.begin(&mut state, &body, task, run),
            "/api/run-stop" => {
                if state.running.get(&task).is_some_and(|r| r.run == run) {
                    self.end(&mut state, &task, "stopped");
                }
                let ended = state.ended.entry(task).or_default();
                *ended = run.max(*ended);
                self.ok()
            }
            "/api/hold" => {
                let until = number(&body, "until_ms").unwrap_or(0);
                state.until_ms = state.until_ms.max(until);
                let acked = number(&body, "acked_through").unwrap_or(0);
                self.acknowledge(&mut state, acked);
                let wait = number(&body, "wait_ms").unwrap_or(0).min(2_000);
                let until = Instant::now() + Duration::from_millis(wait);
                while state.ends.is_empty() {
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
                Answer::new(200, self.lists(&state))
            }
            _ => Answer::new(404, "{}"),
        }
    }

    fn acknowledge(&self, state: &mut State, acked: u64) {
        if acked <= state.acked {
            return;
        }
        let (noted, left): (Vec<_>, Vec<_>) = std::mem::take(&mut state.ends)
            .into_iter()
            .partition(|e| e.0 <= acked);
        state.ends = left;
        state.acked = acked;
        for (_, task, run, how, _) in noted {
            state.events.push(Event {
                at: Instant::now(),
                what: "noted",
                task,
                run,
                how: how.to_owned(),
            });
        }
    }

    fn begin(&self, state: &mut State, body: &str, task: String, run: u64) -> Option<Answer> {
        if state.running.get(&task).is_some_and(|r| r.run == run) {
            return self.ok();
        }
        let until = number(body, "until_ms").unwrap_or(0);
        let is_old = run <= state.ended.get(&task).copied().unwrap_or(0);
        if is_old || state.running.contains_key(&task) {
            state.until_ms = state.until_ms.max(until);
            return self.refuse("old");
        }
        if self.clock_ms() > until {
            return self.refuse("late");
        }
        state.until_ms = state.until_ms.max(until);
        let job = task.split('.').next().unwrap_or_default();
        let Some(mut work) = self.work.get(job).copied() else {
            return Answer::new(400, "{}");
        };
        let index: u32 = task
            .rsplit('.')
            .next()
            .and_then(|i| i.parse().ok())
            .unwrap_or(0);
        work.task += work.uneven * (index % 100) / 100;
        let used = state
            .running
            .values()
            .fold((0, 0), |sum, r| (sum.0 + r.work.cpu, sum.1 + r.work.mem_mb));
        if used.0 + work.cpu > self.kind.cpu || used.1 + work.mem_mb > self.kind.mem_mb {
            return self.refuse("room");
        }
        state.events.push(Event {
            at: Instant::now(),
            what: "start",
            task: task.clone(),
            run,
            how: field(body, "checkpoint").unwrap_or_default().to_owned(),
        });
        let began = Instant::now();
        state.running.insert(task, Running { run, began, work });
        self.ok()
    }

    fn lists(&self, state: &State) -> String {
        let running = state.running.iter().map(|(task, r)| {
            let share = r.began.elapsed().as_secs_f64() / r.work.task.as_secs_f64();
            let percent = (share * 100.0).min(99.0) as u64;
            let saved = checkpoint(task, r);
            format!(r#"["{task}",{},"{saved}",{percent},{}]"#, r.run, r.work.cpu)
        });
        let running: Vec<String> = running.collect();
        let ends = state.ends.iter().take(LISTED_ENDS);
        let ends = ends
            .map(|(n, task, run, how, saved)| format!(r#"[{n},"{task}",{run},"{how}","{saved}"]"#));
        let ends: Vec<String> = ends.collect();
        format!(
            r#"{{"clock_ms":{},"born":{},"running":[{}],"finished":[{}]}}"#,
            self.clock_ms(),
            self.born_ms,
            running.join(","),
            ends.join(",")
        )
    }

    fn ok(&self) -> Option<Answer> {
        Answer::new(200, format!(r#"{{"clock_ms":{}}}"#, self.clock_ms()))
    }

    fn refuse(&self, reason: &str) -> Option<Answer> {
        let clock = self.clock_ms();
        Answer::new(
            409,
            format!(r#"{{"clock_ms":{clock},"reason":"{reason}"}}"#),
        )
    }
}

/// Returns the newest checkpoint of a run: one for each two seconds of work, 16 digits.
fn checkpoint(task: &str, running: &Running) -> String {
    let saved = running.began.elapsed().as_secs() / CHECKPOINT.as_secs();
    if !running.work.saves || saved == 0 {
        return String::new();
    }
    let name = task
        .bytes()
        .fold(7_u32, |h, b| h.wrapping_mul(31).wrapping_add(u32::from(b)));
    format!("{saved:08x}{name:08x}")
}
