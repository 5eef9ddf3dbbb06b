//! The fold of job records that are late, duplicated or about another attempt.

use dragonflyrun::{
    connection::{JobEnd, Placement, RecordBody, RepeatedState},
    job::{GangId, JobSpec, JobTable, LiveJob},
    utils::Name,
    version::{Adjacency, Urgency},
};

fn spec() -> JobSpec {
    JobSpec {
        workspace: "murtal".into(),
        urgency: Urgency::Normal,
        tasks: 2,
        accelerators: 1,
        adjacency: Adjacency::Any,
        run_time_ms: 1_000,
        program: "sleep:1000".into(),
    }
}

fn job() -> Name {
    "job-0".into()
}

fn accepted() -> RecordBody {
    RecordBody::JobAccepted {
        job: job(),
        spec: spec(),
    }
}

fn started(attempt: u32, worker: &str) -> RecordBody {
    RecordBody::JobStarted {
        term: 1,
        job: job(),
        attempt,
        placements: vec![Placement {
            worker: worker.into(),
            tasks: 2,
        }],
    }
}

fn stopped(attempt: u32, failed: bool) -> RecordBody {
    RecordBody::JobStopped {
        term: 1,
        job: job(),
        attempt,
        checkpointed: true,
        failed,
    }
}

fn ended() -> RecordBody {
    RecordBody::JobEnded {
        term: 1,
        job: job(),
        end: JobEnd::Finished,
    }
}

fn table(records: &[RecordBody]) -> JobTable {
    let mut table = JobTable::default();
    for (offset, body) in (1..).zip(records) {
        table.fold(offset, body);
    }
    table
}

fn live(table: &JobTable) -> &LiveJob {
    table.live(&job()).expect("the job is live")
}

/// The start record of an attempt that its planner has given up reaches the log after that of a
/// later attempt. Guards against folding it, after which the agents of the later attempt would
/// refuse to start or continue.
#[test]
fn late_start() {
    let table = table(&[accepted(), started(2, "worker-1"), started(1, "worker-0")]);
    assert_eq!(live(&table).attempt, 2);
    let gang = |attempt| GangId {
        job: job(),
        term: 1,
        attempt,
    };
    assert!(live(&table).may_start(&gang(2), &"worker-1".into()));
    assert!(!live(&table).may_start(&gang(1), &"worker-0".into()));
    assert!(!live(&table).may_start(&gang(2), &"worker-0".into()));
}

/// A second start is recorded while the first attempt is placed. Guards against two attempts that
/// run at the same time.
#[test]
fn placed_once() {
    let table = table(&[accepted(), started(1, "worker-0"), started(2, "worker-1")]);
    assert_eq!(live(&table).attempt, 1);
}

/// A stop is read twice. Guards against ending the next attempt by it, or counting two failures.
#[test]
fn stop_counts_once() {
    let table = table(&[
        accepted(),
        started(1, "worker-0"),
        stopped(1, true),
        stopped(1, true),
        started(2, "worker-1"),
        stopped(1, true),
    ]);
    assert!(live(&table).is_placed());
    assert_eq!(live(&table).failures, 1);
    assert!(live(&table).checkpointed);
}

/// An attempt is fenced, so that its leases are no longer renewed. Guards against a start under it.
#[test]
fn fenced_attempt() {
    let fenced = RecordBody::JobFenced {
        term: 1,
        job: job(),
        attempt: 1,
    };
    let mut table = table(&[accepted(), started(1, "worker-0"), fenced]);
    let gang = live(&table).gang();
    assert!(!live(&table).may_start(&gang, &"worker-0".into()));
    table.fold(4, &stopped(1, false));
    table.fold(5, &started(2, "worker-0"));
    let gang = live(&table).gang();
    assert!(live(&table).may_start(&gang, &"worker-0".into()));
}

/// A submitter whose answer was lost submits again after the job has ended. Guards against a second
/// run. The name can be reused after a number of records, so that all processes agree on it.
#[test]
fn ended_job() {
    let mut table = table(&[accepted(), ended(), accepted()]);
    assert!(table.live(&job()).is_none());
    assert_eq!(table.ended(&job()), Some(JobEnd::Finished));
    table.fold(5_000, &accepted());
    assert!(table.live(&job()).is_some());
}

/// A repeated job state was read before a cancellation and written after it. Guards against folding
/// it over the newer state.
#[test]
fn stale_repeat() {
    let mut table = table(&[accepted()]);
    let before = live(&table).clone();
    let repeated = |job: &LiveJob| {
        RecordBody::RepeatedState(RepeatedState::Job {
            term: 1,
            job: Box::new(job.clone()),
        })
    };
    table.fold(2, &RecordBody::JobCancelled { job: job() });
    table.fold(3, &repeated(&before));
    assert!(live(&table).cancelled);
    // A process that starts reading here takes the old state, and then the newer one that follows.
    let mut late_table = JobTable::default();
    late_table.fold(3, &repeated(&before));
    assert!(!live(&late_table).cancelled);
    late_table.fold(4, &repeated(live(&table)));
    assert_eq!(live(&late_table), live(&table));
    table.fold(5, &ended());
    table.fold(6, &repeated(&before));
    assert!(table.live(&job()).is_none());
}
