//! Planners that die, freeze, race each other, or lose the answer to their claim.

mod gang_world;

use dragonflyrun::{
    connection::{JobEnd, LogRecord, Placement, Record, RecordBody},
    process::Ledger,
};

use gang_world::{Fault, World, sleep_job};

const ENTRIES: usize = 3;
const AGENTS: usize = 4;

/// When the test's job is submitted.
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

/// The planner dies at any step of a job's start, run and end. A user would notice a job that is
/// lost, that runs twice, or that hangs.
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

/// The planner is frozen at any step, another takes its place, and then it goes on as if nothing
/// had happened: for a moment there are two. Its orders and records must change nothing.
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

/// The log is down and the planner's host is lost besides. The tasks that run have all they need,
/// and a user would be right to complain if they were stopped.
#[test]
fn healthy_gang() {
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

/// Claims of a term take effect late, twice or not at all. Jobs would stand still if no entry held
/// the term in its own eyes, and be doubled if two did.
#[test]
fn claim_in_doubt() {
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

/// Every entry is replaced at once while a gang runs. Its new planner knows it from the log only.
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

/// A planner was frozen while its record was on the way, and it reaches the log after the claim of
/// the next planner, which has already decided otherwise about the job.
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
        // Nor does it help to write the new term on an old planner's record.
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
