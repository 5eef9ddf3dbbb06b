//! When a planner has to show that it lives.
//!
//! Load pattern answered here: on a slow store each append to the jobs' partition takes half a second. A
//! plan shows that its planner lives as well as a record made for that, which would only keep the
//! next plan waiting. Whether the planner is stale is told by such a record only.

/// What a planner has shown of late.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlannerHeartbeat {
    /// Whether a plan is being appended.
    appending: bool,
    /// Whether one was appended since the question was last asked.
    plan_stored: bool,
    /// Whether the newest record says that the planner is stale.
    stale: bool,
}

impl PlannerHeartbeat {
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
    pub fn plan_stored(&mut self) {
        self.appending = false;
        self.plan_stored = true;
    }

    /// Returns whether a record is due of a planner that is `stale` or not; to be asked at intervals.
    pub fn is_due(&mut self, stale: bool) -> bool {
        let plan_stored = std::mem::take(&mut self.plan_stored);
        stale != self.stale || (!self.appending && !plan_stored)
    }

    /// Takes note of a record that says whether the planner is stale.
    pub fn record_sent(&mut self, stale: bool) {
        self.stale = stale;
    }
}
