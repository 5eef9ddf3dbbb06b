//! How the planner ends attempts and jobs: the records that say so, and when a job is tried again.

use std::time::Duration;

use crate::{
    connection::{JobEnd, RecordBody},
    job::{
        GangEnd,
        JobId,
        Planner,
        PlannerAction,
        Purpose,
        UsageReport,
        planner::append,
        starting::BLAMED_WORKERS, //
    },
    utils::Timestamp,
};

/// Attempts of one job that may fail beyond those that it takes to set those workers aside, so that
/// they can't fail a good job.
const EXTRA_FAILURES: u32 = 2;

/// Pause before a job is tried again, for each of its failures, and the longest such pause.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(4_000);

/// Pause before a record that did not reach the log is appended again.
const APPEND_RETRY_PAUSE: Duration = Duration::from_millis(1_000);

/// A record that ends an attempt or a job, until it is on the log.
#[derive(Debug)]
pub(super) struct ClosingRecord {
    body: RecordBody,
    /// None while the record is under way.
    retry_at: Option<Timestamp>,
}

impl Planner {
    pub(super) fn close_gang(&mut self, now: Timestamp, job: &JobId, end: GangEnd) {
        let limit = failure_limit(self.version.limits.worker_failures);
        let Some(planned) = self.jobs.get(job) else {
            return;
        };
        let failures = planned.live.failures;
        let attempt = planned.live.attempt;
        match end {
            GangEnd::Finished => {
                self.report_usage(now, job);
                self.end_job(now, job, JobEnd::Finished);
            }
            GangEnd::Stopped { .. } if planned.live.cancelled => {
                self.end_job(now, job, JobEnd::Cancelled);
            }
            GangEnd::Stopped { failed: true, .. } if failures + 1 >= limit => {
                self.end_job(now, job, JobEnd::Failed);
            }
            GangEnd::Stopped {
                checkpointed,
                failed,
                recorded: true,
            } => {
                self.add_run_time(now, job, checkpointed);
                let body = RecordBody::JobStopped {
                    term: self.election.held_term().unwrap_or_default(),
                    job: job.clone(),
                    attempt,
                    checkpointed,
                    failed,
                };
                self.queue_closing_record(now, job, body);
            }
            GangEnd::Stopped { .. } => {
                self.unplace(job);
                self.requeue_after_pause(now, job);
            }
        }
    }

    /// Counts the time that an attempt ran, unless its work is lost.
    pub(super) fn add_run_time(&mut self, now: Timestamp, job: &JobId, checkpointed: bool) {
        if let Some(planned) = self.jobs.get_mut(job)
            && let Some(gang) = &planned.gang
            && checkpointed
        {
            planned.ran += gang.run_time(now);
        }
    }

    pub(super) fn report_usage(&mut self, now: Timestamp, job: &JobId) {
        let Some(planned) = self.jobs.get(job) else {
            return;
        };
        let run_time = planned.ran
            + planned
                .gang
                .as_ref()
                .map_or(Duration::ZERO, |g| g.run_time(now));
        let report = UsageReport {
            job: job.clone(),
            ran_ms: u64::try_from(run_time.as_millis()).unwrap_or(u64::MAX),
            finished: true,
        };
        self.scheduler.usage(now, &report);
    }

    pub(super) fn end_job(&mut self, now: Timestamp, job: &JobId, end: JobEnd) {
        let body = RecordBody::JobEnded {
            term: self.election.held_term().unwrap_or_default(),
            job: job.clone(),
            end,
        };
        self.queue_closing_record(now, job, body);
    }

    pub(super) fn queue_closing_record(&mut self, now: Timestamp, job: &JobId, body: RecordBody) {
        let closing = ClosingRecord {
            body,
            retry_at: Some(now),
        };
        self.closing.insert(job.clone(), closing);
    }

    /// Takes note that the record that ends an attempt or a job is not known to be on the log.
    pub(super) fn closing_record_failed(&mut self, now: Timestamp, job: &JobId) {
        if let Some(closing) = self.closing.get_mut(job) {
            closing.retry_at = Some(now + APPEND_RETRY_PAUSE);
        }
    }

    pub(super) fn append_closing_records(
        &mut self,
        now: Timestamp,
        actions: &mut Vec<PlannerAction>,
    ) {
        for (job, closing) in &mut self.closing {
            if closing.retry_at.is_some_and(|at| now >= at) {
                closing.retry_at = None;
                actions.push(append(closing.body.clone(), Purpose::Close(job.clone())));
            }
        }
    }

    /// Lets a job wait again after a pause, so that one that can't be started does not keep the
    /// agents and the log busy.
    pub(super) fn requeue_after_pause(&mut self, now: Timestamp, job: &JobId) {
        let failures = self.jobs.get(job).map_or(0, |j| j.live.failures);
        let pause = (RETRY_PAUSE * (failures + 1)).min(MAX_RETRY_PAUSE);
        self.resting.insert((now + pause, job.clone()));
    }

    pub(super) fn requeue_due_jobs(&mut self, now: Timestamp) {
        while let Some((at, _)) = self.resting.first()
            && *at <= now
        {
            let Some((_, job)) = self.resting.pop_first() else {
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
    let blamed = u32::try_from(BLAMED_WORKERS).unwrap_or(u32::MAX);
    worker_failures
        .saturating_mul(blamed)
        .saturating_add(EXTRA_FAILURES)
}
