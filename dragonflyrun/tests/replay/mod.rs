//! Replays a recorded load pattern against a policy, with simulated workers and a simulated clock.

mod naive;
mod pattern;
mod planned;

use std::collections::BTreeMap;

use dragonflyrun::{
    port::{EndKind, RunningTask},
    utils::Name,
    workload::RunId,
};

pub(crate) use naive::Naive;
pub(crate) use pattern::Pattern;
pub(crate) use planned::Planned;

use pattern::{Change, PatternJob, PatternStep};

/// Simulated milliseconds per step of the replay.
const TICK_MS: u64 = 20;

/// The time in milliseconds that a stop takes.
const STOP_MS: u64 = 200;

/// The time in milliseconds after the last job's arrival in which jobs may still end.
const AFTER_LAST_JOB_MS: u64 = 120_000;

/// Factor by which a task takes longer if its gang spans several racks but should run in one.
const FAR_FACTOR: u64 = 3;
/// Factor by which a task takes longer on a slow worker.
const SLOW_FACTOR: u64 = 6;

/// Milliseconds of work between two checkpoints.
const CHECKPOINT_MS: u64 = 2_000;

/// Milliseconds between two readings of a worker's list of running tasks by its agent.
const READ_MS: u64 = 400;

/// A late job is still useful if it takes at most this multiple of its objective.
const USEFUL_FACTOR: u64 = 3;

/// Number of times that a caller submits a job that is refused.
const MAX_SUBMISSIONS: u32 = 3;

/// Number of accelerators per worker.
pub(crate) const ACCELERATORS: u64 = 8;

/// A decision of a policy.
#[derive(Clone, Debug)]
pub(crate) enum Command {
    /// Start a run on a worker. `done_ms` milliseconds of its work were done by earlier runs.
    Start {
        run: RunId,
        worker: usize,
        done_ms: u64,
    },
    /// Stop a run.
    Stop { run: RunId },
}

/// A policy decides which tasks run on which workers.
pub(crate) trait Policy {
    /// A job has arrived.
    fn submit(&mut self, number: usize, job: &PatternJob);
    /// Returns the milliseconds after which the caller of a job should return if the job is refused.
    fn refuse(&mut self, _now_ms: u64, _number: usize, _job: &PatternJob) -> Option<u64> {
        None
    }
    /// The caller of a job has cancelled it.
    fn cancel(&mut self, number: usize);
    /// A run has ended. `saved_ms` milliseconds of the task's work are checkpointed.
    fn run_ended(&mut self, worker: usize, run: &RunId, kind: EndKind, saved_ms: u64);
    /// A worker and all its runs were lost, or it has returned.
    fn worker_changed(&mut self, worker: usize, is_present: bool);
    /// A failure domain was taken out of service, or put back into it.
    fn domain_changed(&mut self, domain: &str, out: bool);
    /// The agent of a worker has read its list of running tasks.
    fn runs_read(&mut self, _now_ms: u64, _worker: usize, _running: &[RunningTask]) {}
    /// Returns the commands to execute now.
    fn decide(&mut self, now_ms: u64) -> Vec<Command>;
}

/// A running run.
struct Running {
    run: RunId,
    job: usize,
    worker: usize,
    /// Work that earlier runs of the task saved and that this run starts from.
    restored_work_ms: u64,
    started_ms: u64,
    /// The milliseconds of work done in this run.
    worked_ms: f64,
    stop_at_ms: Option<u64>,
}

/// The results for the jobs of one priority or workspace.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PriorityOutcome {
    pub(crate) jobs: usize,
    pub(crate) in_time: usize,
    pub(crate) late: usize,
}

impl PriorityOutcome {
    fn add(&mut self, result: JobResult) {
        self.jobs += 1;
        self.in_time += usize::from(result == JobResult::InTime);
        self.late += usize::from(result == JobResult::Late);
    }
}

/// What became of a job.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum JobResult {
    InTime,
    Late,
    /// It ended when its result was of no use any more.
    Useless,
    /// It was refused as often as its caller returned.
    Refused,
    /// It was cancelled, or did not end.
    #[default]
    Other,
}

