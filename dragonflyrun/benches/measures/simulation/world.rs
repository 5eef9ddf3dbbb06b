//! The event loop: a simulated clock, simulated workers and a planner that carries out the
//! decisions of the policy.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
};

use dragonflyrun::{
    Name, Timestamp,
    connection::Placement,
    job::{Decision, LiveJob, UsageReport, WorkerInfo},
    utils::{HashMap, HashSet},
    version::{Guarantee, Version},
};

use super::{
    Figures, Naive, Policy, Workload,
    workload::{PlannedJob, WorkerSpan},
};

/// Time from a decision to running tasks: reservation, start record and start order.
const START_MS: u64 = 400;

/// Time of a stop with a checkpoint.
const STOP_MS: u64 = 1_500;

/// Time of a stop in which a member doesn't answer: its lease has certainly lapsed by then.
const LEASE_LAPSE_MS: u64 = 6_000;

/// Share of stops in which a member doesn't answer and no checkpoint is saved.
const SILENT_STOP_SHARE: f64 = 0.03;

/// Time to restore a checkpoint at a start, during which no work is done.
const RESTORE_MS: u64 = 5_000;

/// Time after which a dead worker is reported as down to the policy.
const WORKER_SILENCE_MS: u64 = 2_000;

/// Maximum time that an owner may wait for a guaranteed shape: a stop that lapses, a start and two
/// ticks.
pub(crate) const RECLAIM_BOUND_MS: u64 = LEASE_LAPSE_MS + START_MS + 2 * TICK_MS;

/// Interval at which the policy is asked for decisions while nothing else happens.
const TICK_MS: u64 = 1_000;

/// Time of the earliest job; the policy has known the workers for a while by then.
pub(crate) const CLOCK_START_MS: u64 = 10_000;

/// Minimum number of accelerators of a large job: two whole workers.
pub(crate) const LARGE_JOB_ACCELERATORS: u32 = 16;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive(usize),
    Started(usize, u32),
    Ended(usize, u32),
    Stopped(usize, u32),
    Usage(usize),
    DrainStarts,
    DrainEnds,
    OutageStarts,
    OutageEnds,
    WorkerDies(usize),
    WorkerSilent(usize),
    WorkerReturns(usize),
    Cancel(usize),
    Tick,
}

/// The stage of a job in its life cycle.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Stage {
    NotArrived,
    Waiting,
    Starting,
    /// Time since which the job works; in the future while a checkpoint is restored.
    Running(u64),
    /// The job is being stopped; a member may not answer.
    Stopping,
    Ended,
}

#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) plan: PlannedJob,
    pub(super) live: LiveJob,
    pub(super) stage: Stage,
    /// Work saved in checkpoints, in milliseconds.
    saved_ms: u64,
    pub(super) first_start: Option<u64>,
    pub(super) finished: Option<u64>,
    entitled_since: Option<u64>,
    pub(super) refused: bool,
}

impl Job {
    pub(super) fn accelerators(&self) -> u32 {
        self.plan.spec.tasks * self.plan.spec.accelerators
    }

    fn holds_accelerators(&self) -> bool {
        matches!(
            self.stage,
            Stage::Starting | Stage::Running(_) | Stage::Stopping
        )
    }
}

/// One run of one workload under one policy.
pub(crate) struct World<'a> {
    workload: &'a Workload,
    policy: &'a mut dyn Policy,
    now_ms: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    workers: Vec<WorkerInfo>,
    by_name: HashMap<Name, usize>,
    held: Vec<u32>,
    dead: Vec<bool>,
    drained: bool,
    outage_until: Option<u64>,
    jobs: Vec<Job>,
    by_id: HashMap<Name, usize>,
    live: BTreeMap<usize, ()>,
    version: std::sync::Arc<Version>,
    reclaimed_for: HashSet<Name>,
    pub(super) figures: Figures,
}

