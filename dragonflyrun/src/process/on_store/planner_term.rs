//! The planner at an entry: wins a term, plans while it holds it, and gives it up.

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
    pin,
    sync::mpsc,
    time::{sleep, timeout}, //
};

use crate::{
    port::{
        AdviceQuestion, Advisor, Append, AppendError, Appended, Partition, Store, StoreRecord,
        Writer,
    },
    process::on_store::{
        Batch, BootTime, Follower, Lanes, StoreEntry,
        entry::{READ_WAIT, unix_ms, wait_for},
        term_writer::{APPEND_TIMEOUT, FIRST_SEQUENCE, TermWriter, WRITER},
    },
    utils::{HashMap, HashSet, Name, Timestamp, lock},
    workload::{
        Candidate, Decisions, JobRecord, OrderMessage, Planner, PlannerBounds, PlannerHeartbeat,
        Report, Term, TermStep, View, WithheldChange, WithheldStarts, WorkerOrder, decode, encode,
    },
};

/// How often the planner shows a sign of life.
const SIGN_OF_LIFE: Duration = Duration::from_millis(200);

/// How often the planner decides where nothing has come.
const PASS: Duration = Duration::from_millis(100);

/// How often an entry looks whether the planner is silent.
const WATCH: Duration = Duration::from_millis(100);

/// Age of the newest read of operators' records up to which tasks are started: the bound on tasks
/// in a failure domain that is out of service is seconds.
const FRESH: Duration = Duration::from_millis(2_000);

const _: () = assert!(FRESH.as_millis() > 2 * READ_WAIT.as_millis());

/// Age of that read from which on an entry that reads better is to plan: a change of planner costs as much as
/// a short gap.
const STALE_AGE: Duration = Duration::from_millis(3_000);

/// How many of the store's usual delays are allowed beside that: on a slow store all read late.
const STALE_DELAYS: u32 = 4;

/// Silence of an agent, which reports each second at the least, after which its session is closed.
const AGENT_SILENCE: Duration = Duration::from_millis(3_000);

/// How much slower than the planner's the clock of a worker may be.
const CLOCK_SKEW: f64 = 1.02;

/// Added to the time after which a lease is over, for the steps of the clocks themselves.
const LEASE_MARGIN: Duration = Duration::from_millis(150);

/// How long a read of reports waits for one: a connection that has fallen silent shows after that.
const REPORT_WAIT: Duration = Duration::from_millis(400);

/// Time after which a read of reports that is still under way says nothing about its agents' silence.
const REPORT_LATE: Duration = Duration::from_millis(1_300);

/// Pause after a read that failed.
const READ_PAUSE: Duration = Duration::from_millis(100);

/// A term that this entry holds.
pub(super) struct PlannerTerm<S, A> {
    entry: Arc<StoreEntry<S, A>>,
    term: Term,
    lanes: Lanes,
    planner: RefCell<Planner>,
    writer: TermWriter<S, A>,
    senders: RefCell<HashMap<u32, mpsc::UnboundedSender<WorkerOrder>>>,
    /// Whether all that runs is known.
    taken_over: Cell<bool>,
    reports_since: Cell<Option<Timestamp>>,
    /// Partitions of reports that can't be read, or have not been yet.
    unread: Cell<HashSet<u32>>,
    life: RefCell<PlannerHeartbeat>,
    withheld: RefCell<WithheldStarts>,
}

impl<S: Store, A: Advisor> PlannerTerm<S, A> {
    /// Watches the planner, and is planner whenever this entry wins the term.
    pub(super) async fn run(entry: Arc<StoreEntry<S, A>>) {
        loop {
            sleep(WATCH).await;
            if entry.stopping.load(Ordering::Relaxed) {
                continue;
            }
            if candidacy(&entry).is_none() {
                continue;
            }
            // The claim holds only at the end of the partition, and the planner may have shown a
            // sign of life since the last read.
            entry.catch_up().await;
            let Some((term, end)) = candidacy(&entry) else {
                continue;
            };
            if let Some(held) = Self::win(&entry, term, end).await {
                held.hold().await;
            }
        }
    }

