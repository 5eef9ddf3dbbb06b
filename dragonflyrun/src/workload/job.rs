//! What a caller asks for.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{
    utils::Name,
    workload::skip::{is_false, is_zero, is_zero_u64}, //
};

/// What a task takes up on a worker, or a worker has to give.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Resources {
    /// Thousandths of a processor core.
    #[serde(rename = "c", default)]
    pub cpu_millis: u64,
    /// Megabytes of memory.
    #[serde(rename = "m", default)]
    pub memory_mb: u64,
    /// Accelerators.
    #[serde(rename = "a", default)]
    pub accelerators: u64,
}

impl Resources {
    /// Returns whether `needs` fit into `self`.
    pub const fn fits(&self, needs: &Self) -> bool {
        self.cpu_millis >= needs.cpu_millis
            && self.memory_mb >= needs.memory_mb
            && self.accelerators >= needs.accelerators
    }

    /// Returns what is left of `self` without `needs`; nothing of a kind where it has less.
    pub const fn minus(&self, needs: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(needs.cpu_millis),
            memory_mb: self.memory_mb.saturating_sub(needs.memory_mb),
            accelerators: self.accelerators.saturating_sub(needs.accelerators),
        }
    }

    /// Returns `self` and `more` together.
    pub const fn plus(&self, more: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis + more.cpu_millis,
            memory_mb: self.memory_mb + more.memory_mb,
            accelerators: self.accelerators + more.accelerators,
        }
    }

    /// Returns how many tasks with `needs` fit into `self`, up to `most`.
    pub fn count(&self, needs: &Self, max: u32) -> u32 {
        let kinds = [
            (self.cpu_millis, needs.cpu_millis),
            (self.memory_mb, needs.memory_mb),
            (self.accelerators, needs.accelerators),
        ];
        let fits = kinds
            .iter()
            .filter_map(|(have, need)| have.checked_div(*need));
        let fits = fits.min().unwrap_or(u64::from(max));
        u32::try_from(fits).unwrap_or(u32::MAX).min(max)
    }

    /// Returns the share of `whole` that `self` takes up, of the kind of which it takes most.
    pub fn share_of(&self, whole: &Self) -> f64 {
        let kinds = [
            (self.cpu_millis, whole.cpu_millis),
            (self.memory_mb, whole.memory_mb),
            (self.accelerators, whole.accelerators),
        ];
        let shares = kinds.iter().filter(|(_, of)| *of > 0);
        let shares = shares.map(|(part, of)| *part as f64 / *of as f64);
        shares.fold(0.0, f64::max)
    }

    /// Returns core-seconds in a second of use, where an accelerator counts as so many cores.
    pub fn core_equivalents(&self) -> f64 {
        /// Cores that one accelerator stands for: what the users' price list says.
        const CORES_PER_ACCELERATOR: f64 = 8.0;
        self.cpu_millis as f64 / 1_000.0 + self.accelerators as f64 * CORES_PER_ACCELERATOR
    }
}

/// A step of a job: tasks of one shape.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Step {
    /// How many tasks.
    #[serde(rename = "n")]
    pub tasks: u32,
    /// What each of them takes up.
    #[serde(rename = "r")]
    pub needs: Resources,
    /// The caller's guess of a task's run time in milliseconds, which may be far off.
    #[serde(rename = "e", default)]
    pub estimate_ms: u64,
    /// Earlier steps whose tasks have to be done first.
    #[serde(rename = "a", default, skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<u32>,
    /// Whether the tasks work only all together.
    #[serde(rename = "g", default, skip_serializing_if = "is_false")]
    pub gang: bool,
    /// Whether they work far slower on more than one rack.
    #[serde(rename = "t", default, skip_serializing_if = "is_false")]
    pub one_rack: bool,
    /// A label that the worker must have.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub label: Option<Name>,
    /// The rack where the data is; elsewhere the tasks work far slower.
    #[serde(rename = "k", default, skip_serializing_if = "Option::is_none")]
    pub rack: Option<Name>,
    /// Tasks of the step on one worker, at the most; 0 for any number.
    #[serde(rename = "w", default, skip_serializing_if = "is_zero")]
    pub per_worker: u32,
    /// Whether the tasks save checkpoints.
    #[serde(rename = "c", default, skip_serializing_if = "is_false")]
    pub checkpoints: bool,
    /// Whether two runs of one task may be under way at once.
    #[serde(rename = "u", default, skip_serializing_if = "is_false")]
    pub copies_allowed: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(rename = "s", default, skip_serializing_if = "is_false")]
    pub lasting: bool,
    /// Milliseconds below which the response times of the tasks have to stay; 0 for tasks that serve
    /// nobody while they run.
    #[serde(rename = "q", default, skip_serializing_if = "is_zero_u64")]
    pub response_ms: u64,
    /// Whether the tasks take what processor time others leave over.
    #[serde(rename = "f", default, skip_serializing_if = "is_false")]
    pub leftovers: bool,
    /// What the tasks run; those of one image behave alike.
    #[serde(rename = "i", default, skip_serializing_if = "Option::is_none")]
    pub image: Option<Name>,
}

