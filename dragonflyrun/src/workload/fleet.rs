//! The planner's view of the workers, built from the reports of their agents and from its own
//! orders.
//!
//! The planner considers a run over only with proof: the worker has listed its end, the agent has
//! carried out all orders and doesn't list the run, a new incarnation of the worker has begun, the
//! agent has closed its session, or the last lease that the agent can have obtained has expired.
//! Without such proof a task is never started again, since two runs of it could execute at once.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    port::{End, EndKind, StartOutcome},
    utils::{HashMap, Name, Timestamp},
    workload::{Contact, Report, ReportReads, Resources, RunId},
};

/// A run that has been running for this long proves that its worker doesn't fail every start.
const HEALTHY_RUN_TIME: Duration = Duration::from_secs(1);

/// The planner's state of one run on a worker.
#[derive(Clone, Debug)]
pub struct WorkerRun {
    /// The resources that the run occupies.
    pub needs: Resources,
    /// The offset of the order that starts the run; `None` while that order is being appended.
    pub order_offset: Option<u64>,
    /// Whether an earlier planner has ordered the run, or has only written it into the plan.
    pub is_adopted: bool,
    /// When the planner learned that the order is stored; before that, when the run was placed.
    pub stored_since: Timestamp,
    /// When the planner first saw the run listed as running.
    pub running_since: Option<Timestamp>,
    /// Whether the planner has ordered the run to stop.
    pub stopping: bool,
    /// When the planner learned that the order to stop is stored.
    pub stop_stored_at: Option<Timestamp>,
    /// The newest checkpoint of the run.
    pub checkpoint: String,
    /// When the planner first saw that checkpoint, or the run itself if it has none.
    pub checkpointed_at: Timestamp,
    /// When this planner ordered the run or took it over.
    pub placed_at: Timestamp,
    /// When the run is expected to finish at its current pace, if the pace is known.
    pub ends_at: Option<Timestamp>,
    /// The milliseconds that the run's whole work takes at its current pace, if the pace is known.
    pub total_ms: Option<u64>,
    /// Whether the run executes the whole task and was ordered by this planner. Only then does its
    /// duration measure the duration of the task.
    pub is_full_run: bool,
}

/// The state of an agent's session.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SessionState {
    /// The session accepts orders.
    Open,
    /// The planner has decided to fence the session, but the order is not yet stored.
    FenceOrdered,
    /// The fence has been stored since this time, so every later read of the agent returns it.
    Fenced(Timestamp),
    /// No run of the session exists any more.
    Closed,
}

/// The planner's state of one worker.
#[derive(Clone, Debug)]
pub struct FleetWorker {
    /// The newest report of the agent; `None` if the worker is known only from the plan.
    pub report: Option<Report>,
    /// The session to which orders are addressed.
    pub session: u64,
    /// When the newest report arrived.
    pub reported_at: Timestamp,
    /// Whether the agent is known to be alive: a report has arrived since this planner took over, or
    /// the stored one was recent at that time.
    pub is_known_alive: bool,
    /// How closely the agent follows.
    pub contact: Contact,
    /// When the agent was last released.
    pub released_at: Option<Timestamp>,
    /// When the worker last had a run.
    pub last_used: Option<Timestamp>,
    /// Since when the agent reports that the worker doesn't answer.
    pub unreachable_since: Option<Timestamp>,
    /// The earliest time at which a draining worker leaves.
    pub leaves_at: Option<Timestamp>,
    /// The state of the agent's session.
    pub session_state: SessionState,
    /// The runs that the worker executes or may execute.
    pub runs: BTreeMap<RunId, WorkerRun>,
    /// The number up to which the ends of runs are recorded in the plan.
    pub confirmed: u64,
    /// The number of consecutive failed runs that are held against the worker.
    pub failures: u32,
    /// When the newest run was ordered that has finished there or has been running for
    /// `HEALTHY_RUN_TIME`.
    pub last_good_start: Option<Timestamp>,
    /// The time before which the worker gets no tasks because of its failures.
    pub quarantined_until: Timestamp,
}

