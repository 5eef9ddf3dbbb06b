//! How the planner starts gangs, and which workers it blames where a start fails.

use std::time::Duration;

use crate::{
    connection::{JobEnd, MemberReport, MemberState},
    job::{Decision, Gang, GangId, JobId, Planner, StopReason, Unreachable},
    utils::{Name, Timestamp},
};

/// Workers that one job may bring into disrepute by failing on them. Some jobs can never run, and
/// must not have all workers set aside one after the other.
pub(super) const BLAMED_WORKERS: usize = 2;

/// How long a shape must not be had from the workers known before an accepted job is ended for it.
/// A planner that was replaced lately may not have heard of a worker that is away for a while.
const IMPOSSIBLE_FOR: Duration = Duration::from_secs(600);

/// Time between two looks at a job whose shape can't be had.
const IMPOSSIBLE_PAUSE: Duration = Duration::from_secs(15);

/// How long a gang has to run to count as well started, and a task that fails sooner as badly.
pub(super) const PROVED: Duration = Duration::from_millis(10_000);

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
                    planned.tried = planned.tried.max(planned.live.attempt) + 1;
                    let id = GangId {
                        job: job.clone(),
                        term,
                        attempt: planned.tried,
                    };
                    log::info!(job:% = job, attempt = id.attempt; "gang_reserving");
                    let gang = Gang::reserve(now, id, planned.live.clone(), &placements);
                    self.place(gang);
                }
                Decision::Evict { job, .. } => self.stop_gang(now, &job, StopReason::Evicted),
                Decision::Impossible { job, why } => self.impossible(now, &job, why),
            }
        }
    }

    pub(super) fn impossible(&mut self, now: Timestamp, job: &JobId, why: Unreachable) {
        let Some(planned) = self.jobs.get_mut(job) else {
            return;
        };
        let since = *planned.impossible_since.get_or_insert(now);
        log::warn!(job:% = job, why:? = why; "job_impossible");
        if now.since(since) > IMPOSSIBLE_FOR {
            self.end_job(now, job, JobEnd::Impossible);
        } else {
            self.resting.insert((now + IMPOSSIBLE_PAUSE, job.clone()));
        }
    }

    pub(super) fn prove_starts(&mut self, now: Timestamp) {
        while let Some((at, _)) = self.proving.front()
            && *at <= now
        {
            let Some((_, id)) = self.proving.pop_front() else {
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
        self.touched.insert(job.clone());
        let Some(gang) = self.jobs.get_mut(job).and_then(|j| j.gang.as_mut()) else {
            return;
        };
        let young = gang.running_since().is_none_or(|at| now.since(at) < PROVED);
        let before = gang.report(now, agent, Some(member.state));
        if before == Some(member.state) {
            return;
        }
        match member.state {
            MemberState::Failed | MemberState::Refused if young => self.blame(now, job, agent),
            MemberState::Finished => self.scheduler.start_succeeded(now, agent),
            _ => {}
        }
    }

    pub(super) fn blame(&mut self, now: Timestamp, job: &JobId, worker: &Name) {
        let Some(planned) = self.jobs.get_mut(job) else {
            return;
        };
        let known = planned.blamed.len() < BLAMED_WORKERS || planned.blamed.contains_key(worker);
        if !known {
            return;
        }
        // Once the worker is set aside for it, more failures of the same job prove nothing new.
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
        self.touched.insert(job.clone());
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
        self.touched.insert(job.clone());
        if let Some(gang) = self.jobs.get_mut(job).and_then(|j| j.gang.as_mut()) {
            gang.stop(now, reason);
        }
    }
}
