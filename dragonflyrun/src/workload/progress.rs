//! The progress of runs, and the remaining time that it predicts.
//!
//! Callers' estimates are off by a factor of two or more, and the mean of a queue says little about
//! a single task. The planner needs the remaining time of a run to choose runs to stop, to predict
//! which resources become free soon, and to estimate what a restarted job needs. The run's own
//! progress tells it within a second.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{
    port::RunningTask,
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
}

impl ProgressTable {
    /// Applies the worker's list of running tasks, read at `clock_ms` on the worker's clock.
    pub(super) fn update(&mut self, clock_ms: u64, running: &[RunningTask]) {
        self.runs
            .retain(|run, _| running.iter().any(|r| r.run == *run));
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

    /// Returns the progress of each run in `running`, in the same order.
    pub(super) fn all(&self, running: &[RunningTask]) -> Vec<Progress> {
        let of_run = |listed: &RunningTask| self.runs.get(&listed.run).map(progress);
        let all = running.iter().map(|r| of_run(r).unwrap_or_default());
        all.collect()
    }
}

/// Predicts the times of a run from its samples.
///
/// A run makes no progress while it waits for other members of its gang or is being restored from a
/// checkpoint, so its pace counts from the last sample before its progress first increased.
fn progress(samples: &VecDeque<Sample>) -> Progress {
    let (Some(first), Some(last)) = (samples.front(), samples.back()) else {
        return Progress::default();
    };
    let began = samples.iter().rev().find(|l| l.percent <= first.percent);
    let began = began.unwrap_or(first);
    let gained = last.percent.saturating_sub(began.percent);
    if gained < MIN_GAIN_PERCENT || last.percent >= DONE_PERCENT {
        return Progress::default();
    }
    let took_ms = last.clock_ms.saturating_sub(began.clock_ms);
    let of_pace = |percent: u32| took_ms * u64::from(percent) / u64::from(gained);
    Progress {
        remaining_ms: Some(of_pace(DONE_PERCENT - last.percent)),
        total_ms: of_pace(DONE_PERCENT),
    }
}
