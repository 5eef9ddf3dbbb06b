//! Starts the process, owns its threads, and stops it without interrupting requests.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering}, //
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use crossbeam::channel::{Receiver, RecvTimeoutError, bounded};
use quick_error::quick_error;

use crate::{
    connection::{
        AuthorKey,
        HttpLimits,
        HttpServer,
        LinkEvent,
        Links,
        LogClient,
        Message,
        Peer,
        Role, //
    },
    process::{
        AgentNode, Appender, Clock, Context, Counters, EntryNode, Node, RoleSettings, Settings,
        heartbeats::Heartbeats, link_settings, lock, log_reader::LogReader, routes,
    },
    utils::HashSet,
};

/// Maximum number of events queued for one thread of the pool.
const MAX_QUEUED_EVENTS: usize = 4_096;

/// Interval between two ticks of the role.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// How often a thread of the pool checks whether the process is stopping.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// How long a peer whose link has ended stays in the roster after its last heartbeat.
const REMOVE_PEER_AFTER: Duration = Duration::from_secs(120);

/// Maximum size of one body, in bytes. The limit in the document may be lower.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Maximum total size of all bodies that the HTTP listener holds at once, in bytes.
const MAX_TOTAL_BODY_BYTES: usize = 96 << 20;

/// How long a stopping process waits for its callers to read their answers.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

/// How long a process keeps running after draining, so that its last heartbeats and answers are
/// sent.
const FINAL_SEND_TIME: Duration = Duration::from_millis(300);

quick_error! {
    /// Why the process did not start.
    #[derive(Debug)]
    pub enum StartError {
        /// The address of a listener can't be bound.
        Bind(place: &'static str, address: SocketAddr, source: io::Error) {
            display("{place}: can't listen on {address}: {source}")
            source(source)
        }
        /// A thread could not be spawned or the metrics could not be set up.
        System(reason: String) {
            display("the process could not be set up: {reason}")
        }
    }
}

