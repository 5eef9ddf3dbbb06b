//! Builds decision tables, requests and answers for tests.

#![allow(dead_code)] // Each test file uses only a part.

use std::sync::Arc;

use dragonflyrun::{
    Name, Timestamp,
    connection::{Message, NotRun, Outcome, Peer, RequestId, RequestMessage, Role},
    request::{
        AgentTable, AgentView, BackendAnnouncement, CallerRequest, EntryAction, EntryTable, Ring,
        RunOrder, ServiceView,
    },
    version::{Document, Version},
};

pub(crate) fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

/// A configuration with the services `checks` (repeatable) and `bookings` (not repeatable).
pub(crate) fn version(retry_percent: u32) -> Arc<Version> {
    let document = serde_json::json!({"sections": {"all": {
        "owners": ["ops"],
        "failure_domains": [{"name": "murau"}],
        "services": [
            {"name": "checks", "urgency": "urgent", "repeatable": true, "queue_limit": 4},
            {"name": "bookings", "urgency": "urgent", "queue_limit": 4},
        ],
        "limits": {"retry_percent": retry_percent, "body_bytes": 100},
    }}});
    let document: Document = serde_json::from_value(document).unwrap();
    Arc::new(Version::new(1, document))
}

/// An entry with heartbeats from `agents` at 1,000 ms that report `slots` free slots each.
pub(crate) fn entry(agents: &[&str], slots: u32) -> EntryTable {
    let mut table = EntryTable::new("entry#1".into(), 7);
    table.set_version(version(20));
    let names: Vec<Name> = agents.iter().map(|a| (*a).into()).collect();
    table.set_ring(1, &Ring::new(&names));
    for agent in agents {
        table.update_agent(view(agent, 1_000, slots, slots));
    }
    table
}

pub(crate) fn view(agent: &str, heard: u64, slots: u32, free: u32) -> AgentView {
    let service = |name: &str| ServiceView {
        service: name.into(),
        slots,
        free,
    };
    AgentView {
        name: agent.into(),
        incarnation: 1,
        sent_ms: heard,
        heard: at(heard),
        usable: true,
        out_of_service: false,
        services: vec![service("checks"), service("bookings")],
    }
}

pub(crate) fn check() -> CallerRequest {
    CallerRequest {
        service: "checks".into(),
        key: None,
        attempt: 1,
        deadline_ms: Some(5_000),
        urgency: None,
        body: b"body".to_vec(),
    }
}

pub(crate) fn booking(key: &str, attempt: u32) -> CallerRequest {
    CallerRequest {
        service: "bookings".into(),
        key: Some(key.into()),
        attempt,
        ..check()
    }
}

pub(crate) fn done(text: &str) -> Outcome {
    Outcome::Done {
        status: 200,
        length: text.len() as u64,
        body: text.as_bytes().to_vec(),
    }
}

pub(crate) fn not_run(reason: NotRun) -> Outcome {
    Outcome::NotRun {
        reason,
        retry_after_ms: 100,
    }
}

/// The requests sent to agents among `actions`.
pub(crate) fn runs(actions: &[EntryAction]) -> Vec<(Name, RequestId)> {
    let run = |action: &EntryAction| match action {
        EntryAction::Send {
            to,
            message: Message::Request(RequestMessage::Run { id, .. }),
        } => Some((to.clone(), id.clone())),
        _ => None,
    };
    actions.iter().filter_map(run).collect()
}

/// The final answers among `actions`.
pub(crate) fn answers(actions: &[EntryAction]) -> Vec<(u64, Outcome)> {
    let answer = |action: &EntryAction| match action {
        EntryAction::Answer { number, outcome } => Some((*number, outcome.clone())),
        _ => None,
    };
    actions.iter().filter_map(answer).collect()
}

/// The reasons of the refusals among `actions`.
pub(crate) fn refusals(actions: &[EntryAction]) -> Vec<NotRun> {
    let reason = |(_, outcome)| match outcome {
        Outcome::NotRun { reason, .. } => Some(reason),
        _ => None,
    };
    answers(actions).into_iter().filter_map(reason).collect()
}

pub(crate) fn peer(name: &str, role: Role, incarnation: u64) -> Peer {
    Peer {
        name: name.into(),
        role,
        incarnation,
    }
}

/// An agent of incarnation 1 with one backend server, linked to an entry.
pub(crate) fn agent(slots: u32, connections: u32) -> AgentTable {
    let mut table = AgentTable::new(1);
    table.announce(at(1_000), announcement(slots, connections));
    table.entry_up(&peer("entry", Role::Entry, 1));
    table
}

pub(crate) fn announcement(slots: u32, connections: u32) -> BackendAnnouncement {
    BackendAnnouncement {
        name: "backend".into(),
        service: "checks".into(),
        address: ([127, 0, 0, 1], 9).into(),
        slots,
        connections,
        leaving: false,
    }
}

pub(crate) fn order(number: u64) -> RunOrder {
    RunOrder {
        id: RequestId {
            entry: "entry#1".into(),
            number,
        },
        incarnation: 1,
        service: "checks".into(),
        key: None,
        granted_request: None,
        deadline: at(5_000),
        body: Vec::new(),
    }
}
