//! A worker of the model: its runs, their ends, a fencing token, and a lease on its own slow clock.

use std::collections::BTreeMap;

use dragonflyrun::{
    port::{End, EndKind, Heartbeat, RunningTask, StartOrder, StartOutcome, WorkerLists},
    utils::Name,
    workload::{IncarnationId, Resources, RunId, Step, TaskId},
};
use rand::{Rng, rngs::SmallRng};

use super::{STEP_MS, World};

/// The time of day at the start of the model.
pub(crate) const EPOCH_MS: u64 = 1_000_000;

/// Accelerators of a worker.
pub(crate) const ACCELERATORS: u64 = 3;

/// Most milliseconds by which a host's clock is wrong.
const MAX_CLOCK_ERROR_MS: u64 = 20_000;

/// How long a member of a gang waits for the others, in milliseconds.
const GANG_TIMEOUT_MS: u64 = 2_000;

/// A run of the model.
#[derive(Debug)]
pub(crate) struct ModelRun {
    began_at: u64,
    task_ms: u64,
    /// `None` while a member of a gang waits for the others.
    ends_at: Option<u64>,
    /// Whether the run of a gang's member will fail.
    fails: bool,
    accelerators: u64,
    gang: bool,
}

/// A worker in its current incarnation.
#[derive(Debug)]
pub(crate) struct ModelWorker {
    pub(crate) name: String,
    pub(crate) running: BTreeMap<RunId, ModelRun>,
    /// How the worker refuses every start until the given time.
    pub(crate) refusal: Option<(StartOutcome, u64)>,
    /// The ends that are not confirmed.
    pub(crate) ends: Vec<End>,
    index: usize,
    restarts: u32,
    started_at: u64,
    /// When a run last began, 0 if none did.
    pub(crate) last_start: u64,
    /// The time of day of its start. The host's clock may have been wrong.
    born_ms: u64,
    /// A heartbeat of each earlier incarnation, which the network may deliver late.
    pub(crate) late_heartbeats: Vec<Heartbeat>,
    down_until: Option<u64>,
    clock_rate: f64,
    ended: BTreeMap<TaskId, u32>,
    next_end: u64,
    token: u64,
    lease_until: u64,
    expired_at: u64,
    ended_at: BTreeMap<u64, u64>,
    sequence: u64,
}

impl ModelWorker {
    /// Returns a worker that starts now, when its host says that it is `born_ms`, and whose own clock
    /// runs at `clock_rate`.
    pub(crate) fn new(index: usize, now: u64, born_ms: u64, clock_rate: f64) -> Self {
        Self {
            name: format!("w{index}"),
            running: BTreeMap::new(),
            refusal: None,
            ends: Vec::new(),
            index,
            restarts: 0,
            started_at: now,
            last_start: 0,
            born_ms,
            late_heartbeats: Vec::new(),
            down_until: None,
            clock_rate,
            ended: BTreeMap::new(),
            next_end: 1,
            token: 0,
            lease_until: 0,
            expired_at: 0,
            ended_at: BTreeMap::new(),
            sequence: 0,
        }
    }

    /// Returns whether the worker process is running.
    pub(crate) fn is_up(&self) -> bool {
        self.down_until.is_none()
    }

    /// Returns the number of accelerators in use.
    pub(crate) fn used(&self) -> u64 {
        self.running.values().map(|run| run.accelerators).sum()
    }

    /// Returns how the worker refuses every start at this time.
    pub(crate) fn refusal(&self, now: u64) -> Option<StartOutcome> {
        let refusal = self.refusal.filter(|(_, until)| now < *until);
        refusal.map(|(outcome, _)| outcome)
    }

    /// Returns the identity of this incarnation.
    pub(crate) fn incarnation(&self) -> IncarnationId {
        IncarnationId {
            worker: self.name.as_str().into(),
            born_ms: self.born_ms,
        }
    }

    fn clock(&self, now: u64) -> u64 {
        ((now - self.started_at) as f64 * self.clock_rate) as u64
    }

    /// Returns the worker's next heartbeat.
    pub(crate) fn heartbeat(&mut self) -> Heartbeat {
        self.sequence += 1;
        Heartbeat {
            worker: self.name.as_str().into(),
            born_ms: self.born_ms,
            address: format!("host-{}", self.index).into(),
            service: "svc".into(),
            failure_domain: "north".into(),
            draining: false,
            capacity: Resources {
                cpu_millis: 64_000,
                memory_mb: 100,
                accelerators: ACCELERATORS,
            },
            labels: Vec::new(),
            rack: Some("r1".into()),
            remaining_ms: None,
            sequence: self.sequence,
        }
    }

