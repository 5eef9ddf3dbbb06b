//! Jobs as their callers request them.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{
    utils::Name,
    workload::skip::{is_false, is_zero, is_zero_u64}, //
};

/// The resources that a task occupies on a worker, or that a worker offers.
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
    /// Returns whether `self` covers `needs`.
    pub const fn fits(&self, needs: &Self) -> bool {
        self.cpu_millis >= needs.cpu_millis
            && self.memory_mb >= needs.memory_mb
            && self.accelerators >= needs.accelerators
    }

    /// Returns `self` without `needs`, where each resource is at least 0.
    pub const fn minus(&self, needs: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(needs.cpu_millis),
            memory_mb: self.memory_mb.saturating_sub(needs.memory_mb),
            accelerators: self.accelerators.saturating_sub(needs.accelerators),
        }
    }

    /// Returns the sum of `self` and `more`, where each resource is at most `u64::MAX`: callers may
    /// ask for any amount.
    pub const fn plus(&self, more: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_add(more.cpu_millis),
            memory_mb: self.memory_mb.saturating_add(more.memory_mb),
            accelerators: self.accelerators.saturating_add(more.accelerators),
        }
    }

    /// Returns `self` times `count`, where each resource is at most `u64::MAX`.
    pub const fn times(&self, count: u64) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_mul(count),
            memory_mb: self.memory_mb.saturating_mul(count),
            accelerators: self.accelerators.saturating_mul(count),
        }
    }

    /// Returns the larger amount of each resource.
    pub fn max(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.max(other.cpu_millis),
            memory_mb: self.memory_mb.max(other.memory_mb),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Returns how many tasks with `needs` fit into `self`, at most `max`.
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

    /// Returns the largest share, among the kinds of resources, that `self` has of `whole`.
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

    /// Returns the processor cores and the accelerators as a number of cores.
    pub fn core_equivalents(&self) -> f64 {
        /// The number of cores that one accelerator is worth, as in the users' price list.
        const CORES_PER_ACCELERATOR: f64 = 8.0;
        self.cpu_millis as f64 / 1_000.0 + self.accelerators as f64 * CORES_PER_ACCELERATOR
    }
}

/// A step of a job: a number of tasks with the same requirements.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Step {
    /// The number of tasks.
    #[serde(rename = "n")]
    pub tasks: u32,
    /// The resources that each task occupies.
    #[serde(rename = "r")]
    pub needs: Resources,
    /// The caller's estimate of a task's run time in milliseconds, which may be far off.
    #[serde(rename = "e", default)]
    pub estimate_ms: u64,
    /// The earlier steps whose tasks must be done first.
    #[serde(rename = "a", default, skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<u32>,
    /// Whether the tasks form a gang, which works only while all of them run.
    #[serde(rename = "g", default, skip_serializing_if = "is_false")]
    pub gang: bool,
    /// Whether the tasks are far slower when they are spread over more than one rack.
    #[serde(rename = "t", default, skip_serializing_if = "is_false")]
    pub one_rack: bool,
    /// A label that the worker must have.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub label: Option<Name>,
    /// The rack that holds the data; the tasks are far slower elsewhere.
    #[serde(rename = "k", default, skip_serializing_if = "Option::is_none")]
    pub rack: Option<Name>,
    /// The maximum number of tasks of the step on one worker; 0 for no limit.
    #[serde(rename = "w", default, skip_serializing_if = "is_zero")]
    pub per_worker: u32,
    /// Whether the tasks save checkpoints.
    #[serde(rename = "c", default, skip_serializing_if = "is_false")]
    pub checkpoints: bool,
    /// Whether two runs of one task may execute at once.
    #[serde(rename = "u", default, skip_serializing_if = "is_false")]
    pub copies_allowed: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(rename = "s", default, skip_serializing_if = "is_false")]
    pub lasting: bool,
    /// The limit in milliseconds for the response times of the tasks; 0 for tasks that serve no
    /// requests while they run.
    #[serde(rename = "q", default, skip_serializing_if = "is_zero_u64")]
    pub response_ms: u64,
    /// Whether the tasks use only the processor time that other tasks leave idle.
    #[serde(rename = "f", default, skip_serializing_if = "is_false")]
    pub leftovers: bool,
    /// The image that the tasks execute; tasks with the same image behave alike.
    #[serde(rename = "i", default, skip_serializing_if = "Option::is_none")]
    pub image: Option<Name>,
}

