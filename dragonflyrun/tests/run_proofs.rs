//! When the planner may take a run for over: by proof only.

mod workload_tables;

use dragonflyrun::{
    Timestamp,
    port::{EndKind, RunningTask, StartOutcome},
    utils::HashSet,
    workload::{
        Fleet, JobRecord, JobTable, Outcome, Planner, Resources, RunId, RunOverReason, Step,
        TaskId, View,
    },
};
use workload_tables::{Bed, EPOCH_MS, bounds, task};

/// A worker falls silent with a task on it. It may run on under its lease, so the task starts
/// elsewhere only when the lease must have run out; a user whose task ran twice would pay twice.
#[test]
fn silent_worker() {
    let mut bed = Bed::new(2);
    bed.submit("job", 1, vec![task(8)]);
    bed.pass();
    let (lost, _) = bed.running("job")[0].clone();
    let other = if &*lost == "w0" { "w1" } else { "w0" };
    let silent = bed
        .reports
        .iter()
        .position(|r| r.heartbeat.worker == lost)
        .expect("a report");
    bed.reports.remove(silent);
    bed.wait(3_500);
    let decisions = bed.pass();
    assert!(
        decisions
            .orders
            .iter()
            .any(|o| o.worker == lost && o.order.fence)
    );
    bed.wait(5_500);
    bed.pass();
    assert!(bed.running("job").is_empty(), "its lease may still hold");
    bed.wait(1_000);
    bed.pass();
    assert_eq!(&*bed.running("job")[0].0, other);
    assert_eq!(bed.running("job")[0].1.number, 2);
}

/// The planner itself can't read reports for a while. That says nothing about the agents, and
/// closing their sessions would throw all running work away.
#[test]
fn own_silence() {
    let mut bed = Bed::new(2);
    bed.submit("job", 1, vec![task(8)]);
    bed.pass();
    let view = |now_ms, since| View {
        now: Timestamp::from_millis(now_ms),
        unix_ms: EPOCH_MS + now_ms,
        configuration: &bed.configuration,
        evacuated: &bed.evacuated,
        is_fresh: true,
        reports_since: since,
    };
    let decisions = bed.planner.decide(&view(60_000, None));
    assert!(decisions.orders.is_empty());
    let just_back = Some(Timestamp::from_millis(60_000));
    let decisions = bed.planner.decide(&view(61_000, just_back));
    assert!(
        decisions.orders.is_empty(),
        "agents have a while to report again"
    );
}

/// A worker starts again. Nothing of its last life runs, so its tasks start anew at once.
#[test]
fn new_life() {
    let mut bed = Bed::new(1);
    bed.submit("job", 1, vec![task(8)]);
    bed.pass();
    bed.report_all();
    bed.change("w0", |report| {
        report.heartbeat.born_ms = 2;
        report.session = 100;
        report.sequence = 0;
        report.orders_seen = 101;
        report.running.clear();
    });
    bed.pass();
    assert_eq!(bed.running("job")[0].1.number, 2);
}

/// Guards against runs of cancelled jobs that go on: a stop that was sent to an agent's session before its
/// process ended is never carried out, and the next session has to be told anew.
#[test]
fn stop_after_restart() {
    let mut bed = Bed::new(1);
    let name = bed.submit("job", 1, vec![task(8)]);
    bed.pass();
    bed.report_all();
    let (_, run) = bed.running("job")[0].clone();
    bed.planner.apply_job_record(&JobRecord::Cancelled(name));
    let stops = |bed: &mut Bed, session: u64| {
        let orders = bed.pass().orders;
        let mut orders = orders.iter().filter(|o| o.session == session);
        orders.any(|o| o.order.stops.contains(&run))
    };
    assert!(stops(&mut bed, 1), "the first session is told");
    bed.change("w0", |report| {
        report.session = 100;
        report.sequence = 0;
        report.orders_seen = 101;
    });
    assert!(stops(&mut bed, 100), "the second session is told as well");
}