/// Why a run is over.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RunOverReason {
    /// The worker lists the end of the run.
    Ended(End),
    /// The worker or its agent refused to start the run.
    Refused(StartOutcome),
    /// There is proof that the run doesn't execute and never will.
    Gone(GoneProof),
}

/// What proves that a run doesn't execute and never will.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GoneProof {
    /// The agent has carried out the run's order and doesn't list the run.
    Unlisted,
    /// The agent has closed its session.
    SessionClosed,
    /// Another worker has begun at the address of the run's worker.
    Replaced,
    /// The last lease that the agent can have obtained has expired.
    LeaseExpired,
}

/// A run that is over.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunOver {
    /// The run that is over.
    pub run: RunId,
    /// The worker to which the run was assigned.
    pub worker: Name,
    /// Why the run is over.
    pub why: RunOverReason,
    /// The newest known checkpoint of the run.
    pub checkpoint: String,
    /// When the planner first saw the run listed as running.
    pub running_since: Option<Timestamp>,
    /// When the run was ordered, if its duration measures the duration of the task.
    pub full_run_since: Option<Timestamp>,
    /// When the run was ordered, if the planner knew it.
    pub ordered_at: Option<Timestamp>,
    /// Whether the planner had ordered the run to stop.
    pub was_stopping: bool,
}

/// All workers known to the planner.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    workers: BTreeMap<Name, FleetWorker>,
}

impl WorkerRun {
    /// Returns a run whose order has no known offset yet: the order is being appended, or an
    /// earlier planner may have sent it and could still have late orders appended.
    fn new(now: Timestamp, needs: Resources) -> Self {
        Self {
            needs,
            order_offset: None,
            is_adopted: false,
            stored_since: now,
            running_since: None,
            stopping: false,
            stop_stored_at: None,
            checkpoint: String::new(),
            checkpointed_at: now,
            placed_at: now,
            ends_at: None,
            total_ms: None,
            is_full_run: false,
        }
    }
}

impl FleetWorker {
    /// Returns a worker without a report, known only from a run in the plan.
    fn unknown(session: u64, now: Timestamp) -> Self {
        Self {
            report: None,
            session,
            reported_at: now,
            is_known_alive: false,
            contact: Contact::default(),
            released_at: None,
            last_used: None,
            unreachable_since: None,
            leaves_at: None,
            session_state: SessionState::Open,
            runs: BTreeMap::new(),
            confirmed: 0,
            failures: 0,
            last_good_start: None,
            quarantined_until: Timestamp::default(),
        }
    }

    /// Returns whether tasks may be started on the worker, judging by its agent's report and session.
    /// An agent that follows seldom has to be asked first, which proves that it is alive.
    pub fn accepts_tasks(&self) -> bool {
        let report = self.report.as_ref();
        let available =
            report.is_some_and(|r| !r.heartbeat.draining && !r.closed && !r.left && !r.unreachable);
        let is_proven = self.is_known_alive || self.contact != Contact::Close;
        available && is_proven && self.session_state == SessionState::Open
    }

    /// Returns whether the agent reports so often that its silence shows that it is lost.
    pub(super) fn is_followed_closely(&self) -> bool {
        self.contact == Contact::Close || !self.runs.is_empty()
    }

    /// Returns the rack of the worker, if its heartbeat names one.
    pub fn rack(&self) -> Option<&Name> {
        self.report.as_ref()?.heartbeat.rack.as_ref()
    }

    /// Returns the failure domain of the worker, if its agent has reported.
    pub fn failure_domain(&self) -> Option<&Name> {
        let report = self.report.as_ref()?;
        Some(&report.heartbeat.failure_domain)
    }

    /// Returns when the oldest start order was stored that the agent had not read by its newest
    /// report.
    pub fn unread_order_since(&self) -> Option<Timestamp> {
        let seen = self.report.as_ref()?.orders_seen;
        let unread = self.runs.values();
        let unread = unread.filter(|run| run.order_offset.is_some_and(|offset| offset >= seen));
        unread.map(|run| run.stored_since).min()
    }

