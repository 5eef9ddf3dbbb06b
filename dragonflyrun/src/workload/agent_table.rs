//! What an agent knows of the worker beside it, and what it does about orders.
//!
//! The agent extends its worker's lease only by proof from the store: a read that was sent after
//! the worker's clock was looked at, and that shows no fence. So whoever puts a fence into the
//! store knows that every lease has run out one lease time later, whatever became of the agent.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant}, //
};

use crate::{
    port::{CallError, End, Heartbeat, RunningTask, StartOrder, StartOutcome, WorkerLists},
    utils::{HashSet, Name},
    workload::{Order, Report, RunId, TaskStart, pace::PaceTable, progress::ProgressTable},
};

/// What is to be done at the worker.
#[derive(Clone, Debug)]
pub enum AgentAction {
    /// Start a run.
    Start(StartOrder),
    /// Stop a run.
    Stop(RunId),
}

/// What became of a start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartResult {
    /// The worker answered.
    Answered(StartOutcome),
    /// Nothing is known; the start is to be tried again.
    Unknown,
}

/// How far a run's start or stop is.
#[derive(Clone, Debug)]
enum Pending {
    /// The worker has not answered the start; whether a try may have been carried out unseen.
    StartSent {
        order: Box<StartOrder>,
        may_have_started: bool,
    },
    /// The worker has not answered the stop.
    StopSent,
    /// The worker has answered; the first list asked for after that number shows what is there.
    Answered(u64),
}

#[derive(Clone, Debug)]
struct Session {
    number: u64,
    orders_seen: u64,
    fenced: bool,
    pending: BTreeMap<RunId, Pending>,
    refused: Vec<(RunId, StartOutcome)>,
    /// Runs that were told to stop.
    stopped: HashSet<RunId>,
    report_sequence: u64,
}

#[derive(Clone, Debug)]
struct Incarnation {
    heartbeat: Heartbeat,
    /// When the newest heartbeat came.
    heartbeat_at: Instant,
    left: bool,
    /// Whether the worker's process is gone for certain.
    process_gone: bool,
    unreachable: bool,
    /// Looks in a row that had no answer.
    unanswered_checks: u32,
    /// The newest look at the worker's clock.
    clock_ms: Option<u64>,
    lease_until_ms: Option<u64>,
    running: Vec<RunningTask>,
    paces: PaceTable,
    progress: ProgressTable,
    ends: Vec<End>,
    confirmed: u64,
    lists_requested: u64,
    lists_received: u64,
    session: Option<Session>,
}

/// The agent's table.
#[derive(Debug)]
pub struct AgentTable {
    lease: Duration,
    checkpoint_interval: Duration,
    incarnation: Option<Incarnation>,
    final_reports: Vec<Report>,
}

/// Silence of a worker that sends a heartbeat each 1.5 s after which one is missing for certain.
const MAX_HEARTBEAT_GAP: Duration = Duration::from_millis(2_200);

/// Looks in a row without an answer after which a worker counts as unreachable. A single answer gets
/// lost now and then; taken for an unreachable worker, its room would stand empty for a second.
const UNREACHABLE_AFTER_CHECKS: u32 = 2;

/// Refused starts that are kept for the report; the planner needs only the newest.
const MAX_REPORTED_REFUSALS: usize = 64;

impl AgentTable {
    /// Returns the table of an agent that has heard of no worker. Leases last `lease` at most.
    pub fn new(lease: Duration) -> Self {
        Self {
            lease,
            checkpoint_interval: Duration::ZERO,
            incarnation: None,
            final_reports: Vec::new(),
        }
    }

    /// Returns the table with the span of work after which a run saves a checkpoint.
    pub fn with_checkpoints(self, every: Duration) -> Self {
        Self {
            checkpoint_interval: every,
            ..self
        }
    }

    /// Takes a heartbeat; returns whether anything that the planner should know has changed.
    ///
    /// A heartbeat that was held up by the network may come after a new life of the worker has
    /// begun at the same address; it is older by its birth or its number and changes nothing.
    pub fn heartbeat(&mut self, heartbeat: Heartbeat, now: Instant) -> bool {
        if let Some(incarnation) = &mut self.incarnation {
            let known = &incarnation.heartbeat;
            if heartbeat.born_ms < known.born_ms {
                return false;
            }
            if heartbeat.worker == known.worker && heartbeat.born_ms == known.born_ms {
                if heartbeat.sequence <= known.sequence {
                    return false;
                }
                let mut same = known.clone();
                same.sequence = heartbeat.sequence;
                let changed = same != heartbeat;
                incarnation.heartbeat = heartbeat;
                incarnation.heartbeat_at = now;
                return changed;
            }
        }
        self.begin_incarnation(heartbeat, now);
        true
    }

