//! The planner decides which tasks run on which workers.
//!
//! It is fed jobs, agents' reports and the configuration in force, and is asked periodically what
//! to do. Every decision is stored in the plan before the matching order is sent, so a successor
//! knows every run that may exist.

mod run_ends;
mod silence;
mod start_results;

use std::{cell::RefCell, collections::BTreeMap, time::Duration};

use crate::{
    port::{
        AdviceAnswer,
        AdviceQuestion,
        Configuration,
        EndKind,
        Heartbeat,
        StoreRecord, //
    },
    utils::{HashMap, HashSet, Name, Timestamp},
    workload::{
        Attention, Contact, Demand, EvictionCounts, ExpectedWaits, Fleet, FleetWorker, Job,
        JobRecord, JobTable, JobWait, KnownJob, LoadRecord, Order, Pace, Place, Report,
        ReportReads, Room, RunId, RunTimes, SessionState, SpeedEstimate, TaskId, TaskPlan,
        TaskStart, WaitEstimator, WaitReason, Waiting, WorkerSpeeds, WorkerStatus, WorkspaceShare,
        admission::PlannerWork,
        demands::Demands,
        departure,
        eviction::Sources,
        eviction_records::EvictionRecords,
        failed_starts::FailedStarts,
        idle_workers::{AttentionChanges, IdleWorkers},
        job_waits::JobWaits,
        late_gangs,
        live::{LiveJob, guaranteed_jobs},
        load::PeakLoad,
        overdue,
        pass::{Observations, Pass, PassOutcome, Placed},
        queues::Queues,
        recent_failures::RecentFailures,
        shares::{ShareLog, Shares},
        speed_samples::{SpeedSampler, TimedRun},
        tickets::Tickets,
        worker_status::worker_statuses,
    },
};

/// Number of failed runs in a row that have to be held against a worker, of whatever jobs, before it is
/// quarantined.
const QUARANTINE_AFTER_FAILURES: u32 = 2;

/// Age in milliseconds up to which a stored report shows that its agent is alive: agents report
/// again within 1.2 s, and the hosts' clocks differ a little.
const RECENT_REPORT_MS: u64 = 2_500;

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
    /// Since when reports have been read without interruption, and which are certainly known. While
    /// those of an agent can't be read, its silence says nothing about it.
    pub report_reads: &'a ReportReads,
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
    /// The waits of the jobs of which nothing runs although the turn of one of their tasks has come.
    pub job_waits: HashMap<Name, JobWait>,
    /// The events that count the starts that have failed since the last pass, by their reasons.
    pub failed_starts: Vec<&'static str>,
    /// The share of each workspace that holds or asks for something, before this pass's starts.
    pub shares: Vec<WorkspaceShare>,
    /// What the evictions of this pass and the ends of jobs add to the metrics.
    pub evictions: EvictionCounts,
}

/// The planner's state.
pub struct Planner {
    bounds: PlannerBounds,
    jobs: BTreeMap<Name, LiveJob>,
    /// Jobs of which only the cancellation has been read.
    cancelled_first: HashSet<Name>,
    fleet: Fleet,
    changed: HashSet<Name>,
    orders: BTreeMap<Name, Order>,
    run_times: RunTimes,
    samples: SpeedSampler,
    peaks: PeakLoad,
    idle_workers: IdleWorkers,
    failures: RecentFailures,
    failed_starts: FailedStarts,
    tickets: RefCell<Tickets>,
    share_log: ShareLog,
    waits: Vec<Duration>,
    job_waits: JobWaits,
    wait_estimator: WaitEstimator,
    expected_waits: Vec<ExpectedWaits>,
    /// The load as it was last estimated, without what no job would be refused by.
    load: LoadRecord,
    /// The workspaces that are above their entitlement.
    above: HashSet<Name>,
    eviction_records: EvictionRecords,
    fragmented_accelerators: u64,
    probe_starts: u32,
    gangs_moved: u32,
}