/// After a loss of power another worker answers at the address of the old one. The old one can't
/// run any more, and its tasks need not wait for its lease.
#[test]
fn replaced_at_address() {
    let mut bed = Bed::new(1);
    bed.submit("job", 1, vec![task(8)]);
    bed.pass();
    bed.reports.clear();
    bed.add_worker("new", "r0");
    bed.change("new", |report| {
        report.heartbeat.born_ms = 2;
        report.heartbeat.address = "w0:1".into();
    });
    bed.pass();
    let runs = bed.running("job");
    assert_eq!((&*runs[0].0, runs[0].1.number), ("new", 2));
}

/// A report arrives twice, or seconds late. What has changed since must not be undone.
#[test]
fn late_report() {
    let mut bed = Bed::new(2);
    bed.submit("job", 1, vec![task(8)]);
    bed.pass();
    bed.report_all();
    let old = bed.reports.clone();
    bed.end("job", EndKind::Done);
    bed.pass();
    for report in old {
        bed.planner
            .apply_report(Timestamp::from_millis(bed.now_ms), report);
    }
    let decisions = bed.pass();
    assert!(decisions.orders.iter().all(|o| o.order.stops.is_empty()));
    assert_eq!(bed.outcome("job"), Some(Outcome::Completed));
}

/// One member of a gang is refused. The others would wait for it in vain, so they are stopped and
/// the gang starts anew with one number for all.
#[test]
fn refused_member() {
    let mut bed = Bed::new(3);
    bed.submit(
        "gang",
        1,
        vec![Step {
            tasks: 2,
            gang: true,
            ..task(8)
        }],
    );
    bed.pass();
    let (_, refused) = bed.running("gang")[0].clone();
    bed.refuse(&refused, StartOutcome::NoRoom);
    let decisions = bed.pass();
    let stops: Vec<_> = decisions
        .orders
        .iter()
        .flat_map(|o| &o.order.stops)
        .collect();
    let starts: usize = decisions.orders.iter().map(|o| o.order.starts.len()).sum();
    assert_eq!(starts, 0, "not before the other member has stopped");
    assert_eq!(stops.len(), 1);
    let stopped = stops[0].clone();
    bed.end_run(&stopped, EndKind::Stopped);
    bed.report_all();
    bed.pass();
    let runs = bed.running("gang");
    assert_eq!(runs.len(), 2);
    assert!(runs.iter().all(|(_, run)| run.number == 2));
}

/// Several members of a gang report the failure of one run. It counts as one attempt; counted for
/// each member, a job that could be done would be given up.
#[test]
fn gang_fails_once() {
    let mut bed = Bed::new(4);
    bed.submit(
        "gang",
        1,
        vec![Step {
            tasks: 4,
            gang: true,
            ..task(8)
        }],
    );
    for _ in 0..2 {
        bed.pass();
        bed.end("gang", EndKind::Failed);
        bed.now_ms += 10_000;
        bed.report_all();
    }
    bed.pass();
    assert_eq!(bed.outcome("gang"), None);
    bed.end("gang", EndKind::Failed);
    bed.pass();
    assert_eq!(bed.outcome("gang"), Some(Outcome::Failed));
}

/// All processes are killed. The next planner knows from the plan what runs, keeps it, and starts
/// nothing a second time before the agents' reports are read.
#[test]
fn take_over() {
    let mut bed = Bed::new(1);
    let job = bed.submit(
        "job",
        1,
        vec![Step {
            tasks: 2,
            ..task(4)
        }],
    );
    bed.pass();
    let mut book = JobTable::default();
    let request = dragonflyrun::workload::JobRequest {
        payload: "text".into(),
        steps: vec![Step {
            tasks: 2,
            ..task(4)
        }],
        occurrences: None,
    };
    book.fold(JobRecord::Accepted(Box::new(dragonflyrun::workload::Job {
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
    })));
    for record in &bed.written {
        book.fold(record.clone());
    }
    let now = Timestamp::from_millis(0);
    let mut next = Planner::take_over(bounds(), &book, now);
    let view = View {
        now,
        unix_ms: EPOCH_MS,
        configuration: &bed.configuration,
        evacuated: &HashSet::default(),
        is_fresh: true,
        reports_since: Some(now),
    };
    next.set_orders_end("w0", 12);
    let mut report = bed.reports[0].clone();
    report.sequence += 1;
    next.apply_report(now, report);
    let decisions = next.decide(&view);
    assert!(decisions.orders.is_empty(), "{decisions:?}");
}