impl<'a> World<'a> {
    /// Runs `workload` with the jobs of `seed` under `policy` until all jobs have ended.
    pub(crate) fn run(workload: &'a Workload, seed: u64, policy: &'a mut dyn Policy) -> Figures {
        let workers = workload.workers();
        let jobs: Vec<Job> = workload.jobs(seed).into_iter().zip(0..).map(job).collect();
        let mut world = Self {
            workload,
            policy,
            now_ms: 0,
            events: BinaryHeap::new(),
            sequence: 0,
            by_name: workers
                .iter()
                .zip(0..)
                .map(|(w, i)| (w.name.clone(), i))
                .collect(),
            held: vec![0; workers.len()],
            dead: vec![false; workers.len()],
            workers,
            drained: false,
            outage_until: None,
            by_id: jobs
                .iter()
                .zip(0..)
                .map(|(j, i)| (j.live.job.clone(), i))
                .collect(),
            jobs,
            live: BTreeMap::new(),
            version: workload.version(1, None),
            reclaimed_for: HashSet::default(),
            figures: Figures::default(),
        };
        world.prepare();
        while let Some(Reverse((at, _, event))) = world.events.pop() {
            world.record_until(at);
            world.now_ms = at;
            world.handle(event);
            world.decide();
            if event == Event::Tick && !world.is_over() {
                world.count_violations();
                world.push(at + TICK_MS, Event::Tick);
            }
        }
        let mut figures = std::mem::take(&mut world.figures);
        figures.finish(
            &world.jobs,
            world.workers.iter().map(|w| w.accelerators).sum(),
        );
        figures
    }

    fn prepare(&mut self) {
        self.policy.configure(&self.version);
        for worker in &self.workers {
            self.policy.worker_up(Timestamp::default(), worker.clone());
        }
        self.policy.decide(Timestamp::from_millis(CLOCK_START_MS));
        self.now_ms = CLOCK_START_MS;
        for index in 0..self.jobs.len() {
            self.push(
                CLOCK_START_MS + self.jobs[index].plan.arrives_ms,
                Event::Arrive(index),
            );
        }
        let events = self.workload.events.clone();
        self.push(events.drain.from_s * 1_000, Event::DrainStarts);
        self.push(events.drain.to_s * 1_000, Event::DrainEnds);
        for outage in &events.log_outages {
            self.push(outage.from_s * 1_000, Event::OutageStarts);
            self.push(outage.to_s * 1_000, Event::OutageEnds);
        }
        for WorkerSpan {
            worker,
            from_s,
            to_s,
        } in events.lost_workers
        {
            self.push(from_s * 1_000, Event::WorkerDies(worker));
            self.push(
                from_s * 1_000 + WORKER_SILENCE_MS,
                Event::WorkerSilent(worker),
            );
            self.push(to_s * 1_000, Event::WorkerReturns(worker));
        }
        for (cancellation, index) in events.cancellations.iter().zip(0..) {
            self.push(cancellation.at_s * 1_000, Event::Cancel(index));
        }
        self.push(self.now_ms, Event::Tick);
    }

