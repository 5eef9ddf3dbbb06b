//! Samples of workers' speeds, taken from what agents report about runs.
//!
//! The load behind this is urgent gangs that last two seconds and save no checkpoints: their pace is
//! never measured, so a pool that executes mostly such gangs would stay unknown. Three measurements
//! of a run are used, from the best to the worst: the time between checkpoints, the time of the
//! whole work by the run's progress, and the time from the order to the end. The last two have to be
//! compared with the amount of work, of which only the caller's estimate is known. How far that is
//! off is learned for each queue. Other runs of the same step have nearly the same amount of work,
//! so they reduce that error. `docs/design/worker-speeds.md` has the figures.

use std::collections::{BTreeMap, VecDeque};

use crate::{
    utils::{HashMap, Name},
    workload::{
        Fleet,
        FleetWorker,
        Pace,
        RunId,
        SpeedSample,
        TaskId,
        WorkerSpeeds,
        live::LiveJob, //
    },
};

/// Error in seconds of the measured time between two checkpoints: an agent checks every 0.4 s, which
/// makes both ends uncertain, and its calls take a while.
const PACE_TIMING_ERROR_S: f64 = 0.25;

/// Error of the logarithm of a run's whole time by its progress: the worker rounds to whole percents,
/// and other work on it makes the pace vary.
const PROGRESS_ERROR: f64 = 0.06;

/// Usual milliseconds from the order of a run until it works and from its end until that is reported.
const START_AND_END_MS: f64 = 300.0;

/// Error in milliseconds of [`START_AND_END_MS`].
const START_AND_END_ERROR_MS: f64 = 250.0;

/// Standard deviation of the logarithm of the work of single tasks of one step.
const TASK_SPREAD: f64 = 0.2;

/// Standard deviation of the logarithm of the time of a gang that is run again on the same workers.
const GANG_SPREAD: f64 = 0.03;

/// Standard deviation of the logarithm of callers' estimates before any is known.
const PRIOR_ERROR: f64 = 0.5;

/// Weight of [`PRIOR_ERROR`], and of the assumption that callers' estimates are right in the mean, as
/// a number of steps.
const PRIOR_STEPS: f64 = 3.0;

/// Number of steps over which the error of a queue is averaged, so that it follows changes.
const MAX_STEPS: f64 = 100.0;

/// Largest residual of a single step. A larger one comes from a wrong measurement.
const MAX_RESIDUAL: f64 = 2.0;

/// Number of other runs of a step with which each one is compared. More would add little, and the
/// work would grow with the square of the step's workers.
const MAX_COMPARED: usize = 16;

/// Number of newest steps that are kept. Each holds a sample for each set of workers.
const MAX_KEPT_STEPS: usize = 512;

/// Change of a sample's logarithm, in multiples of its error, from which on it is replaced. Visiting
/// a sample costs more than the rest of a report.
const MIN_CHANGE: f64 = 0.25;

/// Ratio of a sample's new error to the old one from which on it is replaced.
const MIN_ERROR_RATIO: f64 = 0.85;

/// A run or gang whose time measures the speed of its workers.
#[derive(Clone, Debug)]
pub(super) struct TimedRun {
    /// The run; of a gang, the one of its first task.
    run: RunId,
    /// All workers of the run or the gang, without repetitions.
    workers: Vec<Name>,
    queue: Name,
    estimate_ms: u64,
    is_gang: bool,
    /// Whether the run executes the task from its beginning.
    is_whole: bool,
}

/// The logarithm of a measured value and its standard deviation.
#[derive(Clone, Copy, Debug)]
struct Measured {
    ln: f64,
    error: f64,
}

/// The measurements of a step on one set of workers: a gang's, or those of all single tasks of the
/// step on one worker, which would otherwise be compared with each other.
#[derive(Clone, Debug)]
struct Group {
    /// The run that stands for the sample.
    run: RunId,
    workers: Vec<Name>,
    /// The milliseconds of the whole work, by the index of the task.
    times: BTreeMap<u32, Measured>,
    /// The slowness by checkpoints, by the index of the task.
    paces: BTreeMap<u32, Measured>,
    /// The sample that was taken last.
    taken: Option<Measured>,
}

