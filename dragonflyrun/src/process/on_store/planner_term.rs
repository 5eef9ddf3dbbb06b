//! The planner of an entry: claims a term, plans until the term is lost, and resigns on shutdown.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::{
        Arc,
        atomic::Ordering, //
    },
    time::{Duration, Instant},
};

use futures_util::future::join_all;
use tokio::{
    join,
    pin,
    sync::mpsc,
    time::{sleep, timeout}, //
};

use crate::{
    port::{
        AdviceQuestion, Advisor, Append, AppendError, Appended, PageRequest, Partition, ReadError,
        Store, StoreRecord, Writer,
    },
    process::on_store::{
        AppendRetry, Batch, BootTime, Follower, Lanes, StoreEntry,
        entry::{MAX_RETRY_DELAY, READ_WAIT, unix_ms, wait_for},
        term_writer::{APPEND_TIMEOUT, FIRST_SEQUENCE, TermWriter, WRITER},
    },
    utils::{HashMap, HashSet, Name, Timestamp, lock},
    workload::{
        Backoff, Candidate, Decisions, JobRecord, JobTable, JobWait, LoadPublisher, LoadRecord,
        OrderMessage, Planner, PlannerBounds, PlannerHeartbeat, Report, ReportReads, Term,
        TermStep, View, WithheldChange, WithheldStarts, WorkerOrder, decode, encode,
    },
};

/// Interval between the planner's heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// Longest time between two planning passes when nothing new has been read.
const PASS_INTERVAL: Duration = Duration::from_millis(100);

/// How often an entry checks whether the planner is silent.
const ELECTION_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Longest delay between two claims of an entry that the store refuses or doesn't answer. All entries
/// may claim at once, and their claims share a partition with the records of the planner.
const MAX_CLAIM_DELAY: Duration = Duration::from_millis(800);

/// Age up to which the last current read counts as fresh. A read is current if it returned
/// everything that the store had when the read was sent. Tasks are started only with a fresh read
/// of the operators' records, which limits the time during which they may still start in a failure
/// domain that is out of service to a few seconds. Heartbeats are sent only with a fresh read of
/// the jobs.
const MAX_FRESH_READ_AGE: Duration = Duration::from_millis(2_000);

const _: () = assert!(MAX_FRESH_READ_AGE.as_millis() > 2 * READ_WAIT.as_millis());

/// Age of the last current read of the operators' records above which the planner declares itself
/// stale, so that an entry with a fresher read takes over. It is longer than
/// [`MAX_FRESH_READ_AGE`] because changing the planner costs as much as a short pause in
/// starts.
const STALE_CONFIGURATION_AGE: Duration = Duration::from_millis(3_000);

/// Multiple of the store's usual delay that is added to [`STALE_CONFIGURATION_AGE`]: on a slow
/// store every entry reads late, and a change of planner would not help.
const STALE_AGE_STORE_DELAYS: u32 = 4;

/// Time without a read of a partition of reports, after one that succeeded, above which the planner
/// declares itself impaired. It is as long as for the configuration, for the same reason.
const MAX_UNREAD_AGE: Duration = STALE_CONFIGURATION_AGE;

/// The same time if the planner hasn't read the partition since it took over. A new planner gets more
/// time, so that the term doesn't pass on too often while reads fail at some entries by chance.
const MAX_FIRST_READ_AGE: Duration = Duration::from_secs(10);

/// Time limit for the reads that show a candidate that it can read reports. It is shorter than that of
/// the planner's reads: on a store that is slow altogether no candidate does better.
const REPORT_PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Delay after such reads have failed for the first time.
const MIN_PROBE_DELAY: Duration = Duration::from_millis(500);

/// Longest of these delays. On the largest fleet the reads of all entries, one of each partition of
/// reports, are then about a twentieth of the store's reading calls.
const MAX_PROBE_DELAY: Duration = Duration::from_secs(5);

/// Maximum size of the starts in one record of an order: half of what the store allows for a record, so
/// that the rest of the order, and a single start with a large payload, fit as well.
const MAX_ORDER_BYTES: usize = 128 << 10;

/// Maximum size of the records of orders in one append, half of what the store allows for a call.
const MAX_ORDER_APPEND_BYTES: usize = 1 << 20;

/// Silence after which an agent's session is closed. An agent reports every 1.2 s or more often,
/// and on a slow store at least every 2.6 s.
const MAX_AGENT_SILENCE: Duration = Duration::from_millis(3_000);

/// Number of idle workers whose agents follow closely whatever the load, for each share of the pool
/// that is reserved against a priority: about a rack, so that a gang that needs one can start.
const MIN_CLOSE_WORKERS: usize = 20;