impl Planner {
    /// Returns a planner that takes over all jobs of `book`.
    pub fn take_over(bounds: PlannerBounds, book: &JobTable, now: Timestamp) -> Self {
        let mut planner = Self {
            bounds,
            jobs: BTreeMap::new(),
            cancelled_first: HashSet::default(),
            fleet: Fleet::default(),
            changed: HashSet::default(),
            orders: BTreeMap::new(),
            run_times: RunTimes::default(),
            samples: SpeedSampler::default(),
            peaks: PeakLoad::default(),
            idle_workers: IdleWorkers::new(now, book.jobs().next().is_some()),
            failures: RecentFailures::default(),
            failed_starts: FailedStarts::default(),
            tickets: RefCell::default(),
            share_log: ShareLog::default(),
            waits: Vec::new(),
            job_waits: JobWaits::default(),
            wait_estimator: WaitEstimator::default(),
            expected_waits: Vec::new(),
            load: LoadRecord::default(),
            above: HashSet::default(),
            eviction_records: EvictionRecords::default(),
            fragmented_accelerators: 0,
            probe_starts: 0,
            gangs_moved: 0,
        };
        for (name, entry) in book.jobs() {
            if let Some(job) = &entry.job {
                planner.adopt(now, name, job.clone(), entry);
            } else if entry.cancelled {
                planner.cancelled_first.insert(name.clone());
            }
        }
        planner
    }

    fn adopt(&mut self, now: Timestamp, name: &Name, job: Box<Job>, known: &KnownJob) {
        let plan = known.plan.clone();
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
        live.cancelled = known.cancelled;
        live.ended_at = plan.outcome.map(|_| now);
        live.is_end_stored = plan.outcome.is_some();
        live.end_stored_at = known.ended_at;
        live.plan = plan;
        self.jobs.insert(name.clone(), live);
    }

    /// Applies a record of the jobs topic that another process wrote.
    pub fn apply_job_record(&mut self, record: &JobRecord) {
        match record {
            JobRecord::Accepted(job) if !self.jobs.contains_key(&job.name) => {
                let mut live = LiveJob::new(job.clone());
                live.cancelled = self.cancelled_first.remove(&job.name);
                self.jobs.insert(job.name.clone(), live);
            }
            JobRecord::Cancelled(name) => match self.jobs.get_mut(name) {
                Some(live) => live.cancelled = true,
                // The newest records of all keys come in the order of the keys.
                None => {
                    self.cancelled_first.insert(name.clone());
                }
            },
            // Only the planner writes plans, and its own state is newer than what the store returns. The
            // record shows which of that is stored.
            JobRecord::Plan(name, Some(plan)) if plan.outcome.is_some() => {
                if let Some(live) = self.jobs.get_mut(name) {
                    live.is_end_stored = true;
                }
            }
            JobRecord::Accepted(_)
            | JobRecord::Plan(..)
            | JobRecord::Planner(_)
            | JobRecord::Entry(_)
            | JobRecord::EntryGone(_)
            | JobRecord::Load(_) => {}
        }
    }

    /// Applies a report that an agent has just sent. Returns whether it contains news for which the
    /// next pass should not wait for its regular time.
    pub fn apply_report(&mut self, now: Timestamp, report: Report) -> bool {
        if !self.fleet.is_newer(&report) {
            return false;
        }
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
        if !self.fleet.is_newer(&report) {
            return;
        }
        let worker = report.heartbeat.worker.clone();
        let age_ms = unix_ms.abs_diff(report.sent_ms);
        self.take_report(now, report);
        if let Some(known) = self.fleet.get_mut(&worker) {
            known.is_known_alive |= age_ms < RECENT_REPORT_MS;
        }
    }

    /// Applies a report that is newer than what is known and returns whether it contains news.
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
        let born_before = before.map(|r| r.heartbeat.born_ms);
        let (heartbeat, told) = (report.heartbeat.clone(), report.speed);
        let totals = report.ends.iter().zip(&report.end_totals_ms);
        let totals = totals.filter(|(end, _)| end.kind == EndKind::Done);
        let totals: Vec<(RunId, u64)> = totals.map(|(end, ms)| (end.run.clone(), *ms)).collect();
        let over = self.fleet.report(now, report, needs_of);
        if born_before.is_some_and(|born_ms| born_ms != heartbeat.born_ms) {
            self.failed_starts.remove_worker(&worker);
        }
        self.observe_started(&worker);
        let has_news = has_news || !over.is_empty();
        self.restore_speed(born_before, &heartbeat, told);
        self.learn_speeds(&worker, &paces);
        for (run, total_ms) in totals {
            if over.iter().any(|o| o.run == run) {
                self.learn_total(&worker, &run, total_ms);
            }
        }
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