    /// Executes a start call of a task of this shape that takes `task_ms`.
    pub(crate) fn start(
        &mut self,
        now: u64,
        order: &StartOrder,
        task_ms: u64,
        shape: &Step,
    ) -> StartOutcome {
        if let Some(refusal) = self.refusal(now) {
            return refusal;
        }
        if order.token < self.token {
            return StartOutcome::Fenced;
        }
        self.token = order.token;
        if self.running.contains_key(&order.run) {
            return StartOutcome::Started;
        }
        self.lease_until = self.lease_until.max(order.lease_until_ms);
        let last_ended = self.ended.get(&order.run.task).copied().unwrap_or(0);
        let is_running = self.running.keys().any(|r| r.task == order.run.task);
        if order.run.number <= last_ended || is_running {
            return StartOutcome::Superseded;
        }
        if self.clock(now) >= order.lease_until_ms {
            return StartOutcome::Expired;
        }
        if self.used() + shape.needs.accelerators > ACCELERATORS {
            return StartOutcome::NoRoom;
        }
        let run = ModelRun {
            began_at: now,
            task_ms,
            ends_at: (!shape.gang).then_some(now + task_ms),
            fails: false,
            accelerators: shape.needs.accelerators,
            gang: shape.gang,
        };
        self.running.insert(order.run.clone(), run);
        self.last_start = now;
        StartOutcome::Started
    }

    /// Executes a stop call and returns whether the token was accepted.
    pub(crate) fn stop(&mut self, run: &RunId, token: u64) -> bool {
        if token < self.token {
            return false;
        }
        self.token = token;
        if self.running.contains_key(run) {
            self.end(0, run.clone(), EndKind::Stopped);
        }
        let last_ended = self.ended.entry(run.task.clone()).or_default();
        *last_ended = run.number.max(*last_ended);
        true
    }

    /// Executes a list call: removes confirmed ends, extends the lease, and returns the lists with
    /// the confirmed ends that count. Returns `None` for a superseded token.
    pub(crate) fn renew(
        &mut self,
        now: u64,
        token: u64,
        confirmed: u64,
        lease: Option<u64>,
    ) -> Option<(WorkerLists, Vec<End>)> {
        if token < self.token {
            return None;
        }
        self.token = token;
        self.lease_until = self.lease_until.max(lease.unwrap_or(0));
        let (confirmed_ends, pending): (Vec<End>, Vec<End>) = std::mem::take(&mut self.ends)
            .into_iter()
            .partition(|e| e.number <= confirmed);
        self.ends = pending;
        // An end that is confirmed only after the lease has expired doesn't count, because the task
        // may have been started elsewhere by then.
        let expired_at = self.expired_at;
        let counts = |e: &End| {
            self.ended_at
                .get(&e.number)
                .is_some_and(|at| expired_at < *at)
        };
        let counted: Vec<End> = confirmed_ends.into_iter().filter(counts).collect();
        let running = self.running.keys().map(|run| RunningTask {
            run: run.clone(),
            checkpoint: String::new(),
            percent: 100,
        });
        let lists = WorkerLists {
            clock_ms: self.clock(now),
            born_ms: Some(self.born_ms),
            running: running.collect(),
            run_ends: self.ends.clone(),
        };
        Some((lists, counted))
    }

    fn end(&mut self, now: u64, run: RunId, kind: EndKind) {
        self.ended_at.insert(self.next_end, now);
        self.running.remove(&run);
        self.ended.insert(run.task.clone(), run.number);
        self.ends.push(End {
            number: self.next_end,
            run,
            kind,
            checkpoint: String::new(),
        });
        self.next_end += 1;
    }
}

