//! The outcome of a workload, and the violations of guarantees in it.

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

/// The outcome of one job.
#[derive(Clone, Debug)]
pub struct JobOutcome {
    /// The job.
    pub job: JobId,
    /// The last reported state; none if the job was refused.
    pub end: Option<JobState>,
    /// The reason of the refusal; empty if the job was accepted.
    pub refusal: String,
    /// The workers of its last attempt.
    pub placements: Vec<Placement>,
    /// Number of its attempts.
    pub attempts: u32,
    /// Time from its submission to its end.
    pub duration: Duration,
}

/// The outcome of one stream of requests.
#[derive(Clone, Debug, Default)]
pub struct RequestTally {
    /// The service.
    pub service: Name,
    /// Number of requests sent.
    pub sent: u32,
    /// Requests with the complete and correct answer.
    pub done: u32,
    /// Requests that were refused until their deadline.
    pub refused: u32,
    /// Refusals after which the caller retried.
    pub retried: u32,
    /// Requests with unknown outcome.
    pub unknown: u32,
    /// Requests with an incorrect or incomplete answer.
    pub wrong: u32,
    /// The reason of the last refusal; empty if there was none.
    pub reason: String,
    /// The sorted durations of the done requests in milliseconds.
    pub times_ms: Vec<u64>,
}

/// A failure domain that was out of service.
#[derive(Clone, Debug)]
pub struct DrainOutcome {
    /// The failure domain.
    pub failure_domain: Name,
    /// When the drain was accepted, in milliseconds of unix time on the workers' clock.
    pub drained_unix_ms: u64,
    /// When its return to service was requested, in milliseconds of unix time on the workers'
    /// clock.
    pub returned_unix_ms: u64,
}

/// The outcome of a workload.
#[derive(Clone, Debug, Default)]
pub struct Outcomes {
    /// The jobs, in the order of the plan.
    pub jobs: Vec<JobOutcome>,
    /// The streams of requests, in the order of the plan.
    pub requests: Vec<RequestTally>,
    /// The drains, in the order of the plan.
    pub drains: Vec<DrainOutcome>,
    /// The intervals in which tasks ran, from the workers' records.
    pub intervals: Vec<Interval>,
    /// The records of the backend servers.
    pub backends: Vec<BackendRecord>,
    /// When the workload had ended, in milliseconds of unix time on the workers' clock.
    pub ended_unix_ms: u64,
}

impl Outcomes {
    /// Returns a sentence for each violated guarantee.
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

    /// Returns the number of gang members. It is the same in all attempts of the examples' gangs.
    fn members_of(&self, intervals: &[Interval]) -> usize {
        let highest = intervals.iter().map(|i| i.member).max();
        highest.map_or(0, |member| member as usize + 1)
    }
}

/// Returns the service of a key that [`request_key`] has created.
fn service_of(key: &str) -> &str {
    key.rsplit_once('/').map_or(key, |(service, _)| service)
}

/// Returns the key of a request.
pub(super) fn request_key(service: &str, stream: usize, number: u32) -> String {
    format!("{service}/{stream}-{number}")
}
