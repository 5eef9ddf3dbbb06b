//! All requests of one entry, from admission to the final answer.
//!
//! Three rules keep the answers true. "Not run" is said only of a request that was never handed to
//! a link, or whose every agent has said that it did not and will not start it. What was handed
//! over without such an answer is unknown once its deadline has passed or its agent is lost. And
//! it is sent a second time only where the service may be repeated, or to the very same process of
//! the agent, which knows the request again by its id.

mod answers;
mod keys;
mod peers;

use std::{
    collections::BTreeSet,
    sync::Arc,
    time::Duration, //
};

use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{
    connection::{Message, NotRun, Outcome, RequestId, RequestMessage},
    request::{
        AgentLoads,
        CallerRequest,
        Refusal,
        RetryBudget,
        Ring,
        RunTime,
        WaitQueue,
        Waiting, //
    },
    utils::{HashMap, Name, Timestamp},
    version::{Service, Urgency, Version},
};
use keys::{Abandoned, Settlement};

/// Agents drawn for each choice; `benches/requests.rs` measures 1 and 2.
const CHOICES: usize = 2;

/// Pause after which a caller may find a backend server again.
const NO_BACKEND_RETRY_MS: u64 = 1_000;

/// Pause after which a caller may find another entry, or a failure domain back in service.
const LEAVING_RETRY_MS: u64 = 500;

/// Pause after which a caller is told to come back where no better estimate is known.
const DEFAULT_RETRY_MS: u64 = 500;

const LEAST_RETRY_MS: u64 = 100;
const MOST_RETRY_MS: u64 = 10_000;

/// Age up to which the run times seen are taken for those to come.
const RUN_TIME_AGE: Duration = Duration::from_secs(10);

/// Time without any backend server of a service after which those who wait are refused. One
/// heartbeat that comes late must not empty the queue.
const NO_BACKEND_GRACE: Duration = Duration::from_secs(1);

/// Time without a sign of life of our own that means that this process was frozen.
const FROZEN: Duration = Duration::from_secs(1);

/// Time after a freeze for which no key is claimed.
///
/// Requests that came during the freeze look like new ones, but their callers have given up and
/// may have tried again elsewhere. A first attempt that comes so late can meet an owner that does
/// not know of the second.
const RESUMED: Duration = Duration::from_secs(1);

/// What the entry is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryAction {
    /// Hand a message to the link to a peer; where that fails, say so by [`EntryTable::unsent`].
    Send {
        /// The peer.
        to: Name,
        /// The message.
        message: Message,
    },
    /// Hand over a message that the peer may have already; it does not matter if that fails.
    Resend {
        /// The peer.
        to: Name,
        /// The message.
        message: Message,
    },
    /// Give the caller its final answer.
    Answer {
        /// The request.
        number: u64,
        /// The answer.
        outcome: Outcome,
    },
    /// Count a retry.
    Retried(NotRun),
    /// Count an event for operators.
    Event(&'static str),
}

/// What an entry reports of one service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceStats {
    /// The service.
    pub service: Name,
    /// Requests that wait for a slot.
    pub queued: usize,
    /// Requests that agents have.
    pub running: usize,
}

/// All requests of one entry.
#[derive(Debug)]
pub struct EntryTable {
    entry: Name,
    next_number: u64,
    requests: HashMap<u64, Pending>,
    dispatches: HashMap<u64, Dispatch>,
    services: HashMap<Name, ServiceState>,
    due: BTreeSet<Due>,
    loads: AgentLoads,
    budget: RetryBudget,
    version: Arc<Version>,
    ring: Ring,
    ring_offset: u64,
    abandoned: Vec<Abandoned>,
    settlements: Vec<Settlement>,
    leaving: bool,
    seen_at: Option<Timestamp>,
    resumed_until: Timestamp,
    choices: usize,
    rng: SmallRng,
    out: Vec<EntryAction>,
}

