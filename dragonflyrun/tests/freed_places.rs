//! How long a place of the plan stays taken after its run is gone.

mod workload_tables;

use std::time::Duration;

use dragonflyrun::{
    Timestamp,
    port::{RunningTask, StartOutcome},
    utils::HashSet,
    workload::{
        Attention, Job, JobPlan, JobRecord, JobRequest, JobTable, Place, Planner, PlannerBounds,
        Report, ReportReads, RunId, Step, Succession, TaskId, TaskPlan, View, report_partition,
    },
};
use workload_tables::{EPOCH_MS, Harness, bounds, complete_reads, task};

/// The time after a disturbance in which a job that can run has to run.
const FINISH_MS: u64 = 16_000;

/// The longest lease of a deployment whose workers grant 10 s.
const LEASE_EXPIRY: Duration = Duration::from_millis(10_350);

/// The offset before which earlier planners have sent all their orders.
const ORDERS_END: u64 = 20;

const STEP_MS: u64 = 100;

/// The session of the old workers' agents that the plan names.
const OLD_SESSION: u64 = 5;

/// What the store holds of an old worker when the planner takes over.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stored {
    /// No report.
    Nothing,
    /// A report of the session with a place at its address.
    Placed,
    /// A report of the session without a place at its address.
    Unplaced,
    /// A report of an agent that followed seldom.
    Seldom,
    /// The final report of the session before, which was appended late.
    ClosedBefore,
    /// A report that lists the run, of an agent that had read all orders.
    Listed,
}

const STORED: [Stored; 6] = [
    Stored::Nothing,
    Stored::Placed,
    Stored::Unplaced,
    Stored::Seldom,
    Stored::ClosedBefore,
    Stored::Listed,
];

/// What becomes of the old workers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fate {
    /// Nothing is heard of them.
    Gone,
    /// Other workers begin at their addresses.
    Replaced,
    /// Other workers begin at their addresses, which they prove only 3 s later.
    ReplacedLate,
    /// Other workers begin at their addresses, which they never prove.
    ReplacedUnplaced,
    /// They start again under their names.
    Restarted,
    /// Their agents go on, and have read all orders.
    OrderNotSent,
    /// Their agents close the session.
    Closed,
    /// Their agents go on and read no orders.
    OrdersUnread,
    /// Their agents go on without an answer of the workers.
    Unreachable,
    /// Their agents go on and follow seldom.
    Seldom,
    /// The stored reports are read again every 2 s.
    ReadAgain,
    /// Late copies of the stored reports arrive every 2 s.
    Repeated,
}

const FATES: [Fate; 12] = [
    Fate::Gone,
    Fate::Replaced,
    Fate::ReplacedLate,
    Fate::ReplacedUnplaced,
    Fate::Restarted,
    Fate::OrderNotSent,
    Fate::Closed,
    Fate::OrdersUnread,
    Fate::Unreachable,
    Fate::Seldom,
    Fate::ReadAgain,
    Fate::Repeated,
];

/// A planner that takes over a gang on three old workers, beside other workers that are free.
struct Takeover {
    planner: Planner,
    now_ms: u64,
    /// The newest reports of the workers that are up.
    live: Vec<Report>,
    /// The stored reports of the old workers.
    old: Vec<Report>,
    harness: Harness,
}

fn takeover_bounds() -> PlannerBounds {
    PlannerBounds {
        lease_expiry: LEASE_EXPIRY,
        ..bounds()
    }
}

fn gang() -> Job {
    Job {
        name: "gang".into(),
        queue: "q".into(),
        service: "svc".into(),
        workspace: None,
        priority: 1,
        max_attempts: 3,
        stretch: 3.0,
        target_ms: 1_000,
        accepted_ms: EPOCH_MS,
        request: JobRequest {
            payload: "text".into(),
            steps: vec![Step {
                tasks: 3,
                gang: true,
                ..task(8)
            }],
            occurrences: None,
        },
    }
}

fn run(index: u32) -> RunId {
    RunId {
        task: TaskId {
            job: "gang".into(),
            occurrence: 0,
            step: 0,
            index,
        },
        number: 1,
    }
}

fn place(i: usize, number: u64) -> Option<Succession> {
    Some(Succession {
        address: format!("old{i}:1").into(),
        number,
    })
}

/// Returns the job table of a planner that has placed the gang and then lost its term.
fn placed_gang() -> JobTable {
    let placed = |i: u32| TaskPlan {
        run: 1,
        place: Some(Place {
            worker: format!("old{i}").into(),
            session: OLD_SESSION,
        }),
        ..TaskPlan::default()
    };
    let plan = JobPlan {
        revision: 1,
        begun: true,
        tasks: (0..3).map(|i| (i, placed(i))).collect(),
        ..JobPlan::default()
    };
    let mut table = JobTable::default();
    table.fold(Timestamp::default(), JobRecord::Accepted(Box::new(gang())));
    table.fold(
        Timestamp::default(),
        JobRecord::Plan("gang".into(), Some(Box::new(plan))),
    );
    table
}

