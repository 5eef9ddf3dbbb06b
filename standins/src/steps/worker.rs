//! A worker in memory: runs tasks for their time under one lease, and lists what runs and has ended.

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

/// How often the worker looks at its tasks.
const TICK: Duration = Duration::from_millis(10);

/// How often it sends a heartbeat.
const HEARTBEAT: Duration = Duration::from_millis(500);

/// The worker's clock at its start: 0 would stand for no lease at all.
const CLOCK_START_MS: u64 = 1_000;

/// What a worker has; it runs every task for the same time.
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
    /// The time that each task takes.
    pub task: Duration,
}

/// The worker.
pub struct MemoryWorker {
    shape: WorkerShape,
    began: Instant,
    running: RefCell<BTreeMap<TaskId, (u32, Instant)>>,
    ends: RefCell<Vec<End>>,
    /// The newest run of each task that was stopped or has ended.
    over: RefCell<BTreeMap<TaskId, u32>>,
    token: Cell<u64>,
    lease_until_ms: Cell<u64>,
    ended: Cell<u64>,
    /// Runs that were started, for whoever counts them.
    pub started: RefCell<Vec<RunId>>,
}

impl MemoryWorker {
    /// Returns a worker that runs nothing.
    pub fn new(shape: WorkerShape) -> Rc<Self> {
        Rc::new(Self {
            shape,
            began: Instant::now(),
            running: RefCell::default(),
            ends: RefCell::default(),
            over: RefCell::default(),
            token: Cell::new(0),
            lease_until_ms: Cell::new(0),
            ended: Cell::new(0),
            started: RefCell::default(),
        })
    }

    /// Sends heartbeats to the agent beside it, and works.
    pub async fn run<R: Registry>(self: Rc<Self>, registry: std::sync::Arc<R>) {
        let mut beat = Instant::now();
        let mut sequence = 0;
        loop {
            if beat <= Instant::now() {
                sequence += 1;
                registry.heartbeat(self.heartbeat(sequence));
                beat += HEARTBEAT;
            }
            self.work();
            sleep(TICK).await;
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
        self.began.elapsed().as_millis() as u64 + CLOCK_START_MS
    }

    fn work(&self) {
        let expired = self.clock_ms() > self.lease_until_ms.get();
        let running = self.running.borrow().clone();
        for (task, (run, since)) in running {
            if expired {
                self.end(&task, run, EndKind::LeaseExpired);
            } else if since.elapsed() >= self.shape.task {
                self.end(&task, run, EndKind::Done);
            }
        }
    }

    fn end(&self, task: &TaskId, run: u32, kind: EndKind) {
        self.running.borrow_mut().remove(task);
        self.over.borrow_mut().insert(task.clone(), run);
        self.ended.set(self.ended.get() + 1);
        self.ends.borrow_mut().push(End {
            number: self.ended.get(),
            run: RunId {
                task: task.clone(),
                number: run,
            },
            kind,
            checkpoint: String::new(),
        });
    }

    /// Takes a fencing token; returns whether it is still in force.
    fn admit(&self, token: u64) -> bool {
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

/// The worker as its agent reaches it.
pub(super) struct WorkerLink(pub(super) Rc<MemoryWorker>);

impl Worker for WorkerLink {
    async fn start(&self, _worker: &str, order: &StartOrder) -> Result<StartOutcome, CallError> {
        let worker = &self.0;
        if !worker.admit(order.token) {
            return Ok(StartOutcome::Fenced);
        }
        let (task, run) = (&order.run.task, order.run.number);
        let there = worker.running.borrow().get(task).map(|(run, _)| *run);
        if there == Some(run) {
            return Ok(StartOutcome::Started);
        }
        let over = worker.over.borrow().get(task).copied().unwrap_or(0);
        if there.is_some() || run <= over {
            return Ok(StartOutcome::Superseded);
        }
        if worker.clock_ms() > order.lease_until_ms {
            return Ok(StartOutcome::Expired);
        }
        let until = worker.lease_until_ms.get().max(order.lease_until_ms);
        worker.lease_until_ms.set(until);
        worker.started.borrow_mut().push(order.run.clone());
        let running = (run, Instant::now());
        worker.running.borrow_mut().insert(task.clone(), running);
        Ok(StartOutcome::Started)
    }

    async fn stop(&self, _worker: &str, run: &RunId, token: u64) -> Result<(), CallError> {
        let worker = &self.0;
        if !worker.admit(token) {
            return Err(CallError::Refused(409));
        }
        let there = worker.running.borrow().get(&run.task).map(|(run, _)| *run);
        if there == Some(run.number) {
            worker.end(&run.task, run.number, EndKind::Stopped);
        }
        let mut over = worker.over.borrow_mut();
        let over = over.entry(run.task.clone()).or_default();
        *over = run.number.max(*over);
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
        if !worker.admit(token) {
            return Err(CallError::Refused(409));
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
        // The agent asks again at once while an end is not confirmed, and shares this thread.
        sleep(TICK).await;
        while worker.ends.borrow().is_empty() && Instant::now() < end {
            sleep(TICK).await;
        }
        Ok(worker.lists())
    }
}
