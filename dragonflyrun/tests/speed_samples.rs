//! Which reports of runs teach the planner the speeds of workers.

mod workload_tables;

use dragonflyrun::{
    port::EndKind,
    utils::{HashMap, Name},
    workload::{Pace, Progress, RunId, Step},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use workload_tables::{Harness, task};

/// Lets a worker report that each of its runs of a job will take `total_ms` as a whole.
fn report_total(harness: &mut Harness, worker: &str, job: &str, total_ms: u64) {
    let job = job.to_owned();
    harness.change_report(worker, |report| {
        let totals = report
            .running
            .iter()
            .map(|run| match *run.run.task.job == *job {
                true => Progress {
                    remaining_ms: Some(total_ms / 2),
                    total_ms,
                },
                false => Progress::default(),
            });
        report.progress = totals.collect();
    });
}

fn gang(tasks: u32, estimate_ms: u64) -> Step {
    Step {
        tasks,
        gang: true,
        one_rack: true,
        estimate_ms,
        ..task(8)
    }
}

fn slowness(harness: &Harness, worker: &str) -> f64 {
    harness.planner.speeds().slowness(&Name::from(worker))
}

/// Runs the job's only step until its end, with the same time of the whole work on all workers.
fn run_to_end(harness: &mut Harness, job: &str, steps: Vec<Step>, total_ms: u64) -> Vec<Name> {
    harness.submit(job, 0, steps);
    harness.pass();
    let runs = harness.running(job);
    for (worker, _) in &runs {
        report_total(harness, worker, job, total_ms);
    }
    harness.now_ms += total_ms + 300;
    harness.end_runs(job, EndKind::Done);
    harness.pass();
    runs.into_iter().map(|(worker, _)| worker).collect()
}

/// Guards against a pool that stays unknown because its gangs save no checkpoints. All gangs on some
/// workers take 1.6 times their callers' estimate, and those on the others take as long as estimated.
#[test]
fn progress_of_gangs() {
    let mut harness = Harness::new(6);
    for i in 0..12 {
        let job = format!("gang-{i}");
        harness.submit(&job, 0, vec![gang(3, 2_000)]);
        harness.pass();
        let runs = harness.running(&job);
        let slow = runs.iter().any(|(worker, _)| &**worker < "w3");
        let total_ms = if slow { 3_200 } else { 2_000 };
        for (worker, _) in &runs {
            report_total(&mut harness, worker, &job, total_ms);
        }
        harness.now_ms += total_ms + 300;
        // Two gangs at a time fill the pool, so that both racks are used.
        if i % 2 == 1 {
            harness.end_runs(&format!("gang-{}", i - 1), EndKind::Done);
            harness.end_runs(&job, EndKind::Done);
            harness.pass();
        }
    }
    let of_gang = |workers: [&str; 3]| {
        let workers = workers.map(Name::from);
        harness.planner.speeds().gang_slowness(workers.iter())
    };
    let (slow, nominal) = (of_gang(["w0", "w1", "w2"]), of_gang(["w3", "w4", "w5"]));
    assert!(slow > 1.35 && nominal < 1.1, "{slow} and {nominal}");
}

/// Guards against short tasks that teach nothing because they end before the planner has heard of
/// their progress.
#[test]
fn duration_of_short_tasks() {
    let mut harness = Harness::new(2);
    for i in 0..12 {
        let job = format!("short-{i}");
        harness.submit(
            &job,
            0,
            vec![Step {
                tasks: 2,
                ..task(8)
            }],
        );
        harness.pass();
        let runs = harness.running(&job);
        harness.now_ms += 2_300;
        end_on(&mut harness, &runs, "w0");
        harness.now_ms += 1_200;
        end_on(&mut harness, &runs, "w1");
        harness.pass();
    }
    let (nominal, slow) = (slowness(&harness, "w0"), slowness(&harness, "w1"));
    assert!(slow > 1.25 && nominal < 1.1, "{slow} and {nominal}");
}

fn end_on(harness: &mut Harness, runs: &[(Name, RunId)], worker: &str) {
    for (_, run) in runs.iter().filter(|(w, _)| &**w == worker) {
        harness.end_run(run, EndKind::Done);
    }
    harness.report(worker);
}

/// Guards against a step whose caller's estimate is far off and that makes all its workers appear
/// slow, while one of them really is: the tasks of the step show which one.
#[test]
fn tasks_of_one_step() {
    let mut harness = Harness::new(6);
    let tasks = Step {
        tasks: 24,
        estimate_ms: 4_000,
        ..task(2)
    };
    harness.submit("many", 2, vec![tasks]);
    harness.pass();
    // The work is 10 s, of which the caller knew nothing.
    for worker in 0..6 {
        let total_ms = if worker == 2 { 16_000 } else { 10_000 };
        report_total(&mut harness, &format!("w{worker}"), "many", total_ms);
    }
    harness.report_all();
    let slow = slowness(&harness, "w2");
    let others = [0, 1, 3, 4, 5].map(|i| slowness(&harness, &format!("w{i}")));
    let slowest = others.into_iter().fold(0.0, f64::max);
    assert!(slow > 1.2 && slow > slowest * 1.15, "{slow} and {others:?}");
}

/// Guards against a pool that is learned to be slow, or its callers to be wrong, when estimates are
/// off in both directions on equal workers.
#[test]
fn rough_estimates() {
    let mut harness = Harness::new(6);
    for i in 0..24 {
        let estimate_ms = if i % 2 == 0 { 3_000 } else { 1_300 };
        run_to_end(
            &mut harness,
            &format!("job-{i}"),
            vec![gang(3, estimate_ms)],
            2_000,
        );
    }
    for i in 0..6 {
        let worker = Name::from(format!("w{i}"));
        assert_eq!(harness.planner.speeds().step(&worker), 0, "{worker}");
    }
}

/// Guards against healthy workers that count as slow because their gang was spread over two racks
/// although it should run in one, which is slow on any workers.
#[test]
fn spread_gangs() {
    let mut harness = Harness::new(6);
    for i in 0..6 {
        // A gang of four doesn't fit into a rack of three workers.
        harness.submit(&format!("wide-{i}"), 0, vec![gang(4, 2_000)]);
        harness.pass();
        harness.advance(9_000);
        harness.pass();
        let job = format!("wide-{i}");
        let runs = harness.running(&job);
        assert_eq!(runs.len(), 4, "the gang starts on two racks");
        for (worker, _) in &runs {
            report_total(&mut harness, worker, &job, 6_000);
        }
        harness.now_ms += 6_300;
        harness.end_runs(&job, EndKind::Done);
        harness.pass();
    }
    for i in 0..6 {
        assert_eq!(
            slowness(&harness, &format!("w{i}")),
            slowness(&harness, "none")
        );
    }
}

/// Guards against a fast worker that counts as slow, or the reverse, because a run resumed from a
/// checkpoint is compared with the whole work, and against lasting tasks, which have no work that
/// ends.
#[test]
fn resumed_and_lasting() {
    let mut harness = Harness::new(1);
    let lasting = Step {
        lasting: true,
        ..task(1)
    };
    harness.submit("lasting", 1, vec![lasting]);
    let resumable = Step {
        checkpoints: true,
        ..task(4)
    };
    harness.submit("resumed", 1, vec![resumable]);
    harness.pass();
    harness.change_report("w0", |report| {
        for run in &mut report.running {
            run.checkpoint = "c1".into();
        }
    });
    let (_, run) = harness.running("resumed").remove(0);
    harness.end_run(&run, EndKind::Stopped);
    harness.report_all();
    harness.pass();
    assert!(
        harness.running("resumed")[0].1.number > run.number,
        "it runs again"
    );
    report_total(&mut harness, "w0", "lasting", 9_000);
    report_total(&mut harness, "w0", "resumed", 9_000);
    harness.now_ms += 9_000;
    harness.end_runs("resumed", EndKind::Done);
    assert_eq!(harness.planner.speeds().known_workers(), 0);
}

/// Guards against a worker that counts as slow or fast because it fails what it starts.
#[test]
fn failing_worker() {
    let mut harness = Harness::new(1);
    for i in 0..6 {
        harness.submit(&format!("job-{i}"), 0, vec![task(8)]);
        harness.pass();
        harness.now_ms += 50;
        harness.end_runs(&format!("job-{i}"), EndKind::Failed);
        harness.now_ms += 10_000;
    }
    assert_eq!(harness.planner.speeds().known_workers(), 0);
}

/// A run, how long it takes as a whole in milliseconds, and when it began.
type TimedRun = (RunId, f64, u64);

/// A pool of 64 workers in racks of 8, each of one of the given speeds,
/// with urgent gangs and patient single tasks that execute in simulated time.
struct Day {
    harness: Harness,
    rng: SmallRng,
    slowness: HashMap<Name, f64>,
    /// The work of each job's tasks in milliseconds on a nominal worker, by the index of the task.
    works: HashMap<String, Vec<f64>>,
    /// When each run began.
    began: HashMap<RunId, u64>,
}

impl Day {
    fn new(seed: u64, mix: &[f64]) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut harness = Harness::new(0);
        let mut slowness = HashMap::default();
        for i in 0..64 {
            let name = format!("w{i:02}");
            harness.add_worker(&name, &format!("r{}", i / 8));
            slowness.insert(name.into(), mix[rng.random_range(0..mix.len())]);
        }
        Self {
            harness,
            rng,
            slowness,
            works: HashMap::default(),
            began: HashMap::default(),
        }
    }

    fn factor(&mut self, deviation: f64) -> f64 {
        let (u, v): (f64, f64) = (self.rng.random(), self.rng.random());
        let normal = (-2.0 * (1.0 - u).ln()).sqrt() * (std::f64::consts::TAU * v).cos();
        (deviation * normal).exp()
    }

    fn submit(&mut self, job: String, priority: u32, step: Step, work_ms: f64, errors: [f64; 2]) {
        let [estimate_error, task_spread] = errors;
        let factors: Vec<f64> = (0..step.tasks).map(|_| self.factor(task_spread)).collect();
        let step = Step {
            estimate_ms: (work_ms * self.factor(estimate_error)) as u64,
            ..step
        };
        self.harness.submit(&job, priority, vec![step]);
        let works = factors.into_iter().map(|f| f * work_ms).collect();
        self.works.insert(job, works);
    }

    /// Returns how long a run takes as a whole; a gang is as slow as its slowest worker.
    fn total_ms(&self, worker: &Name, run: &RunId) -> f64 {
        let job = &*run.task.job;
        let slowest = if job.starts_with("gang") {
            let members = self.harness.running(job);
            members
                .iter()
                .map(|(w, _)| self.slowness[w])
                .fold(0.0, f64::max)
        } else {
            self.slowness[worker]
        };
        self.works[job][run.task.index as usize] * slowest
    }

    /// Advances by 0.4 s: ends runs, and lets all workers report.
    fn step(&mut self) {
        self.harness.now_ms += 400;
        let now_ms = self.harness.now_ms;
        let mut updates: Vec<(Name, Vec<TimedRun>)> = Vec::new();
        for report in &self.harness.reports {
            let worker = &report.heartbeat.worker;
            let runs = report.running.iter().map(|running| {
                let run = running.run.clone();
                let began_ms = *self.began.entry(run.clone()).or_insert(now_ms - 200);
                (run, began_ms)
            });
            let runs: Vec<(RunId, u64)> = runs.collect();
            let timed = runs.into_iter();
            let timed = timed.map(|(run, began)| (run.clone(), self.total_ms(worker, &run), began));
            updates.push((worker.clone(), timed.collect()));
        }
        for (worker, runs) in updates {
            for (run, total_ms, began_ms) in &runs {
                if (now_ms - began_ms) as f64 >= *total_ms {
                    self.harness.end_run(run, EndKind::Done);
                }
            }
            let totals = |run: &RunId| {
                let found = runs.iter().find(|(r, ..)| r == run);
                found.map_or((0, 0), |(_, total_ms, began_ms)| {
                    (*total_ms as u64, now_ms - began_ms)
                })
            };
            self.harness.change_report(&worker, |report| {
                let progress = report.running.iter().map(|running| {
                    let (total_ms, elapsed_ms) = totals(&running.run);
                    match elapsed_ms >= 600 {
                        true => Progress {
                            remaining_ms: Some(total_ms.saturating_sub(elapsed_ms)),
                            total_ms,
                        },
                        false => Progress::default(),
                    }
                });
                report.progress = progress.collect();
                let ended = report.ends.iter().map(|end| totals(&end.run).0);
                report.end_totals_ms = ended.collect();
            });
        }
        self.harness.pass();
    }

    /// Returns the mean error of the logarithm of the slowness, and the share of rightly ordered pairs
    /// of workers.
    fn errors(&self) -> (f64, f64) {
        let estimate = |worker: &Name| self.harness.planner.speeds().slowness(worker).ln();
        let workers: Vec<(f64, f64)> = self
            .slowness
            .iter()
            .map(|(worker, slowness)| (slowness.ln(), estimate(worker)))
            .collect();
        let error: f64 = workers.iter().map(|(s, e)| (s - e).abs()).sum();
        let (mut right, mut pairs) = (0.0, 0.0_f64);
        for (s, e) in &workers {
            for (_, f) in workers.iter().filter(|(t, _)| s < t) {
                pairs += 1.0;
                right += if (f - e).abs() < 1e-9 {
                    0.5
                } else {
                    f64::from(u8::from(f > e))
                };
            }
        }
        (error / workers.len() as f64, right / pairs.max(1.0))
    }
}

