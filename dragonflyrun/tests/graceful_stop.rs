//! A planned stop interrupts no request.

use std::{
    io::{Read, Write},
    net::TcpStream,
    sync::{Arc, Barrier},
    thread,
    time::Duration,
};

use crossbeam::channel::bounded;
use dragonflyrun::connection::{HttpLimits, HttpRequest, HttpResponse, HttpServer};
use hyper::StatusCode;

const BODY_BYTES: usize = 4 << 20;
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);

fn limits() -> HttpLimits {
    HttpLimits {
        connections: 64,
        body_bytes: BODY_BYTES,
        total_body_bytes: 64 * BODY_BYTES,
        idle_timeout: Duration::from_secs(5),
    }
}

fn connect(server: &HttpServer) -> TcpStream {
    TcpStream::connect(server.local_addr()).unwrap()
}

fn send_request(stream: &mut TcpStream) {
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
        .unwrap();
}

fn is_complete(answer: &[u8]) -> bool {
    answer.starts_with(b"HTTP/1.1 200") && answer.len() > BODY_BYTES
}

fn read_slowly(mut stream: TcpStream) -> Vec<u8> {
    let mut answer = Vec::new();
    let mut buf = vec![0; 256 << 10];
    loop {
        match stream.read(&mut buf) {
            Ok(0) => return answer,
            Ok(n) => answer.extend_from_slice(&buf[..n]),
            Err(error) => panic!("cut off after {} bytes: {error}", answer.len()),
        }
        thread::sleep(Duration::from_millis(5));
    }
}

/// An operator stops a process while requests are running, with callers that read their answers
/// slowly, and while a caller has connected but not sent its request yet. All callers must receive
/// their complete answers without a connection reset.
#[test]
fn requests_under_way() {
    let (started_tx, started_rx) = bounded::<()>(64);
    let barrier = Arc::new(Barrier::new(9));
    let handler_barrier = barrier.clone();
    let handler = move |_: HttpRequest| {
        started_tx.send(()).unwrap();
        handler_barrier.wait();
        HttpResponse::bytes(StatusCode::OK, vec![b'x'; BODY_BYTES])
    };
    let address = ([127, 0, 0, 1], 0).into();
    let server = Arc::new(HttpServer::start(address, limits(), Arc::new(handler)).unwrap());
    let mut idle = connect(&server);
    let mut busy: Vec<TcpStream> = (0..7).map(|_| connect(&server)).collect();
    busy.iter_mut().for_each(send_request);
    (0..7).for_each(|_| started_rx.recv().unwrap());

    let stopping = server.clone();
    let drained = thread::spawn(move || stopping.drain(DRAIN_TIMEOUT));
    // Once the listener is closed, the stop only waits for the connections.
    while TcpStream::connect(server.local_addr()).is_ok() {
        thread::yield_now();
    }
    send_request(&mut idle);
    started_rx.recv().unwrap();
    barrier.wait();

    busy.push(idle);
    let readers: Vec<_> = busy
        .into_iter()
        .map(|stream| thread::spawn(move || read_slowly(stream)))
        .collect();
    for reader in readers {
        assert!(is_complete(&reader.join().unwrap()));
    }
    assert!(drained.join().unwrap());
    assert_eq!(server.in_flight(), 0);
}

/// A handler never returns. The stop reports this after its timeout instead of blocking forever.
#[test]
fn stuck_request() {
    let (started_tx, started_rx) = bounded::<()>(1);
    let (end_tx, end_rx) = bounded::<()>(1);
    let handler = move |_: HttpRequest| {
        started_tx.send(()).unwrap();
        let _ = end_rx.recv();
        HttpResponse::bytes(StatusCode::OK, Vec::new())
    };
    let address = ([127, 0, 0, 1], 0).into();
    let server = HttpServer::start(address, limits(), Arc::new(handler)).unwrap();
    let mut stream = connect(&server);
    send_request(&mut stream);
    started_rx.recv().unwrap();
    assert!(!server.drain(Duration::from_millis(100)));
    assert_eq!(server.in_flight(), 1);
    end_tx.send(()).unwrap();
    assert!(server.drain(DRAIN_TIMEOUT));
}
