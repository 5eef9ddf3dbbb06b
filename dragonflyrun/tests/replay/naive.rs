//! The naive policy: first come, first served, each task on the first worker with room.

use std::collections::BTreeSet;

use dragonflyrun::{
    port::EndKind,
    workload::{Resources, RunId, TaskId},
};

use super::{
    ACCELERATORS,
    Command,
    Policy,
    job_name,
    job_number,
    pattern::{Pattern, PatternJob}, //
};

/// Processor capacity and memory of a worker.
const CPU_MILLIS: u64 = 64_000;
const MEMORY_MB: u64 = 128_000;

struct NaiveJob {
    number: usize,
    job: PatternJob,
    cancelled: bool,
    started: BTreeSet<(u32, u32)>,
    done: BTreeSet<(u32, u32)>,
    next_run: u32,
}

/// The state of the naive policy.
pub(crate) struct Naive {
    jobs: Vec<NaiveJob>,
    placed: Vec<(usize, RunId, Resources)>,
    present: Vec<bool>,
    domains_out: BTreeSet<String>,
    workers_per_rack: usize,
}

impl Naive {
    /// Returns the policy for the workers of a pattern.
    pub(crate) fn new(pattern: &Pattern) -> Self {
        Self {
            jobs: Vec::new(),
            placed: Vec::new(),
            present: vec![true; pattern.workers],
            domains_out: BTreeSet::new(),
            workers_per_rack: pattern.workers_per_rack,
        }
    }

    fn free(&self, worker: usize) -> Resources {
        let all = Resources {
            cpu_millis: CPU_MILLIS,
            memory_mb: MEMORY_MB,
            accelerators: ACCELERATORS,
        };
        let placed_there = self.placed.iter().filter(|(w, ..)| *w == worker);
        placed_there.fold(all, |left, (.., needs)| left.minus(needs))
    }

    fn is_open(&self, worker: usize) -> bool {
        self.present[worker]
            && !self
                .domains_out
                .contains(&format!("d{}", worker / self.workers_per_rack))
    }

    /// Starts the tasks `indexes` of a step if all of them fit.
    fn start(&mut self, job: usize, step: u32, indexes: &[u32]) -> Vec<Command> {
        let needs = self.jobs[job].job.steps[step as usize].step().needs;
        let before = self.placed.len();
        let mut commands = Vec::new();
        for index in indexes {
            let open = (0..self.present.len()).filter(|w| self.is_open(*w));
            let Some(worker) = open.into_iter().find(|w| self.free(*w).fits(&needs)) else {
                self.placed.truncate(before);
                return Vec::new();
            };
            let run = RunId {
                task: TaskId {
                    job: job_name(self.jobs[job].number),
                    occurrence: 0,
                    step,
                    index: *index,
                },
                number: self.jobs[job].next_run,
            };
            self.placed.push((worker, run.clone(), needs));
            commands.push(Command::Start {
                run,
                worker,
                done_ms: 0,
            });
        }
        let job = &mut self.jobs[job];
        job.next_run += 1;
        job.started.extend(indexes.iter().map(|i| (step, *i)));
        commands
    }
}

impl Policy for Naive {
    fn submit(&mut self, number: usize, job: &PatternJob) {
        self.jobs.push(NaiveJob {
            number,
            job: job.clone(),
            cancelled: false,
            started: BTreeSet::new(),
            done: BTreeSet::new(),
            next_run: 1,
        });
    }

    fn cancel(&mut self, number: usize) {
        for job in self.jobs.iter_mut().filter(|k| k.number == number) {
            job.cancelled = true;
        }
    }

    fn run_ended(&mut self, _: usize, run: &RunId, kind: EndKind, _: u64) {
        self.placed.retain(|(_, r, _)| r != run);
        let number = job_number(&run.task.job);
        let task = (run.task.step, run.task.index);
        for job in self.jobs.iter_mut().filter(|k| k.number == number) {
            if kind == EndKind::Done {
                job.done.insert(task);
            } else {
                job.started.remove(&task);
            }
        }
    }

    fn worker_changed(&mut self, worker: usize, is_present: bool) {
        self.present[worker] = is_present;
        if is_present {
            return;
        }
        let lost: Vec<RunId> = self
            .placed
            .iter()
            .filter(|(w, ..)| *w == worker)
            .map(|(_, run, _)| run.clone())
            .collect();
        for run in lost {
            self.run_ended(worker, &run, EndKind::LeaseExpired, 0);
        }
    }

    fn domain_changed(&mut self, domain: &str, out: bool) {
        if out {
            self.domains_out.insert(domain.to_owned());
        } else {
            self.domains_out.remove(domain);
        }
    }

    fn decide(&mut self, _: u64) -> Vec<Command> {
        let cancelled = self.placed.iter().filter(|(_, run, _)| {
            let number = job_number(&run.task.job);
            self.jobs.iter().any(|k| k.number == number && k.cancelled)
        });
        let mut commands: Vec<Command> = cancelled
            .map(|(_, run, _)| Command::Stop { run: run.clone() })
            .collect();
        for job in 0..self.jobs.len() {
            if self.jobs[job].cancelled {
                continue;
            }
            for step in 0..self.jobs[job].job.steps.len() as u32 {
                let pattern_step = self.jobs[job].job.steps[step as usize].clone();
                let done = |s: &u32| {
                    let tasks = self.jobs[job].job.steps[*s as usize].tasks;
                    (0..tasks).all(|i| self.jobs[job].done.contains(&(*s, i)))
                };
                if !pattern_step.after.iter().all(done) {
                    continue;
                }
                let not_started = |i: &u32| !self.jobs[job].started.contains(&(step, *i));
                let waiting: Vec<u32> = (0..pattern_step.tasks).filter(not_started).collect();
                let none_started = waiting.len() == pattern_step.tasks as usize;
                if pattern_step.gang && none_started {
                    commands.extend(self.start(job, step, &waiting));
                } else if !pattern_step.gang {
                    for index in waiting {
                        commands.extend(self.start(job, step, &[index]));
                    }
                }
            }
        }
        commands
    }
}
