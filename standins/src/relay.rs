//! A relay between two TCP ports whose link can be cut, frozen and delayed.

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

/// Bytes that are forwarded in one go, at the most.
const PIECE_BYTES: usize = 64 << 10;

/// What becomes of the bytes on the link.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LinkMode {
    /// They are forwarded.
    #[default]
    Pass,
    /// Connections are closed, and new ones as soon as they were accepted.
    Cut,
    /// Nothing is forwarded, and no connection is closed, as when a switch drops all packets.
    Frozen,
    /// Only what comes from the target is held back: calls are carried out and get no answer.
    OneWay,
}

/// What `POST /control` sets; what is absent stays as it is.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct RelayControl {
    /// What becomes of the bytes.
    pub mode: Option<LinkMode>,
    /// Milliseconds by which each piece is delayed.
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
    most_open: usize,
}

impl Relay {
    /// Starts a relay at `address` that forwards to `target`.
    ///
    /// # Errors
    ///
    /// Where the address can't be bound.
    pub fn start(address: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let link = Link {
            target,
            mode: LinkMode::Pass,
            delay: Duration::ZERO,
            open: Vec::new(),
            accepted: 0,
            most_open: 0,
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

    /// Returns where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what becomes of the bytes.
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

    /// Sets the mode alone.
    pub fn set(&self, mode: LinkMode) {
        self.control(RelayControl {
            mode: Some(mode),
            delay_ms: None,
        });
    }

    /// Forwards later connections to `target`.
    pub fn set_target(&self, target: SocketAddr) {
        self.shared.lock().target = target;
    }

    /// Returns the most connections that were open at once.
    pub fn most_open(&self) -> usize {
        self.shared.lock().most_open
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Link> {
        self.link.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn accept(self: &Arc<Self>, near: TcpStream) {
        if self.lock().mode == LinkMode::Cut {
            return;
        }
        let shared = self.clone();
        let spawned = thread::Builder::new()
            .name("relay".to_owned())
            .spawn(move || shared.carry(&near));
        if let Err(error) = spawned {
            log::warn!(error:% = error; "relay_failed");
        }
    }

    /// Forwards both ways until both sides have closed.
    fn carry(&self, near: &TcpStream) {
        self.wait_while_held(false);
        let target = self.lock().target;
        let Ok(far) = TcpStream::connect(target) else {
            return;
        };
        let _ = near.set_nodelay(true);
        let _ = far.set_nodelay(true);
        let (Ok(near_copy), Ok(far_copy)) = (near.try_clone(), far.try_clone()) else {
            return;
        };
        let id = self.register(near_copy, far_copy);
        thread::scope(|scope| {
            scope.spawn(|| self.forward(near, &far, false));
            self.forward(&far, near, true);
        });
        self.lock().open.retain(|(open, _)| *open != id);
    }

    fn register(&self, near: TcpStream, far: TcpStream) -> u64 {
        let mut link = self.lock();
        link.accepted += 1;
        let id = link.accepted;
        if link.mode == LinkMode::Cut {
            close(&near);
            close(&far);
        }
        link.open.push((id, near));
        link.open.push((id, far));
        link.most_open = link.most_open.max(link.open.len() / 2);
        id
    }

    fn forward(&self, mut from: &TcpStream, mut to: &TcpStream, is_answer: bool) {
        let mut buf = vec![0; PIECE_BYTES];
        loop {
            let read = from.read(&mut buf).unwrap_or(0);
            let delay = self.wait_while_held(is_answer);
            if read == 0 {
                break;
            }
            thread::sleep(delay);
            self.wait_while_held(is_answer);
            if to.write_all(&buf[..read]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Write);
        let _ = from.shutdown(Shutdown::Read);
    }

    /// Waits until the link carries this direction and returns its delay.
    fn wait_while_held(&self, is_answer: bool) -> Duration {
        let held = |mode: LinkMode| match mode {
            LinkMode::Pass | LinkMode::Cut => false,
            LinkMode::Frozen => true,
            LinkMode::OneWay => is_answer,
        };
        self.changed
            .wait_while(self.lock(), |l| held(l.mode))
            .unwrap_or_else(PoisonError::into_inner)
            .delay
    }
}

fn close(stream: &TcpStream) {
    // The other side may have closed it already.
    let _ = stream.shutdown(Shutdown::Both);
}
