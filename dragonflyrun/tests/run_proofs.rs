//! When the planner may consider a run ended: only with proof.

mod workload_tables;

use std::time::Duration;

use dragonflyrun::{
    Timestamp,
    port::{EndKind, RunningTask, StartOutcome},
    utils::HashSet,
    workload::{
        Fleet, GoneProof, JobRecord, JobTable, Outcome, Planner, Report, Resources, RunId,
        RunOverReason, SessionState, Step, Succession, TaskId, View,
    },
};
use workload_tables::{EPOCH_MS, Harness, bounds, reads_since, task};

/// Guards against a task that runs twice, for which its user would pay twice. A silent worker may
/// continue the task under its lease, so it starts elsewhere only after the lease must have
/// expired.
#[test]
fn silent_worker() {
    let mut harness = Harness::new(2);
    harness.submit("job", 1, vec![task(8)]);
    harness.pass();
    let (silent_worker_name, _) = harness.running("job")[0].clone();
    let other = if &*silent_worker_name == "w0" {
        "w1"
    } else {
        "w0"
    };
    let position = harness
        .reports
        .iter()
        .position(|r| r.heartbeat.worker == silent_worker_name)
        .expect("a report");
    harness.reports.remove(position);
    harness.advance(3_500);
    let decisions = harness.pass();
    assert!(
        decisions
            .orders
            .iter()
            .any(|o| o.worker == silent_worker_name && o.order.fence)
    );
    harness.advance(5_500);
    harness.pass();
    assert!(
        harness.running("job").is_empty(),
        "its lease may still be valid"
    );
    harness.advance(1_000);
    harness.pass();
    assert_eq!(&*harness.running("job")[0].0, other);
    assert_eq!(harness.running("job")[0].1.number, 2);
}

/// Guards against sessions that are fenced, and running work that is stopped, because the planner
/// itself can't read reports for a while. That proves nothing about the agents.
#[test]
fn planner_read_outage() {
    let mut harness = Harness::new(2);
    harness.submit("job", 1, vec![task(8)]);
    harness.pass();
    let mut decide = |now_ms, since| {
        harness.planner.decide(&View {
            now: Timestamp::from_millis(now_ms),
            unix_ms: EPOCH_MS + now_ms,
            configuration: &harness.configuration,
            evacuated: &harness.evacuated,
            is_fresh: true,
            report_reads: &reads_since(since),
            store_delay: Duration::ZERO,
        })
    };
    let decisions = decide(60_000, None);
    assert!(decisions.orders.is_empty());
    let decisions = decide(61_000, Some(Timestamp::from_millis(60_000)));
    assert!(
        decisions.orders.is_empty(),
        "agents have some time to report again"
    );
}

/// Guards against tasks that wait after their worker has restarted: nothing of its last incarnation
/// is running, so they start again immediately.
#[test]
fn restarted_worker() {
    let mut harness = Harness::new(1);
    harness.submit("job", 1, vec![task(8)]);
    harness.pass();
    harness.report_all();
    harness.change_report("w0", |report| {
        report.heartbeat.born_ms = 2;
        report.session = 100;
        report.sequence = 0;
        report.orders_seen = 101;
        report.running.clear();
    });
    harness.pass();
    assert_eq!(harness.running("job")[0].1.number, 2);
}

/// Guards against runs of cancelled jobs that continue. A stop for an agent's session is never
/// executed if its process ends first, so it has to be sent to the next session again.
#[test]
fn stop_after_restart() {
    let mut harness = Harness::new(1);
    let name = harness.submit("job", 1, vec![task(8)]);
    harness.pass();
    harness.report_all();
    let (_, run) = harness.running("job")[0].clone();
    harness
        .planner
        .apply_job_record(&JobRecord::Cancelled(name));
    let stops = |harness: &mut Harness, session: u64| {
        let orders = harness.pass().orders;
        let mut orders = orders.iter().filter(|o| o.session == session);
        orders.any(|o| o.order.stops.contains(&run))
    };
    assert!(
        stops(&mut harness, 1),
        "the first session is ordered to stop"
    );
    harness.change_report("w0", |report| {
        report.session = 100;
        report.sequence = 0;
        report.orders_seen = 101;
    });
    assert!(
        stops(&mut harness, 100),
        "the second session is ordered to stop too"
    );
}

