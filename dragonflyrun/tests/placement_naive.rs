//! The indexed best-fit placement finds free accelerators whenever a scan of all workers does.

mod seeds;

use std::{collections::BTreeMap, sync::Arc};

use arbtest::arbitrary::{Result, Unstructured};
use dragonflyrun::{
    Document, JobSpec, Name, Timestamp,
    connection::Placement,
    job::{Decision, JobId, LiveJob, Scheduler, WorkerInfo},
    version::{Adjacency, FailureDomain, Section, Urgency, Version},
};

const ADJACENCIES: [Adjacency; 4] = [
    Adjacency::Any,
    Adjacency::FailureDomain,
    Adjacency::Rack,
    Adjacency::Worker,
];

struct Cluster {
    now: Timestamp,
    scheduler: Scheduler,
    workers: Vec<WorkerInfo>,
    jobs: BTreeMap<JobId, LiveJob>,
    accepted: u64,
}

impl Cluster {
    fn any(u: &mut Unstructured<'_>) -> Result<Self> {
        let domain = |number| FailureDomain {
            name: format!("domain-{number}").into(),
            region: None,
            in_service: true,
        };
        let section = Section {
            owners: vec!["operations".into()],
            failure_domains: (0..2).map(domain).collect(),
            ..Section::default()
        };
        let mut document = Document::default();
        document.sections.insert("all".into(), section.into());
        let mut scheduler = Scheduler::new();
        scheduler.configure(&Arc::new(Version::new(1, document)));
        let now = Timestamp::from_millis(1);
        let mut workers = Vec::new();
        for number in 0..u.int_in_range(1..=12)? {
            let rack = u.int_in_range(0..=3)?;
            let worker = WorkerInfo {
                name: format!("worker-{number}").into(),
                rack: format!("rack-{rack}").into(),
                failure_domain: format!("domain-{}", rack % 2).into(),
                accelerators: u.int_in_range(1..=8)?,
            };
            scheduler.worker_up(now, worker.clone());
            workers.push(worker);
        }
        Ok(Self {
            now,
            scheduler,
            workers,
            jobs: BTreeMap::new(),
            accepted: 0,
        })
    }

    fn submit_or_end(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if u.ratio(2, 5)? && !self.jobs.is_empty() {
            let at = u.choose_index(self.jobs.len())?;
            let job = self.jobs.keys().nth(at).cloned().expect("the job is known");
            self.jobs.remove(&job);
            self.scheduler.job_gone(self.now, &job);
            return Ok(());
        }
        self.accepted += 1;
        let job: JobId = format!("job-{}", self.accepted).into();
        let spec = JobSpec {
            workspace: Name::from("workspace"),
            urgency: Urgency::Normal,
            tasks: u.int_in_range(1..=6)?,
            accelerators: u.int_in_range(1..=6)?,
            adjacency: *u.choose(&ADJACENCIES)?,
            run_time_ms: 0,
            program: Name::from(""),
        };
        let live = LiveJob::new(job.clone(), spec, self.accepted);
        self.scheduler.job_waits(self.now, &live);
        self.jobs.insert(job, live);
        Ok(())
    }

    fn decide(&mut self) {
        for decision in self.scheduler.decide(self.now) {
            match decision {
                Decision::Start { job, placements } => self.start(&job, placements),
                other => panic!("{other:?} is not expected"),
            }
        }
    }

    fn start(&mut self, job: &JobId, placements: Vec<Placement>) {
        let spec = self.jobs[job].spec.clone();
        let free = self.free();
        let here = |p: &Placement| {
            let (worker, left) = free
                .iter()
                .find(|(w, _)| w.name == p.worker)
                .expect("known");
            assert!(p.tasks * spec.accelerators <= *left, "{p:?} is not free");
            (*worker, p.tasks * spec.accelerators)
        };
        let taken: Vec<_> = placements.iter().map(here).collect();
        assert_eq!(
            max_tasks(&taken, &spec),
            spec.tasks,
            "{placements:?} for {spec:?}"
        );
        self.jobs.get_mut(job).expect("the job is known").placements = placements;
    }

    fn free(&self) -> Vec<(&WorkerInfo, u32)> {
        let held = |name: &Name| -> u32 {
            let placements = self.jobs.values().flat_map(|j| {
                let here = j.placements.iter().filter(|p| p.worker == *name);
                here.map(|p| p.tasks * j.spec.accelerators)
            });
            placements.sum()
        };
        let workers = self.workers.iter();
        workers
            .map(|w| (w, w.accelerators - held(&w.name)))
            .collect()
    }
}

/// Returns the maximum number of tasks of `spec` that fit within its adjacency, by a scan of all
/// workers.
fn max_tasks(free: &[(&WorkerInfo, u32)], spec: &JobSpec) -> u32 {
    let adjacent = |a: &WorkerInfo, b: &WorkerInfo| match spec.adjacency {
        Adjacency::Any => true,
        Adjacency::FailureDomain => a.failure_domain == b.failure_domain,
        Adjacency::Rack => a.failure_domain == b.failure_domain && a.rack == b.rack,
        Adjacency::Worker => a.name == b.name,
    };
    let around = |a: &WorkerInfo| -> u32 {
        let scope = free.iter().filter(|(b, _)| adjacent(a, b));
        scope.map(|(_, left)| left / spec.accelerators).sum()
    };
    free.iter().map(|(a, _)| around(a)).max().unwrap_or(0)
}

/// Jobs without guarantees come and go. Guards against an index that is wrong after a change, so
/// that a job waits although it fits, or starts on accelerators that aren't free.
#[test]
fn free_slots_found() {
    seeds::each_seed(200, 512, |u| {
        let mut cluster = Cluster::any(u)?;
        while !u.is_empty() {
            cluster.submit_or_end(u)?;
            cluster.decide();
            let free = cluster.free();
            for live in cluster.jobs.values().filter(|j| j.placements.is_empty()) {
                let fits = max_tasks(&free, &live.spec) >= live.spec.tasks;
                assert!(!fits, "{:?} waits although it fits", live.spec);
            }
        }
        Ok(())
    });
}
