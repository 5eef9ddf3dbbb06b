//! How busy the agents are, as one entry can tell, and which of them gets the next request.

use std::time::Duration;

use rand::Rng;

use crate::{
    connection::{AgentReport, Report},
    process::{PeerState, SILENCE},
    request::RunTime,
    utils::{HashMap, Name, Timestamp},
    version::Version,
};

/// Failures in a row after which an agent is set aside for a service.
const FAILURES: u32 = 3;

/// How long an agent is set aside the first time; doubled with each further failure.
const ASIDE: Duration = Duration::from_secs(1);

/// Doublings of that time, at the most.
const ASIDE_DOUBLINGS: u32 = 5;

/// How long an agent that refused gets nothing, unless it reports free slots anew.
const HOLD: Duration = Duration::from_millis(200);

/// Age up to which an agent's run time is taken for what the next request would take.
const SAMPLE_AGE: Duration = Duration::from_secs(10);

/// Random draws before all agents are looked through for one that has a free slot.
const DRAWS: usize = 8;

/// An agent as its last heartbeat showed it.
#[derive(Clone, Debug)]
pub struct AgentView {
    /// The agent.
    pub name: Name,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its clock in its last heartbeat.
    pub sent_ms: u64,
    /// When that heartbeat was heard.
    pub heard: Timestamp,
    /// Whether it is linked, not leaving, and its failure domain is in service.
    pub usable: bool,
    /// Whether it is usable but for its failure domain.
    pub out_of_service: bool,
    /// The services of its backend servers.
    pub services: Vec<ServiceView>,
}

/// The slots of one service at one agent, over its backend servers that are not leaving.
#[derive(Clone, Debug)]
pub struct ServiceView {
    /// The service.
    pub service: Name,
    /// All slots.
    pub slots: u32,
    /// Slots not in use.
    pub free: u32,
}

impl AgentView {
    /// Returns what the roster knows of an agent, under the configuration in force; none where it
    /// is no agent or has not reported yet.
    pub fn of(peer: &PeerState, version: &Version) -> Option<Self> {
        let Some(Report::Agent(report)) = &peer.report else {
            return None;
        };
        let staying = peer.linked && !report.leaving;
        let in_service = version.in_service(&report.failure_domain);
        Some(Self {
            name: peer.peer.name.clone(),
            incarnation: peer.peer.incarnation,
            sent_ms: peer.sent_ms,
            heard: peer.heard,
            usable: staying && in_service,
            out_of_service: staying && !in_service,
            services: services(report),
        })
    }

    /// Returns a time on the agent's clock that is no later than `at` is on ours: its clock had
    /// passed `sent_ms` when we heard it.
    pub(crate) fn clock_at(&self, at: Timestamp) -> u64 {
        let since = at.since(self.heard).as_millis();
        let since_ms = u64::try_from(since).unwrap_or(u64::MAX);
        self.sent_ms.saturating_add(since_ms)
    }
}

fn services(report: &AgentReport) -> Vec<ServiceView> {
    let mut services: Vec<ServiceView> = Vec::new();
    for backend in report.backends.iter().filter(|b| !b.leaving) {
        match services.iter_mut().find(|s| s.service == backend.service) {
            Some(service) => {
                service.slots += backend.slots;
                service.free += backend.free;
            }
            None => services.push(ServiceView {
                service: backend.service.clone(),
                slots: backend.slots,
                free: backend.free,
            }),
        }
    }
    services
}

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
}

#[derive(Debug)]
struct Agent {
    view: AgentView,
    offers: HashMap<Name, Offer>,
}

