//! What callers hand in and cancel at an entry, as records in the store.

use std::time::{Duration, Instant};

use tokio::time::{sleep, timeout};

use crate::{
    port::{
        Advisor, Append, AppendError, CallerAnswer, CallerRequest, JobState, Partition, ReadError,
        Refusal, Store,
    },
    process::on_store::{StoreEntry, append_time},
    utils::{Name, lock},
    workload::{Job, JobLookup, JobRecord},
};

/// Time for one append of a caller's record.
const APPEND_TIMEOUT: Duration = Duration::from_millis(900);

/// Time for the read that shows whether the store can be reached.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// How many of the store's usual delays that read may take.
const PROBE_DELAYS: u32 = 4;

/// Pause between two tries of an append.
const APPEND_PAUSE: Duration = Duration::from_millis(60);

/// Tries of an append that the store refuses before the caller is told so: one short refusal is
/// bridged, a store that stays away is not waited for.
const REFUSED_TRIES: u32 = 3;

/// Share of a caller's patience after which it is told that the outcome is not known.
const PATIENCE_SHARE: f64 = 0.85;

impl<S: Store, A: Advisor> StoreEntry<S, A> {
    pub(super) async fn submit(&self, req: &CallerRequest, job: Job) -> CallerAnswer {
        let known = lock(&self.state)
            .book
            .get(&job.name)
            .is_some_and(|e| e.job.is_some());
        if known {
            return CallerAnswer::Accepted;
        }
        let summary = job.to_string();
        let name = job.name.clone();
        let record = JobRecord::Accepted(Box::new(job));
        let came = Instant::now();
        let answer = self.append(req, &record).await;
        self.counters.latency("hand_in", came.elapsed());
        self.counters.event(match &answer {
            Ok(()) => "job_accepted",
            Err(CallerAnswer::Unknown) => "job_unknown",
            Err(_) => "job_refused",
        });
        if answer.is_ok() {
            self.remember(record);
        }
        log::info!(
            job:% = name, outcome = outcome_name(&answer), summary,
            patience_ms = req.patience.as_millis() as u64;
            "job_handed_in"
        );
        answer.map_or_else(|refused| refused, |()| CallerAnswer::Accepted)
    }

    pub(super) async fn cancel(&self, req: &CallerRequest, name: &Name) -> CallerAnswer {
        let JobLookup::Known(state) = self.look_up(name).await else {
            return self.not_known();
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
            self.remember(record);
        }
        log::info!(job:% = name, outcome = outcome_name(&answer); "job_cancelled");
        answer.map_or_else(|refused| refused, |()| CallerAnswer::Cancelled)
    }

    /// Folds a record that the store has confirmed before the follower reads it, so that this
    /// entry answers for it at once.
    fn remember(&self, record: JobRecord) {
        let mut state = lock(&self.state);
        if state.book.fold(record.clone()) {
            state.tell_planner(record);
        }
        drop(state);
        self.news.notify_one();
    }

    /// Appends a caller's record. Repeats and late arrivals of it do no harm, so it is tried again
    /// until the store confirms it; it is refused only where no try can have reached the store.
    async fn append(&self, req: &CallerRequest, record: &JobRecord) -> Result<(), CallerAnswer> {
        let append = Append {
            partition: Partition::JOBS,
            records: vec![record.encode()],
            writer: None,
            at: None,
        };
        let end = Instant::now() + req.patience.mul_f64(PATIENCE_SHARE);
        if !self.store_answers(end).await {
            return Err(self.refuse(Refusal::StoreAway));
        }
        let _transfer = self.link_load.begin(append.bytes());
        let mut doubtful = false;
        let mut refused = 0;
        loop {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(self.not_stored(doubtful));
            }
            if !doubtful && self.store_is_away() {
                return Err(self.refuse(Refusal::StoreAway));
            }
            let asked = Instant::now();
            let within = append_time(APPEND_TIMEOUT, lock(&self.state).store_delay);
            let within = within + self.link_load.time();
            let appended = self.store.append(&append, left.min(within)).await;
            self.counters.latency("append", asked.elapsed());
            match appended {
                Ok(_) => {
                    lock(&self.state).reach.answered(Instant::now());
                    return Ok(());
                }
                Err(AppendError::Unknown(reason)) => {
                    doubtful = true;
                    let mut state = lock(&self.state);
                    state
                        .reach
                        .append_unanswered(Instant::now(), APPEND_TIMEOUT);
                    drop(state);
                    self.counters.event("append_doubtful");
                    log::debug!(reason; "append_doubtful");
                }
                Err(error) => {
                    refused += 1;
                    log::debug!(reason:% = error; "append_refused");
                    if refused >= REFUSED_TRIES && !doubtful {
                        return Err(self.not_stored(false));
                    }
                }
            }
            sleep(APPEND_PAUSE).await;
        }
    }

    /// Returns whether the store can be reached, by an answer of a moment ago or by a short read that takes
    /// until `until` at the most.
    ///
    /// A record that is sent into a partition leaves its caller in doubt until its patience ends. A read that
    /// is not answered harms nobody: the caller is refused truly, and tries another entry.
    async fn store_answers(&self, until: Instant) -> bool {
        let (recent, delay, end) = {
            let state = lock(&self.state);
            let recent = state.reach.is_recent(Instant::now(), state.store_delay);
            (recent, state.store_delay, state.book_end)
        };
        if recent {
            return true;
        }
        let left = until.saturating_duration_since(Instant::now());
        let within = PROBE_TIMEOUT.max(delay * PROBE_DELAYS).min(left);
        let read = self.store.read(Partition::JOBS, end, Duration::ZERO);
        let answered = match timeout(within, read).await {
            Ok(Ok(_) | Err(ReadError::Dropped(_))) => true,
            Ok(Err(ReadError::Unavailable(_))) | Err(_) => false,
        };
        let mut state = lock(&self.state);
        if answered {
            state.reach.answered(Instant::now());
        } else {
            state.reach.read_failed();
        }
        answered
    }

    fn store_is_away(&self) -> bool {
        let state = lock(&self.state);
        state
            .reach
            .is_unreachable(Instant::now(), state.store_delay)
    }

    fn not_stored(&self, doubtful: bool) -> CallerAnswer {
        if doubtful {
            CallerAnswer::Unknown
        } else {
            self.refuse(Refusal::StoreRefused)
        }
    }

    pub(super) fn refuse(&self, refusal: Refusal) -> CallerAnswer {
        self.counters.event(refusal.name());
        let after = lock(&self.state).reach.retry_after(Instant::now());
        CallerAnswer::Refused(refusal, after)
    }
}

fn outcome_name(answer: &Result<(), CallerAnswer>) -> &'static str {
    match answer {
        Ok(()) => "stored",
        Err(CallerAnswer::Unknown) => "unknown",
        Err(_) => "refused",
    }
}
