//! The pace of runs, measured by the time between consecutive checkpoints.
//!
//! A run saves a checkpoint after a fixed amount of work, so the time between two checkpoints
//! measures the speed of its worker exactly and within seconds. The duration of a whole task does so
//! only in comparison with other tasks, and only once the task is over.

use std::{collections::VecDeque, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    port::RunningTask,
    utils::HashMap,
    workload::RunId, //
};

/// Maximum number of ended runs whose pace is kept.
const MAX_ENDED_PACES: usize = 4;

/// Minimum time in milliseconds over which a pace is measured. Over a shorter time the interval
/// between two readings makes a run appear up to a third faster or slower than it is.
const MIN_TIMED_MS: u64 = 1_200;

/// The measured pace of a run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Pace {
    /// The run whose pace was measured.
    #[serde(rename = "r")]
    pub run: RunId,
    /// The number of checkpoint intervals that the run has completed while it was timed.
    #[serde(rename = "n")]
    pub intervals: u32,
    /// The time that these intervals took, in milliseconds on the worker's clock.
    #[serde(rename = "t")]
    pub took_ms: u64,
}

/// The timing of a run. All times are in milliseconds on the worker's clock.
#[derive(Clone, Debug)]
struct TimedRun {
    /// The newest checkpoint of the run.
    checkpoint: String,
    /// When the worker's lists were last read.
    read_ms: u64,
    /// When the first new checkpoint was seen. The checkpoint found by the first reading doesn't
    /// count, since it may be old.
    first_ms: Option<u64>,
    /// When the newest checkpoint was seen.
    last_ms: u64,
    /// The number of new checkpoints since `first_ms`.
    intervals: u32,
}

/// The paces of a worker's runs, as measured by its agent.
#[derive(Clone, Debug, Default)]
pub(super) struct PaceTable {
    /// The amount of work between two checkpoints, as its duration at full speed; zero if unknown.
    interval: Duration,
    runs: HashMap<RunId, TimedRun>,
    /// The paces of ended runs, oldest first, for a planner that takes over after their end.
    ended: VecDeque<Pace>,
}

impl PaceTable {
    /// Returns a table for runs that save a checkpoint after each `interval` of work.
    pub(super) fn new(interval: Duration) -> Self {
        Self {
            interval,
            runs: HashMap::default(),
            ended: VecDeque::new(),
        }
    }

    /// Applies the worker's list of running tasks, read at `clock_ms` on the worker's clock.
    pub(super) fn update(&mut self, clock_ms: u64, running: &[RunningTask]) {
        let interval_ms = u64::try_from(self.interval.as_millis()).unwrap_or(u64::MAX);
        if interval_ms == 0 {
            return;
        }
        let has_ended = |run: &RunId| !running.iter().any(|r| r.run == *run);
        let ended = self.runs.iter().filter(|(run, _)| has_ended(run));
        let ended = ended.filter_map(|(run, timed)| timed.pace(run));
        self.ended.extend(ended);
        let excess = self.ended.len().saturating_sub(MAX_ENDED_PACES);
        self.ended.drain(..excess);
        self.runs.retain(|run, _| !has_ended(run));
        for listed in running {
            let timed = self.runs.entry(listed.run.clone());
            let timed = timed.or_insert_with(|| TimedRun {
                checkpoint: listed.checkpoint.clone(),
                read_ms: clock_ms,
                first_ms: None,
                last_ms: clock_ms,
                intervals: 0,
            });
            timed.update(clock_ms, &listed.checkpoint, interval_ms);
        }
    }

    /// Returns the paces that have been measured, those of ended runs first.
    pub(super) fn all(&self) -> Vec<Pace> {
        let running = self.runs.iter().filter_map(|(run, timed)| timed.pace(run));
        self.ended.iter().cloned().chain(running).collect()
    }
}

impl TimedRun {
    fn pace(&self, run: &RunId) -> Option<Pace> {
        let took_ms = self.last_ms.saturating_sub(self.first_ms?);
        let long_enough = took_ms >= MIN_TIMED_MS;
        long_enough.then(|| Pace {
            run: run.clone(),
            intervals: self.intervals,
            took_ms,
        })
    }

    fn update(&mut self, clock_ms: u64, checkpoint: &str, interval_ms: u64) {
        let since_read_ms = clock_ms.saturating_sub(self.read_ms);
        self.read_ms = clock_ms;
        if since_read_ms >= interval_ms {
            // The run may have saved several checkpoints since the last reading, which would be
            // counted as one. Restart the measurement.
            self.first_ms = None;
            self.intervals = 0;
            checkpoint.clone_into(&mut self.checkpoint);
            return;
        }
        if checkpoint == self.checkpoint {
            return;
        }
        checkpoint.clone_into(&mut self.checkpoint);
        if self.first_ms.is_none() {
            self.first_ms = Some(clock_ms);
        } else {
            self.intervals += 1;
        }
        self.last_ms = clock_ms;
    }
}