/// Guards against tasks that wait for the lease of a worker that can't be running: after a power
/// failure another worker answers at its address.
#[test]
fn replaced_at_address() {
    let mut harness = Harness::new(1);
    harness.change_report("w0", |report| report.succession = place(4));
    harness.submit("job", 1, vec![task(8)]);
    harness.pass();
    harness.reports.clear();
    harness.add_worker("new", "r0");
    harness.change_report("new", |report| {
        report.heartbeat.born_ms = 2;
        report.heartbeat.address = "w0:1".into();
        report.succession = place(9);
    });
    harness.pass();
    let runs = harness.running("job");
    assert_eq!((&*runs[0].0, runs[0].1.number), ("new", 2));
}

/// Guards against changes that are undone by a report that arrives twice or seconds late.
#[test]
fn late_report() {
    let mut harness = Harness::new(2);
    harness.submit("job", 1, vec![task(8)]);
    harness.pass();
    harness.report_all();
    let old = harness.reports.clone();
    harness.end_runs("job", EndKind::Done);
    harness.pass();
    for report in old {
        harness
            .planner
            .apply_report(Timestamp::from_millis(harness.now_ms), report);
    }
    let decisions = harness.pass();
    assert!(decisions.orders.iter().all(|o| o.order.stops.is_empty()));
    assert_eq!(harness.outcome("job"), Some(Outcome::Completed));
}

/// Guards against gang members that wait in vain for one that was refused. They are stopped, and
/// the gang starts again with one run number for all.
#[test]
fn refused_member() {
    let mut harness = Harness::new(3);
    harness.submit(
        "gang",
        1,
        vec![Step {
            tasks: 2,
            gang: true,
            ..task(8)
        }],
    );
    harness.pass();
    let (_, refused) = harness.running("gang")[0].clone();
    harness.refuse_run(&refused, StartOutcome::NoRoom);
    let decisions = harness.pass();
    let stops: Vec<_> = decisions
        .orders
        .iter()
        .flat_map(|o| &o.order.stops)
        .collect();
    let starts: usize = decisions.orders.iter().map(|o| o.order.starts.len()).sum();
    assert_eq!(starts, 0, "not before the other member has stopped");
    assert_eq!(stops.len(), 1);
    let stopped = stops[0].clone();
    harness.end_run(&stopped, EndKind::Stopped);
    harness.report_all();
    harness.pass();
    let runs = harness.running("gang");
    assert_eq!(runs.len(), 2);
    assert!(runs.iter().all(|(_, run)| run.number == 2));
}

/// Guards against a job that is given up too early because each member's report of one failed gang
/// run counts as an attempt.
#[test]
fn gang_fails_once() {
    let mut harness = Harness::new(4);
    harness.submit(
        "gang",
        1,
        vec![Step {
            tasks: 4,
            gang: true,
            ..task(8)
        }],
    );
    for _ in 0..2 {
        harness.pass();
        harness.end_runs("gang", EndKind::Failed);
        harness.now_ms += 10_000;
        harness.report_all();
    }
    harness.pass();
    assert_eq!(harness.outcome("gang"), None);
    harness.end_runs("gang", EndKind::Failed);
    harness.pass();
    assert_eq!(harness.outcome("gang"), Some(Outcome::Failed));
}

