//! The cases.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use serde_json::json;
use tokio::time::{Instant, sleep, sleep_until};

use crate::{
    deployment::Deployment,
    record::Record,
    store::Trouble,
    worker::{Shape, Start},
};

/// `finish_s`: this long after the end of the traffic the bench asks for the jobs.
const FINISH: Duration = Duration::from_secs(14);
/// A job that has nothing running for this long, although it could, is lost.
const NOTHING_RUNNING: Duration = Duration::from_secs(3);
/// `cancel_ms`.
const CANCEL: Duration = Duration::from_millis(3_000);
/// Lines of the record about starts of the same kind.
const MOST_LINES: usize = 20;

/// When the process of a machine is killed, in milliseconds, and how soon it is started again.
const KILLS_MS: [u64; 3] = [0, 900, 2_450];
const RESTART: Duration = Duration::from_millis(500);
/// When a partition of the store goes down after the first kill, and for how long.
const PARTITION_DOWN_AFTER: Duration = Duration::from_millis(4_030);
const PARTITION_DOWN: Duration = Duration::from_secs(5);

/// The name of the first job of a case; the others end otherwise.
const JOB: &str = "5c0e7a21d94b36f8";

/// Runs a case; returns whether the rule was broken, `None` if the case couldn't run.
pub async fn run(case: &str, record: Rc<Record>, trouble: bool) -> Option<bool> {
    match case {
        "long-schedule" => long_schedule(record, trouble).await,
        "restarted-agent" => restarted_agent(record, trouble).await,
        "many-ends" => many_ends(record, trouble).await,
        "crash-loop" => crash_loop(record, trouble).await,
        "cancelled-elsewhere" => cancelled_elsewhere(record, trouble).await,
        _ => None,
    }
}

