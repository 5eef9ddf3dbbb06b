//! Appends callers' submissions and cancellations to the store.

use std::time::{Duration, Instant};

use tokio::time::{sleep, timeout};

use crate::{
    port::{
        Advisor, Append, AppendError, CallerAnswer, CallerRequest, JobState, PageRequest,
        Partition, ReadError, Refusal, Store,
    },
    process::on_store::{StoreEntry, append_timeout},
    utils::{Name, lock},
    workload::{Job, JobLookup, JobRecord},
};

/// Time limit for one append of a caller's record.
const APPEND_TIMEOUT: Duration = Duration::from_millis(900);

/// Minimum time limit for the read that checks whether the store is reachable.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Time limit for that read as a multiple of the store's usual delay, if that is longer.
const PROBE_STORE_DELAYS: u32 = 4;

/// Delay between two attempts of an append.
const APPEND_RETRY_DELAY: Duration = Duration::from_millis(60);

/// Attempts that the store may refuse before the caller's request is refused: enough to bridge a
/// short refusal, without waiting for a store that stays unavailable.
const MAX_REFUSED_ATTEMPTS: u32 = 3;

/// Share of the time that a caller waits after which it is told that the outcome is unknown.
const PATIENCE_SHARE: f64 = 0.85;

impl<S: Store, A: Advisor> StoreEntry<S, A> {
    pub(super) async fn submit(&self, req: &CallerRequest, job: Job) -> CallerAnswer {
        let known = lock(&self.state)
            .job_table
            .get(&job.name)
            .is_some_and(|e| e.job.is_some());
        if known {
            return CallerAnswer::Accepted;
        }
        if let Some(answer) = self.refuse_for_load(&job).await {
            return answer;
        }
        let summary = job.to_string();
        let name = job.name.clone();
        let now = self.now();
        lock(&self.state).admission.submission_sent(now, &name);
        let record = JobRecord::Accepted(Box::new(job));
        let started_at = Instant::now();
        let answer = self.append(req, &record).await;
        self.counters.latency("hand_in", started_at.elapsed());
        self.counters.event(match &answer {
            Ok(()) => "job_accepted",
            Err(CallerAnswer::Unknown) => "job_unknown",
            Err(_) => "job_refused",
        });
        if answer.is_ok() {
            self.fold_stored(record);
        }
        if !matches!(answer, Err(CallerAnswer::Unknown)) {
            lock(&self.state).admission.submission_settled(&name);
        }
        log::info!(
            job:% = name, outcome = outcome_label(&answer), summary,
            patience_ms = req.patience.as_millis() as u64;
            "job_handed_in"
        );
        answer.map_or_else(|refused| refused, |()| CallerAnswer::Accepted)
    }

    pub(super) async fn cancel(&self, req: &CallerRequest, name: &Name) -> CallerAnswer {
        let JobLookup::Known(state) = self.look_up(name).await else {
            return self.unknown_job_answer();
        };
        if matches!(
            state,
            JobState::Completed | JobState::Failed | JobState::Cancelled
        ) {
            return CallerAnswer::Cancelled;
        }
        let record = JobRecord::Cancelled(name.clone());
        let answer = self.append(req, &record).await;
        if answer.is_ok() {
            self.fold_stored(record);
        }
        log::info!(job:% = name, outcome = outcome_label(&answer); "job_cancelled");
        answer.map_or_else(|refused| refused, |()| CallerAnswer::Cancelled)
    }

    /// Applies a record that the store has confirmed without waiting for the follower to read it,
    /// so that this entry's answers reflect it at once.
    fn fold_stored(&self, record: JobRecord) {
        let mut state = lock(&self.state);
        if state.job_table.fold(self.now(), record.clone()) {
            state.queue_for_planner(record);
        }
        drop(state);
        self.planner_wakeup.notify_one();
    }