    fn push(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn now(&self) -> Timestamp {
        Timestamp::from_millis(self.now_ms)
    }

    fn is_over(&self) -> bool {
        self.live.is_empty() && self.jobs.iter().all(|j| j.stage == Stage::Ended)
    }

    fn handle(&mut self, event: Event) {
        // Events that need a record on the log wait until the outage ends.
        if let Some(until) = self.outage_until
            && let Event::Arrive(_) | Event::Stopped(..) | Event::Started(..) = event
        {
            self.push(until, event);
            return;
        }
        match event {
            Event::Arrive(index) => self.arrive(index),
            Event::Started(index, attempt) if self.is_current(index, attempt) => {
                self.started(index)
            }
            Event::Ended(index, attempt) if self.is_current(index, attempt) => self.ended(index),
            Event::Stopped(index, attempt) if self.is_current(index, attempt) => {
                self.stopped(index)
            }
            Event::Started(..) | Event::Ended(..) | Event::Stopped(..) => {}
            Event::Usage(index) => {
                let report = UsageReport {
                    job: self.jobs[index].live.job.clone(),
                    ran_ms: self.jobs[index].plan.run_ms,
                    finished: true,
                };
                self.policy.usage(self.now(), &report);
            }
            Event::DrainStarts => self.configure(true),
            Event::DrainEnds => self.configure(false),
            Event::OutageStarts => {
                let outages = &self.workload.events.log_outages;
                let this = outages.iter().find(|o| o.from_s * 1_000 == self.now_ms);
                self.outage_until = this.map(|o| o.to_s * 1_000);
            }
            Event::OutageEnds => self.outage_until = None,
            Event::WorkerDies(worker) => self.dead[worker] = true,
            Event::WorkerSilent(worker) => self.worker_lost(worker),
            Event::WorkerReturns(worker) => {
                self.dead[worker] = false;
                let info = self.workers[worker].clone();
                self.policy.worker_up(self.now(), info);
            }
            Event::Cancel(index) => self.cancel(self.workload.events.cancellations[index].share),
            Event::Tick => {}
        }
    }

    fn is_current(&self, index: usize, attempt: u32) -> bool {
        self.jobs[index].live.attempt == attempt && self.jobs[index].stage != Stage::Ended
    }

    fn arrive(&mut self, index: usize) {
        if !self.policy.is_possible(&self.jobs[index].plan.spec) {
            assert!(
                self.jobs[index].plan.impossible,
                "a possible job was refused"
            );
            self.jobs[index].refused = true;
            self.jobs[index].stage = Stage::Ended;
            return;
        }
        self.live.insert(index, ());
        self.enqueue(index);
    }

    fn enqueue(&mut self, index: usize) {
        self.jobs[index].stage = Stage::Waiting;
        self.jobs[index].live.placements.clear();
        let now = self.now();
        self.policy.job_waits(now, &self.jobs[index].live);
    }

    fn started(&mut self, index: usize) {
        if self.jobs[index].stage != Stage::Starting {
            return;
        }
        let placements = self.jobs[index].live.placements.clone();
        let now = self.now();
        let mut failed = false;
        for p in &placements {
            let worker = self.by_name[&p.worker];
            if self.is_failing(worker) {
                self.policy.start_failed(now, &p.worker);
                failed = true;
            } else if !self.dead[worker] {
                self.policy.start_succeeded(now, &p.worker);
            } else {
                failed = true;
            }
        }
        if failed {
            self.figures.failed_starts += 1;
            self.release(index);
            self.enqueue(index);
            return;
        }
        let job = &mut self.jobs[index];
        job.first_start.get_or_insert(self.now_ms);
        let restored = match job.saved_ms {
            0 => self.now_ms,
            _ => self.now_ms + RESTORE_MS,
        };
        job.stage = Stage::Running(restored);
        let ends = restored + job.plan.run_ms - job.saved_ms;
        let attempt = job.live.attempt;
        self.push(ends, Event::Ended(index, attempt));
    }

    fn is_failing(&self, worker: usize) -> bool {
        let spans = &self.workload.events.failing_workers;
        let now_s = self.now_ms / 1_000;
        spans
            .iter()
            .any(|s| s.worker == worker && (s.from_s..s.to_s).contains(&now_s))
    }

    fn ended(&mut self, index: usize) {
        // If an eviction has begun before the end, the job resumes from the checkpoint instead.
        if !matches!(self.jobs[index].stage, Stage::Running(_)) || self.has_dead_member(index) {
            return;
        }
        self.jobs[index].finished = Some(self.now_ms);
        self.end_job(index);
        let lag_ms = self.workload.events.usage_lag_s * 1_000;
        self.push(self.now_ms + lag_ms, Event::Usage(index));
    }

    /// Returns whether a member of the job is on a dead worker.
    fn has_dead_member(&self, index: usize) -> bool {
        let placements = &self.jobs[index].live.placements;
        placements
            .iter()
            .any(|p| self.dead[self.by_name[&p.worker]])
    }

    fn end_job(&mut self, index: usize) {
        self.release(index);
        self.jobs[index].stage = Stage::Ended;
        self.live.remove(&index);
        let now = self.now();
        self.policy.job_gone(now, &self.jobs[index].live.job);
    }

    fn stopped(&mut self, index: usize) {
        self.release(index);
        if self.jobs[index].live.cancelled {
            self.end_job(index);
        } else {
            self.enqueue(index);
        }
    }

    fn release(&mut self, index: usize) {
        if !self.jobs[index].holds_accelerators() {
            return;
        }
        let size = self.jobs[index].plan.spec.accelerators;
        for p in std::mem::take(&mut self.jobs[index].live.placements) {
            self.held[self.by_name[&p.worker]] -= p.tasks * size;
        }
    }

    /// Begins to stop a job. Its work since the start is saved if all members answer.
    fn stop(&mut self, index: usize, evicted: bool) {
        let job = &mut self.jobs[index];
        let since = match job.stage {
            Stage::Running(since) => since,
            Stage::Starting => self.now_ms,
            _ => return,
        };
        let draw = (job.plan.stop_draw + f64::from(job.live.attempt) * 0.618) % 1.0;
        let worked = self.now_ms.saturating_sub(since);
        let silent = draw < SILENT_STOP_SHARE || self.has_dead_member(index);
        let job = &mut self.jobs[index];
        if silent {
            let lost = worked * u64::from(job.accelerators());
            match evicted {
                true => self.figures.lost_to_evictions_ms += lost,
                false => self.figures.lost_to_failures_ms += lost,
            }
        } else {
            job.saved_ms += worked;
            job.live.checkpointed = true;
        }
        job.stage = Stage::Stopping;
        let attempt = job.live.attempt;
        let stop_ms = if silent { LEASE_LAPSE_MS } else { STOP_MS };
        self.push(self.now_ms + stop_ms, Event::Stopped(index, attempt));
    }

    fn configure(&mut self, drained: bool) {
        self.drained = drained;
        let domain = &self.workload.events.drain.failure_domain;
        let offset = self.version.offset + 1;
        self.version = self.workload.version(offset, drained.then_some(domain));
        self.policy.configure(&self.version);
    }

    /// Reports a worker as down and stops the gangs that have a member on it.
    fn worker_lost(&mut self, worker: usize) {
        let name = self.workers[worker].name.clone();
        let now = self.now();
        self.policy.worker_down(now, &name);
        for index in self.live.keys().copied().collect::<Vec<_>>() {
            let job = &self.jobs[index];
            if job.live.placements.iter().any(|p| p.worker == name) {
                self.stop(index, false);
            }
        }
    }

    fn cancel(&mut self, share: f64) {
        for index in self.live.keys().copied().collect::<Vec<_>>() {
            let job = &mut self.jobs[index];
            if job.plan.cancel_draw >= share || job.live.cancelled {
                continue;
            }
            job.live.cancelled = true;
            match job.stage {
                Stage::Waiting => self.end_job(index),
                _ => self.stop(index, false),
            }
        }
    }

    fn decide(&mut self) {
        // Without the log the planner can neither start gangs nor record stops.
        if self.outage_until.is_some() {
            return;
        }
        for decision in self.policy.decide(self.now()) {
            match decision {
                Decision::Start { job, placements } => self.start(self.by_id[&job], placements),
                Decision::Evict { job, for_job } => {
                    let index = self.by_id[&job];
                    self.figures.evictions += 1;
                    if let Some(for_job) = for_job
                        && self.reclaimed_for.insert(for_job)
                    {
                        self.figures.reclaims += 1;
                    }
                    self.stop(index, true);
                }
                Decision::Impossible { job, .. } => {
                    let index = self.by_id[&job];
                    assert!(self.jobs[index].plan.impossible, "a possible job was ended");
                    self.jobs[index].refused = true;
                    self.end_job(index);
                }
            }
        }
    }

    /// Carries out a start after checking that the placement is valid.
    fn start(&mut self, index: usize, placements: Vec<Placement>) {
        let spec = self.jobs[index].plan.spec.clone();
        assert_eq!(
            self.jobs[index].stage,
            Stage::Waiting,
            "a job was started twice"
        );
        let used = placements.iter().map(|p| {
            let worker = &self.workers[self.by_name[&p.worker]];
            (worker, p.tasks * spec.accelerators)
        });
        let used: Vec<(&WorkerInfo, u32)> = used.collect();
        let fit = Naive::first_fit(&used, &spec);
        assert!(fit.is_some(), "the placement violates the adjacency");
        for (worker, accelerators) in used {
            let held = &mut self.held[self.by_name[&worker.name]];
            *held += accelerators;
            assert!(
                *held <= worker.accelerators,
                "a worker was given more tasks than it has accelerators for"
            );
            assert!(self.version.in_service(&worker.failure_domain));
        }
        let job = &mut self.jobs[index];
        job.live.placements = placements;
        job.live.attempt += 1;
        job.stage = Stage::Starting;
        let attempt = job.live.attempt;
        self.push(self.now_ms + START_MS, Event::Started(index, attempt));
    }

    /// Adds the time until `to` to the measures.
    fn record_until(&mut self, to: u64) {
        let ms = to - self.now_ms;
        if ms == 0 {
            return;
        }
        let idle = self.idle();
        let total: u32 = idle.iter().map(|(_, free)| free).sum();
        let usable: u32 = (0..self.workers.len())
            .filter(|w| self.is_usable(*w))
            .map(|w| self.workers[w].accelerators)
            .sum();
        let waiting = self.live.keys().map(|index| &self.jobs[*index]);
        let waiting = waiting.filter(|j| j.stage == Stage::Waiting && !j.plan.impossible);
        let largest = waiting.max_by_key(|j| j.accelerators());
        let wasted = largest.is_some_and(|j| Naive::first_fit(&idle, &j.plan.spec).is_none());
        let figures = &mut self.figures;
        figures.idle_ms += ms * u64::from(total);
        figures.usable_ms += ms * u64::from(usable);
        if wasted {
            figures.fragmented_ms += ms * u64::from(total);
        }
        if self.drained {
            self.record_drain(ms, to, usable);
        }
    }

    fn record_drain(&mut self, ms: u64, to: u64, usable: u32) {
        let empty: Vec<_> = (0..self.workers.len())
            .filter(|w| self.is_usable(*w))
            .map(|w| (&self.workers[w], self.workers[w].accelerators))
            .collect();
        let (mut demand, mut work) = (0, 0);
        for index in self.live.keys() {
            let job = &self.jobs[*index];
            if let Stage::Running(since) = job.stage {
                let worked = to.saturating_sub(since.max(self.now_ms));
                work += worked * u64::from(job.accelerators());
            }
            if !job.plan.impossible && Naive::first_fit(&empty, &job.plan.spec).is_some() {
                demand += job.accelerators();
            }
        }
        self.figures.drain_work_ms += work;
        self.figures.drain_allowed_ms += ms * u64::from(usable.min(demand));
    }

    fn is_usable(&self, worker: usize) -> bool {
        let in_service = self
            .version
            .in_service(&self.workers[worker].failure_domain);
        in_service && !self.dead[worker] && !self.is_failing(worker)
    }

    fn idle(&self) -> Vec<(&WorkerInfo, u32)> {
        let usable = (0..self.workers.len()).filter(|w| self.is_usable(*w));
        usable
            .map(|w| {
                let free = self.workers[w].accelerators - self.held[w];
                (&self.workers[w], free)
            })
            .collect()
    }

    /// Counts the jobs that have waited too long for a guaranteed shape. A waiting job is entitled
    /// if its shape equals that of a guarantee which no job of its workspace uses.
    fn count_violations(&mut self) {
        let mut entitled = HashSet::default();
        if self.outage_until.is_none() {
            for workspace in self.version.workspaces() {
                self.entitled(&workspace.name, &workspace.guarantees, &mut entitled);
            }
        }
        for index in self.live.keys() {
            let job = &mut self.jobs[*index];
            if !entitled.contains(index) {
                job.entitled_since = None;
                continue;
            }
            let since = *job.entitled_since.get_or_insert(self.now_ms);
            if self.now_ms - since > RECLAIM_BOUND_MS {
                self.figures.violations += 1;
                job.entitled_since = None;
            }
        }
    }

    fn entitled(&self, name: &Name, guarantees: &[Guarantee], into: &mut HashSet<usize>) {
        let mut left = guarantees.to_vec();
        let jobs = self
            .live
            .keys()
            .filter(|index| self.jobs[**index].plan.spec.workspace == *name);
        let mut holding: Vec<&Job> = jobs
            .clone()
            .map(|index| &self.jobs[*index])
            .filter(|j| j.holds_accelerators())
            .collect();
        holding.sort_by_key(|j| Reverse(j.accelerators()));
        for job in holding {
            let spec = &job.plan.spec;
            let fits = |g: &&Guarantee| {
                spec.tasks <= g.tasks
                    && spec.accelerators <= g.accelerators
                    && spec.adjacency <= g.adjacency
            };
            let smallest = left
                .iter()
                .filter(fits)
                .min_by_key(|g| g.tasks * g.accelerators);
            if let Some(g) = smallest.copied() {
                let index = left.iter().position(|l| *l == g);
                left.swap_remove(index.expect("the guarantee is in the list"));
            }
        }
        for index in jobs {
            let spec = &self.jobs[*index].plan.spec;
            if self.jobs[*index].stage != Stage::Waiting {
                continue;
            }
            let same = left.iter().position(|g| {
                spec.tasks == g.tasks
                    && spec.accelerators == g.accelerators
                    && spec.adjacency == g.adjacency
            });
            if let Some(i) = same {
                left.swap_remove(i);
                into.insert(*index);
            }
        }
    }
}

fn job((plan, number): (PlannedJob, u64)) -> Job {
    let id = format!("job-{number}").into();
    let live = LiveJob::new(id, plan.spec.clone(), number + 1);
    Job {
        plan,
        live,
        stage: Stage::NotArrived,
        saved_ms: 0,
        first_start: None,
        finished: None,
        entitled_since: None,
        refused: false,
    }
}
