//! Measures the time of one scheduler decision at several cluster sizes:
//! `cargo bench --bench costs`.
//!
//! Workers have 8 accelerators each. A rack has three workers; clusters of up to 110 workers have 3
//! failure domains, larger ones 20. Borrowing jobs run on half of the workers, and 160 workspaces
//! have guarantees on a third of them.

use std::sync::Arc;

use divan::Bencher;
use dragonflyrun::{
    Document, JobSpec, Name, Timestamp,
    job::{Decision, JobId, LiveJob, Scheduler, WorkerInfo},
    version::{Adjacency, FailureDomain, Guarantee, Section, Urgency, Version, Workspace},
};

const SIZES: [u32; 4] = [11, 110, 1_100, 5_500];
const ACCELERATORS: u32 = 8;
const WORKSPACES: u32 = 160;

/// A time long after the workers have reported for the first time.
const NOW: Timestamp = Timestamp::from_millis(100_000);

fn main() {
    divan::main();
}

/// Starts and ends a gang of 8 tasks with one accelerator each in one rack.
#[divan::bench(args = SIZES)]
fn place_gang_of_8(bencher: Bencher<'_, '_>, workers: u32) {
    let mut cluster = Cluster::new(workers);
    let spec = spec(8, 1, Adjacency::Rack);
    bencher.bench_local(|| cluster.start_and_end(&spec));
}

/// Starts and ends a gang of 256 tasks with one accelerator each on any workers.
#[divan::bench(args = &SIZES[1..])]
fn place_gang_of_256(bencher: Bencher<'_, '_>, workers: u32) {
    let mut cluster = Cluster::new(workers);
    let spec = spec(256, 1, Adjacency::Any);
    bencher.bench_local(|| cluster.start_and_end(&spec));
}

/// Fails to place a gang of two whole workers that may evict no job.
#[divan::bench(args = SIZES)]
fn fail_to_place(bencher: Bencher<'_, '_>, workers: u32) {
    let mut cluster = Cluster::new(workers);
    cluster.fill();
    let spec = spec(2, ACCELERATORS, Adjacency::Rack);
    bencher.bench_local(|| {
        cluster.submit(&spec);
        let decisions = cluster.scheduler.decide(NOW);
        assert!(decisions.is_empty());
        cluster.end();
    });
}

/// Reclaims a guarantee of two whole workers in a rack that borrowers use: the evicted jobs stop,
/// the owner's job starts and ends, and the borrowers start again.
#[divan::bench(args = SIZES)]
fn reclaim_guarantee(bencher: Bencher<'_, '_>, workers: u32) {
    let mut cluster = Cluster::new(workers);
    cluster.fill();
    let spec = JobSpec {
        workspace: "workspace-0".into(),
        ..spec(2, ACCELERATORS, Adjacency::Rack)
    };
    bencher.bench_local(|| cluster.reclaim(&spec));
}

/// Loses a worker, so that the allotments on it move, and adds it again.
#[divan::bench(args = SIZES)]
fn lose_worker(bencher: Bencher<'_, '_>, workers: u32) {
    let mut cluster = Cluster::new(workers);
    let lost = worker(workers - 1, workers);
    bencher.bench_local(|| {
        cluster.scheduler.worker_down(NOW, &lost.name);
        cluster.scheduler.decide(NOW);
        cluster.scheduler.worker_up(NOW, lost.clone());
        cluster.scheduler.decide(NOW)
    });
}

struct Cluster {
    scheduler: Scheduler,
    accepted: u64,
    last_job: LiveJob,
    running: Vec<LiveJob>,
}

impl Cluster {
    fn new(workers: u32) -> Self {
        let mut scheduler = Scheduler::new();
        scheduler.configure(&Arc::new(Version::new(1, document(workers))));
        for number in 0..workers {
            scheduler.worker_up(Timestamp::default(), worker(number, workers));
        }
        scheduler.decide(NOW);
        let mut cluster = Self {
            scheduler,
            accepted: 0,
            last_job: live(0, &spec(1, 1, Adjacency::Any)),
            running: Vec::new(),
        };
        for number in 0..workers / 2 {
            let accelerators = 1 + number % 4;
            cluster.start(&spec(1, accelerators, Adjacency::Worker));
        }
        cluster
    }

