//! An agent's state of its local worker, and how it carries out the planner's orders.
//!
//! The agent extends the worker's lease only on proof from the store: a read that was sent after
//! the worker's clock was read, and that returns no fence. The process that stores a fence
//! therefore knows that every lease of the fenced session has expired one lease time later, whatever
//! happened to the agent.
//!
//! A fence binds one session, but the runs continue in the next one of the same incarnation. The agent
//! therefore extends no lease before the store has a report of the session, which tells the planner that
//! the runs are not over. See `docs/incidents/fenced-runs-extended.md`.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant}, //
};

use crate::{
    port::{CallError, End, Heartbeat, RunningTask, StartOrder, StartOutcome, WorkerLists},
    utils::HashSet,
    workload::{
        Attention, IncarnationId, Order, Report, RunId, SpeedEstimate, Succession, TaskStart,
        candidates::{Candidate, Candidates, Evidence},
        pace::PaceTable,
        progress::ProgressTable,
    },
};

/// A call that the agent has to make to the worker.
#[derive(Clone, Debug)]
pub enum AgentAction {
    /// Start a run.
    Start(StartOrder),
    /// Stop a run.
    Stop(RunId),
}

/// The result of a start call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartResult {
    /// The worker answered the call with this outcome.
    Answered(StartOutcome),
    /// The call was not sent; the start has to be retried.
    NotSent,
    /// The call had no answer; the start has to be retried.
    Unknown,
}

/// What a heartbeat changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeartbeatNews {
    /// Nothing that matters to the planner.
    None,
    /// The agent's worker says something else about itself.
    Changed,
    /// The sender is not the agent's worker and has to be asked first.
    Candidate,
}

/// What the worker's lists change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ListsNews {
    /// Nothing: they are of another session or incarnation, or newer ones have arrived before.
    Ignored,
    /// They are taken over, and the next regular report tells them.
    Applied,
    /// They are taken over, and the planner should know at once.
    Urgent,
}

/// The progress of a run's start or stop.
#[derive(Clone, Debug)]
enum Pending {
    /// The worker has not answered the start.
    StartSent {
        order: Box<StartOrder>,
        /// Whether the worker may have carried out an earlier attempt whose answer was lost.
        may_have_started: bool,
        /// When the first attempt was to be sent.
        tried_since: Option<Instant>,
    },
    /// The worker has not answered the stop.
    StopSent,
    /// The worker has answered. Only lists requested after the request with this number reflect it.
    Answered(u64),
}

#[derive(Clone, Debug)]
struct Session {
    number: u64,
    /// The worker's place at its address, once the store has assigned one, with the number of the
    /// last request for lists before that.
    place: Option<(Succession, u64)>,
    orders_seen: u64,
    fenced: bool,
    /// Whether the store certainly has a report of the session.
    is_reported: bool,
    pending: BTreeMap<RunId, Pending>,
    refused: Vec<(RunId, StartOutcome)>,
    /// Runs that the agent has ordered to stop.
    stopped: HashSet<RunId>,
    report_sequence: u64,
    attention: Attention,
    /// Whether the planner waits for something that the next report tells.
    is_report_due: bool,
    /// The number of the last request for lists before the session. Sessions of two workers may have
    /// the same number.
    requested_before: u64,
}

#[derive(Clone, Debug)]
struct Incarnation {
    heartbeat: Heartbeat,
    /// When the newest heartbeat arrived.
    heartbeat_at: Instant,
    /// The number of heartbeats in a row that name another service or place.
    contradictions: u32,
    left: bool,
    /// Whether the worker's process has certainly ended.
    process_gone: bool,
    unreachable: bool,
    /// The number of consecutive checks of the worker without an answer.
    unanswered_checks: u32,
    /// The newest reading of the worker's clock.
    clock_ms: Option<u64>,
    lease_until_ms: Option<u64>,
    running: Vec<RunningTask>,
    paces: PaceTable,
    progress: ProgressTable,
    ends: Vec<End>,
    confirmed: u64,
    /// The highest number of an end in the newest lists; 0 if they have none.
    last_listed_end: u64,
    /// Whether the newest lists were of another incarnation of the same name.
    is_superseded: bool,
    /// The newest estimate of the worker's speed that a planner has sent.
    speed: Option<SpeedEstimate>,
    lists_received: u64,
    session: Option<Session>,
}

