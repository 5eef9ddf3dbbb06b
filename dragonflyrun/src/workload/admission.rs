//! Admission of jobs by what can still be useful when its turn comes.
//!
//! The load behind these rules is demand beyond what the workers can serve: jobs wait until their
//! results are of no use, and then still take the room of jobs that could be in time. The planner
//! publishes in the jobs topic how long new work has to wait, and every entry decides by that record
//! when a job is submitted. Nothing of a refused job is ever sent to the store. Whatever the entry
//! doesn't know for certain, it decides in favour of the job: a wrong refusal costs a job, a wrong
//! acceptance only what it costs today. `docs/design/load-admission.md` describes the failures.

mod refusals;
mod waits;

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    port::Configuration,
    utils::{HashMap, Name, Timestamp, exact_number},
    workload::{Job, JobTable, Term, live::USEFUL_OBJECTIVES},
};

pub use waits::{ExpectedWaits, PoolWork, RunningWork, WaitEstimator, WaitingWork, Waits};

pub(super) use waits::PlannerWork;

use refusals::{OpenSubmissions, RecentRefusals};

/// Factor by which a caller's estimate may be too low without the job being refused wrongly. A job
/// that takes longer has a later objective and may wait longer. The logarithms of callers' errors have
/// standard deviations of 0.2 to 0.9.
const ESTIMATE_MARGIN: u64 = 2;

/// Factor by which the expected wait of work that can be in time may be too long without the job being
/// refused wrongly. Small gangs find room before large ones that wait, which a wait by priority
/// doesn't show: with a factor of 1, replays refused up to 3% of the jobs that would have been in time.
const IN_TIME_MARGIN: u64 = 2;

/// Percentage of the allowed wait up to which jobs are accepted that return after the time that they
/// were told, so that they are served before new ones.
const RETURNED_WAIT_PERCENT: u64 = 125;

/// Age in milliseconds of the load record up to which jobs are refused by it.
const MAX_RECORD_AGE_MS: u64 = 3_000;

/// Time after an append of unknown outcome for which no job is refused. The callers of such appends
/// submit their jobs again, possibly to entries that don't know of them.
const DOUBT_TIME: Duration = Duration::from_secs(10);

/// Minimum wait in milliseconds that is published: within it, runs end that nobody waits for.
const MIN_PUBLISHED_WAIT_MS: u64 = 1_000;

/// Minimum interval between two load records.
const MIN_WRITE_INTERVAL: Duration = Duration::from_secs(1);

/// Interval after which an unchanged record is written again. Entries that don't stand by read every
/// 1.5 s, and must not find it older than [`MAX_RECORD_AGE_MS`].
const REFRESH_INTERVAL: Duration = Duration::from_millis(1_200);

/// Minimum change of a wait in milliseconds that is worth a record.
const MIN_CHANGE_MS: u64 = 500;

/// Relative change of a wait that is worth a record, as a divisor.
const CHANGE_DIVISOR: u64 = 4;

/// Maximum number of workspaces that a record lists; the others count as below their entitlement.
const MAX_LISTED_WORKSPACES: usize = 64;

/// The load of the pools, as the planner publishes it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadRecord {
    /// The number of the planner's term.
    #[serde(rename = "n", deserialize_with = "exact_number")]
    pub term: u64,
    /// When the record was written, in Unix milliseconds on the planner's clock.
    #[serde(rename = "t")]
    pub at_ms: u64,
    /// The expected waits by service and priority. Where one is missing, there is no wait.
    #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
    pub waits: Vec<ExpectedWaits>,
    /// The workspaces that are above their entitlement.
    #[serde(rename = "a", default, skip_serializing_if = "Vec::is_empty")]
    pub above: Vec<Name>,
}

impl LoadRecord {
    /// Returns the record without the waits that no job is refused for, by the queues in force.
    pub fn reduced(mut self, configuration: &Configuration) -> Self {
        let unrefused_ms = longest_unrefused_waits(configuration, &self.waits);
        let mut unrefused_ms = unrefused_ms.into_iter();
        self.waits
            .retain(|w| unrefused_ms.next().is_some_and(|ms| w.longest_ms() > ms));
        if self.waits.is_empty() {
            self.above.clear();
        }
        self.above.truncate(MAX_LISTED_WORKSPACES);
        self
    }

    fn differs_from(&self, other: &Self) -> bool {
        let differs = |a: &Waits, b: &Waits| {
            let times = a.in_time_ms.iter().zip(&b.in_time_ms);
            let mut times = times.chain([(&a.late_ms, &b.late_ms)]);
            a.in_time_ms.len() != b.in_time_ms.len() || times.any(|(a, b)| is_change(*a, *b))
        };
        self.above != other.above
            || self.waits.len() != other.waits.len()
            || self.waits.iter().zip(&other.waits).any(|(a, b)| {
                a.service != b.service
                    || a.priority != b.priority
                    || differs(&a.below, &b.below)
                    || differs(a.of(true), b.of(true))
            })
    }
}

