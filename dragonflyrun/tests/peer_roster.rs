//! What a process knows of its peers, and which agents get work.

use std::time::Duration;

use dragonflyrun::{
    connection::{
        AgentReport,
        BackendReport,
        Heartbeat,
        LogView,
        MemberReport,
        MemberState,
        Peer,
        Report,
        Role, //
    },
    job::GangId,
    process::{MAX_PEER_SILENCE, Roster},
    utils::{Name, Timestamp},
};

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn peer(incarnation: u64) -> Peer {
    Peer {
        name: "worker-1".into(),
        role: Role::Agent,
        incarnation,
    }
}

fn heartbeat(echo_ms: Option<u64>, report: Option<Report>) -> Heartbeat {
    Heartbeat {
        sent_ms: 5,
        echo_ms,
        change: 1,
        log: LogView::default(),
        report,
    }
}

fn backend(free: u32) -> BackendReport {
    BackendReport {
        name: "scaling-1".into(),
        service: "scaling".into(),
        slots: 8,
        free,
        leaving: false,
    }
}

fn full_report(leaving: bool) -> Report {
    let gang = GangId {
        job: "job-1".into(),
        term: 1,
        attempt: 1,
    };
    Report::Agent(AgentReport {
        failure_domain: "murau".into(),
        rack: "murau-1".into(),
        accelerators: 8,
        backends: vec![backend(8)],
        members: vec![MemberReport {
            number: 1,
            gang,
            members: 2,
            state: MemberState::Running,
        }],
        leaving,
    })
}

fn roster_with(report: Option<Report>) -> Roster {
    let mut roster = Roster::default();
    roster.link_up(at(0), peer(1));
    roster.on_heartbeat(at(100), &"worker-1".into(), heartbeat(None, report));
    roster
}

fn live(roster: &Roster, now: Timestamp) -> bool {
    roster.is_live(now, &Name::from("worker-1"))
}

/// An agent is frozen: it sends no heartbeats, but its link stays up because the kernel still
/// answers. Guards against sending it requests, which would wait until their deadline.
#[test]
fn silent_peer() {
    let roster = roster_with(Some(full_report(false)));
    assert!(live(&roster, at(100) + MAX_PEER_SILENCE));
    assert!(!live(&roster, at(101) + MAX_PEER_SILENCE));
    assert_eq!(roster.agents(at(101) + MAX_PEER_SILENCE).count(), 0);
}

#[test]
fn leaving_peer() {
    assert!(!live(&roster_with(Some(full_report(true))), at(100)));
}

/// An agent dies and its successor connects before the old link has closed. Guards against a late
/// close of the old link that takes the successor out of work.
#[test]
fn successor_stays() {
    let mut roster = roster_with(Some(full_report(false)));
    roster.link_up(at(200), peer(2));
    roster.link_down(&peer(1));
    assert!(live(&roster, at(300)));
    roster.link_down(&peer(2));
    assert!(!live(&roster, at(300)));
}

/// This process was frozen for ten seconds and reads a heartbeat from its receive buffer. The peer
/// may be dead by now. Guards against treating the heartbeat as new; only its echo tells its age.
#[test]
fn buffered_heartbeat() {
    let mut roster = roster_with(None);
    let name = Name::from("worker-1");
    roster.on_heartbeat(at(10_100), &name, heartbeat(Some(50), None));
    assert_eq!(roster.peer(&name).unwrap().alive_at, Some(at(50)));
    roster.on_heartbeat(at(10_200), &name, heartbeat(Some(10_150), None));
    assert_eq!(roster.peer(&name).unwrap().alive_at, Some(at(10_150)));
    // A heartbeat that was overtaken or echoes another clock doesn't change the confirmed time.
    roster.on_heartbeat(at(10_300), &name, heartbeat(Some(60), None));
    roster.on_heartbeat(at(10_300), &name, heartbeat(Some(99_999), None));
    assert_eq!(roster.peer(&name).unwrap().alive_at, Some(at(10_150)));
}

#[test]
fn report_parts() {
    let mut roster = roster_with(Some(full_report(false)));
    let name = Name::from("worker-1");
    let part = Report::Backends(vec![backend(3)]);
    roster.on_heartbeat(at(200), &name, heartbeat(None, Some(part.clone())));
    roster.on_heartbeat(at(300), &name, heartbeat(None, None));
    let (_, report) = roster.agents(at(300)).next().unwrap();
    assert_eq!(report.backends, [backend(3)]);
    assert_eq!(report.members.len(), 1);
    // A partial report without a full one before it isn't enough to give the agent work.
    let only_part = roster_with(Some(part));
    assert_eq!(only_part.agents(at(200)).count(), 0);
}

#[test]
fn forgotten_peer() {
    let long = Duration::from_secs(120);
    let mut roster = roster_with(Some(full_report(false)));
    roster.remove_silent(at(500_000), long);
    assert_eq!(roster.all().len(), 1);
    roster.link_down(&peer(1));
    roster.remove_silent(at(500_000), long);
    assert!(roster.all().is_empty());
}