    /// Learns the speed of workers from the runs on one of them: from the time between checkpoints,
    /// and from the progress of the runs.
    fn learn_speeds(&mut self, worker: &Name, paces: &[Pace]) {
        let every_s = self.bounds.checkpoint_every.as_secs_f64();
        let (fleet, jobs) = (&self.fleet, &self.jobs);
        let speeds = self.run_times.speeds_mut();
        for pace in paces {
            if let Some(timed) = TimedRun::of(fleet, jobs, worker, &pace.run) {
                self.samples.observe_pace(speeds, &timed, pace, every_s);
            }
        }
        let runs = fleet.get(worker).into_iter().flat_map(|w| &w.runs);
        for (run, state) in runs.filter(|(_, state)| !state.stopping) {
            let Some(total_ms) = state.total_ms else {
                continue;
            };
            if let Some(timed) = TimedRun::of(fleet, jobs, worker, run) {
                self.samples.observe_progress(speeds, &timed, total_ms);
            }
        }
    }

    /// Learns the speed of workers from the time that the whole work of a run took by its progress.
    fn learn_total(&mut self, worker: &Name, run: &RunId, total_ms: u64) {
        if let Some(timed) = TimedRun::of(&self.fleet, &self.jobs, worker, run) {
            let speeds = self.run_times.speeds_mut();
            self.samples.observe_progress(speeds, &timed, total_ms);
        }
    }

    /// Applies what the report says about the speed of its worker: the estimate that an earlier
    /// planner has told the agent, or that the worker has booted again.
    fn restore_speed(
        &mut self,
        before: Option<u64>,
        report: &Heartbeat,
        told: Option<SpeedEstimate>,
    ) {
        let worker = &report.worker;
        if before.is_some_and(|born_ms| born_ms != report.born_ms) {
            self.run_times.speeds_mut().remove_worker(worker);
            self.samples.remove_worker(worker);
        }
        if let Some(estimate) = told {
            self.run_times.speeds_mut().restore(worker, estimate);
        }
    }