/// The agent's table of its worker, the worker's session and the runs of that session.
#[derive(Debug)]
pub struct AgentTable {
    lease: Duration,
    checkpoint_interval: Duration,
    incarnation: Option<Incarnation>,
    candidates: Candidates,
    /// Numbers the requests for lists of all sessions.
    lists_requested: u64,
    final_reports: Vec<Report>,
}

/// Time without a heartbeat after which one is certainly missing: workers send one every 1.5 s.
const MAX_HEARTBEAT_GAP: Duration = Duration::from_millis(2_200);

/// Heartbeats in a row that contradict what is known of an incarnation, up to which they count as
/// those of another writer. After that the first one was the other writer's.
const MAX_CONTRADICTIONS: u32 = 2;

/// Consecutive checks without an answer after which a worker counts as unreachable. A single answer
/// is lost now and then; treating that as an unreachable worker would leave its capacity unused for
/// a second.
const UNREACHABLE_AFTER_CHECKS: u32 = 2;

/// Time in which a start without an answer is repeated. What the planner knew when it ordered the start is
/// outdated after that: a failure domain that operators take out of service must have no new runs after
/// 5 s, and the planner may take 2 s to learn of it.
const START_REPEAT_TIME: Duration = Duration::from_secs(2);

/// Maximum number of refused starts in a report; the planner needs only the newest ones.
const MAX_REPORTED_REFUSALS: usize = 64;

impl AgentTable {
    /// Returns the table of an agent that has not yet received a heartbeat. Leases last at most
    /// `lease`.
    pub fn new(lease: Duration) -> Self {
        Self {
            lease,
            checkpoint_interval: Duration::ZERO,
            incarnation: None,
            candidates: Candidates::default(),
            lists_requested: 0,
            final_reports: Vec::new(),
        }
    }

    /// Sets the amount of work after which a run saves a checkpoint.
    pub fn with_checkpoints(self, every: Duration) -> Self {
        Self {
            checkpoint_interval: every,
            ..self
        }
    }

    /// Applies a heartbeat and returns what it changes.
    ///
    /// The sender becomes the agent's worker only once it has answered, see
    /// [`Self::candidate_answered`].
    pub fn heartbeat(&mut self, heartbeat: Heartbeat, now: Instant) -> HeartbeatNews {
        let sender = IncarnationId::of(&heartbeat);
        match &mut self.incarnation {
            Some(incarnation) if incarnation.id() == sender => {
                let known = &incarnation.heartbeat;
                let contradicts = !heartbeat.has_place_of(known);
                if !contradicts {
                    incarnation.contradictions = 0;
                }
                if heartbeat.sequence <= known.sequence && !contradicts {
                    return HeartbeatNews::None;
                }
                if contradicts && incarnation.contradictions < MAX_CONTRADICTIONS {
                    incarnation.contradictions += 1;
                    log::warn!(
                        worker:% = heartbeat.worker, sequence = heartbeat.sequence,
                        service:% = heartbeat.service, address:% = heartbeat.address,
                        contradictions = incarnation.contradictions;
                        "heartbeat_contradicts"
                    );
                    return HeartbeatNews::None;
                }
                let changed = !heartbeat.repeats(known);
                incarnation.left &= heartbeat.draining;
                incarnation.heartbeat = heartbeat;
                incarnation.heartbeat_at = now;
                match changed {
                    true => HeartbeatNews::Changed,
                    false => HeartbeatNews::None,
                }
            }
            _ => match self.candidates.observe(heartbeat, now) {
                true => HeartbeatNews::Candidate,
                false => HeartbeatNews::None,
            },
        }
    }

    /// Returns the incarnations that have sent heartbeats and still have to be asked under their
    /// names, with token 0, which refuses no session's calls.
    pub fn candidates(&mut self, now: Instant) -> Vec<IncarnationId> {
        self.candidates.unanswered(now)
    }

    /// Applies the answer to a call that was sent to the worker's address under the name of a
    /// candidate. Returns whether the candidate is the agent's worker from now on.
    pub fn candidate_answered(
        &mut self,
        id: &IncarnationId,
        answer: &Result<WorkerLists, CallError>,
        now: Instant,
    ) -> bool {
        let current = self.incarnation.as_ref().map(Incarnation::id);
        let is_present = match Evidence::of(id, answer) {
            Evidence::Present => true,
            // If the agent's worker has the same name, the lists of its session decide.
            Evidence::NamePresent => current.is_none_or(|c| c.worker != id.worker),
            Evidence::Absent => {
                if let Some(candidate) = self.candidates.take(id) {
                    candidate.log_dropped("absent", now);
                }
                false
            }
            Evidence::Unknown => false,
        };
        is_present && self.adopt(id, now)
    }