/// Guards against second starts after all processes were killed. The next planner learns from the
/// stored plan what is running, keeps it, and starts nothing again before it has read the agents'
/// reports.
#[test]
fn take_over() {
    let mut harness = Harness::new(1);
    let job = harness.submit(
        "job",
        1,
        vec![Step {
            tasks: 2,
            ..task(4)
        }],
    );
    harness.pass();
    let mut job_table = JobTable::default();
    let request = dragonflyrun::workload::JobRequest {
        payload: "text".into(),
        steps: vec![Step {
            tasks: 2,
            ..task(4)
        }],
        occurrences: None,
    };
    job_table.fold(
        Timestamp::default(),
        JobRecord::Accepted(Box::new(dragonflyrun::workload::Job {
            name: job,
            queue: "q".into(),
            service: "svc".into(),
            workspace: None,
            priority: 1,
            max_attempts: 3,
            stretch: 3.0,
            target_ms: 1_000,
            accepted_ms: EPOCH_MS,
            request,
        })),
    );
    for record in &harness.written_records {
        job_table.fold(Timestamp::default(), record.clone());
    }
    let now = Timestamp::from_millis(0);
    let mut successor = Planner::take_over(bounds(), &job_table, now);
    let view = View {
        now,
        unix_ms: EPOCH_MS,
        configuration: &harness.configuration,
        evacuated: &HashSet::default(),
        is_fresh: true,
        report_reads: &reads_since(Some(now)),
        store_delay: Duration::ZERO,
    };
    successor.set_orders_end("w0", 12);
    let mut report = harness.reports[0].clone();
    report.sequence += 1;
    successor.apply_report(now, report);
    let decisions = successor.decide(&view);
    assert!(decisions.orders.is_empty(), "{decisions:?}");
}

/// Guards against a task that runs twice because a new planner has ordered it before the orders of
/// earlier planners were fenced: the agent that has read up to the fence hasn't read this order.
#[test]
fn order_before_fence() {
    let mut harness = Harness::new(1);
    harness.submit("first", 1, vec![task(4)]);
    harness.pass();
    let mut table = JobTable::default();
    for record in harness
        .accepted_records
        .iter()
        .chain(&harness.written_records)
    {
        table.fold(Timestamp::default(), record.clone());
    }
    let now = Timestamp::from_millis(harness.now_ms);
    harness.planner = Planner::take_over(bounds(), &table, now);
    harness.report("w0");
    harness.submit("second", 1, vec![task(4)]);
    let reads = reads_since(Some(now));
    let view = View {
        now,
        unix_ms: EPOCH_MS + harness.now_ms,
        configuration: &harness.configuration.clone(),
        evacuated: &HashSet::default(),
        is_fresh: true,
        report_reads: &reads,
        store_delay: Duration::ZERO,
    };
    let orders = harness.planner.decide(&view).orders;
    assert_eq!(
        orders.iter().map(|o| o.order.starts.len()).sum::<usize>(),
        1
    );
    let orders_seen = harness.reports[0].orders_seen;
    harness.planner.set_orders_end("w0", orders_seen);
    harness.report("w0");
    let worker = harness.planner.fleet().get("w0").expect("it reports");
    assert_eq!(worker.runs.len(), 2, "{:?}", worker.runs);
}

/// Guards against fencing all sessions, which would stop all running work, when the store becomes
/// so slow that no report arrives for a while. The agents are given up only after twice the usual
/// silence.
#[test]
fn all_agents_silent() {
    let mut harness = Harness::new(4);
    harness.submit(
        "job",
        1,
        vec![Step {
            tasks: 4,
            ..task(8)
        }],
    );
    harness.pass();
    harness.now_ms += 4_000;
    assert!(harness.pass().orders.is_empty());
    harness.now_ms += 3_000;
    let fences = harness.pass().orders.into_iter().filter(|o| o.order.fence);
    assert_eq!(fences.count(), 4);
}

/// Guards against jobs that are started on workers that are gone and stall there unnoticed: all
/// hosts have lost power, and the store still contains the workers' reports.
#[test]
fn stale_reports() {
    let mut harness = Harness::new(0);
    let mut gone = Harness::new(1).reports.remove(0);
    gone.sequence += 1;
    gone.sent_ms = EPOCH_MS - 30_000;
    harness
        .planner
        .apply_stored_report(Timestamp::default(), EPOCH_MS, gone);
    harness.submit("job", 0, vec![task(8)]);
    assert!(harness.pass().orders.is_empty());
    harness.add_worker("new", "r0");
    harness.pass();
    assert_eq!(&*harness.running("job")[0].0, "new");
}

