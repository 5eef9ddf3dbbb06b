//! The planner decides which tasks run on which workers.
//!
//! It is fed jobs, agents' reports and the configuration in force, and is asked periodically what
//! to do. Every decision is stored in the plan before the matching order is sent, so a successor
//! knows every run that may exist.

mod run_ends;
mod silence;

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
        Attention, Contact, Demand, Fleet, FleetWorker, Job, JobPlan, JobRecord, JobTable, Order,
        Pace, Place, Report, Room, RunId, RunTimes, SessionState, SpeedSample, TaskId, TaskPlan,
        TaskStart, WaitReason, Waiting,
        demands::Demands,
        departure,
        idle_workers::{AttentionChanges, IdleWorkers},
        late_gangs,
        live::{LiveJob, guaranteed_jobs},
        load::PeakLoad,
        overdue,
        pass::{Observations, Pass, Placed},
        queues::Queues,
        recent_failures::RecentFailures,
        tickets::Tickets,
    },
};

/// Number of runs that have to fail in a row on a worker, of whatever jobs, before it is
/// quarantined.
const QUARANTINE_AFTER_FAILURES: u32 = 2;

/// Age in milliseconds up to which a stored report shows that its agent is alive: agents report
/// again within 1.2 s, and the hosts' clocks differ a little.
const RECENT_REPORT_MS: u64 = 2_500;

/// Error in seconds of the measured time between two checkpoints: an agent checks every 0.4 s.
const PACE_TIMING_ERROR_S: f64 = 0.3;

/// How long a worker stays quarantined.
const QUARANTINE_TIME: Duration = Duration::from_secs(6);

/// Limits that the planner applies. All come from the deployment's settings.
#[derive(Clone, Debug)]
pub struct PlannerBounds {
    /// Silence of an agent after which its session is closed.
    pub max_silence: Duration,
    /// Time from the storing of a fence to the expiry of the last lease, by the slowest clock.
    pub lease_expiry: Duration,
    /// How long the state of an ended job is kept.
    pub keep_ended: Duration,
    /// The factor by which a task's run time grows outside the rack that holds its data, or when
    /// its gang is spread over several racks.
    pub far_factor: f64,
    /// The amount of work after which a run saves a checkpoint; zero if it isn't known.
    pub checkpoint_every: Duration,
    /// The number of idle workers whose agents follow closely whatever the load, for each share of
    /// the pool that is reserved against a priority.
    pub min_close_workers: usize,
}

/// The inputs of a decision besides jobs and reports.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The time on the planner's own clock.
    pub now: Timestamp,
    /// The wall clock time in Unix milliseconds.
    pub unix_ms: u64,
    /// The configuration in force.
    pub configuration: &'a Configuration,
    /// Failure domains that are out of service.
    pub evacuated: &'a HashSet<Name>,
    /// Whether the configuration is proven to be in force. Nothing is started without that.
    pub is_fresh: bool,
    /// The time since which reports have been read without interruption. `None` while they can't be
    /// read: the silence of agents then says nothing about them.
    pub reports_since: Option<Timestamp>,
    /// The store's usual delay before it answers.
    pub store_delay: Duration,
}

/// An order for the agent of one worker.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerOrder {
    /// The name of the worker.
    pub worker: Name,
    /// The session that the order is for.
    pub session: u64,
    /// The content of the order.
    pub order: Order,
}

/// The planner's decisions.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Decisions {
    /// Plan records that have to be stored before the orders are sent.
    pub plans: Vec<StoreRecord>,
    /// Orders to send after that.
    pub orders: Vec<WorkerOrder>,
    /// Workers that are gone and whose reports can be removed.
    pub gone_workers: Vec<Name>,
    /// Questions for the advisor.
    pub questions: Vec<AdviceQuestion>,
    /// How long each job whose first tasks start now has waited.
    pub waits: Vec<Duration>,
    /// The number of tasks that start where they also show the speed of a worker that is hardly known.
    pub probe_starts: u32,
    /// The number of jobs of which a gang or a task is moved to faster workers.
    pub gangs_moved: u32,
    /// Why each waiting job waits, by the first of its demands that was not served.
    pub waiting: HashMap<Name, Waiting>,
}

/// The planner's state.
pub struct Planner {
    bounds: PlannerBounds,
    jobs: BTreeMap<Name, LiveJob>,
    fleet: Fleet,
    changed: HashSet<Name>,
    orders: BTreeMap<Name, Order>,
    run_times: RunTimes,
    peaks: PeakLoad,
    idle_workers: IdleWorkers,
    failures: RecentFailures,
    tickets: RefCell<Tickets>,
    waits: Vec<Duration>,
    probe_starts: u32,
    gangs_moved: u32,
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
            idle_workers: IdleWorkers::new(now, book.jobs().next().is_some()),
            failures: RecentFailures::default(),
            tickets: RefCell::default(),
            waits: Vec::new(),
            probe_starts: 0,
            gangs_moved: 0,
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

