//! How busy the agents are, as one entry can tell, and which of them gets the next request.

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

/// Random draws before all agents are looked through for one that has a free slot.
const DRAWS: usize = 8;

/// What became of a request that an agent was given, for the choice of agents.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Sample {
    /// The backend server answered after this time.
    Ran(Duration),
    /// The backend server failed, or its agent was lost.
    Failed,
    /// The backend server did not take it.
    Refused,
    /// The agent did not start it.
    NotStarted,
}

/// All agents as one entry sees them.
#[derive(Debug, Default)]
pub struct AgentLoads {
    agents: HashMap<Name, Agent>,
    services: HashMap<Name, Vec<Name>>,
    entries: Entries,
}

/// Among how many entries the slots are divided, and which of them this one is.
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

/// What all agents together have for one service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Capacity {
    /// Slots of all usable agents.
    pub(crate) slots: u32,
    /// Slots that our requests use or that are free.
    pub(crate) ours: u32,
    /// Whether only a failure domain that is out of service has it.
    pub(crate) out_of_service: bool,
}

impl AgentLoads {
    /// Takes note of an agent's state.
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
            (offer.slots, offer.part) = (0, 0);
        }
        let entries = self.entries;
        for service in &view.services {
            let part = entries.part(&name, service.slots);
            let offer = agent.offers.entry(service.service.clone()).or_default();
            offer.slots = service.slots;
            offer.part = part;
            offer.reserve = (entries.count - 1).min(service.slots / 2);
            offer.learn(view.heard, service.free);
            let agents = self.services.entry(service.service.clone()).or_default();
            if let Err(place) = agents.binary_search(&name) {
                agents.insert(place, name.clone());
            }
        }
        agent.view = view;
    }

    /// Divides the slots among `count` entries, of which this one has the place `rank`.
    ///
    /// Entries that all see the same free slot take it at the same time, and all but one are
    /// refused. With a part of its own each can count on some slots without asking anybody.
    pub(crate) fn set_entries(&mut self, count: u32, rank: u32) {
        let count = count.max(1);
        self.entries = Entries {
            count,
            rank: rank % count,
        };
    }

    /// Forgets all agents but those for which `keep` holds.
    pub fn retain(&mut self, keep: impl Fn(&Name) -> bool) {
        self.agents.retain(|name, _| keep(name));
        let agents = &self.agents;
        self.services.retain(|_, names| {
            names.retain(|n| agents.contains_key(n));
            !names.is_empty()
        });
    }

    /// Returns what is known of an agent.
    pub fn view(&self, agent: &Name) -> Option<&AgentView> {
        self.agents.get(agent).map(|a| &a.view)
    }

    /// Returns whether `agent` was not heard lately.
    pub(crate) fn is_silent(&self, now: Timestamp, agent: &Name) -> bool {
        let heard = self.view(agent).map(|v| v.heard);
        heard.is_none_or(|heard| now.since(heard) > MAX_PEER_SILENCE)
    }

    /// Returns what all usable agents together have for `service`.
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
                sum.ours += offer.free() + offer.in_flight.min(offer.slots);
            }
        }
        sum.out_of_service = out_of_service && sum.slots == 0;
        sum
    }

    /// Returns the least mean run time of any agent; zero where none is known.
    pub(crate) fn quickest(&self, now: Timestamp, service: &Name) -> Duration {
        let names = self.services.get(service).into_iter().flatten();
        let offers = names.filter_map(|name| self.usable_offer(now, name, service));
        let means = offers.filter_map(|o| o.run_time.recent_mean_ms(now));
        let least_ms = means.reduce(f64::min).unwrap_or(0.0);
        Duration::from_secs_f64(least_ms / 1_000.0)
    }

    /// Chooses an agent for a request of `service` among those that take no longer than `slowest`
    /// on average: the best of `choices` drawn at random from those that have a free slot.
    ///
    /// Taking the best of all would make every entry choose the same agent until the next
    /// heartbeat; two draws come close to it without that (`docs/REQUESTS.md`, choice of agents).
    pub fn choose(
        &self,
        now: Timestamp,
        service: &Name,
        slowest: Duration,
        choices: usize,
        rng: &mut impl Rng,
    ) -> Option<Name> {
        let names = self.services.get(service)?;
        let offer = |name: &Name| self.open_offer(now, name, service);
        let good = |o: &Offer| o.may_be_tried(now) && o.is_fast_enough(now, slowest);
        let own = |name: &Name| offer(name).is_some_and(|o| o.has_own() && good(o));
        let borrowed = |name: &Name| offer(name).is_some_and(|o| o.may_borrow() && good(o));
        let mut drawn = draw(names, choices, rng, own);
        if drawn.is_empty() {
            drawn = draw(names, choices, rng, borrowed);
        }
        if drawn.is_empty() && self.all_set_aside(now, service) {
            // Where every backend server fails, the fault may lie in the requests; refusing all
            // would keep it from ever being noticed that they work again.
            let any = |name: &Name| offer(name).is_some_and(|o| o.free() > 0);
            drawn = draw(names, choices, rng, any);
        }
        let cost = |name: &&Name| self.cost(name, service);
        let best = drawn.into_iter().min_by(|a, b| cost(a).total_cmp(&cost(b)));
        best.cloned()
    }

    /// Takes note that `agent` was given a request.
    pub(crate) fn sent(&mut self, agent: &Name, service: &Name) {
        if let Some(offer) = self.offer(agent, service) {
            offer.in_flight += 1;
        }
    }

    /// Takes note of what became of a request that `agent` of `incarnation` was given, and of the
    /// free slots it reported with that.
    pub(crate) fn ended(
        &mut self,
        now: Timestamp,
        agent: &Name,
        incarnation: u64,
        service: &Name,
        sample: Sample,
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
        offer.add(now, sample);
        if let Some(free) = free {
            offer.learn(now, free);
        }
    }

    fn offer(&mut self, agent: &Name, service: &Name) -> Option<&mut Offer> {
        self.agents.get_mut(agent)?.offers.get_mut(service)
    }

    fn usable_offer(&self, now: Timestamp, agent: &Name, service: &Name) -> Option<&Offer> {
        let agent = self.agents.get(agent).filter(|a| a.is_usable(now))?;
        agent.offers.get(service)
    }

    /// Returns what `agent` has for `service`, if it may get requests and has not just refused.
    fn open_offer(&self, now: Timestamp, agent: &Name, service: &Name) -> Option<&Offer> {
        self.usable_offer(now, agent, service)
            .filter(|o| now >= o.held_until)
    }

    fn all_set_aside(&self, now: Timestamp, service: &Name) -> bool {
        let names = self.services.get(service).into_iter().flatten();
        let mut offers = names.filter_map(|n| self.usable_offer(now, n, service));
        offers.all(|o| o.slots == 0 || o.has_failed())
    }

    /// The run time to expect, longer the more slots are in use.
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
    /// Returns how many of an agent's `slots` are this entry's own. Which entries have one more
    /// differs from agent to agent.
    fn part(self, agent: &Name, slots: u32) -> u32 {
        let turn = u32::try_from(FxBuildHasher.hash_one(agent) % u64::from(self.count));
        let place = (self.rank + turn.unwrap_or(0)) % self.count;
        slots / self.count + u32::from(place < slots % self.count)
    }
}

impl Agent {
    fn is_usable(&self, now: Timestamp) -> bool {
        self.view.usable && now.since(self.view.heard) <= MAX_PEER_SILENCE
    }
}

/// Draws `choices` of those names at random for which `open` holds.
fn draw<'a>(
    names: &'a [Name],
    choices: usize,
    rng: &mut impl Rng,
    open: impl Fn(&Name) -> bool,
) -> Vec<&'a Name> {
    let drawn: Vec<&Name> = (0..DRAWS.max(choices))
        .map(|_| &names[rng.random_range(0..names.len())])
        .filter(|name| open(name))
        .take(choices)
        .collect();
    if !drawn.is_empty() {
        return drawn;
    }
    let start = rng.random_range(0..names.len());
    let turned = names[start..].iter().chain(&names[..start]);
    turned.filter(|name| open(name)).take(choices).collect()
}
