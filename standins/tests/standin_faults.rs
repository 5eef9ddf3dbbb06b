//! The stand-ins inject the faults that `docs/PLATFORM.md` describes.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::{
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    thread,
    time::Duration,
};

use dragonflyrun::{
    connection::{LogClient, LogError},
    utils::Name,
};
use standins::{
    harness::wait_until,
    log::{LogControl, LogMode, LogService},
    relay::{LinkMode, Relay},
    worker::{Checkpoints, LeaseError, LeaseState, LeaseTable, Start},
};

const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const TIMEOUT: Duration = Duration::from_secs(20);
const NO_WAIT: Duration = Duration::ZERO;

fn log() -> (LogService, LogClient) {
    let log = LogService::start(ANY_PORT).unwrap();
    let client = LogClient::new(&log.address().to_string(), TIMEOUT);
    (log, client)
}

fn set(log: &LogService, mode: LogMode) {
    log.control(LogControl {
        mode: Some(mode),
        ..LogControl::default()
    });
}

fn texts(number: usize) -> Vec<String> {
    (0..number).map(|n| format!("record {n}")).collect()
}

#[test]
fn log_outage() {
    let (log, client) = log();
    assert_eq!(client.append(&texts(3)).unwrap(), 0);
    set(&log, LogMode::Refuse);
    assert!(matches!(
        client.append(&texts(1)),
        Err(LogError::Refused(_))
    ));
    assert!(matches!(
        client.read(0, 9, NO_WAIT),
        Err(LogError::Refused(_))
    ));
    set(&log, LogMode::Up);
    assert_eq!(client.read(0, 9, NO_WAIT).unwrap().head, 3);
}

#[test]
fn lost_answer() {
    let (log, client) = log();
    set(&log, LogMode::LoseAppends);
    assert!(matches!(
        client.append(&texts(1)),
        Err(LogError::Uncertain(_))
    ));
    assert_eq!(client.read(0, 9, NO_WAIT).unwrap().records.len(), 1);
}

#[test]
fn late_append() {
    let (log, client) = log();
    set(&log, LogMode::Hang);
    let impatient = LogClient::new(&log.address().to_string(), Duration::from_millis(100));
    assert!(matches!(
        impatient.append(&texts(1)),
        Err(LogError::Uncertain(_))
    ));
    assert_eq!(log.status().head, 0);
    set(&log, LogMode::Up);
    wait_until("the late append", || log.status().head == 1);
    assert_eq!(client.read(0, 9, NO_WAIT).unwrap().records.len(), 1);
}

#[test]
fn dropped_records() {
    let (log, client) = log();
    client.append(&texts(5)).unwrap();
    log.control(LogControl {
        keep: Some(2),
        ..LogControl::default()
    });
    let page = client.read(0, 9, NO_WAIT).unwrap();
    let offsets: Vec<u64> = page.records.iter().map(|r| r.offset).collect();
    assert_eq!((page.first, page.head, offsets), (3, 5, vec![3, 4]));
}