fn is_change(a: u64, b: u64) -> bool {
    a.abs_diff(b) >= (a.max(b) / CHANGE_DIVISOR).max(MIN_CHANGE_MS)
}

/// Returns the longest time in milliseconds that a job with this critical path may wait and still be
/// useful to its caller.
fn allowed_wait_ms(critical_path_ms: u64, stretch: f64, target_ms: u64) -> u64 {
    let objective_ms = objective_ms(critical_path_ms, stretch, target_ms);
    (objective_ms * USEFUL_OBJECTIVES).saturating_sub(critical_path_ms)
}

fn objective_ms(critical_path_ms: u64, stretch: f64, target_ms: u64) -> u64 {
    (stretch * critical_path_ms as f64) as u64 + target_ms
}

/// Returns for each element of `waits` the longest wait in milliseconds for which no job of its service
/// and priority is refused, whatever its critical path.
fn longest_unrefused_waits(configuration: &Configuration, waits: &[ExpectedWaits]) -> Vec<u64> {
    let mut unrefused: HashMap<(&Name, u32), u64> = HashMap::default();
    for queue in &configuration.queues {
        let target_ms = u64::try_from(queue.target.as_millis()).unwrap_or(u64::MAX);
        let allowed_ms = target_ms.saturating_mul(USEFUL_OBJECTIVES);
        let known = unrefused.entry((&queue.service, queue.priority));
        let known = known.or_insert(allowed_ms);
        *known = allowed_ms.min(*known);
    }
    let unrefused = waits.iter().map(|w| {
        let known = unrefused.get(&(&w.service, w.priority)).copied();
        known.unwrap_or(u64::MAX).max(MIN_PUBLISHED_WAIT_MS)
    });
    unrefused.collect()
}

/// Decides when the planner of one term writes the load record.
#[derive(Clone, Debug, Default)]
pub struct LoadPublisher {
    written: Option<(Timestamp, LoadRecord)>,
}

impl LoadPublisher {
    /// Returns the record to write now, if one is due, given the current load. Nothing is written
    /// while no job would be refused, except once to say that load is over.
    pub fn due(&mut self, now: Timestamp, load: LoadRecord) -> Option<LoadRecord> {
        let due = match &self.written {
            None => !load.waits.is_empty(),
            Some((at, written)) => {
                let age = now.since(*at);
                let refreshes = !load.waits.is_empty() && age >= REFRESH_INTERVAL;
                age >= MIN_WRITE_INTERVAL && (refreshes || load.differs_from(written))
            }
        };
        if !due {
            return None;
        }
        self.written = Some((now, load.clone()));
        Some(load)
    }
}

/// The state of the entry in which it decides on a submission.
#[derive(Clone, Copy, Debug)]
pub struct EntryView<'a> {
    /// The time on the entry's own clock.
    pub now: Timestamp,
    /// The wall clock time in Unix milliseconds.
    pub unix_ms: u64,
    /// The newest term of a planner.
    pub term: &'a Term,
    /// Whether the entry's reads of the jobs are current.
    pub reads_current: bool,
}

/// Why a job is refused because of load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadRefusal {
    /// The expected milliseconds until the job would start.
    pub wait_ms: u64,
    /// The longest wait in milliseconds for which the job would have been accepted.
    pub allowed_ms: u64,
    /// The critical path in milliseconds by the caller's estimates.
    pub estimate_ms: u64,
    /// The milliseconds that the job's objective allows.
    pub objective_ms: u64,
    /// The age of the load record in milliseconds.
    pub record_age_ms: u64,
    /// The time after which the caller should submit the job again, in whole seconds.
    pub retry_after: Duration,
}

/// The admission of jobs at one entry.
#[derive(Clone, Debug, Default)]
pub struct LoadAdmission {
    record: Option<LoadRecord>,
    refusals: RecentRefusals,
    open: OpenSubmissions,
    doubtful_at: Option<Timestamp>,
}

impl LoadAdmission {
    /// Applies a load record that was read.
    pub fn apply(&mut self, record: LoadRecord) {
        let older = |known: &LoadRecord| (record.term, record.at_ms) < (known.term, known.at_ms);
        if !self.record.as_ref().is_some_and(older) {
            self.record = Some(record);
        }
    }

    /// Returns the age of the newest load record in milliseconds, by the two processes' wall clocks.
    pub fn record_age_ms(&self, unix_ms: u64) -> Option<u64> {
        let record = self.record.as_ref();
        // A record from the future means that the clocks differ, which makes its age as doubtful.
        record.map(|record| unix_ms.abs_diff(record.at_ms))
    }