    /// Makes a candidate that has answered the agent's worker.
    fn adopt(&mut self, id: &IncarnationId, now: Instant) -> bool {
        let Some(candidate) = self.candidates.take(id) else {
            return false;
        };
        self.begin_incarnation(candidate, now);
        true
    }

    fn begin_incarnation(&mut self, candidate: Candidate, now: Instant) {
        let Candidate {
            heartbeat,
            heartbeat_at,
        } = candidate;
        let old = self.incarnation.take();
        // A worker that answers again had not ended.
        let id = IncarnationId::of(&heartbeat);
        self.final_reports
            .retain(|r| IncarnationId::of(&r.heartbeat) != id);
        log::info!(
            worker:% = heartbeat.worker, born_ms = heartbeat.born_ms, address:% = heartbeat.address,
            sequence = heartbeat.sequence,
            replaced:? = old.as_ref().map(|l| (&l.heartbeat.worker, l.heartbeat.born_ms)),
            replaced_session:? = old.as_ref().and_then(|l| Some(l.session.as_ref()?.number)),
            replaced_runs = old.as_ref().map_or(0, |l| l.running.len()),
            replaced_age_ms:? = old.as_ref().map(|l| {
                now.saturating_duration_since(l.heartbeat_at).as_millis()
            });
            "incarnation_begins"
        );
        let replaced = old.filter(|l| l.heartbeat.worker != heartbeat.worker);
        if let Some(mut report) = replaced.and_then(|mut l| l.report()) {
            // Another worker has answered at the address, so no run of the old one is left.
            report.closed = true;
            self.final_reports.push(report);
        }
        self.incarnation = Some(Incarnation {
            heartbeat,
            heartbeat_at,
            contradictions: 0,
            left: false,
            process_gone: false,
            unreachable: false,
            unanswered_checks: 0,
            clock_ms: None,
            lease_until_ms: None,
            running: Vec::new(),
            paces: PaceTable::new(self.checkpoint_interval),
            progress: ProgressTable::default(),
            ends: Vec::new(),
            confirmed: 0,
            last_listed_end: 0,
            is_superseded: false,
            speed: None,
            lists_received: 0,
            session: None,
        });
    }

    /// Records that the worker is ending, and returns whether that is new.
    ///
    /// A worker says in its heartbeats that it drains before it leaves. Otherwise the message is of
    /// another writer, or of an earlier incarnation of the same name.
    pub fn leave(&mut self, worker: &str, born_ms: Option<u64>) -> bool {
        let incarnation = self.incarnation.as_mut().filter(|l| {
            let heartbeat = &l.heartbeat;
            let is_sender = &*heartbeat.worker == worker
                && born_ms.is_none_or(|born_ms| born_ms == heartbeat.born_ms);
            is_sender && heartbeat.draining
        });
        incarnation.is_some_and(|l| !std::mem::replace(&mut l.left, true))
    }

    /// Returns the incarnation of the agent's worker, if there is one.
    pub fn worker(&self) -> Option<IncarnationId> {
        self.incarnation.as_ref().map(Incarnation::id)
    }

    /// Returns the number of the current session, if there is one.
    pub fn session(&self) -> Option<u64> {
        Some(self.incarnation.as_ref()?.session.as_ref()?.number)
    }

    /// Begins a session with the number assigned by the store, which has also assigned the worker's
    /// place at its address after the worker had answered there. Returns `false` if the worker or its
    /// incarnation has changed in the meantime.
    pub fn begin_session(
        &mut self,
        id: &IncarnationId,
        number: u64,
        succession: Option<Succession>,
    ) -> bool {
        let incarnation = self.incarnation.as_mut().filter(|l| l.id() == *id);
        let Some(incarnation) = incarnation else {
            return false;
        };
        incarnation.lease_until_ms = None;
        // The first request for lists in the new session hands the worker its fencing token.
        incarnation.lists_received = 0;
        incarnation.session = Some(Session {
            number,
            place: succession.map(|place| (place, self.lists_requested)),
            orders_seen: number + 1,
            fenced: false,
            is_reported: false,
            pending: BTreeMap::new(),
            refused: Vec::new(),
            stopped: HashSet::default(),
            report_sequence: 0,
            attention: Attention::default(),
            is_report_due: false,
            requested_before: self.lists_requested,
        });
        true
    }

