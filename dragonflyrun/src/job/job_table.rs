//! The table of accepted jobs that have not ended, as folded from the log.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    connection::{JobEnd, Placement, RecordBody, RepeatedState},
    job::{GangId, JobId, JobSpec},
    utils::{HashMap, Name},
};

/// Number of ended jobs whose end is remembered, to answer queries about them.
const MAX_REMEMBERED_ENDS: usize = 4_096;

/// Number of log records after the end of a job during which its name can't be reused.
///
/// All processes have to agree on this, including one that started to read in the middle of the log
/// and does not know of earlier ends. It is therefore counted in records, and is smaller than the
/// number of records that the log keeps.
const NAME_REUSE_RECORDS: u64 = 4_000;

/// A job that was accepted and has not ended.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LiveJob {
    /// The name of the job.
    pub job: JobId,
    /// The resources and the program that the job requests.
    pub spec: JobSpec,
    /// The offset of the record that accepted it, which orders the queue.
    pub accepted: u64,
    /// The offset of the last record that changed it.
    pub updated: u64,
    /// The last attempt that reached the log, 0 before the first.
    pub attempt: u32,
    /// The term of the planner that started that attempt.
    pub term: u64,
    /// Where that attempt runs; empty while the job waits.
    pub placements: Vec<Placement>,
    /// Whether the leases of that attempt are no longer renewed.
    pub fenced: bool,
    /// The number of attempts that ended because a task failed.
    pub failures: u32,
    /// Whether the next attempt resumes from a checkpoint.
    pub checkpointed: bool,
    /// Whether cancellation of the job was requested.
    pub cancelled: bool,
}

impl LiveJob {
    /// Creates a job that was accepted at the offset `accepted` and waits for its first attempt.
    pub fn new(job: JobId, spec: JobSpec, accepted: u64) -> Self {
        Self {
            job,
            spec,
            accepted,
            updated: accepted,
            attempt: 0,
            term: 0,
            placements: Vec::new(),
            fenced: false,
            failures: 0,
            checkpointed: false,
            cancelled: false,
        }
    }

    /// Returns the identifier of the last attempt that reached the log.
    pub fn gang(&self) -> GangId {
        GangId {
            job: self.job.clone(),
            term: self.term,
            attempt: self.attempt,
        }
    }

    /// Returns whether an attempt of the job is placed.
    pub fn is_placed(&self) -> bool {
        !self.placements.is_empty()
    }

    /// Returns whether the log allows `gang` to start on `worker`.
    pub fn may_start(&self, gang: &GangId, worker: &Name) -> bool {
        let here = self.placements.iter().any(|p| p.worker == *worker);
        here && !self.fenced && self.gang() == *gang
    }
}

/// The state of the jobs, folded from the log records about them.
#[derive(Clone, Debug, Default)]
pub struct JobTable {
    live: HashMap<JobId, LiveJob>,
    ends_by_offset: BTreeMap<u64, (JobId, JobEnd)>,
    ends_by_job: HashMap<JobId, (u64, JobEnd)>,
}

impl JobTable {
    /// Folds the record at `offset`; records that are not about jobs are ignored.
    pub fn fold(&mut self, offset: u64, body: &RecordBody) {
        match body {
            RecordBody::JobAccepted { job, spec } => self.accept(offset, job, spec),
            RecordBody::JobStarted {
                term,
                job,
                attempt,
                placements,
            } => self.start(offset, *term, job, *attempt, placements),
            RecordBody::JobStopped {
                job,
                attempt,
                checkpointed,
                failed,
                ..
            } => {
                if let Some(live) = self.placed_attempt(job, *attempt) {
                    live.updated = offset;
                    live.placements.clear();
                    live.fenced = false;
                    live.checkpointed |= *checkpointed;
                    live.failures += u32::from(*failed);
                }
            }
            RecordBody::JobFenced { job, attempt, .. } => {
                if let Some(live) = self.placed_attempt(job, *attempt) {
                    live.updated = offset;
                    live.fenced = true;
                }
            }
            RecordBody::JobEnded { job, end, .. } => self.end(offset, job, *end),
            RecordBody::JobCancelled { job } => {
                if let Some(live) = self.live.get_mut(job) {
                    live.updated = offset;
                    live.cancelled = true;
                }
            }
            RecordBody::RepeatedState(RepeatedState::Job { job, .. }) => self.adopt(job),
            _ => {}
        }
    }

    /// Returns the live job named `job`.
    pub fn live(&self, job: &JobId) -> Option<&LiveJob> {
        self.live.get(job)
    }

    /// Returns all live jobs in arbitrary order.
    pub fn all_live(&self) -> impl Iterator<Item = &LiveJob> {
        self.live.values()
    }

    /// Returns how the job named `job` ended, if its end is still remembered.
    pub fn ended(&self, job: &JobId) -> Option<JobEnd> {
        self.ends_by_job.get(job).map(|(_, end)| *end)
    }

    fn accept(&mut self, offset: u64, job: &JobId, spec: &JobSpec) {
        let ended = self.ends_by_job.get(job);
        if ended.is_some_and(|(at, _)| offset - at < NAME_REUSE_RECORDS)
            || self.live.contains_key(job)
        {
            return;
        }
        let live = LiveJob::new(job.clone(), spec.clone(), offset);
        self.live.insert(job.clone(), live);
    }

    /// Applies the start of an attempt. The record may be delayed until its planner has abandoned
    /// the attempt and come after the start of a later one; it is then ignored.
    fn start(
        &mut self,
        offset: u64,
        term: u64,
        job: &JobId,
        attempt: u32,
        placements: &[Placement],
    ) {
        if let Some(live) = self.live.get_mut(job)
            && attempt > live.attempt
            && !live.is_placed()
        {
            live.updated = offset;
            live.attempt = attempt;
            live.term = term;
            live.placements = placements.to_vec();
        }
    }

    fn placed_attempt(&mut self, job: &JobId, attempt: u32) -> Option<&mut LiveJob> {
        let live = self.live.get_mut(job)?;
        (live.is_placed() && live.attempt == attempt).then_some(live)
    }

    /// Adopts the state of a carried job unless the known one is newer. A process that has read all
    /// records already has the same state, or has seen the job end.
    fn adopt(&mut self, carried: &LiveJob) {
        let known = self.live.get(&carried.job);
        let outdated = known.is_some_and(|live| carried.updated < live.updated);
        let ended = self.ends_by_job.get(&carried.job);
        if !outdated && ended.is_none_or(|(at, _)| *at < carried.accepted) {
            self.live.insert(carried.job.clone(), carried.clone());
        }
    }

    fn end(&mut self, offset: u64, job: &JobId, end: JobEnd) {
        if self.live.remove(job).is_none() {
            return;
        }
        self.ends_by_job.insert(job.clone(), (offset, end));
        self.ends_by_offset.insert(offset, (job.clone(), end));
        if self.ends_by_offset.len() > MAX_REMEMBERED_ENDS
            && let Some((at, (old, _))) = self.ends_by_offset.pop_first()
            && self
                .ends_by_job
                .get(&old)
                .is_some_and(|(end, _)| *end == at)
        {
            self.ends_by_job.remove(&old);
        }
    }
}