    async fn win(entry: &Arc<StoreEntry<S, A>>, term: Term, end: u64) -> Option<Rc<Self>> {
        let before = lock(&entry.state).election.term().clone();
        let append = Append {
            partition: Partition::JOBS,
            records: vec![JobRecord::Planner(term.clone()).encode()],
            writer: Some(Writer {
                name: WRITER,
                term: term.number,
                sequence: FIRST_SEQUENCE,
            }),
            at: Some(end),
        };
        match entry.store.append(&append, APPEND_TIMEOUT).await {
            Ok(Appended { .. }) => {}
            Err(error) => {
                log::info!(term = term.number, reason:% = error; "term_not_won");
                if error == AppendError::Fenced {
                    lock(&entry.state).election.claim_refused();
                }
                return None;
            }
        }
        entry.counters.event("term_won");
        log::info!(
            term = term.number, entry:% = term.entry, end, stale = term.stale,
            before:% = before.entry, before_resigned = before.resigned, before_stale = before.stale;
            "term_won"
        );
        let planner = {
            let mut state = lock(&entry.state);
            state.news.clear();
            state.plans = true;
            Planner::take_over(planner_bounds(entry), &state.book, entry.now())
        };
        Some(Rc::new(Self {
            entry: entry.clone(),
            writer: TermWriter::new(entry.clone(), term.number),
            lanes: Lanes::new(entry.settings.partitions),
            planner: RefCell::new(planner),
            senders: RefCell::default(),
            taken_over: Cell::new(false),
            reports_since: Cell::new(None),
            unread: Cell::default(),
            life: RefCell::new(PlannerHeartbeat::claimed(term.stale)),
            withheld: RefCell::default(),
            term,
        }))
    }

