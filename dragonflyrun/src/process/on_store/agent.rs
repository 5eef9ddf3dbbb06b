//! An agent: carries out the planner's orders at the worker beside it and reports what happens.

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use tokio::{
    sync::Notify,
    time::sleep, //
};

use crate::{
    port::{
        Append, CallError, Heartbeat, Partition, ReadError, Registry, StartOutcome, Store,
        StoreRecord, Worker,
    },
    process::{
        Counters,
        on_store::{
            Lanes, StoreSettings,
            entry::{unix_ms, wait_for},
            reader::Reader,
        },
    },
    utils::{HashSet, Name, lock},
    workload::{AgentAction, AgentTable, Order, OrderMessage, RunId, StartResult, decode, encode},
};

/// How long a read of orders waits for one. Each read extends the worker's lease, so it is a small
/// part of the shortest lease.
const ORDER_WAIT: Duration = Duration::from_millis(400);

/// How long it waits while nothing runs on the worker: no lease has to be extended.
const IDLE_ORDER_WAIT: Duration = Duration::from_millis(1_500);

/// How long the worker may hold back its lists to wait for an end.
const END_WAIT: Duration = Duration::from_millis(400);

/// Pause before the next look while an end waits for its confirmation, which takes the planner some
/// 50 ms. A worker with an end to list answers at once, so that without a pause the agent asked it
/// some 500 times a second, and without end while the store was away.
const UNCONFIRMED_PAUSE: Duration = Duration::from_millis(25);

/// Time between two looks at a worker on which nothing runs.
const IDLE_LOOK: Duration = Duration::from_millis(700);

/// Time between two reports where nothing has happened, while something runs.
const BUSY_REPORT: Duration = Duration::from_millis(900);

/// Time between two reports of an idle worker; the planner takes three times that for silence.
const IDLE_REPORT: Duration = Duration::from_millis(1_200);

/// Time between two reports at the most, with that for the append: the planner waits 3 s for one.
const LONGEST_REPORT: Duration = Duration::from_millis(2_600);

/// How many times the time that the store takes for a report lies between two of them. On a slow
/// store reports that say nothing new would keep those waiting that tell of an end.
const REPORT_SPACING: u32 = 4;

/// Pause while the worker's clock has not been looked at in a session; a look takes some 2 ms.
const FIRST_LOOK: Duration = Duration::from_millis(10);

/// Pause after a call that failed.
const PAUSE: Duration = Duration::from_millis(100);

/// Time for the append of a report; given up earlier on a slow store, it would only be sent twice.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_800);

/// Time for one append.
const APPEND_TIMEOUT: Duration = Duration::from_millis(900);

/// An agent.
pub struct StoreAgent<S, W> {
    lanes: Lanes,
    store: Arc<S>,
    worker: Arc<W>,
    counters: Arc<Counters>,
    table: Mutex<AgentTable>,
    /// Calls to the worker that have had no answer, so that none is made twice at once.
    in_flight: Mutex<HashSet<(RunId, bool)>>,
    /// Wakes the reporter.
    report: Notify,
    /// Wakes whoever looks at the worker.
    look: Notify,
    /// Wakes whoever opens sessions.
    life: Notify,
}

impl<S: Store, W: Worker> StoreAgent<S, W> {
    /// Returns an agent that has heard of no worker.
    pub fn new(
        settings: StoreSettings,
        store: Arc<S>,
        worker: Arc<W>,
        counters: Arc<Counters>,
    ) -> Arc<Self> {
        let table = AgentTable::new(settings.bounds.lease)
            .with_checkpoints(settings.bounds.checkpoint_every);
        Arc::new(Self {
            lanes: Lanes::new(settings.partitions),
            store,
            worker,
            counters,
            table: Mutex::new(table),
            in_flight: Mutex::default(),
            report: Notify::new(),
            look: Notify::new(),
            life: Notify::new(),
        })
    }

    /// Starts the agent's tasks. To be called inside a local task set.
    pub fn start(self: &Arc<Self>) {
        tokio::task::spawn_local(self.clone().run_sessions());
        tokio::task::spawn_local(self.clone().look_at_worker());
        tokio::task::spawn_local(self.clone().send_reports());
    }

    /// Opens a session for each life of the worker, and follows its orders.
    async fn run_sessions(self: Arc<Self>) {
        loop {
            let open = lock(&self.table).worker();
            let Some((worker, born_ms)) = open else {
                wait_for(&self.life, IDLE_LOOK).await;
                continue;
            };
            let lane = self.lanes.lane_of(&worker);
            let partition = self.lanes.partition(lane);
            let Some(number) = self.open_session(partition, &worker).await else {
                sleep(PAUSE).await;
                continue;
            };
            {
                let mut table = lock(&self.table);
                if !table.begin_session(&worker, born_ms, number) {
                    continue;
                }
            }
            log::info!(worker:% = worker, born_ms, session = number, lane; "session_opened");
            self.look.notify_one();
            self.follow_orders(partition, &worker, born_ms, number)
                .await;
            log::info!(worker:% = worker, session = number; "session_ended");
        }
    }

