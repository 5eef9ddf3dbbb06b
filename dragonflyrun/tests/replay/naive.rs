//! The naive policy: first come, first served, each task on the first worker that takes it.

use std::collections::BTreeSet;

use dragonflyrun::{
    port::EndKind,
    workload::{Resources, RunId, TaskId},
};

use super::{ACCELERATORS, Command, Policy, job_name, job_number, pattern::PatternJob};

/// Processor and memory of a worker.
const CPU_MILLIS: u64 = 64_000;
const MEMORY_MB: u64 = 128_000;

struct Known {
    number: usize,
    job: PatternJob,
    cancelled: bool,
    started: BTreeSet<(u32, u32)>,
    done: BTreeSet<(u32, u32)>,
    run: u32,
}

/// The policy.
pub(crate) struct Naive {
    jobs: Vec<Known>,
    placed: Vec<(usize, RunId, Resources)>,
    here: Vec<bool>,
    out: BTreeSet<String>,
}

impl Naive {
    /// Returns the policy for so many workers.
    pub(crate) fn new(workers: usize) -> Self {
        Self {
            jobs: Vec::new(),
            placed: Vec::new(),
            here: vec![true; workers],
            out: BTreeSet::new(),
        }
    }

    fn free(&self, worker: usize) -> Resources {
        let all = Resources {
            cpu_millis: CPU_MILLIS,
            memory_mb: MEMORY_MB,
            accelerators: ACCELERATORS,
        };
        let here = self.placed.iter().filter(|(w, ..)| *w == worker);
        here.fold(all, |left, (.., needs)| left.minus(needs))
    }

    fn is_open(&self, worker: usize) -> bool {
        self.here[worker] && !self.out.contains(&format!("d{}", worker / super::PER_RACK))
    }

    /// Starts the tasks `indexes` of a step all together, where they fit.
    fn start(&mut self, known: usize, step: u32, indexes: &[u32]) -> Vec<Command> {
        let needs = self.jobs[known].job.steps[step as usize].step().needs;
        let before = self.placed.len();
        let mut commands = Vec::new();
        for index in indexes {
            let open = (0..self.here.len()).filter(|w| self.is_open(*w));
            let Some(worker) = open.into_iter().find(|w| self.free(*w).fits(&needs)) else {
                self.placed.truncate(before);
                return Vec::new();
            };
            let run = RunId {
                task: TaskId {
                    job: job_name(self.jobs[known].number),
                    occurrence: 0,
                    step,
                    index: *index,
                },
                number: self.jobs[known].run,
            };
            self.placed.push((worker, run.clone(), needs));
            commands.push(Command::Start {
                run,
                worker,
                done_ms: 0,
            });
        }
        let known = &mut self.jobs[known];
        known.run += 1;
        known.started.extend(indexes.iter().map(|i| (step, *i)));
        commands
    }
}

impl Policy for Naive {
    fn submit(&mut self, number: usize, job: &PatternJob) {
        self.jobs.push(Known {
            number,
            job: job.clone(),
            cancelled: false,
            started: BTreeSet::new(),
            done: BTreeSet::new(),
            run: 1,
        });
    }

    fn cancel(&mut self, number: usize) {
        for known in self.jobs.iter_mut().filter(|k| k.number == number) {
            known.cancelled = true;
        }
    }

    fn ended(&mut self, _: usize, run: &RunId, kind: EndKind, _: u64) {
        self.placed.retain(|(_, r, _)| r != run);
        let number = job_number(&run.task.job);
        let task = (run.task.step, run.task.index);
        for known in self.jobs.iter_mut().filter(|k| k.number == number) {
            if kind == EndKind::Done {
                known.done.insert(task);
            } else {
                known.started.remove(&task);
            }
        }
    }

    fn worker(&mut self, worker: usize, here: bool) {
        self.here[worker] = here;
        if here {
            return;
        }
        let lost: Vec<RunId> = self
            .placed
            .iter()
            .filter(|(w, ..)| *w == worker)
            .map(|(_, run, _)| run.clone())
            .collect();
        for run in lost {
            self.ended(worker, &run, EndKind::LeaseExpired, 0);
        }
    }

    fn domain(&mut self, domain: &str, out: bool) {
        if out {
            self.out.insert(domain.to_owned());
        } else {
            self.out.remove(domain);
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
        for known in 0..self.jobs.len() {
            if self.jobs[known].cancelled {
                continue;
            }
            for step in 0..self.jobs[known].job.steps.len() as u32 {
                let shape = self.jobs[known].job.steps[step as usize].clone();
                let done = |s: &u32| {
                    let tasks = self.jobs[known].job.steps[*s as usize].tasks;
                    (0..tasks).all(|i| self.jobs[known].done.contains(&(*s, i)))
                };
                if !shape.after.iter().all(done) {
                    continue;
                }
                let waits = |i: &u32| !self.jobs[known].started.contains(&(step, *i));
                let waiting: Vec<u32> = (0..shape.tasks).filter(waits).collect();
                let whole = waiting.len() == shape.tasks as usize;
                if shape.gang && whole {
                    commands.extend(self.start(known, step, &waiting));
                } else if !shape.gang {
                    for index in waiting {
                        commands.extend(self.start(known, step, &[index]));
                    }
                }
            }
        }
        commands
    }
}
