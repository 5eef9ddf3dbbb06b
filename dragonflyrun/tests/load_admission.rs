//! Refusals of jobs that would be of no use when their turn comes.

mod workload_tables;

use std::time::Duration;

use dragonflyrun::{
    Timestamp,
    port::{Configuration, Workspace},
    utils::Name,
    workload::{
        EntryView, ExpectedWaits, Job, JobPlan, JobRecord, JobRequest, JobTable, LoadAdmission,
        LoadPublisher, LoadRecord, LoadRefusal, Outcome, PoolWork, RunningWork, Step, Term,
        WaitEstimator, WaitingWork, Waits, is_covered,
    },
};
use workload_tables::{EPOCH_MS, Harness, queue, task};

const TERM: u64 = 7;

/// The longest wait with which a job of one second of work is accepted: with work for twice as long,
/// its objective is 7 s, and the result is useful until 21 s.
const ALLOWED_MS: u64 = 21_000 - 2_000;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

/// Returns a job with one second of work, an objective of 4 s, and priority 1.
fn job(name: &str) -> Job {
    job_of("w", name, 1, 1)
}

fn job_of(workspace: &str, name: &str, priority: u32, accelerators: u64) -> Job {
    Job {
        name: name.into(),
        queue: "q".into(),
        service: "svc".into(),
        workspace: Some(workspace.into()),
        priority,
        max_attempts: 3,
        stretch: 3.0,
        target_ms: 1_000,
        accepted_ms: EPOCH_MS,
        request: JobRequest {
            payload: "text".into(),
            steps: vec![Step {
                estimate_ms: 1_000,
                ..task(accelerators)
            }],
            occurrences: None,
        },
    }
}

/// Returns waits that are the same for all work.
fn waits(ms: u64) -> Waits {
    Waits {
        in_time_ms: vec![ms; 7],
        late_ms: ms,
    }
}

fn record(priority: u32, below: Waits, above: Option<Waits>) -> LoadRecord {
    LoadRecord {
        term: TERM,
        at_ms: EPOCH_MS,
        waits: vec![ExpectedWaits {
            service: "svc".into(),
            priority,
            below,
            above,
        }],
        above: vec!["greedy".into()],
    }
}

/// An entry that has read a load record.
struct Entry {
    admission: LoadAdmission,
    now_ms: u64,
    term: Term,
    reads_current: bool,
}

impl Entry {
    fn new(record: LoadRecord) -> Self {
        let mut admission = LoadAdmission::default();
        admission.apply(record);
        Self {
            admission,
            now_ms: 0,
            term: Term {
                number: TERM,
                ..Term::default()
            },
            reads_current: true,
        }
    }

    fn with_wait(ms: u64) -> Self {
        Self::new(record(1, waits(ms), None))
    }

    fn check(&self, job: &Job) -> Option<LoadRefusal> {
        let view = EntryView {
            now: at(self.now_ms),
            unix_ms: EPOCH_MS + self.now_ms,
            term: &self.term,
            reads_current: self.reads_current,
        };
        self.admission.check(&view, job, || false)
    }

    fn accepts(&self, job: &Job) -> bool {
        self.check(job).is_none()
    }

    /// Refuses a job and returns the time after which it should return.
    fn refuse(&mut self, job: &Job) -> Duration {
        let refusal = self.check(job).expect("a refusal");
        let now = at(self.now_ms);
        self.admission.refuse(now, &job.name, refusal).retry_after
    }

    /// Advances the time, with a new record of this wait.
    fn advance_to(&mut self, ms: u64, wait_ms: u64) {
        self.now_ms = ms;
        self.admission.apply(LoadRecord {
            at_ms: EPOCH_MS + ms,
            ..record(1, waits(wait_ms), None)
        });
    }
}

/// Guards against refusals of jobs that are served before their objective, while late jobs wait long.
#[test]
fn in_time() {
    let late = Waits {
        late_ms: 600_000,
        ..waits(2_000)
    };
    assert!(Entry::new(record(1, late, None)).accepts(&job("j")));
}

