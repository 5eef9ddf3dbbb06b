//! How well the speeds of a pool are learned, compared with simpler estimates.

use std::time::Instant;

use dragonflyrun::{
    utils::{HashMap, Name},
    workload::{RunId, SpeedSample, TaskId, WorkerSpeeds},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Number of workers of a pool.
const WORKERS: usize = 64;

/// Standard deviation of the logarithm of callers' estimates.
const ESTIMATE_ERROR: f64 = 0.2;

/// Standard deviation of the logarithm of a pace by checkpoints.
const PACE_ERROR: f64 = 0.06;

/// Share of the gangs whose pace is measured: 45% of the normal ones, which are half of all.
const PACE_SHARE: f64 = 0.225;

/// Numbers of gangs after which the errors are measured.
const AFTER_RUNS: [usize; 4] = [5, 20, 60, 200];

/// Number of pools over which the errors are averaged.
const POOLS: u64 = 12;

/// A pool of workers in racks of 7 to 10, of which each has one of the given speeds.
struct Pool {
    rng: SmallRng,
    racks: Vec<Vec<usize>>,
    slowness: Vec<f64>,
}

/// The measured ratio of a gang, and the workers that it ran on.
struct GangRun {
    members: Vec<usize>,
    sample: SpeedSample,
}

impl Pool {
    fn new(seed: u64, speeds: &[f64]) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut slowness: Vec<f64> = (0..WORKERS).map(|i| speeds[i % speeds.len()]).collect();
        for i in (1..WORKERS).rev() {
            slowness.swap(i, rng.random_range(0..=i));
        }
        let mut racks = Vec::new();
        let mut first = 0;
        while first < WORKERS {
            let end = (first + rng.random_range(7..=10)).min(WORKERS);
            racks.push((first..end).collect());
            first = end;
        }
        Self {
            rng,
            racks,
            slowness,
        }
    }

    /// Returns a normally distributed value.
    fn normal(&mut self, deviation: f64) -> f64 {
        let (u, v): (f64, f64) = (self.rng.random(), self.rng.random());
        deviation * (-2.0 * (1.0 - u).ln()).sqrt() * (std::f64::consts::TAU * v).cos()
    }

    /// Returns a run of a gang of about five tasks on random workers of one rack.
    fn run(&mut self, number: usize) -> GangRun {
        let rack = self.rng.random_range(0..self.racks.len());
        let mut members = self.racks[rack].clone();
        let tasks = self.rng.random_range(3..=7).min(members.len());
        for i in 0..tasks {
            let other = self.rng.random_range(i..members.len());
            members.swap(i, other);
        }
        members.truncate(tasks);
        let has_pace = self.rng.random_bool(PACE_SHARE);
        let error = if has_pace { PACE_ERROR } else { ESTIMATE_ERROR };
        let slowest = members.iter().map(|i| self.slowness[*i]);
        let slowest = slowest.fold(0.0, f64::max);
        let sample = SpeedSample {
            run: run_id(number),
            workers: members.iter().map(|i| name(*i)).collect(),
            ratio: slowest * self.normal(error).exp(),
            deviation: error,
        };
        GangRun { members, sample }
    }

    /// Returns the mean error of the logarithm of the slowness, and the share of the pairs of
    /// different workers that are in the right order; a pair with equal estimates counts half.
    fn errors(&self, estimates: &[f64]) -> (f64, f64) {
        let errors = self.slowness.iter().zip(estimates);
        let error: f64 = errors.map(|(s, e)| (s.ln() - e.ln()).abs()).sum();
        let (mut right, mut pairs) = (0.0, 0.0_f64);
        for (i, s) in self.slowness.iter().enumerate() {
            for (j, t) in self.slowness.iter().enumerate() {
                if s < t {
                    pairs += 1.0;
                    let difference = estimates[j] - estimates[i];
                    right += if difference.abs() < 1e-9 {
                        0.5
                    } else {
                        f64::from(u32::from(difference > 0.0))
                    };
                }
            }
        }
        (error / WORKERS as f64, right / pairs.max(1.0))
    }
}

fn name(worker: usize) -> Name {
    format!("w{worker}").into()
}

fn run_id(number: usize) -> RunId {
    RunId {
        task: TaskId {
            job: format!("job-{number}").into(),
            occurrence: 0,
            step: 0,
            index: 0,
        },
        number: 1,
    }
}

