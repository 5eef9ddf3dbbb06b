//! What all threads of one process share.

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

/// What all threads of one process share.
///
/// Lock order: a thread that needs several of the tables takes them in the order fold order, ledger, roster,
/// freshness, then those of requests, keys, planner and members, and never calls out to a socket
/// while it holds one. Handing a message to [`Links::send`] does not wait and is allowed.
pub struct Context {
    /// The checked settings.
    pub settings: Settings,
    /// Who this process is towards its peers.
    pub identity: Peer,
    /// The clock that decision tables are given.
    pub clock: Clock,
    /// Counters for operators.
    pub counters: Counters,
    /// Links to peers.
    pub links: Links,
    /// The platform's log.
    pub log: LogClient,
    /// Appends this process's records to the log.
    pub appender: Appender,
    /// Held while records are folded and told to the role, so that it hears of them in order.
    pub fold_order: Mutex<()>,
    /// What is folded from the log.
    pub ledger: Mutex<Ledger>,
    /// The address of this process's own listener for peer links, once it is bound.
    pub own_address: OnceLock<SocketAddr>,
    /// The peers that were heard.
    pub roster: Mutex<Roster>,
    /// What is known of the log's head.
    pub freshness: Mutex<Freshness>,
}

impl Context {
    /// Returns the configuration in force.
    pub fn version(&self) -> Arc<Version> {
        lock(&self.ledger).history.current().clone()
    }

    /// Returns whether the state from the log is good enough to serve by, or why not.
    ///
    /// # Errors
    ///
    /// A short reason in plain words, for the readiness page.
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

    /// Returns the time now.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Returns whether this process knows the latest state of the log; see [`Freshness`].
    pub fn is_fresh(&self) -> bool {
        let now = self.now();
        let (next_offset, names) = {
            let ledger = lock(&self.ledger);
            // It may have missed that a failure domain was taken out or a planner replaced.
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
        // What waited in a buffer while this process was frozen says nothing about now.
        heard: peer.and_then(|p| p.confirmed),
        gone: peer.is_some_and(|p| p.is_leaving() && !p.linked),
        log: peer.map(|p| p.log).unwrap_or_default(),
        entry,
    }
}

/// Returns what the links need to know of a process with these settings.
pub fn link_settings(settings: &Settings, identity: &Peer) -> LinkSettings {
    LinkSettings {
        identity: identity.clone(),
        secret: settings.secret.clone(),
    }
}