    /// Appends a caller's record. Repeated and late records do no harm, so the append is retried
    /// until the store confirms it; the request is refused only if no attempt can have reached the
    /// store.
    async fn append(&self, req: &CallerRequest, record: &JobRecord) -> Result<(), CallerAnswer> {
        let append = Append {
            partition: Partition::JOBS,
            records: vec![record.encode()],
            writer: None,
            expected_end: None,
        };
        let deadline = Instant::now() + req.patience.mul_f64(PATIENCE_SHARE);
        if !self.probe_store(deadline).await {
            return Err(self.refuse(Refusal::StoreUnreachable));
        }
        let _transfer = self.link_load.begin(append.bytes());
        let mut may_be_stored = false;
        let mut refused = 0;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Err(self.not_stored_answer(may_be_stored));
            }
            if !may_be_stored && self.is_store_unreachable() {
                return Err(self.refuse(Refusal::StoreUnreachable));
            }
            let sent_at = Instant::now();
            let limit = append_timeout(APPEND_TIMEOUT, lock(&self.state).store_delay);
            let limit = limit + self.link_load.time_limit();
            let appended = self.store.append(&append, remaining.min(limit)).await;
            self.counters.latency("append", sent_at.elapsed());
            match appended {
                Ok(_) => {
                    lock(&self.state).reachability.answered(Instant::now());
                    return Ok(());
                }
                Err(AppendError::Unknown(reason)) => {
                    may_be_stored = true;
                    let mut state = lock(&self.state);
                    state
                        .reachability
                        .append_unanswered(Instant::now(), APPEND_TIMEOUT);
                    state.admission.append_doubtful(self.now());
                    drop(state);
                    self.counters.event("append_doubtful");
                    log::debug!(reason; "append_doubtful");
                }
                Err(error) => {
                    refused += 1;
                    log::debug!(reason:% = error; "append_refused");
                    if refused >= MAX_REFUSED_ATTEMPTS && !may_be_stored {
                        return Err(self.not_stored_answer(false));
                    }
                }
            }
            sleep(APPEND_RETRY_DELAY).await;
        }
    }

    /// Returns whether the store is reachable, judging by a recent answer or by a short read that
    /// ends by `deadline`.
    ///
    /// If a record is sent while the network to the store is partitioned, the caller waits until its
    /// time runs out and still does not know whether the record was stored. A read without an answer
    /// has no such effect: the caller is refused for certain and tries another entry.
    async fn probe_store(&self, deadline: Instant) -> bool {
        let (is_recent, delay, end) = {
            let state = lock(&self.state);
            let is_recent = state
                .reachability
                .is_recent(Instant::now(), state.store_delay);
            (is_recent, state.store_delay, state.operators_end)
        };
        if is_recent {
            return true;
        }
        let remaining = deadline.saturating_duration_since(Instant::now());
        let limit = PROBE_TIMEOUT.max(delay * PROBE_STORE_DELAYS).min(remaining);
        // The operators' records are known up to their end, so the answer is empty. A read of the jobs
        // would return all that has happened since this entry last read them.
        let read = self.store.read(PageRequest {
            partition: Partition::OPERATOR,
            from: end,
            wait: Duration::ZERO,
            max_bytes: 0,
            within: limit,
        });
        let answered = match timeout(limit, read).await {
            Ok(Ok(_) | Err(ReadError::Dropped(_))) => true,
            Ok(Err(ReadError::Unavailable(_) | ReadError::Late)) | Err(_) => false,
        };
        let mut state = lock(&self.state);
        if answered {
            state.reachability.answered(Instant::now());
        } else {
            state.reachability.read_failed();
        }
        answered
    }

    fn is_store_unreachable(&self) -> bool {
        let state = lock(&self.state);
        state
            .reachability
            .is_unreachable(Instant::now(), state.store_delay)
    }

    fn not_stored_answer(&self, may_be_stored: bool) -> CallerAnswer {
        if may_be_stored {
            CallerAnswer::Unknown
        } else {
            self.refuse(Refusal::StoreRefused)
        }
    }

    pub(super) fn refuse(&self, refusal: Refusal) -> CallerAnswer {
        self.counters.event(refusal.name());
        let after = lock(&self.state).reachability.retry_after(Instant::now());
        CallerAnswer::Refused(refusal, after)
    }
}

fn outcome_label(answer: &Result<(), CallerAnswer>) -> &'static str {
    match answer {
        Ok(()) => "stored",
        Err(CallerAnswer::Unknown) => "unknown",
        Err(_) => "refused",
    }
}
