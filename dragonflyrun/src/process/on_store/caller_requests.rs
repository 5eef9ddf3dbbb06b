//! Answers callers' requests by the configuration in force and the jobs in the store.

use std::{sync::atomic::Ordering, time::Duration};

use tokio::time::{Instant, timeout_at};

use crate::{
    port::{
        Advisor, CallerAnswer, CallerCall, CallerHandler, CallerRequest, JobState, Queue, Refusal,
        Store,
    },
    process::on_store::{
        BootTime, StoreEntry,
        entry::{MAX_READY_AGE, READ_WAIT, unix_ms},
    },
    utils::{Name, lock},
    workload::{Job, JobLookup, MAX_JOB_NAME_BYTES},
};

/// How long the answer to a query about a running job waits for the job's end. Callers query when
/// their work is done, and the store learns of that about 30 ms later. If the answer were
/// `running` in between, they would learn of the end only with their next query.
const END_WAIT: Duration = Duration::from_millis(100);

/// Multiple of the store's usual delay that is added to [`END_WAIT`]: an end is reported, read by
/// the planner, planned, and read by this entry.
const END_WAIT_STORE_DELAYS: u32 = 4;

/// Share of the time that a caller waits that may be spent on waiting for the end.
const END_PATIENCE_SHARE: f64 = 0.1;

impl<S: Store, A: Advisor> StoreEntry<S, A> {
    /// Looks a job up; if it is running, waits a moment for its end.
    async fn look_up_awaiting_end(&self, req: &CallerRequest, name: &Name) -> JobLookup {
        let found = self.look_up(name).await;
        if found != JobLookup::Known(JobState::Running) {
            return found;
        }
        let delay = lock(&self.state).store_delay;
        let limit = req.patience.mul_f64(END_PATIENCE_SHARE);
        let deadline = Instant::now() + (END_WAIT + delay * END_WAIT_STORE_DELAYS).min(limit);
        let watch = self.job_read_pause.watch();
        loop {
            let folded = watch.folded();
            let found = lock(&self.state).job_table.look_up(name);
            if found != JobLookup::Known(JobState::Running) {
                return found;
            }
            if timeout_at(deadline, folded).await.is_err() {
                return found;
            }
        }
    }

    /// Looks a job up in a job table that is as current as the store's answers allow.
    pub(super) async fn look_up(&self, name: &Name) -> JobLookup {
        self.catch_up_jobs().await;
        let found = lock(&self.state).job_table.look_up(name);
        if found != JobLookup::Unknown {
            return found;
        }
        // Another entry may have accepted the job since the last applied read was answered.
        self.await_next_read().await;
        lock(&self.state).job_table.look_up(name)
    }

    /// Returns the answer for a job that the job table lacks. Only a current table can show that
    /// there is no such job; otherwise the request is refused.
    pub(super) fn unknown_job_answer(&self) -> CallerAnswer {
        let current_at = lock(&self.state).job_table_current_at;
        if current_at.is_some_and(|p| p.elapsed() < MAX_READY_AGE) {
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
        let configuration_age = state.operators_current_at.map(BootTime::elapsed);
        let has_read_jobs = state.job_table_current_at.is_some();
        drop(state);
        let max_age = self.settings.bounds.max_configuration_age();
        if configuration_age.is_none_or(|age| age > max_age) || !has_read_jobs {
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

impl<S: Store, A: Advisor> CallerHandler for StoreEntry<S, A> {
    async fn call(&self, req: CallerRequest) -> CallerAnswer {
        let admitted = match self.admit(&req) {
            Ok(admitted) => admitted,
            Err(answer) => return answer,
        };
        let name = admitted.job.clone();
        match &req.call {
            CallerCall::Query if name.is_empty() => {
                CallerAnswer::Pending(lock(&self.state).job_table.pending(&admitted.queue.name))
            }
            CallerCall::Query => match self.look_up_awaiting_end(&req, &name).await {
                JobLookup::Known(state) => CallerAnswer::State(state),
                JobLookup::Unknown => self.unknown_job_answer(),
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
        let current = |current_at: Option<BootTime>, max_age: Duration| {
            current_at.is_some_and(|p| p.elapsed() < max_age)
        };
        let bounds = &self.settings.bounds;
        let wait = bounds.max_operators_wait().max(READ_WAIT);
        let max_configuration_age = MAX_READY_AGE + (wait - READ_WAIT) * 2;
        state.configuration.is_some()
            && current(
                state.operators_current_at,
                max_configuration_age.min(bounds.max_configuration_age()),
            )
            && current(state.job_table_current_at, MAX_READY_AGE)
            && !self.stopping.load(Ordering::Relaxed)
    }
}

/// Returns whether the store can tell apart the records of jobs with such names: the name is not
/// empty and fits into a record's key.
fn is_storable(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_JOB_NAME_BYTES
}
