//! The HTTP server of entries and agents: bounded on every side, and stopped without a cut.
//!
//! Built on hyper, since a promise rests on three things that oxhttp's server does not give;
//! `docs/REQUESTS.md`, HTTP, quotes the trial.

mod body;
mod connections;
mod message;

use std::{
    io,
    net::{self, SocketAddr},
    sync::Arc,
    time::Duration, //
};

use tokio::{
    net::{TcpListener, TcpStream},
    runtime::Runtime,
    sync::{OwnedSemaphorePermit, Semaphore, watch},
    time::{sleep, timeout}, //
};

use connections::Connections;
pub use message::{HttpRequest, HttpResponse};

/// Connections over the limit that are told so at once; any more wait in the system's backlog.
const MAX_CONCURRENT_REFUSALS: usize = 64;

/// Threads besides one for each connection, so that a refusal never waits for one.
const SPARE_THREADS: usize = 8;

/// Pause after a failed accept: out of descriptors, accepting again at once would only spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time for which a stopping server looks for connections that the system has already accepted.
const BACKLOG_ACCEPT_TIMEOUT: Duration = Duration::from_millis(20);

/// Answers one request; may block.
pub type Handler = dyn Fn(HttpRequest) -> HttpResponse + Send + Sync;

/// What a stranger may make the server hold.
#[derive(Clone, Copy, Debug)]
pub struct HttpLimits {
    /// Connections at once.
    pub connections: usize,
    /// Bytes of one body.
    pub body_bytes: usize,
    /// Bytes of all bodies that are held at once.
    pub total_body_bytes: usize,
    /// How long a whole header may take, and how long a sender or a reader may pause later on.
    pub idle_timeout: Duration,
}

/// A running server.
pub struct HttpServer {
    address: SocketAddr,
    connections: Arc<Connections>,
    stop: watch::Sender<bool>,
    runtime: Option<Runtime>,
}

impl HttpServer {
    /// Listens at `address` and gives each request to `handler`.
    ///
    /// # Errors
    ///
    /// Where the address can't be bound or the system gives no thread.
    pub fn start(
        address: SocketAddr,
        limits: HttpLimits,
        handler: Arc<Handler>,
    ) -> io::Result<Self> {
        let listener = net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .max_blocking_threads(limits.connections + SPARE_THREADS)
            .thread_name("http")
            .enable_all()
            .build()?;
        let listener = {
            let _guard = runtime.enter();
            TcpListener::from_std(listener)?
        };
        let connections = Arc::new(Connections::new(limits, handler));
        let (stop, stopped) = watch::channel(false);
        runtime.spawn(accept(connections.clone(), listener, stopped));
        Ok(Self {
            address,
            connections,
            stop,
            runtime: Some(runtime),
        })
    }

    /// Returns the address that was bound.
    pub fn local_addr(&self) -> SocketAddr {
        self.address
    }

    /// Returns the requests that were begun and whose answers have not been written to the end.
    pub fn in_flight(&self) -> usize {
        self.connections.in_flight()
    }

    /// Accepts no more connections and waits up to `max_wait` until the open ones have ended; returns
    /// whether all have.
    ///
    /// Whoever stops a process first has its readiness page say so and its handler refuse new
    /// work, gives the balancer time to notice, and then calls this. A connection that has sent
    /// nothing yet is waited for too: its request may be on its way.
    pub fn drain(&self, max_wait: Duration) -> bool {
        self.stop.send_replace(true);
        self.connections.wait_until_closed(max_wait)
    }
}

impl Drop for HttpServer {
    /// Ends the server's threads without waiting for a handler that never comes back.
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

async fn accept(
    connections: Arc<Connections>,
    listener: TcpListener,
    mut stopped: watch::Receiver<bool>,
) {
    let max_connections = connections.limits().connections;
    let permits = Arc::new(Semaphore::new(max_connections));
    let refusals = Arc::new(Semaphore::new(MAX_CONCURRENT_REFUSALS));
    loop {
        tokio::select! {
            biased;
            _ = stopped.changed() => break,
            next = listener.accept() => match next {
                Ok((stream, _)) => dispatch(&connections, stream, &permits, &refusals).await,
                Err(error) => {
                    log::warn!(error:% = error; "accept_failed");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
        }
    }
    // The system has accepted these on our behalf; closing the listener would reset them.
    while let Ok(Ok((stream, _))) = timeout(BACKLOG_ACCEPT_TIMEOUT, listener.accept()).await {
        dispatch(&connections, stream, &permits, &refusals).await;
    }
    connections.listener_closed();
}

async fn dispatch(
    connections: &Arc<Connections>,
    stream: TcpStream,
    permits: &Arc<Semaphore>,
    refusals: &Arc<Semaphore>,
) {
    if let Ok(permit) = permits.clone().try_acquire_owned() {
        spawn_connection(connections, stream, permit, false);
        return;
    }
    // Waits where even the refusals are all in use; each of them ends within a bound.
    if let Ok(permit) = refusals.clone().acquire_owned().await {
        spawn_connection(connections, stream, permit, true);
    }
}

fn spawn_connection(
    connections: &Arc<Connections>,
    stream: TcpStream,
    permit: OwnedSemaphorePermit,
    refuse: bool,
) {
    let guard = connections.count_open();
    let connections = connections.clone();
    tokio::spawn(async move {
        if refuse {
            connections.refuse(stream).await;
        } else {
            connections.serve(stream).await;
        }
        drop(guard);
        drop(permit);
    });
}
