//! Peer links: authenticated WebSocket connections between the processes of a deployment.
//!
//! See `docs/DESIGN.md`, peer links, for which process dials which, and for how processes of
//! different versions communicate.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        atomic::{AtomicU64, Ordering}, //
    },
    time::Duration,
};

use crossbeam::channel::{Sender, TrySendError};
use futures_util::{
    SinkExt,
    StreamExt,
    stream::{SplitSink, SplitStream}, //
};
use quick_error::quick_error;
use tokio::{
    net::{TcpListener, TcpStream},
    runtime::Runtime,
    sync::{Semaphore, mpsc},
    task::JoinHandle,
    time::{sleep, timeout}, //
};
use tokio_tungstenite::{
    WebSocketStream,
    tungstenite::{self, protocol::WebSocketConfig}, //
};

use crate::{
    connection::{
        Message,
        codec,
        handshake::{self, Peer}, //
    },
    utils::{HashMap, HashSet, Name, lock},
};

/// Maximum size of a message in bytes: a request body of the maximum size with its envelope.
pub(crate) const MAX_MESSAGE_BYTES: usize = 17 << 20;

/// Maximum number of connections whose peer has not yet proved that it knows the secret.
const MAX_UNAUTHENTICATED_CONNECTIONS: usize = 64;

/// Time limit for the handshake, in which the peer must prove that it knows the secret.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);

/// Time without a frame after which a link is closed, so that the socket of a dead peer does not
/// stay open.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Delay before a peer is dialed again, and before the listener accepts again after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Maximum number of messages that are queued for one peer.
const MAX_QUEUED_MESSAGES: usize = 4_096;

/// Delay before an event is sent again to a lane that was full.
const LANE_RETRY_DELAY: Duration = Duration::from_millis(1);

type Stream = WebSocketStream<TcpStream>;

quick_error! {
    /// The reason why a message was not queued on a link. The message has not been sent.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    pub enum SendError {
        /// No link to the peer is open.
        NotLinked {
            display("not linked to the peer")
        }
        /// The peer reads messages more slowly than they are queued.
        Full {
            display("the peer's queue is full")
        }
    }
}

/// An event on a link. The events of one peer are reported in order.
#[derive(Debug)]
pub enum LinkEvent {
    /// A link to a peer opened; the peer has proved that it knows the secret.
    Up {
        /// The identity of the peer.
        peer: Peer,
    },
    /// The link to a peer closed.
    Down {
        /// The identity of the peer.
        peer: Peer,
    },
    /// A peer sent a message.
    Received {
        /// The name of the peer that sent the message.
        from: Name,
        /// The message, as decoded from its frame.
        message: Message,
    },
}

/// An open link.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct OpenLink {
    /// The name of the peer.
    pub peer: Name,
    /// A number that distinguishes the link from earlier links to the same peer.
    pub link: u64,
}

/// The settings of a process that its links need.
#[derive(Clone, Debug)]
pub struct LinkSettings {
    /// The identity of this process.
    pub identity: Peer,
    /// The secret that all processes of one deployment share.
    pub secret: Name,
}

/// All links of one process.
pub struct Links {
    shared: Arc<Shared>,
    runtime: Runtime,
    dialers: Mutex<HashMap<SocketAddr, JoinHandle<()>>>,
}

struct Shared {
    settings: LinkSettings,
    lanes: Vec<Sender<LinkEvent>>,
    next_link: AtomicU64,
    peers: Mutex<HashMap<Name, Outbound>>,
}

/// The sending half of a link, with a number that distinguishes it from other links to the same
/// peer.
struct Outbound {
    link: u64,
    tx: mpsc::Sender<Message>,
}

