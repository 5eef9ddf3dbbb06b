//! The planner: which tasks run where.
//!
//! The table is fed jobs, reports and what operators have in force, and is asked now and then what
//! to do. Whatever it decides stands in the plan before it is ordered, so a successor knows every
//! run that may exist.

mod settle;

use std::{cell::RefCell, collections::BTreeMap, time::Duration};

use crate::{
    port::{
        AdviceAnswer,
        AdviceQuestion,
        Configuration,
        StoreRecord, //
    },
    utils::{HashMap, HashSet, Name, Timestamp},
    workload::{
        Demand, Fleet, FleetWorker, Job, JobPlan, JobRecord, JobTable, Order, Pace, Place, Report,
        Room, RunId, RunTimes, SessionState, TaskId, TaskPlan, TaskStart, WaitReason, Waiting,
        demands::Demands,
        departure,
        live::{LiveJob, guaranteed_jobs},
        load::PeakLoad,
        overdue,
        pass::{Learned, Pass, Placed},
        queues::Queues,
        tickets::Tickets,
        trust::RecentFailures,
    },
};

/// A worker that has failed so many runs in a row, of whatever jobs, is left alone for a while.
const SHUN_AFTER: u32 = 2;

/// An agent is silent that has not reported for so many times as long as half of the others.
const SILENT_TIMES: u32 = 4;

/// Age of a report up to which its agent is taken to live: it reports again within 1.2 s, and hosts'
/// clocks differ a little.
const RECENT_MS: u64 = 2_500;

/// A run that takes less than so many times the time of its work works at full speed.
const FULL_SPEED: f64 = 1.1;

/// How long it is left alone.
const SHUN_FOR: Duration = Duration::from_secs(6);

/// Bounds that the planner keeps; all come from the deployment's settings.
#[derive(Clone, Debug)]
pub struct PlannerBounds {
    /// Silence of an agent after which its session is closed.
    pub silence: Duration,
    /// Time from the fence in the store to the end of the last lease, by the slowest clock.
    pub lease_over: Duration,
    /// Time for which an ended job's state is kept.
    pub keep_ended: Duration,
    /// How many times longer a task takes away from its data or its gang.
    pub far_factor: f64,
    /// The span of work after which a run saves a checkpoint; zero where it is not known.
    pub checkpoint_every: Duration,
}

/// What the planner sees of the world beside jobs and reports.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The time on the planner's own clock.
    pub now: Timestamp,
    /// Unix milliseconds.
    pub unix_ms: u64,
    /// The configuration in force.
    pub configuration: &'a Configuration,
    /// Failure domains that are out of service.
    pub evacuated: &'a HashSet<Name>,
    /// Whether the configuration is proved to be in force: without that nothing is started.
    pub is_fresh: bool,
    /// Since when reports have been read without a break; none while they can't be read, when the
    /// silence of agents says nothing about them.
    pub reports_since: Option<Timestamp>,
}

/// An order for one worker's agent.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerOrder {
    /// The worker.
    pub worker: Name,
    /// The session that it is for.
    pub session: u64,
    /// The order.
    pub order: Order,
}

/// What the planner has decided.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Decisions {
    /// Records that have to stand in the plan first.
    pub plans: Vec<StoreRecord>,
    /// Orders to send after that.
    pub orders: Vec<WorkerOrder>,
    /// Workers that are gone and whose reports may be dropped.
    pub forgotten: Vec<Name>,
    /// What the advisor is to be asked.
    pub questions: Vec<AdviceQuestion>,
    /// How long the jobs have waited of which the first tasks start.
    pub waits: Vec<Duration>,
    /// What jobs wait for, each by the first of its demands that is not served.
    pub waiting: HashMap<Name, Waiting>,
}

