//! How the planner starts gangs, and which workers it holds responsible when a start fails.

use std::time::Duration;

use crate::{
    connection::{JobEnd, MemberReport, MemberState},
    job::{Decision, Gang, GangId, ImpossibleReason, JobId, Planner, StopReason},
    utils::{Name, Timestamp},
};

/// Maximum number of workers to which failures of one job are attributed. Some jobs can never run,
/// and must not get all workers quarantined one after the other.
pub(super) const MAX_BLAMED_WORKERS_PER_JOB: usize = 2;

/// How long a job must have been impossible on the known workers before it is ended. A planner that
/// has recently taken over may not have heard from a worker that is out of reach for a while.
const IMPOSSIBLE_END_AFTER: Duration = Duration::from_secs(600);

/// Delay until an impossible job is checked again.
const IMPOSSIBLE_RETRY_DELAY: Duration = Duration::from_secs(15);

/// Run time after which the start of a gang counts as successful; a task that fails earlier counts
/// as a failed start of its worker.
pub(super) const START_CONFIRMED_AFTER: Duration = Duration::from_millis(10_000);

impl Planner {
    pub(super) fn decide(&mut self, now: Timestamp, term: u64) {
        for decision in self.scheduler.decide(now) {
            match decision {
                Decision::Start { job, placements } => {
                    let Some(planned) = self.jobs.get_mut(&job) else {
                        continue;
                    };
                    if planned.gang.is_some() || self.closing.contains_key(&job) {
                        continue;
                    }
                    planned.impossible_since = None;
                    planned.last_attempt = planned.last_attempt.max(planned.live.attempt) + 1;
                    let id = GangId {
                        job: job.clone(),
                        term,
                        attempt: planned.last_attempt,
                    };
                    log::info!(job:% = job, attempt = id.attempt; "gang_reserving");
                    let gang = Gang::reserve(now, id, planned.live.clone(), &placements);
                    self.place(gang);
                }
                Decision::Evict { job, .. } => self.stop_gang(now, &job, StopReason::Evicted),
                Decision::Impossible { job, why } => self.handle_impossible(now, &job, why),
            }
        }
    }

    pub(super) fn handle_impossible(&mut self, now: Timestamp, job: &JobId, why: ImpossibleReason) {
        let Some(planned) = self.jobs.get_mut(job) else {
            return;
        };
        let since = *planned.impossible_since.get_or_insert(now);
        log::warn!(job:% = job, why:? = why; "job_impossible");
        if now.since(since) > IMPOSSIBLE_END_AFTER {
            self.end_job(now, job, JobEnd::Impossible);
        } else {
            self.delayed_jobs
                .insert((now + IMPOSSIBLE_RETRY_DELAY, job.clone()));
        }
    }

    pub(super) fn confirm_starts(&mut self, now: Timestamp) {
        while let Some((at, _)) = self.unconfirmed_starts.front()
            && *at <= now
        {
            let Some((_, id)) = self.unconfirmed_starts.pop_front() else {
                return;
            };
            let gang = self.jobs.get(&id.job).and_then(|j| j.gang.as_ref());
            if let Some(gang) = gang.filter(|g| *g.id() == id && g.running_since().is_some()) {
                for worker in gang.workers() {
                    self.scheduler.start_succeeded(now, worker);
                }
            }
        }
    }

    pub(super) fn member_state(&mut self, now: Timestamp, agent: &Name, member: &MemberReport) {
        let job = &member.gang.job;
        self.jobs_to_tick.insert(job.clone());
        let Some(gang) = self.jobs.get_mut(job).and_then(|j| j.gang.as_mut()) else {
            return;
        };
        let recent = gang
            .running_since()
            .is_none_or(|at| now.since(at) < START_CONFIRMED_AFTER);
        let previous = gang.report(now, agent, Some(member.state));
        if previous == Some(member.state) {
            return;
        }
        match member.state {
            MemberState::Failed | MemberState::Refused if recent => self.blame(now, job, agent),
            MemberState::Finished => self.scheduler.start_succeeded(now, agent),
            _ => {}
        }
    }

    pub(super) fn blame(&mut self, now: Timestamp, job: &JobId, worker: &Name) {
        let Some(planned) = self.jobs.get_mut(job) else {
            return;
        };
        let may_blame = planned.blamed.len() < MAX_BLAMED_WORKERS_PER_JOB
            || planned.blamed.contains_key(worker);
        if !may_blame {
            return;
        }
        // Once the failures of one job have sufficed to quarantine a worker, more of them prove
        // nothing new.
        let count = planned.blamed.entry(worker.clone()).or_default();
        if *count < self.version.limits.worker_failures {
            *count += 1;
            self.scheduler.start_failed(now, worker);
        }
    }

    pub(super) fn place(&mut self, gang: Gang) {
        let job = gang.id().job.clone();
        self.unplace(&job);
        for worker in gang.workers() {
            let jobs = self.by_worker.entry(worker.clone()).or_default();
            jobs.insert(job.clone());
        }
        self.jobs_to_tick.insert(job.clone());
        if let Some(planned) = self.jobs.get_mut(&job) {
            planned.gang = Some(gang);
        }
    }

    pub(super) fn unplace(&mut self, job: &JobId) {
        let Some(planned) = self.jobs.get_mut(job) else {
            return;
        };
        let Some(gang) = planned.gang.take() else {
            return;
        };
        for worker in gang.workers() {
            if let Some(jobs) = self.by_worker.get_mut(worker) {
                jobs.remove(job);
                if jobs.is_empty() {
                    self.by_worker.remove(worker);
                }
            }
        }
    }

    pub(super) fn jobs_on(&self, worker: &Name) -> Vec<JobId> {
        let jobs = self.by_worker.get(worker);
        jobs.into_iter().flatten().cloned().collect()
    }

    pub(super) fn stop_gang(&mut self, now: Timestamp, job: &JobId, reason: StopReason) {
        self.jobs_to_tick.insert(job.clone());
        if let Some(gang) = self.jobs.get_mut(job).and_then(|j| j.gang.as_mut()) {
            gang.stop(now, reason);
        }
    }
}
