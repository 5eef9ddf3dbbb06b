//! Learned speeds of workers.
//!
//! The load behind this table is a pool that mixes kinds of workers, some of which take 2.7 times as
//! long as others, while nearly all work is gangs. A gang is as slow as its slowest worker and
//! occupies all of them for that time, so a gang that was placed without knowing the speeds is late
//! however early it starts. Callers' estimates are too rough to show the speeds directly.
//!
//! Each worker has a distribution over its slowness, the ratio of the time that a task takes on it
//! to the time on a nominal worker. A sample is the measured ratio of a run or of a whole gang. The
//! sample of a gang is the largest slowness of its members: it bounds every member, and measures
//! one of them. Which one shows when the same workers have been members of other gangs, so the
//! recent samples are kept and visited again (expectation propagation with one message from each
//! sample to each member). The distribution of the whole pool is learned as well and is the prior
//! of each worker: in a pool of equal workers a few rough samples don't make a worker slow.
//! `docs/design/worker-speeds.md` compares this with simpler estimates.
//!
//! Comparing rates of progress instead of run times is how LATE finds stragglers (Zaharia et al.,
//! "Improving MapReduce Performance in Heterogeneous Environments", OSDI 2008). Here it ranks the
//! workers before the tasks are placed.

mod belief;

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::{
    utils::{HashMap, Name},
    workload::RunId,
};

pub(super) use belief::STEP_RATIO;
use belief::{Belief, POINTS, largest};

/// Number of samples that are kept for each worker. What older ones have said is kept with a bound,
/// so that newer ones can overturn it.
const MAX_WORKER_SAMPLES: usize = 16;

/// Number of older samples with common workers that are visited again with each new one.
const REVISITED_SHARED: usize = 8;

/// Number of other samples that are visited again in turn.
const REVISITED_IN_TURN: usize = 4;

/// Probability that a sample says nothing about its workers because one of them was degraded for a
/// while or the measurement is wrong.
const OUTLIER_SHARE: f64 = 0.05;

/// Weight of the initial distribution of the pool, as a number of workers. With 2, a few gangs that
/// were estimated too long made a whole pool of equal workers appear fast.
const PRIOR_WORKERS: f64 = 6.0;

/// Share of workers that are nominal before anything is known; the others may have any speed.
const NOMINAL_SHARE: f64 = 0.8;

/// Standard deviation of the logarithm of the slowness of nominal workers.
const NOMINAL_DEVIATION: f64 = 0.04;

/// Standard deviation of the logarithm of the slowness of workers of other kinds.
const OTHER_DEVIATION: f64 = 0.45;

/// Smallest standard deviation of a sample's logarithm: the grid is not finer.
const MIN_DEVIATION: f64 = 0.05;

/// Largest ratio of a sample, in either direction and apart from its error. Kinds of workers in one
/// pool differ by less. A worker that takes longer is degraded for a while, which
/// [`RunTimes`](super::RunTimes) handles: it must not count as a slow kind of worker afterwards.
const MAX_RATIO: f64 = 3.2;

/// Probability of being nominal from which on a worker counts as nominal.
const PROBABLY_NOMINAL: f64 = 0.6;

/// Probability of being nominal from which on a worker is at most one step away from nominal. Without
/// this, rough samples of gangs moved single workers of an equal pool by up to four steps
/// (`tests/speed_pools.rs`).
const MAYBE_NOMINAL: f64 = 0.3;

/// Standard deviation of the logarithm of a worker's slowness from which on its speed counts as
/// unknown: with a larger one, a worker that takes 1.6 times the nominal time can't be told from a
/// nominal one.
pub(super) const KNOWN_DEVIATION: f64 = 0.2;

/// The step of a worker that is degraded.
pub(super) const SLOWEST_STEP: i32 = 9;

/// The measured slowness of a run or a gang.
#[derive(Clone, Debug)]
pub struct SpeedSample {
    /// The run; for a gang, the run of its first task.
    pub run: RunId,
    /// The workers of the run, or of all members of the gang.
    pub workers: Vec<Name>,
    /// The ratio of the measured time to the time on nominal workers.
    pub ratio: f64,
    /// The standard deviation of the ratio's logarithm.
    pub deviation: f64,
}

