//! The load of the agents as seen by one entry, and the choice of the agent for the next request.

mod offer;
mod view;

use std::{hash::BuildHasher, time::Duration};

use rand::Rng;
use rustc_hash::FxBuildHasher;

use crate::{
    process::MAX_PEER_SILENCE,
    utils::{HashMap, Name, Timestamp}, //
};
use offer::Offer;
pub use view::{AgentView, ServiceView};

/// Number of random draws before all agents are scanned for one with a free slot.
const MAX_DRAWS: usize = 8;

/// The result of a dispatch, used for the choice of agents.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum DispatchResult {
    /// The backend server answered after this time.
    Ran(Duration),
    /// The backend server failed, or the agent was lost.
    Failed,
    /// The backend server refused the connection.
    Refused,
    /// The agent did not start the request.
    NotStarted,
}

/// The state of all agents as seen by one entry.
#[derive(Debug, Default)]
pub struct AgentLoads {
    agents: HashMap<Name, Agent>,
    services: HashMap<Name, Vec<Name>>,
    entries: Entries,
}

/// The number of entries that share the slots, and the rank of this entry among them.
#[derive(Clone, Copy, Debug)]
struct Entries {
    count: u32,
    rank: u32,
}

#[derive(Debug)]
struct Agent {
    view: AgentView,
    offers: HashMap<Name, Offer>,
}

/// The slots of all agents together for one service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Capacity {
    /// Slots of all usable agents.
    pub(crate) slots: u32,
    /// Slots that are free or that requests of this entry use.
    pub(crate) available: u32,
    /// Whether no usable agent has the service, but at least one has it whose failure domain is out
    /// of service.
    pub(crate) out_of_service: bool,
}

impl AgentLoads {
    /// Updates the state of an agent.
    pub fn update(&mut self, view: AgentView) {
        let name = view.name.clone();
        let agent = self.agents.entry(name.clone()).or_insert_with(|| Agent {
            view: view.clone(),
            offers: HashMap::default(),
        });
        if agent.view.incarnation != view.incarnation {
            agent.offers.clear();
        }
        for offer in agent.offers.values_mut() {
            (offer.slots, offer.share) = (0, 0);
        }
        let entries = self.entries;
        for service in &view.services {
            let share = entries.share(&name, service.slots);
            let offer = agent.offers.entry(service.service.clone()).or_default();
            offer.slots = service.slots;
            offer.share = share;
            offer.reserve = (entries.count - 1).min(service.slots / 2);
            offer.update_free(view.heard, service.free);
            let agents = self.services.entry(service.service.clone()).or_default();
            if let Err(index) = agents.binary_search(&name) {
                agents.insert(index, name.clone());
            }
        }
        agent.view = view;
    }

    /// Divides the slots among `count` entries; `rank` is the position of this entry among them.
    ///
    /// If several entries see the same free slot and use it at the same time, all but one are
    /// refused. With a share of its own, each entry can use some slots without coordination.
    pub(crate) fn set_entries(&mut self, count: u32, rank: u32) {
        let count = count.max(1);
        self.entries = Entries {
            count,
            rank: rank % count,
        };
    }