/// Guards against a planner that knows too little about its workers after half a traffic day, and
/// against one that finds differences in a pool of equal workers.
#[test]
fn half_a_day() {
    for (mix, most, least) in [
        (vec![0.6, 1.0, 1.6], 0.25, 0.8),
        (vec![1.0, 1.0, 1.3], 0.09, 0.74),
        (vec![1.0], 0.05, 0.0),
    ] {
        let mut day = Day::new(7, &mix);
        let mut number = 0;
        for step in 0..75 {
            if step % 2 == 0 {
                number += 1;
                let gang = gang(day.rng.random_range(3..=7), 0);
                day.submit(format!("gang-{number}"), 0, gang, 2_300.0, [0.2, 0.0]);
            }
            if step % 10 == 0 {
                let tasks = Step {
                    tasks: 39,
                    ..task(1)
                };
                day.submit(format!("many-{number}"), 2, tasks, 8_500.0, [0.5, 0.2]);
            }
            day.step();
            if [12, 25, 50, 74].contains(&step) {
                let (error, ordered) = day.errors();
                let known = day.harness.planner.speeds().known_workers();
                println!(
                    "mix={mix:?} seconds={:.1} known={known} error={error:.3} ordered={ordered:.3}",
                    day.harness.now_ms as f64 / 1_000.0
                );
            }
        }
        let (error, ordered) = day.errors();
        assert!(
            error <= most && ordered >= least,
            "{mix:?}: {error} {ordered}"
        );
        if mix.len() == 1 {
            let speeds = day.harness.planner.speeds();
            let steps: Vec<i32> = day.slowness.keys().map(|w| speeds.step(w)).collect();
            let nominal = steps.iter().filter(|s| **s == 0).count();
            println!("equal workers: nominal={nominal} of {}", steps.len());
            assert!(
                steps.iter().all(|s| s.abs() <= 1) && nominal >= 60,
                "{steps:?}"
            );
        }
    }
}