/// A request that has no final answer, or whose key still waits for the truth.
#[derive(Debug)]
struct Pending {
    service: Name,
    urgency: Urgency,
    repeatable: bool,
    key: Option<Name>,
    attempt: u32,
    deadline: Timestamp,
    body: Vec<u8>,
    stage: Stage,
    /// The owner that has said that this request may run.
    granted_by: Option<Name>,
    /// Whether an agent that had it was lost, so that it may have run whatever comes later.
    may_have_run: bool,
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum Stage {
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
struct Dispatch {
    request: u64,
    service: Name,
    agent: Name,
    incarnation: u64,
    sent: Timestamp,
    /// The deadline on the agent's clock. It is reckoned once: the agent knows a second copy for
    /// as long as the first one's deadline, and one with a later deadline would run again.
    deadline_ms: u64,
    /// When the link to the agent ended, unless it is back.
    lost_at: Option<Timestamp>,
    /// When to send it again to the same process of the agent, after a link has come back.
    resend_at: Option<Timestamp>,
    resends_left: u32,
}

#[derive(Debug, Default)]
struct ServiceState {
    queue: WaitQueue,
    run_time: RunTime,
    sampled_at: Timestamp,
    running: usize,
    bare_since: Option<Timestamp>,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Due {
    at: Timestamp,
    number: u64,
}

impl EntryTable {
    /// Returns a table without requests; `entry` is unique to this process, `seed` feeds the
    /// random choices.
    pub fn new(entry: Name, seed: u64) -> Self {
        Self {
            entry,
            next_number: 0,
            requests: HashMap::default(),
            dispatches: HashMap::default(),
            services: HashMap::default(),
            due: BTreeSet::new(),
            loads: AgentLoads::default(),
            budget: RetryBudget::default(),
            version: Arc::new(Version::new(0, crate::Document::default())),
            ring: Ring::default(),
            ring_offset: 0,
            abandoned: Vec::new(),
            settlements: Vec::new(),
            leaving: false,
            seen_at: None,
            resumed_until: Timestamp::default(),
            choices: CHOICES,
            rng: SmallRng::seed_from_u64(seed),
            out: Vec::new(),
        }
    }

    /// Draws `choices` agents for each request in place of the usual number.
    pub fn with_choices(mut self, choices: usize) -> Self {
        self.choices = choices.max(1);
        self
    }

    /// Decides under `version` from now on.
    pub fn set_version(&mut self, version: Arc<Version>) {
        self.version = version;
    }

    /// Refuses all new requests from now on.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Returns whether each caller has its answer.
    pub fn is_idle(&self) -> bool {
        let answered = |p: &Pending| matches!(p.stage, Stage::Answered { .. });
        self.requests.values().all(answered)
    }

    /// Returns what waits and runs, by service.
    pub fn stats(&self) -> Vec<ServiceStats> {
        let mut stats: Vec<ServiceStats> = self
            .services
            .iter()
            .map(|(service, state)| ServiceStats {
                service: service.clone(),
                queued: state.queue.len(),
                running: state.running,
            })
            .collect();
        stats.sort_by(|a, b| a.service.cmp(&b.service));
        stats
    }

    /// Takes in a caller's request; returns its number. The answer may be among the actions.
    pub fn submit(&mut self, now: Timestamp, req: CallerRequest) -> u64 {
        self.notice_freeze(now);
        let number = self.number();
        let repeat = req.key.is_some() && req.attempt > 1;
        match self.admit(now, number, req) {
            Ok(()) => {}
            // An earlier attempt may have run: "not run" would be true of this attempt, but a
            // caller would take it for the whole truth about its key.
            Err(refusal) if repeat && refusal.reason != NotRun::Malformed => {
                self.answer(number, Outcome::Unknown);
            }
            Err(refusal) => self.answer(number, refusal.outcome()),
        }
        number
    }

    /// Returns when a request is due, unless it has been answered.
    pub fn deadline(&self, number: u64) -> Option<Timestamp> {
        self.requests.get(&number).map(|p| p.deadline)
    }

    /// Returns the actions decided since the last call, in order.
    pub fn take_actions(&mut self) -> Vec<EntryAction> {
        std::mem::take(&mut self.out)
    }

    /// Takes note that this process runs at `now`; has to be called by whatever comes first after
    /// a freeze.
    fn notice_freeze(&mut self, now: Timestamp) {
        if self.seen_at.is_some_and(|at| now.since(at) > FROZEN) {
            self.resumed_until = now + RESUMED;
        }
        self.seen_at = Some(now);
    }

    fn number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    fn id(&self, number: u64) -> RequestId {
        RequestId {
            entry: self.entry.clone(),
            number,
        }
    }

    fn admit(&mut self, now: Timestamp, number: u64, req: CallerRequest) -> Result<(), Refusal> {
        if self.leaving {
            return Err(Refusal::new(NotRun::Leaving, LEAVING_RETRY_MS));
        }
        let version = self.version.clone();
        let service = version
            .service(&req.service)
            .ok_or(Refusal::new(NotRun::UnknownService, MOST_RETRY_MS))?;
        let pending = self.check(now, service, req)?;
        self.budget.earn(version.limits.retry_percent);
        let must_claim = !pending.repeatable;
        if must_claim && now < self.resumed_until {
            return Err(Refusal::new(NotRun::NotFresh, LEAVING_RETRY_MS));
        }
        let repeat = must_claim && pending.attempt > 1;
        let waiting = pending.waiting(number);
        // A repeat may be answered from the owner's record without any slot.
        if !repeat {
            self.make_room(now, service, waiting)?;
        }
        self.due.insert(Due {
            at: pending.deadline,
            number,
        });
        self.requests.insert(number, pending);
        if must_claim {
            self.claim(now, number);
        } else {
            self.enqueue(now, number);
        }
        Ok(())
    }

    /// Checks what can be checked by the document alone.
    fn check(
        &self,
        now: Timestamp,
        service: &Service,
        req: CallerRequest,
    ) -> Result<Pending, Refusal> {
        let key_missing = !service.repeatable && req.key.is_none();
        if req.attempt == 0 || key_missing {
            return Err(Refusal::new(NotRun::Malformed, MOST_RETRY_MS));
        }
        if req.body.len() as u64 > self.version.limits.body_bytes {
            return Err(Refusal::new(NotRun::TooLarge, MOST_RETRY_MS));
        }
        // A grant must have been used or be void long before the owner forgets the key.
        let most = service.longest_deadline_ms();
        let deadline_ms = req.deadline_ms.unwrap_or(most).min(most);
        Ok(Pending {
            service: service.name.clone(),
            urgency: req
                .urgency
                .map_or(service.urgency, |u| u.max(service.urgency)),
            repeatable: service.repeatable,
            key: req.key,
            attempt: req.attempt,
            deadline: now + Duration::from_millis(deadline_ms),
            body: req.body,
            stage: Stage::Queued,
            granted_by: None,
            may_have_run: false,
        })
    }

    /// Makes sure that one more may wait, or says why not.
    fn make_room(
        &mut self,
        now: Timestamp,
        service: &Service,
        waiting: Waiting,
    ) -> Result<(), Refusal> {
        let capacity = self.loads.capacity(now, &service.name);
        if capacity.out_of_service {
            return Err(Refusal::new(NotRun::OutOfService, NO_BACKEND_RETRY_MS));
        }
        if capacity.slots == 0 {
            return Err(Refusal::new(NotRun::NoBackend, NO_BACKEND_RETRY_MS));
        }
        let state = self.services.entry(service.name.clone()).or_default();
        let wait = state.wait(capacity.ours.max(1), state.queue.ahead_of(waiting.urgency));
        let ready = now + wait + state.needed(now);
        if waiting.deadline <= now || ready > waiting.deadline {
            return Err(Refusal::new(
                NotRun::Deadline,
                self.retry_after(now, &service.name),
            ));
        }
        if state.queue.len() < service.queue_limit as usize {
            return Ok(());
        }
        let displaced = state.queue.displaced_by(waiting.urgency);
        let retry_after = self.retry_after(now, &service.name);
        let refusal = Refusal::new(NotRun::QueueFull, retry_after);
        let displaced = displaced.ok_or(refusal)?;
        self.finish(displaced.number, refusal.outcome());
        Ok(())
    }

    fn enqueue(&mut self, now: Timestamp, number: u64) {
        let Some(pending) = self.requests.get_mut(&number) else {
            return;
        };
        pending.stage = Stage::Queued;
        let waiting = pending.waiting(number);
        let service = pending.service.clone();
        let state = self.services.entry(service.clone()).or_default();
        state.queue.push(waiting);
        self.pump(now, &service);
    }

    /// Hands over what waits for `service` while there are free slots.
    fn pump(&mut self, now: Timestamp, service: &Name) {
        while let Some(waiting) = self.services.get(service).and_then(|s| s.queue.first()) {
            if self.is_hopeless(now, service, waiting.deadline) {
                let retry_after = self.retry_after(now, service);
                let refusal = Refusal::new(NotRun::Deadline, retry_after);
                self.finish(waiting.number, refusal.outcome());
                continue;
            }
            let left = waiting.deadline.since(now);
            let agent = self
                .loads
                .choose(now, service, left, self.choices, &mut self.rng);
            let Some(agent) = agent else {
                return;
            };
            if let Some(state) = self.services.get_mut(service) {
                state.queue.take(&waiting);
            }
            self.dispatch(now, waiting.number, agent);
        }
    }

    fn dispatch(&mut self, now: Timestamp, number: u64, agent: Name) {
        let dispatch = self.number();
        let (Some(pending), Some(view)) = (self.requests.get_mut(&number), self.loads.view(&agent))
        else {
            return;
        };
        pending.stage = Stage::Running { dispatch };
        let service = pending.service.clone();
        self.dispatches.insert(
            dispatch,
            Dispatch {
                request: number,
                service: service.clone(),
                agent: agent.clone(),
                incarnation: view.incarnation,
                sent: now,
                deadline_ms: view.clock_at(pending.deadline),
                lost_at: None,
                resend_at: None,
                resends_left: 0,
            },
        );
        self.loads.sent(&agent, &service);
        self.services.entry(service).or_default().running += 1;
        if let Some(message) = self.run_message(dispatch) {
            self.out.push(EntryAction::Send { to: agent, message });
        }
    }

    fn run_message(&self, dispatch: u64) -> Option<Message> {
        let sent = self.dispatches.get(&dispatch)?;
        let pending = self.requests.get(&sent.request)?;
        let view = self.loads.view(&sent.agent)?;
        if view.incarnation != sent.incarnation || matches!(pending.stage, Stage::Answered { .. }) {
            return None;
        }
        Some(Message::Request(RequestMessage::Run {
            id: self.id(dispatch),
            incarnation: sent.incarnation,
            service: pending.service.clone(),
            key: pending.key.clone(),
            claim: pending.granted_by.as_ref().map(|_| self.id(sent.request)),
            deadline_ms: sent.deadline_ms,
            body: pending.body.clone(),
        }))
    }

    /// Gives the caller its final answer and forgets the request.
    fn finish(&mut self, number: u64, outcome: Outcome) {
        let Some(pending) = self.requests.remove(&number) else {
            return;
        };
        let outcome = match outcome {
            Outcome::NotRun { .. } if pending.may_have_run => Outcome::Unknown,
            outcome => outcome,
        };
        self.due.remove(&Due {
            at: pending.deadline,
            number,
        });
        if let Some(state) = self.services.get_mut(&pending.service) {
            state.queue.remove(&pending.waiting(number));
        }
        self.settle(number, &pending, &outcome);
        if !matches!(pending.stage, Stage::Answered { .. }) {
            self.answer(number, outcome);
        }
    }

    fn answer(&mut self, number: u64, outcome: Outcome) {
        self.out.push(EntryAction::Answer { number, outcome });
    }

    /// Returns whether a request can't be answered by its deadline any more; running it would
    /// take a slot from one that can.
    fn is_hopeless(&self, now: Timestamp, service: &Name, deadline: Timestamp) -> bool {
        let needed = self.services.get(service).map(|s| s.needed(now));
        now + needed.unwrap_or_default() >= deadline
    }

    /// Returns after how many milliseconds half of what waits will be gone, with a random part so
    /// that those who are refused together do not come back together.
    fn retry_after(&mut self, now: Timestamp, service: &Name) -> u64 {
        let capacity = self.loads.capacity(now, service);
        let Some(state) = self.services.get(service) else {
            return DEFAULT_RETRY_MS;
        };
        let wait = state.wait(capacity.ours.max(1), state.queue.len() / 2 + 1);
        let ms = u64::try_from(wait.as_millis()).unwrap_or(MOST_RETRY_MS);
        let ms = ms.clamp(LEAST_RETRY_MS, MOST_RETRY_MS);
        ms + self.rng.random_range(0..=ms / 2)
    }
}

impl Pending {
    fn waiting(&self, number: u64) -> Waiting {
        Waiting {
            number,
            urgency: self.urgency,
            deadline: self.deadline,
        }
    }
}

impl ServiceState {
    /// Returns how long `ahead` requests take to be handed over, with `slots` in turn.
    fn wait(&self, slots: u32, ahead: usize) -> Duration {
        let mean_ms = self.run_time.mean_ms().unwrap_or(0.0);
        let turns = ahead as f64 / f64::from(slots);
        Duration::from_secs_f64(mean_ms * turns / 1_000.0)
    }

    /// Returns how long a request takes that starts now.
    fn needed(&self, now: Timestamp) -> Duration {
        if now.since(self.sampled_at) > RUN_TIME_AGE {
            return Duration::ZERO;
        }
        self.run_time.mean()
    }
}
