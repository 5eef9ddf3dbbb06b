//! The shared state of a server's connections, and the handling of one connection.

use std::{
    convert::Infallible,
    io,
    pin::Pin,
    sync::{
        Arc,
        Condvar,
        Mutex,
        MutexGuard,
        PoisonError,
        atomic::{AtomicU64, Ordering}, //
    },
    task::{Context, Poll},
    time::{Duration, Instant},
};

use http_body_util::Full;
use hyper::{
    Request,
    Response,
    StatusCode,
    body::{Bytes, Incoming},
    header::HeaderName,
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf},
    net::TcpStream,
    sync::Notify,
    time::{sleep, timeout}, //
};

use super::{
    Handler,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    body::{BufferedBody, TotalBodyBytes}, //
};

/// Maximum size of a request head in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 64;

/// Time limit for writing a complete answer to a reader that keeps reading, in units of
/// [`HttpLimits::idle_timeout`].
const IDLE_TIMEOUTS_PER_ANSWER: u32 = 12;

/// Maximum time for which remaining input from the peer is read after the answer.
const LINGER_TIME: Duration = Duration::from_secs(1);

/// Milliseconds after which a caller that the server refused may try again.
const RETRY_AFTER_MS: u64 = 1_000;

const OUTCOME_HEADER: HeaderName = HeaderName::from_static("dragonfly-outcome");

/// The shared state of a server's connections.
pub(super) struct Connections {
    limits: HttpLimits,
    handler: Arc<Handler>,
    body_bytes: TotalBodyBytes,
    counts: Mutex<Counts>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct Counts {
    listener_closed: bool,
    open: usize,
    in_flight: usize,
}

/// Counts a connection as open until it is dropped.
pub(super) struct OpenGuard(Arc<Connections>);

/// Counts a request as in flight until its connection has ended.
struct InFlightGuard(Arc<Connections>);

impl Connections {
    pub(super) fn new(limits: HttpLimits, handler: Arc<Handler>) -> Self {
        Self {
            limits,
            handler,
            body_bytes: TotalBodyBytes::default(),
            counts: Mutex::default(),
            changed: Condvar::new(),
        }
    }

    pub(super) fn limits(&self) -> &HttpLimits {
        &self.limits
    }

    pub(super) fn count_open(self: &Arc<Self>) -> OpenGuard {
        self.counts().open += 1;
        OpenGuard(self.clone())
    }

    pub(super) fn in_flight(&self) -> usize {
        self.counts().in_flight
    }

    pub(super) fn listener_closed(&self) {
        self.counts().listener_closed = true;
        self.changed.notify_all();
    }

    pub(super) fn wait_until_closed(&self, max_wait: Duration) -> bool {
        let busy = |counts: &mut Counts| !counts.listener_closed || counts.open > 0;
        let waited = self
            .changed
            .wait_timeout_while(self.counts(), max_wait, busy);
        let (mut counts, _) = waited.unwrap_or_else(PoisonError::into_inner);
        !busy(&mut counts)
    }

