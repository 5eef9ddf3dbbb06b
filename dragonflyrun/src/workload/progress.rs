//! How far runs are, and when they will be done at the pace at which they come on.
//!
//! Load pattern answered here: callers' guesses are off by a factor of two and more, and a queue's
//! mean says little of one task. Whom to stop, what will be free soon and what a job that begins again
//! needs follows from how long a run has left, which its own progress tells within a second.

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

/// Looks that are remembered of a run: some four seconds, so that a worker that turns slow shows.
const MAX_SAMPLES: usize = 10;

/// Percent that a run has to come on before its pace is told: a look rounds them down.
const MIN_GAIN_PERCENT: u32 = 4;

/// How far a run is done.
const DONE_PERCENT: u32 = 100;

/// How a run comes on.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Progress {
    /// Milliseconds that it has left at its pace; none where that is not known.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub remaining_ms: Option<u64>,
    /// Milliseconds that all of its work takes at its pace; 0 where that is not known.
    #[serde(rename = "t", default, skip_serializing_if = "is_zero_u64")]
    pub total_ms: u64,
}

/// A look at a run.
#[derive(Clone, Copy, Debug)]
struct Sample {
    clock_ms: u64,
    percent: u32,
}

/// The progress of a worker's runs, as its agent sees it.
#[derive(Clone, Debug, Default)]
pub(super) struct ProgressTable {
    runs: HashMap<RunId, VecDeque<Sample>>,
}

impl ProgressTable {
    /// Takes what the worker lists as running at `clock_ms` on its clock.
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

    /// Returns how the runs come on, in the order of `running`.
    pub(super) fn all(&self, running: &[RunningTask]) -> Vec<Progress> {
        let of_run = |listed: &RunningTask| self.runs.get(&listed.run).map(progress);
        let all = running.iter().map(|r| of_run(r).unwrap_or_default());
        all.collect()
    }
}

/// Returns how a run comes on that was looked at so often. It does not come on while it waits for other
/// members of its gang or is restored, so its pace counts from the look before it first moved.
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
