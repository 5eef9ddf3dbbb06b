//! What became of a workload, and what of that breaks a promise.

use std::time::Duration;

use dragonflyrun::{
    connection::Placement,
    job::{JobId, PARTIAL_BOUND, START_BOUND},
    process::JobState,
    utils::Name,
};

use crate::{
    backend::BackendRecord,
    harness::{longest_partial, overlapping, repeated_keys, starts_in_domain_after},
    quickstart::{Expected, Plan},
    worker::Interval,
};

/// What became of one job.
#[derive(Clone, Debug)]
pub struct JobOutcome {
    /// The job.
    pub job: JobId,
    /// Its end; none where it was refused at once.
    pub end: Option<JobState>,
    /// Why it was refused; empty where it was not.
    pub refusal: String,
    /// Where its last attempt ran.
    pub placements: Vec<Placement>,
    /// Attempts that it duration.
    pub attempts: u32,
    /// Time from its submission to its end.
    pub duration: Duration,
}

/// What became of one stream of requests.
#[derive(Clone, Debug, Default)]
pub struct RequestTally {
    /// The service.
    pub service: Name,
    /// Requests that were sent.
    pub sent: u32,
    /// Those with their own whole answer.
    pub done: u32,
    /// Those that were refused until their deadline.
    pub refused: u32,
    /// Refusals after which the caller tried again.
    pub retried: u32,
    /// Those whose outcome is not known.
    pub unknown: u32,
    /// Those whose answer was not their own or not whole.
    pub wrong: u32,
    /// The last reason of a refusal; empty without one.
    pub reason: String,
    /// The times of those that were done, in milliseconds, in order.
    pub times_ms: Vec<u64>,
}

/// A failure domain that was out of service.
#[derive(Clone, Debug)]
pub struct DrainOutcome {
    /// The failure domain.
    pub failure_domain: Name,
    /// When its edit was accepted, on the workers' clock.
    pub drained_unix_ms: u64,
    /// When it was returned.
    pub returned_unix_ms: u64,
}

/// What became of a whole workload.
#[derive(Clone, Debug, Default)]
pub struct Outcomes {
    /// The jobs, in the order of the plan.
    pub jobs: Vec<JobOutcome>,
    /// The streams of requests, in the order of the plan.
    pub requests: Vec<RequestTally>,
    /// The drains.
    pub drains: Vec<DrainOutcome>,
    /// When which tasks ran, by the workers' own records.
    pub intervals: Vec<Interval>,
    /// What ran, by the backend servers' own records.
    pub backends: Vec<BackendRecord>,
    /// When all had ended, on the workers' clock.
    pub ended_unix_ms: u64,
}

impl Outcomes {
    /// Returns all that was lost, repeated or breaks another promise, each in a sentence.
    pub fn faults(&self, plan: &Plan) -> Vec<String> {
        let mut faults = self.job_faults(plan);
        faults.extend(self.gang_faults(plan));
        faults.extend(self.drain_faults());
        faults.extend(self.request_faults(plan));
        faults
    }

    fn job_faults(&self, plan: &Plan) -> Vec<String> {
        let planned = plan.workload.jobs.iter().zip(&self.jobs);
        let wrong = planned.filter(|(planned, job)| {
            let expected = match planned.expect {
                Expected::Finished => Some(JobState::Finished),
                Expected::Failed => Some(JobState::Failed),
                Expected::Refused => None,
            };
            job.end != expected
        });
        wrong
            .map(|(planned, job)| {
                let (name, end, expect) = (&job.job, job.end, planned.expect);
                format!("Job {name} came to {end:?}, expected was {expect:?}.")
            })
            .collect()
    }

    fn gang_faults(&self, plan: &Plan) -> Vec<String> {
        let now = self.ended_unix_ms;
        let mut faults: Vec<String> = overlapping(&self.intervals, now)
            .iter()
            .map(|job| format!("Two attempts of job {job} ran at the same time."))
            .collect();
        let bound_ms = PARTIAL_BOUND.as_millis();
        for job in &plan.workload.jobs {
            let own: Vec<Interval> = self.intervals_of(&job.job);
            let members = self.members_of(&own);
            let span = longest_partial(&own, members, now);
            if u128::from(span.ms) > bound_ms {
                let (job, ms) = (&span.job, span.ms);
                faults.push(format!("Job {job} ran in part for {ms} ms."));
            }
        }
        faults
    }

    fn drain_faults(&self) -> Vec<String> {
        let bound_ms = u64::try_from(START_BOUND.as_millis()).unwrap_or(u64::MAX);
        let late = self.drains.iter().flat_map(|drain| {
            let from = drain.drained_unix_ms + bound_ms;
            let late = starts_in_domain_after(&self.intervals, &drain.failure_domain, from);
            late.into_iter()
                .filter(|i| i.started_unix_ms < drain.returned_unix_ms)
        });
        late.map(|i| {
            let (job, domain) = (i.job, i.failure_domain);
            format!("A task of job {job} started in {domain} while it was out of service.")
        })
        .collect()
    }

    fn request_faults(&self, plan: &Plan) -> Vec<String> {
        let mut faults: Vec<String> = repeated_keys(&self.backends)
            .iter()
            .filter(|repeated| !plan.is_repeatable(service_of(&repeated.key)))
            .map(|repeated| format!("Key {} ran {} times.", repeated.key, repeated.runs))
            .collect();
        for tally in &self.requests {
            let service = &tally.service;
            if tally.wrong > 0 {
                faults.push(format!("{} answers of {service} were wrong.", tally.wrong));
            }
            if tally.unknown > 0 {
                faults.push(format!(
                    "{} requests of {service} were lost.",
                    tally.unknown
                ));
            }
        }
        faults
    }

    fn intervals_of(&self, job: &str) -> Vec<Interval> {
        let own = self.intervals.iter().filter(|i| *i.job == *job);
        own.cloned().collect()
    }

    /// Returns how many members the gang has; all attempts of the examples' gangs have as many.
    fn members_of(&self, intervals: &[Interval]) -> usize {
        let highest = intervals.iter().map(|i| i.member).max();
        highest.map_or(0, |member| member as usize + 1)
    }
}

/// Returns the service of a key that [`request_key`] made.
fn service_of(key: &str) -> &str {
    key.rsplit_once('/').map_or(key, |(service, _)| service)
}

/// Returns the key of a request.
pub(super) fn request_key(service: &str, stream: usize, number: u32) -> String {
    format!("{service}/{stream}-{number}")
}