    /// Sets the worker's place at its address, which the store has assigned only after the session had
    /// begun. It is reported once the worker has answered again. Returns `false` if the session is
    /// over.
    pub fn set_succession(
        &mut self,
        id: &IncarnationId,
        number: u64,
        succession: Succession,
    ) -> bool {
        let lists_requested = self.lists_requested;
        let incarnation = self.incarnation.as_mut().filter(|l| l.id() == *id);
        let session = incarnation.and_then(|l| l.session.as_mut());
        let Some(session) = session.filter(|s| s.number == number) else {
            return false;
        };
        session.place = Some((succession, lists_requested));
        true
    }

    /// Returns how closely the agent has to follow its orders while nothing runs.
    pub fn attention(&self) -> Attention {
        let session = self.incarnation.as_ref().and_then(|l| l.session.as_ref());
        session.map_or_else(Attention::default, |s| s.attention)
    }

    /// Returns whether the orders since the last call have to be answered by a report at once: the
    /// planner has asked for one, or a start was refused here, for which the rest of a gang waits.
    pub fn take_report_due(&mut self) -> bool {
        let session = self.incarnation.as_mut().and_then(|l| l.session.as_mut());
        session.is_some_and(|s| std::mem::take(&mut s.is_report_due))
    }

    /// Returns the newest reading of the worker's clock. Callers fetch it before they send a read of
    /// orders.
    pub fn clock_ms(&self) -> Option<u64> {
        self.incarnation.as_ref()?.clock_ms
    }

    /// Applies the orders before offset `end`, whose read was sent at `sent_at`, and returns the calls
    /// that they require. `clock_read_ms` is the reading of the worker's clock from before that.
    pub fn orders(
        &mut self,
        clock_read_ms: Option<u64>,
        orders: Vec<Order>,
        end: u64,
        sent_at: Instant,
    ) -> Vec<AgentAction> {
        let lease = u64::try_from(self.lease.as_millis()).unwrap_or(u64::MAX);
        let Some(incarnation) = &mut self.incarnation else {
            return Vec::new();
        };
        let fence = orders.iter().any(|o| o.fence);
        let Some(session) = &mut incarnation.session else {
            return Vec::new();
        };
        session.orders_seen = session.orders_seen.max(end);
        session.fenced |= fence;
        let attention = orders.iter().rev().find_map(Order::attention_after);
        session.attention = attention.unwrap_or(session.attention);
        session.is_report_due |= orders.iter().any(|order| order.attention.is_some());
        // Only a planner that has read a report of the session sends it orders.
        session.is_reported |= !orders.is_empty();
        let may_extend = session.is_reported && !session.fenced;
        if let Some(read_ms) = clock_read_ms.filter(|_| may_extend) {
            incarnation.lease_until_ms = incarnation.lease_until_ms.max(Some(read_ms + lease));
        }
        let mut actions = Vec::new();
        for order in orders {
            incarnation.confirmed = incarnation.confirmed.max(order.confirmed);
            incarnation.speed = order.speed.or(incarnation.speed);
            actions.extend(incarnation.order(order, sent_at + self.lease));
        }
        if fence {
            actions.extend(incarnation.stop_all());
        }
        let confirmed = incarnation.confirmed;
        incarnation.ends.retain(|e| e.number > confirmed);
        actions
    }

    /// Fences the session because orders, including a fence, may have been missed: its tasks may
    /// soon be started elsewhere. Returns the stops of all its runs.
    pub fn orders_lost(&mut self) -> Vec<AgentAction> {
        let Some(incarnation) = &mut self.incarnation else {
            return Vec::new();
        };
        if let Some(session) = &mut incarnation.session {
            session.fenced = true;
        }
        incarnation.stop_all()
    }

