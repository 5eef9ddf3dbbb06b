//! Runs a workload against a deployment.

use std::{
    io,
    sync::atomic::{AtomicBool, AtomicU32, Ordering},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use dragonflyrun::process::{JobAnswer, JobState};

use crate::{
    backend::answer_to,
    caller::{Caller, Reply, RequestOutcome},
    quickstart::{
        cluster::Cluster,
        outcome::{DrainOutcome, JobOutcome, Outcomes, RequestTally, request_key},
        plan::{DrainPlan, JobPlan, Plan, RequestPlan},
        report,
    },
};

/// Timeout for a job to end.
const JOB_TIMEOUT: Duration = Duration::from_secs(120);

/// Interval at which the state of a job is polled.
const JOB_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between two lines of progress.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);

/// Interval at which the progress thread checks whether the workload has ended.
const PROGRESS_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The progress of the workload.
#[derive(Default)]
pub(super) struct Progress {
    pub(super) jobs: AtomicU32,
    pub(super) requests: AtomicU32,
}

/// Runs the workload and returns its outcome.
pub(super) fn run(plan: &Plan, cluster: &Cluster) -> io::Result<Outcomes> {
    let start = Instant::now();
    let progress = Progress::default();
    let ended = AtomicBool::new(false);
    let workload = &plan.workload;
    let mut outcomes = thread::scope(|scope| {
        scope.spawn(|| print_progress(plan, &progress, start, &ended));
        let jobs: Vec<_> = workload
            .jobs
            .iter()
            .map(|job| scope.spawn(|| run_job(cluster, job, start, &progress)))
            .collect();
        let streams: Vec<_> = workload
            .requests
            .iter()
            .enumerate()
            .map(|(number, stream)| {
                let progress = &progress;
                scope.spawn(move || run_stream(cluster, number, stream, start, progress))
            })
            .collect();
        let drains: Vec<_> = workload
            .drains
            .iter()
            .map(|drain| scope.spawn(|| run_drain(cluster, drain, start)))
            .collect();
        let jobs: Vec<_> = jobs.into_iter().map(join).collect();
        let requests = streams.into_iter().map(join).collect();
        let drains: Vec<_> = drains.into_iter().map(join).collect();
        // This precedes the return of any error, or the scope would wait forever for the progress
        // thread.
        ended.store(true, Ordering::Relaxed);
        io::Result::Ok(Outcomes {
            jobs: jobs.into_iter().collect::<io::Result<_>>()?,
            requests,
            drains: drains.into_iter().collect::<io::Result<_>>()?,
            ..Outcomes::default()
        })
    })?;
    outcomes.intervals = cluster.intervals();
    outcomes.backends = cluster.backend_records();
    outcomes.ended_unix_ms = unix_ms();
    Ok(outcomes)
}

/// Returns the result of a thread, and resumes its panic if it panicked.
fn join<T>(handle: thread::ScopedJoinHandle<'_, T>) -> T {
    handle
        .join()
        .unwrap_or_else(|panic| std::panic::resume_unwind(panic))
}

fn print_progress(plan: &Plan, progress: &Progress, start: Instant, ended: &AtomicBool) {
    let mut next = PROGRESS_INTERVAL;
    while !ended.load(Ordering::Relaxed) {
        if start.elapsed() >= next {
            report::print_progress(plan, progress, start.elapsed());
            next += PROGRESS_INTERVAL;
        }
        thread::sleep(PROGRESS_POLL_INTERVAL);
    }
}

