//! How an agent interprets complete and incomplete answers of its backend server.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    thread,
};

use dragonflyrun::connection::{BackendRequest, NotRun, Outcome, RequestId, run_at_backend};

const MAX_BODY_BYTES: u64 = 1_000;

/// Starts a backend server that answers one request with the bytes `answer` and then closes the
/// connection.
fn server(answer: &[u8]) -> (SocketAddr, thread::JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let answer = answer.to_vec();
    let served = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut head = Vec::new();
        let mut buf = [0; 1_024];
        while !head.ends_with(b"body") {
            let n = stream.read(&mut buf).unwrap();
            head.extend_from_slice(&buf[..n]);
        }
        stream.write_all(&answer).unwrap();
        String::from_utf8(head).unwrap()
    });
    (address, served)
}

fn run(address: SocketAddr) -> Outcome {
    let req = BackendRequest {
        id: RequestId {
            entry: "entry#1".into(),
            number: 7,
        },
        service: "checks".into(),
        key: Some("ticket".into()),
        body: b"body".to_vec(),
    };
    run_at_backend(address, req, MAX_BODY_BYTES)
}

fn outcome(answer: &[u8]) -> Outcome {
    let (address, served) = server(answer);
    let outcome = run(address);
    served.join().unwrap();
    outcome
}

#[test]
fn complete_answer() {
    let (address, served) = server(b"HTTP/1.1 201 Created\r\ncontent-length: 5\r\n\r\ngrade");
    let done = Outcome::Done {
        status: 201,
        length: 5,
        body: b"grade".to_vec(),
    };
    assert_eq!(run(address), done);
    let request = served.join().unwrap().to_lowercase();
    assert!(request.starts_with("post /v1/run http/1.1"), "{request}");
    for header in [
        "dragonfly-service: checks",
        "dragonfly-request: entry#1/7",
        "idempotency-key: ticket",
    ] {
        assert!(request.contains(header), "{request}");
    }
    let chunked = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n";
    assert!(matches!(outcome(chunked), Outcome::Done { length: 2, .. }));
    let empty = b"HTTP/1.1 204 No Content\r\n\r\n";
    assert!(matches!(outcome(empty), Outcome::Done { length: 0, .. }));
}

/// A backend server dies while it answers. The request ran, so the agent must not take the partial
/// answer for a complete one: neither with a length, nor with chunks, nor if only the end of the
/// connection marks the end of the answer.
#[test]
fn cut_off_answers() {
    let answers: [&[u8]; 6] = [
        b"",
        b"HTTP/1.1 200 OK\r\ncontent-le",
        b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\ngra",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\ngra",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\ngra\r\n",
        b"HTTP/1.1 200 OK\r\n\r\ngrade",
    ];
    for answer in answers {
        assert_eq!(
            outcome(answer),
            Outcome::Unknown,
            "{:?}",
            String::from_utf8_lossy(answer)
        );
    }
}

/// An answer exceeds the size that may be passed on. The request ran, so "not run" would be wrong.
#[test]
fn too_large_answer() {
    let head = format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n",
        MAX_BODY_BYTES + 1
    );
    let answer = [head.into_bytes(), vec![b'x'; 1_001]].concat();
    assert_eq!(outcome(&answer), Outcome::Unknown);
}

/// A request counts as not run only if the backend server was not reached or states that it did not
/// run the request. A plain 503 may be sent after the request ran.
#[test]
fn not_run() {
    let refused = Outcome::NotRun {
        reason: NotRun::Refused,
        retry_after_ms: 500,
    };
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let closed = listener.local_addr().unwrap();
    drop(listener);
    assert_eq!(run(closed), refused);
    let marked_not_run =
        b"HTTP/1.1 503 Busy\r\ndragonfly-not-run: true\r\ncontent-length: 0\r\n\r\n";
    assert_eq!(outcome(marked_not_run), refused);
    let plain = b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n";
    assert!(matches!(outcome(plain), Outcome::Done { status: 503, .. }));
}