/// How much slower another host's clock may run than the planner's, as the ratio of the planner's rate
/// to the other's.
const MAX_CLOCK_RATE_RATIO: f64 = 1.02;

/// Margin added to the time after which a lease has expired, for steps in either clock.
const CLOCK_STEP_MARGIN: Duration = Duration::from_millis(150);

/// How long a read of reports waits for a new one. A connection that has gone silent is noticed
/// only after this time.
const REPORT_WAIT: Duration = Duration::from_millis(400);

/// Time after which a pending read of reports is overdue. Until it returns, missing reports are no
/// sign that an agent is silent.
const REPORT_READ_OVERDUE: Duration = Duration::from_millis(1_300);

/// The store's usual delay up to which the load record is appended without a plan.
const MAX_LONE_LOAD_DELAY: Duration = Duration::from_millis(100);
/// Time between two lists of the workers and their speeds for operators. Listing a thousand workers
/// in each pass would take a noticeable part of the pass.
const WORKER_LIST_INTERVAL: Duration = Duration::from_secs(1);

/// How long a new planner waits for the partitions of orders, and then for those of reports, before it
/// plans without those that are down. Callers of urgent jobs expect a start within seconds, and on a slow
/// store all partitions answer in that time.
const MAX_TAKE_OVER_WAIT: Duration = Duration::from_millis(1_500);

/// A planner term held by this entry.
pub(super) struct PlannerTerm<S, A> {
    entry: Arc<StoreEntry<S, A>>,
    term: Term,
    lanes: Lanes,
    planner: RefCell<Planner>,
    writer: TermWriter<S, A>,
    senders: RefCell<HashMap<u32, mpsc::UnboundedSender<WorkerOrder>>>,
    /// Whether the reports have been read, but for those of partitions that are down. The runs of their
    /// workers are known from the plan.
    taken_over: Cell<bool>,
    /// Whether reports that have not been read yet are no longer waited for.
    reads_overdue: Cell<bool>,
    report_reads: RefCell<ReportReads>,
    /// Report partitions that have not been read yet.
    unread_partitions: RefCell<HashSet<u32>>,
    /// The number of these partitions of which the heartbeats say that they can't be read.
    unread_reports: Cell<usize>,
    heartbeats: RefCell<PlannerHeartbeat>,
    withheld_starts: RefCell<WithheldStarts>,
    load_publisher: RefCell<LoadPublisher>,
    /// When the state of the workers was last listed for operators.
    workers_listed_at: Cell<Option<Timestamp>>,
    /// The number of accepted jobs that the planner didn't know when it was last recorded.
    unplanned: Cell<usize>,
}

impl<S: Store, A: Advisor> PlannerTerm<S, A> {
    /// Watches the planner, and plans whenever this entry wins the term.
    pub(super) async fn run(entry: Arc<StoreEntry<S, A>>) {
        let mut retry = AppendRetry::new(APPEND_TIMEOUT, MAX_CLAIM_DELAY);
        let mut probe_backoff = Backoff::new(MIN_PROBE_DELAY);
        let mut probe_due_at = entry.now();
        loop {
            sleep(ELECTION_CHECK_INTERVAL).await;
            if entry.stopping.load(Ordering::Relaxed) {
                continue;
            }
            let Some(Claim { unread_reports, .. }) = candidacy(&entry) else {
                continue;
            };
            if !unread_reports.is_empty() {
                let sent_at = Instant::now();
                if entry.now() < probe_due_at {
                    continue;
                }
                if !can_read_reports(&entry, &unread_reports).await {
                    let delay = probe_backoff.failed(sent_at.elapsed(), MAX_PROBE_DELAY);
                    probe_due_at = entry.now() + delay;
                    continue;
                }
                probe_backoff.succeeded();
                // The claim that follows may fail because other records arrive.
                probe_due_at = entry.now() + MIN_PROBE_DELAY;
            }
            // The claim succeeds only at the end of the partition, and the planner may have sent a
            // heartbeat since the last read.
            entry.catch_up_jobs().await;
            let Some(claim) = candidacy(&entry) else {
                continue;
            };
            let is_proven = |partition| unread_reports.contains(partition);
            if !claim.unread_reports.iter().all(is_proven) {
                continue;
            }
            let Claim { term, end, .. } = claim;
            let sent_at = Instant::now();
            let limit = retry.time_limit(lock(&entry.state).store_delay);
            match Self::claim(&entry, term, end, limit).await {
                Ok(planner_term) => {
                    retry.answered();
                    planner_term.plan_until_lost().await;
                }
                // Another record has moved the end or the term; the next claim takes it into account.
                Err(
                    AppendError::Fenced | AppendError::EndMoved(_) | AppendError::OutOfOrder(_),
                ) => retry.answered(),
                Err(error @ (AppendError::Unknown(_) | AppendError::NotAppended(_))) => {
                    sleep(retry.failed(&error, sent_at.elapsed())).await;
                }
            }
        }
    }