    /// Applies the result of a start and returns whether to report to the planner at once.
    pub fn start_result(&mut self, run: &RunId, token: u64, result: StartResult) -> bool {
        let Some((session, lists_requested)) = self.session_of(token) else {
            return false;
        };
        let Some(Pending::StartSent {
            may_have_started, ..
        }) = session.pending.get_mut(run)
        else {
            return false;
        };
        let outcome = match result {
            StartResult::Answered(outcome) => outcome,
            StartResult::NotSent => return false,
            StartResult::Unknown => {
                *may_have_started = true;
                return false;
            }
        };
        let may_have_started = *may_have_started;
        if outcome == StartOutcome::Started {
            session
                .pending
                .insert(run.clone(), Pending::Answered(lists_requested));
            return false;
        }
        if may_have_started {
            // An earlier attempt may have started the run or may still reach the worker. If the run
            // counted as refused, it would be started elsewhere and run twice; a stop prevents that.
            session.pending.insert(run.clone(), Pending::StopSent);
            return false;
        }
        session.pending.remove(run);
        session.refused.push((run.clone(), outcome));
        let excess = session.refused.len().saturating_sub(MAX_REPORTED_REFUSALS);
        session.refused.drain(..excess);
        true
    }

    /// Returns why a start must not be sent to the worker now; `None` if it may be.
    ///
    /// Whatever forbids a start may have happened after its order was accepted: a first attempt waits for
    /// a connection, and later ones repeat it for as long as it has no answer. So this is asked before each
    /// attempt, and its answer is applied as the result of the start. See
    /// `docs/incidents/repeated-starts.md`.
    pub fn start_refusal(&mut self, order: &StartOrder, now: Instant) -> Option<StartOutcome> {
        let Some(incarnation) = self.in_session(order.token) else {
            return Some(StartOutcome::OtherLife);
        };
        if let Some(refusal) = incarnation.start_refusal() {
            return Some(refusal);
        }
        let session = incarnation.session.as_mut();
        let pending = session.and_then(|s| s.pending.get_mut(&order.run));
        let Some(Pending::StartSent { tried_since, .. }) = pending else {
            return Some(StartOutcome::Superseded);
        };
        let tried_since = *tried_since.get_or_insert(now);
        let is_late = now >= order.send_before.min(tried_since + START_REPEAT_TIME);
        is_late.then_some(StartOutcome::Expired)
    }

    /// Applies the result of a stop.
    pub fn stop_result(&mut self, run: &RunId, token: u64, result: &Result<(), CallError>) {
        if let (Some((session, lists_requested)), Ok(())) = (self.session_of(token), result)
            && let Some(pending) = session.pending.get_mut(run)
        {
            *pending = Pending::Answered(lists_requested);
        }
    }

    /// Returns the starts and stops that the worker has not answered, to be sent again.
    ///
    /// Starts may be repeated only if `is_present`: the worker's lists have just arrived. A worker
    /// that has restarted under its name knows neither the run nor the token, and its clock, which
    /// began anew, doesn't refuse an old lease.
    pub fn pending_actions(&self, is_present: bool) -> Vec<AgentAction> {
        let session = self.incarnation.as_ref().and_then(|l| l.session.as_ref());
        let pending = session.into_iter().flat_map(|s| &s.pending);
        let actions = pending.filter_map(|(run, pending)| match pending {
            Pending::StartSent { order, .. } if is_present => {
                Some(AgentAction::Start((**order).clone()))
            }
            Pending::StopSent => Some(AgentAction::Stop(run.clone())),
            Pending::StartSent { .. } | Pending::Answered(_) => None,
        });
        actions.collect()
    }

    /// Returns the contents of the next request for the worker's lists: the number of the request,
    /// the fencing token, the number of the newest confirmed end, and the lease. Returns `None`
    /// without a session.
    ///
    /// The number is at most that of the last end in the newest lists, and 0 without any: a worker that
    /// has restarted under its name numbers its ends from 1, and would drop some that nobody has seen.
    pub fn request_lists(&mut self) -> Option<(u64, u64, u64, Option<u64>)> {
        let incarnation = self.incarnation.as_mut()?;
        let session = incarnation.session.as_ref()?;
        self.lists_requested += 1;
        let may_renew = !session.fenced && !incarnation.is_superseded;
        Some((
            self.lists_requested,
            session.number,
            incarnation.confirmed.min(incarnation.last_listed_end),
            incarnation.lease_until_ms.filter(|_| may_renew),
        ))
    }

