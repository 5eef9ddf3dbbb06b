//! The cases.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use serde_json::json;
use tokio::time::{Instant, sleep, sleep_until};

use crate::{
    deployment::Deployment,
    record::Record,
    worker::{Shape, Start, Worker},
};

/// `finish_s`: this long after the end of the traffic the bench asks for the jobs.
const FINISH: Duration = Duration::from_secs(14);
/// A job that has nothing running for this long, although it could, is lost.
const NOTHING_RUNNING: Duration = Duration::from_secs(3);

/// When the process of a machine is killed, in milliseconds, and how soon it is started again.
const KILLS_MS: [u64; 3] = [0, 900, 2_450];
const RESTART: Duration = Duration::from_millis(500);
/// When a partition of the store goes down after the first kill, and for how long.
const PARTITION_DOWN_AFTER: Duration = Duration::from_millis(4_030);
const PARTITION_DOWN: Duration = Duration::from_secs(5);

/// How long a share of the orders has no answer (`applied_late`).
const LATE_ORDERS: Duration = Duration::from_millis(5_500);
/// `drain_ms`.
const DRAIN: Duration = Duration::from_millis(2_000);

/// The name of the first job of a case; the others end otherwise.
const JOB: &str = "5c0e7a21d94b36f8";

/// Runs a case; returns whether the rule was broken, `None` if the case couldn't run.
pub async fn run(case: &str, record: Rc<Record>, trouble: bool) -> Option<bool> {
    match case {
        "restarted-agent" => restarted_agent(record, trouble).await,
        "repeated-starts" => repeated_starts(record, trouble).await,
        "crash-loop" => crash_loop(record, trouble).await,
        _ => None,
    }
}

/// Jobs that are not completed and of which nothing runs for 3 s.
async fn standing_still(deployment: &Deployment, jobs: &[String]) -> Vec<String> {
    let mut still: BTreeSet<&String> = jobs.iter().collect();
    let end = Instant::now() + NOTHING_RUNNING;
    while Instant::now() < end {
        let tasks: Vec<String> = deployment.workers.iter().flat_map(|w| w.tasks()).collect();
        still.retain(|job| !tasks.iter().any(|task| task.starts_with(job.as_str())));
        sleep(Duration::from_millis(20)).await;
    }
    let mut found = Vec::new();
    for job in still {
        if deployment.state(1, job).await.1 != "completed" {
            found.push(job.clone());
        }
    }
    found
}

/// The tasks of a lasting job fail again and again, and a gang of another job needs 5 of 11 whole workers.
/// Without trouble they don't fail.
async fn crash_loop(record: Rc<Record>, trouble: bool) -> Option<bool> {
    let deployment = Deployment::start(record.clone(), 3, 11).await?;
    let lasting = if trouble {
        Shape {
            fails: true,
            ..Shape::new(1_000, 1_000, 400, 100)
        }
    } else {
        Shape::new(1_000, 1_000, 600_000, 0)
    };
    let steps = json!({"count": 16, "long_running": true});
    if !deployment.submit(0, JOB, lasting, steps).await {
        return None;
    }
    sleep(Duration::from_secs(12)).await;
    let gang = "5c0e7a21d94b36f9".to_owned();
    let shape = Shape {
        gpu: 8,
        ..Shape::new(4_000, 4_000, 2_000, 0)
    };
    let steps = json!({"count": 5, "gang": true});
    if !deployment.submit(1, &gang, shape, steps).await {
        return None;
    }
    let accepted = Instant::now();
    for _ in 0..15 {
        sleep(Duration::from_secs(2)).await;
        let tasks: Vec<usize> = deployment.workers.iter().map(|w| w.tasks().len()).collect();
        record.line(&format!("tasks that run on the workers: {tasks:?}"));
        if deployment.state(2, &gang).await.1 == "completed" {
            break;
        }
    }
    record.line("the traffic ends");
    sleep(FINISH).await;
    let lost = standing_still(&deployment, std::slice::from_ref(&gang)).await;
    let all = starts(&deployment);
    let of_gang = all.iter().filter(|s| s.task.starts_with(&gang));
    let first = of_gang.map(|s| s.began).min();
    for worker in &deployment.workers {
        let starts = worker.starts.borrow();
        let failed = starts
            .iter()
            .filter(|s| s.ended.is_some_and(|e| e.1 == "failed"));
        record.line(&format!(
            "worker {}: {} starts, {} of them ended failed",
            worker.id,
            starts.len(),
            failed.count(),
        ));
    }
    let waited = first.unwrap_or_else(Instant::now);
    let waited = waited.saturating_duration_since(accepted);
    record.line(&format!(
        "the gang {} {:.1} s after it was accepted; {} starts of the lasting job",
        if first.is_some() {
            "began"
        } else {
            "had not begun"
        },
        waited.as_secs_f64(),
        all.iter().filter(|s| s.task.starts_with(JOB)).count(),
    ));
    Some(!lost.is_empty())
}