/// What an agent has for one service.
#[derive(Debug, Default)]
struct Offer {
    slots: u32,
    /// Slots that other entries' requests use.
    others: u32,
    /// Our own requests that it has not answered.
    in_flight: u32,
    /// As of when `others` is.
    known_at: Timestamp,
    held_until: Timestamp,
    failures: u32,
    aside_until: Timestamp,
    run_time: RunTime,
    sampled_at: Timestamp,
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
            offer.slots = 0;
        }
        for service in &view.services {
            let offer = agent.offers.entry(service.service.clone()).or_default();
            offer.slots = service.slots;
            offer.learn(view.heard, service.free);
            let agents = self.services.entry(service.service.clone()).or_default();
            if let Err(place) = agents.binary_search(&name) {
                agents.insert(place, name.clone());
            }
        }
        agent.view = view;
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
        heard.is_none_or(|heard| now.since(heard) > SILENCE)
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

    /// Chooses an agent for a request of `service` that has `left` until its deadline: the best
    /// of `choices` drawn at random from those that have a free slot.
    ///
    /// Taking the best of all would make every entry choose the same agent until the next
    /// heartbeat; two draws come close to it without that (`docs/DESIGN.md`, choice of agents).
    pub fn choose(
        &self,
        now: Timestamp,
        service: &Name,
        left: Duration,
        choices: usize,
        rng: &mut impl Rng,
    ) -> Option<Name> {
        let names = self.services.get(service)?;
        let usable = |name: &Name| self.is_open(now, name, service, Some(left));
        let draws = DRAWS.max(choices);
        let mut drawn: Vec<&Name> = (0..draws)
            .map(|_| &names[rng.random_range(0..names.len())])
            .filter(|name| usable(name))
            .take(choices)
            .collect();
        if drawn.is_empty() {
            let start = rng.random_range(0..names.len());
            let turned = names[start..].iter().chain(&names[..start]);
            drawn = turned.filter(|n| usable(n)).take(choices).collect();
        }
        if drawn.is_empty() && self.all_set_aside(now, service) {
            // Where every backend server fails, the fault may lie in the requests; refusing all
            // would keep it from ever being noticed that they work again.
            let open = names
                .iter()
                .filter(|n| self.is_open_though_failing(now, n, service));
            drawn = open.take(choices).collect();
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

    fn is_open(
        &self,
        now: Timestamp,
        agent: &Name,
        service: &Name,
        left: Option<Duration>,
    ) -> bool {
        let offer = self.usable_offer(now, agent, service);
        offer.is_some_and(|o| {
            o.free() > 0
                && now >= o.held_until
                && o.may_be_tried(now)
                && left.is_none_or(|left| o.is_fast_enough(now, left))
        })
    }

    fn is_open_though_failing(&self, now: Timestamp, agent: &Name, service: &Name) -> bool {
        let offer = self.usable_offer(now, agent, service);
        offer.is_some_and(|o| o.free() > 0 && now >= o.held_until)
    }

    fn all_set_aside(&self, now: Timestamp, service: &Name) -> bool {
        let names = self.services.get(service).into_iter().flatten();
        let mut offers = names.filter_map(|n| self.usable_offer(now, n, service));
        offers.all(|o| o.slots == 0 || o.failures >= FAILURES)
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

impl Agent {
    fn is_usable(&self, now: Timestamp) -> bool {
        self.view.usable && now.since(self.view.heard) <= SILENCE
    }
}

impl Offer {
    fn free(&self) -> u32 {
        let used = self.others.saturating_add(self.in_flight);
        self.slots.saturating_sub(used)
    }

    /// Takes note that `free` slots were free at `at`; an older report than the last is nothing
    /// new.
    fn learn(&mut self, at: Timestamp, free: u32) {
        if at < self.known_at {
            return;
        }
        self.known_at = at;
        let used = self.slots.saturating_sub(free);
        self.others = used.saturating_sub(self.in_flight);
    }

    fn add(&mut self, now: Timestamp, sample: Sample) {
        match sample {
            Sample::Ran(time) => {
                self.run_time.add(time);
                self.sampled_at = now;
                self.failures = 0;
            }
            Sample::Failed => self.failed(now),
            Sample::Refused => {
                self.failed(now);
                self.held_until = now + HOLD;
            }
            Sample::NotStarted => self.held_until = now + HOLD,
        }
    }

    fn failed(&mut self, now: Timestamp) {
        self.failures = self.failures.saturating_add(1);
        if let Some(further) = self.failures.checked_sub(FAILURES) {
            let doublings = further.min(ASIDE_DOUBLINGS);
            self.aside_until = now + ASIDE * (1 << doublings);
        }
    }

    /// Returns whether it has not failed lately, or one request may probe whether it still does.
    fn may_be_tried(&self, now: Timestamp) -> bool {
        self.failures < FAILURES || (now >= self.aside_until && self.in_flight == 0)
    }

    fn is_fast_enough(&self, now: Timestamp, left: Duration) -> bool {
        if now.since(self.sampled_at) > SAMPLE_AGE {
            return true;
        }
        let mean = self.run_time.mean_ms().unwrap_or(0.0);
        mean <= left.as_secs_f64() * 1_000.0
    }
}