fn stored_report(report: &Report, i: usize, stored: Stored) -> Option<Report> {
    let mut report = Report {
        session: OLD_SESSION,
        sequence: 9,
        orders_seen: OLD_SESSION + 1,
        sent_ms: EPOCH_MS - 1_000,
        succession: place(i, 4),
        ..report.clone()
    };
    match stored {
        Stored::Nothing => return None,
        Stored::Placed => {}
        Stored::Unplaced => report.succession = None,
        Stored::Seldom => report.attention = Attention::Seldom,
        Stored::ClosedBefore => {
            report.session = OLD_SESSION - 2;
            report.closed = true;
        }
        Stored::Listed => {
            report.orders_seen = ORDERS_END;
            report.running.push(RunningTask {
                run: run(u32::try_from(i).expect("a small number")),
                checkpoint: String::new(),
                percent: 100,
            });
        }
    }
    Some(report)
}

impl Takeover {
    fn new(stored: Stored, others: usize) -> Self {
        let mut harness = Harness::new(0);
        for i in 0..3 {
            harness.add_worker(&format!("old{i}"), "r0");
        }
        for i in 0..others {
            harness.add_worker(&format!("other{i}"), "r1");
        }
        let live = harness.reports.split_off(3);
        let old = std::mem::take(&mut harness.reports);
        let stored = (0..3).filter_map(|i| stored_report(&old[i], i, stored));
        let mut takeover = Self {
            planner: Planner::take_over(takeover_bounds(), &placed_gang(), Timestamp::default()),
            now_ms: 0,
            live,
            old: stored.collect(),
            harness,
        };
        takeover.read_stored();
        takeover
    }

    fn now(&self) -> Timestamp {
        Timestamp::from_millis(self.now_ms)
    }

    /// Lets the planner fence off earlier orders and read the stored reports.
    fn read_stored(&mut self) {
        let (now, unix_ms) = (self.now(), EPOCH_MS + self.now_ms);
        for i in 0..3 {
            self.planner.set_orders_end(&format!("old{i}"), ORDERS_END);
        }
        for report in self.old.iter().chain(&self.live) {
            self.planner
                .apply_stored_report(now, unix_ms, report.clone());
        }
    }

    /// Adds workers for the old ones: under new names, or in new sessions of the old names.
    fn add_successors(&mut self, same_names: bool, has_place: bool) {
        for i in 0..3 {
            let name = match same_names {
                true => format!("old{i}"),
                false => format!("new{i}"),
            };
            self.harness.add_worker(&name, "r0");
            let mut report = self.harness.reports.pop().expect("a report");
            report.heartbeat.born_ms = 7;
            report.session = ORDERS_END + 3;
            report.orders_seen = ORDERS_END + 4;
            report.succession = place(i, 9).filter(|_| has_place);
            self.live.push(report);
        }
    }

    /// Lets the old agents go on, with a change to their reports.
    fn revive(&mut self, change: impl Fn(&mut Report)) {
        for i in 0..3 {
            self.harness.add_worker(&format!("old{i}"), "r0");
            let report = self.harness.reports.pop().expect("a report");
            let mut report = stored_report(&report, i, Stored::Placed).expect("a report");
            report.orders_seen = ORDERS_END;
            change(&mut report);
            self.live.push(report);
        }
    }

    fn begin(&mut self, fate: Fate) {
        match fate {
            Fate::Gone | Fate::ReadAgain | Fate::Repeated => {}
            Fate::Replaced => self.add_successors(false, true),
            Fate::ReplacedLate | Fate::ReplacedUnplaced => self.add_successors(false, false),
            Fate::Restarted => self.add_successors(true, true),
            Fate::OrderNotSent => self.revive(|_| ()),
            Fate::Closed => self.revive(|r| r.closed = true),
            Fate::OrdersUnread => self.revive(|r| r.orders_seen = ORDERS_END - 1),
            Fate::Unreachable => self.revive(|r| {
                r.orders_seen = ORDERS_END - 1;
                r.unreachable = true;
            }),
            Fate::Seldom => self.revive(|r| r.attention = Attention::Seldom),
        }
    }