    /// Plans until the term is lost or given up.
    async fn hold(self: Rc<Self>) {
        let reports = tokio::task::spawn_local(self.clone().take_over());
        let life = tokio::task::spawn_local(self.clone().show_life());
        while !self.writer.is_lost() && !self.entry.stopping.load(Ordering::Relaxed) {
            wait_for(&self.entry.news, PASS).await;
            if self.taken_over.get() {
                self.pass().await;
            }
        }
        self.writer.give_up();
        {
            let mut state = lock(&self.entry.state);
            state.plans = false;
            state.waiting.clear();
        }
        reports.abort();
        life.abort();
        self.senders.borrow_mut().clear();
        if self.entry.stopping.load(Ordering::Relaxed) {
            self.resign().await;
        }
        log::info!(term = self.term.number; "term_ended");
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

    async fn show_life(self: Rc<Self>) {
        loop {
            sleep(SIGN_OF_LIFE).await;
            let (book_proof, operator_proof, delay) = {
                let state = lock(&self.entry.state);
                (state.book_proof, state.operator_proof, state.store_delay)
            };
            let most = STALE_AGE + delay * STALE_DELAYS;
            let stale = operator_proof.is_none_or(|p| p.elapsed() > most);
            if !self.life.borrow_mut().is_due(stale) {
                continue;
            }
            // A planner that can't read must not keep others from following it.
            if book_proof.is_some_and(|p| p.elapsed() < FRESH) {
                let term = Term {
                    stale,
                    ..self.term.clone()
                };
                self.life.borrow_mut().record_sent(stale);
                let alive = JobRecord::Planner(term).encode();
                self.writer.append(Partition::JOBS, vec![alive]).await;
            }
        }
    }

    /// Makes sure that no order of an earlier planner can come any more, then reads the reports.
    ///
    /// Without that, a run that no agent lists could still be started by an order that the store
    /// carries out seconds late, while the task already runs elsewhere.
    async fn take_over(self: Rc<Self>) {
        let workers: Vec<Name> = {
            let planner = self.planner.borrow();
            planner
                .fleet()
                .workers()
                .map(|(name, _)| name.clone())
                .collect()
        };
        // All at once: one after the other they would take 25 s at 62 workers and a slow store.
        let fences = workers.into_iter().map(|worker| self.fence_earlier(worker));
        join_all(fences).await;
        if !self.writer.is_lost() {
            self.follow_reports().await;
        }
    }

    async fn fence_earlier(&self, worker: Name) {
        let partition = self.lanes.partition(self.lanes.lane_of(&worker));
        if let Some(fenced) = self.writer.append(partition, Vec::new()).await {
            self.planner
                .borrow_mut()
                .set_orders_end(&worker, fenced.end);
        }
    }

    async fn follow_reports(self: Rc<Self>) {
        let partitions = self.lanes.report_partitions();
        self.unread.set((0..partitions).collect());
        let followers = (0..partitions).map(|number| self.clone().follow_partition(number));
        join_all(followers).await;
    }

    async fn follow_partition(self: Rc<Self>, number: u32) {
        let partition = Partition::workers(number);
        let mut follower = Follower::new(self.entry.store.clone(), partition);
        let mut reachable = true;
        loop {
            let read = follower.next(REPORT_WAIT);
            pin!(read);
            let answer = match timeout(REPORT_LATE, &mut read).await {
                Ok(answer) => answer,
                Err(_) => {
                    self.is_read(number, false);
                    read.await
                }
            };
            match answer {
                Ok(batch) => {
                    self.entry.report_reach(&mut reachable, true, "workers", "");
                    let is_current = batch.is_current;
                    self.take_reports(batch);
                    self.is_read(number, is_current);
                }
                Err(error) => {
                    self.is_read(number, false);
                    let why = error.to_string();
                    self.entry
                        .report_reach(&mut reachable, false, "workers", &why);
                    sleep(READ_PAUSE).await;
                }
            }
        }
    }

    /// Takes note whether a partition of reports can be read. Agents are silent only while all can.
    fn is_read(&self, number: u32, read: bool) {
        let mut unread = self.unread.take();
        if read {
            unread.remove(&number);
        } else {
            unread.insert(number);
        }
        let all = unread.is_empty();
        self.unread.set(unread);
        if !all {
            self.reports_since.set(None);
        } else if self.reports_since.get().is_none() {
            self.reports_since.set(Some(self.entry.now()));
            self.taken_over.set(true);
        }
    }

    fn take_reports(&self, batch: Batch) {
        let mut planner = self.planner.borrow_mut();
        let now = self.entry.now();
        let any = !batch.records.is_empty();
        for record in batch.records {
            let Some(value) = record.value else {
                continue;
            };
            match decode::<Report>(&value) {
                Some(report) if batch.replaces => {
                    planner.apply_stored_report(now, unix_ms(), report)
                }
                Some(report) => planner.apply_report(now, report),
                None => log::warn!(key:% = record.key; "report_unreadable"),
            }
        }
        if any {
            self.entry.news.notify_one();
        }
    }

    /// Decides once, makes the decisions last, and sends the orders.
    async fn pass(self: &Rc<Self>) {
        let came = Instant::now();
        let (mut decisions, proof_age) = {
            let mut state = lock(&self.entry.state);
            let mut planner = self.planner.borrow_mut();
            for record in state.news.drain(..) {
                planner.apply_job_record(&record);
            }
            let Some(configuration) = state.configuration.clone() else {
                return;
            };
            let evacuated = state.evacuated.clone();
            let proof_age = state.operator_proof.map(BootTime::elapsed);
            drop(state);
            let decisions = planner.decide(&View {
                now: self.entry.now(),
                unix_ms: unix_ms(),
                configuration: &configuration,
                evacuated: &evacuated,
                is_fresh: proof_age.is_some_and(|age| age < FRESH),
                reports_since: self.reports_since.get(),
            });
            (decisions, proof_age)
        };
        self.measure(&decisions, came);
        self.log_withheld(&decisions, proof_age);
        lock(&self.entry.state).waiting = std::mem::take(&mut decisions.waiting);
        if !decisions.plans.is_empty() {
            self.life.borrow_mut().plan_sent();
            if self
                .writer
                .append(Partition::JOBS, decisions.plans)
                .await
                .is_none()
            {
                return;
            }
            self.life.borrow_mut().plan_stored();
        }
        for order in decisions.orders {
            self.send(order);
        }
        for worker in decisions.gone_workers {
            self.drop_report(worker);
        }
        for question in decisions.questions {
            tokio::task::spawn_local(self.clone().ask(question));
        }
    }

    fn measure(&self, decisions: &Decisions, came: Instant) {
        let counters = &self.entry.counters;
        counters.latency("pass", came.elapsed());
        for waited in &decisions.waits {
            counters.latency("wait", *waited);
        }
        for order in &decisions.orders {
            for _ in &order.order.stops {
                counters.event("run_stopped");
            }
        }
        let planner = self.planner.borrow();
        counters.level("jobs_waiting", planner.waiting() as f64);
        counters.level("jobs_running", planner.running() as f64);
        counters.level("workers", planner.fleet().workers().count() as f64);
        counters.level("term", self.term.number as f64);
    }

    /// Logs that waiting work is not started for want of a proof of the configuration, and that it is again.
    fn log_withheld(&self, decisions: &Decisions, proof_age: Option<Duration>) {
        let is_fresh = proof_age.is_some_and(|age| age < FRESH);
        let jobs = decisions.waiting.len();
        let counters = &self.entry.counters;
        let age_ms = proof_age.map(|age| age.as_millis() as u64);
        counters.level("configuration_age_ms", age_ms.unwrap_or(0) as f64);
        let now = self.entry.now();
        match self.withheld.borrow_mut().observe_pass(now, is_fresh, jobs) {
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

    fn send(self: &Rc<Self>, order: WorkerOrder) {
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

    /// Sends the orders of one lane, one append after the other.
    async fn send_lane(self: Rc<Self>, lane: u32, mut rx: mpsc::UnboundedReceiver<WorkerOrder>) {
        /// Orders in one append, at the most.
        const GROUP: usize = 32;
        let mut orders = Vec::new();
        while rx.recv_many(&mut orders, GROUP).await > 0 {
            let records = orders.iter().map(|order| StoreRecord {
                key: Name::from(""),
                value: Some(encode(&OrderMessage::Order {
                    worker: order.worker.clone(),
                    session: order.session,
                    order: order.order.clone(),
                })),
            });
            let partition = self.lanes.partition(lane);
            let appended = self.writer.append(partition, records.collect()).await;
            let Some(appended) = appended else {
                return;
            };
            let now = self.entry.now();
            let mut planner = self.planner.borrow_mut();
            for (offset, order) in (appended.offset..).zip(orders.drain(..)) {
                planner.order_stored(now, &order, offset);
            }
        }
    }

    async fn ask(self: Rc<Self>, question: AdviceQuestion) {
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
        self.entry.news.notify_one();
    }

    fn drop_report(&self, worker: Name) {
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
                at: None,
            };
            if let Err(error) = store.append(&append, APPEND_TIMEOUT).await {
                log::info!(reason:% = error; "report_not_dropped");
            }
        });
    }
}

/// Returns the term that this entry should try to win, and where the partition has to end for it.
fn candidacy<S: Store, A: Advisor>(entry: &StoreEntry<S, A>) -> Option<(Term, u64)> {
    /// Age of the newest read up to which an entry may stand: an entry that reads badly would plan
    /// badly.
    const MOST_AGE: Duration = Duration::from_millis(1_700);
    let now = entry.now();
    let state = lock(&entry.state);
    let current = state.book_proof.is_some_and(|p| p.elapsed() < MOST_AGE);
    if !current || state.configuration.is_none() {
        return None;
    }
    let candidate = Candidate {
        store_delay: state.store_delay,
        has_fresh_configuration: state.operator_proof.is_some_and(|p| p.elapsed() < FRESH),
    };
    match state.election.step(now, candidate) {
        TermStep::Wait => None,
        TermStep::Claim(term) => Some((term, state.book_end)),
    }
}

fn planner_bounds<S, A>(entry: &StoreEntry<S, A>) -> PlannerBounds {
    let bounds = &entry.settings.bounds;
    PlannerBounds {
        max_silence: AGENT_SILENCE,
        lease_expiry: bounds.lease.mul_f64(CLOCK_SKEW) + LEASE_MARGIN,
        keep_ended: bounds.keep_ended,
        far_factor: bounds.far_factor,
        checkpoint_every: bounds.checkpoint_every,
    }
}