    async fn claim(
        entry: &Arc<StoreEntry<S, A>>,
        term: Term,
        end: u64,
        within: Duration,
    ) -> Result<Rc<Self>, AppendError> {
        let before = lock(&entry.state).election.term().clone();
        let append = Append {
            partition: Partition::JOBS,
            records: vec![JobRecord::Planner(term.clone()).encode()],
            writer: Some(Writer {
                name: WRITER,
                term: term.number,
                sequence: FIRST_SEQUENCE,
            }),
            expected_end: Some(end),
        };
        match entry.store.append(&append, within).await {
            Ok(Appended { .. }) => {}
            Err(error) => {
                log::info!(term = term.number, reason:% = error; "term_not_won");
                if error == AppendError::Fenced {
                    lock(&entry.state).election.claim_refused();
                }
                return Err(error);
            }
        }
        entry.counters.event("term_won");
        log::info!(
            term = term.number, entry:% = term.entry, end, stale = term.stale,
            before:% = before.entry, before_resigned = before.resigned, before_stale = before.stale,
            before_unread = before.unread_reports.len();
            "term_won"
        );
        let planner = {
            let mut state = lock(&entry.state);
            state.new_records.clear();
            state.is_planner = true;
            Planner::take_over(planner_bounds(entry), &state.job_table, entry.now())
        };
        entry.follow_as_planner();
        let lanes = Lanes::new(entry.settings.partitions);
        Ok(Rc::new(Self {
            entry: entry.clone(),
            writer: TermWriter::new(entry.clone(), term.number),
            lanes,
            planner: RefCell::new(planner),
            senders: RefCell::default(),
            taken_over: Cell::new(false),
            reads_overdue: Cell::new(false),
            report_reads: RefCell::new(ReportReads::new(lanes.report_partitions())),
            unread_partitions: RefCell::new((0..lanes.report_partitions()).collect()),
            unread_reports: Cell::default(),
            heartbeats: RefCell::new(PlannerHeartbeat::claimed(term.is_impaired())),
            withheld_starts: RefCell::default(),
            load_publisher: RefCell::default(),
            workers_listed_at: Cell::default(),
            unplanned: Cell::default(),
            term,
        }))
    }

    /// Plans until the term is lost or this entry stops.
    async fn plan_until_lost(self: Rc<Self>) {
        let reports = tokio::task::spawn_local(self.clone().take_over());
        let heartbeats = tokio::task::spawn_local(self.clone().send_heartbeats());
        while !self.writer.is_lost() && !self.must_resign() {
            wait_for(&self.entry.planner_wakeup, PASS_INTERVAL).await;
            if self.taken_over.get() {
                self.pass().await;
            }
        }
        let must_resign = self.must_resign();
        self.writer.abandon_term();
        {
            let mut state = lock(&self.entry.state);
            state.is_planner = false;
            state.should_yield = false;
            state.waiting.clear();
            state.job_waits.clear();
            state.shares = None;
            state.workers = None;
        }
        reports.abort();
        heartbeats.abort();
        self.senders.borrow_mut().clear();
        if must_resign {
            self.resign().await;
        }
        log::info!(term = self.term.number; "term_ended");
    }

    /// Returns whether this entry stops, or leaves its term to an entry with more room.
    fn must_resign(&self) -> bool {
        self.entry.stopping.load(Ordering::Relaxed) || lock(&self.entry.state).should_yield
    }

    async fn resign(&self) {
        let term = Term {
            resigned: true,
            ..self.term.clone()
        };
        let records = vec![JobRecord::Planner(term).encode()];
        let resigned = self.writer.append_once(Partition::JOBS, records).await;
        if let Err(error) = resigned {
            log::warn!(reason:% = error; "term_not_resigned");
        }
    }

    async fn send_heartbeats(self: Rc<Self>) {
        loop {
            sleep(HEARTBEAT_INTERVAL).await;
            let (job_table_current_at, operators_current_at, delay) = {
                let state = lock(&self.entry.state);
                (
                    state.job_table_current_at,
                    state.operators_current_at,
                    state.store_delay,
                )
            };
            let max_age = STALE_CONFIGURATION_AGE + delay * STALE_AGE_STORE_DELAYS;
            let stale = operators_current_at.is_none_or(|p| p.elapsed() > max_age);
            let unread_reports = self.unread_reports(delay);
            let impaired = stale || !unread_reports.is_empty();
            if !self.heartbeats.borrow_mut().is_due(impaired) {
                continue;
            }
            // A planner that can't read the jobs sends no heartbeat, so that another entry can
            // take over.
            if job_table_current_at.is_some_and(|p| p.elapsed() < MAX_FRESH_READ_AGE) {
                let term = Term {
                    stale,
                    unread_reports,
                    ..self.term.clone()
                };
                self.heartbeats.borrow_mut().record_sent(impaired);
                let heartbeat = JobRecord::Planner(term).encode();
                self.writer.append(Partition::JOBS, vec![heartbeat]).await;
            }
        }
    }