    fn continue_fate(&mut self, fate: Fate) {
        let (now, unix_ms) = (self.now(), EPOCH_MS + self.now_ms);
        match fate {
            Fate::ReplacedLate if self.now_ms == 4_000 => {
                let successors = self.live.iter_mut().rev().take(3).rev();
                for (i, report) in successors.enumerate() {
                    report.succession = place(i, 9);
                }
            }
            Fate::ReadAgain if self.now_ms.is_multiple_of(2_000) => {
                for report in self.old.clone() {
                    self.planner.apply_stored_report(now, unix_ms, report);
                }
            }
            Fate::Repeated if self.now_ms.is_multiple_of(2_000) => {
                for report in self.old.clone() {
                    self.planner.apply_report(now, report);
                }
            }
            _ => {}
        }
    }

    /// Returns the state of reads that return everything at the time of the next step.
    fn next_reads(&self) -> ReportReads {
        complete_reads(Timestamp::from_millis(self.now_ms + STEP_MS))
    }

    /// Advances the time by a step, lets the live workers report once a second, and decides.
    fn step(&mut self, report_reads: &ReportReads) -> Vec<(String, RunId)> {
        self.now_ms += STEP_MS;
        let now = self.now();
        if self.now_ms.is_multiple_of(1_000) {
            for report in &mut self.live {
                report.sequence += 1;
                report.sent_ms = EPOCH_MS + self.now_ms;
                self.planner.apply_report(now, report.clone());
            }
        }
        let decisions = self.planner.decide(&View {
            now,
            unix_ms: EPOCH_MS + self.now_ms,
            configuration: &self.harness.configuration,
            evacuated: &HashSet::default(),
            is_fresh: true,
            report_reads,
            store_delay: Duration::ZERO,
        });
        let mut started = Vec::new();
        for order in &decisions.orders {
            self.planner.order_stored(now, order, ORDERS_END + 100);
            let starts = order.order.starts.iter();
            started.extend(starts.map(|s| (order.worker.to_string(), s.run.clone())));
        }
        started
    }

    /// Returns the milliseconds until the gang is ordered again, if that happens within a minute.
    fn restarted_after(mut self, fate: Fate) -> Option<u64> {
        while self.now_ms < 60_000 {
            if self.now_ms == 1_000 {
                self.begin(fate);
            }
            self.continue_fate(fate);
            let started = self.step(&self.next_reads());
            if started.iter().any(|(_, run)| run.number > 1) {
                return Some(self.now_ms);
            }
        }
        None
    }
}

/// Guards against a gang that waits for a place of the plan although its run is gone: in each way in
/// which the old workers can end and the store can know of them.
#[test]
fn every_way() {
    let mut late = Vec::new();
    for fate in FATES {
        let mut times = Vec::new();
        for stored in STORED {
            let after_ms = Takeover::new(stored, 9).restarted_after(fate);
            // The store is cut from these agents' reads: they may hold a lease from before that, and
            // then one from a read that was sent before their fence.
            let limit_ms = match fate {
                Fate::OrdersUnread => FINISH_MS + 10_350,
                _ => FINISH_MS,
            };
            if after_ms.is_none_or(|ms| ms > limit_ms) {
                late.push((fate, stored, after_ms));
            }
            times.push((stored, after_ms));
        }
        println!("{fate:?}: {times:?}");
    }
    assert!(late.is_empty(), "{late:?}");
}

/// Guards against a worker that is gone and counts as alive, so that work is placed on it, because a
/// report that is known already arrives once more.
#[test]
fn repeated_report() {
    let mut harness = Harness::new(0);
    let mut gone = Harness::new(1).reports.remove(0);
    gone.sequence += 1;
    gone.sent_ms = EPOCH_MS - 30_000;
    let now = Timestamp::default();
    harness
        .planner
        .apply_stored_report(now, EPOCH_MS, gone.clone());
    harness.planner.apply_report(now, gone);
    harness.submit("job", 0, vec![task(8)]);
    assert!(harness.pass().orders.is_empty());
}
/// Guards against a gang that waits for ever for a member whose start or stop the worker never
/// answers, while its agent goes on reporting it.
#[test]
fn unanswered_call() {
    let mut harness = Harness::new(4);
    let member = Step {
        tasks: 3,
        gang: true,
        ..task(8)
    };
    harness.submit("gang", 1, vec![member]);
    harness.pass();
    let runs = harness.running("gang");
    let (stuck, stuck_run) = runs[0].clone();
    for (worker, run) in &runs[1..] {
        let worker = worker.clone();
        harness.change_report(&worker, |r| {
            r.running.clear();
            r.refused.push((run.clone(), StartOutcome::NoRoom));
        });
    }
    harness.change_report(&stuck, |r| {
        r.running.clear();
        r.starting.push(stuck_run);
    });
    let is_fenced = (0..60).any(|_| {
        harness.advance(1_000);
        let orders = harness.pass().orders;
        orders.iter().any(|o| o.worker == stuck && o.order.fence)
    });
    assert!(is_fenced, "the member has been starting for a minute");
}

