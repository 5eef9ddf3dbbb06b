//! Runs jobs of steps on a deployment in one process, with a store and workers in memory.

use std::{
    fs, io,
    path::Path,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use dragonflyrun::{
    port::{
        AdviceAnswer, AdviceQuestion, Advisor, Append, CallerHandler, Configuration,
        OperatorRecord, Partition, Queue, Service, Store, StoreRecord, Workspace,
    },
    process::{
        Counters,
        on_store::{ApiCall, StepJobView, StoreAgent, StoreBounds, StoreEntry, StoreSettings},
    },
    utils::Name,
    workload::RunId,
};
use serde::Deserialize;
use tokio::{task::LocalSet, time::sleep};

use crate::steps::{
    MemoryStore, MemoryWorker,
    worker::{WorkerLink, WorkerShape},
};

/// The API key of the only workspace.
const WORKSPACE_KEY: &str = "quick-start";

/// Timeout for all jobs to end, far above the usual one or two seconds.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(60);

/// Interval at which the readiness of the entries and the states of the jobs are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The content of the example's `steps.json`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Plan {
    entries: usize,
    workers: usize,
    workers_per_rack: usize,
    accelerators: u64,
    task_ms: u64,
    /// The job files, in the same folder.
    jobs: Vec<String>,
}

/// The outcome of a job.
#[derive(Clone, Debug)]
pub struct StepOutcome {
    /// The job as an entry reports it at its end.
    pub view: StepJobView,
    /// Time from the submission of the first job to the end of this one.
    pub duration: Duration,
}

/// An advisor that is never called, since no queue of the example uses one.
struct NoAdvisor;

impl Advisor for NoAdvisor {
    async fn advise(&self, _question: &AdviceQuestion) -> Option<AdviceAnswer> {
        None
    }
}

type Entry = StoreEntry<MemoryStore, NoAdvisor>;

/// Runs the jobs of an example's folder, prints their outcomes, and returns whether all jobs were
/// completed and each of their tasks ran exactly once.
///
/// # Errors
///
/// If the example cannot be read, a job is not accepted, or the jobs do not end in time.
pub fn run(example: &Path) -> io::Result<bool> {
    let plan: Plan = serde_json::from_slice(&fs::read(example.join("steps.json"))?)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let (outcomes, started) = LocalSet::new().block_on(&runtime, run_plan(example, &plan))?;
    println!(
        "{:<20} {:>10} {:>8}  steps, tasks done",
        "job", "end", "time"
    );
    for outcome in &outcomes {
        let steps = outcome.view.steps.iter();
        let steps: Vec<String> = steps.map(|s| format!("{}/{}", s.done, s.tasks)).collect();
        println!(
            "{:<20} {:>10} {:>6.1} s  {}",
            outcome.view.job,
            outcome.view.state,
            outcome.duration.as_secs_f64(),
            steps.join(" ")
        );
    }
    let tasks: usize = outcomes
        .iter()
        .flat_map(|o| &o.view.steps)
        .map(|s| s.tasks)
        .sum();
    let mut distinct = started.clone();
    distinct.sort_unstable();
    distinct.dedup_by(|a, b| a.task == b.task);
    let each_ran_once = distinct.len() == started.len() && distinct.len() == tasks;
    println!("{} tasks, {} starts", tasks, started.len());
    Ok(each_ran_once && outcomes.iter().all(|o| &*o.view.state == "completed"))
}

async fn run_plan(example: &Path, plan: &Plan) -> io::Result<(Vec<StepOutcome>, Vec<RunId>)> {
    let store = Arc::new(MemoryStore::default());
    let mut entries = Vec::new();
    for number in 0..plan.entries {
        entries.push(start_entry(&store, &format!("entry-{number}"))?);
    }
    let mut workers = Vec::new();
    for number in 0..plan.workers {
        workers.push(start_worker(&store, plan, number)?);
    }
    configure(&store).await?;
    let end = Instant::now() + COMPLETION_TIMEOUT;
    while !entries.iter().all(|e| e.is_ready()) {
        sleep_poll_interval(end).await?;
    }
    let submitted_at = Instant::now();
    let mut names = Vec::new();
    for (number, file) in plan.jobs.iter().enumerate() {
        let body = fs::read(example.join(file))?;
        let name = file.trim_end_matches(".json");
        submit(&entries[number % entries.len()], name, &body).await?;
        names.push(name);
    }
    let mut outcomes = Vec::new();
    for name in names {
        let view = loop {
            let view = query_job(&entries[0], name).await;
            match view.filter(|v| !matches!(&*v.state, "queued" | "running")) {
                Some(view) => break view,
                None => sleep_poll_interval(end).await?,
            }
        };
        outcomes.push(StepOutcome {
            view,
            duration: submitted_at.elapsed(),
        });
    }
    let started = workers.iter().flat_map(|w| w.started_runs.borrow().clone());
    Ok((outcomes, started.collect()))
}

