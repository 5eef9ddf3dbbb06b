//! An entry or agent of the product without its threads and sockets.

use std::collections::HashMap;

use dragonflyrun::{
    connection::{
        AgentReport,
        EntryReport,
        Heartbeat,
        LogRecord,
        Peer,
        Report,
        Role, //
    },
    job::{Members, StartConditions},
    process::{EntryView, Folded, Freshness, GangTable, Ledger, Roster},
    utils::{Name, Timestamp},
};

pub const SECRET: &str = "a secret of the tests";

pub enum RoleTable {
    Entry(Box<GangTable>),
    Agent(Box<Members>),
}

pub struct Node {
    pub name: Name,
    pub role: Role,
    pub domain: usize,
    pub incarnation: u64,
    pub alive: bool,
    pub frozen: bool,
    pub log_cut: bool,
    /// Offset of the node's clock from the simulated time, in milliseconds.
    offset: u64,
    pub ledger: Ledger,
    pub roster: Roster,
    pub freshness: Freshness,
    pub table: RoleTable,
    /// Appends that this process has not read from the log yet, and whether their answer was lost.
    pub pending: HashMap<Name, bool>,
    /// The report last sent to each peer, and the time of the last heartbeat to it.
    sent: HashMap<Name, (Option<Report>, u64)>,
    change: u64,
}

impl Node {
    pub fn new(name: &str, role: Role, domain: usize, incarnation: u64, now: u64) -> Self {
        let offset = 10_000 * (domain as u64 + 1) + 137 * incarnation;
        let ledger = Ledger::default();
        let at = Timestamp::from_millis(now + offset);
        let version = ledger.history.current().clone();
        let table = match role {
            Role::Entry => RoleTable::Entry(Box::new(GangTable::new(at, name.into(), version))),
            Role::Agent => RoleTable::Agent(Box::new(Members::new(at))),
        };
        Self {
            name: name.into(),
            role,
            domain,
            incarnation,
            alive: true,
            frozen: false,
            log_cut: false,
            offset,
            ledger,
            roster: Roster::default(),
            freshness: Freshness::default(),
            table,
            pending: HashMap::new(),
            sent: HashMap::new(),
            change: 0,
        }
    }

    pub fn clock(&self, now: u64) -> Timestamp {
        Timestamp::from_millis(now + self.offset)
    }

    pub fn peer(&self) -> Peer {
        Peer {
            name: self.name.clone(),
            role: self.role,
            incarnation: self.incarnation,
        }
    }

    /// Makes the same decision as `Context::is_fresh`.
    pub fn is_fresh(&self, now: u64) -> bool {
        if !self.ledger.is_complete() {
            return false;
        }
        let others = self.ledger.membership.entries().keys();
        let views: Vec<EntryView> = others
            .filter(|name| **name != self.name)
            .map(|name| {
                let peer = self.roster.peer(name);
                EntryView {
                    entry: name.clone(),
                    alive_at: peer.and_then(|p| p.alive_at),
                    has_left: peer.is_some_and(|p| p.is_leaving() && !p.linked),
                    log: peer.map(|p| p.log).unwrap_or_default(),
                }
            })
            .collect();
        let next_offset = self.ledger.next_offset();
        self.freshness
            .is_fresh(self.clock(now), next_offset, &views)
    }

    pub fn link_up(&mut self, now: u64, peer: Peer) {
        self.sent.remove(&peer.name);
        self.roster.link_up(self.clock(now), peer);
    }

    pub fn link_down(&mut self, now: u64, peer: &Peer) {
        self.roster.link_down(peer);
        let at = self.clock(now);
        if let (RoleTable::Entry(table), Role::Agent) = (&mut self.table, peer.role) {
            table.on_link_down(at, &peer.name);
        }
    }

    /// Returns the heartbeat to `peer` if one is due.
    pub fn heartbeat(&mut self, now: u64, peer: &Name) -> Option<Heartbeat> {
        let at = self.clock(now);
        let report = self.report(at);
        let (carried, last) = self.sent.get(peer).cloned().unwrap_or((None, 0));
        let changed = carried.as_ref() != Some(&report);
        if !changed && now < last + 250 {
            return None;
        }
        self.sent.insert(peer.clone(), (Some(report.clone()), now));
        self.change += u64::from(changed);
        let echo_ms = self
            .roster
            .peer(peer)
            .map(|p| p.sent_ms)
            .filter(|ms| *ms > 0);
        let (next_offset, version) = (
            self.ledger.next_offset(),
            self.ledger.history.current().offset,
        );
        Some(Heartbeat {
            sent_ms: at.as_millis(),
            echo_ms,
            change: self.change,
            log: self.freshness.view(at, next_offset, version),
            report: changed.then_some(report),
        })
    }

    fn report(&self, at: Timestamp) -> Report {
        match &self.table {
            RoleTable::Entry(_) => Report::Entry(EntryReport::default()),
            RoleTable::Agent(members) => Report::Agent(AgentReport {
                failure_domain: domain_name(self.domain),
                rack: format!("rack-{}", self.domain).into(),
                accelerators: members.accelerators(at),
                backends: Vec::new(),
                members: members.reports(),
                leaving: false,
            }),
        }
    }

    /// Folds new records of the log and applies them, as the processes of the product do.
    pub fn read_log(&mut self, now: u64, records: &[LogRecord], outage: bool) {
        let reached = !outage && !self.log_cut;
        self.freshness.set_reachable(reached);
        if !reached {
            return;
        }
        let from = self.ledger.next_offset() as usize;
        for raw in &records[from..] {
            if let Some(folded) = self.ledger.fold(raw, SECRET) {
                self.on_folded(now, &folded);
            }
        }
        self.freshness.on_head_seen(self.clock(now));
    }

    fn on_folded(&mut self, now: u64, folded: &Folded) {
        let at = self.clock(now);
        self.pending.remove(&folded.record.id);
        let uncertain = self.pending.values().any(|lost| *lost);
        self.freshness.set_append_pending(at, uncertain);
        match &mut self.table {
            RoleTable::Entry(table) => table.on_folded(at, folded, &self.ledger),
            RoleTable::Agent(members) if folded.in_effect => {
                members.on_record(at, &folded.record.body);
            }
            RoleTable::Agent(_) => {}
        }
    }

    pub fn start_conditions(&self, now: u64, number: u64) -> Option<StartConditions> {
        let RoleTable::Agent(members) = &self.table else {
            return None;
        };
        let gang = members.gang(number)?;
        let live = self.ledger.jobs.live(&gang.job);
        let version = self.ledger.history.current();
        Some(StartConditions {
            fresh: self.is_fresh(now),
            next_offset: self.ledger.next_offset(),
            in_service: version.in_service(&domain_name(self.domain)),
            allowed: live.is_some_and(|l| l.may_start(gang, &self.name)),
        })
    }
}

pub fn domain_name(domain: usize) -> Name {
    format!("domain-{domain}").into()
}