    /// Applies the worker's lists, which answer list request `request` of session `token`, and returns
    /// what they change.
    ///
    /// Lists of another incarnation of the same name prove that this one has begun.
    pub fn lists(
        &mut self,
        request: u64,
        token: u64,
        lists: WorkerLists,
        now: Instant,
    ) -> ListsNews {
        let Some(incarnation) = self.in_session(token) else {
            return ListsNews::Ignored;
        };
        let session = incarnation.session.as_ref();
        if session.is_none_or(|s| request <= s.requested_before) {
            return ListsNews::Ignored;
        }
        let current = incarnation.id();
        let born_ms = lists.born_ms.unwrap_or(current.born_ms);
        if born_ms != current.born_ms {
            incarnation.is_superseded = true;
            incarnation.last_listed_end = 0;
            let successor = IncarnationId { born_ms, ..current };
            self.adopt(&successor, now);
            return ListsNews::Ignored;
        }
        // Answers on different connections may overtake each other.
        if request < incarnation.lists_received {
            return ListsNews::Ignored;
        }
        // The planner can use a worker only after the first report, and close the session of its
        // predecessor at the same address only after one that proves its place. Without this the
        // report would wait for the next regular one, 1.2 s later.
        let first = incarnation.lists_received == 0;
        let had_place = incarnation.proven_place().is_some();
        incarnation.lists_received = request;
        let is_place_new = !had_place && incarnation.proven_place().is_some();
        incarnation.unanswered_checks = 0;
        incarnation.clock_ms = incarnation.clock_ms.max(Some(lists.clock_ms));
        let Some(session) = &mut incarnation.session else {
            return ListsNews::Ignored;
        };
        session.pending.retain(|run, pending| match pending {
            Pending::Answered(after) => *after >= request,
            Pending::StartSent { .. } => !lists.running.iter().any(|r| r.run == *run),
            Pending::StopSent => true,
        });
        let last = |ends: &[End]| ends.iter().map(|e| e.number).max().unwrap_or(0);
        incarnation.is_superseded = false;
        incarnation.last_listed_end = last(&lists.run_ends);
        let confirmed = incarnation.confirmed;
        let ends: Vec<End> = lists
            .run_ends
            .into_iter()
            .filter(|e| e.number > confirmed)
            .collect();
        let new_end = last(&ends) > last(&incarnation.ends);
        let urgent =
            first || is_place_new || new_end || std::mem::take(&mut incarnation.unreachable);
        incarnation.ends = ends;
        incarnation.paces.update(lists.clock_ms, &lists.running);
        incarnation.progress.update(lists.clock_ms, &lists.running);
        incarnation.running = lists.running;
        match urgent {
            true => ListsNews::Urgent,
            false => ListsNews::Applied,
        }
    }

    /// Records that the worker didn't answer a call that was sent at `sent_at`, `not_listening` if no
    /// process listens at its address. Returns whether that changes the worker's state.
    ///
    /// A worker that neither listens nor sends heartbeats has crashed: none of its runs is left, so
    /// their tasks need not wait for the lease to expire. Neither sign alone is proof, except that a
    /// draining worker that has left, or whose announced time has passed, only has to stop listening.
    /// A call without an answer proves nothing: a worker that is paused goes on with its runs.
    pub fn unreachable(&mut self, not_listening: bool, sent_at: Instant) -> bool {
        let Some(incarnation) = &mut self.incarnation else {
            return false;
        };
        let silent =
            sent_at.saturating_duration_since(incarnation.heartbeat_at) > MAX_HEARTBEAT_GAP;
        let has_announced = incarnation.left || incarnation.is_departure_due(sent_at);
        let process_gone = not_listening && (silent || has_announced);
        incarnation.unanswered_checks += 1;
        // The next to answer may be a successor of the same name.
        incarnation.last_listed_end = 0;
        if !not_listening && incarnation.unanswered_checks < UNREACHABLE_AFTER_CHECKS {
            return false;
        }
        let new = !incarnation.unreachable || (process_gone && !incarnation.process_gone);
        incarnation.unreachable = true;
        incarnation.process_gone |= process_gone;
        new
    }

    /// Returns whether calls of the incarnation's session may be made: it is the agent's worker, and
    /// neither gone nor superseded.
    pub fn may_call(&self, id: &IncarnationId) -> bool {
        let current = self.incarnation.as_ref().filter(|l| l.id() == *id);
        current.is_some_and(|l| !l.process_gone && !l.is_superseded)
    }