#[derive(Clone, Debug)]
struct StepTimes {
    queue: Name,
    estimate_ms: u64,
    /// Spread of the work of the step's runs.
    spread: f64,
    groups: Vec<Group>,
    /// Whether the queue's error has been learned from the step.
    is_learned: bool,
}

/// The error of callers' estimates in one queue, as learned from the steps that ended.
#[derive(Clone, Copy, Debug, Default)]
struct QueueError {
    weight: f64,
    squares: f64,
    bias_weight: f64,
    bias_sum: f64,
}

/// Identifies a step of an occurrence of a job.
type StepKey = (Name, u32, u32);

/// Takes samples of workers' speeds.
#[derive(Clone, Debug, Default)]
pub(super) struct SpeedSampler {
    steps: HashMap<StepKey, StepTimes>,
    /// The kept steps, oldest first.
    order: VecDeque<StepKey>,
    queues: HashMap<Name, QueueError>,
}

impl TimedRun {
    /// Returns all workers of the run or the gang, without repetitions.
    pub(super) fn workers(&self) -> &[Name] {
        &self.workers
    }

    /// Returns the run or gang that a run on `worker` measures. Returns `None` if the run is slowed
    /// down by where it executes, if it doesn't end by itself, or if the workers of its gang are not
    /// known any more.
    ///
    /// A run on another rack than its data is slow on any worker, and so is a gang over several racks
    /// that should run in one. Runs that use leftover processor time depend on their neighbours.
    pub(super) fn of(
        fleet: &Fleet,
        jobs: &BTreeMap<Name, LiveJob>,
        worker: &Name,
        run: &RunId,
    ) -> Option<Self> {
        let live = jobs.get(&run.task.job)?;
        let shape = live.job.request.steps.get(run.task.step as usize)?;
        if shape.lasting || shape.leftovers || shape.response_ms > 0 {
            return None;
        }
        let number = live.job.task_number(&run.task)?;
        let rack_of = |worker: &Name| fleet.get(worker).and_then(FleetWorker::rack);
        let mut workers = vec![worker.clone()];
        if shape.gang && shape.tasks > 1 {
            let numbers = live.job.task_numbers(run.task.occurrence, run.task.step);
            let places = numbers.map(|number| {
                let task = live.plan.tasks.get(&number)?;
                let place = task.place.as_ref()?;
                (task.run == run.number).then(|| place.worker.clone())
            });
            workers = places.collect::<Option<Vec<Name>>>()?;
            workers.sort_unstable();
            workers.dedup();
        }
        let mut racks: Vec<Option<&Name>> = workers.iter().map(rack_of).collect();
        racks.dedup();
        let near = match &shape.rack {
            Some(rack) => racks == [Some(rack)],
            None => !shape.one_rack || racks.len() == 1,
        };
        // The plan holds the checkpoint from which the newest run has started.
        let task = live.plan.tasks.get(&number);
        let is_whole = task.is_some_and(|t| t.run == run.number && t.checkpoint.is_empty());
        near.then(|| Self {
            run: run.of_gang(shape.gang),
            workers,
            queue: live.job.queue.clone(),
            estimate_ms: shape.estimate_ms,
            is_gang: shape.gang,
            is_whole,
        })
    }
}

impl SpeedSampler {
    /// Takes a sample from the time between a run's checkpoints, each after `every_s` of work.
    pub(super) fn observe_pace(
        &mut self,
        speeds: &mut WorkerSpeeds,
        timed: &TimedRun,
        pace: &Pace,
        every_s: f64,
    ) {
        let work_s = f64::from(pace.intervals) * every_s;
        let took_s = pace.took_ms as f64 / 1_000.0;
        if work_s <= 0.0 || took_s <= 0.0 {
            return;
        }
        let measured = Measured {
            ln: (took_s / work_s).ln(),
            error: PACE_TIMING_ERROR_S / took_s,
        };
        self.observe(speeds, timed, |group, index| {
            group.paces.insert(index, measured);
        });
    }

    /// Takes a sample from the time of a run's whole work at its pace.
    pub(super) fn observe_progress(
        &mut self,
        speeds: &mut WorkerSpeeds,
        timed: &TimedRun,
        total_ms: u64,
    ) {
        if !timed.is_whole || total_ms == 0 {
            return;
        }
        let measured = Measured {
            ln: (total_ms as f64).ln(),
            error: PROGRESS_ERROR,
        };
        self.observe(speeds, timed, |group, index| {
            group.times.insert(index, measured);
        });
    }

