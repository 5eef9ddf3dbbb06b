//! The peers that a process has linked to, with their last reports.

use std::time::Duration;

use crate::{
    connection::{AgentReport, Heartbeat, LogView, Peer, Report, Role},
    utils::{HashMap, Name, Timestamp},
};

/// Silence after which a peer gets no new work.
pub const MAX_PEER_SILENCE: Duration = Duration::from_millis(2_000);

/// The state of one peer.
#[derive(Clone, Debug)]
pub struct PeerState {
    /// Its identity.
    pub peer: Peer,
    /// When its last heartbeat was received, or when it was linked if there was none.
    pub heard_at: Timestamp,
    /// A time on this process's clock after which the peer was certainly alive, taken from the echo
    /// in its heartbeats. Unlike `heard_at`, it does not advance for heartbeats that waited in a
    /// buffer while this process was frozen, so leases and freshness are computed from it.
    pub alive_at: Option<Timestamp>,
    /// The peer's clock in its last heartbeat, in milliseconds.
    pub sent_ms: u64,
    /// Its view of the log.
    pub log: LogView,
    /// Its last report; `None` before the first.
    pub report: Option<Report>,
    /// Changes whenever the report may have changed.
    pub report_number: u64,
    /// Whether it is linked now.
    pub linked: bool,
}

/// The peers that this process has linked to since it started.
#[derive(Debug, Default)]
pub struct Roster {
    peers: HashMap<Name, PeerState>,
    reports: u64,
}

impl Roster {
    /// Adds a peer whose link was opened.
    pub fn link_up(&mut self, now: Timestamp, peer: Peer) {
        let state = PeerState {
            peer: peer.clone(),
            heard_at: now,
            alive_at: None,
            sent_ms: 0,
            log: LogView::default(),
            report: None,
            report_number: 0,
            linked: true,
        };
        self.peers.insert(peer.name.clone(), state);
    }

    /// Marks the link to a peer as ended. The peer stays in the roster, but gets no work.
    pub fn link_down(&mut self, peer: &Peer) {
        if let Some(state) = self.peers.get_mut(&peer.name)
            && state.peer.incarnation == peer.incarnation
        {
            state.linked = false;
        }
    }

    /// Applies a heartbeat.
    pub fn on_heartbeat(&mut self, now: Timestamp, from: &Name, heartbeat: Heartbeat) {
        let Some(state) = self.peers.get_mut(from) else {
            return;
        };
        state.heard_at = now;
        let echo = heartbeat.echo_ms.map(Timestamp::from_millis);
        state.alive_at = state.alive_at.max(echo.filter(|at| *at <= now));
        state.sent_ms = heartbeat.sent_ms;
        state.log = heartbeat.log;
        if let Some(report) = heartbeat.report {
            state.apply_report(report);
            self.reports += 1;
            state.report_number = self.reports;
        }
    }

    /// Removes unlinked peers that have been silent for at least `silence`.
    pub fn remove_silent(&mut self, now: Timestamp, silence: Duration) {
        self.peers
            .retain(|_, p| p.linked || now.since(p.heard_at) < silence);
    }

    /// Returns the state of the peer `name`.
    pub fn peer(&self, name: &Name) -> Option<&PeerState> {
        self.peers.get(name)
    }

    /// Returns whether the peer `name` may get work now.
    pub fn is_live(&self, now: Timestamp, name: &Name) -> bool {
        self.peers.get(name).is_some_and(|p| p.is_live(now))
    }

    /// Returns all peers of `role`, including silent ones.
    pub fn of_role(&self, role: Role) -> impl Iterator<Item = &PeerState> {
        self.peers.values().filter(move |p| p.peer.role == role)
    }

    /// Returns the peers of `role` that may get work now: linked, not silent and not leaving.
    pub fn live(&self, now: Timestamp, role: Role) -> impl Iterator<Item = &PeerState> {
        self.peers
            .values()
            .filter(move |p| p.peer.role == role && p.is_live(now))
    }

    /// Returns the live agents with their reports.
    pub fn agents(&self, now: Timestamp) -> impl Iterator<Item = (&Name, &AgentReport)> {
        self.live(now, Role::Agent).filter_map(|p| match &p.report {
            Some(Report::Agent(report)) => Some((&p.peer.name, report)),
            _ => None,
        })
    }

    /// Returns all peers, sorted by name.
    pub fn all(&self) -> Vec<&PeerState> {
        let mut peers: Vec<&PeerState> = self.peers.values().collect();
        peers.sort_by(|a, b| a.peer.name.cmp(&b.peer.name));
        peers
    }
}

impl PeerState {
    /// Returns whether the peer may get work. A frozen peer keeps its link and is only recognized
    /// by its silence.
    pub fn is_live(&self, now: Timestamp) -> bool {
        self.linked && now.since(self.heard_at) <= MAX_PEER_SILENCE && !self.is_leaving()
    }

    fn apply_report(&mut self, report: Report) {
        match (report, &mut self.report) {
            (Report::Backends(backends), Some(Report::Agent(known))) => known.backends = backends,
            // A partial report is useless without a full one before it; each link starts with a
            // full one.
            (Report::Backends(_), _) => {}
            (full, known) => *known = Some(full),
        }
    }

    /// Returns whether the peer has announced that it is stopping.
    pub fn is_leaving(&self) -> bool {
        match &self.report {
            Some(Report::Agent(report)) => report.leaving,
            Some(Report::Entry(report)) => report.leaving,
            Some(Report::Backends(_)) | None => false,
        }
    }
}