    /// Returns when the oldest start was ordered whose order is not known to be stored.
    pub fn unstored_order_since(&self) -> Option<Timestamp> {
        let unstored = self.runs.values().filter(|run| run.order_offset.is_none());
        unstored.map(|run| run.placed_at).min()
    }

    /// Returns when the oldest order was stored whose effect no report shows: the agent had not read
    /// the order of the run, the run has never been listed as running, or it was stopped and isn't
    /// over.
    pub fn order_without_effect_since(&self) -> Option<Timestamp> {
        let runs = self.runs.values();
        let starting = runs.clone().filter(|run| run.running_since.is_none());
        let starting = starting.filter(|run| run.order_offset.is_some());
        let starting = starting.map(|run| run.stored_since);
        let stopping = runs.filter_map(|run| run.stop_stored_at);
        let unread = self.unread_order_since();
        starting.chain(stopping).chain(unread).min()
    }

    /// Returns the resources occupied by all runs that the worker executes or may execute.
    pub fn used(&self) -> Resources {
        let runs = self.runs.values();
        runs.fold(Resources::default(), |sum, run| sum.plus(&run.needs))
    }

    /// Returns the resources that become free when the ordered stops are complete.
    pub fn stopping(&self) -> Resources {
        let runs = self.runs.values().filter(|r| r.stopping);
        runs.fold(Resources::default(), |sum, run| sum.plus(&run.needs))
    }
}

impl Fleet {
    /// Returns all workers.
    pub fn workers(&self) -> impl Iterator<Item = (&Name, &FleetWorker)> {
        self.workers.iter()
    }

    /// Returns a worker.
    pub fn get(&self, worker: &str) -> Option<&FleetWorker> {
        self.workers.get(worker)
    }

    /// Returns a mutable reference to a worker.
    pub fn get_mut(&mut self, worker: &str) -> Option<&mut FleetWorker> {
        self.workers.get_mut(worker)
    }

    /// Adds a run that the plan lists as ordered, before any report has been read.
    pub fn adopt(
        &mut self,
        now: Timestamp,
        worker: &Name,
        session: u64,
        run: RunId,
        needs: Resources,
    ) {
        let known = self.workers.entry(worker.clone());
        let known = known.or_insert_with(|| FleetWorker::unknown(session, now));
        known.session = known.session.max(session);
        let adopted = WorkerRun {
            is_adopted: true,
            ..WorkerRun::new(now, needs)
        };
        known.runs.insert(run, adopted);
    }

    /// Records that earlier planners have sent all their orders for `worker` before offset `end`.
    ///
    /// A run that an earlier planner wrote into the plan may have been ordered before that offset or
    /// not at all. An agent that has read up to there and doesn't list the run will never start it. The
    /// orders of this planner come behind.
    pub fn set_orders_end(&mut self, worker: &str, end: u64) {
        if let Some(known) = self.workers.get_mut(worker) {
            let adopted = known.runs.values_mut().filter(|r| r.is_adopted);
            for run in adopted.filter(|r| r.order_offset.is_none()) {
                run.order_offset = Some(end.saturating_sub(1));
            }
        }
    }

    /// Adds a run that this planner orders.
    pub fn place(
        &mut self,
        now: Timestamp,
        worker: &str,
        run: RunId,
        needs: Resources,
        checkpoint: &str,
    ) {
        if let Some(known) = self.workers.get_mut(worker) {
            let placed = WorkerRun {
                checkpoint: checkpoint.to_owned(),
                is_full_run: checkpoint.is_empty(),
                ..WorkerRun::new(now, needs)
            };
            known.runs.insert(run, placed);
            known.last_used = Some(now);
        }
    }