    fn counts(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Serves the one request of a connection.
    ///
    /// The connection is closed after the answer. A kept-alive connection could be closed during a
    /// stop only by guessing that no further request is in transit, and a wrong guess would cut
    /// that request off.
    pub(super) async fn serve(self: &Arc<Self>, stream: TcpStream) {
        let answered = Arc::new(Notify::new());
        let written = Arc::new(AtomicU64::new(0));
        let io = CountingStream {
            stream,
            written: written.clone(),
        };
        let in_flight = Arc::new(Mutex::new(None));
        let service = service_fn(|req| {
            // The guard outlives the answer; it is dropped when the connection ends.
            *in_flight.lock().unwrap_or_else(PoisonError::into_inner) =
                Some(self.count_in_flight());
            let answered = answered.clone();
            async move {
                let response = self.answer(req).await;
                answered.notify_one();
                Ok::<_, Infallible>(response)
            }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(self.limits.idle_timeout)
            .max_buf_size(MAX_HEAD_BYTES)
            .max_headers(MAX_HEADERS)
            .keep_alive(false)
            .serve_connection(TokioIo::new(io), service);
        let ended = tokio::select! {
            ended = connection.without_shutdown() => ended.map_err(|e| e.to_string()),
            () = self.reader_stalled(&answered, &written) => Err("reader_stalled".to_owned()),
        };
        match ended {
            Ok(parts) => linger(parts.io.into_inner().stream).await,
            Err(error) => log::debug!(error = error; "http_connection_ended"),
        }
    }

    /// Refuses a connection over the limit and tells the caller when to try again.
    pub(super) async fn refuse(&self, mut stream: TcpStream) {
        let answer = format!(
            "HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\ncontent-length: 0\r\n\
             dragonfly-outcome: not-run\r\nretry-after: {}\r\n\r\n",
            RETRY_AFTER_MS.div_ceil(1_000),
        );
        let written = timeout(
            self.limits.idle_timeout,
            stream.write_all(answer.as_bytes()),
        )
        .await;
        if matches!(written, Ok(Ok(()))) {
            linger(stream).await;
        }
    }

    fn count_in_flight(self: &Arc<Self>) -> InFlightGuard {
        self.counts().in_flight += 1;
        InFlightGuard(self.clone())
    }

    async fn answer(self: &Arc<Self>, req: Request<Incoming>) -> Response<Full<Bytes>> {
        let (head, body) = req.into_parts();
        let response = match BufferedBody::read(&self.body_bytes, &self.limits, body).await {
            Ok(mut body) => {
                let req = HttpRequest {
                    method: head.method,
                    path: head.uri.path().to_owned(),
                    query: head.uri.query().map(str::to_owned),
                    headers: head.headers,
                    body: std::mem::take(&mut body.bytes),
                };
                self.handle(req).await
            }
            // The handler has not seen the request, so it has certainly not run.
            Err(status) => HttpResponse::text(status, status.canonical_reason().unwrap_or(""))
                .with_header(OUTCOME_HEADER, "not-run")
                .with_retry_after(RETRY_AFTER_MS),
        };
        let mut answer = Response::new(Full::new(Bytes::from(response.body)));
        *answer.status_mut() = response.status;
        *answer.headers_mut() = response.headers;
        answer
    }

    async fn handle(self: &Arc<Self>, req: HttpRequest) -> HttpResponse {
        let handler = self.handler.clone();
        let handled = tokio::task::spawn_blocking(move || handler(req)).await;
        handled.unwrap_or_else(|error| {
            log::error!(error:% = error; "handler_failed");
            HttpResponse::text(StatusCode::INTERNAL_SERVER_ERROR, "failed")
        })
    }

    /// Returns when the reader of the answer has paused for too long or taken too long in total.
    async fn reader_stalled(&self, answered: &Notify, written: &AtomicU64) {
        answered.notified().await;
        let mut previous = written.load(Ordering::Relaxed);
        for _ in 0..IDLE_TIMEOUTS_PER_ANSWER {
            sleep(self.limits.idle_timeout).await;
            let now = written.load(Ordering::Relaxed);
            if now == previous {
                return;
            }
            previous = now;
        }
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.counts().open -= 1;
        self.0.changed.notify_all();
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.counts().in_flight -= 1;
    }
}

/// Closes a connection in a way that lets the peer read the complete answer.
///
/// Closing a socket with unread input resets the connection, and on a reset the peer's operating
/// system discards the part of the answer that the peer has not read yet. Therefore the write side
/// is closed first, and the remaining input is read for up to [`LINGER_TIME`].
async fn linger(mut stream: TcpStream) {
    if stream.shutdown().await.is_err() {
        return;
    }
    let end = Instant::now() + LINGER_TIME;
    let mut buf = [0; 4_096];
    while let Some(remaining) = end.checked_duration_since(Instant::now()) {
        match timeout(remaining, stream.read(&mut buf)).await {
            Ok(Ok(n)) if n > 0 => {}
            _ => return,
        }
    }
}

/// A stream that counts the bytes that have been written to it.
struct CountingStream {
    stream: TcpStream,
    written: Arc<AtomicU64>,
}

impl AsyncRead for CountingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for CountingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(n)) = polled {
            self.written.fetch_add(n as u64, Ordering::Relaxed);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
