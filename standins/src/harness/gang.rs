//! Submits jobs and follows their gangs across several workers.

use std::{
    thread,
    time::{Duration, Instant},
};

use dragonflyrun::{
    job::JobSpec,
    process::{JobAnswer, JobState, JobStatus},
    utils::Name,
    version::{Adjacency, Urgency},
};

use crate::harness::{
    Deployment,
    WAIT_TIMEOUT,
    WORKSPACE,
    longest_partial,
    overlapping,
    unix_ms,
    wait_for,
    wait_until, //
};

/// Delay before a job that was not accepted is submitted again.
const RESUBMIT_DELAY: Duration = Duration::from_millis(100);

/// Returns a job for test deployments.
pub fn job(tasks: u32, accelerators: u32, program: &str) -> JobSpec {
    JobSpec {
        workspace: Name::from(WORKSPACE),
        urgency: Urgency::Normal,
        tasks,
        accelerators,
        adjacency: Adjacency::Any,
        run_time_ms: 1_000,
        program: Name::from(program),
    }
}

impl Deployment {
    /// Submits a job to the entries in turn until one accepts it.
    ///
    /// # Panics
    ///
    /// If none accepts it within [`WAIT_TIMEOUT`].
    #[track_caller]
    pub fn submit(&self, name: &str, spec: &JobSpec) {
        let until = Instant::now() + WAIT_TIMEOUT;
        for caller in self.callers().iter().cycle() {
            let answer = caller.submit(name, spec);
            if matches!(answer, Ok(JobAnswer::Accepted { .. })) {
                return;
            }
            assert!(Instant::now() < until, "{name}: {answer:?}");
            thread::sleep(RESUBMIT_DELAY);
        }
    }

    /// Queries the entries in turn for the status of a job until one answers.
    ///
    /// # Panics
    ///
    /// If none answers within [`WAIT_TIMEOUT`].
    #[track_caller]
    pub fn job(&self, name: &str) -> JobStatus {
        let mut callers = self.callers().into_iter().cycle();
        wait_for("the status of the job", || {
            callers.next().and_then(|c| c.job(name).ok())
        })
    }

    /// Waits until a job is in the given end state.
    ///
    /// # Panics
    ///
    /// If it is not within [`WAIT_TIMEOUT`].
    #[track_caller]
    pub fn wait_for_end(&self, name: &str, end: JobState) {
        wait_until(&format!("{name} {end:?}"), || self.job(name).state == end);
    }

    /// Waits until all members of an attempt later than `attempt` run, and returns the number of
    /// that attempt.
    ///
    /// # Panics
    ///
    /// If they do not within [`WAIT_TIMEOUT`].
    #[track_caller]
    pub fn wait_for_gang(&self, name: &str, members: usize, attempt: u32) -> u32 {
        wait_for(&format!("all members of {name}"), || {
            let newest = self.intervals_of(name).iter().map(|i| i.attempt).max()?;
            let all = self.running_members(name, newest) == members;
            (newest > attempt && all).then_some(newest)
        })
    }

    /// Checks the invariants of a gang against the workers' records, and returns the longest time
    /// in milliseconds for which an attempt ran partially.
    ///
    /// # Panics
    ///
    /// If two attempts of the job ran at the same time, or an attempt ran partially for longer than
    /// `bound_ms`.
    #[track_caller]
    pub fn check_gang(&self, name: &str, members: usize, bound_ms: u64) -> u64 {
        let intervals = self.intervals_of(name);
        let now = unix_ms();
        assert!(overlapping(&intervals, now).is_empty(), "{intervals:#?}");
        let partial = longest_partial(&intervals, members, now);
        assert!(partial.ms <= bound_ms, "{partial:?}: {intervals:#?}");
        eprintln!("{name}: longest partial time {} ms", partial.ms);
        partial.ms
    }
}
