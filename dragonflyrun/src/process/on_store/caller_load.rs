//! Refuses submissions because of load.

use std::time::Duration;

use crate::{
    port::{Advisor, CallerAnswer, Refusal, Store},
    process::on_store::{
        BootTime, StoreEntry,
        entry::{EntryState, MAX_READY_AGE, unix_ms},
    },
    utils::{Timestamp, lock},
    workload::{EntryView, Job, LoadRefusal, is_covered},
};

/// Number of reads of the jobs that a request waits for before it is refused. A read that was pending
/// when the request arrived may return without the newest records, and the one after it may be a
/// page of many.
const MAX_READS: u32 = 3;

/// Minimum interval between two log lines on refused jobs.
const LOG_INTERVAL: Duration = Duration::from_millis(100);

/// Limits the log lines on refused jobs.
#[derive(Debug, Default)]
pub(super) struct RefusalLog {
    written_at: Option<Timestamp>,
    /// The number of refusals without a line since the last line.
    omitted: u32,
}

impl RefusalLog {
    /// Counts a refusal. Returns how many earlier ones have no line if this one is to be logged.
    fn observe(&mut self, now: Timestamp) -> Option<u32> {
        let written_at = self.written_at;
        if written_at.is_some_and(|at| now.since(at) < LOG_INTERVAL) {
            self.omitted += 1;
            return None;
        }
        self.written_at = Some(now);
        Some(std::mem::take(&mut self.omitted))
    }
}

impl<S: Store, A: Advisor> StoreEntry<S, A> {
    /// Returns the answer to a submission that is refused because of load, or that turns out to be
    /// known; `None` if it has to be stored.
    ///
    /// A refusal says that the job was not run. It is therefore given only after a read of the jobs
    /// that was sent after the request arrived: another entry may have stored the job.
    pub(super) async fn refuse_for_load(&self, job: &Job) -> Option<CallerAnswer> {
        let arrived_at = BootTime::now();
        self.load_refusal(&lock(&self.state), job)?;
        for _ in 0..MAX_READS {
            if self.has_read_since(arrived_at) {
                break;
            }
            self.await_next_read().await;
        }
        let now = self.now();
        let (refusal, omitted) = {
            let mut state = lock(&self.state);
            if let Some(known) = state.job_table.get(&job.name) {
                return known.job.is_some().then_some(CallerAnswer::Accepted);
            }
            if state.job_table_current_at.is_none_or(|at| at < arrived_at) {
                return None;
            }
            let refusal = self.load_refusal(&state, job)?;
            let refusal = state.admission.refuse(now, &job.name, refusal);
            (refusal, state.refusal_log.observe(now))
        };
        self.counters.event(Refusal::Overloaded.name());
        self.counters.event("job_refused");
        if let Some(omitted) = omitted {
            log::info!(
                job:% = job.name, queue:% = job.queue, priority = job.priority,
                wait_ms = refusal.wait_ms, allowed_ms = refusal.allowed_ms,
                estimate_ms = refusal.estimate_ms, objective_ms = refusal.objective_ms,
                record_age_ms = refusal.record_age_ms,
                retry_after_s = refusal.retry_after.as_secs(), omitted;
                "job_refused_for_load"
            );
        }
        let after = refusal.retry_after;
        Some(CallerAnswer::Refused(Refusal::Overloaded, after))
    }

    fn has_read_since(&self, at: BootTime) -> bool {
        let current_at = lock(&self.state).job_table_current_at;
        current_at.is_some_and(|current_at| current_at >= at)
    }

    fn load_refusal(&self, state: &EntryState, job: &Job) -> Option<LoadRefusal> {
        let configuration = state.configuration.as_ref()?;
        let current_at = state.job_table_current_at;
        let view = EntryView {
            now: self.now(),
            unix_ms: unix_ms(),
            term: state.election.term(),
            reads_current: current_at.is_some_and(|at| at.elapsed() < MAX_READY_AGE),
        };
        let is_guaranteed = || is_covered(&state.job_table, configuration, job);
        state.admission.check(&view, job, is_guaranteed)
    }
}
