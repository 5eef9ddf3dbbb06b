//! The agent: carries out the planner's orders on its worker and reports the results.

use std::{
    cell::Cell,
    future::pending,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use tokio::{
    join,
    select,
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
            BootTime, Lanes, StoreSettings,
            entry::{unix_ms, wait_for},
            reader::{Answer, Reader},
        },
    },
    utils::{HashSet, Name, lock},
    workload::{
        AgentAction, AgentTable, Attention, Backoff, HeartbeatNews, IncarnationId, ListsNews,
        Order, OrderMessage, Report, RunId, SELDOM_REPORT_INTERVAL, StartResult, Succession,
        decode, encode,
    },
};

/// How long a read of orders waits for a new one while tasks run. Each read extends the worker's
/// lease, so this is a small fraction of the shortest lease.
const ORDER_WAIT: Duration = Duration::from_millis(400);

/// How long a read of orders waits while nothing runs on the worker and no lease has to be
/// extended.
const IDLE_ORDER_WAIT: Duration = Duration::from_millis(1_500);

/// How long a read of orders waits at an agent that follows seldom. The store allows 30 s. If the
/// connection goes silent, orders stay unread until the end of the wait; the planner notices by the
/// missing report and uses another worker.
const SELDOM_ORDER_WAIT: Duration = Duration::from_secs(25);

/// How long the worker may delay its answer to wait for a run to end.
const END_WAIT: Duration = Duration::from_millis(400);

/// Delay before the next poll while an end waits for its confirmation, which takes the planner
/// about 50 ms. A worker with an unconfirmed end answers at once: without the delay the agent would
/// poll it about 500 times a second, for as long as the store is unreachable.
const UNCONFIRMED_POLL_DELAY: Duration = Duration::from_millis(25);

/// Interval between two polls of a worker on which nothing runs.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(700);

/// Interval between two reports without news while something runs.
const BUSY_REPORT_INTERVAL: Duration = Duration::from_millis(900);

/// Interval between two reports of an idle worker. The planner treats its agent as silent after two
/// and a half times that, 3 s.
const IDLE_REPORT_INTERVAL: Duration = Duration::from_millis(1_200);

/// Longest time from one report to the next, including the append: the planner waits 3 s for a
/// report.
const MAX_REPORT_INTERVAL: Duration = Duration::from_millis(2_600);

/// Spacing of reports without news, as a multiple of the time that the last report took. On a slow
/// store they would otherwise delay reports that carry an end, which are sent at once.
const REPORT_APPEND_TIMES: u32 = 4;

/// Delay before the next check while the worker's clock is still unknown in a session. A poll
/// takes about 2 ms.
const FIRST_POLL_DELAY: Duration = Duration::from_millis(10);

/// Delay before a failed call to the worker is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Longest delay before a failed call to the store is retried while something runs on the worker,
/// whose lease has to be extended.
const MAX_BUSY_RETRY_DELAY: Duration = Duration::from_millis(400);

/// The same delay while nothing runs there.
const MAX_IDLE_RETRY_DELAY: Duration = Duration::from_millis(1_600);

/// Time limit for the append of a report. A shorter limit would only make the agent send the
/// report twice on a slow store.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_800);

/// Time limit for one append of an agent's other records.
const APPEND_TIMEOUT: Duration = Duration::from_millis(900);

/// An agent that receives its orders from the store and reports to it.
pub struct StoreAgent<S, W> {
    lanes: Lanes,
    /// The address of the worker. The name of the agent makes it unique where hosts use loopback
    /// addresses.
    address: Name,
    store: Arc<S>,
    worker: Arc<W>,
    counters: Arc<Counters>,
    table: Mutex<AgentTable>,
    /// Calls to the worker that have not been answered, so that none is made twice concurrently.
    in_flight: Mutex<HashSet<(RunId, bool)>>,
    /// Wakes the task that sends reports.
    report_wakeup: Notify,
    /// Wakes the task that polls the worker.
    poll_wakeup: Notify,
    /// Wakes the task that opens sessions.
    session_wakeup: Notify,
    /// Wakes the task that asks candidates.
    candidate_wakeup: Notify,
}

