//! How an entry answers callers: by the configuration in force, and from the jobs as the store has them.

use std::{sync::atomic::Ordering, time::Duration};

use tokio::time::{Instant, timeout_at};

use crate::{
    port::{
        Advisor, CallerAnswer, CallerCall, CallerRequest, Entrance, JobState, Queue, Refusal, Store,
    },
    process::on_store::{
        BootTime, StoreEntry,
        entry::{READY_AGE, unix_ms},
    },
    utils::{Name, lock},
    workload::{Job, JobLookup, MAX_JOB_NAME_BYTES},
};

/// Share of the bound on revoked keys up to which an old proof still counts; the rest covers the
/// time that a request is under way.
const REVOKE_SHARE: f64 = 0.85;

/// How long the answer to a question about a running job waits for its end. Callers ask when their work
/// is done, and the store learns that some 30 ms later. An answer of `running` in between would let them
/// hear of the end with their next question only.
const END_WAIT: Duration = Duration::from_millis(100);

/// How many of the store's delays it waits beside that: an end is reported, read, planned and read.
const END_DELAYS: u32 = 4;

/// Share of a caller's patience that may be spent on waiting for the end.
const END_PATIENCE_SHARE: f64 = 0.1;

impl<S: Store, A: Advisor> StoreEntry<S, A> {
    /// Returns the state of a job; that of a running one after waiting a moment for its end.
    async fn look_up_end(&self, req: &CallerRequest, name: &Name) -> JobLookup {
        let found = self.look_up(name).await;
        if found != JobLookup::Known(JobState::Running) {
            return found;
        }
        let delay = lock(&self.state).store_delay;
        let most = req.patience.mul_f64(END_PATIENCE_SHARE);
        let until = Instant::now() + (END_WAIT + delay * END_DELAYS).min(most);
        let watch = self.job_reads.watch();
        loop {
            let folded = watch.folded();
            let found = lock(&self.state).book.look_up(name);
            if found != JobLookup::Known(JobState::Running) {
                return found;
            }
            if timeout_at(until, folded).await.is_err() {
                return found;
            }
        }
    }

    /// Returns what the book has of a job, as current as the store's answers allow.
    pub(super) async fn look_up(&self, name: &Name) -> JobLookup {
        self.catch_up().await;
        let found = lock(&self.state).book.look_up(name);
        if found != JobLookup::Unknown {
            return found;
        }
        // Another entry may have accepted it since the read under way was answered.
        self.next_read().await;
        lock(&self.state).book.look_up(name)
    }

    /// Answers for a job that the book does not have: only a current book can deny it.
    pub(super) fn not_known(&self) -> CallerAnswer {
        let proof = lock(&self.state).book_proof;
        if proof.is_some_and(|p| p.elapsed() < READY_AGE) {
            CallerAnswer::NoJob
        } else {
            self.refuse(Refusal::NotReady)
        }
    }

    fn admit(&self, req: &CallerRequest) -> Result<Admitted, CallerAnswer> {
        let state = lock(&self.state);
        let Some(configuration) = state.configuration.clone() else {
            drop(state);
            return Err(self.refuse(Refusal::NotReady));
        };
        let proof = state.operator_proof.map(BootTime::elapsed);
        let read = state.book_proof.is_some();
        drop(state);
        let most = self.settings.bounds.revoke.mul_f64(REVOKE_SHARE);
        if proof.is_none_or(|age| age > most) || !read {
            return Err(self.refuse(Refusal::ConfigurationStale));
        }
        let Some((queue, rest)) = configuration.queue_of(&req.host, &req.path) else {
            return Err(CallerAnswer::NoQueue);
        };
        let workspace = req
            .key
            .as_deref()
            .and_then(|k| configuration.workspace_of(k));
        if !queue.public && workspace.is_none() {
            return Err(CallerAnswer::UnknownKey);
        }
        Ok(Admitted {
            queue: queue.clone(),
            workspace: workspace.map(|w| w.name.clone()),
            job: rest.into(),
        })
    }
}

/// A request that the configuration in force allows.
struct Admitted {
    queue: Queue,
    workspace: Option<Name>,
    job: Name,
}

impl<S: Store, A: Advisor> Entrance for StoreEntry<S, A> {
    async fn call(&self, req: CallerRequest) -> CallerAnswer {
        let admitted = match self.admit(&req) {
            Ok(admitted) => admitted,
            Err(answer) => return answer,
        };
        let name = admitted.job.clone();
        match &req.call {
            CallerCall::Look if name.is_empty() => {
                CallerAnswer::Pending(lock(&self.state).book.pending(&admitted.queue.name))
            }
            CallerCall::Look => match self.look_up_end(&req, &name).await {
                JobLookup::Known(state) => CallerAnswer::State(state),
                JobLookup::Unknown => self.not_known(),
            },
            CallerCall::Cancel => self.cancel(&req, &name).await,
            CallerCall::Submit(Some(job)) if job.is_valid() && is_storable(&name) => {
                let job = Job {
                    name,
                    queue: admitted.queue.name.clone(),
                    service: admitted.queue.service.clone(),
                    workspace: admitted.workspace,
                    priority: admitted.queue.priority,
                    max_attempts: admitted.queue.max_attempts,
                    stretch: admitted.queue.stretch,
                    target_ms: u64::try_from(admitted.queue.target.as_millis()).unwrap_or(0),
                    accepted_ms: unix_ms(),
                    request: job.clone(),
                };
                self.submit(&req, job).await
            }
            CallerCall::Submit(_) => CallerAnswer::Malformed,
        }
    }

    fn is_ready(&self) -> bool {
        let state = lock(&self.state);
        let current = |proof: Option<BootTime>| proof.is_some_and(|p| p.elapsed() < READY_AGE);
        state.configuration.is_some()
            && current(state.operator_proof)
            && current(state.book_proof)
            && !self.stopping.load(Ordering::Relaxed)
    }
}

/// Returns whether records of a job with this name can be told apart in the store.
fn is_storable(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_JOB_NAME_BYTES
}