    /// Fills all free accelerators with borrowing jobs.
    fn fill(&mut self) {
        for accelerators in [8, 4, 2, 1] {
            while self.start(&spec(1, accelerators, Adjacency::Worker)) {}
            self.end();
        }
    }

    fn submit(&mut self, spec: &JobSpec) {
        self.accepted += 1;
        self.last_job = live(self.accepted, spec);
        self.scheduler.job_waits(NOW, &self.last_job);
    }

    fn end(&mut self) {
        self.scheduler.job_gone(NOW, &self.last_job.job);
    }

    /// Submits a job that keeps running, and returns whether it has started.
    fn start(&mut self, spec: &JobSpec) -> bool {
        self.submit(spec);
        let started = self.scheduler.decide(NOW).len() == 1;
        if started {
            self.running.push(self.last_job.clone());
        }
        started
    }

    fn start_and_end(&mut self, spec: &JobSpec) {
        self.submit(spec);
        assert_eq!(self.scheduler.decide(NOW).len(), 1, "the job should start");
        self.end();
    }

    fn reclaim(&mut self, spec: &JobSpec) {
        self.submit(spec);
        let evicted: Vec<JobId> = self
            .scheduler
            .decide(NOW)
            .into_iter()
            .map(evicted_job)
            .collect();
        assert!(!evicted.is_empty());
        for job in evicted {
            let stopped = self.running.iter().find(|j| j.job == job);
            self.scheduler
                .job_waits(NOW, stopped.expect("the job is running"));
        }
        let started = self.scheduler.decide(NOW);
        assert!(matches!(&started[0], Decision::Start { job, .. } if *job == self.last_job.job));
        self.end();
        self.scheduler.decide(NOW);
    }
}

fn evicted_job(decision: Decision) -> JobId {
    match decision {
        Decision::Evict { job, .. } => job,
        other => panic!("expected an eviction, not {other:?}"),
    }
}

fn live(accepted: u64, spec: &JobSpec) -> LiveJob {
    let job = format!("job-{accepted}").into();
    LiveJob::new(job, spec.clone(), accepted)
}

fn spec(tasks: u32, accelerators: u32, adjacency: Adjacency) -> JobSpec {
    JobSpec {
        workspace: Name::from("borrower"),
        urgency: Urgency::Normal,
        tasks,
        accelerators,
        adjacency,
        run_time_ms: 600_000,
        program: Name::from(""),
    }
}

fn domains(workers: u32) -> u32 {
    match workers {
        0..=110 => 3,
        _ => 20,
    }
}

fn worker(number: u32, workers: u32) -> WorkerInfo {
    let rack = number / 3;
    WorkerInfo {
        name: format!("worker-{number}").into(),
        rack: format!("rack-{rack}").into(),
        failure_domain: format!("domain-{}", rack % domains(workers)).into(),
        accelerators: ACCELERATORS,
    }
}

fn document(workers: u32) -> Document {
    let domain = |number: u32| FailureDomain {
        name: format!("domain-{number}").into(),
        region: None,
        in_service: true,
    };
    // Each guarantee covers two workers; together they cover a third of all workers.
    let promised = (workers / 6).max(1);
    let workspace = |number: u32| {
        let guarantee = Guarantee {
            tasks: 2,
            accelerators: ACCELERATORS,
            adjacency: Adjacency::Rack,
        };
        let count = promised / WORKSPACES + u32::from(number < promised % WORKSPACES);
        Workspace {
            name: format!("workspace-{number}").into(),
            guarantees: vec![guarantee; count as usize],
            quota_accelerators: None,
        }
    };
    let section = Section {
        owners: vec!["operations".into()],
        workspaces: (0..WORKSPACES).map(workspace).collect(),
        failure_domains: (0..domains(workers)).map(domain).collect(),
        ..Section::default()
    };
    let mut document = Document::default();
    document.sections.insert("all".into(), Arc::new(section));
    document
}
