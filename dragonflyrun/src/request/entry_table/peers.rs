//! Handles agents that join, leave, become silent or are replaced.

use std::time::Duration;

use super::{Dispatch, EntryTable, NO_BACKEND_GRACE, NO_BACKEND_RETRY_AFTER_MS};
use crate::{
    connection::{NotRun, Outcome, Peer},
    request::{AgentView, Refusal, load::DispatchResult},
    utils::{Name, Timestamp},
};

/// Time within which a link must be restored before the requests sent over it count as lost.
const LINK_GRACE: Duration = Duration::from_secs(1);

/// Delay before a request is sent again over a new link, which is reported before it is open.
const RESEND_DELAY: Duration = Duration::from_millis(100);

/// How many times a request is sent again over a new link; the first time the link may still not be
/// open.
const MAX_RESENDS: u32 = 3;

impl EntryTable {
    /// Updates the state of an agent.
    pub fn update_agent(&mut self, view: AgentView) {
        self.loads.update(view);
    }

    /// Divides the slots of the agents among `count` entries; `rank` is the position of this entry
    /// in the order of their names.
    pub fn set_entries(&mut self, count: u32, rank: u32) {
        self.loads.set_entries(count, rank);
    }

    /// Removes all agents for which `keep` returns false.
    pub fn retain_agents(&mut self, keep: impl Fn(&Name) -> bool) {
        self.loads.retain(keep);
    }

    /// Handles a new link to an agent.
    pub fn agent_up(&mut self, now: Timestamp, peer: &Peer) {
        // The known state belongs to the previous process; a request addressed to that process
        // would be ignored.
        let before = self.loads.view(&peer.name);
        if before.is_some_and(|view| view.incarnation != peer.incarnation) {
            self.loads.retain(|name| *name != peer.name);
        }
        for number in self.dispatches_of(&peer.name) {
            let Some(dispatch) = self.dispatches.get_mut(&number) else {
                continue;
            };
            if dispatch.incarnation == peer.incarnation {
                dispatch.lost_at = None;
                dispatch.resend_at = Some(now + RESEND_DELAY);
                dispatch.resends_left = MAX_RESENDS;
            } else {
                self.end_as_lost(now, number);
            }
        }
    }

    /// Handles the end of a link to an agent.
    pub fn agent_down(&mut self, now: Timestamp, peer: &Peer) {
        for dispatch in self.dispatches.values_mut() {
            if dispatch.agent == peer.name && dispatch.incarnation == peer.incarnation {
                dispatch.lost_at = Some(now);
                dispatch.resend_at = None;
            }
        }
        self.owner_lost(now, &peer.name);
    }

    /// Handles deadlines, lost agents, repeated messages and queued requests; to be called about
    /// every 100 ms.
    pub fn tick(&mut self, now: Timestamp) {
        self.detect_freeze(now);
        self.expire_due(now);
        self.tick_dispatches(now);
        self.tick_keys(now);
        let services: Vec<Name> = self.services.keys().cloned().collect();
        for service in &services {
            self.dispatch_queued(now, service);
            self.refuse_without_backend(now, service);
        }
    }

    fn tick_dispatches(&mut self, now: Timestamp) {
        let numbers: Vec<u64> = self.dispatches.keys().copied().collect();
        for number in numbers {
            let Some(dispatch) = self.dispatches.get(&number) else {
                continue;
            };
            if self.is_lost(now, dispatch) {
                self.end_as_lost(now, number);
            } else if dispatch.resend_at.is_some_and(|at| at <= now) {
                self.schedule_next_resend(now, number);
                self.resend(number);
            }
        }
    }

    fn schedule_next_resend(&mut self, now: Timestamp, number: u64) {
        if let Some(dispatch) = self.dispatches.get_mut(&number) {
            dispatch.resends_left = dispatch.resends_left.saturating_sub(1);
            let next_at = (dispatch.resends_left > 0).then_some(now + RESEND_DELAY * 3);
            dispatch.resend_at = next_at;
        }
    }

    /// Returns whether the entry no longer waits for an answer. A silent agent may still answer, so
    /// silence counts as a loss only for a request that may be repeated.
    fn is_lost(&self, now: Timestamp, dispatch: &Dispatch) -> bool {
        if let Some(at) = dispatch.lost_at {
            return now.since(at) >= LINK_GRACE;
        }
        let request = self.requests.get(&dispatch.request);
        request.is_some_and(|r| r.repeatable) && self.loads.is_silent(now, &dispatch.agent)
    }

    fn end_as_lost(&mut self, now: Timestamp, number: u64) {
        if let Some(dispatch) = self.end_dispatch(now, number, DispatchResult::Failed, None) {
            self.apply_outcome(now, &dispatch, Outcome::Unknown);
        }
    }

    /// Refuses the queued requests of a service that no agent has had for [`NO_BACKEND_GRACE`].
    fn refuse_without_backend(&mut self, now: Timestamp, service: &Name) {
        let capacity = self.loads.capacity(now, service);
        let Some(state) = self.services.get_mut(service) else {
            return;
        };
        if capacity.slots > 0 || state.queue.is_empty() {
            state.without_backend_since = None;
            return;
        }
        let since = *state.without_backend_since.get_or_insert(now);
        if now.since(since) < NO_BACKEND_GRACE {
            return;
        }
        let reason = if capacity.out_of_service {
            NotRun::OutOfService
        } else {
            NotRun::NoBackend
        };
        let waiting: Vec<u64> = state.queue.all().map(|w| w.number).collect();
        for number in waiting {
            let refusal = Refusal::new(reason, NO_BACKEND_RETRY_AFTER_MS);
            self.finish(number, refusal.outcome());
        }
    }

    fn dispatches_of(&self, agent: &Name) -> Vec<u64> {
        let mut numbers: Vec<u64> = self
            .dispatches
            .iter()
            .filter(|(_, d)| d.agent == *agent)
            .map(|(number, _)| *number)
            .collect();
        numbers.sort_unstable();
        numbers
    }
}