/// A running process.
pub struct Daemon {
    cx: Arc<Context>,
    node: Arc<dyn Node>,
    http: HttpServer,
    peers: Option<SocketAddr>,
    stopping: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Daemon {
    /// Starts a process with `settings`.
    ///
    /// # Errors
    ///
    /// Returns a [`StartError`], after which nothing of the process is left running.
    pub fn start(settings: Settings) -> Result<Self, StartError> {
        let (lanes, queues): (Vec<_>, Vec<_>) = (0..settings.threads)
            .map(|_| bounded(MAX_QUEUED_EVENTS))
            .unzip();
        let cx = Arc::new(context(settings, lanes)?);
        let peers = listen(&cx)?;
        let node = node(&cx)?;
        let http = serve_http(&cx, &node)?;
        let mut daemon = Self {
            cx,
            node,
            http,
            peers,
            stopping: Arc::default(),
            threads: Vec::new(),
        };
        daemon.spawn_threads(queues)?;
        log::info!(
            name:% = daemon.cx.identity.name,
            http:% = daemon.http_addr(),
            peers:? = daemon.peers_addr();
            "started"
        );
        Ok(daemon)
    }

    /// Returns the address of the HTTP listener.
    pub fn http_addr(&self) -> SocketAddr {
        self.http.local_addr()
    }

    /// Returns the address of the listener for peer links, which only an entry has.
    pub fn peers_addr(&self) -> Option<SocketAddr> {
        self.peers
    }

    /// Returns the state that the threads of the process share.
    pub fn context(&self) -> &Arc<Context> {
        &self.cx
    }

    /// Stops the process: reports that it is leaving, refuses new work, finishes running work, and
    /// returns when the last answer has been read.
    pub fn stop(self) {
        log::info!(name:% = self.cx.identity.name; "stopping");
        self.node.leave();
        // The load balancer and the entries continue to send work until they notice that the
        // process is leaving. That work is still served; only later requests are refused.
        thread::sleep(self.cx.settings.quiet);
        self.node.drain();
        if !self.http.drain(READ_TIMEOUT) {
            log::warn!(in_flight = self.http.in_flight(); "answers_not_read");
        }
        thread::sleep(FINAL_SEND_TIME);
        self.stopping.store(true, Ordering::Relaxed);
        self.cx.appender.stop();
        for handle in self.threads {
            // A panic has already been logged; the other threads still have to be joined.
            let _ = handle.join();
        }
        log::info!(name:% = self.cx.identity.name; "stopped");
    }

    fn spawn_threads(&mut self, queues: Vec<Receiver<LinkEvent>>) -> Result<(), StartError> {
        let thread_context = Arc::new(ThreadContext {
            cx: self.cx.clone(),
            node: self.node.clone(),
        });
        let (cx, node, stopping) = (&self.cx, &self.node, &self.stopping);
        let threads = &mut self.threads;
        for queue in queues {
            let (shared, stop) = (thread_context.clone(), stopping.clone());
            spawn(threads, "pool", move || shared.handle_events(&queue, &stop))?;
        }
        let (shared, stop) = (thread_context.clone(), stopping.clone());
        spawn(threads, "heartbeats", move || {
            Heartbeats::new(&shared.cx, &*shared.node).run(&stop);
        })?;
        let (shared, stop) = (thread_context, stopping.clone());
        spawn(threads, "log_reader", move || {
            LogReader::new(&shared.cx, &*shared.node).run(&stop);
        })?;
        let (cx_appender, node_appender) = (cx.clone(), node.clone());
        spawn(threads, "appender", move || {
            append(&cx_appender, &*node_appender)
        })?;
        let (cx, node, stop) = (cx.clone(), node.clone(), stopping.clone());
        spawn(threads, "ticker", move || tick(&cx, &*node, &stop))
    }
}

/// The state that the threads of the pool use.
struct ThreadContext {
    cx: Arc<Context>,
    node: Arc<dyn Node>,
}

impl ThreadContext {
    fn handle_events(&self, queue: &Receiver<LinkEvent>, stopping: &AtomicBool) {
        loop {
            match queue.recv_timeout(STOP_POLL_INTERVAL) {
                Ok(event) => self.handle(event),
                Err(RecvTimeoutError::Timeout) if !stopping.load(Ordering::Relaxed) => {}
                Err(_) => return,
            }
        }
    }

    fn handle(&self, event: LinkEvent) {
        match event {
            LinkEvent::Up { peer } => {
                lock(&self.cx.roster).link_up(self.cx.now(), peer.clone());
                self.node.on_link_up(&peer);
            }
            LinkEvent::Down { peer } => {
                lock(&self.cx.roster).link_down(&peer);
                self.node.on_link_down(&peer);
            }
            LinkEvent::Received { from, message } => self.receive(&from, message),
        }
    }

