//! Planners that crash, freeze, compete with each other, or lose the answer to their claim.

mod gang_world;

use dragonflyrun::{
    connection::{JobEnd, LogRecord, Placement, Record, RecordBody},
    process::Ledger,
};

use gang_world::{Fault, World, sleep_job};

const ENTRIES: usize = 3;
const AGENTS: usize = 4;

/// The time in milliseconds at which the first job is submitted.
const SUBMIT: u64 = 10_000;

fn world(seed: u64) -> World {
    let mut world = World::new(seed, ENTRIES, AGENTS);
    world.run(SUBMIT - 1_000);
    assert_eq!(world.planners().len(), 1, "seed {seed}");
    world
}

fn attempts(world: &World) -> u32 {
    world
        .run_records()
        .iter()
        .map(|r| r.attempt)
        .max()
        .unwrap_or(0)
}

/// Guards against a job that is lost, runs twice or hangs because the planner is killed at any
/// point of the job's start, run or end.
#[test]
fn planner_killed() {
    for step in 0..60 {
        let mut world = world(step);
        let planner = world.planners()[0];
        world.submit(SUBMIT, "job-0", sleep_job(6, 2, 1_500));
        world.inject(SUBMIT + 50 * step, 20_000, Fault::Kill(planner));
        world.run_to_end(90_000);
        world.check_records();
        assert_eq!(
            world.end(&"job-0".into()),
            Some(JobEnd::Finished),
            "step {step}"
        );
    }
}

/// Guards against orders and records of a superseded planner. It is frozen at any point, replaced,
/// and then continues as if nothing had happened, so that there are briefly two planners.
#[test]
fn planner_frozen() {
    for step in 0..60 {
        let mut world = world(step);
        let planner = world.planners()[0];
        world.submit(SUBMIT, "job-0", sleep_job(6, 2, 4_000));
        world.submit(SUBMIT + 500, "job-1", sleep_job(3, 4, 2_000));
        world.inject(SUBMIT + 50 * step, 7_000, Fault::Freeze(planner));
        world.run_to_end(120_000);
        world.run(world.now + 10_000);
        world.check_records();
        assert!(world.all_ended(), "step {step}");
        assert_eq!(world.planners().len(), 1, "step {step}");
    }
}

/// Guards against stopping a running gang because the log is unavailable and the planner's host is
/// lost too: its tasks have all that they need.
#[test]
fn gang_outlives_planner() {
    let mut world = world(1);
    world.noise = false;
    let planner = world.planners()[0];
    world.submit(SUBMIT, "job-0", sleep_job(8, 2, 40_000));
    world.run(SUBMIT + 5_000);
    assert_eq!(world.run_records().len(), AGENTS, "it runs on all workers");
    world.inject(world.now, 30_000, Fault::LogDown);
    world.inject(world.now, 30_000, Fault::Kill(planner));
    world.run_to_end(90_000);
    world.check_records();
    assert_eq!(world.end(&"job-0".into()), Some(JobEnd::Finished));
    assert_eq!(attempts(&world), 1);
}

/// Guards against jobs that stall because no entry considers itself the planner, or run twice
/// because two do. Claims of a term take effect late, twice or not at all.
#[test]
fn claim_uncertain() {
    for seed in 0..40 {
        let mut world = World::new(seed, ENTRIES, AGENTS);
        world.inject(1_001, 15_000, Fault::LogAnswersLost);
        world.submit(3_000, "job-0", sleep_job(4, 2, 1_000));
        world.run_to_end(90_000);
        world.run(world.now + 15_000);
        world.check_records();
        assert!(world.all_ended(), "seed {seed}");
        assert_eq!(world.planners().len(), 1, "seed {seed}");
    }
}

/// Guards against losing a running gang when all entries are replaced at once. Its new planner
/// knows it only from the log.
#[test]
fn all_entries_replaced() {
    let mut world = world(2);
    world.submit(SUBMIT, "job-0", sleep_job(4, 2, 8_000));
    world.run(SUBMIT + 3_000);
    for entry in 0..ENTRIES {
        world.inject(world.now, 600, Fault::Kill(entry));
    }
    world.run_to_end(90_000);
    world.check_records();
    assert_eq!(world.end(&"job-0".into()), Some(JobEnd::Finished));
}

/// Guards against a record of a frozen planner that reaches the log after the claim of its
/// successor, which has already decided otherwise about the job.
#[test]
fn older_record() {
    let term = |entry: &str, term| RecordBody::Term {
        entry: entry.into(),
        term,
    };
    let started = |term, worker: &str| RecordBody::JobStarted {
        term,
        job: "job-0".into(),
        attempt: 1,
        placements: vec![Placement {
            worker: worker.into(),
            tasks: 1,
        }],
    };
    let accepted = RecordBody::JobAccepted {
        job: "job-0".into(),
        spec: sleep_job(1, 1, 1),
    };
    let records = [
        ("entry-0", accepted, true),
        ("entry-0", term("entry-0", 1), true),
        ("entry-1", term("entry-1", 2), true),
        ("entry-0", started(1, "worker-0"), false),
        // An old planner's record has no effect with the new term either.
        ("entry-0", started(2, "worker-0"), false),
        ("entry-1", started(2, "worker-1"), true),
    ];
    let mut ledger = Ledger::default();
    for (offset, (author, body, in_effect)) in (0..).zip(records) {
        let record = Record {
            id: format!("record-{offset}").into(),
            author: author.into(),
            body,
        };
        let raw = LogRecord {
            offset,
            data: String::new(),
        };
        let folded = ledger.fold_with(&raw, |_| Ok(record));
        let folded = folded.expect("it is folded, so that its writer sees it");
        assert_eq!(folded.in_effect, in_effect, "record {offset}");
    }
    let live = ledger.jobs.live(&"job-0".into()).expect("the job is live");
    assert_eq!(live.placements[0].worker, "worker-1".into());
}