    /// Returns why the job has to be refused; `None` if it is accepted. Does not change anything, and
    /// the refusal has no time to return yet.
    ///
    /// `is_guaranteed` returns whether the guarantee of the job's workspace covers it.
    pub fn check(
        &self,
        view: &EntryView<'_>,
        job: &Job,
        is_guaranteed: impl FnOnce() -> bool,
    ) -> Option<LoadRefusal> {
        let record = self.record.as_ref()?;
        let record_age_ms = self.record_age_ms(view.unix_ms)?;
        let term = view.term;
        if record_age_ms > MAX_RECORD_AGE_MS
            || record.term != term.number
            || term.resigned
            || term.stale
            || !view.reads_current
            || self.is_doubtful(view.now)
            || self.open.may_be_stored(view.now, &job.name)
        {
            return None;
        }
        let request = &job.request;
        let lasting = request.steps.iter().any(|s| s.lasting);
        let unestimated = request.steps.iter().any(|s| s.estimate_ms == 0);
        if lasting || unestimated || request.occurrences.is_some() {
            return None;
        }
        let waits = record.waits.iter();
        let mut waits = waits.filter(|w| w.service == job.service && w.priority == job.priority);
        let above = job
            .workspace
            .as_ref()
            .is_some_and(|w| record.above.contains(w));
        let waits = waits.next()?.of(above);
        let estimate_ms = request.critical_path_ms(|_, step| step.estimate_ms);
        let longest_ms = estimate_ms.saturating_mul(ESTIMATE_MARGIN);
        let objective = |path_ms| objective_ms(path_ms, job.stretch, job.target_ms);
        let objective_ms = objective(estimate_ms);
        let in_time_ms = waits.in_time_ms(objective_ms);
        let slack_ms = objective(longest_ms).saturating_sub(longest_ms);
        if in_time_ms <= slack_ms.saturating_mul(IN_TIME_MARGIN) {
            return None;
        }
        let mut allowed_ms = [estimate_ms, longest_ms]
            .map(|path_ms| allowed_wait_ms(path_ms, job.stretch, job.target_ms))
            .into_iter()
            .max()?;
        if self.refusals.has_returned(view.now, &job.name) {
            allowed_ms = allowed_ms.saturating_mul(RETURNED_WAIT_PERCENT) / 100;
        }
        let wait_ms = in_time_ms.max(waits.late_ms);
        if wait_ms <= allowed_ms || is_guaranteed() {
            return None;
        }
        Some(LoadRefusal {
            wait_ms,
            allowed_ms,
            estimate_ms,
            objective_ms,
            record_age_ms,
            retry_after: Duration::ZERO,
        })
    }

    /// Records that a job is refused and returns the refusal with the time to return.
    pub fn refuse(&mut self, now: Timestamp, job: &Name, refusal: LoadRefusal) -> LoadRefusal {
        let room_after = Duration::from_millis(refusal.wait_ms - refusal.allowed_ms);
        LoadRefusal {
            retry_after: self.refusals.refuse(now, job, room_after),
            ..refusal
        }
    }

    /// Records that a job was accepted for now and is about to be sent to the store.
    pub fn submission_sent(&mut self, now: Timestamp, job: &Name) {
        self.refusals.remove(job);
        self.open.begin(now, job);
    }

    /// Records that the record of a job is stored, or certainly is not and never will be.
    pub fn submission_settled(&mut self, job: &str) {
        self.open.end(job);
    }

    /// Returns whether an append of this entry recently had an unknown outcome. Appends of other
    /// entries probably had too, and their callers may submit the same jobs here.
    pub fn is_doubtful(&self, now: Timestamp) -> bool {
        self.doubtful_at
            .is_some_and(|at| now.since(at) < DOUBT_TIME)
    }

    /// Records that an append of this entry had an unknown outcome.
    pub fn append_doubtful(&mut self, now: Timestamp) {
        self.doubtful_at = Some(now);
    }
}

/// Returns whether the guarantee of the job's workspace covers the job next to the urgent jobs of the
/// workspace that have not ended.
pub fn is_covered(table: &JobTable, configuration: &Configuration, job: &Job) -> bool {
    let Some(workspace) = job.workspace.as_ref().filter(|_| job.priority == 0) else {
        return false;
    };
    let mut workspaces = configuration.workspaces.iter();
    let guarantee = workspaces.find(|w| w.name == *workspace);
    let guarantee = guarantee.map_or(0, |w| u64::from(w.guaranteed_accelerators));
    if job.request.accelerators() > guarantee {
        return false;
    }
    let others = table.jobs().filter_map(|(name, known)| {
        let other = known.job.as_ref()?;
        let counts = other.priority == 0
            && other.workspace.as_ref() == Some(workspace)
            && *name != job.name
            && !known.cancelled
            && known.plan.outcome.is_none();
        counts.then(|| other.request.accelerators())
    });
    job.request.accelerators() + others.sum::<u64>() <= guarantee
}
