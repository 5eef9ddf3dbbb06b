//! When the expiry of leases proves that runs are over: only if no later session of the agent can have
//! extended them.

mod agent_inputs;
mod workload_tables;

use std::time::{Duration, Instant};

use agent_inputs::{heartbeat, register, run, sender};
use dragonflyrun::{
    Timestamp,
    port::{Heartbeat, RunningTask, WorkerLists},
    utils::Name,
    workload::{AgentTable, Order, Report, ReportReads, RunId, View},
};
use workload_tables::{EPOCH_MS, Harness, bounds, reads_since, task};

const SESSION: u64 = 7;

/// Milliseconds of silence after which the planner fences the agent.
const FENCED_MS: u64 = 3_500;

/// Returns the table of an agent that has just begun a session with a worker that runs a task.
fn agent() -> AgentTable {
    let mut table = AgentTable::new(Duration::from_secs(6));
    register(&mut table, &heartbeat(), Instant::now());
    assert!(table.begin_session(&sender(&heartbeat()), SESSION, None));
    let (request, token, ..) = table.request_lists().expect("a session");
    let lists = WorkerLists {
        clock_ms: 1_000,
        born_ms: Some(heartbeat().born_ms),
        running: vec![RunningTask {
            run: run(),
            checkpoint: String::new(),
            percent: 100,
        }],
        run_ends: Vec::new(),
    };
    table.lists(request, token, lists, Instant::now());
    table
}

/// Returns the end of the lease after a read that returned these orders.
fn lease_after(table: &mut AgentTable, orders: Vec<Order>) -> Option<u64> {
    table.orders(Some(1_000), orders, 9, Instant::now());
    table.request_lists().expect("a session").3
}

/// Guards against a task that runs twice: the planner takes the leases of a fenced session for expired,
/// and the agent's next session, of which it can't know yet, extends them.
#[test]
fn extension_needs_report() {
    let mut table = agent();
    assert_eq!(lease_after(&mut table, Vec::new()), None);
    let report = table.reports(0).pop().expect("a report");
    let earlier = Report {
        session: SESSION - 1,
        ..report.clone()
    };
    let other_worker = Report {
        heartbeat: Heartbeat {
            worker: "replaced".into(),
            ..heartbeat()
        },
        ..report.clone()
    };
    for other in [earlier, other_worker] {
        assert!(!table.report_stored(&other));
        assert_eq!(lease_after(&mut table, Vec::new()), None);
    }
    assert!(table.report_stored(&report));
    assert_eq!(lease_after(&mut table, Vec::new()), Some(7_000));
}

/// Guards against starts with a lease that has expired, because the store's answer to the first report was
/// lost: an order for the session shows that the planner has read it.
#[test]
fn order_proves_report() {
    let mut table = agent();
    let order = Order {
        confirmed: 1,
        ..Order::default()
    };
    assert_eq!(lease_after(&mut table, vec![order]), Some(7_000));
}

/// A planner that has fenced the silent agent of a worker with one run.
struct Fenced {
    harness: Harness,
    worker: Name,
    /// The newest report of the agent.
    report: Report,
}

impl Fenced {
    fn new() -> Self {
        let mut harness = Harness::new(2);
        harness.submit("job", 1, vec![task(8)]);
        harness.pass();
        harness.report_all();
        let (worker, _) = harness.running("job")[0].clone();
        let position = harness.reports.iter();
        let position = position.clone().position(|r| r.heartbeat.worker == worker);
        let report = harness.reports.remove(position.expect("a report"));
        harness.advance(FENCED_MS);
        let orders = harness.pass().orders;
        let is_fenced = orders.iter().any(|o| o.worker == worker && o.order.fence);
        assert!(is_fenced, "{orders:?}");
        Self {
            harness,
            worker,
            report,
        }
    }

    /// Decides `after_ms` after the fence was stored and returns the runs that are started.
    fn started(&mut self, after_ms: u64, reads: &ReportReads) -> Vec<RunId> {
        self.harness.now_ms = FENCED_MS + after_ms;
        let decisions = self.harness.planner.decide(&View {
            now: Timestamp::from_millis(self.harness.now_ms),
            unix_ms: EPOCH_MS + self.harness.now_ms,
            configuration: &self.harness.configuration,
            evacuated: &self.harness.evacuated,
            is_fresh: true,
            report_reads: reads,
            store_delay: Duration::ZERO,
        });
        let starts = decisions.orders.into_iter().flat_map(|o| o.order.starts);
        starts.map(|start| start.run).collect()
    }
}

/// Returns the state of reads that can be read at most once in a while, the last time `after_ms` after the
/// fence was stored.
fn last_read(after_ms: u64) -> ReportReads {
    let mut reads = reads_since(None);
    reads.set_complete(Timestamp::from_millis(FENCED_MS + after_ms), 0);
    reads
}

/// Guards against a task that runs twice because the planner couldn't read the report of the agent's next
/// session, which extends the leases of the runs.
#[test]
fn expiry_needs_reads() {
    let lease_ms = bounds().lease_expiry.as_millis() as u64;
    let mut fenced = Fenced::new();
    let unread = fenced.started(lease_ms + 5_000, &last_read(lease_ms - 1));
    assert!(unread.is_empty(), "{unread:?}");
    let read = fenced.started(lease_ms + 5_000, &last_read(lease_ms));
    assert_eq!(read.len(), 1, "{read:?}");
    assert_eq!(read[0].number, 2);
}

/// Guards against a task that runs twice although the planner has read the report of the agent's next
/// session before the leases of the fenced one had expired.
#[test]
fn next_session_continues() {
    let lease_ms = bounds().lease_expiry.as_millis() as u64;
    let mut fenced = Fenced::new();
    let next = Report {
        session: 100,
        sequence: 1,
        ..fenced.report.clone()
    };
    let now = Timestamp::from_millis(fenced.harness.now_ms + 1_000);
    fenced.harness.planner.apply_report(now, next);
    let started = fenced.started(lease_ms, &last_read(lease_ms));
    assert!(started.is_empty(), "{started:?}");
    let worker = fenced.harness.planner.fleet().get(&fenced.worker);
    assert_eq!(worker.expect("it reports").runs.len(), 1);
}