    fn receive(&self, from: &crate::utils::Name, message: Message) {
        let reader = LogReader::new(&self.cx, &*self.node);
        match message {
            Message::Heartbeat(heartbeat) => {
                let view = heartbeat.log;
                let alive_at = {
                    let mut roster = lock(&self.cx.roster);
                    roster.on_heartbeat(self.cx.now(), from, *heartbeat);
                    roster.peer(from).and_then(|p| p.alive_at)
                };
                reader.on_view(from, &view, alive_at);
                self.node.on_heartbeat(from);
            }
            Message::Records(records) => reader.on_records(from, &records),
            Message::Missing { from: offset } => reader.on_missing(from, offset),
            other => self.node.on_message(from, other),
        }
    }
}

fn context(
    settings: Settings,
    lanes: Vec<crossbeam::channel::Sender<LinkEvent>>,
) -> Result<Context, StartError> {
    let system = |e: &dyn std::fmt::Display| StartError::System(e.to_string());
    let role = match settings.role {
        RoleSettings::Entry { .. } => Role::Entry,
        RoleSettings::Agent { .. } => Role::Agent,
    };
    let identity = Peer {
        name: settings.name.clone(),
        role,
        incarnation: rand::random(),
    };
    let links = Links::new(link_settings(&settings, &identity), lanes).map_err(|e| system(&e))?;
    Ok(Context {
        clock: Clock::start(),
        counters: Counters::new().map_err(|e| system(&e))?,
        links,
        log: LogClient::new(&settings.log.to_string(), settings.log_timeout),
        appender: Appender::new(AuthorKey::derive(&settings.secret, &settings.name)),
        fold_order: Default::default(),
        own_address: Default::default(),
        ledger: Default::default(),
        roster: Default::default(),
        freshness: Default::default(),
        identity,
        settings,
    })
}

fn listen(cx: &Context) -> Result<Option<SocketAddr>, StartError> {
    let RoleSettings::Entry { peers, advertise } = cx.settings.role else {
        return Ok(None);
    };
    let listening = cx.links.listen(peers);
    let bound = listening.map_err(|e| StartError::Bind("/peers", peers, e))?;
    cx.own_address.get_or_init(|| advertise.unwrap_or(bound));
    Ok(Some(bound))
}

fn node(cx: &Arc<Context>) -> Result<Arc<dyn Node>, StartError> {
    Ok(match &cx.settings.role {
        RoleSettings::Entry { .. } => Arc::new(EntryNode::new(cx.clone())),
        RoleSettings::Agent { .. } => {
            let node = AgentNode::new(cx.clone());
            Arc::new(node.map_err(|e| StartError::System(e.to_string()))?)
        }
    })
}

fn serve_http(cx: &Arc<Context>, node: &Arc<dyn Node>) -> Result<HttpServer, StartError> {
    let limits = HttpLimits {
        connections: cx.settings.connections,
        body_bytes: MAX_BODY_BYTES,
        total_body_bytes: MAX_TOTAL_BODY_BYTES,
        idle_timeout: cx.settings.http_timeout,
    };
    let address = cx.settings.http;
    let (handler, counters) = (node.clone(), cx.clone());
    HttpServer::start(
        address,
        limits,
        Arc::new(move |req| routes::answer(&counters, &*handler, req)),
    )
    .map_err(|e| StartError::Bind("/http", address, e))
}

fn append(cx: &Context, node: &dyn Node) {
    cx.appender.run(
        &cx.log,
        |pending| lock(&cx.freshness).set_append_pending(cx.now(), pending),
        |id, error| node.on_append_failed(id, error),
    );
}

fn tick(cx: &Context, node: &dyn Node, stopping: &AtomicBool) {
    while !stopping.load(Ordering::Relaxed) {
        lock(&cx.roster).remove_silent(cx.now(), REMOVE_PEER_AFTER);
        cx.links.dial(&entries_to_dial(cx));
        node.tick();
        thread::sleep(TICK_INTERVAL);
    }
}

/// Returns the entries to dial. An agent dials all of them. Of two entries, the one with the
/// smaller address dials the other, so that there is only one link between them.
fn entries_to_dial(cx: &Context) -> Vec<SocketAddr> {
    let known: Vec<SocketAddr> = {
        let ledger = lock(&cx.ledger);
        let entries = ledger.membership.entries();
        entries.values().filter_map(|a| a.parse().ok()).collect()
    };
    let own = cx.own_address.get().copied();
    let all: HashSet<SocketAddr> = known
        .into_iter()
        .chain(cx.settings.entries.iter().copied())
        .filter(|address| own.is_none_or(|own| own < *address))
        .collect();
    all.into_iter().collect()
}

fn spawn(
    threads: &mut Vec<JoinHandle<()>>,
    name: &str,
    run: impl FnOnce() + Send + 'static,
) -> Result<(), StartError> {
    let handle = thread::Builder::new()
        .name(name.to_owned())
        .spawn(run)
        .map_err(|e| StartError::System(e.to_string()))?;
    threads.push(handle);
    Ok(())
}