/// A timed job of 39 tasks that is due so often that the record of its plan outgrows the store's limit, and
/// small jobs of other consumers beside it. Without trouble the job has a third of the times.
async fn long_schedule(record: Rc<Record>, trouble: bool) -> Option<bool> {
    let deployment = Deployment::start(record.clone(), 3, 3).await?;
    let shape = Shape::new(100, 64, 120, 0);
    let times = if trouble { 900 } else { 300 };
    let steps = json!({
        "count": 39, "start_at_ms": unix_ms(), "interval_ms": 66, "repeat_count": times,
    });
    if !deployment.submit(0, JOB, shape, steps).await {
        return None;
    }
    let small = Shape::new(1_000, 1_000, 1_500, 0);
    let mut jobs = Vec::new();
    for i in 0..25 {
        let job = format!("5c0e7a21d94b3{i:03x}");
        if deployment
            .submit(i % 3, &job, small, json!({"count": 2}))
            .await
        {
            jobs.push(job);
        }
        sleep(Duration::from_secs(3)).await;
        let store = &deployment.store;
        record.line(&format!(
            "{} starts, {} tasks run, {} appends refused for their size",
            starts(&deployment).len(),
            running(&deployment),
            store.oversized(),
        ));
    }
    record.line("the traffic ends");
    sleep(FINISH).await;
    let lost = standing_still(&deployment, &jobs).await;
    record.line(&format!(
        "{} of {} accepted small jobs have nothing running for 3 s and are not completed",
        lost.len(),
        jobs.len(),
    ));
    Some(!lost.is_empty())
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

/// A large job whose 1,500 small tasks take equally long and end at nearly the same time. Without trouble it has
/// 300 tasks.
async fn many_ends(record: Rc<Record>, trouble: bool) -> Option<bool> {
    let deployment = Deployment::start(record.clone(), 3, 11).await?;
    let tasks = if trouble { 1_500 } else { 300 };
    let shape = Shape::new(40, 64, 2_500, 0);
    if !deployment
        .submit(0, JOB, shape, json!({"count": tasks}))
        .await
    {
        return None;
    }
    sleep(Duration::from_secs(2)).await;
    let of_workers: Vec<usize> = deployment.workers.iter().map(|w| w.tasks().len()).collect();
    record.line(&format!("tasks that run on the workers: {of_workers:?}"));
    for _ in 0..20 {
        sleep(Duration::from_secs(1)).await;
        if deployment.state(1, JOB).await.1 == "completed" {
            break;
        }
    }
    // The last ends are taken note of within a second.
    sleep(Duration::from_secs(2)).await;
    let all = starts(&deployment);
    let lapsed = all
        .iter()
        .filter(|s| s.ended.is_some_and(|(_, how, _)| how == "lapsed"));
    let lapsed = lapsed.count();
    let again = repeated(&deployment);
    for start in again.iter().take(MOST_LINES) {
        record.line(&format!(
            "worker {}: {} run {} began after a run of it had ended done, which was taken note of",
            start.worker, start.task, start.run,
        ));
    }
    record.line(&format!(
        "{} starts, {} of them repeated; {lapsed} runs lapsed",
        all.len(),
        again.len(),
    ));
    // A lease that lapsed would excuse the starts.
    Some(!again.is_empty() && lapsed == 0)
}

/// The starts that began after another run of their task had ended `done`, with an end that was taken note of.
fn repeated(deployment: &Deployment) -> Vec<Start> {
    let workers = deployment.workers.iter();
    let acked: BTreeMap<&str, u64> = workers.map(|w| (w.id.as_str(), w.acked())).collect();
    let all = starts(deployment);
    let mut done: BTreeMap<&str, Instant> = BTreeMap::new();
    for start in &all {
        if let Some((at, "done", number)) = start.ended
            && number <= acked[start.worker.as_str()]
        {
            let first = done.entry(&start.task).or_insert(at);
            *first = at.min(*first);
        }
    }
    let is_repeated = |s: &&Start| done.get(s.task.as_str()).is_some_and(|at| *at < s.began);
    all.iter().filter(is_repeated).cloned().collect()
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

/// The store turns one entry away. A timed job that another entry has accepted is cancelled there.
async fn cancelled_elsewhere(record: Rc<Record>, trouble: bool) -> Option<bool> {
    let deployment = Deployment::start(record.clone(), 3, 3).await?;
    if trouble {
        deployment.entries[1].store.trouble.set(Trouble::Busy);
        record.line("the store answers all calls of front-1 with 503 and serves the others");
    }
    sleep(Duration::from_millis(300)).await;
    let shape = Shape::new(1_000, 1_000, 1_000, 0);
    let steps = json!({
        "count": 3, "start_at_ms": unix_ms() + 20_000, "interval_ms": 60_000, "repeat_count": 1,
    });
    if !deployment.submit(0, JOB, shape, steps).await {
        return None;
    }
    sleep(Duration::from_millis(300)).await;
    // The consumer asks again until it has a 2xx or a 410, at another entry each time.
    let mut acknowledged = None;
    for attempt in 0..8 {
        let status = deployment.cancel([1, 2, 0][attempt % 3], JOB).await;
        if matches!(status, Some(200..300 | 410)) {
            acknowledged = Some(Instant::now());
            break;
        }
        sleep(Duration::from_secs(1)).await;
    }
    let acknowledged = acknowledged?;
    if trouble {
        sleep(Duration::from_secs(4)).await;
        deployment.entries[1].store.trouble.set(Trouble::None);
        record.line("the store serves front-1 again");
    }
    sleep(Duration::from_secs(22)).await;
    let late = starts(&deployment)
        .into_iter()
        .filter(|s| s.began > acknowledged + CANCEL);
    let late: Vec<Start> = late.collect();
    for start in &late {
        let after = (start.began - acknowledged).as_secs_f64();
        record.line(&format!(
            "worker {}: {} run {} began {after:.1} s after the cancelling was acknowledged",
            start.worker, start.task, start.run,
        ));
    }
    for entry in 0..3 {
        deployment.state(entry, JOB).await;
    }
    Some(!late.is_empty())
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

fn starts(deployment: &Deployment) -> Vec<Start> {
    let workers = deployment.workers.iter();
    workers.flat_map(|w| w.starts.borrow().clone()).collect()
}

fn running(deployment: &Deployment) -> usize {
    deployment.workers.iter().map(|w| w.tasks().len()).sum()
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}
