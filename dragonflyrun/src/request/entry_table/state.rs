//! The entry's records of a request, a dispatch and a service.

use std::time::Duration;

use crate::{
    request::{RunTime, WaitQueue, Waiting},
    utils::{HashMap, Name, Timestamp},
    version::Urgency,
};

/// A request that has no final answer yet, or whose key's owner has not received the outcome.
#[derive(Debug)]
pub(super) struct Pending {
    pub(super) service: Name,
    pub(super) urgency: Urgency,
    pub(super) repeatable: bool,
    pub(super) key: Option<Name>,
    pub(super) attempt: u32,
    pub(super) deadline: Timestamp,
    pub(super) body: Vec<u8>,
    pub(super) stage: Stage,
    /// The owner that granted the key to this request.
    pub(super) granted_by: Option<Name>,
    /// Whether an agent that had the request was lost. The request may then have run, whatever a
    /// later agent answers.
    pub(super) may_have_run: bool,
}

#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Stage {
    /// The key was claimed at its owner, which has not answered.
    Claiming { owner: Name },
    /// The request waits for a slot.
    Queued,
    /// The request was sent to an agent.
    Running { dispatch: u64 },
    /// Like `Running`, but the caller was answered "unknown" at its deadline.
    Answered { dispatch: u64 },
}

/// One dispatch of a request to an agent.
#[derive(Debug)]
pub(super) struct Dispatch {
    pub(super) request: u64,
    pub(super) service: Name,
    pub(super) urgency: Urgency,
    pub(super) agent: Name,
    pub(super) incarnation: u64,
    pub(super) sent_at: Timestamp,
    /// The deadline on the agent's clock. It is computed once: the agent recognizes a second copy
    /// only until the deadline of the first, so a copy with a later deadline could run again.
    pub(super) deadline_ms: u64,
    /// When the link to the agent ended, unless it has been restored.
    pub(super) lost_at: Option<Timestamp>,
    /// When to send the request again to the same process of the agent after its link was restored.
    pub(super) resend_at: Option<Timestamp>,
    pub(super) resends_left: u32,
}

#[derive(Debug, Default)]
pub(super) struct ServiceState {
    pub(super) queue: WaitQueue,
    /// Run time over all requests.
    pub(super) run_time: RunTime,
    /// Run times by urgency; patient requests often take longer.
    pub(super) run_times: HashMap<Urgency, RunTime>,
    pub(super) running: usize,
    pub(super) without_backend_since: Option<Timestamp>,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Due {
    pub(super) at: Timestamp,
    pub(super) number: u64,
}

impl Pending {
    pub(super) fn waiting(&self, number: u64) -> Waiting {
        Waiting {
            number,
            urgency: self.urgency,
            deadline: self.deadline,
        }
    }
}

impl ServiceState {
    /// Returns the expected time until `ahead` requests have been dispatched to `slots` slots.
    pub(super) fn expected_wait(&self, slots: u32, ahead: usize) -> Duration {
        let mean_ms = self.run_time.mean_ms().unwrap_or(0.0);
        let turns = ahead as f64 / f64::from(slots);
        Duration::from_secs_f64(mean_ms * turns / 1_000.0)
    }

    /// Records the run time of a request.
    pub(super) fn record_run_time(&mut self, now: Timestamp, urgency: Urgency, time: Duration) {
        self.run_time.add(now, time);
        self.run_times.entry(urgency).or_default().add(now, time);
    }

    /// Returns the ratio of the time within which most requests of `urgency` end to the mean run
    /// time of all requests.
    pub(super) fn run_time_ratio(&self, now: Timestamp, urgency: Urgency) -> f64 {
        let bound = self.run_times.get(&urgency).map(|r| r.upper_bound(now));
        match (bound, self.run_time.recent_mean_ms(now)) {
            (Some(bound), Some(mean_ms)) if mean_ms > 0.0 && !bound.is_zero() => {
                bound.as_secs_f64() * 1_000.0 / mean_ms
            }
            _ => 1.0,
        }
    }
}
