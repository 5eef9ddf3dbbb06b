//! The measures of one run.

use dragonflyrun::version::Urgency;
use serde::{Deserialize, Serialize};

use super::world::{Job, LARGE_JOB_ACCELERATORS};

/// Completion times of one kind of jobs, from submission to end, in seconds.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct CompletionTimes {
    pub(crate) jobs: usize,
    pub(crate) median_s: f64,
    pub(crate) p99_s: f64,
    /// The 99th percentile relative to that of the run times alone, which is a lower bound for
    /// every policy.
    pub(crate) p99_over_bound: f64,
}

/// The measures of one run.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct Figures {
    pub(crate) urgent: CompletionTimes,
    pub(crate) normal: CompletionTimes,
    pub(crate) patient: CompletionTimes,
    pub(crate) large: CompletionTimes,
    /// The longest wait of a large job for its first start, in seconds.
    pub(crate) large_longest_wait_s: f64,
    /// The time until the last job ends, relative to a lower bound: the larger of the total work
    /// divided by the capacity and the earliest possible end of any single job.
    pub(crate) makespan_over_bound: f64,
    /// The share of idle accelerator time at which the largest waiting job did not fit.
    pub(crate) fragmentation: f64,
    /// The same accelerator time as a share of that of all usable accelerators.
    pub(crate) fragmentation_of_all: f64,
    /// Useful work, without restores, while a failure domain was out of service, as a share of what
    /// the remaining capacity and the demand allowed.
    pub(crate) drain_share: f64,
    /// Accelerator-seconds lost in evictions without a checkpoint.
    pub(crate) lost_to_evictions_s: f64,
    /// Accelerator-seconds lost to failures and cancellations.
    pub(crate) lost_to_failures_s: f64,
    pub(crate) violations: u32,
    pub(crate) reclaims: u32,
    pub(crate) evictions: u32,
    pub(crate) failed_starts: u32,
    pub(crate) refused: u32,
    pub(crate) unfinished: u32,
    /// Completion times of the large jobs, for percentiles over several seeds.
    pub(crate) large_times_s: Vec<f64>,
    #[serde(skip)]
    pub(super) idle_ms: u64,
    #[serde(skip)]
    pub(super) usable_ms: u64,
    #[serde(skip)]
    pub(super) fragmented_ms: u64,
    #[serde(skip)]
    pub(super) drain_work_ms: u64,
    #[serde(skip)]
    pub(super) drain_allowed_ms: u64,
    #[serde(skip)]
    pub(super) lost_to_evictions_ms: u64,
    #[serde(skip)]
    pub(super) lost_to_failures_ms: u64,
}

impl Figures {
    pub(super) fn finish(&mut self, jobs: &[Job], accelerators: u32) {
        let urgency = |u: Urgency| jobs.iter().filter(move |j| j.plan.spec.urgency == u);
        self.urgent = CompletionTimes::of(urgency(Urgency::Urgent));
        self.normal = CompletionTimes::of(urgency(Urgency::Normal));
        self.patient = CompletionTimes::of(urgency(Urgency::Patient));
        let large = || {
            jobs.iter()
                .filter(|j| j.accelerators() >= LARGE_JOB_ACCELERATORS)
        };
        self.large = CompletionTimes::of(large());
        let times = large().filter_map(|j| Some(seconds(j.finished? - j.live_since())));
        self.large_times_s = times.collect();
        let waits = large().filter_map(|j| Some(j.first_start? - j.live_since()));
        self.large_longest_wait_s = seconds(waits.max().unwrap_or(0));
        self.makespan_over_bound = makespan_over_bound(jobs, accelerators);
        self.fragmentation = share(self.fragmented_ms, self.idle_ms);
        self.fragmentation_of_all = share(self.fragmented_ms, self.usable_ms);
        self.drain_share = share(self.drain_work_ms, self.drain_allowed_ms);
        self.lost_to_evictions_s = seconds(self.lost_to_evictions_ms);
        self.lost_to_failures_s = seconds(self.lost_to_failures_ms);
        self.refused = count(jobs, |j| j.refused);
        self.unfinished = count(jobs, |j| {
            j.finished.is_none() && !j.refused && !j.live.cancelled
        });
    }
}

impl Job {
    fn live_since(&self) -> u64 {
        super::world::CLOCK_START_MS + self.plan.arrives_ms
    }
}

impl CompletionTimes {
    fn of<'a>(jobs: impl Iterator<Item = &'a Job>) -> Self {
        let finished = jobs.filter_map(|j| Some((j.finished? - j.live_since(), j.plan.run_ms)));
        let (mut times, mut bounds): (Vec<u64>, Vec<u64>) = finished.unzip();
        times.sort_unstable();
        bounds.sort_unstable();
        let p99 = percentile(&times, 99);
        Self {
            jobs: times.len(),
            median_s: seconds(percentile(&times, 50)),
            p99_s: seconds(p99),
            p99_over_bound: share(p99, percentile(&bounds, 99)),
        }
    }
}

fn makespan_over_bound(jobs: &[Job], accelerators: u32) -> f64 {
    let finished = jobs.iter().filter(|j| j.finished.is_some());
    let work: u64 = finished
        .clone()
        .map(|j| j.plan.run_ms * u64::from(j.accelerators()))
        .sum();
    let alone = finished.clone().map(|j| j.live_since() + j.plan.run_ms);
    let bound = (work / u64::from(accelerators)).max(alone.max().unwrap_or(0));
    share(
        finished.filter_map(|j| j.finished).max().unwrap_or(0),
        bound,
    )
}

fn count(jobs: &[Job], which: impl Fn(&&Job) -> bool) -> u32 {
    jobs.iter().filter(which).count() as u32
}

/// Returns the percentile `percent` of the sorted values.
fn percentile(sorted: &[u64], percent: usize) -> u64 {
    let at = (sorted.len() * percent).div_ceil(100).saturating_sub(1);
    sorted.get(at).copied().unwrap_or(0)
}

fn seconds(ms: u64) -> f64 {
    (ms as f64 / 10.0).round() / 100.0
}

fn share(part: u64, whole: u64) -> f64 {
    let share = part as f64 / whole.max(1) as f64;
    (share * 10_000.0).round() / 10_000.0
}