    /// Removes all agents for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&Name) -> bool) {
        self.agents.retain(|name, _| keep(name));
        let agents = &self.agents;
        self.services.retain(|_, names| {
            names.retain(|n| agents.contains_key(n));
            !names.is_empty()
        });
    }

    /// Returns the last known state of an agent.
    pub fn view(&self, agent: &Name) -> Option<&AgentView> {
        self.agents.get(agent).map(|a| &a.view)
    }

    /// Returns whether no heartbeat of `agent` has arrived within [`SILENCE`].
    pub(crate) fn is_silent(&self, now: Timestamp, agent: &Name) -> bool {
        let heard = self.view(agent).map(|v| v.heard);
        heard.is_none_or(|heard| now.since(heard) > MAX_PEER_SILENCE)
    }

    /// Returns the slots of all usable agents together for `service`.
    pub(crate) fn capacity(&self, now: Timestamp, service: &Name) -> Capacity {
        let mut sum = Capacity::default();
        let mut out_of_service = false;
        for name in self.services.get(service).into_iter().flatten() {
            let Some(agent) = self.agents.get(name) else {
                continue;
            };
            let Some(offer) = agent.offers.get(service).filter(|o| o.slots > 0) else {
                continue;
            };
            out_of_service |= agent.view.out_of_service;
            if agent.is_usable(now) {
                sum.slots += offer.slots;
                sum.available += offer.free() + offer.in_flight.min(offer.slots);
            }
        }
        sum.out_of_service = out_of_service && sum.slots == 0;
        sum
    }

    /// Returns the lowest mean run time of all agents, or zero if none is known.
    pub(crate) fn fastest_mean(&self, now: Timestamp, service: &Name) -> Duration {
        let names = self.services.get(service).into_iter().flatten();
        let offers = names.filter_map(|name| self.usable_offer(now, name, service));
        let means = offers.filter_map(|o| o.run_time.recent_mean_ms(now));
        let least_ms = means.reduce(f64::min).unwrap_or(0.0);
        Duration::from_secs_f64(least_ms / 1_000.0)
    }

    /// Chooses an agent for a request of `service` among those with a mean run time of at most
    /// `max_mean`: the best of `choices` agents drawn at random from those with a free slot.
    ///
    /// If each entry chose the best of all agents, all entries would choose the same agent until
    /// the next heartbeat. Two draws come close to the best without that effect
    /// (`docs/REQUESTS.md`, choice of agents).
    pub fn choose(
        &self,
        now: Timestamp,
        service: &Name,
        max_mean: Duration,
        choices: usize,
        rng: &mut impl Rng,
    ) -> Option<Name> {
        let names = self.services.get(service)?;
        let offer = |name: &Name| self.available_offer(now, name, service);
        let suitable = |o: &Offer| o.is_eligible(now) && o.is_fast_enough(now, max_mean);
        let own = |name: &Name| offer(name).is_some_and(|o| o.has_own_free() && suitable(o));
        let borrowed = |name: &Name| offer(name).is_some_and(|o| o.may_borrow() && suitable(o));
        let mut drawn = draw(names, choices, rng, own);
        if drawn.is_empty() {
            drawn = draw(names, choices, rng, borrowed);
        }
        if drawn.is_empty() && self.all_quarantined(now, service) {
            // If every backend server fails, the requests may be at fault. Refusing all of them
            // would hide that the servers work again.
            let any = |name: &Name| offer(name).is_some_and(|o| o.free() > 0);
            drawn = draw(names, choices, rng, any);
        }
        let cost = |name: &&Name| self.cost(name, service);
        let best = drawn.into_iter().min_by(|a, b| cost(a).total_cmp(&cost(b)));
        best.cloned()
    }

    /// Records that a request was sent to `agent`.
    pub(crate) fn request_sent(&mut self, agent: &Name, service: &Name) {
        if let Some(offer) = self.offer(agent, service) {
            offer.in_flight += 1;
        }
    }

    /// Records the result of a request that was sent to `agent` with this `incarnation`, and the
    /// free slots that the agent reported with it.
    pub(crate) fn request_ended(
        &mut self,
        now: Timestamp,
        agent: &Name,
        incarnation: u64,
        service: &Name,
        result: DispatchResult,
        free: Option<u32>,
    ) {
        if self
            .view(agent)
            .is_none_or(|v| v.incarnation != incarnation)
        {
            return;
        }
        let Some(offer) = self.offer(agent, service) else {
            return;
        };
        offer.in_flight = offer.in_flight.saturating_sub(1);
        offer.record(now, result);
        if let Some(free) = free {
            offer.update_free(now, free);
        }
    }

    fn offer(&mut self, agent: &Name, service: &Name) -> Option<&mut Offer> {
        self.agents.get_mut(agent)?.offers.get_mut(service)
    }

    fn usable_offer(&self, now: Timestamp, agent: &Name, service: &Name) -> Option<&Offer> {
        let agent = self.agents.get(agent).filter(|a| a.is_usable(now))?;
        agent.offers.get(service)
    }

    /// Returns the offer of `agent` for `service` if the agent is usable and has not just refused a
    /// request.
    fn available_offer(&self, now: Timestamp, agent: &Name, service: &Name) -> Option<&Offer> {
        self.usable_offer(now, agent, service)
            .filter(|o| now >= o.backoff_until)
    }

    fn all_quarantined(&self, now: Timestamp, service: &Name) -> bool {
        let names = self.services.get(service).into_iter().flatten();
        let mut offers = names.filter_map(|n| self.usable_offer(now, n, service));
        offers.all(|o| o.slots == 0 || o.is_failing())
    }

    /// Returns the expected run time in milliseconds, which grows with the share of used slots.
    fn cost(&self, agent: &Name, service: &Name) -> f64 {
        let offer = self.agents.get(agent).and_then(|a| a.offers.get(service));
        offer.map_or(f64::MAX, |offer| {
            let slots = f64::from(offer.slots.max(1));
            let used = f64::from(offer.slots - offer.free());
            offer.run_time.mean_ms().unwrap_or(1.0) * (slots + used) / slots
        })
    }
}

impl Default for Entries {
    fn default() -> Self {
        Self { count: 1, rank: 0 }
    }
}

impl Entries {
    /// Returns how many of the `slots` of an agent belong to this entry. The entries that get one
    /// of the remaining slots differ from agent to agent.
    fn share(self, agent: &Name, slots: u32) -> u32 {
        let rotation = u32::try_from(FxBuildHasher.hash_one(agent) % u64::from(self.count));
        let position = (self.rank + rotation.unwrap_or(0)) % self.count;
        slots / self.count + u32::from(position < slots % self.count)
    }
}

impl Agent {
    fn is_usable(&self, now: Timestamp) -> bool {
        self.view.usable && now.since(self.view.heard) <= MAX_PEER_SILENCE
    }
}

/// Draws `choices` names at random for which `accept` returns true.
fn draw<'a>(
    names: &'a [Name],
    choices: usize,
    rng: &mut impl Rng,
    accept: impl Fn(&Name) -> bool,
) -> Vec<&'a Name> {
    let drawn: Vec<&Name> = (0..MAX_DRAWS.max(choices))
        .map(|_| &names[rng.random_range(0..names.len())])
        .filter(|name| accept(name))
        .take(choices)
        .collect();
    if !drawn.is_empty() {
        return drawn;
    }
    let start = rng.random_range(0..names.len());
    let rotated = names[start..].iter().chain(&names[..start]);
    rotated.filter(|name| accept(name)).take(choices).collect()
}
