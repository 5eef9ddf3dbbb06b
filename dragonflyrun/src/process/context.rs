//! State shared by all threads of one process.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, OnceLock},
};

use crate::{
    connection::{LinkSettings, Links, LogClient, Peer},
    process::{Appender, Clock, Counters, EntryView, Freshness, Ledger, Roster, Settings},
    utils::{Name, Timestamp, lock},
    version::Version,
};

/// State shared by all threads of one process.
///
/// Lock order: a thread that needs several tables locks them in the order fold order, ledger,
/// roster, freshness, then those of requests, keys, planner and members. It never does socket I/O
/// while it holds a lock; [`Links::send`] only queues a message without waiting, so it is allowed.
pub struct Context {
    /// The checked settings.
    pub settings: Settings,
    /// The identity that this process presents to its peers.
    pub identity: Peer,
    /// The clock that is read for the decision tables.
    pub clock: Clock,
    /// Metrics for operators.
    pub counters: Counters,
    /// Links to peers.
    pub links: Links,
    /// The client of the platform's log.
    pub log: LogClient,
    /// Appends this process's records to the log.
    pub appender: Appender,
    /// Held while records are folded and passed to the role, so that the role receives them in log
    /// order.
    pub fold_order: Mutex<()>,
    /// The tables folded from the log.
    pub ledger: Mutex<Ledger>,
    /// The address of this process's listener for peer links, set once it is bound.
    pub own_address: OnceLock<SocketAddr>,
    /// The peers that have linked to this process.
    pub roster: Mutex<Roster>,
    /// What is known about the head of the log.
    pub freshness: Mutex<Freshness>,
}

impl Context {
    /// Returns the configuration in force.
    pub fn version(&self) -> Arc<Version> {
        lock(&self.ledger).history.current().clone()
    }

    /// Checks that the state folded from the log is good enough to serve requests.
    ///
    /// # Errors
    ///
    /// Returns a short reason in plain words, for the readiness page.
    pub fn readiness(&self) -> Result<(), &'static str> {
        let ledger = lock(&self.ledger);
        if ledger.history.unsupported_format().is_some() {
            return Err("the document is in a format of a later release");
        }
        if !ledger.is_complete() {
            return Err("records of the log were missed, waiting for the planner to repeat them");
        }
        if ledger.history.current().offset == 0 {
            return Err("no configuration yet");
        }
        Ok(())
    }

    /// Returns the current time.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Returns whether this process knows the latest state of the log; see [`Freshness`].
    pub fn is_fresh(&self) -> bool {
        let now = self.now();
        let (next_offset, names) = {
            let ledger = lock(&self.ledger);
            // The missing records may have taken a failure domain out of service or replaced the
            // planner.
            if !ledger.is_complete() {
                return false;
            }
            let names: Vec<Name> = ledger.membership.entries().keys().cloned().collect();
            (ledger.next_offset(), names)
        };
        let entries: Vec<EntryView> = {
            let roster = lock(&self.roster);
            names
                .into_iter()
                .filter(|name| *name != self.identity.name)
                .map(|name| entry_view(&roster, name))
                .collect()
        };
        lock(&self.freshness).is_fresh(now, next_offset, &entries)
    }
}

fn entry_view(roster: &Roster, entry: Name) -> EntryView {
    let peer = roster.peer(&entry);
    EntryView {
        // Heartbeats that waited in a buffer while this process was frozen say nothing about the
        // present, so `heard_at` is not enough.
        alive_at: peer.and_then(|p| p.alive_at),
        has_left: peer.is_some_and(|p| p.is_leaving() && !p.linked),
        log: peer.map(|p| p.log).unwrap_or_default(),
        entry,
    }
}

/// Returns the link settings of a process with the given settings and identity.
pub fn link_settings(settings: &Settings, identity: &Peer) -> LinkSettings {
    LinkSettings {
        identity: identity.clone(),
        secret: settings.secret.clone(),
    }
}