/// Guards against refusals of jobs that are served in time although the expected wait is twice as long as
/// they have: small gangs find room before large ones.
#[test]
fn served_early() {
    let slack_ms = 7_000 - 2_000;
    let behind = |in_time_ms: u64| Waits {
        late_ms: 600_000,
        ..waits(in_time_ms)
    };
    assert!(Entry::new(record(1, behind(slack_ms * 2), None)).accepts(&job("j")));
    assert!(!Entry::new(record(1, behind(slack_ms * 2 + 1), None)).accepts(&job("j")));
}

/// Guards against counting work that is due later than the job's own objective.
#[test]
fn due_first() {
    let mut long_horizons = waits(60_000);
    long_horizons.in_time_ms[..3].fill(0);
    let entry = Entry::new(record(1, long_horizons, None));
    assert!(entry.accepts(&job("short")));
    let mut long = job("long");
    long.request.steps[0].estimate_ms = 2_400;
    assert!(!entry.accepts(&long), "its objective is in 8.2 s");
}

/// Guards against refusals of jobs that are late but still of use.
#[test]
fn late_but_useful() {
    assert!(Entry::with_wait(10_000).accepts(&job("j")));
    assert!(Entry::with_wait(ALLOWED_MS).accepts(&job("j")));
}

/// Guards against jobs that take room for a result that nobody needs any more.
#[test]
fn useless() {
    let mut entry = Entry::with_wait(ALLOWED_MS + 5_000);
    let refusal = entry.check(&job("j")).expect("a refusal");
    assert_eq!(refusal.wait_ms, ALLOWED_MS + 5_000);
    assert_eq!(refusal.allowed_ms, ALLOWED_MS);
    assert_eq!((refusal.estimate_ms, refusal.objective_ms), (1_000, 4_000));
    let after = entry.refuse(&job("j"));
    assert_eq!(after.subsec_nanos(), 0, "whole seconds");
    assert!((1..=5).contains(&after.as_secs()), "{after:?}");
}

/// Guards against refusals of a job that takes half or twice as long as its caller estimated, and that
/// would be useful by its true duration.
#[test]
fn estimates_off_by_two() {
    for estimate_ms in [1_000, 3_000, 10_000] {
        for true_ms in [estimate_ms / 2, estimate_ms, estimate_ms * 2] {
            let useful_wait_ms = (true_ms * 3 + 1_000) * 3 - true_ms;
            let mut job = job("j");
            job.request.steps[0].estimate_ms = estimate_ms;
            assert!(Entry::with_wait(useful_wait_ms).accepts(&job));
        }
    }
}

/// Guards against refusals by a record that is wrong by a second in either direction: by its wait, or
/// by the planner's clock.
#[test]
fn record_off_by_second() {
    let useful_wait_ms = 12_000 - 1_000;
    assert!(Entry::with_wait(useful_wait_ms + 1_000).accepts(&job("j")));
    for at_ms in [EPOCH_MS - 1_000, EPOCH_MS + 1_000] {
        let mut entry = Entry::new(LoadRecord {
            at_ms,
            ..record(1, waits(useful_wait_ms), None)
        });
        assert!(entry.accepts(&job("j")));
        entry.admission.apply(LoadRecord {
            at_ms,
            ..record(1, waits(60_000), None)
        });
        assert!(!entry.accepts(&job("j")));
    }
}

