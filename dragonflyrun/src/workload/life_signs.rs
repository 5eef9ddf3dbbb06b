//! When a planner has to show that it lives.
//!
//! Load pattern answered here: on a slow store each append to the jobs' partition takes half a second. A
//! plan shows that its planner lives as well as a record made for that, which would only keep the
//! next plan waiting.

/// What a planner has shown of late.
#[derive(Clone, Copy, Debug, Default)]
pub struct LifeSigns {
    /// Whether a plan is being appended.
    appending: bool,
    /// Whether one was appended since the question was last asked.
    shown: bool,
}

impl LifeSigns {
    /// Takes note that a plan is sent.
    pub fn plan_sent(&mut self) {
        self.appending = true;
    }

    /// Takes note that the plan stands in the store.
    pub fn plan_stands(&mut self) {
        self.appending = false;
        self.shown = true;
    }

    /// Returns whether a record is due that shows nothing else; to be asked at intervals.
    pub fn is_due(&mut self) -> bool {
        !self.appending && !std::mem::take(&mut self.shown)
    }
}
