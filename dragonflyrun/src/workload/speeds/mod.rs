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

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{
    utils::{HashMap, Name},
    workload::RunId,
};

pub(super) use belief::STEP_RATIO;
use belief::{Belief, POINTS, largest};

/// Number of most recent samples that are visited again. It covers a pool of some hundred workers
/// twice; older samples have left their messages in the distributions.
const MAX_SAMPLES: usize = 192;

/// Number of older samples that are visited again with each new one.
const REVISITED_SAMPLES: usize = 8;

/// Probability that a sample says nothing about its workers because one of them was degraded for a
/// while or the measurement is wrong.
const OUTLIER_SHARE: f64 = 0.05;

/// Weight of the assumption that workers are nominal, as a number of workers that are known to be
/// so.
const PRIOR_WORKERS: f64 = 2.0;

/// Share of workers that are nominal before anything is known; the others may have any speed.
const NOMINAL_SHARE: f64 = 0.7;

/// Standard deviation of the logarithm of the slowness of nominal workers.
const NOMINAL_DEVIATION: f64 = 0.04;

/// Standard deviation of the logarithm of the slowness of workers of other kinds.
const OTHER_DEVIATION: f64 = 0.45;

/// Smallest standard deviation of a sample's logarithm: the grid is not finer.
const MIN_DEVIATION: f64 = 0.05;

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

#[derive(Clone, Debug)]
struct KnownWorker {
    /// The product of the messages of all samples that are no longer kept, and of the estimate of an
    /// earlier planner.
    past: Belief,
    /// The product of `past` and the messages of all kept samples, bounded.
    evidence: Belief,
    /// The distribution with the pool's as prior.
    belief: Belief,
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
}

/// Learned speeds of workers.
#[derive(Clone, Debug)]
pub struct WorkerSpeeds {
    workers: HashMap<Name, KnownWorker>,
    samples: VecDeque<KeptSample>,
    /// The distribution of the pool, which is the prior of each worker.
    pool: Belief,
    /// The sample to visit again next.
    next: usize,
}

impl Default for WorkerSpeeds {
    fn default() -> Self {
        Self {
            workers: HashMap::default(),
            samples: VecDeque::new(),
            pool: initial_pool(),
            next: 0,
        }
    }
}

fn initial_pool() -> Belief {
    let nominal = Belief::normal(0.0, NOMINAL_DEVIATION).normalized();
    let other = Belief::normal(0.0, OTHER_DEVIATION).normalized();
    Belief::from_fn(|_| 0.0)
        .plus(&nominal, NOMINAL_SHARE)
        .plus(&other, 1.0 - NOMINAL_SHARE)
        .normalized()
}

impl KnownWorker {
    fn new(pool: &Belief) -> Self {
        Self {
            past: Belief::flat(),
            evidence: Belief::flat(),
            belief: pool.clone(),
            is_restored: false,
        }
    }

    fn update(&mut self, pool: &Belief) {
        self.belief = pool.times(&self.evidence).normalized();
    }
}

impl WorkerSpeeds {
    /// Adds a sample, or replaces the earlier one of the same run.
    pub fn observe(&mut self, sample: SpeedSample) {
        let is_measured = sample.ratio.is_finite() && sample.ratio > 0.0;
        if !is_measured || sample.workers.is_empty() {
            return;
        }
        let (ratio_ln, deviation) = (sample.ratio.ln(), sample.deviation.max(MIN_DEVIATION));
        let normal = Belief::normal(ratio_ln, deviation);
        let likelihood = Belief::from_fn(|_| OUTLIER_SHARE).plus(&normal, 1.0 - OUTLIER_SHARE);
        for worker in &sample.workers {
            self.workers
                .entry(worker.clone())
                .or_insert_with(|| KnownWorker::new(&self.pool));
        }
        let known = self
            .samples
            .iter()
            .position(|s| s.run == sample.run && s.workers == sample.workers);
        let kept = match known {
            Some(i) => {
                self.samples[i].likelihood = likelihood;
                i
            }
            None => {
                let messages = vec![Belief::flat(); sample.workers.len()];
                self.samples.push_back(KeptSample {
                    run: sample.run,
                    workers: sample.workers,
                    likelihood,
                    messages,
                });
                self.drop_oldest();
                self.samples.len() - 1
            }
        };
        self.visit(kept);
        for _ in 0..REVISITED_SAMPLES.min(self.samples.len()) {
            self.next = (self.next + 1) % self.samples.len();
            self.visit(self.next);
        }
        self.learn_pool();
    }