    /// Returns the partitions of reports that have not been read for so long that another entry should
    /// take over, on a store with the usual delay `delay`.
    fn unread_reports(&self, delay: Duration) -> Vec<u32> {
        let now = self.entry.now();
        let delays = delay * STALE_AGE_STORE_DELAYS;
        let reads = self.report_reads.borrow();
        let mut unread = reads.unreadable_for(now, MAX_UNREAD_AGE + delays);
        if !unread.is_empty() {
            let never_read = self.unread_partitions.borrow();
            let overdue = reads.unreadable_for(now, MAX_FIRST_READ_AGE + delays);
            unread.retain(|number| !never_read.contains(number) || overdue.contains(number));
        }
        if self.unread_reports.replace(unread.len()) != unread.len() {
            log::warn!(term = self.term.number, partitions = unread.len(); "reports_unread");
        }
        unread
    }

    /// Fences off the orders of earlier planners, then reads the reports.
    ///
    /// A run that no agent lists could otherwise still be started by an order that the store
    /// applies seconds late, while the task already runs elsewhere.
    async fn take_over(self: Rc<Self>) {
        let workers: Vec<Name> = {
            let planner = self.planner.borrow();
            planner
                .fleet()
                .workers()
                .map(|(name, _)| name.clone())
                .collect()
        };
        // The fences are appended concurrently: one after the other they would take 25 s with 62
        // workers and a slow store.
        let fences = workers
            .into_iter()
            .map(|worker| self.fence_earlier_orders(worker));
        let fences = join_all(fences);
        pin!(fences);
        if timeout(MAX_TAKE_OVER_WAIT, &mut fences).await.is_ok() {
            if !self.writer.is_lost() {
                self.clone().follow_reports().await;
            }
            return;
        }
        // Without its fence a run ends only by other proofs, and no order overtakes the fence of its lane.
        log::warn!(term = self.term.number, jobs = self.planner.borrow().running(); "lanes_not_fenced");
        join!(fences, self.clone().follow_reports());
    }

    async fn fence_earlier_orders(&self, worker: Name) {
        let partition = self.lanes.partition(self.lanes.lane_of(&worker));
        if let Some(fenced) = self.writer.append(partition, Vec::new()).await {
            self.planner
                .borrow_mut()
                .set_orders_end(&worker, fenced.end);
        }
    }

    async fn follow_reports(self: Rc<Self>) {
        let partitions = self.lanes.report_partitions();
        let followers = (0..partitions).map(|number| self.clone().follow_report_partition(number));
        join!(join_all(followers), self.end_take_over());
    }

    /// Ends the wait for reports that can't be read.
    async fn end_take_over(&self) {
        sleep(MAX_TAKE_OVER_WAIT).await;
        self.reads_overdue.set(true);
        let unread = self.unread_partitions.borrow().len();
        if unread > 0 {
            log::warn!(term = self.term.number, partitions = unread; "reports_not_read");
            self.check_taken_over();
        }
    }

    /// Begins to plan once all reports have been read, or most of them while the others are overdue: with
    /// few workers known, jobs would be refused for want of room.
    fn check_taken_over(&self) {
        let unread = self.unread_partitions.borrow().len();
        let most_are_read = unread * 2 <= self.lanes.report_partitions() as usize;
        if unread == 0 || (self.reads_overdue.get() && most_are_read) {
            self.taken_over.set(true);
        }
    }

    async fn follow_report_partition(self: Rc<Self>, number: u32) {
        let partition = Partition::workers(number);
        let mut follower = Follower::new(self.entry.store.clone(), partition);
        let mut reachable = true;
        let mut backoff = Backoff::default();
        loop {
            let began = Instant::now();
            let read = follower.next(REPORT_WAIT);
            pin!(read);
            let answer = match timeout(REPORT_READ_OVERDUE, &mut read).await {
                Ok(answer) => answer,
                Err(_) => {
                    self.set_report_partition_readable(number, false);
                    read.await
                }
            };
            match answer {
                Ok(batch) => {
                    backoff.succeeded();
                    self.entry
                        .log_reachability(&mut reachable, true, "workers", "");
                    let is_current = batch.is_current;
                    let sent_at = self.entry.now() - batch.requested_at.elapsed();
                    self.apply_reports(batch);
                    if is_current {
                        self.report_reads.borrow_mut().set_complete(sent_at, number);
                    }
                    self.set_report_partition_readable(number, is_current);
                }
                Err(error) => {
                    self.set_report_partition_readable(number, false);
                    let why = error.to_string();
                    self.entry
                        .log_reachability(&mut reachable, false, "workers", &why);
                    sleep(backoff.failed(began.elapsed(), MAX_RETRY_DELAY)).await;
                }
            }
        }
    }

