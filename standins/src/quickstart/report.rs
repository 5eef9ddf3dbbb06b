//! The output of the quick start.

use std::{
    sync::atomic::Ordering,
    time::Duration, //
};

use crate::quickstart::{
    cluster::Cluster,
    outcome::{JobOutcome, Outcomes, RequestTally},
    plan::Plan,
    runner::Progress,
};

/// Prints the started processes.
pub(super) fn print_start(plan: &Plan, cluster: &Cluster) {
    println!(
        "started: log service at {}, {} entries, {} workers with an agent and a backend server each",
        cluster.log_address(),
        plan.deployment.entries.len(),
        plan.deployment.workers.len(),
    );
}

/// Prints the progress of the workload.
pub(super) fn print_progress(plan: &Plan, progress: &Progress, elapsed: Duration) {
    let requests: u32 = plan.workload.requests.iter().map(|r| r.count).sum();
    println!(
        "{:>4} s: {} of {} jobs ended, {} of {requests} requests answered",
        elapsed.as_secs(),
        progress.jobs.load(Ordering::Relaxed),
        plan.workload.jobs.len(),
        progress.requests.load(Ordering::Relaxed),
    );
}

/// Prints the outcomes and the violated guarantees.
pub(super) fn print_end(plan: &Plan, outcomes: &Outcomes, faults: &[String]) {
    print_jobs(plan, &outcomes.jobs);
    print_requests(&outcomes.requests);
    for drain in &outcomes.drains {
        let ms = drain.returned_unix_ms - drain.drained_unix_ms;
        println!(
            "failure domain {} was out of service for {ms} ms",
            drain.failure_domain
        );
    }
    println!();
    for fault in faults {
        println!("FAULT: {fault}");
    }
    if faults.is_empty() {
        println!("nothing was lost, nothing was doubled, no gang ran in part");
    }
}

fn print_jobs(plan: &Plan, jobs: &[JobOutcome]) {
    println!();
    println!(
        "{:<26} {:<20} {:>7} {:>9} {:>8} {:>8}  placed on",
        "job", "workspace", "shape", "end", "attempts", "time"
    );
    for (planned, job) in plan.workload.jobs.iter().zip(jobs) {
        let spec = &planned.spec;
        let shape = format!("{}x{}", spec.tasks, spec.accelerators);
        let end = job.end.map_or("refused".to_owned(), |end| {
            format!("{end:?}").to_lowercase()
        });
        println!(
            "{:<26} {:<20} {:>7} {:>9} {:>8} {:>6.1} s  {}",
            job.job,
            spec.workspace,
            shape,
            end,
            job.attempts,
            job.duration.as_secs_f64(),
            placement_text(job),
        );
    }
}

fn placement_text(job: &JobOutcome) -> String {
    if !job.refusal.is_empty() {
        return job.refusal.clone();
    }
    let places = job.placements.iter();
    let places = places.map(|p| format!("{}:{}", p.worker, p.tasks));
    places.collect::<Vec<_>>().join(" ")
}

fn print_requests(tallies: &[RequestTally]) {
    println!();
    println!(
        "{:<26} {:>6} {:>6} {:>8} {:>8} {:>8} {:>10} {:>10}",
        "requests of", "sent", "done", "refused", "retried", "unknown", "median ms", "99% ms"
    );
    for tally in tallies {
        println!(
            "{:<26} {:>6} {:>6} {:>8} {:>8} {:>8} {:>10} {:>10}  {}",
            tally.service,
            tally.sent,
            tally.done,
            tally.refused,
            tally.retried,
            tally.unknown,
            quantile(&tally.times_ms, 0.5),
            quantile(&tally.times_ms, 0.99),
            tally.reason,
        );
    }
}

/// Returns the quantile `fraction` of the sorted `values`; 0 if there are none.
fn quantile(values: &[u64], fraction: f64) -> u64 {
    let last = values.len().saturating_sub(1);
    let index = (last as f64 * fraction).round() as usize;
    values.get(index).copied().unwrap_or(0)
}
