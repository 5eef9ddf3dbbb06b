//! The cases: what is sent, what is disrupted, and the check of the rule.

use std::{
    collections::BTreeMap,
    sync::Arc,
    thread,
    time::Duration,
};

use crate::{
    deployment::{Deployment, SURE_KEY},
    net::Record,
    worker::{Capacity, Start},
};

/// `Err` tells how the rule was broken.
type Verdict = Result<(), String>;

/// The zones of hmv-scaling, each with one of its racks.
const PLACES: [(&str, &str); 3] = [("murau", "r1-1"), ("judenburg", "r2-1"), ("leoben", "r3-1")];

/// The workers of hmv-scaling.
const WORKER: Capacity = Capacity {
    cpu: 64_000,
    mem_mb: 131_072,
    gpu: 8,
};

const FINISH: Duration = Duration::from_secs(14);

fn pause(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

fn job_of(start: &Start) -> &str {
    start.task.split('.').next().unwrap_or_default()
}

fn all_need(needs: Capacity) -> Arc<dyn Fn(&str) -> Capacity + Send + Sync> {
    Arc::new(move |_| needs)
}

/// RECLAIM: a guaranteed job comes while tasks that last fill the workers.
pub fn reclaim(record: &Record, trouble: bool) -> Verdict {
    const RECLAIM_MS: u64 = 2_900;
    let deployment = Deployment::start(record.clone(), 2, 3);
    let needs = Capacity {
        cpu: 26_000,
        mem_mb: 38_000,
        gpu: 8,
    };
    for number in 0..3 {
        let (zone, rack) = PLACES[number];
        deployment.add_worker(number, zone, rack, WORKER, all_need(needs));
    }
    deployment.wait_ready();
    pause(2_500);
    let step = "\"cpu\":26000,\"mem_mb\":38000,\"gpu\":8";
    let (spec, lasts) = match trouble {
        true => ("lasts", ",\"long_running\":true"),
        false => ("done 60000", ",\"estimate_ms\":60000"),
    };
    let body = format!("{{\"spec\":\"{spec}\",\"steps\":[{{\"count\":3,{step}{lasts}}}]}}");
    if !deployment.submit(0, "0000000000ec0000", &body) {
        crate::cannot_run("the first job was not accepted");
    }
    pause(5_000);
    let sure = "0000000000ec0001";
    let path = format!("/u/{sure}");
    let body = format!("{{\"spec\":\"done 2500\",\"steps\":[{{\"count\":1,{step},\"estimate_ms\":2500}}]}}");
    let (status, _) = deployment.call_at(0, "POST", &path, SURE_KEY, &body);
    if status != 200 {
        crate::cannot_run("the guaranteed job was not accepted");
    }
    let confirmed = record.ms();
    pause(30_000);
    let (_, shown) = deployment.call_at(0, "GET", &path, SURE_KEY, "");
    let starts = deployment.history.starts.lock().expect("the lock").clone();
    let begun = starts.iter().find(|s| job_of(s) == sure);
    let after = begun.map(|s| s.at_ms.saturating_sub(confirmed));
    match after {
        Some(ms) if ms <= RECLAIM_MS => Ok(()),
        _ => Err(format!(
            "RECLAIM: a job of priority 0 within its tenant's guarantee has begun after {after:?} ms, the bound is {RECLAIM_MS} ms; it is shown as {}",
            shown.text("state")
        )),
    }
}

/// LOST: jobs come after a flawed heartbeat of another writer under the name of each worker.
pub fn heartbeat(record: &Record, trouble: bool) -> Verdict {
    const JOBS: usize = 8;
    let deployment = Deployment::start(record.clone(), 2, 3);
    let needs = Capacity {
        cpu: 7_500,
        mem_mb: 20_000,
        gpu: 1,
    };
    let workers = (0..3).map(|number| {
        let (zone, rack) = PLACES[number];
        deployment.add_worker(number, zone, rack, WORKER, all_need(needs))
    });
    let workers: Vec<_> = workers.collect();
    deployment.wait_ready();
    pause(3_000);
    if trouble {
        for worker in &workers {
            record.line(format!(
                "another writer: a heartbeat for {}, fields are missing",
                worker.id
            ));
            worker.send(&worker.flawed_heartbeat(1_000_000));
        }
    }
    pause(2_000);
    let mut accepted = Vec::new();
    for number in 0..JOBS {
        let job = format!("{:016x}", 0xbe_0000 + number);
        let body = "{\"spec\":\"done 2500\",\"steps\":[{\"count\":1,\"cpu\":7500,\"mem_mb\":20000,\"gpu\":1,\"estimate_ms\":2500}]}";
        if deployment.submit(number % 2, &job, body) {
            accepted.push(job);
        }
        pause(1_000);
    }
    thread::sleep(FINISH + Duration::from_secs(2));
    check_begun(&deployment, &accepted, JOBS / 2)
}

/// Checks, `FINISH` after the end of the traffic, that no accepted job waits for its first start while
/// all workers have been idle for 7 s: the 3 s of the rule, and 4 s of calm before them.
fn check_begun(deployment: &Deployment, accepted: &[String], least: usize) -> Verdict {
    if accepted.len() < least {
        crate::cannot_run("too few jobs were accepted");
    }
    let starts = deployment.history.starts.lock().expect("the lock").clone();
    let ends = deployment.history.ends.lock().expect("the lock").clone();
    let last = ends.iter().map(|e| e.0).chain(starts.iter().map(|s| s.at_ms)).max();
    let idle_ms = deployment.record.ms() - last.unwrap_or(0);
    let begun: Vec<&str> = starts.iter().map(job_of).collect();
    let waiting = accepted.iter().filter(|j| !begun.contains(&j.as_str()));
    let waiting: Vec<&String> = waiting.collect();
    deployment.record.line(format!(
        "{} jobs accepted, {} of them never started; the workers have been idle for {idle_ms} ms",
        accepted.len(),
        waiting.len()
    ));
    match waiting.first() {
        Some(first) if idle_ms > 7_000 => Err(format!(
            "LOST: {} of {} accepted jobs have nothing running on idle workers, {} ms after the end of the traffic; the first is shown as {}",
            waiting.len(),
            accepted.len(),
            FINISH.as_millis() + 2_000,
            deployment.state(0, first)
        )),
        _ => Ok(()),
    }
}

/// BUDGET: a task that fails in a job that also has a step that lasts.
pub fn attempts(record: &Record, trouble: bool) -> Verdict {
    const MAX_ATTEMPTS: usize = 3;
    let deployment = Deployment::start(record.clone(), 2, MAX_ATTEMPTS as u32);
    let needs = Capacity {
        cpu: 5_600,
        mem_mb: 15_000,
        gpu: 1,
    };
    for number in 0..3 {
        let (zone, rack) = PLACES[number];
        deployment.add_worker(number, zone, rack, WORKER, all_need(needs));
    }
    deployment.wait_ready();
    pause(2_500);
    let how = if trouble { "failed" } else { "done" };
    let job = "00000000000a7700";
    let step = "\"count\":1,\"cpu\":5600,\"mem_mb\":15000,\"gpu\":1,\"estimate_ms\":300";
    let body = format!(
        "{{\"spec\":\"{how} 300\",\"steps\":[{{{step}}},{{{step},\"after\":[0],\"long_running\":true}}]}}"
    );
    if !deployment.submit(0, job, &body) {
        crate::cannot_run("the job was not accepted");
    }
    pause(20_000);
    let state = deployment.state(0, job);
    let noted = deployment.history.noted.lock().expect("the lock").clone();
    let starts = deployment.history.starts.lock().expect("the lock").clone();
    let mut failed: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for end in noted.iter().filter(|n| n.how == "failed") {
        failed.entry(&end.task).or_default().push(end.at_ms);
    }
    for (task, at) in failed {
        // Tasks that last have no such limit.
        let lasts = task.split('.').nth(2) == Some("1");
        let Some(spent) = at.get(MAX_ATTEMPTS - 1).filter(|_| !lasts) else {
            continue;
        };
        let over = starts.iter().filter(|s| s.task == task && s.at_ms > *spent).count();
        if over > 0 {
            return Err(format!(
                "BUDGET: {over} starts of {task} after {MAX_ATTEMPTS} runs of it had ended failed and were taken note of; the job is shown as {state}"
            ));
        }
    }
    Ok(())
}
