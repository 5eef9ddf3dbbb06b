//! The HTTP server of entries and agents. All its resources are limited, and stopping it does not
//! cut off any request.
//!
//! It is built on hyper, because the system's promises depend on three properties that oxhttp's
//! server lacks; `docs/REQUESTS.md`, HTTP, describes the trial.

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

/// Maximum number of connections over the limit that are refused at the same time. Further
/// connections wait in the operating system's backlog.
const MAX_CONCURRENT_REFUSALS: usize = 64;

/// Blocking threads in addition to one for each connection, so that a refusal never waits for a
/// thread.
const SPARE_THREADS: usize = 8;

/// Delay after a failed accept. If the process is out of file descriptors, an immediate retry would
/// busy-loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time that a stopping server waits for the next connection that the operating system has already
/// accepted.
const BACKLOG_ACCEPT_TIMEOUT: Duration = Duration::from_millis(20);

/// Answers a request. It may block.
pub type Handler = dyn Fn(HttpRequest) -> HttpResponse + Send + Sync;

/// Limits on the resources that untrusted clients can use.
#[derive(Clone, Copy, Debug)]
pub struct HttpLimits {
    /// Maximum number of concurrent connections.
    pub connections: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Maximum total size in bytes of all request bodies in memory.
    pub total_body_bytes: usize,
    /// Time limit for a complete request head, and for each later pause of the peer in sending the
    /// request or reading the answer.
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
    /// Listens at `address` and passes each request to `handler`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound or the threads can't be started.
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

    /// Returns the bound address.
    pub fn local_addr(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of requests that have started and whose answers are not yet completely
    /// written.
    pub fn in_flight(&self) -> usize {
        self.connections.in_flight()
    }

    /// Stops accepting connections and waits up to `max_wait` until the open ones have ended.
    /// Returns whether all have ended.
    ///
    /// Before this call, a process that stops must report on its readiness page that it is not
    /// ready, refuse new work in its handler, and give the load balancer time to notice. The call
    /// also waits for connections that have sent nothing yet, because a request may be in transit.
    pub fn drain(&self, max_wait: Duration) -> bool {
        self.stop.send_replace(true);
        self.connections.wait_until_closed(max_wait)
    }
}

impl Drop for HttpServer {
    /// Shuts down the server's threads without waiting for handlers, which may never return.
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
    // The operating system has already accepted these; closing the listener would reset them.
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
    // This waits if the maximum number of refusals is in progress; each ends in bounded time.
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
