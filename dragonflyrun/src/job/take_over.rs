//! How the planner's table follows the log: what every entry keeps, and what a new planner takes
//! over from its predecessor.

use crate::{
    connection::{Carried, JobEnd, Record, RecordBody},
    job::{Gang, Item, JobId, LiveJob, Planner, StopReason, planner::PlannedJob},
    utils::Timestamp,
};

/// A record that was folded, with the state of what it is about right after it.
#[derive(Clone, Copy, Debug)]
pub struct JobRecord<'a> {
    /// Its offset.
    pub offset: u64,
    /// The record.
    pub record: &'a Record,
    /// The current term.
    pub term: u64,
    /// The job that it is about, where that is live.
    pub live: Option<&'a LiveJob>,
    /// How that job ended, where it has and that is still remembered.
    pub ended: Option<JobEnd>,
    /// Whether a state that the record repeats is still the current one.
    pub current: bool,
}

impl Planner {
    /// Follows a record of the log. Returns whether this process has become planner by it, so that
    /// the agents' reports are to be given to it once more.
    pub fn on_record(&mut self, now: Timestamp, folded: JobRecord<'_>) -> bool {
        let mine = self.pending.remove(&folded.record.id).is_some();
        match &folded.record.body {
            RecordBody::Term { term, .. } if *term == folded.term => {
                return self.on_term(now, *term, mine, folded.offset);
            }
            RecordBody::Term { .. } => {}
            RecordBody::Edit(_) => self
                .retention
                .changed(now, Item::Configuration, folded.offset),
            RecordBody::EntryJoined { .. } | RecordBody::EntryLeft { .. } => {
                self.retention.changed(now, Item::Membership, folded.offset);
            }
            RecordBody::Ring { .. } => self.retention.changed(now, Item::Membership, folded.offset),
            RecordBody::JobAccepted { job, .. }
            | RecordBody::JobStarted { job, .. }
            | RecordBody::JobStopped { job, .. }
            | RecordBody::JobFenced { job, .. }
            | RecordBody::JobCancelled { job } => self.on_job(now, job, &folded),
            RecordBody::JobEnded { job, end, .. } => self.on_ended(now, job, *end),
            RecordBody::Carried(carried) => self.on_carried(now, carried, &folded),
        }
        false
    }

    fn on_term(&mut self, now: Timestamp, term: u64, mine: bool, offset: u64) -> bool {
        self.retention.changed(now, Item::Membership, offset);
        // A second claim of the term has no effect, also where both are this entry's.
        if !self.election.is_new(term) {
            return false;
        }
        let was_planner = self.term().is_some();
        if self.election.on_term(term, mine) {
            log::info!(term = term; "planner_taken_over");
            self.take_over(now, offset);
            return true;
        }
        if was_planner {
            log::info!(term = term; "planner_replaced");
            self.step_down(now);
        }
        false
    }

    /// Takes over all gangs that the log has. What the former planner did about them beyond that
    /// shows in the agents' reports.
    fn take_over(&mut self, now: Timestamp, offset: u64) {
        self.step_down(now);
        // Whoever starts now may find the log without the records that these came from.
        self.retention.repeat_now(now, Item::Membership);
        self.retention.repeat_now(now, Item::Configuration);
        let jobs: Vec<JobId> = self.jobs.keys().cloned().collect();
        for job in jobs {
            let Some(planned) = self.jobs.get(&job) else {
                continue;
            };
            let live = planned.live.clone();
            if live.is_placed() {
                let mut gang = Gang::adopt(now, live.clone(), offset);
                gang.update(now, live, offset);
                self.place(gang);
            } else if live.cancelled {
                self.end(now, &job, JobEnd::Cancelled);
            }
        }
    }

    fn step_down(&mut self, now: Timestamp) {
        self.jobs_to_tick.clear();
        self.closing.clear();
        self.delayed_jobs.clear();
        self.unconfirmed_starts.clear();
        let jobs: Vec<JobId> = self.jobs.keys().cloned().collect();
        for job in jobs {
            self.unplace(&job);
            let Some(planned) = self.jobs.get_mut(&job) else {
                continue;
            };
            planned.last_attempt = planned.live.attempt;
            if !planned.live.is_placed() {
                self.scheduler.job_waits(now, &planned.live);
            }
        }
    }