/// A way to estimate the slowness of workers from the runs of gangs.
trait Estimate {
    fn observe(&mut self, run: &GangRun);
    fn slowness(&self, worker: usize) -> f64;
}

impl Estimate for WorkerSpeeds {
    fn observe(&mut self, run: &GangRun) {
        self.observe(run.sample.clone());
    }

    fn slowness(&self, worker: usize) -> f64 {
        self.slowness(&name(worker))
    }
}

/// Every member gets the gang's pace, averaged over its gangs.
#[derive(Default)]
struct GangPace(HashMap<usize, (f64, f64)>);

impl Estimate for GangPace {
    fn observe(&mut self, run: &GangRun) {
        for member in &run.members {
            let (sum, count) = self.0.entry(*member).or_default();
            *sum += run.sample.ratio.ln();
            *count += 1.0;
        }
    }

    fn slowness(&self, worker: usize) -> f64 {
        self.0.get(&worker).map_or(1.0, |(sum, n)| (sum / n).exp())
    }
}

/// Only gangs at full speed teach: their members are known not to be slow, and a worker that has only
/// been in slower gangs gets the pace of the fastest of these.
#[derive(Default)]
struct FastestGang(HashMap<usize, f64>);

impl Estimate for FastestGang {
    fn observe(&mut self, run: &GangRun) {
        for member in &run.members {
            let fastest = self.0.entry(*member).or_insert(f64::MAX);
            *fastest = fastest.min(run.sample.ratio);
        }
    }

    fn slowness(&self, worker: usize) -> f64 {
        self.0.get(&worker).copied().unwrap_or(1.0)
    }
}

/// Returns the mean error and the mean share of rightly ordered pairs after each number of runs.
fn measure<E: Estimate + Default>(speeds: &[f64]) -> Vec<(f64, f64)> {
    let mut sums = vec![(0.0, 0.0); AFTER_RUNS.len()];
    for seed in 0..POOLS {
        let mut pool = Pool::new(seed, speeds);
        let mut estimate = E::default();
        let mut runs = 0;
        for (sum, after) in sums.iter_mut().zip(AFTER_RUNS) {
            while runs < after {
                estimate.observe(&pool.run(runs));
                runs += 1;
            }
            let estimates: Vec<f64> = (0..WORKERS).map(|i| estimate.slowness(i)).collect();
            let (error, ordered) = pool.errors(&estimates);
            sum.0 += error / POOLS as f64;
            sum.1 += ordered / POOLS as f64;
        }
    }
    sums
}

fn print(mix: &[f64], way: &str, measured: &[(f64, f64)]) {
    for (runs, (error, ordered)) in AFTER_RUNS.iter().zip(measured) {
        println!("mix={mix:?} way={way} runs={runs} error={error:.3} ordered={ordered:.3}");
    }
}

/// Guards against estimates that are worse than simpler ones, and against changes that make them
/// worse.
#[test]
fn mixed_pools() {
    // After 60 and 200 runs: the largest error, and the smallest share of ordered pairs. Random gangs
    // of five say little where a third of the workers is slow: seven of eight have a slow member.
    let mixes = [
        ([0.6, 1.0, 1.6], [(0.39, 0.60), (0.33, 0.72)]),
        ([0.8, 1.0, 2.0], [(0.37, 0.63), (0.27, 0.75)]),
        ([1.0, 1.0, 1.3], [(0.12, 0.64), (0.10, 0.78)]),
    ];
    for (mix, bounds) in mixes {
        let learned = measure::<WorkerSpeeds>(&mix);
        let gang_pace = measure::<GangPace>(&mix);
        let fastest = measure::<FastestGang>(&mix);
        print(&mix, "learned", &learned);
        print(&mix, "gang_pace", &gang_pace);
        print(&mix, "fastest_gang", &fastest);
        for (i, (most, least)) in (2..).zip(bounds) {
            let (error, ordered) = learned[i];
            assert!(
                error <= most && ordered >= least,
                "{mix:?}: {error} {ordered}"
            );
            assert!(
                error < gang_pace[i].0 && ordered > gang_pace[i].1,
                "{mix:?}"
            );
            assert!(ordered > fastest[i].1, "{mix:?}");
        }
    }
}

