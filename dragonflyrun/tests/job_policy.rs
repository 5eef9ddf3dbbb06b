//! What the scheduler does in one situation at a time.

use std::sync::Arc;

use dragonflyrun::{
    Document, JobSpec, Name, Timestamp,
    connection::Placement,
    job::{Decision, ImpossibleReason, JobId, LiveJob, Scheduler, WorkerInfo},
    version::{Adjacency, FailureDomain, Section, Urgency, Version, Workspace},
};

const ACCELERATORS: u32 = 8;

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_millis(seconds * 1_000)
}

fn version(drained: &[&str]) -> Arc<Version> {
    let domain = |name: &str| FailureDomain {
        name: name.into(),
        region: None,
        in_service: !drained.contains(&name),
    };
    let section = Section {
        owners: vec!["operations".into()],
        failure_domains: vec![domain("murau"), domain("leoben")],
        workspaces: vec![Workspace {
            name: "small".into(),
            guarantees: Vec::new(),
            quota_accelerators: Some(4),
        }],
        ..Section::default()
    };
    let mut document = Document::default();
    document.sections.insert("all".into(), section.into());
    Arc::new(Version::new(1, document))
}

fn worker(name: &str, domain: &str) -> WorkerInfo {
    WorkerInfo {
        name: name.into(),
        rack: format!("{domain}-1").into(),
        failure_domain: domain.into(),
        accelerators: ACCELERATORS,
    }
}

/// Two workers, one in each failure domain.
fn scheduler() -> Scheduler {
    let mut scheduler = Scheduler::new();
    scheduler.configure(&version(&[]));
    scheduler.worker_up(at(0), worker("m", "murau"));
    scheduler.worker_up(at(0), worker("l", "leoben"));
    assert!(scheduler.decide(at(10)).is_empty());
    scheduler
}

fn job(accepted: u64, urgency: Urgency, tasks: u32, accelerators: u32) -> LiveJob {
    let spec = JobSpec {
        workspace: Name::from("large"),
        urgency,
        tasks,
        accelerators,
        adjacency: Adjacency::Any,
        run_time_ms: 60_000,
        program: Name::from(""),
    };
    LiveJob::new(format!("job-{accepted}").into(), spec, accepted)
}

fn started(decisions: &[Decision]) -> Vec<JobId> {
    let starts = decisions.iter().filter_map(|d| match d {
        Decision::Start { job, .. } => Some(job.clone()),
        _ => None,
    });
    starts.collect()
}

/// A worker's driver hangs, and whatever starts there fails at once. The worker is always free, so
/// every job is sent there and fails; users see jobs that never get on.
#[test]
fn failing_worker() {
    let mut scheduler = scheduler();
    scheduler.job_waits(at(10), &job(1, Urgency::Normal, 1, 8));
    let first = scheduler.decide(at(10));
    let Decision::Start { placements, .. } = &first[0] else {
        panic!("{first:?}");
    };
    let failing = placements[0].worker.clone();
    for attempt in 0..3 {
        scheduler.start_failed(at(11 + attempt), &failing);
    }
    scheduler.job_waits(at(14), &job(1, Urgency::Normal, 1, 8));
    scheduler.job_waits(at(14), &job(2, Urgency::Normal, 1, 8));
    let decisions = scheduler.decide(at(14));
    assert_eq!(
        started(&decisions).len(),
        1,
        "only the other worker is used"
    );
    // After the quarantine it is given a start as a probe; one failure sets it aside again.
    assert_eq!(started(&scheduler.decide(at(74))).len(), 1);
    scheduler.start_failed(at(75), &failing);
    scheduler.job_waits(at(75), &job(2, Urgency::Normal, 1, 8));
    assert!(scheduler.decide(at(75)).is_empty());
    assert!(
        scheduler.decide(at(140)).is_empty(),
        "the second wait is longer"
    );
    assert_eq!(started(&scheduler.decide(at(196))).len(), 1);
}

/// Patient, normal and urgent jobs wait for the same accelerators, and later ones are urgent.
#[test]
fn urgent_first() {
    let mut scheduler = scheduler();
    scheduler.job_waits(at(10), &job(1, Urgency::Patient, 1, 8));
    scheduler.job_waits(at(10), &job(2, Urgency::Normal, 1, 8));
    scheduler.job_waits(at(10), &job(3, Urgency::Normal, 1, 8));
    scheduler.job_waits(at(10), &job(4, Urgency::Urgent, 1, 8));
    let order = started(&scheduler.decide(at(10)));
    let expected: [JobId; 2] = ["job-4".into(), "job-2".into()];
    assert_eq!(order, expected);
}

