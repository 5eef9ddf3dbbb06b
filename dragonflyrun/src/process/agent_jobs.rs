//! Gang members of an agent: executes the worker calls that [`Members`] decides on.

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

/// Timeout of one call to the worker.
const WORKER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Number of threads that call the worker.
const WORKER_CALL_THREADS: usize = 4;

/// How long a stopping agent waits for its members to write their checkpoints and stop.
const STOP_TIMEOUT: Duration = Duration::from_millis(5_000);

const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The gang members of one agent.
///
/// An agent that stops also stops its members, each with a checkpoint. The alternative is to leave
/// the tasks to a successor: they would continue under the worker's lease if it started within
/// [`WORKER_TTL`](crate::job::WORKER_TTL), but would lose everything since their last checkpoint if
/// it did not. A host that is being replaced is not back within that time, so members are always
/// stopped. An agent that was killed and restarts in time does adopt the leases of its predecessor.
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
    /// Starts the threads that call the worker at `worker`, if there is one.
    ///
    /// # Errors
    ///
    /// Returns an error if a thread can't be spawned.
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

    /// Handles an order or a renewal from an entry.
    pub fn on_message(&self, _from: &Name, message: GangMessage) {
        let now = self.shared.cx.now();
        lock(&self.shared.members).on_message(now, message);
        self.tick();
    }

    /// Applies a folded record.
    pub fn on_folded(&self, folded: &Folded) {
        if folded.in_effect {
            let now = self.shared.cx.now();
            lock(&self.shared.members).on_record(now, &folded.record.body);
        }
    }

    /// Queues the worker calls that are due. Called every 100 ms.
    pub fn tick(&self) {
        if self.shared.worker.is_none() {
            return;
        }
        let now = self.shared.cx.now();
        for call in lock(&self.shared.members).calls(now) {
            // The receivers only go away together with this sender.
            let _ = self.calls.send(call);
        }
    }

    /// Returns the member reports for the heartbeat.
    pub fn members(&self) -> Vec<MemberReport> {
        lock(&self.shared.members).reports()
    }

    /// Returns the number of accelerators of the worker, or zero while it does not answer.
    pub fn worker_accelerators(&self) -> u32 {
        let now = self.shared.cx.now();
        lock(&self.shared.members).accelerators(now)
    }

    /// Starts to stop all members with a checkpoint, and accepts no further orders.
    pub fn drain(&self) {
        let now = self.shared.cx.now();
        lock(&self.shared.members).drain(now);
    }

    /// Stops all members with a checkpoint. Returns when all have stopped or after a timeout of 5
    /// seconds. The worker stops any member that still runs then once the member's lease expires.
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
                // A lease that remains is listed again and removed then.
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

    /// Checks once more, directly before the call, that the start is still allowed.
    ///
    /// The process may be frozen between this check and the call. The worker lease was last renewed
    /// before the check, so if the process resumes after more than
    /// [`WORKER_TTL`](crate::job::WORKER_TTL), the lease has expired and the worker refuses the
    /// start.
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
