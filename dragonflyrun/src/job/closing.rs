//! The end of attempts and jobs at the planner: the closing records that it appends to the log, and
//! the delay before a job is tried again.

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
        starting::MAX_BLAMED_WORKERS_PER_JOB, //
    },
    utils::Timestamp,
};

/// Failed attempts that a job is allowed beyond those needed to quarantine the faulty workers, so
/// that faulty workers alone can't make a job fail whose program works.
const EXTRA_FAILURES: u32 = 2;

/// Delay before a job is tried again; it grows by this much with each failed attempt, up to
/// [`MAX_RETRY_PAUSE`].
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Upper bound of the delay before a job is tried again.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(4_000);

/// Delay before a closing record that did not reach the log is appended again.
const APPEND_RETRY_PAUSE: Duration = Duration::from_millis(1_000);

/// A record that ends an attempt or a job and is not known to be on the log yet.
#[derive(Debug)]
pub(super) struct ClosingRecord {
    body: RecordBody,
    /// When to append the record; none while an append is outstanding.
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

    /// Adds the run time of an attempt to that of the job, unless its work was lost because no
    /// checkpoint was saved.
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

    /// Schedules another append of a job's closing record, which is not known to be on the log.
    pub(super) fn closing_record_failed(&mut self, now: Timestamp, job: &JobId) {
        if let Some(closing) = self.closing.get_mut(job) {
            closing.retry_at = Some(now + APPEND_RETRY_PAUSE);
        }
    }

    /// Appends the records of ended attempts and jobs that are due, for the first time or again after
    /// an append that did not reach the log.
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

    /// Queues a job again after a delay, so that a job that can't be started does not load the
    /// agents and the log with repeated attempts.
    pub(super) fn requeue_after_pause(&mut self, now: Timestamp, job: &JobId) {
        let failures = self.jobs.get(job).map_or(0, |j| j.live.failures);
        let pause = (RETRY_PAUSE * (failures + 1)).min(MAX_RETRY_PAUSE);
        self.delayed_jobs.insert((now + pause, job.clone()));
    }

    pub(super) fn requeue_due_jobs(&mut self, now: Timestamp) {
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
                    // The scheduler no longer has the job in its queue.
                    self.scheduler.job_gone(now, &job);
                }
                self.scheduler.job_waits(now, &planned.live);
            }
        }
    }
}

/// Returns the number of failed attempts at which a job fails, if a worker is quarantined after
/// `worker_failures` failures.
fn failure_limit(worker_failures: u32) -> u32 {
    let blamed = u32::try_from(MAX_BLAMED_WORKERS_PER_JOB).unwrap_or(u32::MAX);
    worker_failures
        .saturating_mul(blamed)
        .saturating_add(EXTRA_FAILURES)
}
