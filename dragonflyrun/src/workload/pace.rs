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

/// Minimum work, as its duration in milliseconds at full speed, over which a pace is measured. Over
/// less work the interval between two readings makes a run appear up to a third faster or slower than
/// it is. A limit of the measured time instead would leave out the fast runs.
const MIN_TIMED_WORK_MS: u64 = 1_200;

/// Minimum progress in percentage points from which the begin of a run's work is derived: the worker
/// rounds the progress down to whole percents.
const MIN_GAIN_PERCENT: u32 = 4;

/// Maximum number of started runs that are remembered until the worker lists them.
const MAX_STARTED: usize = 64;

/// The measured pace of a run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Pace {
    /// The run whose pace was measured.
    #[serde(rename = "r")]
    pub run: RunId,
    /// The number of checkpoint intervals that the run has completed while it was timed. The first one
    /// counts from the begin of the work, if the run executes the whole task.
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
    /// Whether the run executes the task from its beginning, and the readings since then are complete.
    is_whole: bool,
    /// The first reading of progress: its time and the percentage.
    progressed: Option<(u64, u32)>,
    /// When the work began, once that can be derived.
    began_ms: Option<u64>,
    /// When the first new checkpoint was seen. The checkpoint found by the first reading doesn't
    /// count, since it may be old.
    first_ms: Option<u64>,
    /// When the newest checkpoint was seen.
    last_ms: u64,
    /// The time between the reading that showed the newest checkpoint and the one before it.
    last_gap_ms: u64,
    /// The number of new checkpoints since `first_ms`.
    intervals: u32,
}

/// The paces of a worker's runs, as measured by its agent.
#[derive(Clone, Debug, Default)]
pub(super) struct PaceTable {
    /// The amount of work between two checkpoints, as its duration at full speed; zero if unknown.
    interval: Duration,
    runs: HashMap<RunId, TimedRun>,
    /// The newest runs that were started from the beginning of their task and not listed yet.
    started: VecDeque<RunId>,
    /// The paces of ended runs, oldest first, for a planner that takes over after their end.
    ended: VecDeque<Pace>,
}

impl PaceTable {
    /// Returns a table for runs that save a checkpoint after each `interval` of work.
    pub(super) fn new(interval: Duration) -> Self {
        Self {
            interval,
            runs: HashMap::default(),
            started: VecDeque::new(),
            ended: VecDeque::new(),
        }
    }

    /// Records that a run is started from the beginning of its task.
    pub(super) fn start(&mut self, run: &RunId) {
        if self.started.len() == MAX_STARTED {
            self.started.pop_front();
        }
        self.started.push_back(run.clone());
    }

    /// Applies the worker's list of running tasks, read at `clock_ms` on the worker's clock.
    pub(super) fn update(&mut self, clock_ms: u64, running: &[RunningTask]) {
        let interval_ms = u64::try_from(self.interval.as_millis()).unwrap_or(u64::MAX);
        if interval_ms == 0 {
            return;
        }
        let has_ended = |run: &RunId| !running.iter().any(|r| r.run == *run);
        let ended = self.runs.iter().filter(|(run, _)| has_ended(run));
        let ended = ended.filter_map(|(run, timed)| timed.pace(run, interval_ms));
        self.ended.extend(ended);
        let excess = self.ended.len().saturating_sub(MAX_ENDED_PACES);
        self.ended.drain(..excess);
        self.runs.retain(|run, _| !has_ended(run));
        for listed in running {
            let started = &mut self.started;
            let timed = self.runs.entry(listed.run.clone()).or_insert_with(|| {
                let is_started = started.contains(&listed.run);
                started.retain(|run| *run != listed.run);
                TimedRun {
                    checkpoint: listed.checkpoint.clone(),
                    read_ms: clock_ms,
                    is_whole: is_started && listed.checkpoint.is_empty(),
                    progressed: None,
                    began_ms: None,
                    first_ms: None,
                    last_ms: clock_ms,
                    last_gap_ms: 0,
                    intervals: 0,
                }
            });
            timed.update(clock_ms, listed, interval_ms);
        }
    }

    /// Returns the paces that have been measured, those of ended runs first.
    pub(super) fn all(&self) -> Vec<Pace> {
        let interval_ms = u64::try_from(self.interval.as_millis()).unwrap_or(u64::MAX);
        let running = self.runs.iter();
        let running = running.filter_map(|(run, timed)| timed.pace(run, interval_ms));
        self.ended.iter().cloned().chain(running).collect()
    }
}

impl TimedRun {
    fn pace(&self, run: &RunId, interval_ms: u64) -> Option<Pace> {
        let first_ms = self.first_ms?;
        let (intervals, took_ms) = match self.began_ms {
            // The checkpoint was saved between two readings, on average halfway.
            Some(began_ms) => {
                let saved_ms = self.last_ms.saturating_sub(self.last_gap_ms / 2);
                (self.intervals + 1, saved_ms.saturating_sub(began_ms))
            }
            None => (self.intervals, self.last_ms.saturating_sub(first_ms)),
        };
        let long_enough = u64::from(intervals) * interval_ms >= MIN_TIMED_WORK_MS;
        (long_enough && took_ms > 0).then(|| Pace {
            run: run.clone(),
            intervals,
            took_ms,
        })
    }

    fn update(&mut self, clock_ms: u64, listed: &RunningTask, interval_ms: u64) {
        let since_read_ms = clock_ms.saturating_sub(self.read_ms);
        self.read_ms = clock_ms;
        if since_read_ms >= interval_ms {
            // The run may have saved several checkpoints since the last reading, which would be
            // counted as one. Restart the measurement.
            self.is_whole = false;
            self.began_ms = None;
            self.first_ms = None;
            self.intervals = 0;
            self.checkpoint.clone_from(&listed.checkpoint);
            return;
        }
        if listed.percent > 0 && self.progressed.is_none() {
            self.progressed = Some((clock_ms, listed.percent));
        }
        if listed.checkpoint == self.checkpoint {
            return;
        }
        self.checkpoint.clone_from(&listed.checkpoint);
        if self.first_ms.is_none() {
            self.first_ms = Some(clock_ms);
            self.began_ms = self.work_began(clock_ms, listed.percent);
        } else {
            self.intervals += 1;
        }
        self.last_ms = clock_ms;
        self.last_gap_ms = since_read_ms;
    }

    /// Derives when the work began from the progress since its first reading, which was up to one
    /// reading later. Returns `None` if the run doesn't execute the whole task or has made too little
    /// progress.
    fn work_began(&self, clock_ms: u64, percent: u32) -> Option<u64> {
        let (first_ms, first_percent) = self.progressed.filter(|_| self.is_whole)?;
        let gained = percent.saturating_sub(first_percent);
        if gained < MIN_GAIN_PERCENT || percent >= 100 {
            return None;
        }
        // On average half a percent is lost by rounding down.
        let before = f64::from(first_percent) + 0.5;
        let took_ms = clock_ms.saturating_sub(first_ms) as f64 * before / f64::from(gained);
        Some(first_ms.saturating_sub(took_ms as u64))
    }
}