    /// Takes a sample from a run that has ended by completing its whole task, `took_ms` after it was
    /// ordered, and learns the error of its queue. Progress that was reported before measures the time
    /// better.
    pub(super) fn observe_done(
        &mut self,
        speeds: &mut WorkerSpeeds,
        timed: &TimedRun,
        took_ms: f64,
    ) {
        if !timed.is_whole {
            return;
        }
        // A task that took less than the usual delays was not delayed as usual.
        let work_ms = (took_ms - START_AND_END_MS).max(took_ms / 2.0).max(1.0);
        let measured = Measured {
            ln: work_ms.ln(),
            error: (START_AND_END_ERROR_MS / work_ms).min(1.0),
        };
        self.observe(speeds, timed, |group, index| {
            group.times.entry(index).or_insert(measured);
        });
        self.learn_queue(speeds, timed);
    }

    /// Removes what was measured on a worker that is gone or has booted again.
    pub(super) fn remove_worker(&mut self, worker: &Name) {
        for step in self.steps.values_mut() {
            step.groups.retain(|g| !g.workers.contains(worker));
        }
    }

    /// Adds a measurement and replaces the sample of its workers if that changes it.
    fn observe(
        &mut self,
        speeds: &mut WorkerSpeeds,
        timed: &TimedRun,
        add: impl FnOnce(&mut Group, u32),
    ) {
        let key = step_key(&timed.run.task);
        if !self.steps.contains_key(&key) {
            self.order.push_back(key.clone());
            if self.order.len() > MAX_KEPT_STEPS
                && let Some(oldest) = self.order.pop_front()
            {
                self.steps.remove(&oldest);
            }
        }
        let step = self.steps.entry(key).or_insert_with(|| StepTimes {
            queue: timed.queue.clone(),
            estimate_ms: timed.estimate_ms,
            spread: if timed.is_gang {
                GANG_SPREAD
            } else {
                TASK_SPREAD
            },
            groups: Vec::new(),
            is_learned: false,
        });
        let known = step.groups.iter().position(|g| g.workers == timed.workers);
        let group = known.unwrap_or_else(|| {
            step.groups.push(Group {
                run: timed.run.clone(),
                workers: timed.workers.clone(),
                times: BTreeMap::new(),
                paces: BTreeMap::new(),
                taken: None,
            });
            step.groups.len() - 1
        });
        add(&mut step.groups[group], timed.run.task.index);
        let error = self.queues.get(&step.queue).copied().unwrap_or_default();
        let Some(slowness) = step.slowness(speeds, &error, group) else {
            return;
        };
        let group = &mut step.groups[group];
        if group.taken.is_some_and(|t| !slowness.replaces(t)) {
            return;
        }
        group.taken = Some(slowness);
        speeds.observe(SpeedSample {
            run: group.run.clone(),
            workers: group.workers.clone(),
            ratio: slowness.ln.exp(),
            deviation: slowness.error,
        });
    }

    /// Learns the error of a queue from a step of which a run has ended.
    fn learn_queue(&mut self, speeds: &WorkerSpeeds, timed: &TimedRun) {
        let step = self.steps.get_mut(&step_key(&timed.run.task));
        let Some(step) = step.filter(|s| !s.is_learned && s.estimate_ms > 0) else {
            return;
        };
        if let Some(work) = combine(step.works(speeds, None)) {
            step.is_learned = true;
            let residual = work.ln - (step.estimate_ms as f64).ln();
            let queue = self.queues.entry(step.queue.clone()).or_default();
            // Only checkpoints measure the work independently of the estimates. By other measurements,
            // the slowness of the pool would be taken for a bias of its callers.
            let has_pace = step.groups.iter().any(|g| !g.paces.is_empty());
            if has_pace {
                queue.learn_bias(residual);
            }
            queue.learn(residual, work.error);
        }
    }
}

impl StepTimes {
    /// Returns the slowness that the measurements of a group show.
    fn slowness(
        &self,
        speeds: &WorkerSpeeds,
        queue: &QueueError,
        group: usize,
    ) -> Option<Measured> {
        let measured = &self.groups[group];
        if let Some(pace) = combine(measured.paces.values().copied()) {
            return Some(pace);
        }
        let time = measured.time(self.spread)?;
        let by_caller = (self.estimate_ms > 0).then(|| Measured {
            ln: (self.estimate_ms as f64).ln() + queue.bias(),
            error: queue.deviation(),
        });
        let work = combine(by_caller.into_iter().chain(self.works(speeds, Some(group))))?;
        Some(Measured {
            ln: time.ln - work.ln,
            error: time.error.hypot(work.error),
        })
    }