    /// Moves the messages of the oldest sample into the past of its workers if there are too many.
    fn drop_oldest(&mut self) {
        if self.samples.len() <= MAX_SAMPLES {
            return;
        }
        let Some(oldest) = self.samples.pop_front() else {
            return;
        };
        for (worker, message) in oldest.workers.iter().zip(&oldest.messages) {
            if let Some(known) = self.workers.get_mut(worker) {
                known.past = known.past.times(message).bounded();
            }
        }
    }

    /// Updates the messages of a sample to its workers.
    fn visit(&mut self, sample: usize) {
        let KeptSample {
            workers,
            likelihood,
            messages,
            ..
        } = &mut self.samples[sample];
        let others: Vec<Belief> = workers
            .iter()
            .zip(&*messages)
            .map(|(worker, message)| match self.workers.get(worker) {
                Some(known) => {
                    let evidence = known.evidence.without(message).bounded();
                    self.pool.times(&evidence).normalized()
                }
                None => self.pool.clone(),
            })
            .collect();
        let new = messages_to_members(likelihood, &others);
        for ((worker, old), new) in workers.iter().zip(messages.iter_mut()).zip(new) {
            if let Some(known) = self.workers.get_mut(worker) {
                known.evidence = known.evidence.without(old).times(&new).bounded();
                known.update(&self.pool);
            }
            *old = new;
        }
    }

    /// Learns the distribution of the pool from the workers about which there is evidence.
    fn learn_pool(&mut self) {
        let mut pool = Belief::from_fn(|_| 0.0).plus(&initial_pool(), PRIOR_WORKERS);
        for known in self.workers.values() {
            pool = pool.plus(&known.belief, 1.0);
        }
        self.pool = pool.normalized();
        for known in self.workers.values_mut() {
            known.update(&self.pool);
        }
    }

    /// Takes over what an earlier planner knew about a worker, unless this one has already told its
    /// agent an estimate of its own.
    pub fn restore(&mut self, worker: &Name, estimate: SpeedEstimate) {
        let known = self
            .workers
            .entry(worker.clone())
            .or_insert_with(|| KnownWorker::new(&self.pool));
        if std::mem::replace(&mut known.is_restored, true) {
            return;
        }
        let mean = f64::from(estimate.ln_milli) / 1_000.0;
        let deviation = f64::from(estimate.deviation_milli) / 1_000.0;
        // The estimate includes the pool's distribution, which is the prior here as well. For a
        // well-known worker that changes little; one that is hardly known adds nothing.
        let likelihood = Belief::normal(mean, deviation.max(MIN_DEVIATION));
        let likelihood = likelihood.plus(&Belief::flat(), OUTLIER_SHARE).bounded();
        known.past = known.past.times(&likelihood).bounded();
        known.evidence = known.evidence.times(&likelihood).bounded();
        known.update(&self.pool);
    }

    /// Records that the worker's agent is told the current estimate.
    pub fn told(&mut self, worker: &Name) {
        if let Some(known) = self.workers.get_mut(worker) {
            known.is_restored = true;
        }
    }

    fn belief(&self, worker: &Name) -> &Belief {
        self.workers.get(worker).map_or(&self.pool, |k| &k.belief)
    }

    /// Returns how many times longer tasks are expected to take on a worker than on a nominal one.
    pub fn slowness(&self, worker: &Name) -> f64 {
        self.belief(worker).expect(f64::exp)
    }

    /// Returns the standard deviation of the logarithm of a worker's slowness.
    pub fn deviation(&self, worker: &Name) -> f64 {
        self.belief(worker).moments().1
    }

    /// Returns what is known about a worker; `None` if there is no evidence.
    pub fn estimate(&self, worker: &Name) -> Option<SpeedEstimate> {
        let (mean, deviation) = self.workers.get(worker)?.belief.moments();
        Some(SpeedEstimate {
            ln_milli: (mean * 1_000.0).round() as i32,
            deviation_milli: (deviation * 1_000.0).round() as u32,
        })
    }

    /// Returns the expected slowness of a gang on these workers, which is that of its slowest one.
    pub fn gang_slowness<'a>(&self, workers: impl Iterator<Item = &'a Name>) -> f64 {
        largest(workers.map(|w| self.belief(w))).expect(f64::exp)
    }

    /// Returns the slowness of a worker in steps; 0 is nominal, and faster workers have negative
    /// steps.
    pub fn step(&self, worker: &Name) -> i32 {
        let steps = self.slowness(worker).ln() / STEP_RATIO.ln();
        (steps.round() as i32).min(SLOWEST_STEP - 1)
    }

    /// Returns the number of workers about which there is evidence.
    pub fn known_workers(&self) -> usize {
        self.workers.len()
    }

    /// Removes what is known about a worker that is gone or has booted again.
    pub fn remove_worker(&mut self, worker: &Name) {
        self.workers.remove(worker);
        self.samples.retain(|s| !s.workers.contains(worker));
        self.next = 0;
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
