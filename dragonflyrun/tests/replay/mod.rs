//! Replays a load pattern against a policy: workers that run what they are told, on a clock of its own.

mod naive;
mod pattern;
mod planned;

use std::collections::BTreeMap;

use dragonflyrun::{port::EndKind, utils::Name, workload::RunId};

pub(crate) use naive::Naive;
pub(crate) use pattern::Pattern;
pub(crate) use planned::Planned;

use pattern::{Change, PatternJob, PatternStep};

/// Milliseconds of one step of the replay.
const TICK_MS: u64 = 20;

/// Milliseconds that a stop takes.
const STOP_MS: u64 = 200;

/// Milliseconds from the last job on in which jobs may still come to their end.
const AFTER_MS: u64 = 120_000;

/// A task takes so many times as long on more than one rack, and on a worker that is slow.
const FAR_FACTOR: u64 = 3;
const SLOW_FACTOR: u64 = 6;

/// Milliseconds of work from one checkpoint to the next.
const CHECKPOINT_MS: u64 = 2_000;

/// Workers of a rack, which is a failure domain too.
const PER_RACK: usize = 3;

/// A job is of use, though late, up to so many times its objective.
const USEFUL_FACTOR: u64 = 3;

/// Accelerators of a worker.
pub(crate) const ACCELERATORS: u64 = 8;

/// What a policy wants.
#[derive(Clone, Debug)]
pub(crate) enum Command {
    /// A run begins on a worker, with work of so many milliseconds done before.
    Start {
        run: RunId,
        worker: usize,
        done_ms: u64,
    },
    /// A run ends.
    Stop { run: RunId },
}

/// Decides what runs where.
pub(crate) trait Policy {
    /// A job has come.
    fn submit(&mut self, number: usize, job: &PatternJob);
    /// A job's caller has cancelled it.
    fn cancel(&mut self, number: usize);
    /// A run has ended, with work of so many milliseconds saved.
    fn ended(&mut self, worker: usize, run: &RunId, kind: EndKind, saved_ms: u64);
    /// A worker is gone with all that it ran, or there again.
    fn worker(&mut self, worker: usize, here: bool);
    /// A failure domain is out of service, or back in it.
    fn domain(&mut self, domain: &str, out: bool);
    /// Returns what to do now.
    fn decide(&mut self, now_ms: u64) -> Vec<Command>;
}

/// A run on a worker.
struct Running {
    run: RunId,
    job: usize,
    worker: usize,
    done_before_ms: u64,
    began_ms: u64,
    /// Milliseconds of work done in this run.
    worked: f64,
    stop_at_ms: Option<u64>,
}

/// What became of the jobs of one priority.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Served {
    pub(crate) jobs: usize,
    pub(crate) in_time: usize,
    pub(crate) late: usize,
}

/// What a replay shows.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    /// By priority.
    pub(crate) served: [Served; 3],
    /// Accelerator-seconds of work that counted, that was thrown away, and idle up to the last job's arrival.
    pub(crate) useful: f64,
    pub(crate) wasted: f64,
    pub(crate) idle: f64,
    /// Milliseconds to the start of each gang of a whole rack's size or half of it.
    pub(crate) large_starts_ms: Vec<u64>,
    /// Jobs that never came to an end.
    pub(crate) unfinished: usize,
}

impl Outcome {
    /// Returns the share of the jobs of a priority that were done while they were of use.
    pub(crate) fn share(&self, priority: usize) -> f64 {
        let served = self.served[priority];
        (served.in_time + served.late) as f64 / served.jobs.max(1) as f64
    }

    /// Returns the share of the jobs of a priority that were in time.
    pub(crate) fn in_time(&self, priority: usize) -> f64 {
        let served = self.served[priority];
        served.in_time as f64 / served.jobs.max(1) as f64
    }
}

/// A replay under way.
struct Replay<'a> {
    pattern: &'a Pattern,
    now_ms: u64,
    running: Vec<Running>,
    state: Vec<Change>,
    ended_ms: Vec<Option<u64>>,
    done: BTreeMap<(usize, u32, u32), bool>,
    outcome: Outcome,
}