    /// Records whether the report partition with the number `partition` can be read. A missing report
    /// counts as an agent's silence only while it can.
    fn set_report_partition_readable(&self, partition: u32, readable: bool) {
        let now = self.entry.now();
        let mut reads = self.report_reads.borrow_mut();
        reads.set_readable(now, partition, readable);
        if readable && self.unread_partitions.borrow_mut().remove(&partition) {
            self.check_taken_over();
        }
    }

    fn apply_reports(&self, batch: Batch) {
        let mut planner = self.planner.borrow_mut();
        let now = self.entry.now();
        let mut has_news = batch.replaces;
        for record in batch.records {
            let Some(value) = record.value else {
                continue;
            };
            match decode::<Report>(&value) {
                Some(report) if batch.replaces => {
                    planner.apply_stored_report(now, unix_ms(), report)
                }
                Some(report) => has_news |= planner.apply_report(now, report),
                None => log::warn!(key:% = record.key; "report_unreadable"),
            }
        }
        if has_news {
            self.entry.planner_wakeup.notify_one();
        }
    }

    /// Runs one planning pass: decides, appends the plans, and sends the orders once they are
    /// stored.
    async fn pass(self: &Rc<Self>) {
        let started_at = Instant::now();
        let (mut decisions, configuration_age) = {
            let mut state = lock(&self.entry.state);
            let mut planner = self.planner.borrow_mut();
            for record in state.new_records.drain(..) {
                planner.apply_job_record(&record);
            }
            if self.is_list_due(self.entry.now()) {
                self.record_unplanned(&state.job_table, &planner);
            }
            let Some(configuration) = state.configuration.clone() else {
                return;
            };
            let evacuated = state.evacuated.clone();
            let store_delay = state.store_delay;
            let configuration_age = state.operators_current_at.map(BootTime::elapsed);
            drop(state);
            let decisions = planner.decide(&View {
                now: self.entry.now(),
                unix_ms: unix_ms(),
                configuration: &configuration,
                evacuated: &evacuated,
                is_fresh: configuration_age.is_some_and(|age| age < MAX_FRESH_READ_AGE),
                report_reads: &self.report_reads.borrow(),
                store_delay,
            });
            (decisions, configuration_age)
        };
        self.record_metrics(&decisions, started_at);
        self.log_withheld_starts(&decisions, configuration_age);
        self.publish_views(&mut decisions);
        let has_plans = !decisions.plans.is_empty();
        let mut records = decisions.plans;
        records.extend(self.load_record(has_plans).map(|record| record.encode()));
        if !records.is_empty() {
            if has_plans {
                self.heartbeats.borrow_mut().plan_sent();
            }
            let appended = self.writer.append(Partition::JOBS, records).await;
            if appended.is_none() {
                return;
            }
            if has_plans {
                self.heartbeats.borrow_mut().plan_stored();
            }
        }
        for order in decisions.orders {
            self.queue_order(order);
        }
        for worker in decisions.gone_workers {
            self.delete_report(worker);
        }
        for question in decisions.questions {
            tokio::task::spawn_local(self.clone().ask_advisor(question));
        }
    }

    /// Returns the load record if one is due. On a slow store it waits for the next plan: an append of
    /// its own would delay the pass.
    fn load_record(&self, has_plans: bool) -> Option<JobRecord> {
        let now = self.entry.now();
        let (is_doubtful, is_slow) = {
            let state = lock(&self.entry.state);
            let is_slow = state.store_delay > MAX_LONE_LOAD_DELAY;
            (state.admission.is_doubtful(now), is_slow)
        };
        if is_slow && !has_plans {
            return None;
        }
        let mut load = self.planner.borrow().load(self.term.number, unix_ms());
        if is_doubtful {
            load = LoadRecord {
                term: load.term,
                at_ms: load.at_ms,
                ..LoadRecord::default()
            };
        }
        let due = self.load_publisher.borrow_mut().due(now, load);
        due.map(JobRecord::Load)
    }