    /// Returns whether a report is newer than all that is known of its worker.
    ///
    /// Late and repeated reports must not bring back a run that is over, and prove nothing about the
    /// agent now: the store returns the last report of one that is gone for as long as it is asked.
    pub fn is_newer(&self, report: &Report) -> bool {
        let known = self.workers.get(&report.heartbeat.worker);
        known.is_none_or(|worker| match &worker.report {
            Some(newest) => (report.session, report.sequence) > (newest.session, newest.sequence),
            None => report.session >= worker.session,
        })
    }

    /// Applies an agent's report and returns the runs that it proves to be over. A report that isn't
    /// newer than what is known changes nothing.
    ///
    /// A listed run that isn't known on this worker is added with the resources that `needs_of`
    /// returns for it.
    pub fn report(
        &mut self,
        now: Timestamp,
        report: Report,
        needs_of: impl Fn(&RunId) -> Resources,
    ) -> Vec<RunOver> {
        if !self.is_newer(&report) {
            return Vec::new();
        }
        let name = report.heartbeat.worker.clone();
        let worker = self.workers.entry(name.clone());
        let worker = worker.or_insert_with(|| FleetWorker::unknown(report.session, now));
        let newest = worker.report.as_ref();
        let may_replace = newest.is_none_or(|r| r.succession != report.succession);
        worker.reported_at = now;
        worker.contact = worker.contact.after_report(report.attention);
        if !worker.runs.is_empty() {
            worker.last_used = Some(now);
        }
        if report.session > worker.session || worker.report.is_none() {
            worker.session = report.session;
            worker.session_state = SessionState::Open;
            let same_life = worker
                .report
                .as_ref()
                .is_some_and(|r| r.heartbeat.born_ms == report.heartbeat.born_ms);
            if !same_life {
                worker.confirmed = 0;
                worker.failures = 0;
                worker.last_good_start = None;
            }
            worker.clear_stops();
            log::info!(
                worker:% = name, session = report.session, same_life,
                running = report.running.len(), ends = report.ends.len();
                "worker_session"
            );
        }
        worker.unreachable_since = match report.unreachable {
            true => worker.unreachable_since.or(Some(now)),
            false => None,
        };
        worker.update_departure(now, &report);
        let mut over = worker.process_ends(&name, &report);
        if !report.closed && worker.session_state != SessionState::Closed {
            worker.update_running(now, &report, needs_of);
        }
        over.extend(worker.remove_unlisted(&name, &report));
        if report.closed {
            log::info!(
                worker:% = name, session = report.session, sequence = report.sequence,
                born_ms = report.heartbeat.born_ms, left = report.left,
                unreachable = report.unreachable, running = report.running.len(),
                runs = worker.runs.len();
                "worker_session_closed"
            );
            worker.session_state = SessionState::Closed;
            over.extend(worker.remove_all(&name, GoneProof::SessionClosed));
        }
        let succession = report.succession.clone();
        if let Some(worker) = self.workers.get_mut(&name) {
            worker.report = Some(report);
        }
        // Looking at all workers for each report would cost the square of their number.
        if let Some(succession) = succession.filter(|_| may_replace) {
            over.extend(self.close_replaced(&succession.address));
        }
        over
    }

    /// Closes the sessions of all workers at an address except the newest one.
    ///
    /// After a host has lost power, a new worker registers at the same address under another name.
    /// Without this rule the planner would wait until the lease of the old worker has expired, about
    /// 14 s with a lease of 10 s, and all tasks of that worker would be delayed by as much. A new
    /// planner reads the reports in the order of the workers' names, so either of the two may come
    /// first.
    fn close_replaced(&mut self, address: &Name) -> Vec<RunOver> {
        let place = |worker: &FleetWorker| {
            let succession = worker.report.as_ref()?.succession.as_ref()?;
            (succession.address == *address).then_some(succession.number)
        };
        let at_address = self.workers.iter();
        let at_address = at_address.filter_map(|(name, w)| Some((place(w)?, name.clone())));
        let Some((newest, by)) = at_address.max() else {
            return Vec::new();
        };
        let mut over = Vec::new();
        for (name, worker) in &mut self.workers {
            let is_older = place(worker).is_some_and(|number| number < newest);
            if is_older && worker.session_state != SessionState::Closed {
                log::info!(
                    worker:% = name, session = worker.session, runs = worker.runs.len(),
                    address:% = address, by:% = by, place = newest;
                    "worker_replaced"
                );
                worker.session_state = SessionState::Closed;
                over.extend(worker.remove_all(name, GoneProof::Replaced));
            }
        }
        over
    }