/// Guards against refusals of guaranteed jobs, and against a guarantee that covers more than it says.
#[test]
fn guaranteed() {
    let configuration = Configuration {
        workspaces: vec![Workspace {
            name: "sure".into(),
            keys: Vec::new(),
            guaranteed_accelerators: 8,
        }],
        ..Configuration::default()
    };
    let mut table = JobTable::default();
    let covered = |table: &JobTable, workspace: &str, priority: u32, accelerators: u64| {
        let job = job_of(workspace, "new", priority, accelerators);
        is_covered(table, &configuration, &job)
    };
    assert!(covered(&table, "sure", 0, 8));
    assert!(!covered(&table, "sure", 0, 9));
    assert!(
        !covered(&table, "sure", 1, 8),
        "a guarantee is for urgent jobs"
    );
    assert!(!covered(&table, "w", 0, 1));
    table.fold(
        Timestamp::default(),
        JobRecord::Accepted(Box::new(job_of("sure", "old", 0, 5))),
    );
    assert!(covered(&table, "sure", 0, 3));
    assert!(!covered(&table, "sure", 0, 4));
    let ended = JobPlan {
        revision: 1,
        outcome: Some(Outcome::Completed),
        ..JobPlan::default()
    };
    table.fold(
        Timestamp::default(),
        JobRecord::Plan("old".into(), Some(Box::new(ended))),
    );
    assert!(covered(&table, "sure", 0, 8));

    let entry = Entry::new(record(0, waits(600_000), None));
    let view = EntryView {
        now: at(0),
        unix_ms: EPOCH_MS,
        term: &entry.term,
        reads_current: true,
    };
    let job = job_of("sure", "new", 0, 8);
    assert!(entry.admission.check(&view, &job, || true).is_none());
    assert!(entry.admission.check(&view, &job, || false).is_some());
}

/// Guards against refusing a workspace because of another's burst.
#[test]
fn entitlements() {
    let entry = Entry::new(record(1, waits(2_000), Some(waits(60_000))));
    assert!(entry.accepts(&job_of("modest", "j", 1, 1)));
    assert!(!entry.accepts(&job_of("greedy", "j", 1, 1)));
}

/// Guards against refusals by a record that says nothing about the present: none, an old one (the
/// planner or the store is silent), another planner's, or one of a planner that starts nothing.
#[test]
fn doubtful_record() {
    assert!(Entry::new(LoadRecord::default()).accepts(&job("j")));
    let mut entry = Entry::with_wait(60_000);
    assert!(!entry.accepts(&job("j")));
    entry.now_ms = 3_000;
    assert!(!entry.accepts(&job("j")));
    entry.now_ms = 3_001;
    assert!(entry.accepts(&job("j")), "an old record");

    let mut entry = Entry::with_wait(60_000);
    entry.term.number = TERM + 1;
    assert!(entry.accepts(&job("j")), "another planner");
    entry.term.number = TERM;
    entry.term.resigned = true;
    assert!(entry.accepts(&job("j")), "a planner that has resigned");
    entry.term.resigned = false;
    entry.term.stale = true;
    assert!(entry.accepts(&job("j")), "a planner that starts nothing");

    let mut entry = Entry::with_wait(60_000);
    entry.reads_current = false;
    assert!(entry.accepts(&job("j")), "an entry that is cut off");
}

/// Guards against an older record, from the store's newest records or an earlier planner, that replaces
/// a newer one.
#[test]
fn older_record() {
    let mut entry = Entry::with_wait(60_000);
    entry.admission.apply(LoadRecord {
        at_ms: EPOCH_MS - 1,
        ..record(1, waits(0), None)
    });
    entry.admission.apply(LoadRecord {
        term: TERM - 1,
        at_ms: EPOCH_MS + 1,
        ..record(1, waits(0), None)
    });
    assert!(!entry.accepts(&job("j")));
    entry.admission.apply(LoadRecord {
        at_ms: EPOCH_MS + 1,
        ..record(1, waits(0), None)
    });
    assert!(entry.accepts(&job("j")));
}

/// Guards against refusals of jobs whose duration nobody knows, or that are due later.
#[test]
fn unknown_durations() {
    let entry = Entry::with_wait(600_000);
    let mut unestimated = job("j");
    unestimated.request.steps[0].estimate_ms = 0;
    assert!(entry.accepts(&unestimated));
    let mut lasting = job("j");
    lasting.request.steps[0].lasting = true;
    assert!(entry.accepts(&lasting));
}