    /// Keeps what operators may ask for until the next pass.
    fn publish_views(&self, decisions: &mut Decisions) {
        let now = self.entry.now();
        let workers = self
            .is_list_due(now)
            .then(|| self.planner.borrow().worker_statuses(now));
        let mut state = lock(&self.entry.state);
        state.waiting = std::mem::take(&mut decisions.waiting);
        state.job_waits = std::mem::take(&mut decisions.job_waits);
        state.shares = Some(std::mem::take(&mut decisions.shares));
        if workers.is_some() {
            self.workers_listed_at.set(Some(now));
            state.workers = workers;
            drop(state);
            self.record_speeds();
        }
    }

    /// Returns whether the state of the workers and of the job table is to be recorded again.
    fn is_list_due(&self, now: Timestamp) -> bool {
        let listed_at = self.workers_listed_at.get();
        listed_at.is_none_or(|listed_at| now.since(listed_at) >= WORKER_LIST_INTERVAL)
    }

    /// Records the number of accepted jobs that the planner doesn't know, and logs when it changes. All
    /// records of the table must have been applied to the planner.
    fn record_unplanned(&self, table: &JobTable, planner: &Planner) {
        let accepted = table.jobs();
        let unplanned = accepted.filter(|(name, entry)| {
            entry.job.is_some() && entry.plan.outcome.is_none() && !planner.has_job(name)
        });
        let unplanned: Vec<&Name> = unplanned.map(|(name, _)| name).collect();
        let jobs = unplanned.len();
        self.entry.counters.level("jobs_not_planned", jobs as f64);
        if self.unplanned.replace(jobs) != jobs {
            let job = unplanned.first().map_or("", |name| name);
            log::error!(term = self.term.number, jobs, job:% = job; "jobs_not_planned");
        }
    }

    fn record_speeds(&self) {
        let counters = &self.entry.counters;
        let planner = self.planner.borrow();
        let steps = planner.speed_steps();
        for (step, level) in (FASTEST_STEP..).zip(SPEED_STEP_LEVELS) {
            counters.level(level, steps.get(&step).copied().unwrap_or(0) as f64);
        }
        let speeds = planner.speeds();
        counters.level("speed_deviation", speeds.mean_deviation());
        counters.level("speed_workers_known", speeds.known_workers() as f64);
    }

    /// Records the metrics of a pass.
    fn record_metrics(&self, decisions: &Decisions, started_at: Instant) {
        let counters = &self.entry.counters;
        counters.latency("pass", started_at.elapsed());
        for waited in &decisions.waits {
            counters.latency("wait", *waited);
        }
        let stops = decisions.orders.iter().map(|order| order.order.stops.len());
        counters.events("run_stopped", stops.sum());
        let evictions = &decisions.evictions;
        counters.events("runs_evicted", evictions.runs_evicted as usize);
        counters.events("eviction_in_vain", evictions.in_vain as usize);
        counters.events("speed_probe_starts", decisions.probe_starts as usize);
        counters.events("gang_moved_faster", decisions.gangs_moved as usize);
        let fragmented = evictions.fragmented_accelerators;
        counters.level("fragmented_accelerators", fragmented as f64);
        counters.level("core_seconds_discarded", evictions.core_seconds_discarded);
        let shares = decisions.shares.iter();
        let above = shares.clone().filter(|s| s.is_above_entitlement());
        let waiting = shares.filter(|s| s.waiting_demands > 0);
        counters.level("workspaces_above_share", above.count() as f64);
        counters.level("workspaces_waiting", waiting.count() as f64);
        for event in &decisions.failed_starts {
            counters.event(event);
        }
        self.record_job_waits(&decisions.job_waits);
        let planner = self.planner.borrow();
        counters.level("jobs_waiting", planner.waiting() as f64);
        counters.level("jobs_running", planner.running() as f64);
        counters.level("workers", planner.fleet().workers().count() as f64);
        let expected_wait = planner.longest_expected_wait();
        counters.level("expected_wait_ms", expected_wait.as_millis() as f64);
        counters.level("term", self.term.number as f64);
    }

    /// Records how long jobs have had nothing running, and the number of these jobs by cause.
    fn record_job_waits(&self, waits: &HashMap<Name, JobWait>) {
        let counters = &self.entry.counters;
        let longest = waits.values().map(|w| w.waited_ms).max();
        counters.level("longest_wait_ms", longest.unwrap_or(0) as f64);
        for (level, cause) in JOB_WAIT_LEVELS {
            let found = waits.values().filter(|w| w.cause.label() == cause);
            counters.level(level, found.count() as f64);
        }
    }