    fn begin_incarnation(&mut self, heartbeat: Heartbeat, now: Instant) {
        let old = self.incarnation.take();
        let replaced = old.filter(|l| l.heartbeat.worker != heartbeat.worker);
        if let Some(mut report) = replaced.and_then(|mut l| l.report()) {
            // Another worker answers at this machine now, so nothing of the old one runs.
            report.closed = true;
            self.final_reports.push(report);
        }
        self.incarnation = Some(Incarnation {
            heartbeat,
            heartbeat_at: now,
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
            lists_requested: 0,
            lists_received: 0,
            session: None,
        });
    }

    /// Takes note that the worker ends now.
    pub fn leave(&mut self, worker: &str) -> bool {
        let incarnation = self
            .incarnation
            .as_mut()
            .filter(|l| &*l.heartbeat.worker == worker);
        incarnation.is_some_and(|l| !std::mem::replace(&mut l.left, true))
    }

    /// Returns the worker and the start of its incarnation.
    pub fn worker(&self) -> Option<(Name, u64)> {
        let incarnation = self.incarnation.as_ref()?;
        Some((
            incarnation.heartbeat.worker.clone(),
            incarnation.heartbeat.born_ms,
        ))
    }

    /// Returns the number of the session, where one is open.
    pub fn session(&self) -> Option<u64> {
        Some(self.incarnation.as_ref()?.session.as_ref()?.number)
    }

    /// Begins a session with the number that the store gave.
    pub fn begin_session(&mut self, worker: &str, born_ms: u64, number: u64) -> bool {
        let incarnation = self
            .incarnation
            .as_mut()
            .filter(|l| &*l.heartbeat.worker == worker && l.heartbeat.born_ms == born_ms);
        let Some(incarnation) = incarnation else {
            return false;
        };
        incarnation.lease_until_ms = None;
        // The first lists of the new session set its fencing token at the worker.
        incarnation.lists_received = 0;
        incarnation.session = Some(Session {
            number,
            orders_seen: number + 1,
            fenced: false,
            pending: BTreeMap::new(),
            refused: Vec::new(),
            stopped: HashSet::default(),
            report_sequence: 0,
        });
        true
    }

    /// Returns the newest look at the worker's clock: to be taken before a read of orders is sent.
    pub fn clock_ms(&self) -> Option<u64> {
        self.incarnation.as_ref()?.clock_ms
    }

    /// Takes the orders up to `end`. `clock_read_ms` is the worker's clock as it was looked at before
    /// the read was sent.
    pub fn orders(
        &mut self,
        clock_read_ms: Option<u64>,
        orders: Vec<Order>,
        end: u64,
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
        if let (Some(looked), false) = (clock_read_ms, session.fenced) {
            incarnation.lease_until_ms = incarnation.lease_until_ms.max(Some(looked + lease));
        }
        let mut actions = Vec::new();
        for order in orders {
            incarnation.confirmed = incarnation.confirmed.max(order.confirmed);
            actions.extend(incarnation.order(order));
        }
        if fence {
            actions.extend(incarnation.stop_all());
        }
        let confirmed = incarnation.confirmed;
        incarnation.ends.retain(|e| e.number > confirmed);
        actions
    }

    /// Takes note that orders may have been missed: what the session runs may run elsewhere soon.
    pub fn orders_lost(&mut self) -> Vec<AgentAction> {
        let Some(incarnation) = &mut self.incarnation else {
            return Vec::new();
        };
        if let Some(session) = &mut incarnation.session {
            session.fenced = true;
        }
        incarnation.stop_all()
    }

