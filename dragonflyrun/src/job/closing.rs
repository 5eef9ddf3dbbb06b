//! How the planner ends attempts and jobs: the records that say so, and when a job is tried again.

use std::time::Duration;

use crate::{
    connection::{JobEnd, RecordBody},
    job::{
        Close,
        JobId,
        Planner,
        PlannerAction,
        Purpose,
        UsageReport,
        planner::append,
        starting::MAX_BLAMED_WORKERS_PER_JOB, //
    },
    utils::Timestamp,
};

/// Attempts of one job that may fail beyond those that it takes to set those workers aside, so that
/// they can't fail a good job.
const SPARE_FAILURES: u32 = 2;

/// Pause before a job is tried again, for each of its failures, and the longest such pause.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
const LONGEST_RETRY_PAUSE: Duration = Duration::from_millis(4_000);

/// Pause before a record that did not reach the log is appended again.
const APPEND_PAUSE: Duration = Duration::from_millis(1_000);

/// A record that ends an attempt or a job, until it is on the log.
#[derive(Debug)]
pub(super) struct Closing {
    body: RecordBody,
    /// None while the record is under way.
    retry_at: Option<Timestamp>,
}

impl Planner {
    pub(super) fn close(&mut self, now: Timestamp, job: &JobId, close: Close) {
        let limit = failure_limit(self.version.limits.worker_failures);
        let Some(planned) = self.jobs.get(job) else {
            return;
        };
        let failures = planned.live.failures;
        let attempt = planned.live.attempt;
        match close {
            Close::Finished => {
                self.learn_usage(now, job);
                self.end(now, job, JobEnd::Finished);
            }
            Close::Stopped { .. } if planned.live.cancelled => {
                self.end(now, job, JobEnd::Cancelled);
            }
            Close::Stopped { failed: true, .. } if failures + 1 >= limit => {
                self.end(now, job, JobEnd::Failed);
            }
            Close::Stopped {
                checkpointed,
                failed,
                recorded: true,
            } => {
                self.count_run(now, job, checkpointed);
                let body = RecordBody::JobStopped {
                    term: self.election.held().unwrap_or_default(),
                    job: job.clone(),
                    attempt,
                    checkpointed,
                    failed,
                };
                self.close_with(now, job, body);
            }
            Close::Stopped { .. } => {
                self.unplace(job);
                self.rest(now, job);
            }
        }
    }

    /// Counts the time that an attempt ran, unless its work is lost.
    pub(super) fn count_run(&mut self, now: Timestamp, job: &JobId, checkpointed: bool) {
        if let Some(planned) = self.jobs.get_mut(job)
            && let Some(gang) = &planned.gang
            && checkpointed
        {
            planned.ran += gang.ran(now);
        }
    }

    pub(super) fn learn_usage(&mut self, now: Timestamp, job: &JobId) {
        let Some(planned) = self.jobs.get(job) else {
            return;
        };
        let ran = planned.ran + planned.gang.as_ref().map_or(Duration::ZERO, |g| g.ran(now));
        let report = UsageReport {
            job: job.clone(),
            ran_ms: u64::try_from(ran.as_millis()).unwrap_or(u64::MAX),
            finished: true,
        };
        self.scheduler.usage(now, &report);
    }

    pub(super) fn end(&mut self, now: Timestamp, job: &JobId, end: JobEnd) {
        let body = RecordBody::JobEnded {
            term: self.election.held().unwrap_or_default(),
            job: job.clone(),
            end,
        };
        self.close_with(now, job, body);
    }

    pub(super) fn close_with(&mut self, now: Timestamp, job: &JobId, body: RecordBody) {
        let closing = Closing {
            body,
            retry_at: Some(now),
        };
        self.closing.insert(job.clone(), closing);
    }

    /// Takes note that the record that ends an attempt or a job is not known to be on the log.
    pub(super) fn close_failed(&mut self, now: Timestamp, job: &JobId) {
        if let Some(closing) = self.closing.get_mut(job) {
            closing.retry_at = Some(now + APPEND_PAUSE);
        }
    }

    pub(super) fn append_closing(&mut self, now: Timestamp, actions: &mut Vec<PlannerAction>) {
        for (job, closing) in &mut self.closing {
            if closing.retry_at.is_some_and(|at| now >= at) {
                closing.retry_at = None;
                actions.push(append(closing.body.clone(), Purpose::Close(job.clone())));
            }
        }
    }

    /// Lets a job wait again after a pause, so that one that can't be started does not keep the
    /// agents and the log busy.
    pub(super) fn rest(&mut self, now: Timestamp, job: &JobId) {
        let failures = self.jobs.get(job).map_or(0, |j| j.live.failures);
        let pause = (RETRY_PAUSE * (failures + 1)).min(LONGEST_RETRY_PAUSE);
        self.delayed_jobs.insert((now + pause, job.clone()));
    }

    pub(super) fn wake_resting(&mut self, now: Timestamp) {
        while let Some((at, _)) = self.delayed_jobs.first()
            && *at <= now
        {
            let Some((_, job)) = self.delayed_jobs.pop_first() else {
                return;
            };
            if let Some(planned) = self.jobs.get(&job)
                && planned.gang.is_none()
                && !self.closing.contains_key(&job)
            {
                if planned.impossible_since.is_some() {
                    // It is no longer in the scheduler's queue.
                    self.scheduler.job_gone(now, &job);
                }
                self.scheduler.job_waits(now, &planned.live);
            }
        }
    }
}

/// Returns how many attempts of a job may fail, where a worker is set aside after that many.
fn failure_limit(worker_failures: u32) -> u32 {
    let blamed = u32::try_from(MAX_BLAMED_WORKERS_PER_JOB).unwrap_or(u32::MAX);
    worker_failures
        .saturating_mul(blamed)
        .saturating_add(SPARE_FAILURES)
}
