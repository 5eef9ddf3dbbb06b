//! The progress of runs, and the remaining time that it predicts.
//!
//! Callers' estimates are off by a factor of two or more, and the mean of a queue says little about
//! a single task. The planner needs the remaining time of a run to choose runs to stop, to predict
//! which resources become free soon, and to estimate what a restarted job needs. The run's own
//! progress tells it within a second.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{
    port::{End, RunningTask},
    utils::HashMap,
    workload::{
        RunId,
        skip::is_zero_u64, //
    },
};

/// Number of samples kept of a run. They cover about four seconds, so that the prediction follows a
/// worker that becomes slow.
const MAX_SAMPLES: usize = 10;

/// Minimum progress of a run over the kept samples, in percentage points, from which a pace is
/// derived: the worker rounds the progress down to whole percents.
const MIN_GAIN_PERCENT: u32 = 4;

/// Number of intervals between samples over which it makes little difference when exactly the work
/// began within the first one.
const MIN_INTERVALS: usize = 5;

/// Number of ended runs whose total is kept. A worker ends about as many small tasks between two
/// confirmations of the planner.
const MAX_ENDED: usize = 32;

/// The progress in percent at which no work is left. Running tasks that serve users report it too.
const DONE_PERCENT: u32 = 100;

/// The predicted times of a run.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Progress {
    /// The remaining time in milliseconds at the current pace; `None` if the pace is unknown.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub remaining_ms: Option<u64>,
    /// The time in milliseconds of the whole work at the current pace; 0 if the pace is unknown.
    #[serde(rename = "t", default, skip_serializing_if = "is_zero_u64")]
    pub total_ms: u64,
}

/// The progress of a run at one time on the worker's clock.
#[derive(Clone, Copy, Debug)]
struct Sample {
    clock_ms: u64,
    percent: u32,
}

/// The progress of a worker's runs, as sampled by its agent.
#[derive(Clone, Debug, Default)]
pub(super) struct ProgressTable {
    runs: HashMap<RunId, VecDeque<Sample>>,
    /// The milliseconds of the whole work of ended runs, oldest first.
    ended: VecDeque<(RunId, u64)>,
}

impl ProgressTable {
    /// Applies the worker's list of running tasks, read at `clock_ms` on the worker's clock.
    pub(super) fn update(&mut self, clock_ms: u64, running: &[RunningTask]) {
        let has_ended = |run: &RunId| !running.iter().any(|r| r.run == *run);
        for (run, samples) in self.runs.iter().filter(|(run, _)| has_ended(run)) {
            if let Some(total_ms) = ended_total_ms(samples) {
                self.ended.push_back((run.clone(), total_ms));
            }
        }
        let excess = self.ended.len().saturating_sub(MAX_ENDED);
        self.ended.drain(..excess);
        self.runs.retain(|run, _| !has_ended(run));
        for listed in running {
            let samples = self.runs.entry(listed.run.clone()).or_default();
            if samples.len() == MAX_SAMPLES {
                samples.pop_front();
            }
            samples.push_back(Sample {
                clock_ms,
                percent: listed.percent,
            });
        }
    }

    /// Returns the milliseconds of the whole work of each ended run, in the same order; 0 where they
    /// are unknown. The result is empty if none is known.
    pub(super) fn ended_totals_ms(&self, ends: &[End]) -> Vec<u64> {
        let of_run = |end: &End| {
            let mut ended = self.ended.iter().rev();
            ended.find(|(run, _)| *run == end.run).map_or(0, |e| e.1)
        };
        let totals: Vec<u64> = ends.iter().map(of_run).collect();
        if totals.iter().any(|ms| *ms > 0) {
            totals
        } else {
            Vec::new()
        }
    }

    /// Returns the progress of each run in `running`, in the same order.
    pub(super) fn all(&self, running: &[RunningTask]) -> Vec<Progress> {
        let of_run = |listed: &RunningTask| self.runs.get(&listed.run).map(progress);
        let all = running.iter().map(|r| of_run(r).unwrap_or_default());
        all.collect()
    }
}

/// Returns the milliseconds of the whole work of an ended run by its last samples. The last one may
/// show that no work was left, which says nothing about the time at which that was reached.
fn ended_total_ms(samples: &VecDeque<Sample>) -> Option<u64> {
    let unfinished = samples.iter().filter(|s| s.percent < DONE_PERCENT);
    let total_ms = progress(&unfinished.copied().collect()).total_ms;
    (total_ms > 0).then_some(total_ms)
}

/// Predicts the times of a run from its samples.
///
/// A run makes no progress while it waits for other members of its gang or is being restored from a
/// checkpoint, so its pace counts from the sample in which its progress first increased. The work
/// began up to one interval before that one, and counting from the sample before made fast short runs
/// appear 15% longer than they were. The one before counts only where that makes little difference,
/// which gives long runs enough progress within the kept samples.
fn progress(samples: &VecDeque<Sample>) -> Progress {
    let (Some(first), Some(last)) = (samples.front(), samples.back()) else {
        return Progress::default();
    };
    let began = samples.iter().rposition(|s| s.percent <= first.percent);
    let began = began.unwrap_or(0);
    let gain_since = |sample: &Sample| last.percent.saturating_sub(sample.percent);
    let is_enough = |sample: &&Sample| gain_since(sample) >= MIN_GAIN_PERCENT;
    let increased = samples.get(began + 1).filter(is_enough);
    let has_many = samples.len() - 1 - began >= MIN_INTERVALS;
    let before = samples.get(began).filter(is_enough).filter(|_| has_many);
    let Some(base) = increased.or(before) else {
        return Progress::default();
    };
    if last.percent >= DONE_PERCENT {
        return Progress::default();
    }
    let took_ms = last.clock_ms.saturating_sub(base.clock_ms);
    let of_pace = |percent: u32| took_ms * u64::from(percent) / u64::from(gain_since(base));
    Progress {
        remaining_ms: Some(of_pace(DONE_PERCENT - last.percent)),
        total_ms: of_pace(DONE_PERCENT),
    }
}