    /// Takes the answer to a start; returns whether the planner should hear of it at once.
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
        let StartResult::Answered(outcome) = result else {
            *may_have_started = true;
            return false;
        };
        let may_have_started = *may_have_started;
        if outcome == StartOutcome::Started {
            session
                .pending
                .insert(run.clone(), Pending::Answered(lists_requested));
            return false;
        }
        if may_have_started {
            // An earlier try may have begun the run, or may be carried out yet. Taken for refused,
            // it would be started elsewhere and run twice; a stop settles it.
            session.pending.insert(run.clone(), Pending::StopSent);
            return false;
        }
        session.pending.remove(run);
        session.refused.push((run.clone(), outcome));
        let excess = session.refused.len().saturating_sub(MAX_REPORTED_REFUSALS);
        session.refused.drain(..excess);
        true
    }

    /// Takes the answer to a stop.
    pub fn stop_result(&mut self, run: &RunId, token: u64, result: &Result<(), CallError>) {
        if let (Some((session, lists_requested)), Ok(())) = (self.session_of(token), result) {
            session
                .pending
                .insert(run.clone(), Pending::Answered(lists_requested));
        }
    }

    /// Returns what is still to be done at the worker: starts and stops without an answer.
    pub fn pending_actions(&self) -> Vec<AgentAction> {
        let session = self.incarnation.as_ref().and_then(|l| l.session.as_ref());
        let pending = session.into_iter().flat_map(|s| &s.pending);
        let open = pending.filter_map(|(run, pending)| match pending {
            Pending::StartSent { order, .. } => Some(AgentAction::Start((**order).clone())),
            Pending::StopSent => Some(AgentAction::Stop(run.clone())),
            Pending::Answered(_) => None,
        });
        open.collect()
    }

    /// Returns the number of a call that asks for the lists, and what that call is to say: the
    /// fencing token, the confirmed ends and the lease. `None` where there is no session.
    pub fn request_lists(&mut self) -> Option<(u64, u64, u64, Option<u64>)> {
        let incarnation = self.incarnation.as_mut()?;
        let session = incarnation.session.as_ref()?;
        incarnation.lists_requested += 1;
        let lease = incarnation.lease_until_ms.filter(|_| !session.fenced);
        Some((
            incarnation.lists_requested,
            session.number,
            incarnation.confirmed,
            lease,
        ))
    }

    /// Takes the worker's lists, as the answer to call `asked` of session `token`; returns whether
    /// the planner should hear of it at once.
    pub fn lists(&mut self, asked: u64, token: u64, lists: WorkerLists) -> bool {
        let Some(incarnation) = self.in_session(token) else {
            return false;
        };
        let other_incarnation = lists
            .born_ms
            .is_some_and(|b| b != incarnation.heartbeat.born_ms);
        // Answers on two connections may overtake each other.
        if other_incarnation || asked < incarnation.lists_received {
            return false;
        }
        // The planner can use a worker, and give up its predecessor at the same address, only after
        // the first report, which would otherwise come with the next regular one, 1.2 s later.
        let first = incarnation.lists_received == 0;
        incarnation.lists_received = asked;
        incarnation.unanswered_checks = 0;
        incarnation.clock_ms = incarnation.clock_ms.max(Some(lists.clock_ms));
        let Some(session) = &mut incarnation.session else {
            return false;
        };
        session.pending.retain(|run, pending| match pending {
            Pending::Answered(after) => *after >= asked,
            Pending::StartSent { .. } => !lists.running.iter().any(|r| r.run == *run),
            Pending::StopSent => true,
        });
        let confirmed = incarnation.confirmed;
        let ends: Vec<End> = lists
            .ends
            .into_iter()
            .filter(|e| e.number > confirmed)
            .collect();
        let last = |ends: &[End]| ends.iter().map(|e| e.number).max().unwrap_or(0);
        let new_end = last(&ends) > last(&incarnation.ends);
        let urgent = first || new_end || std::mem::take(&mut incarnation.unreachable);
        incarnation.ends = ends;
        incarnation.paces.update(lists.clock_ms, &lists.running);
        incarnation.progress.update(lists.clock_ms, &lists.running);
        incarnation.running = lists.running;
        urgent
    }

    /// Takes note that the worker does not answer, and whether since nobody listens there; returns
    /// whether that is new.
    ///
    /// A worker that neither listens nor sends heartbeats has crashed: nothing of it runs, and its
    /// tasks need not wait for its lease. One of the two alone is no proof. A worker that has said
    /// when it leaves needs no silence beside that once the time has come.
    pub fn unreachable(&mut self, not_listening: bool, now: Instant) -> bool {
        let Some(incarnation) = &mut self.incarnation else {
            return false;
        };
        let silent = now.saturating_duration_since(incarnation.heartbeat_at) > MAX_HEARTBEAT_GAP;
        let process_gone = not_listening && (silent || incarnation.is_departure_due(now));
        incarnation.unanswered_checks += 1;
        if !not_listening && incarnation.unanswered_checks < UNREACHABLE_AFTER_CHECKS {
            return false;
        }
        let new = !incarnation.unreachable || (process_gone && !incarnation.process_gone);
        incarnation.unreachable = true;
        incarnation.process_gone |= process_gone;
        new
    }

    /// Returns whether nothing of a fenced session is left, so that a new one may begin.
    pub fn is_closed(&self) -> bool {
        self.incarnation
            .as_ref()
            .is_some_and(Incarnation::is_closed)
    }

    /// Forgets a worker that has left, once its last report is written.
    pub fn forget_departed(&mut self) {
        let over = |l: &Incarnation| (l.left || l.process_gone) && l.is_closed();
        if self.incarnation.as_ref().is_some_and(over) {
            self.incarnation = None;
        }
    }

    /// Returns runs that the worker lists though no order of this session stands for them and
    /// that are to be stopped since the session is fenced.
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

    /// Returns whether anything runs or is about to.
    pub fn is_busy(&self) -> bool {
        self.incarnation.as_ref().is_some_and(|l| {
            let pending = l.session.as_ref().is_some_and(|s| !s.pending.is_empty());
            pending || !l.running.is_empty() || !l.ends.is_empty()
        })
    }

    /// Returns whether the worker lists ends that are not confirmed.
    pub fn has_ends(&self) -> bool {
        self.incarnation
            .as_ref()
            .is_some_and(|l| !l.ends.is_empty())
    }

    /// Returns the next report about the worker, and about workers that it has replaced.
    pub fn reports(&mut self, unix_ms: u64) -> Vec<Report> {
        let mut reports = std::mem::take(&mut self.final_reports);
        reports.extend(self.incarnation.as_mut().and_then(Incarnation::report));
        for report in &mut reports {
            report.sent_ms = unix_ms;
        }
        reports
    }

    /// Returns the session with this token, and the number of the newest call for the lists.
    fn session_of(&mut self, token: u64) -> Option<(&mut Session, u64)> {
        let incarnation = self.in_session(token)?;
        Some((incarnation.session.as_mut()?, incarnation.lists_requested))
    }

    fn in_session(&mut self, token: u64) -> Option<&mut Incarnation> {
        let current = |l: &&mut Incarnation| l.session.as_ref().is_some_and(|s| s.number == token);
        self.incarnation.as_mut().filter(current)
    }
}