fn sleep_until(start: Instant, after_ms: u64) {
    let at = start + Duration::from_millis(after_ms);
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

fn run_job(
    cluster: &Cluster,
    plan: &JobPlan,
    start: Instant,
    progress: &Progress,
) -> io::Result<JobOutcome> {
    sleep_until(start, plan.after_ms);
    let submitted = Instant::now();
    let caller = cluster.caller(plan.after_ms as usize);
    let mut outcome = JobOutcome {
        job: plan.job.clone(),
        end: None,
        refusal: String::new(),
        placements: Vec::new(),
        attempts: 0,
        duration: Duration::ZERO,
    };
    match caller.submit(&plan.job, &plan.spec)? {
        // The same entry is polled, because another one may not know the job yet.
        JobAnswer::Accepted { .. } => poll_job(&caller, submitted, &mut outcome)?,
        JobAnswer::NotRun { reason, .. } => outcome.refusal = format!("{reason:?}"),
        JobAnswer::Unknown { .. } => outcome.refusal = "not known".to_owned(),
    }
    outcome.duration = submitted.elapsed();
    progress.jobs.fetch_add(1, Ordering::Relaxed);
    Ok(outcome)
}

/// Polls the job until it has ended or [`JOB_TIMEOUT`] is over.
fn poll_job(caller: &Caller, since: Instant, outcome: &mut JobOutcome) -> io::Result<()> {
    while since.elapsed() < JOB_TIMEOUT {
        let status = caller.job(&outcome.job)?;
        outcome.attempts = status.attempt.max(outcome.attempts);
        outcome.end = Some(status.state);
        if !status.placements.is_empty() {
            outcome.placements = status.placements;
        }
        if !matches!(status.state, JobState::Waiting | JobState::Running) {
            return Ok(());
        }
        thread::sleep(JOB_POLL_INTERVAL);
    }
    Ok(())
}

fn run_drain(cluster: &Cluster, plan: &DrainPlan, start: Instant) -> io::Result<DrainOutcome> {
    sleep_until(start, plan.after_ms);
    cluster
        .editor()
        .set_in_service(&plan.failure_domain, false)?;
    let drained_unix_ms = unix_ms();
    sleep_until(start, plan.after_ms + plan.for_ms);
    let returned_unix_ms = unix_ms();
    cluster
        .editor()
        .set_in_service(&plan.failure_domain, true)?;
    Ok(DrainOutcome {
        failure_domain: plan.failure_domain.clone(),
        drained_unix_ms,
        returned_unix_ms,
    })
}

fn run_stream(
    cluster: &Cluster,
    stream: usize,
    plan: &RequestPlan,
    start: Instant,
    progress: &Progress,
) -> RequestTally {
    let mut tally = thread::scope(|scope| {
        let calls: Vec<_> = (0..plan.count)
            .map(|number| {
                scope.spawn(move || {
                    sleep_until(start, plan.after_ms + u64::from(number) * plan.every_ms);
                    let tally = run_request(cluster, stream, number, plan);
                    progress.requests.fetch_add(1, Ordering::Relaxed);
                    tally
                })
            })
            .collect();
        let mut sum = RequestTally::default();
        calls.into_iter().for_each(|call| sum.add(join(call)));
        sum
    });
    tally.service = plan.service.clone();
    tally.times_ms.sort_unstable();
    tally
}

/// Sends one request and repeats it after each refusal until its deadline.
fn run_request(cluster: &Cluster, stream: usize, number: u32, plan: &RequestPlan) -> RequestTally {
    let caller = cluster.caller(number as usize);
    let key = request_key(&plan.service, stream, number);
    let (work_ms, answer_bytes) = (plan.work_ms, plan.answer_bytes);
    let body =
        format!(r#"{{"request":"{key}","work_ms":{work_ms},"answer_bytes":{answer_bytes}}}"#);
    let sent = Instant::now();
    let deadline = Duration::from_millis(plan.deadline_ms);
    let mut tally = RequestTally {
        sent: 1,
        ..RequestTally::default()
    };
    loop {
        let left = deadline.saturating_sub(sent.elapsed());
        // A refused attempt certainly did not run, so the next one has the same number.
        let reply = caller.request(&plan.service, Some(&key), 1, left, body.as_bytes());
        let pause = match reply {
            Reply::Final(RequestOutcome::Done { status, body: got }) => {
                let own = status == 200 && got == answer_to(body.as_bytes(), answer_bytes);
                tally.finish(own, sent.elapsed());
                return tally;
            }
            Reply::Final(RequestOutcome::NotRun {
                reason,
                retry_after_ms,
            }) => {
                tally.reason = format!("{reason:?}");
                Duration::from_millis(retry_after_ms)
            }
            Reply::Final(RequestOutcome::Unknown) | Reply::Broken(_) => {
                tally.unknown = 1;
                return tally;
            }
        };
        if sent.elapsed() + pause >= deadline {
            tally.refused = 1;
            return tally;
        }
        tally.retried += 1;
        thread::sleep(pause);
    }
}

impl RequestTally {
    fn finish(&mut self, own: bool, duration: Duration) {
        if own {
            self.done = 1;
            self.times_ms = vec![u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)];
        } else {
            self.wrong = 1;
        }
    }

    fn add(&mut self, other: Self) {
        self.sent += other.sent;
        self.done += other.done;
        self.refused += other.refused;
        self.retried += other.retried;
        self.unknown += other.unknown;
        self.wrong += other.wrong;
        self.times_ms.extend(other.times_ms);
        if !other.reason.is_empty() {
            self.reason = other.reason;
        }
    }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
