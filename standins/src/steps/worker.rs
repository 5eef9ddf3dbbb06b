//! A worker in memory. It runs timed tasks under one lease and lists running and ended runs.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use dragonflyrun::{
    port::{
        CallError, End, EndKind, Heartbeat, Registry, RunningTask, StartOrder, StartOutcome,
        Worker, WorkerLists,
    },
    utils::Name,
    workload::{Resources, RunId, TaskId},
};
use tokio::time::sleep;

/// Interval at which the worker checks its tasks.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Interval between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// The worker's clock at its start in milliseconds. It is not 0, because 0 would mean that there is
/// no lease.
const CLOCK_START_MS: u64 = 1_000;

/// The properties of a worker.
#[derive(Clone, Debug)]
pub struct WorkerShape {
    /// The worker's name.
    pub name: Name,
    /// Its failure domain.
    pub failure_domain: Name,
    /// Its rack.
    pub rack: Name,
    /// Its accelerators.
    pub accelerators: u64,
    /// The run time of every task.
    pub task_time: Duration,
}

/// A worker that runs its tasks as timers.
pub struct MemoryWorker {
    shape: WorkerShape,
    started_at: Instant,
    running: RefCell<BTreeMap<TaskId, (u32, Instant)>>,
    ends: RefCell<Vec<End>>,
    /// The number of the newest run of each task that was stopped or has ended.
    ended_runs: RefCell<BTreeMap<TaskId, u32>>,
    token: Cell<u64>,
    lease_until_ms: Cell<u64>,
    ended_count: Cell<u64>,
    /// All runs that were started, in order.
    pub started_runs: RefCell<Vec<RunId>>,
}

impl MemoryWorker {
    /// Returns a worker without tasks.
    pub fn new(shape: WorkerShape) -> Rc<Self> {
        Rc::new(Self {
            shape,
            started_at: Instant::now(),
            running: RefCell::default(),
            ends: RefCell::default(),
            ended_runs: RefCell::default(),
            token: Cell::new(0),
            lease_until_ms: Cell::new(0),
            ended_count: Cell::new(0),
            started_runs: RefCell::default(),
        })
    }

    /// Sends heartbeats to the agent on its host and ends tasks that are due, forever.
    pub async fn run<R: Registry>(self: Rc<Self>, registry: std::sync::Arc<R>) {
        let mut next_heartbeat = Instant::now();
        let mut sequence = 0;
        loop {
            if next_heartbeat <= Instant::now() {
                sequence += 1;
                registry.heartbeat(self.heartbeat(sequence));
                next_heartbeat += HEARTBEAT_INTERVAL;
            }
            self.end_due_tasks();
            sleep(TICK_INTERVAL).await;
        }
    }

    fn heartbeat(&self, sequence: u64) -> Heartbeat {
        Heartbeat {
            worker: self.shape.name.clone(),
            born_ms: 1,
            address: self.shape.name.clone(),
            service: "svc".into(),
            failure_domain: self.shape.failure_domain.clone(),
            draining: false,
            capacity: Resources {
                cpu_millis: 64_000,
                memory_mb: 128_000,
                accelerators: self.shape.accelerators,
            },
            labels: vec![self.shape.rack.clone()],
            rack: Some(self.shape.rack.clone()),
            remaining_ms: None,
            sequence,
        }
    }