    /// Closes the sessions whose fence has been stored for at least `lease`, including those of
    /// workers that never reported, and returns their runs: their leases have expired.
    ///
    /// A fence binds one session only, and a restarted agent may extend the leases of the same runs in its
    /// next one. It does so only after a report of that session is stored, so no lease was extended if a
    /// read that was sent after the last lease had expired returns no such report. See
    /// `docs/incidents/fenced-runs-extended.md`.
    pub fn expire(
        &mut self,
        now: Timestamp,
        lease: std::time::Duration,
        reads: &ReportReads,
    ) -> Vec<RunOver> {
        let mut over = Vec::new();
        for (name, worker) in &mut self.workers {
            let SessionState::Fenced(since) = worker.session_state else {
                continue;
            };
            if now.since(since) >= lease && reads.are_complete(name, since + lease) {
                worker.session_state = SessionState::Closed;
                log::warn!(
                    worker:% = name, session = worker.session, runs = worker.runs.len(),
                    fenced_ms:? = now.since(since);
                    "worker_lease_over"
                );
                over.extend(worker.remove_all(name, GoneProof::LeaseExpired));
            }
        }
        over
    }

    /// Removes the workers whose session is closed, that have no runs left, and that have not
    /// reported for longer than `after`. Returns their names.
    pub fn forget(&mut self, now: Timestamp, after: std::time::Duration) -> Vec<Name> {
        let gone = self.workers.iter().filter(|(_, w)| {
            w.session_state == SessionState::Closed
                && w.runs.is_empty()
                && now.since(w.reported_at) > after
        });
        let gone: Vec<Name> = gone.map(|(name, _)| name.clone()).collect();
        for name in &gone {
            self.workers.remove(name);
        }
        gone
    }

    /// Returns the number of runs of a step on each worker that has any.
    pub fn count_step(&self, job: &str, occurrence: u32, step: u32) -> HashMap<Name, u32> {
        let mut counts = HashMap::default();
        for (name, worker) in &self.workers {
            let of_step = worker.runs.keys().filter(|r| {
                &*r.task.job == job && r.task.occurrence == occurrence && r.task.step == step
            });
            let count = u32::try_from(of_step.count()).unwrap_or(u32::MAX);
            if count > 0 {
                counts.insert(name.clone(), count);
            }
        }
        counts
    }
}

impl FleetWorker {
    /// Marks all runs as not being stopped, since a new session has begun: an agent obeys only the
    /// orders of its current session, and runs of the same incarnation continue in the next session.
    fn clear_stops(&mut self) {
        for run in self.runs.values_mut() {
            run.stopping = false;
            run.stop_stored_at = None;
        }
    }

    /// Updates the time at which the worker leaves from its newest heartbeat.
    ///
    /// A report that repeats a heartbeat doesn't postpone that time.
    fn update_departure(&mut self, now: Timestamp, report: &Report) {
        let heartbeat = &report.heartbeat;
        if !heartbeat.draining {
            self.leaves_at = None;
            return;
        }
        let before = self.report.as_ref().map(|r| &r.heartbeat);
        let repeated = before.is_some_and(|b| b.sequence == heartbeat.sequence);
        if self.leaves_at.is_none() || !repeated {
            let remaining = Duration::from_millis(heartbeat.remaining_ms.unwrap_or(0));
            self.leaves_at = Some(now + remaining);
        }
    }