    fn on_job(&mut self, now: Timestamp, job: &JobId, folded: &JobRecord<'_>) {
        let Some(live) = folded.live else {
            return;
        };
        if matches!(folded.record.body, RecordBody::JobAccepted { .. }) {
            self.retention
                .changed(now, Item::Job(job.clone()), folded.offset);
        }
        let planned = self
            .jobs
            .entry(job.clone())
            .or_insert_with(|| PlannedJob::new(live));
        let before = std::mem::replace(&mut planned.live, live.clone());
        if live.is_placed() {
            self.scheduler.job_runs(now, live);
        } else if before.is_placed() {
            self.on_stopped(now, job, live);
        } else if matches!(folded.record.body, RecordBody::JobAccepted { .. }) {
            self.scheduler.job_waits(now, live);
        }
        if self.term().is_some() {
            self.follow_log(now, job, live, folded.offset);
        }
    }

    fn on_stopped(&mut self, now: Timestamp, job: &JobId, live: &LiveJob) {
        if self.term().is_none() {
            self.scheduler.job_waits(now, live);
            return;
        }
        self.unplace(job);
        self.closing.remove(job);
        self.rest(now, job);
    }

    /// Brings the planner's gang of `job` in line with the log.
    fn follow_log(&mut self, now: Timestamp, job: &JobId, live: &LiveJob, offset: u64) {
        self.jobs_to_tick.insert(job.clone());
        let gang = self.jobs.get_mut(job).and_then(|j| j.gang.as_mut());
        match gang {
            Some(gang) if live.is_placed() && *gang.id() == live.gang() => {
                if !gang.is_recorded() {
                    gang.recorded(now, offset);
                }
                gang.update(now, live.clone(), offset);
            }
            Some(gang) if !live.is_placed() => gang.update(now, live.clone(), offset),
            // The start of an attempt that was given up has reached the log after all. It can't
            // run any more, but it has to be stopped on the log before another one.
            _ if live.is_placed() => {
                let mut late = Gang::adopt(now, live.clone(), offset);
                late.stop(now, StopReason::NotRecorded);
                self.place(late);
            }
            None if live.cancelled && !self.closing.contains_key(job) => {
                self.end(now, job, JobEnd::Cancelled)
            }
            _ => {}
        }
    }

    fn on_ended(&mut self, now: Timestamp, job: &JobId, end: JobEnd) {
        self.unplace(job);
        self.closing.remove(job);
        self.retention.forget(&Item::Job(job.clone()));
        if self.jobs.remove(job).is_some() {
            log::info!(job:% = job, end:? = end; "job_ended");
        }
        self.scheduler.job_gone(now, job);
    }

    fn on_carried(&mut self, now: Timestamp, carried: &Carried, folded: &JobRecord<'_>) {
        let offset = folded.offset;
        match carried {
            Carried::Configuration(_) => {
                self.repeated(now, Item::Configuration, offset, folded.current);
            }
            Carried::Membership(_) => {
                self.repeated(now, Item::Membership, offset, folded.current);
            }
            Carried::Job { job, .. } => match folded.live {
                Some(live) => {
                    let item = Item::Job(job.job.clone());
                    self.repeated(now, item, offset, folded.current);
                    let known = self.jobs.get(&job.job);
                    if known.is_none_or(|k| k.live != *live) {
                        self.learn(now, live);
                    }
                }
                None => self.repeat_end(now, &job.job, folded.ended),
            },
        }
    }

    fn repeated(&mut self, now: Timestamp, item: Item, offset: u64, whole: bool) {
        if whole {
            self.retention.written(now, item, offset);
        } else {
            self.retention.repeat_now(now, item);
        }
    }

    /// Takes in a job whose first records the log had dropped before this process read it.
    fn learn(&mut self, now: Timestamp, live: &LiveJob) {
        self.jobs.insert(live.job.clone(), PlannedJob::new(live));
        if live.is_placed() {
            self.scheduler.job_runs(now, live);
        } else {
            self.scheduler.job_waits(now, live);
        }
    }

    /// Repeats the end of a job that ended between the moment at which its state was read and that
    /// at which it was repeated: a reader that starts at the repeated state would never see it end.
    fn repeat_end(&mut self, now: Timestamp, job: &JobId, ended: Option<JobEnd>) {
        if self.term().is_some()
            && let Some(end) = ended
        {
            self.end(now, job, end);
        }
    }
}
