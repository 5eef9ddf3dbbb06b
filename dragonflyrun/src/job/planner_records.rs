//! Applies log records to the planner's table. Every entry keeps the table up to date, so that a
//! new planner takes the gangs over from its own table.

use crate::{
    connection::{JobEnd, Record, RecordBody, RepeatedState},
    job::{Gang, Item, JobId, LiveJob, Planner, StopReason, planner::PlannedJob},
    utils::Timestamp,
};

/// A folded log record, with the state of its subject directly after it.
#[derive(Clone, Copy, Debug)]
pub struct JobRecord<'a> {
    /// The offset of the record.
    pub offset: u64,
    /// The record as it was read from the log.
    pub record: &'a Record,
    /// The planner's term in force after the record was folded.
    pub term: u64,
    /// The job that the record is about, if that is live.
    pub live: Option<&'a LiveJob>,
    /// How that job ended, if it has and its end is still remembered.
    pub ended: Option<JobEnd>,
    /// Whether the state carried by the record is still the current one.
    pub current: bool,
}

impl Planner {
    /// Applies a log record. Returns whether it makes this process the planner, in which case the
    /// caller has to pass it the agents' latest reports again.
    pub fn on_record(&mut self, now: Timestamp, folded: JobRecord<'_>) -> bool {
        let own = self.pending.remove(&folded.record.id).is_some();
        match &folded.record.body {
            RecordBody::Term { term, .. } if *term == folded.term => {
                return self.on_term(now, *term, own, folded.offset);
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
            RecordBody::RepeatedState(carried) => self.on_carried(now, carried, &folded),
        }
        false
    }

    fn on_term(&mut self, now: Timestamp, term: u64, own: bool, offset: u64) -> bool {
        self.retention.changed(now, Item::Membership, offset);
        // A second claim of the same term has no effect, even if this entry made both.
        if !self.election.is_new(term) {
            return false;
        }
        let was_planner = self.term().is_some();
        if self.election.on_term(term, own) {
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

    /// Takes over all gangs that the log records. Anything else that the previous planner did about
    /// them shows in the agents' reports.
    fn take_over(&mut self, now: Timestamp, offset: u64) {
        self.step_down(now);
        // A process that starts now may read a log that no longer has the records with this state.
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
                self.end_job(now, &job, JobEnd::Cancelled);
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
        let previous = std::mem::replace(&mut planned.live, live.clone());
        if live.is_placed() {
            self.scheduler.job_runs(now, live);
        } else if previous.is_placed() {
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
        self.requeue_after_pause(now, job);
    }

    /// Updates the planner's gang of `job` to the state on the log.
    fn follow_log(&mut self, now: Timestamp, job: &JobId, live: &LiveJob, offset: u64) {
        self.jobs_to_tick.insert(job.clone());
        let gang = self.jobs.get_mut(job).and_then(|j| j.gang.as_mut());
        match gang {
            Some(gang) if live.is_placed() && *gang.id() == live.gang() => {
                if !gang.is_recorded() {
                    gang.start_recorded(now, offset);
                }
                gang.update(now, live.clone(), offset);
            }
            Some(gang) if !live.is_placed() => gang.update(now, live.clone(), offset),
            // The start of an abandoned attempt has reached the log after all. The attempt can no
            // longer run, but its stop has to be on the log before another attempt starts.
            _ if live.is_placed() => {
                let mut late = Gang::adopt(now, live.clone(), offset);
                late.stop(now, StopReason::NotRecorded);
                self.place(late);
            }
            None if live.cancelled && !self.closing.contains_key(job) => {
                self.end_job(now, job, JobEnd::Cancelled)
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

    fn on_carried(&mut self, now: Timestamp, carried: &RepeatedState, folded: &JobRecord<'_>) {
        let offset = folded.offset;
        match carried {
            RepeatedState::Configuration(_) => {
                self.on_item_carried(now, Item::Configuration, offset, folded.current);
            }
            RepeatedState::Membership(_) => {
                self.on_item_carried(now, Item::Membership, offset, folded.current);
            }
            RepeatedState::Job { job, .. } => match folded.live {
                Some(live) => {
                    let item = Item::Job(job.job.clone());
                    self.on_item_carried(now, item, offset, folded.current);
                    let known = self.jobs.get(&job.job);
                    if known.is_none_or(|k| k.live != *live) {
                        self.add_carried_job(now, live);
                    }
                }
                None => self.append_end_again(now, &job.job, folded.ended),
            },
        }
    }

    fn on_item_carried(&mut self, now: Timestamp, item: Item, offset: u64, current: bool) {
        if current {
            self.retention.written(now, item, offset);
        } else {
            self.retention.repeat_now(now, item);
        }
    }

    /// Adds a job whose first records were dropped from the log before this process read it.
    fn add_carried_job(&mut self, now: Timestamp, live: &LiveJob) {
        self.jobs.insert(live.job.clone(), PlannedJob::new(live));
        if live.is_placed() {
            self.scheduler.job_runs(now, live);
        } else {
            self.scheduler.job_waits(now, live);
        }
    }

    /// Appends the end of a job again if the job ended after its state was read and before that
    /// state was carried: a reader that starts at the carried state would never see the job end.
    fn append_end_again(&mut self, now: Timestamp, job: &JobId, ended: Option<JobEnd>) {
        if self.term().is_some()
            && let Some(end) = ended
        {
            self.end_job(now, job, end);
        }
    }
}