/// The results of a replay.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    /// The results by priority.
    pub(crate) by_priority: [PriorityOutcome; 3],
    /// The results by workspace, for the jobs that name one.
    pub(crate) by_workspace: BTreeMap<String, PriorityOutcome>,
    /// Accelerator-seconds of work that counted and of work that was lost, and idle ones until the
    /// last job's arrival.
    pub(crate) useful: f64,
    pub(crate) wasted: f64,
    pub(crate) idle: f64,
    /// Accelerator-seconds, until the last job's arrival, of idle accelerators that could not serve
    /// the largest waiting shape.
    pub(crate) fragmented: f64,
    /// The number of runs that the policy stopped.
    pub(crate) stops: usize,
    /// The milliseconds from a job's arrival to the start of its gang, for each gang that needs at
    /// least the accelerators of two workers.
    pub(crate) large_starts_ms: Vec<u64>,
    /// The number of jobs that did not end.
    pub(crate) unfinished: usize,
    /// The results of all jobs, in the order of their arrival.
    pub(crate) results: Vec<JobResult>,
    /// The number of refusals of each job.
    pub(crate) refusals: Vec<u32>,
}

impl Outcome {
    /// Returns the share of the jobs of a priority that completed while they were still useful.
    pub(crate) fn share(&self, priority: usize) -> f64 {
        let jobs = self.by_priority[priority];
        (jobs.in_time + jobs.late) as f64 / jobs.jobs.max(1) as f64
    }

    /// Returns the share of the jobs of a priority that met their objective.
    pub(crate) fn in_time(&self, priority: usize) -> f64 {
        let jobs = self.by_priority[priority];
        jobs.in_time as f64 / jobs.jobs.max(1) as f64
    }
}

/// The state of a replay.
struct Replay<'a> {
    pattern: &'a Pattern,
    now_ms: u64,
    running: Vec<Running>,
    state: Vec<Change>,
    ended_ms: Vec<Option<u64>>,
    /// The refused jobs that will return, with the time and the number of their submissions.
    returning: Vec<(u64, usize, u32)>,
    refused: Vec<bool>,
    done: BTreeMap<(usize, u32, u32), bool>,
    outcome: Outcome,
}

/// Replays `pattern` under `policy`.
pub(crate) fn replay(pattern: &Pattern, policy: &mut dyn Policy) -> Outcome {
    let mut replay = Replay {
        pattern,
        now_ms: 0,
        running: Vec::new(),
        state: vec![Change::Healthy; pattern.workers],
        ended_ms: vec![None; pattern.jobs.len()],
        returning: Vec::new(),
        refused: vec![false; pattern.jobs.len()],
        done: BTreeMap::new(),
        outcome: Outcome {
            refusals: vec![0; pattern.jobs.len()],
            ..Outcome::default()
        },
    };
    let last_ms = pattern.jobs.last().map_or(0, |j| j.at_ms);
    while replay.now_ms < last_ms + AFTER_LAST_JOB_MS && replay.has_open_jobs() {
        replay.step(policy, last_ms);
        replay.now_ms += TICK_MS;
    }
    replay.summarize()
}

