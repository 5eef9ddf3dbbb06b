//! How fast runs come on, by the time from one of their checkpoints to the next.
//!
//! A run saves a checkpoint after each fixed span of work, so the time between two of them tells how
//! fast its worker is, exactly and within seconds; the time of a whole task tells it only against
//! other tasks and once it is over.

use std::{collections::VecDeque, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    port::RunningTask,
    utils::HashMap,
    workload::RunId, //
};

/// Runs that are over of which the pace is kept.
const MAX_ENDED_PACES: usize = 4;

/// Milliseconds for which a run has to be timed: before that the time between two looks makes it
/// appear a third faster or slower than it is.
const MIN_TIMED_MS: u64 = 1_200;

/// How fast a run has come on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Pace {
    /// The run.
    #[serde(rename = "r")]
    pub run: RunId,
    /// Spans of work between two checkpoints that it has done.
    #[serde(rename = "n")]
    pub intervals: u32,
    /// The milliseconds on the worker's clock that these took.
    #[serde(rename = "t")]
    pub took_ms: u64,
}

/// A run that is being timed.
#[derive(Clone, Debug)]
struct TimedRun {
    checkpoint: String,
    read_ms: u64,
    /// When the first new checkpoint was seen; what was there at the first look may be old.
    first_ms: Option<u64>,
    last_ms: u64,
    intervals: u32,
}

/// The runs of a worker that save checkpoints, as its agent sees them.
#[derive(Clone, Debug, Default)]
pub(super) struct PaceTable {
    /// The span of work from one checkpoint to the next; zero where it is not known.
    interval: Duration,
    runs: HashMap<RunId, TimedRun>,
    /// The paces of runs that are over, for a planner that takes over after their end.
    ended: VecDeque<Pace>,
}

impl PaceTable {
    /// Returns a table for runs that save a checkpoint after each `every` of work.
    pub(super) fn new(interval: Duration) -> Self {
        Self {
            interval,
            runs: HashMap::default(),
            ended: VecDeque::new(),
        }
    }

    /// Takes what the worker lists as running at `clock_ms` on its clock.
    pub(super) fn update(&mut self, clock_ms: u64, running: &[RunningTask]) {
        let interval_ms = u64::try_from(self.interval.as_millis()).unwrap_or(u64::MAX);
        if interval_ms == 0 {
            return;
        }
        let is_over = |run: &RunId| !running.iter().any(|r| r.run == *run);
        let over = self.runs.iter().filter(|(run, _)| is_over(run));
        let over = over.filter_map(|(run, timed)| timed.pace(run));
        self.ended.extend(over);
        let excess = self.ended.len().saturating_sub(MAX_ENDED_PACES);
        self.ended.drain(..excess);
        self.runs.retain(|run, _| !is_over(run));
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

    /// Returns how fast the runs have come on.
    pub(super) fn all(&self) -> Vec<Pace> {
        let under_way = self.runs.iter().filter_map(|(run, timed)| timed.pace(run));
        self.ended.iter().cloned().chain(under_way).collect()
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
            // More than one checkpoint may have come since, and been counted as one.
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