/// The store turns so slow that no report comes for a while. All agents seem silent, but they are
/// not gone; closing all sessions would stop all running work. Only after twice the time it is done.
#[test]
fn all_silent_at_once() {
    let mut bed = Bed::new(4);
    bed.submit(
        "job",
        1,
        vec![Step {
            tasks: 4,
            ..task(8)
        }],
    );
    bed.pass();
    bed.now_ms += 4_000;
    assert!(bed.pass().orders.is_empty());
    bed.now_ms += 3_000;
    let fences = bed.pass().orders.into_iter().filter(|o| o.order.fence);
    assert_eq!(fences.count(), 4);
}

/// All hosts have lost power, and the store still has the reports of workers that are gone. A job
/// that was started on one of them would stand still until somebody noticed.
#[test]
fn old_reports() {
    let mut bed = Bed::new(0);
    let mut gone = Bed::new(1).reports.remove(0);
    gone.sequence += 1;
    gone.sent_ms = EPOCH_MS - 30_000;
    bed.planner
        .apply_stored_report(Timestamp::default(), EPOCH_MS, gone);
    bed.submit("job", 0, vec![task(8)]);
    assert!(bed.pass().orders.is_empty());
    bed.add_worker("new", "r0");
    bed.pass();
    assert_eq!(&*bed.running("job")[0].0, "new");
}

/// All hosts have lost power, and a new planner reads of a worker that is gone after its successor at
/// the same address. Its tasks must start again at once, not when the successor reports the next
/// time: callers would see all work stand still for another second.
#[test]
fn successor_read_first() {
    let now = Timestamp::default();
    let run = RunId {
        task: TaskId {
            job: "job".into(),
            occurrence: 0,
            step: 0,
            index: 0,
        },
        number: 1,
    };
    let mut reports = Bed::new(2).reports;
    let mut old = reports.remove(0);
    old.running.push(RunningTask {
        run: run.clone(),
        checkpoint: String::new(),
        percent: 100,
    });
    let mut new = reports.remove(0);
    new.heartbeat.address = old.heartbeat.address.clone();
    new.heartbeat.born_ms = old.heartbeat.born_ms + 1;
    let needs = Resources::default();
    let mut fleet = Fleet::default();
    let worker = old.heartbeat.worker.clone();
    fleet.adopt(now, &worker, old.session, run.clone(), needs);
    assert!(fleet.report(now, new, |_| needs).is_empty());
    let over = fleet.report(now, old, |_| needs);
    assert_eq!(over.len(), 1);
    assert_eq!((&over[0].run, &over[0].why), (&run, &RunOverReason::Gone));
}

/// Guards against agents given up one by one on a slow store, where the reports of all of them queue:
/// everything that runs on their workers would be stopped.
#[test]
fn late_together() {
    const WORKERS: u64 = 7;
    const EVERY_MS: u64 = 4_200;
    let mut bed = Bed::new(WORKERS as usize);
    for turn in 0..30 {
        bed.now_ms += EVERY_MS / WORKERS;
        bed.report(&format!("w{}", turn % WORKERS));
        let decisions = bed.pass();
        assert!(decisions.orders.iter().all(|o| !o.order.fence), "{turn}");
    }
}

/// Guards against an agent that is never given up since others are late too.
#[test]
fn silent_among_late() {
    const WORKERS: u64 = 7;
    const EVERY_MS: u64 = 3_600;
    let mut bed = Bed::new(WORKERS as usize);
    let mut fenced = Vec::new();
    for turn in 0..30 {
        bed.now_ms += EVERY_MS / WORKERS;
        let next = turn % WORKERS;
        if next != 0 {
            bed.report(&format!("w{next}"));
        }
        let orders = bed.pass().orders;
        fenced.extend(orders.into_iter().filter(|o| o.order.fence));
    }
    assert_eq!(fenced.len(), 1);
    assert_eq!(&*fenced[0].worker, "w0");
}