impl<S: Store, W: Worker> StoreAgent<S, W> {
    /// Returns an agent that has received no heartbeat yet.
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
            address: format!("{}@{}", settings.name, worker.address()).into(),
            store,
            worker,
            counters,
            table: Mutex::new(table),
            in_flight: Mutex::default(),
            report_wakeup: Notify::new(),
            poll_wakeup: Notify::new(),
            session_wakeup: Notify::new(),
            candidate_wakeup: Notify::new(),
        })
    }

    /// Starts the agent's tasks. Must be called inside a `LocalSet`.
    pub fn start(self: &Arc<Self>) {
        tokio::task::spawn_local(self.clone().ask_candidates());
        tokio::task::spawn_local(self.clone().run_sessions());
        tokio::task::spawn_local(self.clone().poll_worker());
        tokio::task::spawn_local(self.clone().send_reports());
    }

    /// Asks the workers that have sent heartbeats whether they are at the worker's address.
    ///
    /// The call does nothing there: it confirms no end, extends no lease, and its token is not higher
    /// than that of any session.
    async fn ask_candidates(self: Arc<Self>) {
        loop {
            let candidates = lock(&self.table).candidates(Instant::now());
            if candidates.is_empty() {
                self.candidate_wakeup.notified().await;
                continue;
            }
            for id in candidates {
                let answer = self
                    .worker
                    .renew(&id.worker, 0, 0, None, Duration::ZERO)
                    .await;
                if lock(&self.table).candidate_answered(&id, &answer, Instant::now()) {
                    self.incarnation_began();
                }
            }
            // Of two incarnations of the same name the lists of the session tell which one is there.
            self.poll_wakeup.notify_one();
            wait_for(&self.candidate_wakeup, RETRY_DELAY).await;
        }
    }

    fn incarnation_began(&self) {
        self.session_wakeup.notify_one();
        self.report_wakeup.notify_one();
    }

    /// Opens a session for each incarnation of the worker and follows its orders.
    async fn run_sessions(self: Arc<Self>) {
        let mut backoff = Backoff::default();
        loop {
            let current = lock(&self.table).worker();
            let Some(id) = current else {
                wait_for(&self.session_wakeup, IDLE_POLL_INTERVAL).await;
                continue;
            };
            let lane = self.lanes.lane_of(&id.worker);
            let partition = self.lanes.partition(lane);
            let address = self.address.clone();
            let places = self.lanes.partition(self.lanes.lane_of(&address));
            let sent_at = Instant::now();
            // A place is useless without a session, so a retry leaves it for later.
            let (number, place) = match backoff.has_failed() {
                true => (self.append_session(partition, &id.worker).await, None),
                false => join!(
                    self.append_session(partition, &id.worker),
                    self.append_session(places, &address),
                ),
            };
            let Some(number) = number else {
                let delay = backoff.failed(sent_at.elapsed(), self.max_retry_delay());
                wait_for(&self.session_wakeup, delay).await;
                continue;
            };
            backoff.succeeded();
            {
                let mut table = lock(&self.table);
                let succession = place.map(|number| Succession {
                    address: address.clone(),
                    number,
                });
                if !table.begin_session(&id, number, succession) {
                    continue;
                }
            }
            log::info!(
                worker:% = id.worker, born_ms = id.born_ms, session = number, lane, address:% = address,
                place;
                "session_opened"
            );
            self.poll_wakeup.notify_one();
            let is_placed = place.is_some();
            select! {
                () = self.follow_orders(partition, &id, number) => {}
                () = self.obtain_place(places, &id, number), if !is_placed => {}
            }
            log::info!(worker:% = id.worker, session = number; "session_ended");
        }
    }

    /// Obtains the worker's place at its address for a session that has begun without one, and never
    /// returns.
    ///
    /// The session needn't wait for the place, but without it the runs of a predecessor at the address
    /// last until its lease has expired, and so do those of the session once it has a successor.
    async fn obtain_place(&self, places: Partition, id: &IncarnationId, session: u64) {
        let began = Instant::now();
        let mut backoff = Backoff::default();
        loop {
            sleep(backoff.failed(Duration::ZERO, MAX_IDLE_RETRY_DELAY)).await;
            let place = self.append_session(places, &self.address).await;
            let Some(number) = place else {
                continue;
            };
            let succession = Succession {
                address: self.address.clone(),
                number,
            };
            let is_current = lock(&self.table).set_succession(id, session, succession);
            log::info!(
                worker:% = id.worker, session, address:% = self.address, place = number, is_current,
                after_ms = began.elapsed().as_millis() as u64;
                "place_obtained"
            );
            self.poll_wakeup.notify_one();
            return pending().await;
        }
    }

    /// Appends a session record and returns its offset.
    async fn append_session(&self, partition: Partition, worker: &Name) -> Option<u64> {
        let append = Append {
            partition,
            records: vec![StoreRecord {
                key: Name::from(""),
                value: Some(encode(&OrderMessage::Session {
                    worker: worker.clone(),
                })),
            }],
            writer: None,
            expected_end: None,
        };
        match self.store.append(&append, APPEND_TIMEOUT).await {
            Ok(appended) => Some(appended.offset),
            Err(error) => {
                log::warn!(worker:% = worker, reason:% = error; "session_not_opened");
                None
            }
        }
    }

    /// Follows the orders of a session until it is closed or the worker has restarted.
    async fn follow_orders(
        self: &Arc<Self>,
        partition: Partition,
        id: &IncarnationId,
        session: u64,
    ) {
        let worker = &id.worker;
        let mut next = session + 1;
        let mut reachable = true;
        let mut woken = false;
        let mut backoff = Backoff::default();
        let mut reader = Reader::new(self.store.clone(), partition);
        loop {
            let clock_read_at = BootTime::now();
            let worker_clock_ms = {
                let table = lock(&self.table);
                if table.worker().as_ref() != Some(id) || table.is_closed() {
                    break;
                }
                table.clock_ms()
            };
            // An order states the end of its lease as a time on the worker's clock, so that clock
            // must be known first.
            if worker_clock_ms.is_none() {
                sleep(FIRST_POLL_DELAY).await;
                continue;
            }
            let wait = match std::mem::take(&mut woken) {
                true => Duration::ZERO,
                false => self.order_wait(),
            };
            let began = Instant::now();
            let read = select! {
                read = reader.read(next, wait) => read,
                // The worker has changed; a session of another worker or incarnation may have to
                // begin.
                () = self.session_wakeup.notified(), if wait > IDLE_ORDER_WAIT => continue,
            };
            match read {
                // The worker's clock was read before the read was sent, which is too long ago for a
                // lease. The orders are read once more with a newer reading.
                Ok(Answer { page, .. }) if wait > IDLE_ORDER_WAIT && !page.records.is_empty() => {
                    woken = true;
                }
                Ok(Answer {
                    page,
                    sent,
                    sent_at,
                }) => {
                    next += page.records.len() as u64;
                    backoff.succeeded();
                    if !reachable {
                        log::info!(what = "orders"; "store_regained");
                        reachable = true;
                    }
                    // Without the worker's clock the lease is not extended: if the page ends before
                    // the partition does, a fence may follow, and a late answer is that of a read
                    // that was sent before the clock was read.
                    let is_current = next >= page.end && sent_at >= clock_read_at;
                    let worker_clock_ms = worker_clock_ms.filter(|_| is_current);
                    let orders = orders_for(&page.records, worker, session);
                    let has_orders = !orders.is_empty();
                    let (actions, must_report) = {
                        let mut table = lock(&self.table);
                        let actions = table.orders(worker_clock_ms, orders, next, sent);
                        (actions, table.take_report_due())
                    };
                    if has_orders {
                        self.poll_wakeup.notify_one();
                    }
                    if must_report {
                        self.report_wakeup.notify_one();
                    }
                    self.spawn_calls(id, session, actions);
                }
                Err(ReadError::Dropped(first)) => {
                    log::warn!(worker:% = worker, session, next, first; "orders_lost");
                    let actions = lock(&self.table).orders_lost();
                    self.spawn_calls(id, session, actions);
                    next = first;
                }
                Err(error) => {
                    if reachable {
                        self.counters.event("store_lost");
                        log::warn!(what = "orders", why:% = error; "store_lost");
                        reachable = false;
                    }
                    sleep(backoff.failed(began.elapsed(), self.max_retry_delay())).await;
                }
            }
        }
        // The planner must learn that this session is closed before the next one opens.
        self.report_wakeup.notify_one();
        if lock(&self.table).is_closed() {
            let unstored = self.append_reports().await;
            if !unstored.is_empty() {
                self.report_wakeup.notify_one();
            }
            let mut table = lock(&self.table);
            table.forget_departed();
            table.keep_final_reports(unstored);
        }
    }

    fn order_wait(&self) -> Duration {
        let table = lock(&self.table);
        match table.attention() {
            _ if table.is_busy() => ORDER_WAIT,
            Attention::Close => IDLE_ORDER_WAIT,
            Attention::Seldom => SELDOM_ORDER_WAIT,
        }
    }

    fn max_retry_delay(&self) -> Duration {
        match lock(&self.table).is_busy() {
            true => MAX_BUSY_RETRY_DELAY,
            false => MAX_IDLE_RETRY_DELAY,
        }
    }

    fn report_interval(&self) -> Duration {
        let table = lock(&self.table);
        match table.attention() {
            _ if table.is_busy() => BUSY_REPORT_INTERVAL,
            Attention::Close => IDLE_REPORT_INTERVAL,
            Attention::Seldom => SELDOM_REPORT_INTERVAL,
        }
    }

    fn spawn_calls(self: &Arc<Self>, id: &IncarnationId, session: u64, actions: Vec<AgentAction>) {
        for action in actions {
            let call = match &action {
                AgentAction::Start(order) => (order.run.clone(), true),
                AgentAction::Stop(run) => (run.clone(), false),
            };
            if lock(&self.in_flight).insert(call.clone()) {
                let (agent, id) = (self.clone(), id.clone());
                tokio::task::spawn_local(async move {
                    agent.call_worker(&id, session, action).await;
                    lock(&agent.in_flight).remove(&call);
                    agent.poll_wakeup.notify_one();
                });
            }
        }
    }

    async fn call_worker(&self, id: &IncarnationId, session: u64, action: AgentAction) {
        // The action is for the worker of its session, not for one that has replaced it meanwhile.
        if !lock(&self.table).may_call(id) {
            return;
        }
        let worker = &id.worker;
        match action {
            AgentAction::Start(order) => {
                let sent = Instant::now();
                let refused = Cell::new(None);
                let may_send = || {
                    refused.set(lock(&self.table).start_refusal(&order, Instant::now()));
                    refused.get().is_none()
                };
                // A start that is known to be refused doesn't wait for a connection.
                let answer = match may_send() {
                    true => self.worker.start(worker, &order, &may_send).await,
                    false => Err(CallError::NotSent("no longer wanted".to_owned())),
                };
                let refused = refused.get();
                self.counters.latency("start", sent.elapsed());
                log::info!(
                    job:% = order.run.task.job, run:% = order.run, worker:% = worker,
                    outcome:? = answer, refused:? = refused,
                    lease_until_ms = order.lease_until_ms,
                    left_ms = order.send_before.saturating_duration_since(sent).as_millis() as u64;
                    "run_start"
                );
                let result = match refused {
                    Some(outcome) => StartResult::Answered(outcome),
                    None => start_result(&answer),
                };
                if result != StartResult::Answered(StartOutcome::Started) {
                    self.counters.event("start_not_done");
                }
                if lock(&self.table).start_result(&order.run, session, result) {
                    self.report_wakeup.notify_one();
                }
            }
            AgentAction::Stop(run) => {
                let answer = self.worker.stop(worker, &run, session).await;
                log::info!(job:% = run.task.job, run:% = run, worker:% = worker, outcome:? = answer; "run_stop");
                lock(&self.table).stop_result(&run, session, &answer);
            }
        }
    }

    /// Polls the worker: confirms ends, extends the lease, and reads the lists of runs and ends.
    async fn poll_worker(self: Arc<Self>) {
        loop {
            let request = {
                let mut table = lock(&self.table);
                let id = table.worker();
                id.and_then(|id| Some((id, table.request_lists()?)))
            };
            let Some((id, (request, session, confirmed, lease))) = request else {
                wait_for(&self.poll_wakeup, IDLE_POLL_INTERVAL).await;
                continue;
            };
            let is_busy = lock(&self.table).is_busy();
            let wait = if is_busy { END_WAIT } else { Duration::ZERO };
            let sent = Instant::now();
            let lists = self
                .worker
                .renew(&id.worker, session, confirmed, lease, wait)
                .await;
            self.counters.latency("renewal", sent.elapsed());
            let now = Instant::now();
            let (report_now, news) = match lists {
                Ok(lists) => {
                    let news = lock(&self.table).lists(request, session, lists, now);
                    (news == ListsNews::Urgent, Some(news))
                }
                Err(error) => {
                    let refused = error == CallError::NotListening;
                    let newly_unreachable = {
                        let mut table = lock(&self.table);
                        let is_same = table.worker().as_ref() == Some(&id);
                        is_same && table.unreachable(refused, sent)
                    };
                    if newly_unreachable {
                        self.session_wakeup.notify_one();
                        log::warn!(
                            worker:% = id.worker, session, why:% = error;
                            "worker_unreachable"
                        );
                    }
                    sleep(RETRY_DELAY).await;
                    (newly_unreachable, None)
                }
            };
            if report_now {
                self.report_wakeup.notify_one();
            }
            if lock(&self.table).worker().is_some_and(|w| w != id) {
                self.incarnation_began();
            }
            let is_ignored = news == Some(ListsNews::Ignored);
            let actions = {
                let mut table = lock(&self.table);
                let mut actions = table.pending_actions(news.is_some() && !is_ignored);
                if actions.is_empty() {
                    actions = table.stop_leftovers();
                }
                actions
            };
            self.spawn_calls(&id, session, actions);
            if is_ignored {
                sleep(RETRY_DELAY).await;
            } else if !is_busy {
                wait_for(&self.poll_wakeup, IDLE_POLL_INTERVAL).await;
            } else if lock(&self.table).has_ends() {
                wait_for(&self.poll_wakeup, UNCONFIRMED_POLL_DELAY).await;
            }
        }
    }

    async fn send_reports(self: Arc<Self>) {
        let mut append_elapsed = Duration::ZERO;
        let mut backoff = Backoff::default();
        loop {
            let usual_interval = self.report_interval();
            let max_interval = MAX_REPORT_INTERVAL.saturating_sub(append_elapsed);
            let interval = (append_elapsed * REPORT_APPEND_TIMES)
                .min(max_interval)
                .max(usual_interval);
            wait_for(&self.report_wakeup, interval).await;
            let began = Instant::now();
            let unstored = self.append_reports().await;
            append_elapsed = began.elapsed();
            let is_stored = unstored.is_empty();
            lock(&self.table).keep_final_reports(unstored);
            if is_stored {
                backoff.succeeded();
            } else {
                sleep(backoff.failed(append_elapsed, self.max_retry_delay())).await;
                self.report_wakeup.notify_one();
            }
        }
    }

    /// Appends the reports that are due; returns those that may not be stored.
    async fn append_reports(&self) -> Vec<Report> {
        let mut unstored = Vec::new();
        let reports = lock(&self.table).reports(unix_ms());
        for report in reports {
            let worker = report.heartbeat.worker.clone();
            let append = Append {
                partition: self.lanes.reports_of(&worker),
                records: vec![StoreRecord {
                    key: worker,
                    value: Some(encode(&report)),
                }],
                writer: None,
                expected_end: None,
            };
            match self.store.append(&append, REPORT_TIMEOUT).await {
                Ok(_) => {
                    if lock(&self.table).report_stored(&report) {
                        log::info!(
                            worker:% = report.heartbeat.worker, session = report.session,
                            running = report.running.len();
                            "session_reported"
                        );
                    }
                }
                Err(error) => {
                    self.counters.event("report_not_stored");
                    log::debug!(reason:% = error; "report_not_stored");
                    unstored.push(report);
                }
            }
        }
        unstored
    }
}