/// The planner's table.
pub struct Planner {
    bounds: PlannerBounds,
    jobs: BTreeMap<Name, LiveJob>,
    fleet: Fleet,
    changed: HashSet<Name>,
    orders: BTreeMap<Name, Order>,
    run_times: RunTimes,
    peaks: PeakLoad,
    failures: RecentFailures,
    tickets: RefCell<Tickets>,
    waits: Vec<Duration>,
}

impl Planner {
    /// Returns a planner that takes over all jobs of `book`.
    pub fn take_over(bounds: PlannerBounds, book: &JobTable, now: Timestamp) -> Self {
        let mut planner = Self {
            bounds,
            jobs: BTreeMap::new(),
            fleet: Fleet::default(),
            changed: HashSet::default(),
            orders: BTreeMap::new(),
            run_times: RunTimes::default(),
            peaks: PeakLoad::default(),
            failures: RecentFailures::default(),
            tickets: RefCell::default(),
            waits: Vec::new(),
        };
        for (name, entry) in book.jobs() {
            if let Some(job) = &entry.job {
                planner.adopt(now, name, job.clone(), entry.cancelled, entry.plan.clone());
            }
        }
        planner
    }

    fn adopt(
        &mut self,
        now: Timestamp,
        name: &Name,
        job: Box<Job>,
        cancelled: bool,
        plan: JobPlan,
    ) {
        for occurrence in 0..job.request.repeats() {
            for (step, shape) in (0_u32..).zip(&job.request.steps) {
                for (index, number) in (0_u32..).zip(job.task_numbers(occurrence, step)) {
                    let Some(TaskPlan {
                        run,
                        place: Some(place),
                        ..
                    }) = plan.tasks.get(&number)
                    else {
                        continue;
                    };
                    let task = TaskId {
                        job: name.clone(),
                        occurrence,
                        step,
                        index,
                    };
                    let run = RunId { task, number: *run };
                    self.fleet
                        .adopt(now, &place.worker, place.session, run, shape.needs);
                }
            }
        }
        let mut live = LiveJob::new(job);
        live.cancelled = cancelled;
        live.plan = plan;
        self.jobs.insert(name.clone(), live);
    }

    /// Takes a record of the jobs' topic that another process wrote.
    pub fn job_record(&mut self, record: &JobRecord) {
        match record {
            JobRecord::Accepted(job) if !self.jobs.contains_key(&job.name) => {
                let live = LiveJob::new(job.clone());
                self.jobs.insert(job.name.clone(), live);
            }
            JobRecord::Cancelled(name) => {
                if let Some(live) = self.jobs.get_mut(name) {
                    live.cancelled = true;
                }
            }
            // Plans are the planner's own; its table is ahead of what the store echoes.
            JobRecord::Accepted(_) | JobRecord::Plan(..) | JobRecord::Planner(_) => {}
        }
    }

    /// Takes an agent's report as it comes.
    pub fn report(&mut self, now: Timestamp, report: Report) {
        let worker = report.heartbeat.worker.clone();
        self.take_report(now, report);
        if let Some(known) = self.fleet.get_mut(&worker) {
            known.has_reported = true;
        }
    }

    /// Takes an agent's newest report as it stands in the store at a take-over.
    ///
    /// It may be of a worker that is long gone. Unless it is recent, nothing is started there before
    /// the agent reports again.
    pub fn known_report(&mut self, now: Timestamp, unix_ms: u64, report: Report) {
        let worker = report.heartbeat.worker.clone();
        let age_ms = unix_ms.abs_diff(report.sent_ms);
        self.take_report(now, report);
        if let Some(known) = self.fleet.get_mut(&worker) {
            known.has_reported |= age_ms < RECENT_MS;
        }
    }

