//! A model of the store, the workers and the network between them, for seeded schedules of faults.
//!
//! The decision tables are the real ones. Calls are delayed, executed late, or lose their answers;
//! planners are replaced while they still act; agents freeze, restart and lose the store; workers
//! crash and return under their own name or another one; workers' clocks run slow and the time of
//! day is wrong; agents receive messages that aren't their worker's. All hosts lose power under load,
//! some hosts never return, workers refuse every start, and agents restart again and again.

#![allow(dead_code, reason = "each test uses a part of the model")]

mod agent;
mod faults;
mod planner;
mod progress;
mod store;
mod waits;
mod worker;

use std::{
    collections::BTreeMap,
    ops::Range,
    time::{Duration, Instant}, //
};

use dragonflyrun::{
    utils::Name,
    workload::{
        Job,
        JobRecord,
        JobRequest,
        Resources,
        Step,
        TaskId, //
    },
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use agent::ModelAgent;
use faults::Outages;
use planner::ModelPlanner;
use progress::Progress;
use store::ModelStore;
use waits::Waits;
use worker::{ACCELERATORS, EPOCH_MS, ModelWorker};

/// Simulated milliseconds per step.
const STEP_MS: u64 = 10;

/// The longest lease of a worker in milliseconds.
pub(crate) const LEASE_MS: u64 = 3_000;

/// Number of workers from which on there are jobs that need whole workers.
const LARGE_POOL: usize = 12;

/// The faults of one schedule. All rates but the rare ones are chances per thousand.
#[derive(Clone, Debug)]
pub(crate) struct FaultRates {
    /// Calls to workers that are executed 2 to 12 s late and never answered.
    pub(crate) late_calls: u32,
    /// Calls, reads and appends whose answer is lost.
    pub(crate) lost_answers: u32,
    /// Appends that are executed 1 to 6 s late and never answered.
    pub(crate) late_appends: u32,
    /// The chance per step that a new planner takes over although the current one may be healthy.
    pub(crate) successions: u32,
    /// The chance per step that an agent freezes, restarts or loses the store.
    pub(crate) agent_faults: u32,
    /// The chance per step that a worker crashes.
    pub(crate) crashes: u32,
    /// The chance per step that an agent receives a message that isn't its worker's: a late one of
    /// an earlier incarnation, or one of another writer.
    pub(crate) claims: u32,
    /// The chance that a host's clock is wrong when its worker starts.
    pub(crate) wrong_clocks: u32,
    /// The chance that a session begins without the worker's place at its address, which the agent
    /// obtains later.
    pub(crate) late_places: u32,
    /// The rarer faults.
    pub(crate) rare: RareFaults,
}

/// Faults of which each comes on average once in the given number of milliseconds, 0 for never.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RareFaults {
    /// All hosts lose power at one moment, shortly after jobs were accepted. Nearly all of them return.
    pub(crate) power_losses: u64,
    /// A host is lost for good.
    pub(crate) lost_hosts: u64,
    /// A worker begins to refuse every start, for a while or without end.
    pub(crate) refusals: u64,
    /// An agent begins to restart again and again for a while.
    pub(crate) flaps: u64,
    /// Some workers answer no call for a while and go on with their runs.
    pub(crate) hung_workers: u64,
    /// An agent's reads of orders get no answer for a while, although it goes on reporting.
    pub(crate) lost_reads: u64,
    /// Nobody reaches the store for a while.
    pub(crate) store_cuts: u64,
    /// The planner reads the newest reports again.
    pub(crate) rereads: u64,
    /// A new planner takes over although the current one may be healthy.
    pub(crate) successions: u64,
    /// An agent is away for so long that its session is fenced, and starts again.
    pub(crate) absences: u64,
    /// Nobody can store or read reports for a while.
    pub(crate) report_cuts: u64,
}

/// The model.
pub(crate) struct World {
    pub(crate) now: u64,
    started_at: Instant,
    pub(crate) rng: SmallRng,
    pub(crate) fault_rates: FaultRates,
    pub(crate) store: ModelStore,
    pub(crate) workers: Vec<ModelWorker>,
    pub(crate) agents: Vec<ModelAgent>,
    planners: Vec<ModelPlanner>,
    submitted_jobs: u32,
    /// The shortest and the longest time in milliseconds that a task takes.
    pub(crate) task_ms: Range<u64>,
    /// The number of idle workers whose agents planners keep following closely.
    pub(crate) min_close_workers: usize,
    /// The steps of each job.
    steps: BTreeMap<Name, Vec<Step>>,
    pub(crate) outages: Outages,
    pub(crate) waits: Waits,
    pub(crate) progress: Progress,
    /// Tasks for which a completed run was confirmed to its worker, with the time of the
    /// confirmation.
    pub(crate) confirmed_done: BTreeMap<TaskId, u64>,
    /// The invariant violations found.
    pub(crate) violations: Vec<String>,
}