impl Links {
    /// Starts the threads that serve the links. Each of the `lanes` is a channel for events. All
    /// events of a peer go to the same lane, so they stay in order.
    ///
    /// # Errors
    ///
    /// Returns an error if the threads can't be started.
    pub fn new(settings: LinkSettings, lanes: Vec<Sender<LinkEvent>>) -> io::Result<Self> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .thread_name("links")
            .enable_all()
            .build()?;
        let shared = Arc::new(Shared {
            settings,
            lanes,
            next_link: AtomicU64::new(0),
            peers: Mutex::default(),
        });
        Ok(Self {
            shared,
            runtime,
            dialers: Mutex::default(),
        })
    }

    /// Starts to accept links at `address` and returns the bound address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub fn listen(&self, address: SocketAddr) -> io::Result<SocketAddr> {
        let listener = self.runtime.block_on(TcpListener::bind(address))?;
        let bound = listener.local_addr()?;
        self.runtime.spawn(accept(self.shared.clone(), listener));
        Ok(bound)
    }

    /// Maintains a link to each of `addresses` and stops dialing all other addresses.
    pub fn dial(&self, addresses: &[SocketAddr]) {
        let wanted: HashSet<SocketAddr> = addresses.iter().copied().collect();
        let mut dialers = lock(&self.dialers);
        dialers.retain(|address, task| {
            let keep = wanted.contains(address);
            if !keep {
                task.abort();
            }
            keep
        });
        for address in wanted {
            dialers
                .entry(address)
                .or_insert_with(|| self.runtime.spawn(dial(self.shared.clone(), address)));
        }
    }

    /// Queues `message` on the link to `peer` without blocking.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`] if the message was not queued; it is then never sent. A message that
    /// was queued may still be lost.
    pub fn send(&self, peer: &Name, message: Message) -> Result<(), SendError> {
        let peers = lock(&self.shared.peers);
        let outbound = peers.get(peer).ok_or(SendError::NotLinked)?;
        outbound.tx.try_send(message).map_err(|e| match e {
            mpsc::error::TrySendError::Full(_) => SendError::Full,
            mpsc::error::TrySendError::Closed(_) => SendError::NotLinked,
        })
    }

    /// Returns the open links, ordered by the names of their peers.
    pub fn open_links(&self) -> Vec<OpenLink> {
        let mut open: Vec<OpenLink> = lock(&self.shared.peers)
            .iter()
            .map(|(peer, outbound)| OpenLink {
                peer: peer.clone(),
                link: outbound.link,
            })
            .collect();
        open.sort();
        open
    }
}

async fn accept(shared: Arc<Shared>, listener: TcpListener) {
    let unauthenticated = Arc::new(Semaphore::new(MAX_UNAUTHENTICATED_CONNECTIONS));
    loop {
        let Ok(permit) = unauthenticated.clone().acquire_owned().await else {
            return;
        };
        let Ok((stream, _)) = listener.accept().await else {
            // The process may be out of file descriptors; an immediate retry would busy-loop.
            sleep(RETRY_DELAY).await;
            continue;
        };
        let shared = shared.clone();
        tokio::spawn(async move {
            let connected = timeout(HANDSHAKE_TIMEOUT, accept_peer(&shared, stream)).await;
            drop(permit);
            if let Ok(Ok((stream, peer))) = connected {
                run_link(shared, stream, peer).await;
            }
        });
    }
}

async fn dial(shared: Arc<Shared>, address: SocketAddr) {
    loop {
        let connected = timeout(HANDSHAKE_TIMEOUT, connect_to_peer(&shared, address)).await;
        match connected {
            Ok(Ok((stream, peer))) => run_link(shared.clone(), stream, peer).await,
            Ok(Err(error)) => log::debug!(address:% = address, error:% = error; "dial_failed"),
            Err(_) => log::debug!(address:% = address, error = "timeout"; "dial_failed"),
        }
        sleep(RETRY_DELAY).await;
    }
}