/// The schedule of a timed job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Occurrences {
    /// The number of occurrences.
    #[serde(rename = "n")]
    pub count: u32,
    /// The Unix time in milliseconds at which the first occurrence is due.
    #[serde(rename = "f")]
    pub first_ms: u64,
    /// The milliseconds between two consecutive occurrences.
    #[serde(rename = "e")]
    pub every_ms: u64,
}

/// A job as its caller submitted it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobRequest {
    /// The input of all tasks, opaque to the scheduler.
    #[serde(rename = "p")]
    pub payload: Arc<str>,
    /// The steps of the job.
    #[serde(rename = "s")]
    pub steps: Vec<Step>,
    /// The schedule, if the job is a timed one.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub occurrences: Option<Occurrences>,
}

/// An accepted job, with the settings that its queue had at that time.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Job {
    /// The job's name, chosen by its caller.
    pub name: Name,
    /// The job's queue, by which callers' requests find it.
    #[serde(rename = "q")]
    pub queue: Name,
    /// The service whose workers run the tasks, unless the queue has been assigned to another one
    /// since.
    #[serde(rename = "v")]
    pub service: Name,
    /// The workspace of the key with which the job was submitted.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub workspace: Option<Name>,
    /// The priority; 0 is the highest.
    #[serde(rename = "i")]
    pub priority: u32,
    /// The number of failed runs of one task after which the job has failed; 0 counts as 1. A job
    /// with a lasting step never fails this way.
    #[serde(rename = "x")]
    pub max_attempts: u32,
    /// The objective of the job is `stretch` times the duration of its critical path plus
    /// `target_ms`.
    #[serde(rename = "h")]
    pub stretch: f64,
    /// The constant part of the objective in milliseconds; see `stretch`.
    #[serde(rename = "t")]
    pub target_ms: u64,
    /// When the job was accepted, in Unix milliseconds on the clock of the accepting process.
    #[serde(rename = "a")]
    pub accepted_ms: u64,
    /// The job as its caller submitted it.
    #[serde(rename = "r")]
    pub request: JobRequest,
}

/// Summarizes a job for logs.
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

/// Summarizes a step for logs: the number of tasks, the resources of each, and the step's other
/// requirements.
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
    /// Returns the number of tasks of one occurrence.
    pub fn tasks(&self) -> u32 {
        self.steps.iter().map(|s| s.tasks).sum()
    }

    /// Returns the number of accelerators that all tasks of one occurrence need together.
    pub fn accelerators(&self) -> u64 {
        let steps = self.steps.iter();
        steps
            .map(|s| u64::from(s.tasks) * s.needs.accelerators)
            .sum()
    }

    /// Returns the number of occurrences, which is 1 unless the job is timed.
    pub fn repeats(&self) -> u32 {
        self.occurrences.map_or(1, |o| o.count)
    }

    /// Returns whether the job can be scheduled: its steps depend only on earlier ones, and the
    /// numbers of tasks and of occurrences are within bounds.
    pub fn is_valid(&self) -> bool {
        /// Maximum number of tasks of one occurrence; the record of a plan holds all of them.
        const MAX_TASKS: u32 = 4_096;
        /// Maximum number of occurrences of a timed job.
        const MAX_OCCURRENCES: u32 = 1_000;
        let steps = self.steps.iter().enumerate();
        let mut order_valid = steps.map(|(i, s)| s.after.iter().all(|a| (*a as usize) < i));
        let tasks = self
            .steps
            .iter()
            .try_fold(0_u32, |n, s| n.checked_add(s.tasks));
        order_valid.all(|valid| valid)
            && tasks.is_some_and(|n| (1..=MAX_TASKS).contains(&n))
            && (1..=MAX_OCCURRENCES).contains(&self.repeats())
    }

    /// Returns the duration of the critical path through the steps in milliseconds, where `estimate`
    /// returns the duration of a step.
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