impl World {
    /// Returns a world with the given number of workers, each with an agent.
    pub(crate) fn new(seed: u64, workers: usize, fault_rates: FaultRates) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let model_workers =
            (0..workers).map(|i| ModelWorker::new(i, 0, EPOCH_MS, rng.random_range(0.98..1.0)));
        let model_workers: Vec<ModelWorker> = model_workers.collect();
        let agents = (0..workers).map(|_| ModelAgent::new()).collect();
        Self {
            now: 0,
            started_at: Instant::now(),
            rng,
            fault_rates,
            store: ModelStore::default(),
            workers: model_workers,
            agents,
            planners: Vec::new(),
            submitted_jobs: 0,
            task_ms: 200..2_500,
            min_close_workers: 0,
            steps: BTreeMap::new(),
            outages: Outages::new(workers),
            waits: Waits::default(),
            progress: Progress::default(),
            confirmed_done: BTreeMap::new(),
            violations: Vec::new(),
        }
    }

    /// Draws whether an event with this chance per thousand occurs.
    pub(crate) fn happens(&mut self, chance: u32) -> bool {
        self.rng.random_range(0..1_000) < chance
    }

    /// Draws whether an event occurs in this step that comes on average every so many milliseconds, 0
    /// for never.
    pub(crate) fn happens_every(&mut self, interval_ms: u64) -> bool {
        interval_ms > 0 && self.rng.random_range(0..interval_ms) < STEP_MS
    }

    /// Returns the current time of the agents' clock.
    pub(crate) fn instant(&self) -> Instant {
        self.started_at + Duration::from_millis(self.now)
    }

    /// Returns the longest time in milliseconds for which a job has waited next to room for it twice
    /// over.
    pub(crate) fn longest_wait_ms(&self) -> u64 {
        self.waits.longest_ms
    }

    /// Returns the longest time in milliseconds for which nothing was started although a job waited next
    /// to room for it and no fault kept everybody from starting it.
    pub(crate) fn longest_gap_ms(&self) -> u64 {
        self.progress.longest_ms
    }

    /// Returns when a run last began, 0 if none did.
    pub(crate) fn last_start(&self) -> u64 {
        let starts = self.workers.iter().map(|w| w.last_start);
        starts.max().unwrap_or(0)
    }

    /// Returns whether a job was started after the last fault that may keep everybody from starting one.
    pub(crate) fn is_served(&self) -> bool {
        self.progress.is_served(self.last_start())
    }

    /// Returns whether any planner can act.
    pub(crate) fn can_plan(&self) -> bool {
        let is_planner = |p: &ModelPlanner| p.holds_term(&self.store);
        !self.outages.is_store_cut(self.now) && self.planners.iter().any(is_planner)
    }

    /// Returns whether a worker takes tasks and nothing keeps its agent from ordering them.
    pub(crate) fn is_usable(&self, i: usize) -> bool {
        let worker = &self.workers[i];
        worker.is_up()
            && worker.refusal(self.now).is_none()
            && agent::is_connected(self, i)
            && !self.outages.is_faulty(self.now, i)
    }

    /// Returns the step of a task.
    pub(crate) fn shape_of(&self, task: &TaskId) -> &Step {
        &self.steps[&task.job][task.step as usize]
    }

    /// Submits a job of two steps. The first step of every third job is a gang. In a large pool every
    /// fourth job is a gang whose tasks need whole workers.
    pub(crate) fn submit(&mut self) {
        let name: Name = format!("job-{}", self.submitted_jobs).into();
        self.submitted_jobs += 1;
        let whole = self.workers.len() >= LARGE_POOL && self.submitted_jobs.is_multiple_of(4);
        let gang = whole || self.submitted_jobs.is_multiple_of(3);
        let first = Step {
            tasks: if whole { 3 } else { 2 },
            needs: Resources {
                cpu_millis: 1_000,
                memory_mb: 1,
                accelerators: if whole { ACCELERATORS } else { 1 },
            },
            estimate_ms: self.estimate_ms(),
            gang,
            ..Step::default()
        };
        let second = Step {
            after: vec![0],
            gang: false,
            tasks: 1,
            needs: Resources {
                accelerators: 1,
                ..first.needs
            },
            ..first.clone()
        };
        self.submit_steps(name, vec![first, second]);
    }

    /// Submits a job of a single task that fits wherever an accelerator is free.
    pub(crate) fn submit_small(&mut self) {
        let name: Name = format!("job-{}", self.submitted_jobs).into();
        self.submitted_jobs += 1;
        let step = Step {
            tasks: 1,
            needs: Resources {
                cpu_millis: 1_000,
                memory_mb: 1,
                accelerators: 1,
            },
            estimate_ms: self.estimate_ms(),
            ..Step::default()
        };
        self.submit_steps(name, vec![step]);
    }

    /// Returns the callers' estimate, which is so long that few runs are stopped as overdue.
    fn estimate_ms(&self) -> u64 {
        (self.task_ms.end / 4).max(800)
    }

    fn submit_steps(&mut self, name: Name, steps: Vec<Step>) {
        self.steps.insert(name.clone(), steps.clone());
        let job = Job {
            name: name.clone(),
            queue: "q".into(),
            service: "svc".into(),
            workspace: Some("w".into()),
            priority: self.submitted_jobs % 2,
            max_attempts: 1_000,
            stretch: 3.0,
            target_ms: 1_000,
            accepted_ms: self.now,
            request: JobRequest {
                payload: "".into(),
                steps,
                occurrences: None,
            },
        };
        self.store.jobs.push(JobRecord::Accepted(Box::new(job)));
    }

    /// Advances the model by one step.
    pub(crate) fn step(&mut self) {
        self.now += STEP_MS;
        self.store.apply_late(self.now);
        self.inject_faults();
        for i in 0..self.workers.len() {
            worker::step(self, i);
            agent::step(self, i);
        }
        worker::step_gangs(self);
        planner::step_all(self);
        self.check_single_runs();
        waits::check(self);
        progress::check(self);
    }

    fn inject_faults(&mut self) {
        faults::inject_rare(self);
        let successions = self.fault_rates.successions;
        let rare = self.fault_rates.rare.successions;
        let replaced = self.happens(successions) || self.happens_every(rare);
        if self.outages.may_claim(self.now) && (replaced || !self.can_plan()) {
            let planner = ModelPlanner::take_over(self);
            self.planners.push(planner);
            self.progress.disturb(self.now);
        }
        let faults = self.fault_rates.agent_faults;
        if self.happens(faults) {
            let i = self.rng.random_range(0..self.agents.len());
            agent::inject_fault(self, i);
        }
        let claims = self.fault_rates.claims;
        if self.happens(claims) {
            let i = self.rng.random_range(0..self.agents.len());
            agent::deliver_claim(self, i);
        }
        let crashes = self.fault_rates.crashes;
        if self.happens(crashes) {
            let i = self.rng.random_range(0..self.workers.len());
            worker::crash(self, i);
        }
    }

    fn check_single_runs(&mut self) {
        let mut seen: BTreeMap<&TaskId, (&str, u32)> = BTreeMap::new();
        let mut duplicates = Vec::new();
        for worker in self.workers.iter().filter(|w| w.is_up()) {
            for run in worker.running.keys() {
                let running = (worker.name.as_str(), run.number);
                if let Some(other) = seen.insert(&run.task, running) {
                    duplicates.push(format!(
                        "{} ms: {} on {other:?} and {running:?}",
                        self.now, run.task
                    ));
                }
            }
        }
        self.violations.extend(duplicates);
    }

    /// Returns whether all submitted jobs have ended.
    pub(crate) fn all_ended(&self) -> bool {
        let ended = self.store.jobs.iter().filter_map(|record| match record {
            JobRecord::Plan(name, Some(plan)) if plan.outcome.is_some() => Some(name),
            _ => None,
        });
        let ended: std::collections::BTreeSet<_> = ended.collect();
        ended.len() == self.submitted_jobs as usize
    }
}

pub(crate) fn planners_mut(world: &mut World) -> &mut Vec<ModelPlanner> {
    &mut world.planners
}