    fn take_report(&mut self, now: Timestamp, report: Report) {
        let jobs = &self.jobs;
        let worker = report.heartbeat.worker.clone();
        let needs_of = |run: &RunId| {
            let live = jobs.get(&run.task.job);
            let step = live.and_then(|l| l.job.request.steps.get(run.task.step as usize));
            step.map(|s| s.needs).unwrap_or_default()
        };
        if self
            .fleet
            .get(&worker)
            .is_some_and(|w| w.session < report.session)
        {
            // What waits to be sent was meant for the session before. Its confirmation would let a
            // worker that has started again drop ends that nobody has seen.
            self.orders.remove(&worker);
        }
        let ends = report.ends.len();
        let paces = report.paces.clone();
        let over = self.fleet.report(now, report, needs_of);
        self.learn_paces(&worker, &paces);
        self.learn_totals(&worker);
        for run in over {
            self.run_over(now, run);
        }
        if let Some(known) = self.fleet.get_mut(&worker) {
            if known.failures >= SHUN_AFTER && known.quarantined_until <= now {
                known.quarantined_until = now + SHUN_FOR;
                known.failures = SHUN_AFTER - 1;
                log::warn!(worker:% = worker, for_ms:? = SHUN_FOR; "worker_set_aside");
            }
            let confirmed = known.confirmed;
            if ends > 0 {
                self.orders.entry(worker).or_default().confirmed = confirmed;
            }
        }
    }

    /// Learns from runs' paces how fast a worker is.
    ///
    /// Away from its data a run is slow on any worker. A gang over several workers comes on as its
    /// slowest one does, so only a fast one tells about all of them.
    fn learn_paces(&mut self, worker: &Name, paces: &[Pace]) {
        let rack = self.fleet.get(worker).and_then(FleetWorker::rack);
        let every_s = self.bounds.checkpoint_every.as_secs_f64();
        for pace in paces {
            let live = self.jobs.get(&pace.run.task.job);
            let step = live.and_then(|l| l.job.request.steps.get(pace.run.task.step as usize));
            let near = step.is_some_and(|s| s.rack.is_none() || s.rack.as_ref() == rack);
            if !near {
                continue;
            }
            let work_s = f64::from(pace.intervals) * every_s;
            let took_s = pace.took_ms as f64 / 1_000.0;
            let alone = step.is_some_and(|s| !s.gang);
            if alone || took_s < work_s * FULL_SPEED {
                let speeds = self.run_times.speeds_mut();
                speeds.learn(worker, &pace.run, work_s, took_s);
            }
        }
    }

    /// Takes note of what the tasks on a worker would take on one of full speed, by their progress.
    fn learn_totals(&mut self, worker: &Name) {
        let slowness = self.run_times.speeds().slowness(worker).max(1.0);
        let runs = self.fleet.get(worker).into_iter().flat_map(|w| &w.runs);
        for (run, state) in runs {
            let live = self.jobs.get_mut(&run.task.job);
            if let (Some(live), Some(total_ms)) = (live, state.total_ms) {
                live.record_task_ms(&run.task, (total_ms as f64 / slowness) as u64);
            }
        }
    }

    /// Takes note of the offset at which an order stands in the store.
    pub fn ordered(&mut self, now: Timestamp, order: &WorkerOrder, offset: u64) {
        let Some(worker) = self.fleet.get_mut(&order.worker) else {
            return;
        };
        for start in &order.order.starts {
            if let Some(run) = worker.runs.get_mut(&start.run) {
                run.order_offset = Some(offset);
                run.stored_since = now;
            }
        }
        if order.order.fence
            && worker.session == order.session
            && worker.session_state == SessionState::FenceOrdered
        {
            worker.session_state = SessionState::Fenced(now);
        }
    }

    /// Takes note that earlier planners can send no order for `worker` from offset `end` on.
    pub fn orders_end(&mut self, worker: &str, end: u64) {
        self.fleet.set_orders_end(worker, end);
    }

    /// Returns the workers as the planner knows them.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns the number of jobs of which nothing has started.
    pub fn waiting(&self) -> usize {
        let jobs = self.jobs.values();
        jobs.filter(|l| l.plan.outcome.is_none() && !l.plan.begun)
            .count()
    }