/// The times of a timed job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Occurrences {
    /// How many.
    #[serde(rename = "n")]
    pub count: u32,
    /// Unix milliseconds at which the first is due.
    #[serde(rename = "f")]
    pub first_ms: u64,
    /// Milliseconds from one to the next.
    #[serde(rename = "e")]
    pub every_ms: u64,
}

/// A job as it was handed in.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobRequest {
    /// What its tasks are given to work on.
    #[serde(rename = "p")]
    pub payload: Arc<str>,
    /// Its steps.
    #[serde(rename = "s")]
    pub steps: Vec<Step>,
    /// Its times, for a timed job.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub occurrences: Option<Occurrences>,
}

/// An accepted job, with what its queue said when it was accepted.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Job {
    /// Its name, chosen by its caller.
    pub name: Name,
    /// Its queue, by which callers' requests find it.
    #[serde(rename = "q")]
    pub queue: Name,
    /// The service whose workers run its tasks, unless the queue has moved since.
    #[serde(rename = "v")]
    pub service: Name,
    /// The workspace of the key it came with.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub workspace: Option<Name>,
    /// 0 comes first.
    #[serde(rename = "i")]
    pub priority: u32,
    /// Runs of one task that may end as failed.
    #[serde(rename = "x")]
    pub max_attempts: u32,
    /// The objective is this many times the longest chain of work, and `target_ms` more.
    #[serde(rename = "h")]
    pub stretch: f64,
    /// See `stretch`; in milliseconds.
    #[serde(rename = "t")]
    pub target_ms: u64,
    /// Unix milliseconds on the clock of the process that took it in.
    #[serde(rename = "a")]
    pub accepted_ms: u64,
    /// What was handed in.
    #[serde(rename = "r")]
    pub request: JobRequest,
}

/// Sums a job up for logs.
impl fmt::Display for Job {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "queue={} priority={}", self.queue, self.priority)?;
        if let Some(workspace) = &self.workspace {
            write!(f, " workspace={workspace}")?;
        }
        if let Some(times) = &self.request.occurrences {
            write!(f, " times={}x{}ms", times.count, times.every_ms)?;
        }
        for step in &self.request.steps {
            write!(f, " step={step}")?;
        }
        Ok(())
    }
}

/// Sums a step up for logs: tasks, what each takes up, and what it asks for beside that.
impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Resources {
            cpu_millis,
            memory_mb,
            accelerators,
        } = self.needs;
        write!(
            f,
            "{}x{cpu_millis}m/{memory_mb}MB/{accelerators}a",
            self.tasks
        )?;
        write!(f, ",estimate={}ms", self.estimate_ms)?;
        let flags = [
            (self.gang, "gang"),
            (self.one_rack, "one_rack"),
            (self.checkpoints, "checkpoints"),
            (self.copies_allowed, "copies"),
            (self.lasting, "lasting"),
            (self.leftovers, "leftovers"),
        ];
        for (_, name) in flags.iter().filter(|(set, _)| *set) {
            write!(f, ",{name}")?;
        }
        if let Some(label) = &self.label {
            write!(f, ",label={label}")?;
        }
        if let Some(rack) = &self.rack {
            write!(f, ",rack={rack}")?;
        }
        if self.per_worker > 0 {
            write!(f, ",per_worker={}", self.per_worker)?;
        }
        Ok(())
    }
}

impl JobRequest {
    /// Returns the tasks of one occurrence.
    pub fn tasks(&self) -> u32 {
        self.steps.iter().map(|s| s.tasks).sum()
    }

    /// Returns how often the steps run.
    pub fn repeats(&self) -> u32 {
        self.occurrences.map_or(1, |o| o.count)
    }

    /// Returns whether the steps can be scheduled at all: they refer to earlier ones only, and
    /// their number is within bounds.
    pub fn is_valid(&self) -> bool {
        /// Tasks of one occurrence, at the most; a plan's record holds all of them.
        const MAX_TASKS: u32 = 4_096;
        /// Repetitions of a timed job, at the most.
        const MAX_OCCURRENCES: u32 = 1_000;
        let orders = self.steps.iter().enumerate();
        let mut orders = orders.map(|(i, s)| s.after.iter().all(|a| (*a as usize) < i));
        let tasks = self
            .steps
            .iter()
            .try_fold(0_u32, |n, s| n.checked_add(s.tasks));
        orders.all(|valid| valid)
            && tasks.is_some_and(|n| (1..=MAX_TASKS).contains(&n))
            && (1..=MAX_OCCURRENCES).contains(&self.repeats())
    }

    /// Returns the milliseconds of the longest chain of steps, by what each is estimated to take.
    pub fn critical_path_ms(&self, estimate: impl Fn(u32, &Step) -> u64) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for (number, step) in (0_u32..).zip(&self.steps) {
            let start = step.after.iter().filter_map(|a| ends.get(*a as usize));
            let start = start.copied().max().unwrap_or(0);
            ends.push(start + estimate(number, step));
        }
        ends.into_iter().max().unwrap_or(0)
    }
}