/// What is known about the speed of a worker, in a form that agents keep.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SpeedEstimate {
    /// The logarithm of the slowness, in thousandths.
    #[serde(rename = "m")]
    pub ln_milli: i32,
    /// Its standard deviation, in thousandths.
    #[serde(rename = "d")]
    pub deviation_milli: u32,
}

impl SpeedEstimate {
    /// Returns whether the estimate differs from the one that an agent keeps by enough to send it: by
    /// more than half a step, or in a deviation that has fallen by a fifth.
    pub fn replaces(&self, kept: Self) -> bool {
        let half_step_milli = (STEP_RATIO.ln() * 500.0) as u32;
        self.ln_milli.abs_diff(kept.ln_milli) > half_step_milli
            || f64::from(self.deviation_milli) <= f64::from(kept.deviation_milli) * 0.8
    }
}

/// The speed of a worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct WorkerSpeed {
    /// The slowness in steps; see [`WorkerSpeeds::step`].
    pub(super) step: i32,
    /// The expected slowness.
    pub(super) slowness: f64,
    /// The standard deviation of its logarithm.
    pub(super) deviation: f64,
}

#[derive(Clone, Debug)]
struct KnownWorker {
    /// The product of the messages of all samples that are no longer kept for the worker, and of the
    /// estimate of an earlier planner, bounded.
    past: Belief,
    /// The kept samples of the worker, oldest first, with its index among their workers.
    samples: VecDeque<(u64, usize)>,
    /// The product of `past` and the messages of the kept samples.
    product: Belief,
    /// The worker's part in the distribution of the pool.
    share: Belief,
    /// Whether the estimate of an earlier planner was applied, or this planner has told its own.
    is_restored: bool,
}

#[derive(Clone, Debug)]
struct KeptSample {
    run: RunId,
    workers: Vec<Name>,
    likelihood: Belief,
    /// The message to each worker; flat before the sample was visited.
    messages: Vec<Belief>,
    /// The number of workers that still keep the sample.
    kept_by: usize,
}

/// Learned speeds of workers.
#[derive(Clone, Debug)]
pub struct WorkerSpeeds {
    workers: HashMap<Name, KnownWorker>,
    /// The kept samples, numbered in their order.
    samples: BTreeMap<u64, KeptSample>,
    numbers: HashMap<RunId, u64>,
    last_number: u64,
    /// The sum of the shares of all workers and of the initial distribution.
    pool_sum: Belief,
    /// The distribution of the pool, which is the prior of each worker.
    pool: Belief,
    /// The number of the sample that was revisited last in turn.
    revisited: u64,
}

impl Default for WorkerSpeeds {
    fn default() -> Self {
        let pool = initial_pool();
        Self {
            workers: HashMap::default(),
            samples: BTreeMap::new(),
            numbers: HashMap::default(),
            last_number: 0,
            pool_sum: Belief::zero().plus(&pool, PRIOR_WORKERS),
            pool,
            revisited: 0,
        }
    }
}

fn initial_pool() -> Belief {
    let nominal = Belief::normal(0.0, NOMINAL_DEVIATION).normalized();
    let other = Belief::normal(0.0, OTHER_DEVIATION).normalized();
    Belief::zero()
        .plus(&nominal, NOMINAL_SHARE)
        .plus(&other, 1.0 - NOMINAL_SHARE)
        .normalized()
}

impl WorkerSpeeds {
    /// Adds a sample, or replaces the earlier one of the same run.
    pub fn observe(&mut self, sample: SpeedSample) {
        let (ratio_ln, deviation) = (sample.ratio.ln(), sample.deviation.max(MIN_DEVIATION));
        let is_plausible = ratio_ln.abs() <= MAX_RATIO.ln() + deviation;
        if !is_plausible || sample.workers.is_empty() {
            return;
        }
        let normal = Belief::normal(ratio_ln, deviation);
        let likelihood = Belief::flat().plus(&normal, 1.0 / OUTLIER_SHARE - 1.0);
        let number = self.keep(sample.run, sample.workers, likelihood.bounded());
        self.visit(number);
        for other in self.samples_to_revisit(number) {
            self.visit(other);
        }
        self.visit(number);
    }