    async fn open_session(&self, partition: Partition, worker: &Name) -> Option<u64> {
        let append = Append {
            partition,
            records: vec![StoreRecord {
                key: Name::from(""),
                value: Some(encode(&OrderMessage::Session {
                    worker: worker.clone(),
                })),
            }],
            writer: None,
            at: None,
        };
        match self.store.append(&append, APPEND_TIMEOUT).await {
            Ok(appended) => Some(appended.offset),
            Err(error) => {
                log::warn!(worker:% = worker, reason:% = error; "session_not_opened");
                None
            }
        }
    }

    /// Follows the orders of a session until it is closed or the worker lives another life.
    async fn follow_orders(
        self: &Arc<Self>,
        partition: Partition,
        worker: &Name,
        born_ms: u64,
        session: u64,
    ) {
        let mut next = session + 1;
        let mut reachable = true;
        let mut reader = Reader::new(self.store.clone(), partition);
        loop {
            let looked_ms = {
                let table = lock(&self.table);
                if table.worker() != Some((worker.clone(), born_ms)) || table.is_closed() {
                    break;
                }
                table.clock_ms()
            };
            // Without a look at the worker's clock an order could not be given a lease.
            if looked_ms.is_none() {
                sleep(FIRST_LOOK).await;
                continue;
            }
            let busy = lock(&self.table).is_busy();
            let wait = if busy { ORDER_WAIT } else { IDLE_ORDER_WAIT };
            let read = reader.read(next, wait).await;
            match read {
                Ok(page) => {
                    next += page.records.len() as u64;
                    if !reachable {
                        log::info!(what = "orders"; "store_regained");
                        reachable = true;
                    }
                    // A page that ends before the partition does is no proof against a fence.
                    let looked_ms = looked_ms.filter(|_| next >= page.end);
                    let orders = orders_for(&page.records, worker, session);
                    let some = !orders.is_empty();
                    let actions = lock(&self.table).orders(looked_ms, orders, next);
                    if some {
                        self.look.notify_one();
                    }
                    self.carry_out(session, actions);
                }
                Err(ReadError::Dropped(first)) => {
                    log::warn!(worker:% = worker, session, next, first; "orders_lost");
                    let actions = lock(&self.table).orders_lost();
                    self.carry_out(session, actions);
                    next = first;
                }
                Err(error) => {
                    if reachable {
                        self.counters.event("store_lost");
                        log::warn!(what = "orders", why:% = error; "store_lost");
                        reachable = false;
                    }
                    sleep(PAUSE).await;
                }
            }
        }
        // The planner has to hear that the session is closed before another one opens.
        self.report.notify_one();
        if lock(&self.table).is_closed() {
            self.append_reports().await;
            lock(&self.table).forget_departed();
        }
    }

    fn carry_out(self: &Arc<Self>, session: u64, actions: Vec<AgentAction>) {
        for action in actions {
            let call = match &action {
                AgentAction::Start(order) => (order.run.clone(), true),
                AgentAction::Stop(run) => (run.clone(), false),
            };
            if lock(&self.in_flight).insert(call.clone()) {
                let agent = self.clone();
                tokio::task::spawn_local(async move {
                    agent.act(session, action).await;
                    lock(&agent.in_flight).remove(&call);
                    agent.look.notify_one();
                });
            }
        }
    }

    async fn act(&self, session: u64, action: AgentAction) {
        let Some((worker, _)) = lock(&self.table).worker() else {
            return;
        };
        match action {
            AgentAction::Start(order) => {
                let sent = Instant::now();
                let answer = self.worker.start(&worker, &order).await;
                self.counters.latency("start", sent.elapsed());
                log::info!(
                    job:% = order.run.task.job, run:% = order.run, worker:% = worker,
                    outcome:? = answer, lease_until_ms = order.lease_until_ms;
                    "run_start"
                );
                let result = start_result(&answer);
                if result != StartResult::Answered(StartOutcome::Started) {
                    self.counters.event("start_not_done");
                }
                if lock(&self.table).start_result(&order.run, session, result) {
                    self.report.notify_one();
                }
            }
            AgentAction::Stop(run) => {
                let answer = self.worker.stop(&worker, &run, session).await;
                log::info!(job:% = run.task.job, run:% = run, worker:% = worker, outcome:? = answer; "run_stop");
                lock(&self.table).stop_result(&run, session, &answer);
            }
        }
    }

