//! What an entry remembers of one request, of one handing over, and of one service.

use std::time::Duration;

use crate::{
    request::{RunTime, WaitQueue, Waiting},
    utils::{HashMap, Name, Timestamp},
    version::Urgency,
};

/// A request that has no final answer, or whose key still waits for the truth.
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
    /// The owner that has said that this request may run.
    pub(super) granted_by: Option<Name>,
    /// Whether an agent that had it was lost, so that it may have run whatever comes later.
    pub(super) may_have_run: bool,
}

#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Stage {
    /// The key's owner was asked.
    Claiming { owner: Name },
    /// It waits for a slot.
    Queued,
    /// An agent has it.
    Running { dispatch: u64 },
    /// As `Running`, and the caller was told "unknown" at its deadline.
    Answered { dispatch: u64 },
}

/// One handing over of a request to an agent.
#[derive(Debug)]
pub(super) struct Dispatch {
    pub(super) request: u64,
    pub(super) service: Name,
    pub(super) urgency: Urgency,
    pub(super) agent: Name,
    pub(super) incarnation: u64,
    pub(super) sent_at: Timestamp,
    /// The deadline on the agent's clock. It is reckoned once: the agent knows a second copy for
    /// as long as the first one's deadline, and one with a later deadline would run again.
    pub(super) deadline_ms: u64,
    /// When the link to the agent ended, unless it is back.
    pub(super) lost_at: Option<Timestamp>,
    /// When to send it again to the same process of the agent, after a link has come back.
    pub(super) resend_at: Option<Timestamp>,
    pub(super) resends_left: u32,
}

#[derive(Debug, Default)]
pub(super) struct ServiceState {
    pub(super) queue: WaitQueue,
    /// Over all requests.
    pub(super) run_time: RunTime,
    /// By urgency; what is patient is often larger too.
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
    /// Returns how long `ahead` requests take to be handed over, with `slots` in turn.
    pub(super) fn expected_wait(&self, slots: u32, ahead: usize) -> Duration {
        let mean_ms = self.run_time.mean_ms().unwrap_or(0.0);
        let turns = ahead as f64 / f64::from(slots);
        Duration::from_secs_f64(mean_ms * turns / 1_000.0)
    }

    /// Takes note of how long a request took.
    pub(super) fn record_run_time(&mut self, now: Timestamp, urgency: Urgency, time: Duration) {
        self.run_time.add(now, time);
        self.run_times.entry(urgency).or_default().add(now, time);
    }

    /// Returns by how much most requests of `urgency` take longer than the mean of all.
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
