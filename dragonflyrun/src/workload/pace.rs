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
const MOST_OVER: usize = 4;

/// Milliseconds for which a run has to be timed: before that the time between two looks makes it
/// appear a third faster or slower than it is.
const SHORTEST_MS: u64 = 1_200;

/// How fast a run has come on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Pace {
    /// The run.
    #[serde(rename = "r")]
    pub run: RunId,
    /// Spans of work between two checkpoints that it has done.
    #[serde(rename = "n")]
    pub spans: u32,
    /// The milliseconds on the worker's clock that these took.
    #[serde(rename = "t")]
    pub took_ms: u64,
}

/// A run that is being timed.
#[derive(Clone, Debug)]
struct Timed {
    checkpoint: String,
    looked_ms: u64,
    /// When the first new checkpoint was seen; what was there at the first look may be old.
    first_ms: Option<u64>,
    last_ms: u64,
    spans: u32,
}

/// The runs of a worker that save checkpoints, as its agent sees them.
#[derive(Clone, Debug, Default)]
pub(super) struct Paces {
    /// The span of work from one checkpoint to the next; zero where it is not known.
    every: Duration,
    runs: HashMap<RunId, Timed>,
    /// The paces of runs that are over, for a planner that takes over after their end.
    over: VecDeque<Pace>,
}

impl Paces {
    /// Returns a table for runs that save a checkpoint after each `every` of work.
    pub(super) fn new(every: Duration) -> Self {
        Self {
            every,
            runs: HashMap::default(),
            over: VecDeque::new(),
        }
    }

    /// Takes what the worker lists as running at `clock_ms` on its clock.
    pub(super) fn look(&mut self, clock_ms: u64, running: &[RunningTask]) {
        let every_ms = u64::try_from(self.every.as_millis()).unwrap_or(u64::MAX);
        if every_ms == 0 {
            return;
        }
        let is_over = |run: &RunId| !running.iter().any(|r| r.run == *run);
        let over = self.runs.iter().filter(|(run, _)| is_over(run));
        let over = over.filter_map(|(run, timed)| timed.pace(run));
        self.over.extend(over);
        let excess = self.over.len().saturating_sub(MOST_OVER);
        self.over.drain(..excess);
        self.runs.retain(|run, _| !is_over(run));
        for listed in running {
            let timed = self.runs.entry(listed.run.clone());
            let timed = timed.or_insert_with(|| Timed {
                checkpoint: listed.checkpoint.clone(),
                looked_ms: clock_ms,
                first_ms: None,
                last_ms: clock_ms,
                spans: 0,
            });
            timed.look(clock_ms, &listed.checkpoint, every_ms);
        }
    }

    /// Returns how fast the runs have come on.
    pub(super) fn all(&self) -> Vec<Pace> {
        let under_way = self.runs.iter().filter_map(|(run, timed)| timed.pace(run));
        self.over.iter().cloned().chain(under_way).collect()
    }
}

impl Timed {
    fn pace(&self, run: &RunId) -> Option<Pace> {
        let took_ms = self.last_ms.saturating_sub(self.first_ms?);
        let long_enough = took_ms >= SHORTEST_MS;
        long_enough.then(|| Pace {
            run: run.clone(),
            spans: self.spans,
            took_ms,
        })
    }

    fn look(&mut self, clock_ms: u64, checkpoint: &str, every_ms: u64) {
        let since_look = clock_ms.saturating_sub(self.looked_ms);
        self.looked_ms = clock_ms;
        if since_look >= every_ms {
            // More than one checkpoint may have come since, and been counted as one.
            self.first_ms = None;
            self.spans = 0;
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
            self.spans += 1;
        }
        self.last_ms = clock_ms;
    }
}