    fn clock_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64 + CLOCK_START_MS
    }

    fn end_due_tasks(&self) {
        let expired = self.clock_ms() > self.lease_until_ms.get();
        let running = self.running.borrow().clone();
        for (task, (run, since)) in running {
            if expired {
                self.end(&task, run, EndKind::LeaseExpired);
            } else if since.elapsed() >= self.shape.task_time {
                self.end(&task, run, EndKind::Done);
            }
        }
    }

    fn end(&self, task: &TaskId, run: u32, kind: EndKind) {
        self.running.borrow_mut().remove(task);
        self.ended_runs.borrow_mut().insert(task.clone(), run);
        self.ended_count.set(self.ended_count.get() + 1);
        self.ends.borrow_mut().push(End {
            number: self.ended_count.get(),
            run: RunId {
                task: task.clone(),
                number: run,
            },
            kind,
            checkpoint: String::new(),
        });
    }

    /// Records a fencing token and returns whether no newer one is known.
    fn accept_token(&self, token: u64) -> bool {
        let known = self.token.get();
        self.token.set(known.max(token));
        token >= known
    }

    fn lists(&self) -> WorkerLists {
        let running = self.running.borrow();
        let running = running.iter().map(|(task, (run, _))| RunningTask {
            run: RunId {
                task: task.clone(),
                number: *run,
            },
            checkpoint: String::new(),
            percent: 100,
        });
        WorkerLists {
            clock_ms: self.clock_ms(),
            born_ms: Some(1),
            running: running.collect(),
            run_ends: self.ends.borrow().clone(),
        }
    }
}

/// The connection of an agent to its worker.
pub(super) struct WorkerLink(pub(super) Rc<MemoryWorker>);

impl Worker for WorkerLink {
    fn address(&self) -> Name {
        self.0.shape.name.clone()
    }

    async fn start(
        &self,
        _worker: &str,
        order: &StartOrder,
        may_send: &dyn Fn() -> bool,
    ) -> Result<StartOutcome, CallError> {
        if !may_send() {
            return Err(CallError::NotSent("no longer wanted".to_owned()));
        }
        let worker = &self.0;
        if !worker.accept_token(order.token) {
            return Ok(StartOutcome::Fenced);
        }
        let (task, run) = (&order.run.task, order.run.number);
        let current_run = worker.running.borrow().get(task).map(|(run, _)| *run);
        if current_run == Some(run) {
            return Ok(StartOutcome::Started);
        }
        let last_ended = worker.ended_runs.borrow().get(task).copied().unwrap_or(0);
        if current_run.is_some() || run <= last_ended {
            return Ok(StartOutcome::Superseded);
        }
        if worker.clock_ms() > order.lease_until_ms {
            return Ok(StartOutcome::Expired);
        }
        let until = worker.lease_until_ms.get().max(order.lease_until_ms);
        worker.lease_until_ms.set(until);
        worker.started_runs.borrow_mut().push(order.run.clone());
        let running = (run, Instant::now());
        worker.running.borrow_mut().insert(task.clone(), running);
        Ok(StartOutcome::Started)
    }

    async fn stop(&self, _worker: &str, run: &RunId, token: u64) -> Result<(), CallError> {
        let worker = &self.0;
        if !worker.accept_token(token) {
            return Err(CallError::Fenced);
        }
        let current_run = worker.running.borrow().get(&run.task).map(|(run, _)| *run);
        if current_run == Some(run.number) {
            worker.end(&run.task, run.number, EndKind::Stopped);
        }
        let mut ended_runs = worker.ended_runs.borrow_mut();
        let newest = ended_runs.entry(run.task.clone()).or_default();
        *newest = run.number.max(*newest);
        Ok(())
    }

    async fn renew(
        &self,
        _worker: &str,
        token: u64,
        confirmed_end: u64,
        lease_until_ms: Option<u64>,
        wait: Duration,
    ) -> Result<WorkerLists, CallError> {
        let worker = &self.0;
        if !worker.accept_token(token) {
            return Err(CallError::Fenced);
        }
        worker
            .ends
            .borrow_mut()
            .retain(|e| e.number > confirmed_end);
        let until = worker.lease_until_ms.get();
        worker
            .lease_until_ms
            .set(until.max(lease_until_ms.unwrap_or(0)));
        let end = Instant::now() + wait;
        // The agent repeats the call immediately while an end is unconfirmed, and runs on this
        // thread.
        sleep(TICK_INTERVAL).await;
        while worker.ends.borrow().is_empty() && Instant::now() < end {
            sleep(TICK_INTERVAL).await;
        }
        Ok(worker.lists())
    }
}
