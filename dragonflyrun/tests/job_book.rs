//! The fold of the records on jobs: records that are late, doubled or about something else.

use dragonflyrun::{
    connection::{Carried, JobEnd, Placement, RecordBody},
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

fn book(records: &[RecordBody]) -> JobTable {
    let mut book = JobTable::default();
    for (offset, body) in (1..).zip(records) {
        book.fold(offset, body);
    }
    book
}

fn live(book: &JobTable) -> &LiveJob {
    book.live(&job()).expect("the job is live")
}

/// The start of an attempt that its planner had given up reaches the log after that of a later
/// one. Were it folded, the agents of the later attempt would refuse to start or to go on.
#[test]
fn late_start() {
    let book = book(&[accepted(), started(2, "worker-1"), started(1, "worker-0")]);
    assert_eq!(live(&book).attempt, 2);
    let gang = |attempt| GangId {
        job: job(),
        term: 1,
        attempt,
    };
    assert!(live(&book).may_start(&gang(2), &"worker-1".into()));
    assert!(!live(&book).may_start(&gang(1), &"worker-0".into()));
    assert!(!live(&book).may_start(&gang(2), &"worker-0".into()));
}

/// A second start would place the job twice while the first attempt still runs.
#[test]
fn placed_once() {
    let book = book(&[accepted(), started(1, "worker-0"), started(2, "worker-1")]);
    assert_eq!(live(&book).attempt, 1);
}

/// A stop that is read a second time must not end the next attempt, nor count as a second failure.
#[test]
fn stop_counts_once() {
    let book = book(&[
        accepted(),
        started(1, "worker-0"),
        stopped(1, true),
        stopped(1, true),
        started(2, "worker-1"),
        stopped(1, true),
    ]);
    assert!(live(&book).is_placed());
    assert_eq!(live(&book).failures, 1);
    assert!(live(&book).checkpointed);
}

/// Nothing may start under an attempt whose leases are no longer renewed.
#[test]
fn fenced_attempt() {
    let fenced = RecordBody::JobFenced {
        term: 1,
        job: job(),
        attempt: 1,
    };
    let mut book = book(&[accepted(), started(1, "worker-0"), fenced]);
    let gang = live(&book).gang();
    assert!(!live(&book).may_start(&gang, &"worker-0".into()));
    book.fold(4, &stopped(1, false));
    book.fold(5, &started(2, "worker-0"));
    let gang = live(&book).gang();
    assert!(live(&book).may_start(&gang, &"worker-0".into()));
}

/// A submitter whose answer was lost asks again after its job has ended: it must not run twice.
/// The name becomes free after so many records that every process agrees on it.
#[test]
fn ended_job() {
    let mut book = book(&[accepted(), ended(), accepted()]);
    assert!(book.live(&job()).is_none());
    assert_eq!(book.ended(&job()), Some(JobEnd::Finished));
    book.fold(5_000, &accepted());
    assert!(book.live(&job()).is_some());
}

/// A repeated state was read before a cancellation and written after it.
#[test]
fn older_state() {
    let mut book = book(&[accepted()]);
    let before = live(&book).clone();
    let carried = |job: &LiveJob| {
        RecordBody::Carried(Carried::Job {
            term: 1,
            job: Box::new(job.clone()),
        })
    };
    book.fold(2, &RecordBody::JobCancelled { job: job() });
    book.fold(3, &carried(&before));
    assert!(live(&book).cancelled);
    // A process that begins here takes the older one, and then the newer one that follows.
    let mut late = JobTable::default();
    late.fold(3, &carried(&before));
    assert!(!live(&late).cancelled);
    late.fold(4, &carried(live(&book)));
    assert_eq!(live(&late), live(&book));
    book.fold(5, &ended());
    book.fold(6, &carried(&before));
    assert!(book.live(&job()).is_none());
}