    /// Keeps a sample and returns its number.
    fn keep(&mut self, run: RunId, workers: Vec<Name>, likelihood: Belief) -> u64 {
        let known = self.numbers.get(&run).copied();
        if let Some(number) = known
            && let Some(kept) = self.samples.get_mut(&number)
        {
            if kept.workers == workers {
                kept.likelihood = likelihood;
                return number;
            }
            self.remove_sample(number);
        }
        self.last_number += 1;
        let number = self.last_number;
        for (i, worker) in workers.iter().enumerate() {
            let known = self.known_mut(worker);
            known.samples.push_back((number, i));
            if known.samples.len() > MAX_WORKER_SAMPLES
                && let Some((oldest, i)) = known.samples.pop_front()
            {
                self.release(worker, oldest, i);
            }
        }
        self.numbers.insert(run.clone(), number);
        let kept = KeptSample {
            run,
            messages: vec![Belief::flat(); workers.len()],
            kept_by: workers.len(),
            workers,
            likelihood,
        };
        self.samples.insert(number, kept);
        number
    }

    fn known_mut(&mut self, worker: &Name) -> &mut KnownWorker {
        self.workers
            .entry(worker.clone())
            .or_insert_with(|| KnownWorker {
                past: Belief::flat(),
                samples: VecDeque::new(),
                product: Belief::flat(),
                share: Belief::zero(),
                is_restored: false,
            })
    }

    /// Moves the message of a sample to one of its workers into the worker's past. A sample that no
    /// worker keeps is dropped.
    fn release(&mut self, worker: &Name, number: u64, index: usize) {
        let Some(sample) = self.samples.get_mut(&number) else {
            return;
        };
        sample.kept_by -= 1;
        if let Some(known) = self.workers.get_mut(worker) {
            let message = &sample.messages[index];
            let past = known.past.times(message).bounded();
            let kept = known.product.without(message).without(&known.past);
            known.product = kept.times(&past).scaled();
            known.past = past;
        }
        if sample.kept_by == 0 {
            self.drop_sample(number);
        }
    }

    fn drop_sample(&mut self, number: u64) {
        if let Some(sample) = self.samples.remove(&number) {
            self.numbers.remove(&sample.run);
        }
    }

    /// Removes a sample together with its messages to the workers that still keep it.
    fn remove_sample(&mut self, number: u64) {
        let Some(sample) = self.samples.remove(&number) else {
            return;
        };
        self.numbers.remove(&sample.run);
        for (worker, message) in sample.workers.iter().zip(&sample.messages) {
            let Some(known) = self.workers.get_mut(worker) else {
                continue;
            };
            let kept = known.samples.len();
            known.samples.retain(|(n, _)| *n != number);
            if known.samples.len() < kept {
                known.product = known.product.without(message).scaled();
            }
            self.update_share(worker);
        }
    }

    /// Returns the numbers of older samples to visit again: those that share workers with a sample,
    /// newest first, and some others in turn.
    fn samples_to_revisit(&mut self, number: u64) -> Vec<u64> {
        let mut chosen: Vec<u64> = Vec::new();
        let workers = self.samples.get(&number).map(|s| &s.workers);
        let known = workers.into_iter().flatten();
        let known: Vec<&KnownWorker> = known.filter_map(|w| self.workers.get(w)).collect();
        for back in 0..MAX_WORKER_SAMPLES {
            let of_round = known
                .iter()
                .filter_map(|k| k.samples.iter().rev().nth(back));
            for (other, _) in of_round {
                if *other != number && !chosen.contains(other) && chosen.len() < REVISITED_SHARED {
                    chosen.push(*other);
                }
            }
        }
        for _ in 0..REVISITED_IN_TURN {
            let next = self.samples.range(self.revisited + 1..).next();
            let next = next.or_else(|| self.samples.iter().next());
            self.revisited = next.map_or(0, |(number, _)| *number);
            chosen.push(self.revisited);
        }
        chosen
    }

    /// Returns the distribution of a worker without what the sample with the given number says about
    /// it.
    fn belief_without(&self, worker: &Name, number: u64) -> Belief {
        let Some(known) = self.workers.get(worker) else {
            return self.pool.clone();
        };
        let kept = known.samples.iter().find(|(n, _)| *n == number);
        let message = kept.and_then(|(n, i)| self.samples.get(n)?.messages.get(*i));
        let product = message.map_or_else(
            || known.product.clone(),
            |message| known.product.without(message),
        );
        self.pool.times(&product.bounded()).normalized()
    }

