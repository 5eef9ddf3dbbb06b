//! Gang members at an agent: carries out what [`Members`] asks of the worker.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crossbeam::channel::{Receiver, Sender, unbounded};

use crate::{
    connection::{GangMessage, MemberReport, WorkerClient, WorkerError, WorkerLease},
    job::{GangId, Members, StartCheck, StartConditions, WorkerCall, WorkerOp},
    process::{Context, Folded, RoleSettings, lock},
    utils::{Name, Timestamp},
};

/// How long the worker has for an answer.
const WORKER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Threads that call the worker.
const WORKER_CALL_THREADS: usize = 4;

/// How long a stopping agent waits for its members to save their checkpoints.
const STOP_TIMEOUT: Duration = Duration::from_millis(5_000);

const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The gang members of one agent.
///
/// A stop of the agent stops its members with a checkpoint. Handing them over to its successor
/// was weighed: the tasks would go on under the worker's lease if the successor came within
/// [`WORKER_TTL`](crate::job::WORKER_TTL), and would lose all since their last checkpoint if it
/// did not. A host that is replaced does not come back in that time, so the stop is the rule; an
/// agent that is killed and comes back in time does adopt what its predecessor has left.
pub struct AgentJobs {
    shared: Arc<Shared>,
    calls: Sender<WorkerCall>,
}

struct Shared {
    cx: Arc<Context>,
    members: Mutex<Members>,
    worker: Option<WorkerClient>,
}

impl AgentJobs {
    /// Starts the threads that call the worker at `worker`, where there is one.
    ///
    /// # Errors
    ///
    /// Where the system gives no thread.
    pub fn new(cx: Arc<Context>, worker: Option<SocketAddr>) -> io::Result<Self> {
        let members = Members::new(cx.now());
        let shared = Arc::new(Shared {
            cx,
            members: Mutex::new(members),
            worker: worker.map(|address| WorkerClient::new(address, WORKER_TIMEOUT)),
        });
        let (calls, queue) = unbounded();
        for _ in 0..WORKER_CALL_THREADS {
            let (shared, queue) = (shared.clone(), queue.clone());
            thread::Builder::new()
                .name("worker_calls".to_owned())
                .spawn(move || shared.run_calls(&queue))?;
        }
        Ok(Self { shared, calls })
    }

    /// Follows an order or a renewal from an entry.
    pub fn on_message(&self, _from: &Name, message: GangMessage) {
        let now = self.shared.cx.now();
        lock(&self.shared.members).on_message(now, message);
        self.tick();
    }

    /// Follows a record that was folded.
    pub fn on_folded(&self, folded: &Folded) {
        if folded.in_effect {
            let now = self.shared.cx.now();
            lock(&self.shared.members).on_record(now, &folded.record.body);
        }
    }

    /// Does what is due; to be called every 100 ms.
    pub fn tick(&self) {
        if self.shared.worker.is_none() {
            return;
        }
        let now = self.shared.cx.now();
        for call in lock(&self.shared.members).calls(now) {
            // The receivers live in threads that end with this sender only.
            let _ = self.calls.send(call);
        }
    }

    /// Returns what the heartbeat says of the members.
    pub fn members(&self) -> Vec<MemberReport> {
        lock(&self.shared.members).reports()
    }

    /// Returns the accelerators of the worker; zero while it does not answer.
    pub fn worker_accelerators(&self) -> u32 {
        let now = self.shared.cx.now();
        lock(&self.shared.members).accelerators(now)
    }

    /// Begins to stop all members with a checkpoint, and takes no order from now on.
    pub fn drain(&self) {
        let now = self.shared.cx.now();
        lock(&self.shared.members).drain(now);
    }

    /// Stops all members with a checkpoint. Returns when all have stopped, or after a bounded time;
    /// what still runs then stops with its worker lease.
    pub fn stop(&self) {
        self.drain();
        let start = Instant::now();
        while lock(&self.shared.members).is_active() && start.elapsed() < STOP_TIMEOUT {
            self.tick();
            thread::sleep(STOP_POLL_INTERVAL);
        }
    }
}

impl Shared {
    fn run_calls(&self, queue: &Receiver<WorkerCall>) {
        let Some(worker) = &self.worker else {
            return;
        };
        while let Ok(call) = queue.recv() {
            self.run_call(worker, call);
        }
    }

    fn run_call(&self, worker: &WorkerClient, call: WorkerCall) {
        let called_at = self.cx.now();
        match call {
            WorkerCall::ListLeases => {
                let view = worker.view();
                lock(&self.members).on_leases(self.cx.now(), called_at, &view);
            }
            WorkerCall::Lease { number, lease, op } => {
                if let Some(answer) = self.call_lease(worker, called_at, number, &lease, &op) {
                    let mut members = lock(&self.members);
                    members.on_answer(self.cx.now(), called_at, number, &op, &answer);
                }
            }
            WorkerCall::Remove { lease } => {
                // A lease that stays is found by the next look and removed then.
                if let Err(error) = worker.remove(&lease) {
                    log::debug!(lease:% = lease, error:% = error; "lease_not_removed");
                }
            }
        }
    }

    fn call_lease(
        &self,
        worker: &WorkerClient,
        now: Timestamp,
        number: u64,
        lease: &Name,
        op: &WorkerOp,
    ) -> Option<Result<WorkerLease, WorkerError>> {
        let answer = match op {
            WorkerOp::Obtain {
                accelerators,
                until,
            } => worker.obtain(lease, *accelerators, WorkerOp::ttl(*until, now)),
            WorkerOp::Renew { until } => worker.renew(lease, WorkerOp::ttl(*until, now)),
            WorkerOp::Start(tasks) => {
                if !self.may_start(number) {
                    return None;
                }
                worker.start(lease, tasks)
            }
            WorkerOp::Inspect => worker.lease(lease),
            WorkerOp::Stop { checkpoint } => worker.stop(lease, *checkpoint),
        };
        if let Err(error) = &answer {
            log::debug!(lease:% = lease, op:? = op, error:% = error; "worker_call_failed");
        }
        Some(answer)
    }

    /// Checks for the last time, right before the call, that the start is still wanted.
    ///
    /// Between this and the call the process may be frozen. The worker lease was last renewed
    /// before, so it has lapsed when the process goes on after more than
    /// [`WORKER_TTL`](crate::job::WORKER_TTL), and the worker refuses.
    fn may_start(&self, number: u64) -> bool {
        let Some(gang) = lock(&self.members).gang(number).cloned() else {
            return false;
        };
        let conditions = self.start_conditions(&gang);
        let check = lock(&self.members).may_start(self.cx.now(), number, conditions);
        if check != StartCheck::Start {
            log::info!(
                job:% = gang.job,
                attempt = gang.attempt,
                check:? = check,
                gate:? = conditions;
                "start_refused"
            );
            self.cx.counters.event("start_refused");
        }
        check == StartCheck::Start
    }

    fn start_conditions(&self, gang: &GangId) -> StartConditions {
        let fresh = self.cx.is_fresh();
        let ledger = lock(&self.cx.ledger);
        let version = ledger.history.current();
        let in_service = match &self.cx.settings.role {
            RoleSettings::Agent { failure_domain, .. } => version.in_service(failure_domain),
            RoleSettings::Entry { .. } => false,
        };
        let live = ledger.jobs.live(&gang.job);
        StartConditions {
            fresh,
            next_offset: ledger.next_offset(),
            in_service,
            allowed: live.is_some_and(|l| l.may_start(gang, &self.cx.identity.name)),
        }
    }
}