    /// Returns the amount of work of the step, in milliseconds on a nominal worker, by each group
    /// except one. What the group's own sample says about its workers is left out: it is derived from
    /// that amount.
    fn works(
        &self,
        speeds: &WorkerSpeeds,
        except: Option<usize>,
    ) -> impl Iterator<Item = Measured> {
        let groups = self.groups.iter().enumerate();
        let others = groups.filter(move |(i, _)| Some(*i) != except);
        let works = others.filter_map(|(_, group)| {
            let time = group.time(self.spread)?;
            let slowness = combine(group.paces.values().copied()).unwrap_or_else(|| {
                let (ln, error) = speeds.moments_without(&group.workers, &group.run);
                Measured { ln, error }
            });
            Some(Measured {
                ln: time.ln - slowness.ln,
                error: time.error.hypot(slowness.error),
            })
        });
        works.take(MAX_COMPARED)
    }
}

impl Group {
    /// Returns the time of the work of one run, given the spread of the work of such runs.
    fn time(&self, spread: f64) -> Option<Measured> {
        combine(self.times.values().map(|time| Measured {
            ln: time.ln,
            error: time.error.hypot(spread),
        }))
    }
}

impl Measured {
    /// Returns whether the value differs enough from an earlier one to replace it.
    fn replaces(&self, earlier: Self) -> bool {
        let ratio = self.error / earlier.error;
        (self.ln - earlier.ln).abs() > earlier.error * MIN_CHANGE
            || !(MIN_ERROR_RATIO..=1.0 / MIN_ERROR_RATIO).contains(&ratio)
    }
}

impl QueueError {
    fn deviation(&self) -> f64 {
        let prior = PRIOR_ERROR.powi(2) * PRIOR_STEPS;
        ((prior + self.squares) / (PRIOR_STEPS + self.weight)).sqrt()
    }

    /// Returns by how much the work exceeds the estimates in the mean, as a logarithm.
    fn bias(&self) -> f64 {
        self.bias_sum / (PRIOR_STEPS + self.bias_weight)
    }

    /// Learns from a step whose work differs from the caller's estimate by `residual`, which is known
    /// with the given uncertainty.
    ///
    /// The expected square of the caller's error, given the residual, is that of a normal distribution
    /// with the learned deviation (a step of expectation maximization). A residual that says little
    /// has little weight.
    fn learn(&mut self, residual: f64, uncertainty: f64) {
        let residual = residual.clamp(-MAX_RESIDUAL, MAX_RESIDUAL);
        let (variance, unknown) = (self.deviation().powi(2), uncertainty.powi(2));
        let weight = variance / (variance + unknown);
        let rest = residual - self.bias();
        let keep = 1.0 - 1.0 / MAX_STEPS;
        let square = (weight * rest).powi(2) + weight * unknown;
        self.squares = self.squares * keep + weight * square;
        self.weight = self.weight * keep + weight;
    }

    /// Learns the bias from a step whose work is known from its checkpoints.
    fn learn_bias(&mut self, residual: f64) {
        let residual = residual.clamp(-MAX_RESIDUAL, MAX_RESIDUAL);
        let keep = 1.0 - 1.0 / MAX_STEPS;
        self.bias_sum = self.bias_sum * keep + residual;
        self.bias_weight = self.bias_weight * keep + 1.0;
    }
}

fn step_key(task: &TaskId) -> StepKey {
    (task.job.clone(), task.occurrence, task.step)
}

/// Returns the mean of independent measurements of one value, weighted by their precision.
fn combine(measured: impl Iterator<Item = Measured>) -> Option<Measured> {
    let (sum, weight) = measured.fold((0.0, 0.0), |(sum, weight), m| {
        let precision = m.error.max(1e-3).powi(-2);
        (sum + m.ln * precision, weight + precision)
    });
    (weight > 0.0).then(|| Measured {
        ln: sum / weight,
        error: weight.powf(-0.5),
    })
}