    /// Returns the number of jobs that have begun and not ended.
    pub fn running(&self) -> usize {
        let jobs = self.jobs.values();
        jobs.filter(|l| l.plan.outcome.is_none() && l.plan.begun)
            .count()
    }

    /// Decides what to do.
    pub fn decide(&mut self, view: &View<'_>) -> Decisions {
        for run in self.fleet.expire(view.now, self.bounds.lease_over) {
            self.run_over(view.now, run);
        }
        self.fence_silent(view);
        self.settle_jobs(view);
        let waiting = self.start_tasks(view);
        Decisions {
            waiting,
            ..self.collect(view)
        }
    }

    fn collect(&mut self, view: &View<'_>) -> Decisions {
        let mut decisions = Decisions::default();
        let changed = std::mem::take(&mut self.changed);
        for name in changed {
            if let Some(live) = self.jobs.get_mut(&name) {
                live.plan.revision += 1;
                let record = JobRecord::Plan(name, Some(Box::new(live.plan.clone())));
                decisions.plans.push(record.encode());
            }
        }
        decisions.plans.extend(self.forget_jobs(view));
        decisions.waits = std::mem::take(&mut self.waits);
        decisions.questions = self.tickets.get_mut().take_questions();
        for (worker, order) in std::mem::take(&mut self.orders) {
            let known = self.fleet.get(&worker);
            let Some(session) = known.map(|w| w.session) else {
                continue;
            };
            if !order.is_empty() {
                decisions.orders.push(WorkerOrder {
                    worker,
                    session,
                    order,
                });
            }
        }
        decisions.forgotten = self.fleet.forget(view.now, self.bounds.keep_ended);
        for worker in &decisions.forgotten {
            self.run_times.forget(worker);
        }
        decisions
    }

    fn forget_jobs(&mut self, view: &View<'_>) -> Vec<StoreRecord> {
        let keep_ms = u64::try_from(self.bounds.keep_ended.as_millis()).unwrap_or(u64::MAX);
        let old = self.jobs.iter().filter(|(_, l)| {
            l.plan.outcome.is_some()
                && !l.plan.has_runs()
                && l.plan.ended_ms.saturating_add(keep_ms) < view.unix_ms
        });
        let old: Vec<Name> = old.map(|(name, _)| name.clone()).collect();
        let mut records = Vec::new();
        for name in old {
            self.jobs.remove(&name);
            self.tickets.get_mut().forget(&name);
            log::debug!(job:% = name; "job_forgotten");
            records.extend(JobRecord::tombstones(&name));
        }
        records
    }

    fn fence_silent(&mut self, view: &View<'_>) {
        let Some(reports_since) = view.reports_since else {
            return;
        };
        let most = self.most_silence(view, reports_since);
        let quiet = |w: &FleetWorker| view.now.since(w.reported_at.max(reports_since));
        let silent = self.fleet.workers().filter(|(_, w)| {
            // A worker that stays away from its agent may run on under its last lease.
            let lost = w
                .unreachable_since
                .is_some_and(|s| view.now.since(s) > self.bounds.silence);
            // One that reads no orders extends no lease: its session is closed when it has none left.
            let unread = w
                .unread_order_since()
                .map(|s| view.now.since(s.max(reports_since)));
            let reads_none = unread.is_some_and(|u| u > most + self.bounds.lease_over);
            w.session_state == SessionState::Open && (quiet(w) > most || lost || reads_none)
        });
        let mut silent: Vec<Name> = silent.map(|(name, _)| name.clone()).collect();
        let open = self.fleet.workers();
        let open = open
            .filter(|(_, w)| w.session_state == SessionState::Open)
            .count();
        if silent.len() * 2 > open && !self.long_silent(view, reports_since) {
            // So many agents at once are not gone; the store is slow. Closing their sessions would
            // stop all running work. One that stays silent for a lease more is given up all the same.
            let lapsed = |w: &FleetWorker| quiet(w) > most + self.bounds.lease_over;
            silent.retain(|name| self.fleet.get(name).is_some_and(lapsed));
        }
        for name in silent {
            if let Some(worker) = self.fleet.get_mut(&name) {
                worker.session_state = SessionState::FenceOrdered;
                log::warn!(
                    worker:% = name, session = worker.session, runs = worker.runs.len(),
                    silent_ms = view.now.since(worker.reported_at).as_millis() as u64,
                    unread_ms = worker.unread_order_since().map(|s| view.now.since(s).as_millis() as u64),
                    most_ms = most.as_millis() as u64;
                    "worker_silent"
                );
                self.orders.entry(name).or_default().fence = true;
            }
        }
    }

