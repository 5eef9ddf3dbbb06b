//! How long the state of an ended job is kept: callers may ask for it for `status_s` after they can have
//! learned of the end.

mod workload_tables;

use dragonflyrun::{
    Timestamp,
    port::EndKind,
    workload::{Decisions, JobRecord, Outcome, Step, View},
};
use workload_tables::{EPOCH_MS, Harness, complete_reads, task};

const KEEP_MS: u64 = 120_000;

/// A planner with one job that has ended, whose time of day may be wrong.
struct Ended {
    harness: Harness,
    /// Milliseconds by which the time of day is ahead.
    ahead_ms: i64,
}

impl Ended {
    /// Returns a planner that decides that the job has ended while its time of day is ahead by so much. The
    /// record of the end is not read before [`Self::read_end`].
    fn new(ahead_ms: i64) -> Self {
        let mut harness = Harness::new(1);
        harness.submit("job", 1, vec![task(1)]);
        harness.pass();
        harness.report_all();
        harness.end_runs("job", EndKind::Done);
        let mut ended = Self { harness, ahead_ms };
        let decisions = ended.decide();
        let records = decisions.plans.iter().filter_map(JobRecord::decode);
        ended.harness.written_records.extend(records);
        assert_eq!(ended.harness.outcome("job"), Some(Outcome::Completed));
        ended
    }

    fn now(&self) -> Timestamp {
        Timestamp::from_millis(self.harness.now_ms)
    }

    fn decide(&mut self) -> Decisions {
        let now = self.now();
        self.harness.planner.decide(&View {
            now,
            unix_ms: (EPOCH_MS + self.harness.now_ms).saturating_add_signed(self.ahead_ms),
            configuration: &self.harness.configuration,
            evacuated: &self.harness.evacuated,
            is_fresh: true,
            report_reads: &complete_reads(now),
            store_delay: std::time::Duration::ZERO,
        })
    }

    /// Lets the planner read the stored records, and decide.
    fn read_end(&mut self) {
        for record in &self.harness.written_records {
            self.harness.planner.apply_job_record(record);
        }
        self.decide();
    }

    /// Returns whether the state of the job is removed `after_ms` later.
    fn is_removed(&mut self, after_ms: u64) -> bool {
        self.harness.advance(after_ms);
        let plans = self.decide().plans;
        let removed = plans.iter().filter(|record| record.value.is_none());
        removed.count() > 0
    }
}

/// Guards against a job that is unknown too early, because the time of day was behind when it ended.
#[test]
fn ended_while_behind() {
    let mut ended = Ended::new(-2_000);
    ended.read_end();
    ended.ahead_ms = 0;
    assert!(!ended.is_removed(KEEP_MS - 1_000));
    assert!(ended.is_removed(2_000));
}

/// Guards against a job that is unknown too early, because the time of day is ahead when its age is
/// compared.
#[test]
fn compared_while_ahead() {
    let mut ended = Ended::new(0);
    ended.read_end();
    ended.ahead_ms = 2_000;
    assert!(!ended.is_removed(KEEP_MS - 1_000));
    ended.ahead_ms = 3_600_000;
    assert!(!ended.is_removed(500));
    assert!(ended.is_removed(1_000));
}

/// Guards against state that is kept for ever because the time of day was ahead when the job ended.
#[test]
fn ended_while_ahead() {
    let mut ended = Ended::new(3_600_000);
    ended.read_end();
    ended.ahead_ms = 0;
    assert!(ended.is_removed(KEEP_MS + 1_000));
}

/// Guards against a job that is unknown too early, because the store took its end long after the planner had
/// decided it.
#[test]
fn stored_late() {
    let mut ended = Ended::new(0);
    assert!(!ended.is_removed(KEEP_MS + 1_000), "its end isn't stored");
    ended.read_end();
    assert!(!ended.is_removed(KEEP_MS - 1_000));
    assert!(ended.is_removed(2_000));
}

/// Guards against a job that is unknown too early after a change of the planner, whose process may have
/// started long after the end and has another time of day.
#[test]
fn new_process() {
    let mut ended = Ended::new(0);
    ended.read_end();
    ended.harness.advance(60_000);
    ended.harness.change_planner();
    ended.ahead_ms = 2_000;
    assert!(!ended.is_removed(KEEP_MS - 1_000));
    assert!(ended.is_removed(2_000));
}

/// Guards against state that is kept anew by each new planner: an entry counts from when it read the end
/// itself.
#[test]
fn known_to_successor() {
    let mut ended = Ended::new(0);
    ended.read_end();
    for _ in 0..3 {
        ended.harness.advance(30_000);
        ended.harness.change_planner_to(1_000);
    }
    assert!(ended.is_removed(KEEP_MS - 90_000 + 2_000));
}

/// Guards against members of a completed gang that are stopped before they can report their own end, because
/// the time of day is set forward.
#[test]
fn gang_while_ahead() {
    let mut ended = Ended {
        harness: Harness::new(2),
        ahead_ms: 0,
    };
    let gang = Step {
        tasks: 2,
        gang: true,
        ..task(8)
    };
    ended.harness.submit("gang", 1, vec![gang]);
    ended.harness.pass();
    ended.harness.report_all();
    let (_, first) = ended.harness.running("gang")[0].clone();
    ended.harness.end_run(&first, EndKind::Done);
    ended.harness.report_all();
    ended.decide();
    ended.ahead_ms = 3_600_000;
    let orders = ended.decide().orders;
    assert!(
        orders.iter().all(|o| o.order.stops.is_empty()),
        "{orders:?}"
    );
}