    /// Logs when waiting work starts to be withheld because the configuration can't be confirmed
    /// as current, and when starts resume.
    fn log_withheld_starts(&self, decisions: &Decisions, configuration_age: Option<Duration>) {
        let is_fresh = configuration_age.is_some_and(|age| age < MAX_FRESH_READ_AGE);
        let jobs = decisions.waiting.len();
        let counters = &self.entry.counters;
        let age_ms = configuration_age.map(|age| age.as_millis() as u64);
        counters.level("configuration_age_ms", age_ms.unwrap_or(0) as f64);
        let now = self.entry.now();
        match self
            .withheld_starts
            .borrow_mut()
            .observe_pass(now, is_fresh, jobs)
        {
            Some(WithheldChange::Withheld) => {
                counters.event("starts_withheld");
                log::warn!(term = self.term.number, reason = "configuration_stale", age_ms, jobs; "starts_withheld");
            }
            Some(WithheldChange::Resumed { after }) => {
                let withheld_ms = after.as_millis() as u64;
                log::info!(term = self.term.number, withheld_ms, jobs; "starts_resumed");
            }
            None => {}
        }
    }

    fn queue_order(self: &Rc<Self>, order: WorkerOrder) {
        let lane = self.lanes.lane_of(&order.worker);
        let mut senders = self.senders.borrow_mut();
        let sender = senders.entry(lane).or_insert_with(|| {
            let (tx, rx) = mpsc::unbounded_channel();
            tokio::task::spawn_local(self.clone().send_lane(lane, rx));
            tx
        });
        if sender.send(order).is_err() {
            log::error!(lane; "lane_ended");
        }
    }

    /// Sends the orders of one lane (see [`Lanes`]), one append at a time.
    async fn send_lane(self: Rc<Self>, lane: u32, mut rx: mpsc::UnboundedReceiver<WorkerOrder>) {
        /// Most orders that are taken at once.
        const MAX_ORDERS: usize = 32;
        let partition = self.lanes.partition(lane);
        let mut orders = Vec::new();
        while rx.recv_many(&mut orders, MAX_ORDERS).await > 0 {
            let parts = orders.drain(..).flat_map(split_order);
            let mut parts = parts.map(|part| (order_record(&part), part)).peekable();
            while let Some((record, part)) = parts.next() {
                let mut bytes = record_bytes(&record);
                let mut records = vec![record];
                let mut appending = vec![part];
                let fits = |record: &StoreRecord, bytes| {
                    bytes + record_bytes(record) <= MAX_ORDER_APPEND_BYTES
                };
                while let Some((record, part)) = parts.next_if(|(record, _)| fits(record, bytes)) {
                    bytes += record_bytes(&record);
                    records.push(record);
                    appending.push(part);
                }
                let Some(appended) = self.writer.append(partition, records).await else {
                    return;
                };
                let now = self.entry.now();
                let mut planner = self.planner.borrow_mut();
                for (offset, part) in (appended.offset..).zip(appending) {
                    planner.order_stored(now, &part, offset);
                }
            }
        }
    }

    async fn ask_advisor(self: Rc<Self>, question: AdviceQuestion) {
        let answer = self.entry.advisor.advise(&question).await;
        log::info!(
            job:% = question.job, step = question.step, asked = question.workers.len(),
            good = answer.as_ref().map_or(0, |a| a.tickets.len()), answered = answer.is_some();
            "advice"
        );
        let now = self.entry.now();
        self.planner
            .borrow_mut()
            .apply_advice(now, &question, answer);
        self.entry.planner_wakeup.notify_one();
    }

    fn delete_report(&self, worker: Name) {
        let store = self.entry.store.clone();
        let partition = self.lanes.reports_of(&worker);
        tokio::task::spawn_local(async move {
            let append = Append {
                partition,
                records: vec![StoreRecord {
                    key: worker,
                    value: None,
                }],
                writer: None,
                expected_end: None,
            };
            if let Err(error) = store.append(&append, APPEND_TIMEOUT).await {
                log::info!(reason:% = error; "report_not_deleted");
            }
        });
    }
}

/// The level of each cause of the waits of jobs, with the number of jobs that wait for it.
const JOB_WAIT_LEVELS: [(&str, &str); 10] = [
    ("job_waits_configuration_stale", "configuration_stale"),
    ("job_waits_no_room", "no_room"),
    ("job_waits_no_suitable_worker", "no_suitable_worker"),
    ("job_waits_not_offered", "not_offered"),
    ("job_waits_place_not_free", "place_not_free"),
    ("job_waits_room_being_made", "room_being_made"),
    ("job_waits_room_held", "room_held"),
    ("job_waits_starting", "starting"),
    ("job_waits_starts_failed", "starts_failed"),
    ("job_waits_workers_asked", "workers_asked"),
];

/// The step of the fastest workers, with which `SPEED_STEP_LEVELS` begins.
const FASTEST_STEP: i32 = -12;

