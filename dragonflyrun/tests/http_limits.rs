//! The HTTP server enforces its limits on untrusted clients, and answers one request per connection
//! completely.

use std::{
    io::{Read, Write},
    net::TcpStream,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering}, //
    },
    thread,
    time::{Duration, Instant},
};

use arbtest::arbtest;
use dragonflyrun::connection::{HttpLimits, HttpRequest, HttpResponse, HttpServer};
use hyper::StatusCode;

/// The server's idle timeout, short enough for a test. Each time limit below is a multiple of it.
const IDLE_TIMEOUT: Duration = Duration::from_millis(300);

struct Server {
    server: HttpServer,
    handled: Arc<AtomicUsize>,
}

/// Starts a server that echoes bodies.
fn start(connections: usize, total_body_bytes: usize) -> Server {
    let handled = Arc::new(AtomicUsize::new(0));
    let count = handled.clone();
    let handler = move |req: HttpRequest| {
        count.fetch_add(1, Ordering::SeqCst);
        HttpResponse::bytes(StatusCode::OK, req.body)
    };
    let limits = HttpLimits {
        connections,
        body_bytes: 1 << 20,
        total_body_bytes,
        idle_timeout: IDLE_TIMEOUT,
    };
    let address = ([127, 0, 0, 1], 0).into();
    let server = HttpServer::start(address, limits, Arc::new(handler)).unwrap();
    Server { server, handled }
}

impl Server {
    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.server.local_addr()).unwrap();
        let timeout = Some(Duration::from_secs(20));
        stream.set_read_timeout(timeout).unwrap();
        stream
    }

    fn exchange(&self, request: &[u8]) -> String {
        let mut stream = self.connect();
        // The server may have answered and closed the connection before it has read everything.
        let _ = stream.write_all(request);
        read_all(&mut stream)
    }

    fn wait_until_begun(&self) {
        while self.server.in_flight() == 0 {
            thread::yield_now();
        }
    }
}

fn read_all(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    // The server may reset the connection after a complete answer; the bytes read so far count.
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

fn post(body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head = format!("POST / HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\r\n");
    [head.as_bytes(), body].concat()
}

#[test]
fn large_bodies() {
    let server = start(8, 8 << 20);
    let body = vec![b'x'; 1 << 20];
    let answer = server.exchange(&post(&body));
    assert!(answer.starts_with("HTTP/1.1 200"));
    assert!(answer.ends_with(&"x".repeat(1 << 20)));
}

/// A caller sends a body over the limit and must receive 413 with "not run". Most callers write
/// their complete body before they read, so after an early close they would see only a reset.
#[test]
fn over_limit() {
    let server = start(8, 8 << 20);
    let chunk = format!("{:x}\r\n{}\r\n", 1 << 20, "x".repeat(1 << 20));
    let head = "POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n";
    let chunked = [head.to_owned(), chunk.repeat(8), "0\r\n\r\n".to_owned()].concat();
    for request in [post(&vec![b'x'; 8 << 20]), chunked.into_bytes()] {
        let mut stream = server.connect();
        stream.write_all(&request).unwrap();
        let answer = read_all(&mut stream);
        assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
        assert!(answer.contains("dragonfly-outcome: not-run"), "{answer}");
    }
    assert_eq!(server.handled.load(Ordering::SeqCst), 0);
}

/// Callers send large bodies at the same time. Together these would exhaust the memory long before
/// any single body exceeds its limit, so a caller over the total limit is told to try again later.
#[test]
fn held_bytes() {
    let server = start(8, 600 << 10);
    let answer = server.exchange(&post(&vec![b'x'; 700 << 10]));
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("retry-after: 1"), "{answer}");
    // The refused body no longer counts towards the total.
    let answer = server.exchange(&post(&vec![b'x'; 500 << 10]));
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert_eq!(server.handled.load(Ordering::SeqCst), 1);
}

/// A sender slowly sends one header line after another. With a timeout for each read only, it could
/// occupy its connection for hours, and a few dozen such senders could block the listener.
#[test]
fn slow_head() {
    let server = start(8, 8 << 20);
    let mut stream = server.connect();
    let begun = Instant::now();
    stream.write_all(b"GET / HTTP/1.1\r\n").unwrap();
    let mut lines = 0;
    while stream.write_all(b"a: b\r\n").is_ok() && lines < 100 {
        lines += 1;
        thread::sleep(IDLE_TIMEOUT / 5);
    }
    assert!(lines < 100, "still open after {:?}", begun.elapsed());
    assert_eq!(server.handled.load(Ordering::SeqCst), 0);
}

/// A sender stops in the middle of its body and must receive 408 with "not run".
#[test]
fn incomplete_body() {
    let server = start(8, 8 << 20);
    let whole = post(b"0123456789");
    let answer = server.exchange(&whole[..whole.len() - 5]);
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(answer.contains("dragonfly-outcome: not-run"), "{answer}");
}

/// A caller requests a large answer and does not read it. The server must close the connection.
#[test]
fn stalled_reader() {
    let limits = HttpLimits {
        connections: 1,
        body_bytes: 1 << 20,
        total_body_bytes: 8 << 20,
        idle_timeout: IDLE_TIMEOUT,
    };
    let handler = |_: HttpRequest| HttpResponse::bytes(StatusCode::OK, vec![0; 64 << 20]);
    let address = ([127, 0, 0, 1], 0).into();
    let server = HttpServer::start(address, limits, Arc::new(handler)).unwrap();
    let mut stream = TcpStream::connect(server.local_addr()).unwrap();
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
        .unwrap();
    assert!(server.drain(Duration::from_secs(20)));
}

/// All connections are in use. One more caller must be refused immediately instead of waiting.
#[test]
fn too_many_connections() {
    let server = start(1, 8 << 20);
    let mut first = server.connect();
    let whole = post(b"x");
    first.write_all(&whole[..whole.len() - 1]).unwrap();
    server.wait_until_begun();
    let answer = server.exchange(&post(b""));
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("retry-after: 1"), "{answer}");
}

/// A caller pipelines a second request. It must not receive anything that it could take for the
/// answer to the second request: the first answer states that the connection is closed.
#[test]
fn pipelined_requests() {
    let server = start(8, 8 << 20);
    let two = [post(b"first"), post(b"second")].concat();
    let answer = server.exchange(&two);
    assert_eq!(answer.matches("HTTP/1.1").count(), 1, "{answer}");
    assert!(answer.contains("connection: close"), "{answer}");
    assert!(answer.ends_with("first"), "{answer}");
    assert_eq!(server.handled.load(Ordering::SeqCst), 1);
}

/// Untrusted clients send arbitrary bytes. The server must continue to serve other clients.
#[test]
fn arbitrary_bytes() {
    let server = start(8, 8 << 20);
    for n in 0..200 {
        arbtest(|u| {
            let mut bytes = u.bytes(u.len())?.to_vec();
            if n % 2 == 0 {
                bytes.splice(0..0, *b"POST /v1/services/x/requests HTTP/1.1\r\n");
            }
            let mut stream = server.connect();
            let _ = stream.write_all(&bytes);
            let _ = stream.shutdown(std::net::Shutdown::Write);
            read_all(&mut stream);
            Ok(())
        })
        .seed(n << 32 | 500)
        .run();
    }
    assert!(server.exchange(&post(b"alive")).ends_with("alive"));
}
