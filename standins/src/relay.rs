//! A TCP relay whose connections can be cut, frozen and delayed.

use std::{
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        Condvar,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    thread,
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// Maximum number of bytes that are forwarded at once.
const MAX_CHUNK_BYTES: usize = 64 << 10;

/// How the relay handles its connections.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LinkMode {
    /// All bytes are forwarded.
    #[default]
    Pass,
    /// All connections are closed, and new ones as soon as they are accepted.
    Cut,
    /// Nothing is forwarded and no connection is closed, as if a switch dropped all packets.
    Frozen,
    /// Only bytes from the target are held back: calls take effect but are not answered.
    OneWay,
}

/// A change of the relay. Absent fields leave the current value unchanged.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct RelayControl {
    /// How connections are handled.
    pub mode: Option<LinkMode>,
    /// Delay of each forwarded chunk in milliseconds.
    pub delay_ms: Option<u64>,
}

/// A running relay.
#[derive(Clone)]
pub struct Relay {
    address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    link: Mutex<Link>,
    changed: Condvar,
}

struct Link {
    target: SocketAddr,
    mode: LinkMode,
    delay: Duration,
    open: Vec<(u64, TcpStream)>,
    accepted: u64,
    max_open: usize,
}

impl Relay {
    /// Starts a relay at `address` that forwards to `target`.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub fn start(address: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let link = Link {
            target,
            mode: LinkMode::Pass,
            delay: Duration::ZERO,
            open: Vec::new(),
            accepted: 0,
            max_open: 0,
        };
        let shared = Arc::new(Shared {
            link: Mutex::new(link),
            changed: Condvar::new(),
        });
        let accepting = shared.clone();
        thread::Builder::new()
            .name("relay".to_owned())
            .spawn(move || {
                for stream in listener.incoming().flatten() {
                    accepting.accept(stream);
                }
            })?;
        Ok(Self { address, shared })
    }

    /// Returns the address at which it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes how connections are handled.
    pub fn control(&self, control: RelayControl) {
        let mut link = self.shared.lock();
        link.mode = control.mode.unwrap_or(link.mode);
        if let Some(ms) = control.delay_ms {
            link.delay = Duration::from_millis(ms);
        }
        if link.mode == LinkMode::Cut {
            for (_, stream) in &link.open {
                close(stream);
            }
        }
        self.shared.changed.notify_all();
    }

    /// Sets the mode and leaves the delay unchanged.
    pub fn set_mode(&self, mode: LinkMode) {
        self.control(RelayControl {
            mode: Some(mode),
            delay_ms: None,
        });
    }

    /// Forwards new connections to `target`.
    pub fn set_target(&self, target: SocketAddr) {
        self.shared.lock().target = target;
    }

    /// Returns the maximum number of concurrent connections so far.
    pub fn max_open(&self) -> usize {
        self.shared.lock().max_open
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Link> {
        self.link.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn accept(self: &Arc<Self>, client: TcpStream) {
        if self.lock().mode == LinkMode::Cut {
            return;
        }
        let shared = self.clone();
        let spawned = thread::Builder::new()
            .name("relay".to_owned())
            .spawn(move || shared.forward_connection(&client));
        if let Err(error) = spawned {
            log::warn!(error:% = error; "relay_failed");
        }
    }

    /// Forwards bytes in both directions until both sides have closed.
    fn forward_connection(&self, client: &TcpStream) {
        self.wait_while_blocked(false);
        let target = self.lock().target;
        let Ok(server) = TcpStream::connect(target) else {
            return;
        };
        let _ = client.set_nodelay(true);
        let _ = server.set_nodelay(true);
        let (Ok(client_copy), Ok(server_copy)) = (client.try_clone(), server.try_clone()) else {
            return;
        };
        let id = self.register(client_copy, server_copy);
        thread::scope(|scope| {
            scope.spawn(|| self.forward(client, &server, false));
            self.forward(&server, client, true);
        });
        self.lock().open.retain(|(open, _)| *open != id);
    }

    fn register(&self, client: TcpStream, server: TcpStream) -> u64 {
        let mut link = self.lock();
        link.accepted += 1;
        let id = link.accepted;
        if link.mode == LinkMode::Cut {
            close(&client);
            close(&server);
        }
        link.open.push((id, client));
        link.open.push((id, server));
        link.max_open = link.max_open.max(link.open.len() / 2);
        id
    }

    fn forward(&self, mut from: &TcpStream, mut to: &TcpStream, from_target: bool) {
        let mut buf = vec![0; MAX_CHUNK_BYTES];
        loop {
            let read = from.read(&mut buf).unwrap_or(0);
            let delay = self.wait_while_blocked(from_target);
            if read == 0 {
                break;
            }
            thread::sleep(delay);
            self.wait_while_blocked(from_target);
            if to.write_all(&buf[..read]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Write);
        let _ = from.shutdown(Shutdown::Read);
    }

    /// Waits until this direction is no longer blocked, and returns the delay of a chunk.
    fn wait_while_blocked(&self, from_target: bool) -> Duration {
        let is_blocked = |mode: LinkMode| match mode {
            LinkMode::Pass | LinkMode::Cut => false,
            LinkMode::Frozen => true,
            LinkMode::OneWay => from_target,
        };
        self.changed
            .wait_while(self.lock(), |l| is_blocked(l.mode))
            .unwrap_or_else(PoisonError::into_inner)
            .delay
    }
}

fn close(stream: &TcpStream) {
    // The peer may already have closed the connection.
    let _ = stream.shutdown(Shutdown::Both);
}