/// Guards against work that stalls for another second after a power failure of all hosts. A new
/// planner reads the report of the worker that is gone after that of its replacement at the same
/// address. The tasks must start again immediately, not with the replacement's next report.
#[test]
fn successor_read_first() {
    for old_born_ms in [0, 1, 2] {
        let (old, new, mut fleet, run) = replaced_worker(old_born_ms);
        assert!(fleet.report(NOW, new, |_| NEEDS).is_empty());
        let over = fleet.report(NOW, old, |_| NEEDS);
        assert_eq!(over.len(), 1);
        let replaced = RunOverReason::Gone(GoneProof::Replaced);
        assert_eq!((&over[0].run, &over[0].why), (&run, &replaced));
    }
}

/// Guards against a live worker that counts as replaced by its predecessor, and whose tasks are then
/// started twice, because the clock of its host was set back before it started.
#[test]
fn successor_born_earlier() {
    for successor_first in [true, false] {
        let (old, new, mut fleet, run) = replaced_worker(2);
        let successor = new.heartbeat.worker.clone();
        let reports = match successor_first {
            true => [new, old],
            false => [old, new],
        };
        let over = reports.map(|report| fleet.report(NOW, report, |_| NEEDS));
        let over: Vec<RunId> = over.into_iter().flatten().map(|o| o.run).collect();
        assert_eq!(over, [run]);
        let state = fleet.get(&successor).map(|w| w.session_state);
        assert_eq!(state, Some(SessionState::Open));
    }
}

const NOW: Timestamp = Timestamp::from_millis(0);

const NEEDS: Resources = Resources {
    cpu_millis: 0,
    memory_mb: 0,
    accelerators: 0,
};

/// Returns the place of an incarnation at an address.
fn place(number: u64) -> Option<Succession> {
    Some(Succession {
        address: "host:1".into(),
        number,
    })
}

/// Returns the reports of a worker with one run and of its successor at the same address, a fleet
/// that knows the run, and the run. The host's clock said `old_born_ms` at the old worker's start and
/// 1 at the successor's.
fn replaced_worker(old_born_ms: u64) -> (Report, Report, Fleet, RunId) {
    let run = RunId {
        task: TaskId {
            job: "job".into(),
            occurrence: 0,
            step: 0,
            index: 0,
        },
        number: 1,
    };
    let mut reports = Harness::new(2).reports;
    let mut old = reports.remove(0);
    old.running.push(RunningTask {
        run: run.clone(),
        checkpoint: String::new(),
        percent: 100,
    });
    old.heartbeat.born_ms = old_born_ms;
    let mut new = reports.remove(0);
    new.heartbeat.address = old.heartbeat.address.clone();
    (old.succession, new.succession) = (place(4), place(9));
    let mut fleet = Fleet::default();
    let worker = &old.heartbeat.worker;
    fleet.adopt(NOW, worker, old.session, run.clone(), NEEDS);
    (old, new, fleet, run)
}

/// Guards against giving up agents one by one on a slow store, where the reports of all agents
/// queue: everything on their workers would be stopped.
#[test]
fn all_reports_late() {
    const WORKERS: u64 = 7;
    const REPORT_INTERVAL_MS: u64 = 4_200;
    let mut harness = Harness::new(WORKERS as usize);
    for turn in 0..30 {
        harness.now_ms += REPORT_INTERVAL_MS / WORKERS;
        harness.report(&format!("w{}", turn % WORKERS));
        let decisions = harness.pass();
        assert!(decisions.orders.iter().all(|o| !o.order.fence), "{turn}");
    }
}

/// Guards against a silent agent that is never given up because the reports of the others are late
/// too.
#[test]
fn silent_among_late() {
    const WORKERS: u64 = 7;
    const REPORT_INTERVAL_MS: u64 = 3_600;
    let mut harness = Harness::new(WORKERS as usize);
    let mut fenced = Vec::new();
    for turn in 0..30 {
        harness.now_ms += REPORT_INTERVAL_MS / WORKERS;
        let next = turn % WORKERS;
        if next != 0 {
            harness.report(&format!("w{next}"));
        }
        let orders = harness.pass().orders;
        fenced.extend(orders.into_iter().filter(|o| o.order.fence));
    }
    assert_eq!(fenced.len(), 1);
    assert_eq!(&*fenced[0].worker, "w0");
}
