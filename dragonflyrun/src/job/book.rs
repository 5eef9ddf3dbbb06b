//! The jobs that were accepted and have not ended, as the log says.

use std::collections::BTreeMap;

use crate::{
    connection::{Carried, JobEnd, Placement, RecordBody},
    job::{JobId, JobSpec},
    utils::HashMap,
};

/// Ended jobs that are remembered for those who ask about them.
const REMEMBERED_ENDS: usize = 4_096;

/// A job that was accepted and has not ended.
#[derive(Clone, Debug, PartialEq)]
pub struct LiveJob {
    /// Its name.
    pub job: JobId,
    /// What it asks for.
    pub spec: JobSpec,
    /// The offset of its acceptance, which orders the queue.
    pub accepted: u64,
    /// The last attempt, 0 before the first.
    pub attempt: u32,
    /// Where that attempt runs; empty while the job waits.
    pub placements: Vec<Placement>,
    /// Whether the next attempt goes on from a checkpoint.
    pub checkpointed: bool,
    /// Whether somebody asked to cancel it.
    pub cancelled: bool,
}

/// The fold of the records on jobs.
#[derive(Clone, Debug, Default)]
pub struct JobBook {
    live: HashMap<JobId, LiveJob>,
    ended: BTreeMap<u64, (JobId, JobEnd)>,
    ends: HashMap<JobId, JobEnd>,
}

impl JobBook {
    /// Folds the record at `offset`; records of other kinds change nothing.
    pub fn fold(&mut self, offset: u64, body: &RecordBody) {
        match body {
            RecordBody::JobAccepted { job, spec } => self.accept(offset, job, spec),
            RecordBody::JobStarted {
                job,
                attempt,
                placements,
                ..
            } => {
                if let Some(live) = self.live.get_mut(job)
                    && *attempt == live.attempt + 1
                    && live.placements.is_empty()
                {
                    live.attempt = *attempt;
                    live.placements = placements.clone();
                }
            }
            RecordBody::JobStopped {
                job,
                attempt,
                checkpointed,
                ..
            } => {
                if let Some(live) = self.live.get_mut(job)
                    && *attempt == live.attempt
                {
                    live.placements.clear();
                    live.checkpointed |= *checkpointed;
                }
            }
            RecordBody::JobEnded { job, end, .. } => self.end(offset, job, *end),
            RecordBody::JobCancelled { job } => {
                if let Some(live) = self.live.get_mut(job) {
                    live.cancelled = true;
                }
            }
            RecordBody::Carried(Carried::Job {
                job,
                spec,
                accepted,
                attempt,
                placements,
                checkpointed,
                cancelled,
                ..
            }) => {
                let carried = LiveJob {
                    job: job.clone(),
                    spec: spec.clone(),
                    accepted: *accepted,
                    attempt: *attempt,
                    placements: placements.clone(),
                    checkpointed: *checkpointed,
                    cancelled: *cancelled,
                };
                self.adopt(carried);
            }
            _ => {}
        }
    }

    /// Returns the live job called `job`.
    pub fn live(&self, job: &JobId) -> Option<&LiveJob> {
        self.live.get(job)
    }

    /// Returns all live jobs, in no order.
    pub fn all_live(&self) -> impl Iterator<Item = &LiveJob> {
        self.live.values()
    }

    /// Returns how the job called `job` ended, where that is still remembered.
    pub fn ended(&self, job: &JobId) -> Option<JobEnd> {
        self.ends.get(job).copied()
    }

    fn accept(&mut self, offset: u64, job: &JobId, spec: &JobSpec) {
        if self.ends.contains_key(job) || self.live.contains_key(job) {
            return;
        }
        let live = LiveJob {
            job: job.clone(),
            spec: spec.clone(),
            accepted: offset,
            attempt: 0,
            placements: Vec::new(),
            checkpointed: false,
            cancelled: false,
        };
        self.live.insert(job.clone(), live);
    }

    /// Takes over a carried job. A process that has folded the records before it holds the same
    /// state already, or has seen the job end.
    fn adopt(&mut self, carried: LiveJob) {
        if !self.ends.contains_key(&carried.job) {
            self.live.entry(carried.job.clone()).or_insert(carried);
        }
    }

    fn end(&mut self, offset: u64, job: &JobId, end: JobEnd) {
        if self.live.remove(job).is_none() {
            return;
        }
        self.ends.insert(job.clone(), end);
        self.ended.insert(offset, (job.clone(), end));
        if self.ended.len() > REMEMBERED_ENDS
            && let Some((_, (old, _))) = self.ended.pop_first()
        {
            self.ends.remove(&old);
        }
    }
}