    /// Returns the silence up to which an agent is taken to live: longer where the others are late too.
    ///
    /// On a slow store the reports of all agents queue. Held to the bound of a fast one, agents that
    /// live would be given up one by one, and everything that runs on their workers stopped.
    fn most_silence(&self, view: &View<'_>, reports_since: Timestamp) -> Duration {
        let open = self
            .fleet
            .workers()
            .filter(|(_, w)| w.session_state == SessionState::Open);
        let silences = open.map(|(_, w)| view.now.since(w.reported_at.max(reports_since)));
        let mut silences: Vec<Duration> = silences.collect();
        let silence = self.bounds.silence;
        let Some(last) = silences.len().checked_sub(1) else {
            return silence;
        };
        let (_, usual, _) = silences.select_nth_unstable(last / 2);
        (*usual * SILENT_TIMES).clamp(silence, silence * 2)
    }

    /// Returns whether every agent has been silent for twice the time that is allowed.
    fn long_silent(&self, view: &View<'_>, reports_since: Timestamp) -> bool {
        let newest = self.fleet.workers().map(|(_, w)| w.reported_at).max();
        let heard = newest.unwrap_or_default().max(reports_since);
        view.now.since(heard) > self.bounds.silence * 2
    }

    /// Starts what fits; returns what waits. Without a fresh proof of the configuration nothing
    /// starts, since a failure domain may have been taken out of service meanwhile.
    fn start_tasks(&mut self, view: &View<'_>) -> HashMap<Name, Waiting> {
        let guaranteed = guaranteed_jobs(&self.jobs, view.configuration);
        self.failures.forget(view.now);
        let learned = Learned {
            times: &self.run_times,
            peaks: &self.peaks,
            failures: &self.failures,
        };
        let mut pass = Pass::new(&self.fleet, &self.jobs, &guaranteed, &learned, view);
        let queues = Queues::of(view.configuration);
        let builder = Demands {
            bounds: &self.bounds,
            view,
            queues: &queues,
            times: &self.run_times,
            guaranteed: &guaranteed,
            idle: pass.is_idle(),
            sick_workers: self.failures.are_workers_sick(self.fleet.workers().count()),
        };
        let mut demands = builder.all(&self.jobs);
        if !view.is_fresh {
            let stale = |(before, demand): (usize, &Demand<'_>)| {
                let waiting = demand.waiting(before, WaitReason::ConfigurationStale);
                (demand.job.clone(), waiting)
            };
            return demands.iter().enumerate().map(stale).collect();
        }
        self.peaks.see(view.now, &pass.load(&self.jobs, &demands));
        self.tickets_for(view.now, &queues, pass.rooms(), &mut demands);
        let overdue = overdue::to_move(&self.fleet, &self.jobs, &builder, &mut pass);
        let outcome = pass.run(&demands);
        let leaving = departure::to_move(&self.fleet, &self.jobs, &builder, &mut pass);
        self.move_overdue(overdue);
        for (worker, run) in leaving {
            self.stop(&worker, &run, "worker_leaves");
        }
        for (worker, run) in outcome.evictions {
            if let Some(live) = self.jobs.get_mut(&run.task.job) {
                live.evictions += 1;
            }
            self.stop(&worker, &run, "evicted");
        }
        for placed in outcome.starts {
            self.start(view, &placed);
        }
        outcome.waiting
    }