    /// Returns whether no run of the session is left, so that a new session may begin.
    pub fn is_closed(&self) -> bool {
        self.incarnation
            .as_ref()
            .is_some_and(Incarnation::is_closed)
    }

    /// Removes a worker that has left or crashed; to be called once its last report is stored, or to
    /// be kept by [`Self::keep_final_reports`].
    pub fn forget_departed(&mut self) {
        let has_ended = |l: &Incarnation| (l.left || l.process_gone) && l.is_closed();
        if self.incarnation.as_ref().is_some_and(has_ended) {
            self.incarnation = None;
        }
    }

    /// Returns the stops of runs that the worker still lists although the session is fenced, for
    /// example runs that no order of this session has started.
    pub fn stop_leftovers(&mut self) -> Vec<AgentAction> {
        let Some(incarnation) = &mut self.incarnation else {
            return Vec::new();
        };
        let fenced = incarnation.session.as_ref().is_some_and(|s| s.fenced);
        if fenced {
            incarnation.stop_all()
        } else {
            Vec::new()
        }
    }

    /// Returns whether the worker has runs, unanswered starts or stops, or unconfirmed ends.
    pub fn is_busy(&self) -> bool {
        self.incarnation.as_ref().is_some_and(|l| {
            let pending = l.session.as_ref().is_some_and(|s| !s.pending.is_empty());
            pending || !l.running.is_empty() || !l.ends.is_empty()
        })
    }

    /// Returns whether the worker lists ends that the planner has not confirmed.
    pub fn has_ends(&self) -> bool {
        self.incarnation
            .as_ref()
            .is_some_and(|l| !l.ends.is_empty())
    }

    /// Returns the next report about the worker, preceded by the final reports about workers that it
    /// has replaced.
    pub fn reports(&mut self, unix_ms: u64) -> Vec<Report> {
        let mut reports = std::mem::take(&mut self.final_reports);
        reports.extend(self.incarnation.as_mut().and_then(Incarnation::report));
        for report in &mut reports {
            report.sent_ms = unix_ms;
        }
        reports
    }

    /// Records that the store has a report, and returns whether it is the first one of the current
    /// session, whose leases may be extended from now on.
    pub fn report_stored(&mut self, report: &Report) -> bool {
        // Sessions of two workers may have the same number.
        let incarnation = self.in_session(report.session);
        let incarnation = incarnation.filter(|l| l.id() == IncarnationId::of(&report.heartbeat));
        let session = incarnation.and_then(|l| l.session.as_mut());
        session.is_some_and(|s| !std::mem::replace(&mut s.is_reported, true))
    }

    /// Keeps those of the reports that could not be stored which no later one repeats: the final ones
    /// about workers that have ended or were replaced. The next reports begin with them.
    pub fn keep_final_reports(&mut self, unstored: Vec<Report>) {
        let current = self.worker().map(|id| id.worker);
        for report in unstored {
            let worker = &report.heartbeat.worker;
            if report.closed && current.as_ref() != Some(worker) {
                self.final_reports.retain(|r| r.heartbeat.worker != *worker);
                self.final_reports.push(report);
            }
        }
    }

    /// Returns the session with this token, and the number of the newest request for the lists.
    fn session_of(&mut self, token: u64) -> Option<(&mut Session, u64)> {
        let lists_requested = self.lists_requested;
        let incarnation = self.in_session(token)?;
        Some((incarnation.session.as_mut()?, lists_requested))
    }

    fn in_session(&mut self, token: u64) -> Option<&mut Incarnation> {
        let current = |l: &&mut Incarnation| l.session.as_ref().is_some_and(|s| s.number == token);
        self.incarnation.as_mut().filter(current)
    }
}

impl Incarnation {
    fn id(&self) -> IncarnationId {
        IncarnationId::of(&self.heartbeat)
    }

    fn order(&mut self, order: Order, send_before: Instant) -> Vec<AgentAction> {
        let mut actions = Vec::new();
        for run in order.stops {
            actions.push(self.stop(run));
        }
        for start in order.starts {
            actions.extend(self.start(start, send_before));
        }
        actions
    }