    /// Applies a record of the jobs topic that another process wrote.
    pub fn apply_job_record(&mut self, record: &JobRecord) {
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
            // Only the planner writes plans, and its own state is newer than what the store
            // returns.
            JobRecord::Accepted(_)
            | JobRecord::Plan(..)
            | JobRecord::Planner(_)
            | JobRecord::Entry(_)
            | JobRecord::EntryGone(_) => {}
        }
    }

    /// Applies a report that an agent has just sent. Returns whether it contains news for which the
    /// next pass should not wait for its regular time.
    pub fn apply_report(&mut self, now: Timestamp, report: Report) -> bool {
        let worker = report.heartbeat.worker.clone();
        let mut has_news = self.take_report(now, report);
        if let Some(known) = self.fleet.get_mut(&worker) {
            has_news |= !std::mem::replace(&mut known.is_known_alive, true);
        }
        has_news
    }

    /// Applies the newest stored report of an agent when the planner takes over.
    ///
    /// The worker may be long gone. Unless the report is recent, nothing is started on the worker
    /// before its agent reports again.
    pub fn apply_stored_report(&mut self, now: Timestamp, unix_ms: u64, report: Report) {
        let worker = report.heartbeat.worker.clone();
        let age_ms = unix_ms.abs_diff(report.sent_ms);
        self.take_report(now, report);
        if let Some(known) = self.fleet.get_mut(&worker) {
            known.is_known_alive |= age_ms < RECENT_REPORT_MS;
        }
    }

    /// Applies a report and returns whether it contains news.
    fn take_report(&mut self, now: Timestamp, report: Report) -> bool {
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
            // The pending order was meant for the previous session. Its confirmation would let the
            // restarted worker drop run ends that the planner hasn't seen.
            self.orders.remove(&worker);
        }
        let ends = report.ends.len();
        let paces = report.paces.clone();
        let before = self.fleet.get(&worker).and_then(|w| w.report.as_ref());
        let has_news = report.has_news_since(before);
        let over = self.fleet.report(now, report, needs_of);
        let has_news = has_news || !over.is_empty();
        self.learn_paces(&worker, &paces);
        self.learn_task_times(&worker);
        for run in over {
            self.run_over(now, run);
        }
        if let Some(known) = self.fleet.get_mut(&worker) {
            if known.failures >= QUARANTINE_AFTER_FAILURES && known.quarantined_until <= now {
                known.quarantined_until = now + QUARANTINE_TIME;
                // A single further failure is enough for the next quarantine.
                known.failures = QUARANTINE_AFTER_FAILURES - 1;
                log::warn!(worker:% = worker, for_ms:? = QUARANTINE_TIME; "worker_set_aside");
            }
            let confirmed = known.confirmed;
            if ends > 0 {
                self.orders.entry(worker).or_default().confirmed = confirmed;
            }
        }
        has_news
    }

    /// Learns the speed of workers from the pace of the runs on one of them.
    ///
    /// A run on another rack than its data is slow on any worker, and so is a gang over several racks
    /// that should run in one, so their pace is ignored.
    fn learn_paces(&mut self, worker: &Name, paces: &[Pace]) {
        let every_s = self.bounds.checkpoint_every.as_secs_f64();
        for pace in paces {
            let Some((run, workers)) = self.timed_workers(worker, &pace.run) else {
                continue;
            };
            let work_s = f64::from(pace.intervals) * every_s;
            let took_s = pace.took_ms as f64 / 1_000.0;
            if work_s <= 0.0 || took_s <= 0.0 {
                continue;
            }
            self.run_times.speeds_mut().observe(SpeedSample {
                run,
                ratio: took_s / work_s,
                deviation: PACE_TIMING_ERROR_S / took_s,
                workers,
            });
        }
    }

    /// Returns the run or gang that the pace of a run on `worker` measures, and its workers. Returns
    /// `None` if the run is slowed down by where it runs, or if the workers of its gang are not known
    /// any more.
    fn timed_workers(&self, worker: &Name, run: &RunId) -> Option<(RunId, Vec<Name>)> {
        let live = self.jobs.get(&run.task.job)?;
        let shape = live.job.request.steps.get(run.task.step as usize)?;
        let rack_of = |worker: &Name| self.fleet.get(worker).and_then(FleetWorker::rack);
        let mut workers = vec![worker.clone()];
        if shape.gang && shape.tasks > 1 {
            let numbers = live.job.task_numbers(run.task.occurrence, run.task.step);
            let places = numbers.map(|number| {
                let task = live.plan.tasks.get(&number)?;
                let place = task.place.as_ref()?;
                (task.run == run.number).then(|| place.worker.clone())
            });
            workers = places.collect::<Option<Vec<Name>>>()?;
            workers.sort_unstable();
            workers.dedup();
        }
        let mut racks: Vec<Option<&Name>> = workers.iter().map(rack_of).collect();
        racks.dedup();
        let near = match &shape.rack {
            Some(rack) => racks == [Some(rack)],
            None => !shape.one_rack || racks.len() == 1,
        };
        near.then(|| (run.of_gang(shape.gang), workers))
    }

    /// Records how long the tasks on a worker would take on a full-speed worker, by their progress.
    fn learn_task_times(&mut self, worker: &Name) {
        let speeds = self.run_times.speeds();
        let runs = self.fleet.get(worker).into_iter().flat_map(|w| &w.runs);
        let measured = runs.filter_map(|(run, state)| Some((run.clone(), state.total_ms?)));
        let measured: Vec<(RunId, u64)> = measured.collect();
        for (run, total_ms) in measured {
            // All members of a gang progress at the speed of the slowest one.
            let slowness = match self.timed_workers(worker, &run) {
                Some((_, workers)) => {
                    let slowness = workers.iter().map(|w| speeds.slowness(w));
                    slowness.fold(0.0, f64::max)
                }
                None => speeds.slowness(worker),
            };
            if let Some(live) = self.jobs.get_mut(&run.task.job) {
                live.record_task_ms(&run.task, (total_ms as f64 / slowness) as u64);
            }
        }
    }

    /// Records the offset at which an order has been stored.
    pub fn order_stored(&mut self, now: Timestamp, order: &WorkerOrder, offset: u64) {
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

    /// Records that earlier planners can't store an order for `worker` at offset `end` or later.
    pub fn set_orders_end(&mut self, worker: &str, end: u64) {
        self.fleet.set_orders_end(worker, end);
    }

    /// Returns the workers as the planner knows them.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns the number of jobs that have not started any task.
    pub fn waiting(&self) -> usize {
        let jobs = self.jobs.values();
        jobs.filter(|l| l.plan.outcome.is_none() && !l.plan.begun)
            .count()
    }

    /// Returns the number of jobs that have started and not ended.
    pub fn running(&self) -> usize {
        let jobs = self.jobs.values();
        jobs.filter(|l| l.plan.outcome.is_none() && l.plan.begun)
            .count()
    }

    /// Returns the decisions for the current state.
    pub fn decide(&mut self, view: &View<'_>) -> Decisions {
        for run in self.fleet.expire(view.now, self.bounds.lease_expiry) {
            self.run_over(view.now, run);
        }
        self.fence_silent_agents(view);
        self.ask_doubtful_domains(view);
        self.finish_jobs(view);
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
        decisions.plans.extend(self.remove_ended_jobs(view));
        decisions.waits = std::mem::take(&mut self.waits);
        decisions.probe_starts = std::mem::take(&mut self.probe_starts);
        decisions.gangs_moved = std::mem::take(&mut self.gangs_moved);
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
        decisions.gone_workers = self.fleet.forget(view.now, self.bounds.keep_ended);
        for worker in &decisions.gone_workers {
            self.run_times.remove_worker(worker);
        }
        decisions
    }

    fn remove_ended_jobs(&mut self, view: &View<'_>) -> Vec<StoreRecord> {
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
            self.tickets.get_mut().remove_job(&name);
            log::debug!(job:% = name; "job_state_removed");
            records.extend(JobRecord::tombstones(&name));
        }
        records
    }

    /// Starts the tasks that fit and returns why the other jobs wait. Without a fresh proof of the
    /// configuration nothing is started, because a failure domain may have been taken out of
    /// service in the meantime.
    fn start_tasks(&mut self, view: &View<'_>) -> HashMap<Name, Waiting> {
        let guaranteed = guaranteed_jobs(&self.jobs, view.configuration);
        self.failures.remove_old(view.now);
        let learned = Observations {
            times: &self.run_times,
            peaks: &self.peaks,
            failures: &self.failures,
        };
        let mut pass = Pass::new(&self.fleet, &self.jobs, &guaranteed, &learned, view);
        let queues = Queues::of(view.configuration);
        let typical_slowness = pass.typical_slowness();
        let builder = Demands {
            bounds: &self.bounds,
            view,
            queues: &queues,
            times: &self.run_times,
            guaranteed: &guaranteed,
            idle: pass.is_idle(),
            typical_slowness: &typical_slowness,
            workers_faulty: self
                .failures
                .are_workers_faulty(self.fleet.workers().count()),
        };
        let mut demands = builder.all(&self.jobs);
        if !view.is_fresh {
            let stale = |(before, demand): (usize, &Demand<'_>)| {
                let waiting = demand.waiting(before, WaitReason::ConfigurationStale);
                (demand.job.clone(), waiting)
            };
            return demands.iter().enumerate().map(stale).collect();
        }
        self.peaks
            .observe(view.now, &pass.load(&self.jobs, &demands));
        self.apply_tickets(view.now, &queues, pass.rooms(), &mut demands);
        let overdue = overdue::runs_to_stop(&self.fleet, &self.jobs, &builder, &mut pass);
        let mut outcome = pass.run(&demands);
        let late = late_gangs::runs_to_stop(&self.fleet, &self.jobs, &builder, &mut pass);
        let leaving = departure::runs_to_stop(&self.fleet, &self.jobs, &builder, &mut pass);
        let mut changes = self.idle_workers.changes(
            view.now,
            &self.fleet,
            pass.rooms(),
            self.bounds.min_close_workers,
        );
        // The moves of overdue and leaving runs ask for workers too.
        changes.asked.append(&mut outcome.asked);
        changes.asked.append(&mut pass.take_asked());
        self.stop_overdue(overdue);
        self.probe_starts += outcome.probe_starts;
        self.move_faster(late);
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
        self.change_attention(view.now, changes);
        outcome.waiting
    }

    /// Asks the agents of idle workers for a report, or releases them.
    fn change_attention(&mut self, now: Timestamp, changes: AttentionChanges) {
        let released = changes.released.len();
        let mut asked = 0;
        for worker in changes.asked {
            asked += u32::from(self.ask(now, worker));
        }
        for worker in changes.released {
            if let Some(known) = self.fleet.get_mut(&worker) {
                known.contact = Contact::Seldom;
                known.released_at = Some(now);
                self.orders.entry(worker).or_default().attention = Some(Attention::Seldom);
            }
        }
        if asked > 0 || released > 0 {
            let close = self
                .fleet
                .workers()
                .filter(|(_, w)| w.is_followed_closely());
            log::info!(asked, released, close = close.count(); "attention_changed");
        }
    }

    /// Asks the agent of a worker for a report if it follows seldom; returns whether it does.
    fn ask(&mut self, now: Timestamp, worker: Name) -> bool {
        let known = self.fleet.get_mut(&worker);
        let Some(known) = known.filter(|w| w.contact == Contact::Seldom) else {
            return false;
        };
        known.contact = Contact::Asked(now);
        self.orders.entry(worker).or_default().attention = Some(Attention::Close);
        true
    }

    /// Stops overdue runs. Their tasks wait for a new start once the runs are over.
    fn stop_overdue(&mut self, runs: Vec<(Name, RunId)>) {
        for (worker, run) in runs {
            if let Some(live) = self.jobs.get_mut(&run.task.job) {
                live.overdue_stopped.insert(run.task.clone());
                live.failed_on.push(worker.clone());
            }
            self.stop(&worker, &run, "overdue");
        }
    }

    /// Stops runs that begin again on faster workers once they are over.
    fn move_faster(&mut self, runs: Vec<(Name, RunId)>) {
        for (worker, run) in runs {
            if let Some(live) = self.jobs.get_mut(&run.task.job)
                && !std::mem::replace(&mut live.moved_faster, true)
            {
                self.gangs_moved += 1;
            }
            self.stop(&worker, &run, "moved_faster");
        }
    }

    /// Returns the number of workers of each speed, in steps from nominal.
    pub fn speed_steps(&self) -> BTreeMap<i32, usize> {
        let mut steps = BTreeMap::new();
        for (worker, _) in self.fleet.workers() {
            *steps
                .entry(self.run_times.speeds().step(worker))
                .or_default() += 1;
        }
        steps
    }

    /// Limits the demands of queues whose policy asks the advisor to workers with a ticket.
    fn apply_tickets(
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
            demand.allowed_workers = Some(held.cloned().collect());
        }
    }

    /// Applies the advisor's answer to a question; `None` if it didn't answer.
    pub fn apply_advice(
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
        // All members of a gang have to resume from the same checkpoint.
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
            let ticket = self.tickets.get_mut().ticket_for_start(
                &placed.job,
                placed.occurrence,
                placed.step,
                worker,
            );
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