/// Guards against a refusal that says "not run" to a repeated submission whose first record may be
/// stored, or is about to be.
#[test]
fn repeated_submission() {
    let mut entry = Entry::with_wait(0);
    let name: Name = "j".into();
    entry.admission.submission_sent(at(0), &name);
    entry.advance_to(1_000, 60_000);
    assert!(entry.accepts(&job("j")), "the first append is pending");
    entry.admission.submission_sent(at(1_000), &name);
    entry.admission.submission_settled(&name);
    assert!(entry.accepts(&job("j")), "one of two appends is pending");
    entry.admission.submission_settled(&name);
    assert!(!entry.accepts(&job("j")), "the store has refused both");

    entry.admission.submission_sent(at(1_000), &name);
    entry.advance_to(40_000, 60_000);
    assert!(entry.accepts(&job("j")), "the outcome is unknown");
    assert!(!entry.accepts(&job("other")));
    entry.advance_to(62_000, 60_000);
    assert!(!entry.accepts(&job("j")), "it was read, or it isn't stored");
}

/// Guards against refusals of jobs that were sent to another entry with unknown outcome, as happens to
/// all entries when the store loses answers.
#[test]
fn lost_answers() {
    let mut entry = Entry::with_wait(60_000);
    entry.admission.append_doubtful(at(0));
    assert!(entry.accepts(&job("j")));
    entry.advance_to(9_000, 60_000);
    assert!(entry.accepts(&job("j")));
    entry.advance_to(10_000, 60_000);
    assert!(!entry.accepts(&job("j")));
}

/// Guards against an entry that forgets open submissions when there are very many of them.
#[test]
fn many_open_submissions() {
    let mut entry = Entry::with_wait(60_000);
    for i in 0..5_000 {
        let name: Name = format!("open-{i}").into();
        entry.admission.submission_sent(at(0), &name);
    }
    assert!(entry.accepts(&job("open-4999")));
    assert!(entry.accepts(&job("open-0")));
    entry.advance_to(61_000, 60_000);
    assert!(!entry.accepts(&job("open-4999")));
}

/// Guards against callers that all return at once, and against new callers that are served before those
/// who have waited as they were told.
#[test]
fn returns_in_order() {
    let mut entry = Entry::with_wait(ALLOWED_MS + 10_000);
    let jobs: Vec<Job> = (0..100).map(|i| job(&format!("job-{i}"))).collect();
    let afters: Vec<u64> = jobs.iter().map(|j| entry.refuse(j).as_secs()).collect();
    for second in 1..=10 {
        let count = afters.iter().filter(|after| **after == second).count();
        assert!((1..=30).contains(&count), "{count} return after {second} s");
    }
    assert_eq!(
        afters[7],
        Entry::with_wait(ALLOWED_MS + 10_000)
            .refuse(&jobs[7])
            .as_secs()
    );

    let first = afters.iter().position(|after| *after == 3).expect("one");
    let last = afters.iter().position(|after| *after == 10).expect("one");
    entry.advance_to(3_500, ALLOWED_MS + 2_000);
    assert!(entry.accepts(&jobs[first]), "returned as told");
    assert!(!entry.accepts(&jobs[last]), "returned too early");
    assert!(!entry.accepts(&job("new")));
    entry.advance_to(30_000, ALLOWED_MS + 2_000);
    assert!(!entry.accepts(&jobs[first]), "returned far too late");
}

/// Guards against a job that is refused again and again and told each time to wait as long as a new
/// one.
#[test]
fn refused_again() {
    let mut entry = Entry::with_wait(ALLOWED_MS * 4);
    let job = job("j");
    let mut last = Duration::MAX;
    for _ in 0..8 {
        let after = entry.refuse(&job);
        assert!(after <= Duration::from_secs(30));
        last = after;
    }
    assert_eq!(last, Duration::from_secs(1));
}

/// Guards against a record that disturbs the folding of jobs, or that grows with the number of jobs.
#[test]
fn encoding() {
    let load = record(1, waits(12_345), Some(waits(123_456)));
    let stored = JobRecord::Load(load.clone()).encode();
    assert_eq!(&*stored.key, "load");
    assert!(stored.value.as_ref().is_some_and(|v| v.len() < 200));
    assert_eq!(
        JobRecord::decode(&stored),
        Some(JobRecord::Load(load.clone()))
    );
    let mut table = JobTable::default();
    assert!(!table.fold(Timestamp::default(), JobRecord::Load(load)));
    assert_eq!(table.jobs().count(), 0);
}