    fn start(&mut self, start: TaskStart, send_before: Instant) -> Option<AgentAction> {
        let lease = self.lease_until_ms;
        let refusal = self.start_refusal();
        if start.checkpoint.is_empty() {
            self.paces.start(&start.run);
        }
        let session = self.session.as_mut()?;
        if let Some(outcome) = refusal {
            session.refused.push((start.run, outcome));
            session.is_report_due = true;
            return None;
        }
        let order = StartOrder {
            run: start.run.clone(),
            payload: start.payload,
            checkpoint: start.checkpoint,
            lease_until_ms: lease.unwrap_or(0),
            send_before,
            token: session.number,
            ticket: start.ticket,
        };
        let start_sent = Pending::StartSent {
            order: Box::new(order.clone()),
            may_have_started: false,
            tried_since: None,
        };
        session.pending.insert(start.run, start_sent);
        Some(AgentAction::Start(order))
    }

    /// Returns why nothing may be started on the worker.
    fn start_refusal(&self) -> Option<StartOutcome> {
        let is_fenced = self.session.as_ref().is_some_and(|s| s.fenced);
        if self.heartbeat.draining || self.left {
            Some(StartOutcome::Draining)
        } else if is_fenced {
            Some(StartOutcome::Fenced)
        } else if self.is_superseded || self.process_gone {
            Some(StartOutcome::OtherLife)
        } else {
            None
        }
    }

    fn stop(&mut self, run: RunId) -> AgentAction {
        if let Some(session) = &mut self.session {
            session.pending.insert(run.clone(), Pending::StopSent);
            session.stopped.insert(run.clone());
        }
        AgentAction::Stop(run)
    }

    fn stop_all(&mut self) -> Vec<AgentAction> {
        let Some(session) = &self.session else {
            return Vec::new();
        };
        // The worker needs a while to stop a run and lists it until then.
        let stop_sent = |run: &&RunId| {
            let pending = session.pending.get(*run);
            let stops = matches!(pending, Some(Pending::StopSent | Pending::Answered(_)));
            stops || session.stopped.contains(*run)
        };
        let listed = self.running.iter().map(|r| &r.run);
        let pending = session.pending.iter();
        let starting = pending.filter(|(_, p)| matches!(p, Pending::StartSent { .. }));
        let runs = listed
            .chain(starting.map(|(run, _)| run))
            .filter(|run| !stop_sent(run));
        let runs: Vec<RunId> = runs.cloned().collect();
        runs.into_iter().map(|run| self.stop(run)).collect()
    }

    /// Returns whether the worker is draining and the time that it announced has passed.
    fn is_departure_due(&self, now: Instant) -> bool {
        let remaining = self.heartbeat.remaining_ms.map(Duration::from_millis);
        let leaves = remaining.filter(|_| self.heartbeat.draining);
        leaves.is_some_and(|left| now.saturating_duration_since(self.heartbeat_at) >= left)
    }

    fn is_closed(&self) -> bool {
        let Some(session) = &self.session else {
            return false;
        };
        let idle = self.running.is_empty() && session.pending.is_empty();
        self.process_gone || (session.fenced && idle && self.lists_received > 0)
    }

    /// Returns the worker's place at its address. Only an answer to a request that was sent after the
    /// store had assigned it proves that it isn't out of date.
    fn proven_place(&self) -> Option<&Succession> {
        let (place, requested_before) = self.session.as_ref()?.place.as_ref()?;
        (self.lists_received > *requested_before).then_some(place)
    }

    fn report(&mut self) -> Option<Report> {
        let closed = self.is_closed();
        // Without the first lists the report would omit runs that the worker executes.
        if self.lists_received == 0 && !closed {
            return None;
        }
        // Lists of this incarnation, should they still come, are then told at once.
        self.unreachable |= self.is_superseded;
        let succession = self.proven_place().cloned();
        let session = self.session.as_mut()?;
        session.report_sequence += 1;
        Some(Report {
            heartbeat: self.heartbeat.clone(),
            session: session.number,
            sequence: session.report_sequence,
            sent_ms: 0,
            orders_seen: session.orders_seen,
            starting: session.pending.keys().cloned().collect(),
            refused: session.refused.clone(),
            running: self.running.clone(),
            progress: self.progress.all(&self.running),
            paces: self.paces.all(),
            end_totals_ms: self.progress.ended_totals_ms(&self.ends),
            ends: self.ends.clone(),
            closed,
            left: self.left,
            unreachable: self.unreachable || session.fenced,
            attention: session.attention,
            speed: self.speed,
            succession,
        })
    }
}