    /// Updates the messages of a sample to its workers.
    fn visit(&mut self, number: u64) {
        let Some(sample) = self.samples.get(&number) else {
            return;
        };
        let others = sample.workers.iter();
        let others: Vec<Belief> = others.map(|w| self.belief_without(w, number)).collect();
        let new = messages_to_members(&sample.likelihood, &others);
        let workers = sample.workers.clone();
        for (i, (worker, new)) in workers.iter().zip(new).enumerate() {
            let keeps = |known: &&mut KnownWorker| known.samples.iter().any(|(n, _)| *n == number);
            let known = self.workers.get_mut(worker).filter(keeps);
            let sample = self.samples.get_mut(&number);
            if let (Some(known), Some(sample)) = (known, sample) {
                let old = std::mem::replace(&mut sample.messages[i], new.clone());
                known.product = known.product.without(&old).times(&new).scaled();
            }
            self.update_share(worker);
        }
        self.pool = self.pool_sum.normalized();
    }

    /// Updates the share of a worker in the distribution of the pool.
    fn update_share(&mut self, worker: &Name) {
        if let Some(known) = self.workers.get_mut(worker) {
            let share = self.pool.times(&known.product.bounded()).normalized();
            let sum = self.pool_sum.plus(&known.share, -1.0);
            self.pool_sum = sum.plus(&share, 1.0);
            known.share = share;
        }
    }

    /// Takes over what an earlier planner knew about a worker, unless this one has already told its
    /// agent an estimate of its own.
    pub fn restore(&mut self, worker: &Name, estimate: SpeedEstimate) {
        let known = self.known_mut(worker);
        if std::mem::replace(&mut known.is_restored, true) {
            return;
        }
        let mean = f64::from(estimate.ln_milli) / 1_000.0;
        let deviation = f64::from(estimate.deviation_milli) / 1_000.0;
        // The estimate includes the pool's distribution as its prior, which is applied again here.
        // Where the earlier planner knew little, that leaves a likelihood that says little.
        let estimate = Belief::normal(mean, deviation.max(MIN_DEVIATION)).normalized();
        let pool = initial_pool();
        let likelihood = pool
            .plus(&estimate, 1.0 / OUTLIER_SHARE - 1.0)
            .without(&pool)
            .bounded();
        let past = known.past.times(&likelihood).bounded();
        known.product = known.product.without(&known.past).times(&past).scaled();
        known.past = past;
        self.update_share(worker);
        self.pool = self.pool_sum.normalized();
    }

    /// Records that the worker's agent is told the current estimate.
    pub fn told(&mut self, worker: &Name) {
        if let Some(known) = self.workers.get_mut(worker) {
            known.is_restored = true;
        }
    }

    fn belief(&self, worker: &Name) -> Belief {
        match self.workers.get(worker) {
            Some(known) => self.pool.times(&known.product.bounded()).normalized(),
            None => self.pool.clone(),
        }
    }

    /// Returns how many times longer tasks are expected to take on a worker than on a nominal one.
    pub fn slowness(&self, worker: &Name) -> f64 {
        self.belief(worker).mean_slowness()
    }

    /// Returns the standard deviation of the logarithm of a worker's slowness.
    pub fn deviation(&self, worker: &Name) -> f64 {
        self.belief(worker).moments().1
    }

    /// Returns what is known about a worker; `None` if there is no evidence.
    pub fn estimate(&self, worker: &Name) -> Option<SpeedEstimate> {
        self.workers.get(worker)?;
        let (mean, deviation) = self.belief(worker).moments();
        Some(SpeedEstimate {
            ln_milli: (mean * 1_000.0).round() as i32,
            deviation_milli: (deviation * 1_000.0).round() as u32,
        })
    }