/// Replays `pattern` under `policy`.
pub(crate) fn replay(pattern: &Pattern, policy: &mut dyn Policy) -> Outcome {
    let mut replay = Replay {
        pattern,
        now_ms: 0,
        running: Vec::new(),
        state: vec![Change::Well; pattern.workers],
        ended_ms: vec![None; pattern.jobs.len()],
        done: BTreeMap::new(),
        outcome: Outcome::default(),
    };
    let last_ms = pattern.jobs.last().map_or(0, |j| j.at_ms);
    while replay.now_ms < last_ms + AFTER_MS && replay.ended_ms.iter().any(Option::is_none) {
        replay.step(policy, last_ms);
        replay.now_ms += TICK_MS;
    }
    replay.sum_up()
}

impl Replay<'_> {
    fn step(&mut self, policy: &mut dyn Policy, last_ms: u64) {
        let due = self.now_ms..self.now_ms + TICK_MS;
        for event in self
            .pattern
            .events
            .iter()
            .filter(|e| due.contains(&e.at_ms))
        {
            if let Some(domain) = &event.domain {
                policy.domain(domain, event.what == Change::Out);
            }
            if let Some(worker) = event.worker {
                self.befall(worker, event.what, policy);
            }
        }
        for (number, job) in self.pattern.jobs.iter().enumerate() {
            if due.contains(&job.at_ms) {
                policy.submit(number, job);
            }
            if job.cancel_ms.is_some_and(|at| due.contains(&at)) && self.ended_ms[number].is_none()
            {
                policy.cancel(number);
                self.ended_ms[number] = Some(self.now_ms);
            }
        }
        self.work(policy);
        for command in policy.decide(self.now_ms) {
            self.carry_out(command);
        }
        if self.now_ms < last_ms {
            let busy: u64 = self
                .running
                .iter()
                .map(|r| self.shape(r).accelerators)
                .sum();
            let all = self.pattern.workers as u64 * ACCELERATORS;
            self.outcome.idle += all.saturating_sub(busy) as f64 * TICK_MS as f64 / 1_000.0;
        }
    }

    fn befall(&mut self, worker: usize, change: Change, policy: &mut dyn Policy) {
        let was = std::mem::replace(&mut self.state[worker], change);
        if change == Change::Gone {
            let lost: Vec<RunId> = self.on(worker).map(|r| r.run.clone()).collect();
            for run in lost {
                self.take_out(&run, false);
            }
            policy.worker(worker, false);
        } else if was == Change::Gone {
            policy.worker(worker, true);
        }
    }

    fn on(&self, worker: usize) -> impl Iterator<Item = &Running> {
        self.running.iter().filter(move |r| r.worker == worker)
    }

    fn shape(&self, run: &Running) -> &PatternStep {
        &self.pattern.jobs[run.job].steps[run.run.task.step as usize]
    }

    fn carry_out(&mut self, command: Command) {
        match command {
            Command::Start {
                run,
                worker,
                done_ms,
            } => {
                let job = job_number(&run.task.job);
                if run.task.index == 0 && self.is_large(job, run.task.step) {
                    let waited = self.now_ms - self.pattern.jobs[job].at_ms;
                    self.outcome.large_starts_ms.push(waited);
                }
                self.running.push(Running {
                    run,
                    job,
                    worker,
                    done_before_ms: done_ms,
                    began_ms: self.now_ms,
                    worked: 0.0,
                    stop_at_ms: None,
                });
                let used: u64 = self.on(worker).map(|r| self.shape(r).accelerators).sum();
                assert!(used <= ACCELERATORS, "a worker was overcommitted");
            }
            Command::Stop { run } => {
                let stop_at = self.now_ms + STOP_MS;
                let running = self.running.iter_mut().find(|r| r.run == run);
                if let Some(running) = running {
                    running.stop_at_ms.get_or_insert(stop_at);
                }
            }
        }
    }

    fn is_large(&self, job: usize, step: u32) -> bool {
        let shape = &self.pattern.jobs[job].steps[step as usize];
        shape.gang && u64::from(shape.tasks) * shape.accelerators >= 2 * ACCELERATORS
    }

    /// Lets a tick of work go by and ends what is due.
    fn work(&mut self, policy: &mut dyn Policy) {
        let mut over = Vec::new();
        for i in 0..self.running.len() {
            let speed = self.speed(&self.running[i]);
            self.running[i].worked += TICK_MS as f64 * speed;
            let run = &self.running[i];
            let total = run.done_before_ms as f64 + run.worked;
            let fails = self.state[run.worker] == Change::Fails;
            let stopped = run.stop_at_ms.is_some_and(|at| at <= self.now_ms);
            if fails && self.now_ms > run.began_ms {
                over.push((run.run.clone(), EndKind::Failed));
            } else if total >= self.shape(run).true_ms as f64 {
                over.push((run.run.clone(), EndKind::Done));
            } else if stopped {
                over.push((run.run.clone(), EndKind::Stopped));
            }
        }
        for (run, kind) in over {
            self.end(&run, kind, policy);
        }
    }

    fn speed(&self, run: &Running) -> f64 {
        let members = || {
            let of_gang = |r: &&Running| r.job == run.job && r.run.task.step == run.run.task.step;
            self.running.iter().filter(of_gang)
        };
        let shape = self.shape(run);
        if shape.gang && members().count() < shape.tasks as usize {
            return 0.0;
        }
        let with: Vec<&Running> = if shape.gang {
            members().collect()
        } else {
            vec![run]
        };
        let still = with
            .iter()
            .any(|r| self.state[r.worker] == Change::StandsStill);
        let slow = with.iter().any(|r| self.state[r.worker] == Change::Slow);
        let rack = run.worker / PER_RACK;
        let far = shape.one_rack && with.iter().any(|r| r.worker / PER_RACK != rack);
        let factor = if slow { SLOW_FACTOR } else { 1 } * if far { FAR_FACTOR } else { 1 };
        if still { 0.0 } else { 1.0 / factor as f64 }
    }

    fn end(&mut self, run: &RunId, kind: EndKind, policy: &mut dyn Policy) {
        let Some(first) = self.running.iter().find(|r| r.run == *run) else {
            return;
        };
        let (job, step, gang) = (first.job, run.task.step, self.shape(first).gang);
        let members = self.running.iter().filter(|r| {
            r.run == *run
                || (gang && r.job == job && r.run.task.step == step && r.run.number == run.number)
        });
        let members: Vec<RunId> = members.map(|r| r.run.clone()).collect();
        for member in members {
            let own = member == *run;
            let how = match kind {
                EndKind::Done => EndKind::Done,
                _ if own => kind,
                _ => EndKind::GangBroken,
            };
            let Some((worker, saved)) = self.take_out(&member, kind == EndKind::Done) else {
                continue;
            };
            if kind == EndKind::Done {
                self.done.insert((job, step, member.task.index), true);
            }
            policy.ended(worker, &member, how, saved);
        }
        let steps = self.pattern.jobs[job].steps.iter().enumerate();
        let mut tasks = steps.flat_map(|(s, shape)| (0..shape.tasks).map(move |i| (s as u32, i)));
        let all = tasks.all(|(s, i)| self.done.contains_key(&(job, s, i)));
        if all {
            self.ended_ms[job].get_or_insert(self.now_ms);
        }
    }

    /// Takes a run out; returns its worker and the milliseconds of work that are saved.
    fn take_out(&mut self, run: &RunId, done: bool) -> Option<(usize, u64)> {
        let at = self.running.iter().position(|r| r.run == *run)?;
        let shape = self.shape(&self.running[at]);
        let (accelerators, checkpoints) = (shape.accelerators as f64, shape.checkpoints);
        let run = self.running.remove(at);
        let total = run.done_before_ms + run.worked as u64;
        let saved = if checkpoints {
            total - total % CHECKPOINT_MS
        } else {
            0
        };
        let kept = if done {
            total
        } else {
            saved.max(run.done_before_ms)
        };
        let kept_now = (kept - run.done_before_ms) as f64;
        self.outcome.useful += kept_now * accelerators / 1_000.0;
        self.outcome.wasted += (run.worked - kept_now).max(0.0) * accelerators / 1_000.0;
        Some((run.worker, saved.max(run.done_before_ms)))
    }

    fn sum_up(mut self) -> Outcome {
        for (job, ended) in self.pattern.jobs.iter().zip(&self.ended_ms) {
            if job.cancel_ms.is_some() {
                continue;
            }
            let served = &mut self.outcome.served[job.priority as usize];
            served.jobs += 1;
            let Some(ended) = ended else {
                self.outcome.unfinished += 1;
                continue;
            };
            let took = ended - job.at_ms;
            let objective = job.objective_ms();
            served.in_time += usize::from(took <= objective);
            served.late += usize::from(took > objective && took <= objective * USEFUL_FACTOR);
        }
        self.outcome
    }
}

/// Returns the name of the job with a number.
pub(crate) fn job_name(number: usize) -> Name {
    format!("job-{number}").into()
}

/// Returns the number of the job with a name.
pub(crate) fn job_number(name: &str) -> usize {
    let number = name.strip_prefix("job-").and_then(|n| n.parse().ok());
    number.expect("a job of the pattern")
}