/// Guards against callers that count as too hopeful because the whole pool is slow: only a pace by
/// checkpoints tells the two apart. All tasks take 1.6 times their estimate, on slow workers in one
/// pool, and by the callers' fault in the other.
#[test]
fn slow_pool_or_wrong_callers() {
    let slowness_with = |interval_ms: u64| {
        let mut harness = Harness::new(3);
        for i in 0..8 {
            let job = format!("job-{i}");
            let step = Step {
                tasks: 3,
                checkpoints: true,
                estimate_ms: 6_000,
                ..task(8)
            };
            harness.submit(&job, 1, vec![step]);
            harness.pass();
            for (worker, run) in harness.running(&job) {
                harness.change_report(&worker, |report| {
                    report.paces = vec![Pace {
                        run,
                        intervals: 3,
                        took_ms: 3 * interval_ms,
                    }];
                });
                report_total(&mut harness, &worker, &job, 9_600);
            }
            harness.now_ms += 9_900;
            harness.end_runs(&job, EndKind::Done);
            harness.pass();
        }
        slowness(&harness, "w0")
    };
    let (slow, nominal) = (slowness_with(3_200), slowness_with(2_000));
    assert!((1.5..1.7).contains(&slow), "{slow}");
    assert!((0.95..1.05).contains(&nominal), "{nominal}");
}