#[test]
fn long_poll() {
    let (log, client) = log();
    let reader = thread::spawn(move || client.read(0, 9, TIMEOUT).unwrap());
    let writer = LogClient::new(&log.address().to_string(), TIMEOUT);
    writer.append(&texts(1)).unwrap();
    assert_eq!(reader.join().unwrap().records.len(), 1);
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn table() -> LeaseTable {
    let checkpoints = Checkpoints::default();
    LeaseTable::new(8, Name::from("murau"), NO_WAIT, at(50), checkpoints)
}

fn start(attempt: u32, resume: bool) -> Start {
    Start {
        job: Name::from("reconstruction"),
        attempt,
        member: 0,
        tasks: 4,
        program: Name::from("sleep:1000"),
        resume,
    }
}

/// Advances the table every 10 ms, as the worker's thread does.
fn pass(table: &mut LeaseTable, from: u64, to: u64) {
    (from..=to).step_by(10).for_each(|ms| table.advance(at(ms)));
}

/// A suspended holder renews its lease too late. The lease must stay lapsed and its tasks stopped.
#[test]
fn lapsed_lease() {
    let (mut table, lease) = (table(), Name::from("a"));
    table.obtain(at(0), &lease, 8, at(300)).unwrap();
    table.start(at(0), &lease, start(1, false)).unwrap();
    let other = Name::from("b");
    assert_eq!(
        table.obtain(at(10), &other, 1, at(300)),
        Err(LeaseError::NotFree)
    );
    pass(&mut table, 10, 300);
    assert_eq!(
        table.renew(at(310), &lease, at(300)),
        Err(LeaseError::Ended)
    );
    assert_eq!(
        table.start(at(310), &lease, start(1, false)),
        Err(LeaseError::Ended)
    );
    assert_eq!(table.intervals()[0].stopped_unix_ms, Some(300));
    table.obtain(at(310), &other, 8, at(300)).unwrap();
}

/// The worker is suspended past the end of a lease. When it resumes, it must stop the task before
/// it serves a pending renewal.
#[test]
fn frozen_worker() {
    let (mut table, lease) = (table(), Name::from("a"));
    table.obtain(at(0), &lease, 8, at(600)).unwrap();
    table.start(at(0), &lease, start(1, false)).unwrap();
    pass(&mut table, 10, 100);
    assert_eq!(
        table.renew(at(5_000), &lease, at(600)),
        Err(LeaseError::Ended)
    );
    let ran: Vec<_> = table
        .intervals()
        .iter()
        .map(|i| i.stopped_unix_ms)
        .collect();
    assert_eq!(ran, [Some(100)]);
}

/// The worker is suspended for less than the lease. The suspension must not count as work of the
/// task.
#[test]
fn short_freeze() {
    let (mut table, lease) = (table(), Name::from("a"));
    table.obtain(at(0), &lease, 8, at(9_000)).unwrap();
    table.start(at(0), &lease, start(1, false)).unwrap();
    pass(&mut table, 10, 500);
    pass(&mut table, 1_500, 1_990);
    assert_eq!(
        table.view(at(1_990), &lease).unwrap().state,
        LeaseState::Running
    );
    table.advance(at(2_000));
    assert_eq!(
        table.view(at(2_000), &lease).unwrap().state,
        LeaseState::Finished
    );
    let ran: Vec<_> = table
        .intervals()
        .iter()
        .map(|i| i.stopped_unix_ms)
        .collect();
    assert_eq!(ran, [Some(500), Some(2_000)]);
}

/// A job is stopped with a checkpoint. Its next attempt must need only the remaining run time.
#[test]
fn checkpoint_kept() {
    let (mut table, first, second) = (table(), Name::from("a"), Name::from("b"));
    table.obtain(at(0), &first, 8, at(9_000)).unwrap();
    table.start(at(0), &first, start(1, false)).unwrap();
    pass(&mut table, 10, 700);
    table.stop(at(700), &first, true).unwrap();
    assert!(table.view(at(700), &first).unwrap().checkpointed);
    table.obtain(at(710), &second, 8, at(9_000)).unwrap();
    table.start(at(710), &second, start(2, true)).unwrap();
    pass(&mut table, 720, 1_010);
    assert_eq!(
        table.view(at(1_010), &second).unwrap().state,
        LeaseState::Finished
    );
}

#[test]
fn relay_faults() {
    let listener = TcpListener::bind(ANY_PORT).unwrap();
    let relay = Relay::start(ANY_PORT, listener.local_addr().unwrap()).unwrap();
    let mut client = TcpStream::connect(relay.address()).unwrap();
    let (mut server, _) = listener.accept().unwrap();
    let mut buf = [0; 5];
    client.write_all(b"one").unwrap();
    server.read_exact(&mut buf[..3]).unwrap();

    relay.set_mode(LinkMode::Frozen);
    client.write_all(b"two").unwrap();
    server.set_read_timeout(Some(at(100))).unwrap();
    assert!(
        server.read(&mut buf).is_err(),
        "a frozen link forwards nothing"
    );
    relay.set_mode(LinkMode::Pass);
    server.set_read_timeout(Some(TIMEOUT)).unwrap();
    server.read_exact(&mut buf[..3]).unwrap();
    assert_eq!(&buf[..3], b"two");

    relay.set_mode(LinkMode::Cut);
    client.set_read_timeout(Some(TIMEOUT)).unwrap();
    assert_eq!(
        client.read(&mut buf).unwrap_or(0),
        0,
        "a cut link is closed"
    );
    assert_eq!(relay.max_open(), 1);
}
