//! Decides when a planner has to append a heartbeat.
//!
//! On a slow store each append to the jobs' partition takes half a second. A stored plan proves as
//! well as a heartbeat that its planner is alive, and a heartbeat beside it would only delay the next
//! plan. Only a heartbeat reports whether the planner is impaired, so a change of that is always due.

/// What a planner has recently appended that proves that it is alive.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlannerHeartbeat {
    /// Whether a plan is being appended.
    appending: bool,
    /// Whether a plan was stored since `is_due` was last called.
    plan_stored: bool,
    /// Whether the newest heartbeat reports that the planner is impaired.
    impaired: bool,
}

impl PlannerHeartbeat {
    /// Returns the state after a claim of the term, which reported whether the planner is `impaired`.
    pub fn claimed(impaired: bool) -> Self {
        Self {
            impaired,
            ..Self::default()
        }
    }

    /// Records that a plan was sent to the store.
    pub fn plan_sent(&mut self) {
        self.appending = true;
    }

    /// Records that the plan is stored.
    pub fn plan_stored(&mut self) {
        self.appending = false;
        self.plan_stored = true;
    }

    /// Returns whether a heartbeat is due, where `impaired` is the planner's current state. To be called
    /// at regular intervals.
    pub fn is_due(&mut self, impaired: bool) -> bool {
        let plan_stored = std::mem::take(&mut self.plan_stored);
        impaired != self.impaired || (!self.appending && !plan_stored)
    }

    /// Records that a heartbeat was sent, which reports whether the planner is `impaired`.
    pub fn record_sent(&mut self, impaired: bool) {
        self.impaired = impaired;
    }
}
