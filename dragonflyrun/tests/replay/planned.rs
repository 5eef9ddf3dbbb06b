//! The real planner as a policy: its decision table alone, with reports that arrive immediately.

use std::time::Duration;

use dragonflyrun::{
    Timestamp,
    port::{End, EndKind},
    workload::{EntryView, Job, JobRecord, JobRequest, LoadAdmission, LoadPublisher, RunId, Term},
};

use super::{
    Command, Policy, job_name,
    pattern::{PatternJob, objective},
};
use crate::workload_tables::{EPOCH_MS, Harness};

/// Milliseconds between two reports of a worker without changes.
const REPORT_MS: u64 = 1_000;

/// Milliseconds between two passes without changes.
const PASS_MS: u64 = 100;

/// The planner with its simulated workers.
pub(crate) struct Planned {
    harness: Harness,
    next_report_ms: u64,
    next_pass_ms: u64,
    /// The durations of the passes.
    pub(crate) pass_times: Vec<Duration>,
    /// The admission at the entry, if jobs can be refused.
    admission: Option<LoadAdmission>,
    publisher: LoadPublisher,
    /// The number of load records that the planner has written.
    pub(crate) load_records: usize,
}

impl Planned {
    /// Returns the policy for the given number of workers.
    pub(crate) fn new(workers: usize) -> Self {
        let mut harness = Harness::new(workers);
        let queue = harness.configuration.queues[0].clone();
        harness.configuration.queues = (0..3)
            .map(|priority| dragonflyrun::port::Queue {
                name: format!("q{priority}").into(),
                priority,
                ..queue.clone()
            })
            .collect();
        Self {
            harness,
            next_report_ms: 0,
            next_pass_ms: 0,
            pass_times: Vec::new(),
            admission: None,
            publisher: LoadPublisher::default(),
            load_records: 0,
        }
    }

    /// Returns the policy with the entry's admission.
    pub(crate) fn with_admission(workers: usize) -> Self {
        Self {
            admission: Some(LoadAdmission::default()),
            ..Self::new(workers)
        }
    }

    fn publish_load(&mut self, now_ms: u64) {
        let load = self.harness.planner.load(TERM, EPOCH_MS + now_ms);
        let due = self.publisher.due(Timestamp::from_millis(now_ms), load);
        if let (Some(load), Some(admission)) = (due, &mut self.admission) {
            self.load_records += 1;
            admission.apply(load);
        }
    }
}

/// The planner's term in a replay.
const TERM: u64 = 1;

fn pattern_job(number: usize, job: &PatternJob) -> Job {
    let (stretch, target_ms) = objective(job.priority);
    Job {
        name: job_name(number),
        queue: format!("q{}", job.priority).into(),
        service: "svc".into(),
        workspace: Some("w".into()),
        priority: job.priority,
        max_attempts: 4,
        stretch,
        target_ms,
        accepted_ms: EPOCH_MS + job.at_ms,
        request: JobRequest {
            payload: "text".into(),
            steps: job.steps.iter().map(super::PatternStep::step).collect(),
            occurrences: None,
        },
    }
}

fn worker_name(worker: usize) -> String {
    format!("w{worker}")
}

impl Policy for Planned {
    fn submit(&mut self, number: usize, job: &PatternJob) {
        let record = JobRecord::Accepted(Box::new(pattern_job(number, job)));
        self.harness.planner.apply_job_record(&record);
        self.next_pass_ms = 0;
    }

    fn refuse(&mut self, now_ms: u64, number: usize, job: &PatternJob) -> Option<u64> {
        let admission = self.admission.as_mut()?;
        let job = pattern_job(number, job);
        let now = Timestamp::from_millis(now_ms);
        let view = EntryView {
            now,
            unix_ms: EPOCH_MS + now_ms,
            term: &Term {
                number: TERM,
                ..Term::default()
            },
            reads_current: true,
        };
        let refusal = admission.check(&view, &job, || false)?;
        let refusal = admission.refuse(now, &job.name, refusal);
        Some(refusal.retry_after.as_millis() as u64)
    }

    fn cancel(&mut self, number: usize) {
        let record = JobRecord::Cancelled(job_name(number));
        self.harness.planner.apply_job_record(&record);
        self.next_pass_ms = 0;
    }

    fn run_ended(&mut self, worker: usize, run: &RunId, kind: EndKind, saved_ms: u64) {
        self.harness.change_report(&worker_name(worker), |report| {
            report.running.retain(|r| r.run != *run);
            let last = report.ends.last().map(|e| e.number);
            report.ends.push(End {
                number: last.unwrap_or(report.sequence * 100) + 1,
                run: run.clone(),
                kind,
                checkpoint: if saved_ms > 0 {
                    saved_ms.to_string()
                } else {
                    String::new()
                },
            });
        });
        self.next_pass_ms = 0;
    }

    fn worker_changed(&mut self, worker: usize, is_present: bool) {
        self.harness.change_report(&worker_name(worker), |report| {
            report.closed = !is_present;
            report.running.clear();
            report.ends.clear();
            if is_present {
                report.session += 1;
                report.sequence = 0;
                report.heartbeat.born_ms += 1;
            }
        });
        self.next_pass_ms = 0;
    }

    fn domain_changed(&mut self, domain: &str, out: bool) {
        if out {
            self.harness.evacuated.insert(domain.into());
        } else {
            self.harness.evacuated.remove(domain);
        }
    }

    fn decide(&mut self, now_ms: u64) -> Vec<Command> {
        self.harness.now_ms = now_ms;
        if now_ms >= self.next_report_ms {
            self.next_report_ms = now_ms + REPORT_MS;
            self.harness.report_all();
        }
        if now_ms < self.next_pass_ms {
            return Vec::new();
        }
        self.next_pass_ms = now_ms + PASS_MS;
        let started_at = std::time::Instant::now();
        let decisions = self.harness.pass();
        self.pass_times.push(started_at.elapsed());
        self.publish_load(now_ms);
        let mut commands = Vec::new();
        for order in decisions.orders {
            let worker = order.worker.trim_start_matches('w').parse();
            let worker: usize = worker.expect("a worker of the pattern");
            let stops = order.order.stops.into_iter();
            commands.extend(stops.map(|run| Command::Stop { run }));
            for start in order.order.starts {
                commands.push(Command::Start {
                    run: start.run,
                    worker,
                    done_ms: start.checkpoint.parse().unwrap_or(0),
                });
            }
        }
        commands
    }
}