/// The level of each step with the number of workers of that speed; 0 is nominal.
const SPEED_STEP_LEVELS: [&str; 21] = [
    "speed_step_-12",
    "speed_step_-11",
    "speed_step_-10",
    "speed_step_-9",
    "speed_step_-8",
    "speed_step_-7",
    "speed_step_-6",
    "speed_step_-5",
    "speed_step_-4",
    "speed_step_-3",
    "speed_step_-2",
    "speed_step_-1",
    "speed_step_0",
    "speed_step_1",
    "speed_step_2",
    "speed_step_3",
    "speed_step_4",
    "speed_step_5",
    "speed_step_6",
    "speed_step_7",
    "speed_step_8",
];

/// Returns the parts of an order whose records are small enough for the store.
fn split_order(order: WorkerOrder) -> Vec<WorkerOrder> {
    let WorkerOrder {
        worker,
        session,
        order,
    } = order;
    let parts = order.split(MAX_ORDER_BYTES).into_iter();
    let parts = parts.map(|order| WorkerOrder {
        worker: worker.clone(),
        session,
        order,
    });
    parts.collect()
}

fn order_record(order: &WorkerOrder) -> StoreRecord {
    StoreRecord {
        key: Name::from(""),
        value: Some(encode(&OrderMessage::Order {
            worker: order.worker.clone(),
            session: order.session,
            order: order.order.clone(),
        })),
    }
}

fn record_bytes(record: &StoreRecord) -> usize {
    record.value.as_ref().map_or(0, Vec::len)
}

/// A term that an entry should claim.
struct Claim {
    term: Term,
    /// The offset at which the partition of the jobs has to end for the claim to succeed.
    end: u64,
    /// Partitions of reports that the entry must be able to read.
    unread_reports: Vec<u32>,
}

/// Returns whether this entry can read these partitions of reports.
async fn can_read_reports<S: Store, A: Advisor>(
    entry: &StoreEntry<S, A>,
    partitions: &[u32],
) -> bool {
    let probes = partitions.iter().map(|number| async {
        // A small page is enough, or the answer that its records are no longer retained.
        let read = entry.store.read(PageRequest {
            partition: Partition::workers(*number),
            from: 0,
            wait: Duration::ZERO,
            max_bytes: 0,
            within: REPORT_PROBE_TIMEOUT,
        });
        match timeout(REPORT_PROBE_TIMEOUT, read).await {
            Ok(Ok(_) | Err(ReadError::Dropped(_))) => true,
            Ok(Err(ReadError::Unavailable(_) | ReadError::Late)) | Err(_) => false,
        }
    });
    let answered = join_all(probes).await;
    let unanswered = answered.iter().filter(|answered| !**answered).count();
    log::info!(partitions = partitions.len(), unanswered; "reports_probed");
    unanswered == 0
}

/// Returns the term that this entry should claim; `None` if it should not claim one.
fn candidacy<S: Store, A: Advisor>(entry: &StoreEntry<S, A>) -> Option<Claim> {
    /// Age of the last current read of the jobs up to which an entry may be a candidate. An entry
    /// whose reads are late would also plan from outdated state.
    const MAX_CANDIDATE_READ_AGE: Duration = Duration::from_millis(1_700);
    let now = entry.now();
    let mut state = lock(&entry.state);
    let current = state
        .job_table_current_at
        .is_some_and(|p| p.elapsed() < MAX_CANDIDATE_READ_AGE);
    if !current || state.configuration.is_none() {
        return None;
    }
    let term = state.election.term().number;
    let rank = state.entries.rank(&entry.settings.name, term);
    let candidate = Candidate {
        rank,
        store_delay: state.store_delay,
        has_fresh_configuration: state
            .operators_current_at
            .is_some_and(|p| p.elapsed() < MAX_FRESH_READ_AGE),
    };
    let (term, unread_reports) = match state.election.step(now, candidate) {
        TermStep::Wait => return None,
        TermStep::Claim(term) => (term, Vec::new()),
        TermStep::ClaimIfReadable(term, unread_reports) => (term, unread_reports),
    };
    Some(Claim {
        term,
        end: state.job_table_end,
        unread_reports,
    })
}

fn planner_bounds<S, A>(entry: &StoreEntry<S, A>) -> PlannerBounds {
    let bounds = &entry.settings.bounds;
    PlannerBounds {
        max_silence: MAX_AGENT_SILENCE,
        lease_expiry: bounds.lease.mul_f64(MAX_CLOCK_RATE_RATIO) + CLOCK_STEP_MARGIN,
        keep_ended: bounds.keep_ended.mul_f64(MAX_CLOCK_RATE_RATIO),
        far_factor: bounds.far_factor,
        checkpoint_every: bounds.checkpoint_every,
        min_close_workers: MIN_CLOSE_WORKERS,
    }
}
