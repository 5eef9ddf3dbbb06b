//! When a planner has to show that it lives.
//!
//! Load pattern answered here: on a slow store each append to the jobs' partition takes half a second. A
//! plan shows that its planner lives as well as a record made for that, which would only keep the
//! next plan waiting. Whether the planner is stale is told by such a record only.

/// What a planner has shown of late.
#[derive(Clone, Copy, Debug, Default)]
pub struct LifeSigns {
    /// Whether a plan is being appended.
    appending: bool,
    /// Whether one was appended since the question was last asked.
    shown: bool,
    /// Whether the newest record says that the planner is stale.
    stale: bool,
}

impl LifeSigns {
    /// Returns what has been shown by a term that was claimed as `stale` or not.
    pub fn claimed(stale: bool) -> Self {
        Self {
            stale,
            ..Self::default()
        }
    }

    /// Takes note that a plan is sent.
    pub fn plan_sent(&mut self) {
        self.appending = true;
    }

    /// Takes note that the plan stands in the store.
    pub fn plan_stands(&mut self) {
        self.appending = false;
        self.shown = true;
    }

    /// Returns whether a record is due of a planner that is `stale` or not; to be asked at intervals.
    pub fn is_due(&mut self, stale: bool) -> bool {
        let shown = std::mem::take(&mut self.shown);
        stale != self.stale || (!self.appending && !shown)
    }

    /// Takes note of a record that says whether the planner is stale.
    pub fn record_sent(&mut self, stale: bool) {
        self.stale = stale;
    }
}