/// Ends the runs that are due or whose lease has expired, and restarts a worker that is down.
pub(crate) fn step(world: &mut World, i: usize) {
    let now = world.now;
    if world.workers[i]
        .down_until
        .is_some_and(|until| until <= now)
    {
        // The worker returns under its own name or, as after a power failure, under another one.
        let renamed = world.happens(500);
        let clock_rate = world.rng.random_range(0.98..1.0);
        let is_clock_wrong = world.happens(world.fault_rates.wrong_clocks);
        // No two incarnations start at the same time of day.
        let born_ms = match is_clock_wrong {
            true => {
                EPOCH_MS + now + world.rng.random_range(0..2 * MAX_CLOCK_ERROR_MS)
                    - MAX_CLOCK_ERROR_MS
            }
            false => EPOCH_MS + now,
        };
        let worker = &mut world.workers[i];
        let restarts = worker.restarts + 1;
        let mut late_heartbeats = std::mem::take(&mut worker.late_heartbeats);
        late_heartbeats.push(worker.heartbeat());
        *worker = ModelWorker {
            restarts,
            late_heartbeats,
            ..ModelWorker::new(i, now, born_ms, clock_rate)
        };
        if renamed {
            worker.name = format!("w{i}-{restarts}");
        }
    }
    let worker = &mut world.workers[i];
    if !worker.is_up() {
        return;
    }
    let has_expired = worker.clock(now) >= worker.lease_until;
    if has_expired {
        worker.expired_at = now;
    }
    let due: Vec<(RunId, Option<bool>)> = worker
        .running
        .iter()
        .filter(|(_, run)| has_expired || run.ends_at.is_some_and(|end| end <= now))
        .map(|(id, run)| (id.clone(), run.gang.then_some(run.fails)))
        .collect();
    for (run, fails) in due {
        let fails = fails.unwrap_or_else(|| is_failure(&mut world.rng));
        let kind = match (has_expired, fails) {
            (true, _) => EndKind::LeaseExpired,
            (_, true) => EndKind::Failed,
            _ => EndKind::Done,
        };
        world.workers[i].end(now, run, kind);
    }
}

/// Draws whether a run fails.
fn is_failure(rng: &mut SmallRng) -> bool {
    rng.random_range(0..20) == 0
}

/// Starts the work of gangs whose members all run, and ends members that have lost others or have waited
/// too long for them.
pub(crate) fn step_gangs(world: &mut World) {
    let now = world.now;
    let mut gangs: BTreeMap<(Name, u32, u32), Vec<(usize, RunId)>> = BTreeMap::new();
    for (i, worker) in world.workers.iter().enumerate().filter(|(_, w)| w.is_up()) {
        for (id, _) in worker.running.iter().filter(|(_, run)| run.gang) {
            let gang = (id.task.job.clone(), id.task.step, id.number);
            gangs.entry(gang).or_default().push((i, id.clone()));
        }
    }
    for members in gangs.into_values() {
        let is_whole = members.len() == world.shape_of(&members[0].1.task).tasks as usize;
        let runs = members.iter().map(|(i, id)| &world.workers[*i].running[id]);
        let task_ms = runs.clone().map(|run| run.task_ms).max().unwrap_or(0);
        let works = runs.clone().any(|run| run.ends_at.is_some());
        if is_whole && !works {
            let fails = is_failure(&mut world.rng);
            for (n, (i, id)) in members.into_iter().enumerate() {
                if let Some(run) = world.workers[i].running.get_mut(&id) {
                    // The others are still running when one member fails.
                    run.fails = fails && n == 0;
                    let early_ms = if run.fails { STEP_MS } else { 0 };
                    run.ends_at = Some(now + task_ms - early_ms);
                }
            }
        } else if !is_whole {
            for (i, id) in members {
                let worker = &mut world.workers[i];
                let run = &worker.running[&id];
                if run.ends_at.is_some() {
                    worker.end(now, id, EndKind::GangBroken);
                } else if now >= run.began_at + GANG_TIMEOUT_MS {
                    worker.end(now, id, EndKind::GangIncomplete);
                }
            }
        }
    }
}

/// Crashes a worker for 0.3 to 6 s.
pub(crate) fn crash(world: &mut World, i: usize) {
    let until = world.now + world.rng.random_range(300..6_000);
    if world.workers[i].is_up() {
        take_down(world, i, until);
    }
}

/// Takes a worker down until the given time.
pub(crate) fn take_down(world: &mut World, i: usize, until: u64) {
    let worker = &mut world.workers[i];
    worker.running.clear();
    worker.down_until = Some(until);
}

/// Records the completed runs whose ends were confirmed to a worker.
pub(crate) fn record_confirmed(world: &mut World, ends: Vec<End>) {
    for end in ends.into_iter().filter(|e| e.kind == EndKind::Done) {
        world
            .confirmed_done
            .entry(end.run.task)
            .or_insert(world.now);
    }
}
