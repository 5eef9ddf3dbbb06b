//! Peer links between processes, and connections from unauthorized peers.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use crossbeam::channel::{Receiver, bounded};
use dragonflyrun::connection::{
    LinkEvent, LinkSettings, Links, Message, Peer, RequestId, RequestMessage, Role, SendError,
};
use dragonflyrun::utils::Name;

const SECRET: &str = "a secret of the test deployment";
const TIMEOUT: Duration = Duration::from_secs(30);

struct Process {
    links: Links,
    events: Receiver<LinkEvent>,
}

fn process(name: &str, role: Role, secret: &str) -> Process {
    let identity = Peer {
        name: name.into(),
        role,
        incarnation: 7,
    };
    let settings = LinkSettings {
        identity,
        secret: secret.into(),
    };
    let (tx, events) = bounded(1_024);
    let links = Links::new(settings, vec![tx]).unwrap();
    Process { links, events }
}

fn entry(secret: &str) -> (Process, SocketAddr) {
    let entry = process("entry-1", Role::Entry, secret);
    let address = entry.links.listen("127.0.0.1:0".parse().unwrap()).unwrap();
    (entry, address)
}

fn received(number: u64) -> Message {
    let entry = Name::from("entry-1");
    let id = RequestId { entry, number };
    Message::Request(RequestMessage::Received { id })
}

impl Process {
    fn next(&self) -> LinkEvent {
        self.events.recv_timeout(TIMEOUT).unwrap()
    }

    fn wait_up(&self) -> Name {
        match self.next() {
            LinkEvent::Up { peer } => peer.name,
            other => panic!("not a new link: {other:?}"),
        }
    }

    fn send(&self, to: &str, message: Message) {
        let to = Name::from(to);
        while let Err(SendError::NotLinked) = self.links.send(&to, message.clone()) {
            std::thread::yield_now();
        }
    }
}

#[test]
fn both_ways() {
    let (entry, address) = entry(SECRET);
    let agent = process("agent-1", Role::Agent, SECRET);
    agent.links.dial(&[address]);
    assert_eq!(&*entry.wait_up(), "agent-1");
    assert_eq!(&*agent.wait_up(), "entry-1");
    for number in 0..100 {
        entry.send("agent-1", received(number));
        agent.send("entry-1", received(number));
    }
    for number in 0..100 {
        for process in [&entry, &agent] {
            match process.next() {
                LinkEvent::Received { message, .. } => assert_eq!(message, received(number)),
                other => panic!("not a message: {other:?}"),
            }
        }
    }
}

/// A process with the secret of another deployment dials an entry, by misconfiguration or on
/// purpose. If it were accepted, it could announce backend servers and read callers' requests.
#[test]
fn wrong_secret() {
    let (entry, address) = entry(SECRET);
    let stranger = process("agent-1", Role::Agent, "another secret of some deployment");
    stranger.links.dial(&[address]);
    let agent = process("agent-2", Role::Agent, SECRET);
    agent.links.dial(&[address]);
    // The stranger dialed first and keeps dialing, yet the agent's link is the first to open.
    assert_eq!(&*entry.wait_up(), "agent-2");
    assert!(stranger.events.is_empty());
    let links = entry.links.open_links();
    assert_eq!(links.len(), 1);
}

/// A port scanner or a faulty program connects and sends bytes that are not a handshake, a partial
/// handshake, or nothing. If the entry panicked or waited forever on such a connection, it could no
/// longer accept links, and operators would see all agents disappear.
#[test]
fn malformed_handshake() {
    let (entry, address) = entry(SECRET);
    arbtest::arbtest(|u| {
        let bytes: Vec<u8> = u.arbitrary()?;
        let mut stream = TcpStream::connect(address).unwrap();
        let upgrade: bool = u.arbitrary()?;
        if upgrade {
            let _ = stream.write_all(
                b"GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n\
                  Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n",
            );
        }
        let _ = stream.write_all(&bytes);
        Ok(())
    })
    .budget_ms(500);
    let agent = process("agent-1", Role::Agent, SECRET);
    agent.links.dial(&[address]);
    assert_eq!(&*entry.wait_up(), "agent-1");
}

/// An unauthenticated peer connects and sends a first message of many megabytes. If the entry
/// buffered such messages, a few of them would exhaust the memory of a small host.
#[test]
fn oversized_handshake() {
    let (_entry, address) = entry(SECRET);
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream
        .write_all(
            b"GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n\
              Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n",
        )
        .unwrap();
    // The header of a masked binary frame of 16 MiB, of which only the first part is sent.
    let mut frame = vec![0x82, 0xff];
    frame.extend((16_u64 << 20).to_be_bytes());
    frame.extend([0; 4]);
    frame.extend(vec![0; 8 << 10]);
    let _ = stream.write_all(&frame);
    // The entry must close the connection without waiting for the remaining bytes.
    let mut answer = Vec::new();
    let end = stream.read_to_end(&mut answer);
    let timed_out = end.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock);
    assert!(!timed_out, "the entry still waits for the rest");
}

/// An agent dies, and its successor with the same name opens a link before the old link has closed.
/// Messages to the name must reach the successor, or its work would appear lost.
#[test]
fn replaced_link() {
    let (entry, address) = entry(SECRET);
    let old = process("agent-1", Role::Agent, SECRET);
    old.links.dial(&[address]);
    entry.wait_up();
    old.wait_up();
    let new = process("agent-1", Role::Agent, SECRET);
    new.links.dial(&[address]);
    entry.wait_up();
    new.wait_up();
    loop {
        entry.send("agent-1", received(1));
        if let Ok(LinkEvent::Received { .. }) = new.events.recv_timeout(Duration::from_millis(50)) {
            return;
        }
    }
}