async fn accept_peer(
    shared: &Shared,
    stream: TcpStream,
) -> Result<(Stream, Peer), tungstenite::Error> {
    stream.set_nodelay(true)?;
    // An unauthenticated peer may make us buffer only a short message.
    let handshake_config = socket_config(handshake::MAX_HANDSHAKE_BYTES);
    let mut socket =
        tokio_tungstenite::accept_async_with_config(stream, Some(handshake_config)).await?;
    let peer = handshake::accept(&mut socket, &shared.settings).await?;
    // The dialer sends nothing between its proof and our confirmation, so no byte is lost here.
    let stream = socket.into_inner();
    let role = tungstenite::protocol::Role::Server;
    let message_config = socket_config(MAX_MESSAGE_BYTES);
    let mut socket = WebSocketStream::from_raw_socket(stream, role, Some(message_config)).await;
    handshake::confirm_proof(&mut socket).await?;
    Ok((socket, peer))
}

async fn connect_to_peer(
    shared: &Shared,
    address: SocketAddr,
) -> Result<(Stream, Peer), tungstenite::Error> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let url = format!("ws://{address}/");
    let message_config = socket_config(MAX_MESSAGE_BYTES);
    let (mut socket, _) =
        tokio_tungstenite::client_async_with_config(url, stream, Some(message_config)).await?;
    let peer = handshake::dial(&mut socket, &shared.settings).await?;
    Ok((socket, peer))
}

fn socket_config(bytes: usize) -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(bytes))
        .max_frame_size(Some(bytes))
}

async fn run_link(shared: Arc<Shared>, stream: Stream, peer: Peer) {
    let link = shared.next_link.fetch_add(1, Ordering::Relaxed);
    let (tx, rx) = mpsc::channel(MAX_QUEUED_MESSAGES);
    let (sink, source) = stream.split();
    shared.report(LinkEvent::Up { peer: peer.clone() }).await;
    lock(&shared.peers).insert(peer.name.clone(), Outbound { link, tx });
    log::info!(peer:% = peer.name, link = link; "link_up");
    tokio::select! {
        () = write(sink, rx) => {}
        () = read(&shared, source, &peer) => {}
    }
    let replaced = {
        let mut peers = lock(&shared.peers);
        let current = peers.get(&peer.name).is_some_and(|o| o.link == link);
        if current {
            peers.remove(&peer.name);
        }
        !current
    };
    log::info!(peer:% = peer.name, link = link, replaced = replaced; "link_down");
    if !replaced {
        shared.report(LinkEvent::Down { peer }).await;
    }
}

async fn write(mut sink: SplitSink<Stream, tungstenite::Message>, mut rx: mpsc::Receiver<Message>) {
    while let Some(message) = rx.recv().await {
        let frame = tungstenite::Message::binary(codec::encode(&message));
        if sink.send(frame).await.is_err() {
            return;
        }
    }
}

async fn read(shared: &Shared, mut source: SplitStream<Stream>, peer: &Peer) {
    while let Ok(Some(Ok(frame))) = timeout(READ_TIMEOUT, source.next()).await {
        if !frame.is_binary() {
            continue;
        }
        match codec::decode::<Message>(&frame.into_data()) {
            Ok(message) => {
                let from = peer.name.clone();
                shared.report(LinkEvent::Received { from, message }).await;
            }
            // A newer peer may send messages that this version does not know; the link stays open.
            Err(error) => {
                log::warn!(peer:% = peer.name, error:% = error; "message_not_understood");
            }
        }
    }
}

impl Shared {
    async fn report(&self, event: LinkEvent) {
        let name = match &event {
            LinkEvent::Up { peer } | LinkEvent::Down { peer } => &peer.name,
            LinkEvent::Received { from, .. } => from,
        };
        let lane = &self.lanes[lane_index(name, self.lanes.len())];
        let mut event = event;
        // While the lane is full, no more frames are read, which applies backpressure to the peer.
        while let Err(TrySendError::Full(unsent)) = lane.try_send(event) {
            event = unsent;
            sleep(LANE_RETRY_DELAY).await;
        }
    }
}

fn lane_index(name: &Name, lanes: usize) -> usize {
    use std::hash::BuildHasher;
    let hash = rustc_hash::FxBuildHasher.hash_one(name);
    usize::try_from(hash % lanes as u64).unwrap_or(0)
}