/// A workspace asks for more at once than its quota.
#[test]
fn quota_holds() {
    let mut scheduler = scheduler();
    let small = |accepted| {
        let mut live = job(accepted, Urgency::Normal, 1, 3);
        live.spec.workspace = "small".into();
        live
    };
    scheduler.job_waits(at(10), &small(1));
    scheduler.job_waits(at(10), &small(2));
    assert_eq!(started(&scheduler.decide(at(10))).len(), 1);
    scheduler.job_gone(at(20), &"job-1".into());
    assert_eq!(started(&scheduler.decide(at(20))).len(), 1);
    let mut over = small(3);
    over.spec.tasks = 2;
    assert_eq!(
        scheduler.check_possible(&over.spec),
        Err(ImpossibleReason::OverQuota)
    );
}

/// Operators take a failure domain out while a gang runs across both. The gang is evicted whole,
/// and nothing starts in the failure domain until it returns.
#[test]
fn drained_domain() {
    let mut scheduler = scheduler();
    let gang = job(1, Urgency::Normal, 2, 8);
    scheduler.job_waits(at(10), &gang);
    assert_eq!(started(&scheduler.decide(at(10))).len(), 1);
    scheduler.configure(&version(&["murau"]));
    let evicted = Decision::Evict {
        job: gang.job.clone(),
        for_job: None,
    };
    assert_eq!(scheduler.decide(at(20)), [evicted]);
    assert!(scheduler.decide(at(21)).is_empty(), "it is evicted once");
    scheduler.job_waits(at(23), &gang);
    scheduler.job_waits(at(23), &job(2, Urgency::Normal, 2, 4));
    let decisions = scheduler.decide(at(23));
    let [Decision::Start { placements, .. }] = &decisions[..] else {
        panic!("{decisions:?}");
    };
    assert!(placements.iter().all(|p| *p.worker == *"l"));
    scheduler.job_gone(at(30), &"job-2".into());
    scheduler.configure(&version(&[]));
    assert_eq!(
        started(&scheduler.decide(at(30))).len(),
        1,
        "the gang goes on"
    );
}

/// A job asks for a shape that no worker could ever hold. An entry that has just started knows too
/// few workers to say so; then it refuses at once, and ends such jobs that were let in.
#[test]
fn impossible_shapes() {
    let mut scheduler = Scheduler::new();
    scheduler.configure(&version(&[]));
    let gang = job(1, Urgency::Normal, 2, 8);
    scheduler.worker_up(at(0), worker("m", "murau"));
    assert_eq!(scheduler.check_possible(&gang.spec), Ok(()));
    scheduler.job_waits(at(0), &gang);
    assert!(scheduler.decide(at(1)).is_empty());
    let ended = Decision::Impossible {
        job: gang.job.clone(),
        why: ImpossibleReason::GangTooLarge,
    };
    assert_eq!(scheduler.decide(at(10)), [ended]);
    assert_eq!(
        scheduler.check_possible(&job(2, Urgency::Normal, 1, 9).spec),
        Err(ImpossibleReason::TaskTooLarge)
    );
    // A worker that is down, or out of service, counts: it may return.
    scheduler.worker_up(at(11), worker("l", "leoben"));
    scheduler.worker_down(at(12), &"l".into());
    scheduler.decide(at(20));
    assert_eq!(scheduler.check_possible(&gang.spec), Ok(()));
}

/// A planner is lost and another takes over. It reads from the log where gangs run before it has
/// heard their workers; if it took the accelerators for free it would give them away twice.
#[test]
fn planner_takes_over() {
    let mut scheduler = Scheduler::new();
    scheduler.configure(&version(&[]));
    let mut running = job(1, Urgency::Normal, 1, 6);
    running.attempt = 1;
    running.placements = vec![Placement {
        worker: "m".into(),
        tasks: 1,
    }];
    scheduler.job_runs(at(0), &running);
    scheduler.worker_up(at(1), worker("m", "murau"));
    scheduler.job_waits(at(1), &job(2, Urgency::Normal, 1, 4));
    assert!(scheduler.decide(at(1)).is_empty());
    scheduler.job_gone(at(2), &running.job);
    assert_eq!(started(&scheduler.decide(at(2))).len(), 1);
}

/// Small jobs fill each hole as it appears, and a gang that needs whole workers would wait for as
/// long as they come. Once it has waited it gets room: younger small jobs make way.
#[test]
fn large_gang_ages() {
    let mut scheduler = scheduler();
    scheduler.job_waits(at(10), &job(1, Urgency::Normal, 1, 3));
    scheduler.decide(at(10));
    let gang = job(2, Urgency::Normal, 2, 8);
    scheduler.job_waits(at(11), &gang);
    let small = job(3, Urgency::Normal, 1, 3);
    scheduler.job_waits(at(12), &small);
    assert_eq!(started(&scheduler.decide(at(12))).len(), 1);
    scheduler.job_gone(at(40), &"job-1".into());
    let decisions = scheduler.decide(at(60));
    let evicted = Decision::Evict {
        job: small.job.clone(),
        for_job: Some(gang.job.clone()),
    };
    assert_eq!(decisions, [evicted]);
    scheduler.job_waits(at(62), &small);
    assert_eq!(started(&scheduler.decide(at(62))), [gang.job]);
}