impl<S: Store, W: Worker> Registry for StoreAgent<S, W> {
    fn heartbeat(&self, heartbeat: Heartbeat) -> bool {
        let (worker, draining) = (heartbeat.worker.clone(), heartbeat.draining);
        let (born_ms, sequence) = (heartbeat.born_ms, heartbeat.sequence);
        let news = lock(&self.table).heartbeat(heartbeat, Instant::now());
        match news {
            HeartbeatNews::None => return true,
            HeartbeatNews::Changed => {
                self.session_wakeup.notify_one();
                self.report_wakeup.notify_one();
            }
            HeartbeatNews::Candidate => {
                self.counters.event("candidate_seen");
                self.candidate_wakeup.notify_one();
            }
        }
        log::info!(
            worker:% = worker, born_ms, sequence, draining, news:? = news;
            "worker_heartbeat"
        );
        true
    }

    fn leave(&self, worker: &str, born_ms: Option<u64>) {
        let is_applied = lock(&self.table).leave(worker, born_ms);
        log::info!(worker, born_ms, is_applied; "worker_left");
        if is_applied {
            self.session_wakeup.notify_one();
            self.report_wakeup.notify_one();
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
        Err(CallError::Fenced) => StartResult::Answered(StartOutcome::Fenced),
        Err(CallError::Refused(_)) => StartResult::Answered(StartOutcome::Unhealthy),
        Err(CallError::NotSent(_)) => StartResult::NotSent,
        Err(CallError::NoAnswer(_) | CallError::NotListening) => StartResult::Unknown,
    }
}