/// Guards against a planner that writes although nothing would be refused, or more often than once a
/// second, or whose last record says that there is load when there is none.
#[test]
fn publication() {
    let load = |ms: u64| record(1, waits(ms), None);
    let over = || LoadRecord {
        waits: Vec::new(),
        ..load(0)
    };
    let mut publisher = LoadPublisher::default();
    assert_eq!(publisher.due(at(0), over()), None);
    assert_eq!(publisher.due(at(100), load(10_000)), Some(load(10_000)));
    assert_eq!(publisher.due(at(1_000), load(20_000)), None, "too soon");
    assert_eq!(
        publisher.due(at(1_100), load(12_000)),
        None,
        "little change"
    );
    assert_eq!(publisher.due(at(1_150), load(14_000)), Some(load(14_000)));
    assert_eq!(publisher.due(at(2_200), load(14_000)), None);
    let refreshed = publisher.due(at(2_350), load(14_000));
    assert_eq!(refreshed, Some(load(14_000)), "else it would count as old");
    assert_eq!(publisher.due(at(3_400), over()), Some(over()));
    for ms in (3_500..60_000).step_by(100) {
        assert_eq!(publisher.due(at(ms), over()), None);
    }
}

/// Guards against records about waits that refuse no job.
#[test]
fn short_waits() {
    let configuration = Configuration {
        queues: vec![queue()],
        ..Configuration::default()
    };
    let load = |ms: u64| record(1, waits(ms), None);
    assert!(load(3_000).reduced(&configuration).waits.is_empty());
    assert_eq!(load(3_001).reduced(&configuration), load(3_001));
    let unused = record(2, waits(60_000), None).reduced(&configuration);
    assert!(unused.waits.is_empty(), "no queue has the priority");
}

fn running(priority: u32, amount: f64, remaining_ms: u64) -> RunningWork {
    RunningWork {
        priority,
        amount,
        remaining_ms,
        in_time: false,
    }
}

fn waiting(priority: u32, tasks: u32, due_in_ms: Option<u64>) -> WaitingWork {
    WaitingWork {
        priority,
        tasks,
        amount: 1.0,
        estimate_ms: 1_000,
        due_in_ms,
        guaranteed: false,
        above: false,
    }
}

fn pool(running: Vec<RunningWork>, waiting: Vec<WaitingWork>) -> PoolWork {
    PoolWork {
        service: "svc".into(),
        capacity: 10.0,
        running,
        waiting,
        priorities: vec![0, 1, 2],
    }
}

fn estimate(pool: PoolWork) -> Vec<ExpectedWaits> {
    WaitEstimator::default().estimate(at(0), &[pool])
}

/// Guards against waits that are expected although nothing waits.
#[test]
fn no_wait() {
    assert!(estimate(pool(vec![running(1, 10.0, 5_000)], Vec::new())).is_empty());
    let waits = estimate(pool(Vec::new(), vec![waiting(1, 5, Some(900))]));
    assert!(waits.iter().all(|w| w.longest_ms() <= 500), "{waits:?}");
}

/// The work ahead is that of the same and of more urgent priorities, in the order in which it is served.
#[test]
fn work_ahead() {
    let waiting = vec![
        waiting(0, 100, Some(500)),
        waiting(1, 100, Some(3_000)),
        waiting(1, 200, None),
    ];
    let waits = estimate(pool(vec![running(1, 10.0, 2_000)], waiting));
    let [urgent, normal, patient] = &waits[..] else {
        panic!("three priorities");
    };
    assert_eq!(urgent.below.in_time_ms, [10_000; 7], "it may evict");
    assert_eq!(normal.below.in_time_ms[..2], [12_000; 2]);
    assert_eq!(normal.below.in_time_ms[2..], [22_000; 5]);
    assert_eq!(normal.below.late_ms, 2_000 + 10_000 + 20_000);
    assert_eq!(patient.below.late_ms, 2_000 + 40_000);
}