    /// Looks at the worker: confirms ends, extends the lease, and takes its lists.
    async fn look_at_worker(self: Arc<Self>) {
        loop {
            let asked = {
                let mut table = lock(&self.table);
                let worker = table.worker();
                worker.and_then(|(worker, _)| Some((worker, table.request_lists()?)))
            };
            let Some((worker, (asked, session, confirmed, lease))) = asked else {
                wait_for(&self.look, IDLE_LOOK).await;
                continue;
            };
            let busy = lock(&self.table).is_busy();
            let wait = if busy { END_WAIT } else { Duration::ZERO };
            let sent = Instant::now();
            let lists = self
                .worker
                .renew(&worker, session, confirmed, lease, wait)
                .await;
            self.counters.latency("renewal", sent.elapsed());
            let urgent = match lists {
                Ok(lists) => lock(&self.table).lists(asked, session, lists),
                Err(error) => {
                    let refused = error == CallError::NotListening;
                    let new = lock(&self.table).unreachable(refused, Instant::now());
                    if new {
                        log::warn!(worker:% = worker, session, why:% = error; "worker_unreachable");
                    }
                    sleep(PAUSE).await;
                    new
                }
            };
            if urgent {
                self.report.notify_one();
            }
            let again = {
                let mut table = lock(&self.table);
                let mut again = table.pending_actions();
                if again.is_empty() {
                    again = table.stop_leftovers();
                }
                again
            };
            self.carry_out(session, again);
            if !busy {
                wait_for(&self.look, IDLE_LOOK).await;
            } else if lock(&self.table).has_ends() {
                wait_for(&self.look, UNCONFIRMED_PAUSE).await;
            }
        }
    }

    async fn send_reports(self: Arc<Self>) {
        let mut took = Duration::ZERO;
        loop {
            let busy = lock(&self.table).is_busy();
            let usual = if busy { BUSY_REPORT } else { IDLE_REPORT };
            let longest = LONGEST_REPORT.saturating_sub(took);
            let spaced = (took * REPORT_SPACING).min(longest).max(usual);
            wait_for(&self.report, spaced).await;
            let began = Instant::now();
            self.append_reports().await;
            took = began.elapsed();
        }
    }

    async fn append_reports(&self) {
        let reports = lock(&self.table).reports(unix_ms());
        if reports.is_empty() {
            return;
        }
        for report in reports {
            let worker = report.heartbeat.worker.clone();
            let append = Append {
                partition: self.lanes.reports_of(&worker),
                records: vec![StoreRecord {
                    key: worker,
                    value: Some(encode(&report)),
                }],
                writer: None,
                at: None,
            };
            if let Err(error) = self.store.append(&append, REPORT_TIMEOUT).await {
                self.counters.event("report_not_stored");
                log::debug!(reason:% = error; "report_not_stored");
                sleep(PAUSE).await;
                self.report.notify_one();
            }
        }
    }
}

impl<S: Store, W: Worker> Registry for StoreAgent<S, W> {
    fn heartbeat(&self, heartbeat: Heartbeat) -> bool {
        let (worker, draining) = (heartbeat.worker.clone(), heartbeat.draining);
        let born_ms = heartbeat.born_ms;
        if lock(&self.table).heartbeat(heartbeat, Instant::now()) {
            log::info!(worker:% = worker, born_ms, draining; "worker_heartbeat");
            self.life.notify_one();
            self.report.notify_one();
        }
        true
    }

    fn leave(&self, worker: &str) {
        if lock(&self.table).leave(worker) {
            log::info!(worker; "worker_left");
            self.report.notify_one();
        }
    }
}

fn orders_for(records: &[StoreRecord], worker: &Name, session: u64) -> Vec<Order> {
    let messages = records.iter().filter_map(|record| {
        let message = record.value.as_deref().and_then(decode::<OrderMessage>);
        if message.is_none() {
            log::warn!(worker:% = worker; "order_unreadable");
        }
        message
    });
    let orders = messages.filter_map(|message| match message {
        OrderMessage::Order {
            worker: w,
            session: s,
            order,
        } if w == *worker && s == session => Some(order),
        _ => None,
    });
    orders.collect()
}

fn start_result(answer: &Result<StartOutcome, CallError>) -> StartResult {
    match answer {
        Ok(outcome) => StartResult::Answered(*outcome),
        Err(CallError::OtherLife) => StartResult::Answered(StartOutcome::OtherLife),
        Err(CallError::Refused(_)) => StartResult::Answered(StartOutcome::Unhealthy),
        Err(CallError::NoAnswer(_) | CallError::NotListening) => StartResult::Unknown,
    }
}