impl Incarnation {
    fn order(&mut self, order: Order) -> Vec<AgentAction> {
        let mut actions = Vec::new();
        for run in order.stops {
            actions.push(self.stop(run));
        }
        for start in order.starts {
            actions.extend(self.start(start));
        }
        actions
    }

    fn start(&mut self, start: TaskStart) -> Option<AgentAction> {
        let leaving = self.heartbeat.draining || self.left;
        let lease = self.lease_until_ms;
        let session = self.session.as_mut()?;
        if leaving || session.fenced {
            let outcome = if leaving {
                StartOutcome::Draining
            } else {
                StartOutcome::Fenced
            };
            session.refused.push((start.run, outcome));
            return None;
        }
        let order = StartOrder {
            run: start.run.clone(),
            payload: start.payload,
            checkpoint: start.checkpoint,
            lease_until_ms: lease.unwrap_or(0),
            token: session.number,
            ticket: start.ticket,
        };
        let asked = Pending::StartSent {
            order: Box::new(order.clone()),
            may_have_started: false,
        };
        session.pending.insert(start.run, asked);
        Some(AgentAction::Start(order))
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
        // A stop takes the worker a while, in which its lists still have the run.
        let told = |run: &&RunId| {
            let pending = session.pending.get(*run);
            let stops = matches!(pending, Some(Pending::StopSent | Pending::Answered(_)));
            stops || session.stopped.contains(*run)
        };
        let listed = self.running.iter().map(|r| &r.run);
        let pending = session.pending.iter();
        let asked = pending.filter(|(_, p)| matches!(p, Pending::StartSent { .. }));
        let runs = listed
            .chain(asked.map(|(run, _)| run))
            .filter(|run| !told(run));
        let runs: Vec<RunId> = runs.cloned().collect();
        runs.into_iter().map(|run| self.stop(run)).collect()
    }

    /// Returns whether the worker has said that it leaves, and its time is up.
    fn is_departure_due(&self, now: Instant) -> bool {
        let remaining = self.heartbeat.remaining_ms.map(Duration::from_millis);
        let leaves = remaining.filter(|_| self.heartbeat.draining);
        leaves.is_some_and(|left| now.saturating_duration_since(self.heartbeat_at) >= left)
    }

    fn is_closed(&self) -> bool {
        let Some(session) = &self.session else {
            return false;
        };
        let gone = self.process_gone || (self.left && self.unreachable);
        let idle = self.running.is_empty() && session.pending.is_empty();
        gone || (session.fenced && idle && self.lists_received > 0)
    }

    fn report(&mut self) -> Option<Report> {
        let closed = self.is_closed();
        // Before the first lists the report would deny runs that are there.
        if self.lists_received == 0 && !closed {
            return None;
        }
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
            ends: self.ends.clone(),
            closed,
            left: self.left,
            unreachable: self.unreachable,
        })
    }
}