    /// Stops overdue runs; what they worked on waits again once they are over.
    fn move_overdue(&mut self, runs: Vec<(Name, RunId)>) {
        for (worker, run) in runs {
            if let Some(live) = self.jobs.get_mut(&run.task.job) {
                live.overdue_stopped.insert(run.task.clone());
                live.failed_on.push(worker.clone());
            }
            self.stop(&worker, &run, "overdue");
        }
    }

    /// Limits demands of queues whose policy asks the advisor to the workers that have tickets.
    fn tickets_for(
        &self,
        now: Timestamp,
        queues: &Queues<'_>,
        rooms: &[Room],
        demands: &mut [Demand<'_>],
    ) {
        let mut tickets = self.tickets.borrow_mut();
        for demand in demands {
            let live = self.jobs.get(&demand.job);
            let queue = live.and_then(|l| queues.get(&l.job.queue));
            let Some(advice) = queue.and_then(|q| q.advice.as_ref()) else {
                continue;
            };
            tickets.ask(now, demand, advice, rooms);
            let held = rooms.iter().map(|r| &r.worker);
            let held = held.filter(|w| tickets.ticket(now, demand, w).is_some());
            demand.only = Some(held.cloned().collect());
        }
    }

    /// Takes the advisor's answer, or that there was none.
    pub fn advised(
        &mut self,
        now: Timestamp,
        question: &AdviceQuestion,
        answer: Option<AdviceAnswer>,
    ) {
        self.tickets.get_mut().answer(now, question, answer);
    }

    fn start(&mut self, view: &View<'_>, placed: &Placed) {
        let Some(live) = self.jobs.get_mut(&placed.job) else {
            return;
        };
        let numbers = live.job.task_numbers(placed.occurrence, placed.step);
        let number_of = |index: u32| numbers.start + index;
        let members = placed.members.iter().map(|(index, _)| number_of(*index));
        let run = members
            .clone()
            .map(|m| live.plan.task(m).run)
            .max()
            .unwrap_or(0)
            + 1;
        // All members of a gang have to go on from the same checkpoint.
        let checkpoint = live.plan.task(number_of(placed.members[0].0)).checkpoint;
        if !std::mem::replace(&mut live.plan.begun, true) {
            let waited_ms = view.unix_ms.saturating_sub(live.job.accepted_ms);
            self.waits.push(Duration::from_millis(waited_ms));
        }
        self.changed.insert(placed.job.clone());
        for (index, worker) in &placed.members {
            let Some(session) = self.fleet.get(worker).map(|w| w.session) else {
                continue;
            };
            let task = TaskId {
                job: placed.job.clone(),
                occurrence: placed.occurrence,
                step: placed.step,
                index: *index,
            };
            let plan = live.plan.tasks.entry(number_of(*index)).or_default();
            plan.run = run;
            plan.place = Some(Place {
                worker: worker.clone(),
                session,
            });
            let checkpoint = if placed.gang {
                checkpoint.clone()
            } else {
                plan.checkpoint.clone()
            };
            let run = RunId { task, number: run };
            self.fleet
                .place(view.now, worker, run.clone(), placed.needs, &checkpoint);
            log::info!(
                job:% = placed.job, run:% = run, worker:% = worker, session,
                waited_ms = view.unix_ms.saturating_sub(live.job.accepted_ms),
                configuration = view.configuration.version,
                slowness = self.run_times.speeds().slowness(worker),
                resumed = !checkpoint.is_empty();
                "run_ordered"
            );
            let ticket =
                self.tickets
                    .get_mut()
                    .held(&placed.job, placed.occurrence, placed.step, worker);
            let start = TaskStart {
                ticket,
                run,
                payload: live.job.request.payload.clone(),
                checkpoint,
            };
            self.orders
                .entry(worker.clone())
                .or_default()
                .starts
                .push(start);
        }
    }
}
