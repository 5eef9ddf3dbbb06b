//! A planned stop cuts off no request.

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

const BODY: usize = 4 << 20;
const MOST: Duration = Duration::from_secs(30);

fn limits() -> HttpLimits {
    HttpLimits {
        connections: 64,
        body_bytes: BODY,
        total_body_bytes: 64 * BODY,
        idle_timeout: Duration::from_secs(5),
    }
}

fn connect(server: &HttpServer) -> TcpStream {
    TcpStream::connect(server.local_addr()).unwrap()
}

fn ask(stream: &mut TcpStream) {
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
        .unwrap();
}

fn is_whole(answer: &[u8]) -> bool {
    answer.starts_with(b"HTTP/1.1 200") && answer.len() > BODY
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

/// An operator stops a process while requests are running in it, while their answers are being
/// read slowly, and while a caller has connected and not yet asked. All of them read their whole
/// answers; none sees its connection reset.
#[test]
fn requests_under_way() {
    let (begin, begun) = bounded::<()>(64);
    let go = Arc::new(Barrier::new(9));
    let gate = go.clone();
    let handler = move |_: HttpRequest| {
        begin.send(()).unwrap();
        gate.wait();
        HttpResponse::bytes(StatusCode::OK, vec![b'x'; BODY])
    };
    let address = ([127, 0, 0, 1], 0).into();
    let server = Arc::new(HttpServer::start(address, limits(), Arc::new(handler)).unwrap());
    let mut silent = connect(&server);
    let mut asked: Vec<TcpStream> = (0..7).map(|_| connect(&server)).collect();
    asked.iter_mut().for_each(ask);
    (0..7).for_each(|_| begun.recv().unwrap());

    let stopping = server.clone();
    let drained = thread::spawn(move || stopping.drain(MOST));
    // Once the listener is closed, the stop waits for the connections only.
    while TcpStream::connect(server.local_addr()).is_ok() {
        thread::yield_now();
    }
    ask(&mut silent);
    begun.recv().unwrap();
    go.wait();

    asked.push(silent);
    let readers: Vec<_> = asked
        .into_iter()
        .map(|stream| thread::spawn(move || read_slowly(stream)))
        .collect();
    for reader in readers {
        assert!(is_whole(&reader.join().unwrap()));
    }
    assert!(drained.join().unwrap());
    assert_eq!(server.in_flight(), 0);
}

/// A handler never comes back. The stop says so after its bound instead of hanging for ever.
#[test]
fn stuck_request() {
    let (begin, begun) = bounded::<()>(1);
    let (end, ended) = bounded::<()>(1);
    let handler = move |_: HttpRequest| {
        begin.send(()).unwrap();
        let _ = ended.recv();
        HttpResponse::bytes(StatusCode::OK, Vec::new())
    };
    let address = ([127, 0, 0, 1], 0).into();
    let server = HttpServer::start(address, limits(), Arc::new(handler)).unwrap();
    let mut stream = connect(&server);
    ask(&mut stream);
    begun.recv().unwrap();
    assert!(!server.drain(Duration::from_millis(100)));
    assert_eq!(server.in_flight(), 1);
    end.send(()).unwrap();
    assert!(server.drain(MOST));
}