/// Guards against placement that changes in a pool of equal workers because of rough measurements.
#[test]
fn equal_pool() {
    let (mut workers, mut nominal) = (0, 0);
    for seed in 0..POOLS {
        let mut pool = Pool::new(seed, &[1.0]);
        let mut speeds = WorkerSpeeds::default();
        for number in 0..300 {
            speeds.observe(pool.run(number).sample);
            for worker in 0..WORKERS {
                let step = speeds.step(&name(worker));
                assert!(
                    step.abs() <= 1,
                    "w{worker} has step {step} after {number} runs"
                );
                workers += 1;
                nominal += u64::from(step == 0);
            }
        }
    }
    println!(
        "equal pool: nominal={:.5}",
        nominal as f64 / f64::from(workers)
    );
    assert!(nominal as f64 >= 0.99 * f64::from(workers));
}

/// Returns the sample of a single task.
fn single(number: usize, worker: usize, ratio: f64) -> SpeedSample {
    SpeedSample {
        run: run_id(number),
        workers: vec![name(worker)],
        ratio,
        deviation: ESTIMATE_ERROR,
    }
}

/// Guards against a worker that is avoided for good because it was slow for five seconds, during
/// which two of its tasks took five times as long, whether it was known before or not.
#[test]
fn slow_for_seconds() {
    for known_before in [0, 6] {
        let mut speeds = WorkerSpeeds::default();
        for number in 0..known_before {
            speeds.observe(single(number, 0, 1.0));
        }
        speeds.observe(single(100, 0, 5.0));
        speeds.observe(single(101, 0, 5.0));
        let during = speeds.step(&name(0));
        println!(
            "slow for seconds: known={known_before} {:?}",
            speeds.estimate(&name(0))
        );
        speeds.observe(single(102, 0, 1.1));
        let after = speeds.step(&name(0));
        assert_eq!((during, after), (0, 0), "{known_before} runs before");
    }
}

/// Guards against a worker whose old measurements outweigh all new ones: its speed has changed for
/// good without a boot.
#[test]
fn changed_for_good() {
    let mut speeds = WorkerSpeeds::default();
    for number in 0..60 {
        speeds.observe(single(number, 0, 1.0));
    }
    let mut runs = 0;
    while speeds.step(&name(0)) < 4 {
        speeds.observe(single(100 + runs, 0, 1.6));
        runs += 1;
        assert!(runs <= 16, "still at step {}", speeds.step(&name(0)));
    }
    println!("changed for good: runs={runs}");
}

/// Guards against what a worker's gangs have said about their other members being lost when it
/// leaves, and against a leaving worker that breaks the table.
#[test]
fn worker_leaves() {
    let mut pool = Pool::new(1, &[0.6, 1.0, 1.6]);
    let mut speeds = WorkerSpeeds::default();
    let mut number = 0;
    for round in 0..40 {
        for _ in 0..20 {
            speeds.observe(pool.run(number).sample);
            number += 1;
        }
        let gone = name(round % WORKERS);
        speeds.remove_worker(&gone);
        assert_eq!(speeds.estimate(&gone), None);
        let known = speeds.known_workers();
        assert!(known < WORKERS, "{known}");
    }
    let all = (0..WORKERS).map(|w| speeds.slowness(&name(w)));
    let estimates: Vec<f64> = all.collect();
    assert!(estimates.iter().all(|s| s.is_finite()));
    let (error, ordered) = pool.errors(&estimates);
    println!("workers leave: error={error:.3} ordered={ordered:.3}");
    assert!(ordered > 0.75);
}

/// Guards against passes that take too long in a large pool. Run in release mode for the figure.
#[test]
fn large_pool_cost() {
    const HOSTS: usize = 983;
    const GANG: usize = 40;
    const RUNS: usize = 300;
    let mut rng = SmallRng::seed_from_u64(1);
    let mut speeds = WorkerSpeeds::default();
    let names: Vec<Name> = (0..HOSTS).map(name).collect();
    let samples: Vec<SpeedSample> = (0..RUNS)
        .map(|number| {
            let first = rng.random_range(0..=HOSTS - GANG);
            SpeedSample {
                run: run_id(number),
                workers: names[first..first + GANG].to_vec(),
                ratio: rng.random_range(0.8..1.4),
                deviation: ESTIMATE_ERROR,
            }
        })
        .collect();
    let began = Instant::now();
    for sample in samples {
        speeds.observe(sample);
    }
    let each = began.elapsed() / RUNS as u32;
    let began = Instant::now();
    let steps: i32 = names.iter().map(|n| speeds.step(n)).sum();
    let all_steps = began.elapsed();
    println!("observe={each:?} steps_of_all={all_steps:?} ({steps})");
    assert!(each.as_millis() < 50 && all_steps.as_millis() < 100);
}