    fn process_ends(&mut self, name: &Name, report: &Report) -> Vec<RunOver> {
        let mut over = Vec::new();
        for end in report.ends.iter().filter(|e| e.number > self.confirmed) {
            let run = self.runs.remove(&end.run);
            if end.kind == EndKind::Done {
                self.last_good_start = self.last_good_start.max(run.as_ref().map(|r| r.placed_at));
            }
            over.push(RunOver {
                run: end.run.clone(),
                worker: name.clone(),
                checkpoint: if end.checkpoint.is_empty() {
                    run.as_ref()
                        .map(|r| r.checkpoint.clone())
                        .unwrap_or_default()
                } else {
                    end.checkpoint.clone()
                },
                running_since: run.as_ref().and_then(|r| r.running_since),
                ordered_at: run.as_ref().map(|r| r.placed_at),
                was_stopping: run.as_ref().is_some_and(|r| r.stopping),
                full_run_since: run.filter(|r| r.is_full_run).map(|r| r.placed_at),
                why: RunOverReason::Ended(end.clone()),
            });
        }
        let last = report.ends.iter().map(|e| e.number).max().unwrap_or(0);
        self.confirmed = self.confirmed.max(last);
        over
    }

    fn update_running(
        &mut self,
        now: Timestamp,
        report: &Report,
        needs_of: impl Fn(&RunId) -> Resources,
    ) {
        for (i, listed) in report.running.iter().enumerate() {
            let run = self.runs.entry(listed.run.clone()).or_insert_with(|| {
                log::warn!(worker:% = report.heartbeat.worker, run:% = listed.run; "run_not_ordered");
                WorkerRun {
                    order_offset: Some(0),
                    ..WorkerRun::new(now, needs_of(&listed.run))
                }
            });
            let since = *run.running_since.get_or_insert(now);
            if now.since(since) >= HEALTHY_RUN_TIME {
                self.last_good_start = self.last_good_start.max(Some(run.placed_at));
            }
            if let Some(progress) = report.progress.get(i) {
                let left = progress.remaining_ms.map(Duration::from_millis);
                run.ends_at = left.map(|left| now + left).or(run.ends_at);
                run.total_ms = Some(progress.total_ms)
                    .filter(|ms| *ms > 0)
                    .or(run.total_ms);
            }
            if !listed.checkpoint.is_empty() && listed.checkpoint != run.checkpoint {
                run.checkpoint.clone_from(&listed.checkpoint);
                run.checkpointed_at = now;
            }
        }
    }

    /// Removes the runs that the agent doesn't list although it has carried out their orders.
    fn remove_unlisted(&mut self, name: &Name, report: &Report) -> Vec<RunOver> {
        let listed = |run: &RunId| {
            report.running.iter().any(|r| r.run == *run) || report.starting.contains(run)
        };
        let gone: Vec<RunId> = self
            .runs
            .iter()
            .filter(|(run, state)| {
                let seen = state
                    .order_offset
                    .is_some_and(|offset| offset < report.orders_seen);
                seen && !listed(run)
            })
            .map(|(run, _)| run.clone())
            .collect();
        let why = |run: &RunId| {
            let refusal = report.refused.iter().find(|(r, _)| r == run);
            refusal.map_or(RunOverReason::Gone(GoneProof::Unlisted), |(_, why)| {
                RunOverReason::Refused(*why)
            })
        };
        gone.into_iter()
            .filter_map(|run| {
                let why = why(&run);
                self.remove(name, run, why)
            })
            .collect()
    }

    fn remove_all(&mut self, name: &Name, proof: GoneProof) -> Vec<RunOver> {
        let runs: Vec<RunId> = self.runs.keys().cloned().collect();
        let gone = runs.into_iter();
        gone.filter_map(|run| self.remove(name, run, RunOverReason::Gone(proof)))
            .collect()
    }

    fn remove(&mut self, name: &Name, run: RunId, why: RunOverReason) -> Option<RunOver> {
        let state = self.runs.remove(&run)?;
        Some(RunOver {
            run,
            worker: name.clone(),
            why,
            checkpoint: state.checkpoint,
            running_since: state.running_since,
            full_run_since: None,
            ordered_at: Some(state.placed_at),
            was_stopping: state.stopping,
        })
    }
}