impl Replay<'_> {
    fn has_open_jobs(&self) -> bool {
        let mut jobs = self.ended_ms.iter().zip(&self.refused);
        jobs.any(|(ended, refused)| ended.is_none() && !refused)
    }

    /// Submits a job for the given time, unless the policy refuses it.
    fn submit(&mut self, policy: &mut dyn Policy, number: usize, submission: u32) {
        let job = PatternJob {
            at_ms: self.now_ms.max(self.pattern.jobs[number].at_ms),
            ..self.pattern.jobs[number].clone()
        };
        let Some(after_ms) = policy.refuse(self.now_ms, number, &job) else {
            policy.submit(number, &job);
            return;
        };
        self.outcome.refusals[number] += 1;
        if submission < MAX_SUBMISSIONS {
            self.returning
                .push((self.now_ms + after_ms, number, submission + 1));
        } else {
            self.refused[number] = true;
        }
    }

    fn step(&mut self, policy: &mut dyn Policy, last_ms: u64) {
        let due = self.now_ms..self.now_ms + TICK_MS;
        for event in self
            .pattern
            .events
            .iter()
            .filter(|e| due.contains(&e.at_ms))
        {
            if let Some(domain) = &event.domain {
                policy.domain_changed(domain, event.what == Change::OutOfService);
            }
            if let Some(worker) = event.worker {
                self.apply_change(worker, event.what, policy);
            }
        }
        for (number, job) in self.pattern.jobs.iter().enumerate() {
            if due.contains(&job.at_ms) {
                self.submit(policy, number, 1);
            }
            if job.cancel_ms.is_some_and(|at| due.contains(&at)) && self.ended_ms[number].is_none()
            {
                policy.cancel(number);
                self.ended_ms[number] = Some(self.now_ms);
            }
        }
        let returning = self.returning.extract_if(.., |r| due.contains(&r.0));
        for (_, number, submission) in returning.collect::<Vec<_>>() {
            self.submit(policy, number, submission);
        }
        self.advance_runs(policy);
        if self.now_ms.is_multiple_of(READ_MS) {
            self.read_runs(policy);
        }
        for command in policy.decide(self.now_ms) {
            self.execute(command);
        }
        if self.now_ms < last_ms {
            let busy: u64 = self
                .running
                .iter()
                .map(|r| self.step_of(r).accelerators)
                .sum();
            let all = self.pattern.workers as u64 * ACCELERATORS;
            self.outcome.idle += all.saturating_sub(busy) as f64 * TICK_MS as f64 / 1_000.0;
            self.outcome.fragmented += self.fragmented() as f64 * TICK_MS as f64 / 1_000.0;
        }
    }

    /// Returns the idle accelerators that can't serve the largest waiting shape: all on workers that
    /// can't take one of its tasks, and what one worker after the other would have left over.
    fn fragmented(&self) -> u64 {
        let arrived = self.pattern.jobs.iter().enumerate();
        let arrived = arrived
            .filter(|(number, job)| job.at_ms <= self.now_ms && self.ended_ms[*number].is_none());
        let steps = arrived.flat_map(|(number, job)| {
            let steps = job.steps.iter().enumerate();
            steps.filter(move |(step, _)| self.waits(number, *step as u32))
        });
        let size = |step: &PatternStep| {
            let tasks = if step.gang { u64::from(step.tasks) } else { 1 };
            tasks * step.accelerators
        };
        let Some((_, largest)) = steps.max_by_key(|(_, step)| size(step)) else {
            return 0;
        };
        let free = |worker: usize| {
            let used: u64 = self
                .runs_on(worker)
                .map(|r| self.step_of(r).accelerators)
                .sum();
            ACCELERATORS.saturating_sub(used)
        };
        let present = (0..self.pattern.workers).filter(|w| self.state[*w] != Change::Gone);
        present.map(|w| free(w) % largest.accelerators.max(1)).sum()
    }

    /// Returns whether a task of a step could start but doesn't run.
    fn waits(&self, job: usize, step: u32) -> bool {
        let is_done = |step: u32| {
            let tasks = self.pattern.jobs[job].steps[step as usize].tasks;
            (0..tasks).all(|index| self.done.contains_key(&(job, step, index)))
        };
        let pattern_step = &self.pattern.jobs[job].steps[step as usize];
        let of_step = |r: &&Running| r.job == job && r.run.task.step == step;
        let running = self.running.iter().filter(of_step).count();
        let done = (0..pattern_step.tasks)
            .filter(|index| self.done.contains_key(&(job, step, *index)))
            .count();
        pattern_step.after.iter().all(|s| is_done(*s))
            && running + done < pattern_step.tasks as usize
    }

    fn apply_change(&mut self, worker: usize, change: Change, policy: &mut dyn Policy) {
        let was = std::mem::replace(&mut self.state[worker], change);
        if change == Change::Gone {
            let lost: Vec<RunId> = self.runs_on(worker).map(|r| r.run.clone()).collect();
            for run in lost {
                self.remove_run(&run, false);
            }
            policy.worker_changed(worker, false);
        } else if was == Change::Gone {
            policy.worker_changed(worker, true);
        }
    }

    /// Lets the agents of all workers read the running tasks.
    fn read_runs(&self, policy: &mut dyn Policy) {
        let mut running = vec![Vec::new(); self.pattern.workers];
        for run in &self.running {
            let pattern_step = self.step_of(run);
            let total_ms = run.restored_work_ms + run.worked_ms as u64;
            let saved_ms = saved_ms(pattern_step, total_ms).max(run.restored_work_ms);
            running[run.worker].push(RunningTask {
                run: run.run.clone(),
                checkpoint: checkpoint(saved_ms),
                percent: (total_ms * 100 / pattern_step.true_ms.max(1)) as u32,
            });
        }
        for (worker, running) in running.iter().enumerate() {
            policy.runs_read(self.now_ms, worker, running);
        }
    }

    fn runs_on(&self, worker: usize) -> impl Iterator<Item = &Running> {
        self.running.iter().filter(move |r| r.worker == worker)
    }

    fn step_of(&self, run: &Running) -> &PatternStep {
        &self.pattern.jobs[run.job].steps[run.run.task.step as usize]
    }

    fn execute(&mut self, command: Command) {
        match command {
            Command::Start {
                run,
                worker,
                done_ms,
            } => {
                let job = job_number(&run.task.job);
                if run.task.index == 0 && self.is_large(job, run.task.step) {
                    // A job that arrives within a tick is submitted at its beginning.
                    let waited = self.now_ms.saturating_sub(self.pattern.jobs[job].at_ms);
                    self.outcome.large_starts_ms.push(waited);
                }
                self.running.push(Running {
                    run,
                    job,
                    worker,
                    restored_work_ms: done_ms,
                    started_ms: self.now_ms,
                    worked_ms: 0.0,
                    stop_at_ms: None,
                });
                let used: u64 = self
                    .runs_on(worker)
                    .map(|r| self.step_of(r).accelerators)
                    .sum();
                assert!(used <= ACCELERATORS, "a worker was overcommitted");
            }
            Command::Stop { run } => {
                let stop_at = self.now_ms + STOP_MS;
                let running = self.running.iter_mut().find(|r| r.run == run);
                if let Some(running) = running {
                    self.outcome.stops += usize::from(running.stop_at_ms.is_none());
                    running.stop_at_ms.get_or_insert(stop_at);
                }
            }
        }
    }

    fn is_large(&self, job: usize, step: u32) -> bool {
        let pattern_step = &self.pattern.jobs[job].steps[step as usize];
        pattern_step.gang
            && u64::from(pattern_step.tasks) * pattern_step.accelerators >= 2 * ACCELERATORS
    }

    /// Advances all runs by one tick and ends those that are due.
    fn advance_runs(&mut self, policy: &mut dyn Policy) {
        let mut ended_runs = Vec::new();
        for i in 0..self.running.len() {
            let speed = self.speed(&self.running[i]);
            self.running[i].worked_ms += TICK_MS as f64 * speed;
            let run = &self.running[i];
            let total = run.restored_work_ms as f64 + run.worked_ms;
            let fails = self.state[run.worker] == Change::Failing;
            let stopped = run.stop_at_ms.is_some_and(|at| at <= self.now_ms);
            if fails && self.now_ms > run.started_ms {
                ended_runs.push((run.run.clone(), EndKind::Failed));
            } else if total >= self.step_of(run).true_ms as f64 {
                ended_runs.push((run.run.clone(), EndKind::Done));
            } else if stopped {
                ended_runs.push((run.run.clone(), EndKind::Stopped));
            }
        }
        for (run, kind) in ended_runs {
            self.end_run(&run, kind, policy);
        }
    }

    fn speed(&self, run: &Running) -> f64 {
        let gang_members = || {
            let of_gang = |r: &&Running| r.job == run.job && r.run.task.step == run.run.task.step;
            self.running.iter().filter(of_gang)
        };
        let pattern_step = self.step_of(run);
        if pattern_step.gang && gang_members().count() < pattern_step.tasks as usize {
            return 0.0;
        }
        let members: Vec<&Running> = if pattern_step.gang {
            gang_members().collect()
        } else {
            vec![run]
        };
        let stalled = members.iter().any(|r| {
            let starting = self.now_ms < r.started_ms + self.pattern.start_ms;
            starting || self.state[r.worker] == Change::Stalled
        });
        let slow = members.iter().any(|r| self.state[r.worker] == Change::Slow);
        let rack = self.pattern.rack_of(run.worker);
        let is_far = pattern_step.one_rack
            && members
                .iter()
                .any(|r| self.pattern.rack_of(r.worker) != rack);
        let factor = if slow { SLOW_FACTOR } else { 1 } * if is_far { FAR_FACTOR } else { 1 };
        let slowness = members.iter().map(|r| self.pattern.slowness_of(r.worker));
        let slowness = slowness.fold(0.0, f64::max);
        if stalled {
            0.0
        } else {
            1.0 / (factor as f64 * slowness)
        }
    }

    fn end_run(&mut self, run: &RunId, kind: EndKind, policy: &mut dyn Policy) {
        let Some(first) = self.running.iter().find(|r| r.run == *run) else {
            return;
        };
        let (job, step, gang) = (first.job, run.task.step, self.step_of(first).gang);
        let members = self.running.iter().filter(|r| {
            r.run == *run
                || (gang && r.job == job && r.run.task.step == step && r.run.number == run.number)
        });
        let members: Vec<RunId> = members.map(|r| r.run.clone()).collect();
        for member in members {
            let is_own = member == *run;
            let member_kind = match kind {
                EndKind::Done => EndKind::Done,
                _ if is_own => kind,
                _ => EndKind::GangBroken,
            };
            let Some((worker, saved_ms)) = self.remove_run(&member, kind == EndKind::Done) else {
                continue;
            };
            if kind == EndKind::Done {
                self.done.insert((job, step, member.task.index), true);
            }
            policy.run_ended(worker, &member, member_kind, saved_ms);
        }
        let steps = self.pattern.jobs[job].steps.iter().enumerate();
        let mut tasks =
            steps.flat_map(|(s, pattern_step)| (0..pattern_step.tasks).map(move |i| (s as u32, i)));
        let all = tasks.all(|(s, i)| self.done.contains_key(&(job, s, i)));
        if all {
            self.ended_ms[job].get_or_insert(self.now_ms);
        }
    }

    /// Removes a run. Returns its worker and the milliseconds of the task's work that are
    /// checkpointed.
    fn remove_run(&mut self, run: &RunId, done: bool) -> Option<(usize, u64)> {
        let at = self.running.iter().position(|r| r.run == *run)?;
        let pattern_step = self.step_of(&self.running[at]);
        let accelerators = pattern_step.accelerators as f64;
        let total = self.running[at].restored_work_ms + self.running[at].worked_ms as u64;
        let saved_ms = saved_ms(pattern_step, total);
        let run = self.running.remove(at);
        let kept_ms = if done {
            total
        } else {
            saved_ms.max(run.restored_work_ms)
        };
        let kept_in_run_ms = (kept_ms - run.restored_work_ms) as f64;
        self.outcome.useful += kept_in_run_ms * accelerators / 1_000.0;
        self.outcome.wasted += (run.worked_ms - kept_in_run_ms).max(0.0) * accelerators / 1_000.0;
        Some((run.worker, saved_ms.max(run.restored_work_ms)))
    }

    fn summarize(mut self) -> Outcome {
        self.outcome.results = vec![JobResult::default(); self.pattern.jobs.len()];
        for (number, (job, ended)) in self.pattern.jobs.iter().zip(&self.ended_ms).enumerate() {
            if job.cancel_ms.is_some() {
                continue;
            }
            let took = ended.map(|ended| ended - job.at_ms);
            let objective = job.objective_ms();
            let result = match took {
                _ if self.refused[number] => JobResult::Refused,
                None => JobResult::Other,
                Some(took) if took <= objective => JobResult::InTime,
                Some(took) if took <= objective * USEFUL_FACTOR => JobResult::Late,
                Some(_) => JobResult::Useless,
            };
            self.outcome.results[number] = result;
            self.outcome.unfinished += usize::from(result == JobResult::Other);
            let by_workspace = &mut self.outcome.by_workspace;
            let of_workspace = job
                .workspace
                .clone()
                .map(|w| by_workspace.entry(w).or_default());
            let of_priority = &mut self.outcome.by_priority[job.priority as usize];
            for counts in of_workspace.into_iter().chain([of_priority]) {
                counts.add(result);
            }
        }
        self.outcome
    }
}

/// Returns the milliseconds of a task's work that are checkpointed once `total_ms` are done.
fn saved_ms(pattern_step: &PatternStep, total_ms: u64) -> u64 {
    if pattern_step.checkpoints {
        total_ms - total_ms % CHECKPOINT_MS
    } else {
        0
    }
}

/// Returns the checkpoint after `saved_ms` milliseconds of work; empty if nothing is saved.
fn checkpoint(saved_ms: u64) -> String {
    if saved_ms > 0 {
        saved_ms.to_string()
    } else {
        String::new()
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