    /// Records how long the tasks on a worker would take on a full-speed worker, by their progress.
    fn learn_task_times(&mut self, worker: &Name) {
        let speeds = self.run_times.speeds();
        let runs = self.fleet.get(worker).into_iter().flat_map(|w| &w.runs);
        let measured = runs.filter_map(|(run, state)| Some((run.clone(), state.total_ms?)));
        let measured: Vec<(RunId, u64)> = measured.collect();
        for (run, total_ms) in measured {
            // All members of a gang progress at the speed of the slowest one.
            let slowness = match TimedRun::of(&self.fleet, &self.jobs, worker, &run) {
                Some(timed) => {
                    let slowness = timed.workers().iter().map(|w| speeds.slowness(w));
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
        let is_current = worker.session == order.session;
        for stop in order.order.stops.iter().filter(|_| is_current) {
            if let Some(run) = worker.runs.get_mut(stop) {
                run.stop_stored_at = Some(now);
            }
        }
        if order.order.fence && is_current && worker.session_state == SessionState::FenceOrdered {
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

    /// Returns the learned speeds of workers.
    pub fn speeds(&self) -> &WorkerSpeeds {
        self.run_times.speeds()
    }

    /// Returns the state of each worker for operators.
    pub fn worker_statuses(&self, now: Timestamp) -> Vec<WorkerStatus> {
        worker_statuses(now, &self.fleet, self.run_times.speeds())
    }

    /// Returns whether the planner knows a job.
    pub fn has_job(&self, job: &str) -> bool {
        self.jobs.contains_key(job)
    }

    /// Returns the number of jobs that have not started any task.
    pub fn waiting(&self) -> usize {
        let jobs = self.jobs.values();
        jobs.filter(|l| l.plan.outcome.is_none() && !l.plan.begun)
            .count()
    }

    /// Returns the load as it was last estimated, without what no job would be refused by.
    pub fn load(&self, term: u64, unix_ms: u64) -> LoadRecord {
        LoadRecord {
            term,
            at_ms: unix_ms,
            ..self.load.clone()
        }
    }

    /// Returns the longest time that new work of any service and priority is expected to wait.
    pub fn longest_expected_wait(&self) -> Duration {
        let longest = self.expected_waits.iter().map(ExpectedWaits::longest_ms);
        Duration::from_millis(longest.max().unwrap_or(0))
    }

    fn set_expected_waits(&mut self, waits: Vec<ExpectedWaits>, configuration: &Configuration) {
        let mut above: Vec<Name> = self.above.iter().cloned().collect();
        above.sort_unstable();
        let load = LoadRecord {
            waits: waits.clone(),
            above,
            ..LoadRecord::default()
        };
        self.load = load.reduced(configuration);
        self.expected_waits = waits;
    }

    /// Returns the number of jobs that have started and not ended.
    pub fn running(&self) -> usize {
        let jobs = self.jobs.values();
        jobs.filter(|l| l.plan.outcome.is_none() && l.plan.begun)
            .count()
    }

    /// Returns the decisions for the current state.
    pub fn decide(&mut self, view: &View<'_>) -> Decisions {
        for run in self
            .fleet
            .expire(view.now, self.bounds.lease_expiry, view.report_reads)
        {
            self.run_over(view.now, run);
        }
        self.fence_silent_agents(view);
        self.ask_doubtful_domains(view);
        self.stop_unanswered(view);
        self.finish_jobs(view);
        let (waiting, shares) = self.start_tasks(view);
        let max_silence = self.bounds.max_silence * 2;
        let job_waits =
            self.job_waits
                .observe(view, &self.jobs, &self.fleet, &waiting, max_silence);
        Decisions {
            waiting,
            job_waits,
            failed_starts: self.job_waits.take_failures(),
            shares,
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
        decisions.evictions = self
            .eviction_records
            .take_counts(self.fragmented_accelerators);
        decisions.probe_starts = std::mem::take(&mut self.probe_starts);
        decisions.gangs_moved = std::mem::take(&mut self.gangs_moved);
        decisions.questions = self.tickets.get_mut().take_questions();
        for (worker, order) in std::mem::take(&mut self.orders) {
            let known = self.fleet.get(&worker);
            let Some(session) = known.map(|w| w.session) else {
                continue;
            };
            if !order.is_empty() {
                let speed = self.speed_to_tell(&worker);
                decisions.orders.push(WorkerOrder {
                    worker,
                    session,
                    order: Order { speed, ..order },
                });
            }
        }
        decisions.gone_workers = self.fleet.forget(view.now, self.bounds.keep_ended);
        for worker in &decisions.gone_workers {
            self.run_times.remove_worker(worker);
            self.samples.remove_worker(worker);
            self.failed_starts.remove_worker(worker);
        }
        decisions
    }

    /// Returns the estimate of a worker's speed to send along with an order, if the agent doesn't keep
    /// a similar one already.
    fn speed_to_tell(&mut self, worker: &Name) -> Option<SpeedEstimate> {
        let speeds = self.run_times.speeds_mut();
        let estimate = speeds.estimate(worker)?;
        let report = self.fleet.get(worker)?.report.as_ref();
        let kept = report.and_then(|r| r.speed);
        if kept.is_some_and(|kept| !estimate.replaces(kept)) {
            return None;
        }
        speeds.told(worker);
        Some(estimate)
    }

    /// Removes the state of jobs whose end has been stored for long enough.
    ///
    /// The time of day may step and differs between hosts, so the age of an end is that of its first read
    /// by this process. See `docs/incidents/early-removal.md`.
    fn remove_ended_jobs(&mut self, view: &View<'_>) -> Vec<StoreRecord> {
        let mut old = Vec::new();
        for (name, live) in &mut self.jobs {
            if !live.is_end_stored || live.plan.outcome.is_none() {
                continue;
            }
            let stored_at = *live.end_stored_at.get_or_insert(view.now);
            let kept = view.now.since(stored_at);
            if kept > self.bounds.keep_ended && !live.plan.has_runs() {
                old.push((name.clone(), kept, live.plan.ended_ms));
            }
        }
        let mut records = Vec::new();
        for (name, kept, ended_ms) in old {
            self.jobs.remove(&name);
            self.tickets.get_mut().remove_job(&name);
            log::debug!(
                job:% = name, kept_ms = kept.as_millis() as u64,
                by_time_of_day_ms = view.unix_ms.saturating_sub(ended_ms);
                "job_state_removed"
            );
            records.extend(JobRecord::tombstones(&name));
        }
        records
    }

    /// Starts the tasks that fit. Returns why the other jobs wait, and the shares of the workspaces.
    /// Without a fresh proof of the configuration nothing is started, because a failure domain may
    /// have been taken out of service in the meantime.
    fn start_tasks(&mut self, view: &View<'_>) -> (HashMap<Name, Waiting>, Vec<WorkspaceShare>) {
        let guaranteed = guaranteed_jobs(&self.jobs, view.configuration);
        self.failures.remove_old(view.now);
        self.failed_starts.update(view.now);
        let learned = Observations {
            times: &self.run_times,
            peaks: &self.peaks,
            failures: &self.failures,
            failed_starts: &self.failed_starts,
        };
        let queues = Queues::of(view.configuration);
        let sources = Sources {
            fleet: &self.fleet,
            jobs: &self.jobs,
            times: &self.run_times,
            queues: &queues,
            failed_starts: &self.failed_starts,
            view: *view,
        };
        let mut pass = Pass::new(sources, &guaranteed, &learned);
        let typical_slowness = pass.typical_slowness();
        let builder = Demands {
            bounds: &self.bounds,
            view,
            queues: &queues,
            times: &self.run_times,
            failed_starts: &self.failed_starts,
            guaranteed: &guaranteed,
            idle: pass.is_idle(),
            typical_slowness: &typical_slowness,
            workers_faulty: self
                .failures
                .are_workers_faulty(self.fleet.workers().count()),
        };
        let mut demands = builder.all(&self.jobs);
        let shares = Shares::of(
            view.configuration,
            &self.fleet,
            pass.rooms(),
            &self.jobs,
            &demands,
        );
        if !view.is_fresh {
            let stale = |(before, demand): (usize, &Demand<'_>)| {
                let waiting = demand.waiting(before, WaitReason::ConfigurationStale);
                (demand.job.clone(), waiting)
            };
            let waiting = demands.iter().enumerate().map(stale).collect();
            self.set_expected_waits(Vec::new(), view.configuration);
            return (waiting, shares.list());
        }
        let load = pass.load(&demands);
        let decisions = shares.order(&mut demands);
        self.share_log.log(view.now, decisions);
        pass.apply_shares(&shares);
        let listed = shares.list();
        let above = listed.iter().filter(|s| s.is_above_entitlement());
        self.above = above.filter_map(|s| s.workspace.clone()).collect();
        let mut estimated_waits = None;
        if self.wait_estimator.is_due(view.now) {
            let work = PlannerWork {
                fleet: &self.fleet,
                jobs: &self.jobs,
                times: &self.run_times,
                view,
                queues: &queues,
                above: &self.above,
            };
            let pools = work.pools(pass.rooms(), &demands);
            let waits = self.wait_estimator.estimate(view.now, &pools);
            estimated_waits = Some(waits);
        }
        self.apply_tickets(view.now, &queues, pass.rooms(), &mut demands);
        let overdue = overdue::runs_to_stop(&self.fleet, &self.jobs, &builder, &mut pass);
        let accepts_tasks = |worker: &Name| {
            self.fleet
                .get(worker)
                .is_some_and(FleetWorker::accepts_tasks)
        };
        let recently_evicted_for = self
            .eviction_records
            .recent_demands(view.now, accepts_tasks);
        let mut outcome = pass.run(&demands, recently_evicted_for);
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
        if let Some(waits) = estimated_waits {
            self.set_expected_waits(waits, view.configuration);
        }
        self.peaks.observe(view.now, &load);
        self.stop_overdue(overdue);
        self.probe_starts += outcome.probe_starts;
        self.move_faster(late);
        for (worker, run) in leaving {
            self.stop(&worker, &run, "worker_leaves");
        }
        self.record_evictions(view.now, &mut outcome);
        let evicted = outcome.evictions.iter().map(|(_, run)| &run.task.job);
        // A job is counted once, however many of its runs this pass stops.
        let evicted: HashSet<Name> = evicted.cloned().collect();
        for job in evicted {
            if let Some(live) = self.jobs.get_mut(&job) {
                live.plan.evictions += 1;
            }
        }
        for (worker, run) in outcome.evictions {
            self.stop(&worker, &run, "evicted");
        }
        for placed in outcome.starts {
            self.start(view, &placed);
        }
        self.change_attention(view.now, changes);
        (outcome.waiting, listed)
    }

    /// Records the evictions of a pass, and logs for which demands no room was made.
    fn record_evictions(&mut self, now: Timestamp, outcome: &mut PassOutcome) {
        let records = &mut self.eviction_records;
        records.add(
            now,
            std::mem::take(&mut outcome.rooms_made),
            outcome.evictions.len(),
        );
        self.fragmented_accelerators = outcome.fragmented_accelerators;
        for not_made in &outcome.rooms_not_made {
            if records.is_new(not_made) {
                log::info!(
                    job:% = not_made.job, step = not_made.step, reason = not_made.reason.label();
                    "room_not_made"
                );
            }
        }
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
                live.record_failed_on(&worker);
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