/// An agent is killed again and again for 3 s, while its worker runs on. The partition of its reports is down for
/// 5 s, from shortly before its first report of the new session.
async fn restarted_agent(record: Rc<Record>, trouble: bool) -> Option<bool> {
    let deployment = Deployment::start(record.clone(), 3, 4).await?;
    let shape = Shape::new(10_000, 10_000, 25_000, 0);
    if !deployment.submit(0, JOB, shape, json!({"count": 4})).await {
        return None;
    }
    sleep(Duration::from_secs(2)).await;
    let number = deployment
        .workers
        .iter()
        .position(|w| !w.tasks().is_empty())?;
    let worker = deployment.workers[number].clone();
    record.line(&format!("worker {} runs {:?}", worker.id, worker.tasks()));
    let part = deployment.store.partition_of("keyed.workers", &worker.id)?;
    // The worker sends a heartbeat each 1.5 s. The one 1.2 s and the one 2.7 s after the first
    // kill find no agent, and the next one comes after 4.2 s.
    loop {
        sleep(Duration::from_millis(5)).await;
        let reported = deployment.store.appended_at(&part, &worker.id)?;
        let since_beat = worker.beat_at.get().elapsed();
        let is_due =
            since_beat > Duration::from_millis(300) && since_beat < Duration::from_millis(420);
        if is_due && reported.elapsed() > Duration::from_millis(600) {
            break;
        }
    }
    let killed = Instant::now();
    if trouble {
        for after_ms in KILLS_MS {
            sleep_until(killed + Duration::from_millis(after_ms)).await;
            deployment.kill_agent(number);
            record.line(&format!("the agent of {} is killed", worker.id));
            sleep(RESTART).await;
            if !deployment.start_agent(number) {
                return None;
            }
            record.line("it is started again");
        }
    }
    sleep_until(killed + PARTITION_DOWN_AFTER).await;
    if trouble {
        record.line(&format!("the store refuses calls to {part:?}"));
        deployment.store.set_down(Some(part));
    }
    sleep(PARTITION_DOWN).await;
    if trouble {
        deployment.store.set_down(None);
        record.line("the store serves all calls again");
    }
    sleep(Duration::from_secs(5)).await;
    let all = starts(&deployment);
    for start in &all {
        let ended = start.ended.map(|(at, how, _)| (record.at(at), how));
        record.line(&format!(
            "worker {}: {} run {} began at {:.3}, ended: {ended:?}",
            start.worker,
            start.task,
            start.run,
            record.at(start.began),
        ));
    }
    let now = Instant::now();
    let mut doubled = 0;
    for (i, a) in all.iter().enumerate() {
        for b in all.iter().skip(i + 1).filter(|b| b.task == a.task) {
            let end = |s: &Start| s.ended.map_or(now, |(at, _, _)| at);
            let both = end(a)
                .min(end(b))
                .saturating_duration_since(a.began.max(b.began));
            if !both.is_zero() {
                doubled += 1;
                record.line(&format!(
                    "{}: run {} on {} and run {} on {} at the same time for {:.2} s",
                    a.task,
                    a.run,
                    a.worker,
                    b.run,
                    b.worker,
                    both.as_secs_f64()
                ));
            }
        }
    }
    record.line(&format!("{doubled} tasks ran twice at the same time"));
    Some(doubled > 0)
}

/// Half of the orders to a worker have no answer and are carried out late, while a job's tasks are started there and
/// the worker says that it drains.
async fn repeated_starts(record: Rc<Record>, trouble: bool) -> Option<bool> {
    let deployment = Deployment::start(record.clone(), 3, 3).await?;
    // The planner places the whole job on one worker; a first one shows on which.
    let first = Shape::new(200, 200, 500, 0);
    if !deployment.submit(0, JOB, first, json!({"count": 1})).await {
        return None;
    }
    sleep(Duration::from_secs(2)).await;
    let used = |w: &&Rc<Worker>| !w.starts.borrow().is_empty();
    let worker = deployment.workers.iter().find(used)?.clone();
    if trouble {
        let until = Instant::now() + LATE_ORDERS;
        worker.orders_late_until.set(Some(until));
        record.line(&format!(
            "half of the orders to {} have no answer",
            worker.id
        ));
    }
    let job = "5c0e7a21d94b36f9";
    let shape = Shape::new(200, 200, 8_000, 0);
    if !deployment
        .submit(0, job, shape, json!({"count": 200}))
        .await
    {
        return None;
    }
    sleep(Duration::from_millis(300)).await;
    let tasks = worker.tasks().len();
    worker.drain();
    record.line(&format!(
        "{} says that it drains; {tasks} tasks run there",
        worker.id
    ));
    sleep(Duration::from_secs(6)).await;
    let acked = worker.drain_acked_at.get()?;
    record.line(&format!(
        "its agent acknowledged that at {:.3}",
        record.at(acked)
    ));
    let all = worker.starts.borrow().clone();
    let mut broken = 0;
    for start in all.iter().filter(|s| s.began > acked) {
        let after = (start.began - acked).as_secs_f64();
        // An order that a worker carried out late is excused.
        let is_broken = !start.is_late && start.began > acked + DRAIN;
        broken += usize::from(is_broken);
        record.line(&format!(
            "{} run {} began {after:.3} s after that, carried out late: {}",
            start.task, start.run, start.is_late,
        ));
    }
    record.line(&format!("{broken} tasks were started later than drain_ms"));
    Some(broken > 0)
}

fn starts(deployment: &Deployment) -> Vec<Start> {
    let workers = deployment.workers.iter();
    workers.flat_map(|w| w.starts.borrow().clone()).collect()
}