/// Guards against a workspace that waits behind the burst of another one.
#[test]
fn burst_of_other() {
    let burst = WaitingWork {
        above: true,
        ..waiting(1, 1_000, None)
    };
    let waits = estimate(pool(Vec::new(), vec![burst]));
    assert_eq!(waits[1].below.late_ms, 0);
    assert_eq!(waits[1].of(true).late_ms, 100_000);
}

/// Work that keeps arriving before other work takes room from it, but the estimate learns of that only
/// by and by, so that a new planner expects too little.
#[test]
fn urgent_share() {
    let mut estimator = WaitEstimator::default();
    let busy = || {
        let running = vec![running(0, 5.0, 500), running(1, 5.0, 500)];
        pool(running, vec![waiting(1, 50, None)])
    };
    let first = estimator.estimate(at(0), &[busy()])[1].below.late_ms;
    let mut last = first;
    for ms in (250..60_000).step_by(250) {
        let next = estimator.estimate(at(ms), &[busy()])[1].below.late_ms;
        assert!(next >= last);
        last = next;
    }
    assert!((5_000..=5_500).contains(&first), "{first}");
    assert!((10_000..=10_500).contains(&last), "{last}");
}

/// Guards against a planner that publishes load, so that entries refuse jobs, while there is room for
/// all.
#[test]
fn room_for_all() {
    let mut harness = Harness::new(6);
    for i in 0..20 {
        harness.submit(&format!("job-{i}"), i % 3, vec![task(2)]);
        for _ in 0..3 {
            harness.pass();
            assert_eq!(harness.planner.load(1, 0).waits, []);
            harness.advance(300);
        }
        let name = format!("job-{i}");
        harness.end_runs(&name, dragonflyrun::port::EndKind::Done);
    }
}

/// Guards against load that stays unknown, and against load that a new planner sees differently.
#[test]
fn planner_change() {
    let mut harness = Harness::new(1);
    for i in 0..100 {
        harness.submit(&format!("job-{i}"), 1, vec![task(8)]);
    }
    harness.pass();
    harness.advance(1_000);
    harness.pass();
    let load = harness.planner.load(1, 0);
    let wait_ms = load.waits[0].longest_ms();
    assert!((150_000..=250_000).contains(&wait_ms), "{wait_ms}");

    let mut table = JobTable::default();
    for i in 0..100 {
        let mut job = job_of("w", &format!("job-{i}"), 1, 8);
        job.request.steps = vec![task(8)];
        table.fold(Timestamp::default(), JobRecord::Accepted(Box::new(job)));
    }
    for record in harness.written_records.drain(..) {
        table.fold(Timestamp::default(), record);
    }
    harness.planner = dragonflyrun::workload::Planner::take_over(
        workload_tables::bounds(),
        &table,
        at(harness.now_ms),
    );
    harness.report_all();
    harness.pass();
    let after_ms = harness.planner.load(2, 0).waits[0].longest_ms();
    assert!(after_ms.abs_diff(wait_ms) <= 5_000, "{after_ms}");
}

/// Guards against an estimate that takes a noticeable part of a pass in a large pool. It is made four
/// times a second, and the bound is for a build without optimization on a busy host.
#[test]
fn large_pool() {
    let running = (0..2_400).map(|i| running(i % 3, 1.0, u64::from(i) * 5));
    let waiting = (0..10_000).map(|i| waiting(i % 3, 1, (i % 2 == 0).then_some(u64::from(i))));
    let large = PoolWork {
        capacity: 2_400.0,
        ..pool(running.collect(), waiting.collect())
    };
    let started_at = std::time::Instant::now();
    let waits = estimate(large);
    let took = started_at.elapsed();
    println!("{} us", took.as_micros());
    assert_eq!(waits.len(), 3);
    assert!(took < Duration::from_millis(500), "{took:?}");
}