async fn sleep_poll_interval(end: Instant) -> io::Result<()> {
    if Instant::now() > end {
        return Err(io::Error::other(
            "the deployment did not come to its end in time",
        ));
    }
    sleep(POLL_INTERVAL).await;
    Ok(())
}

fn settings(name: &str) -> StoreSettings {
    StoreSettings {
        name: name.into(),
        partitions: 4,
        cpu_millis: None,
        link_bytes_per_s: None,
        store_read_bytes_per_s: None,
        bounds: StoreBounds {
            lease: Duration::from_secs(6),
            revoke: Duration::from_secs(5),
            apply: Duration::from_secs(5),
            keep_ended: Duration::from_secs(120),
            grace: Duration::from_secs(6),
            far_factor: 3.0,
            checkpoint_every: Duration::ZERO,
        },
    }
}

fn counters() -> io::Result<Arc<Counters>> {
    let counters = Counters::new().map_err(|e| io::Error::other(e.to_string()))?;
    Ok(Arc::new(counters))
}

fn start_entry(store: &Arc<MemoryStore>, name: &str) -> io::Result<Arc<Entry>> {
    let entry = StoreEntry::new(settings(name), store.clone(), NoAdvisor, counters()?);
    // `configure` writes the only operator record of the example.
    entry.start(Arc::new(|_: &StoreRecord| {
        Some(OperatorRecord::Configuration(Box::new(configuration())))
    }));
    Ok(entry)
}

fn start_worker(
    store: &Arc<MemoryStore>,
    plan: &Plan,
    number: usize,
) -> io::Result<Rc<MemoryWorker>> {
    let rack = number / plan.workers_per_rack.max(1);
    let worker = MemoryWorker::new(WorkerShape {
        name: format!("worker-{number}").into(),
        failure_domain: format!("domain-{rack}").into(),
        rack: format!("rack-{rack}").into(),
        accelerators: plan.accelerators,
        task_time: Duration::from_millis(plan.task_ms),
    });
    let link = Arc::new(WorkerLink(worker.clone()));
    let name = format!("agent-{number}");
    let agent = StoreAgent::new(settings(&name), store.clone(), link, counters()?);
    agent.start();
    tokio::task::spawn_local(worker.clone().run(agent));
    Ok(worker)
}

fn configuration() -> Configuration {
    Configuration {
        version: 1,
        queues: vec![Queue {
            name: "q".into(),
            host: "quick-start".into(),
            prefix: "/q/".into(),
            service: "svc".into(),
            priority: 1,
            max_attempts: 3,
            stretch: 3.0,
            target: Duration::from_secs(1),
            public: false,
            advice: None,
        }],
        services: vec![Service {
            name: "svc".into(),
            rejects_overload: true,
        }],
        workspaces: vec![Workspace {
            name: "sawmills".into(),
            keys: vec![WORKSPACE_KEY.into()],
            guaranteed_accelerators: 0,
        }],
    }
}

async fn configure(store: &MemoryStore) -> io::Result<()> {
    let append = Append {
        partition: Partition::OPERATOR,
        records: vec![StoreRecord {
            key: Name::from("configuration"),
            value: Some(Vec::new()),
        }],
        writer: None,
        expected_end: None,
    };
    let appended = store.append(&append, COMPLETION_TIMEOUT).await;
    appended.map_err(|e| io::Error::other(e.to_string()))?;
    Ok(())
}

async fn submit(entry: &Entry, name: &str, body: &[u8]) -> io::Result<()> {
    let answer = entry
        .answer_api_call(ApiCall {
            method: "POST",
            path: &format!("/v1/jobs/{name}"),
            key: Some(WORKSPACE_KEY),
            body,
        })
        .await;
    if answer.status != 200 {
        let why = String::from_utf8_lossy(&answer.body).into_owned();
        return Err(io::Error::other(format!("{name} was not accepted: {why}")));
    }
    Ok(())
}

async fn query_job(entry: &Entry, name: &str) -> Option<StepJobView> {
    let answer = entry
        .answer_api_call(ApiCall {
            method: "GET",
            path: &format!("/v1/why/{name}"),
            key: None,
            body: &[],
        })
        .await;
    serde_json::from_slice(&answer.body).ok()
}