    /// Returns the expected slowness of a gang on these workers, which is that of its slowest one.
    pub fn gang_slowness<'a>(&self, workers: impl Iterator<Item = &'a Name>) -> f64 {
        let beliefs: Vec<Belief> = workers.map(|w| self.belief(w)).collect();
        largest(beliefs.iter()).mean_slowness()
    }

    /// Returns the slowness of a worker in steps; 0 is nominal, and faster workers have negative
    /// steps. In a pool of equal workers, a few rough measurements must not change where work is
    /// placed, so a worker that is probably nominal has step 0, and one that may well be nominal at
    /// most one step.
    pub fn step(&self, worker: &Name) -> i32 {
        step_of(&self.belief(worker))
    }

    /// Returns all that placement needs to know about a worker, which costs as much as one of its
    /// parts.
    pub(super) fn speed(&self, worker: &Name) -> WorkerSpeed {
        let belief = self.belief(worker);
        WorkerSpeed {
            step: step_of(&belief),
            slowness: belief.mean_slowness(),
            deviation: belief.moments().1,
        }
    }

    /// Returns the mean and the standard deviation of the logarithm of a gang's slowness, without what
    /// the sample of `run` says about it.
    pub fn moments_without(&self, workers: &[Name], run: &RunId) -> (f64, f64) {
        let number = self.numbers.get(run).copied().unwrap_or(0);
        let beliefs = workers.iter().map(|w| self.belief_without(w, number));
        let beliefs: Vec<Belief> = beliefs.collect();
        largest(beliefs.iter()).moments()
    }

    /// Returns the mean standard deviation of the logarithm of the slowness of the workers about which
    /// there is evidence; 0 without any.
    pub fn mean_deviation(&self) -> f64 {
        let deviations = self.workers.keys().map(|worker| self.deviation(worker));
        deviations.sum::<f64>() / self.workers.len().max(1) as f64
    }

    /// Returns whether there is evidence about a worker.
    pub fn is_known(&self, worker: &Name) -> bool {
        self.workers.contains_key(worker)
    }

    /// Returns the number of workers about which there is evidence.
    pub fn known_workers(&self) -> usize {
        self.workers.len()
    }

    /// Removes what is known about a worker that is gone or has booted again. What its gangs have said
    /// about their other members stays.
    pub fn remove_worker(&mut self, worker: &Name) {
        let Some(known) = self.workers.remove(worker) else {
            return;
        };
        self.pool_sum = self.pool_sum.plus(&known.share, -1.0);
        self.pool = self.pool_sum.normalized();
        for (number, _) in known.samples {
            let workers = self.samples.get(&number).map(|s| s.workers.clone());
            for (i, other) in workers.into_iter().flatten().enumerate() {
                let Some(known) = self.workers.get_mut(&other) else {
                    continue;
                };
                let kept = known.samples.len();
                known.samples.retain(|(n, _)| *n != number);
                if known.samples.len() < kept {
                    self.release(&other, number, i);
                }
            }
            self.drop_sample(number);
        }
    }
}

fn step_of(belief: &Belief) -> i32 {
    let steps = belief.mean_slowness().ln() / STEP_RATIO.ln();
    let steps = (steps.round() as i32).min(SLOWEST_STEP - 1);
    match belief.nominal_probability() {
        p if p >= PROBABLY_NOMINAL => 0,
        p if p >= MAYBE_NOMINAL => steps.clamp(-1, 1),
        _ => steps,
    }
}

/// Returns what a sample says about each of its workers, given what is known otherwise about the
/// others.
fn messages_to_members(likelihood: &Belief, others: &[Belief]) -> Vec<Belief> {
    let likelihood = likelihood.values();
    let cumulative: Vec<[f64; POINTS]> = others.iter().map(Belief::cumulative).collect();
    // The distribution of the slowest of all other members is the product of the cumulative
    // distributions before and after each member.
    let mut after = vec![[1.0; POINTS]; others.len() + 1];
    for i in (0..others.len()).rev() {
        for point in 0..POINTS {
            after[i][point] = after[i + 1][point] * cumulative[i][point];
        }
    }
    let mut before = [1.0; POINTS];
    let mut messages = Vec::with_capacity(others.len());
    for i in 0..others.len() {
        let slowest: [f64; POINTS] = std::array::from_fn(|p| before[p] * after[i + 1][p]);
        let mut message = [0.0; POINTS];
        let mut slower = 0.0;
        for point in (0..POINTS).rev() {
            message[point] = likelihood[point] * slowest[point] + slower;
            let below = if point == 0 { 0.0 } else { slowest[point - 1] };
            slower += likelihood[point] * (slowest[point] - below);
        }
        messages.push(Belief::from_values(message).bounded());
        for point in 0..POINTS {
            before[point] *= cumulative[i][point];
        }
    }
    messages
}