/// Guards against a place that is held for ever by a run that its worker doesn't stop.
#[test]
fn ignored_stop() {
    let mut harness = Harness::new(2);
    let name = harness.submit("job", 1, vec![task(8)]);
    harness.pass();
    let (worker, _) = harness.running("job")[0].clone();
    harness
        .planner
        .apply_job_record(&JobRecord::Cancelled(name));
    let is_fenced = (0..60).any(|_| {
        harness.advance(1_000);
        let orders = harness.pass().orders;
        orders.iter().any(|o| o.worker == worker && o.order.fence)
    });
    assert!(is_fenced, "the stop was ordered a minute ago");
}

/// Guards against places that are held for ever because most workers fail at once: their agents go
/// on reporting, and so never become silent for long enough.
#[test]
fn unreachable_majority() {
    let mut harness = Harness::new(3);
    let member = Step {
        tasks: 3,
        gang: true,
        ..task(8)
    };
    harness.submit("gang", 1, vec![member]);
    harness.pass();
    for worker in ["w0", "w1"] {
        harness.change_report(worker, |r| r.unreachable = true);
    }
    let mut fenced = HashSet::default();
    for _ in 0..16 {
        harness.advance(1_000);
        let orders = harness.pass().orders;
        let fences = orders.into_iter().filter(|o| o.order.fence);
        fenced.extend(fences.map(|o| o.worker));
    }
    assert_eq!(fenced.len(), 2, "{fenced:?}");
}

/// Guards against places that are held for ever because the reports of some other workers can't be
/// read now and then.
#[test]
fn unread_partition() {
    const PARTITIONS: u32 = 24;
    let mut takeover = Takeover::new(Stored::Placed, 9);
    let mut reads = ReportReads::new(PARTITIONS);
    let taken = (0..3).map(|i| report_partition(&format!("old{i}"), PARTITIONS));
    let taken: Vec<u32> = taken.collect();
    let failing = (0..PARTITIONS).find(|p| !taken.contains(p));
    let failing = failing.expect("a partition of other workers");
    let mut is_restarted = false;
    while takeover.now_ms < FINISH_MS {
        let now = takeover.now();
        let fails = takeover.now_ms.is_multiple_of(2_000);
        for partition in 0..PARTITIONS {
            let is_readable = !(fails && partition == failing);
            reads.set_readable(now, partition, is_readable);
            if is_readable {
                reads.set_complete(now, partition);
            }
        }
        let started = takeover.step(&reads);
        is_restarted |= started.iter().any(|(_, run)| run.number > 1);
    }
    assert!(is_restarted);
}

/// Guards against fencing the sessions of live agents, which would stop everything on them, because the
/// only reports that can be read are those of a few agents that can't append any.
#[test]
fn unread_majority() {
    const PARTITIONS: u32 = 24;
    let mut harness = Harness::new(24);
    for i in 0..24 {
        harness.submit(&format!("job{i}"), 1, vec![task(8)]);
    }
    harness.pass();
    harness.report_all();
    let readable = report_partition("w0", PARTITIONS);
    let mut reads = ReportReads::new(PARTITIONS);
    reads.set_readable(Timestamp::default(), readable, true);
    for second in 1..=8 {
        let decisions = harness.planner.decide(&View {
            now: Timestamp::from_millis(second * 1_000),
            unix_ms: EPOCH_MS + second * 1_000,
            configuration: &harness.configuration,
            evacuated: &harness.evacuated,
            is_fresh: true,
            report_reads: &reads,
            store_delay: Duration::ZERO,
        });
        let fences = decisions.orders.into_iter().filter(|o| o.order.fence);
        assert_eq!(fences.count(), 0, "{second} s");
    }
}

/// Guards against places that are held for ever because each new planner waits for the silence and
/// the lease of a lost worker anew, while the planner changes more often than that takes.
#[test]
fn changing_planners() {
    const TERM_MS: u64 = 10_000;
    let mut takeover = Takeover::new(Stored::Placed, 9);
    let mut is_restarted = false;
    while takeover.now_ms < 2 * FINISH_MS {
        if takeover.now_ms.is_multiple_of(TERM_MS) {
            let now = takeover.now();
            takeover.planner = Planner::take_over(takeover_bounds(), &placed_gang(), now);
            takeover.read_stored();
        }
        let started = takeover.step(&takeover.next_reads());
        is_restarted |= started.iter().any(|(_, run)| run.number > 1);
    }
    assert!(is_restarted);
}
