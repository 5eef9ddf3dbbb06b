//! Maintains the list of entries on the log: this entry joins and leaves, and the planner removes
//! entries that disappeared without leaving.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use crate::{
    connection::RecordBody,
    process::{Context, lock},
    utils::{HashMap, Name, Timestamp},
};

/// Delay before an append that has not been folded is repeated.
const APPEND_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Silence after which the planner removes an entry from the list. An entry that was only cut off
/// joins again when it reads of its removal.
const REMOVE_ENTRY_AFTER: Duration = Duration::from_secs(30);

/// Maintains the list of entries on the log.
pub(crate) struct EntryPresence {
    cx: Arc<Context>,
    table: Mutex<Table>,
}

#[derive(Default)]
struct Table {
    last_append: Option<Timestamp>,
    silent_since: HashMap<Name, Timestamp>,
}

impl EntryPresence {
    pub(crate) fn new(cx: Arc<Context>) -> Self {
        Self {
            cx,
            table: Mutex::default(),
        }
    }

    /// Appends the records that bring the list up to date, at a limited rate.
    pub(crate) fn tick(&self, leaving: bool) {
        if leaving || !self.cx.is_fresh() {
            return;
        }
        let now = self.cx.now();
        let due = lock(&self.table)
            .last_append
            .is_none_or(|at| now.since(at) >= APPEND_RETRY_DELAY);
        if !due {
            return;
        }
        if !self.is_listed() {
            self.join(now);
        } else if self.is_planner() {
            self.remove_silent(now);
        }
    }

    /// Writes to the log that this entry leaves.
    pub(crate) fn leave(&self) {
        self.cx.appender.append(RecordBody::EntryLeft {
            entry: self.cx.identity.name.clone(),
        });
    }

    fn is_listed(&self) -> bool {
        let own = self.cx.own_address.get().map(ToString::to_string);
        let ledger = lock(&self.cx.ledger);
        let listed = ledger.membership.entries().get(&self.cx.identity.name);
        listed.map(|a| a.as_ref()) == own.as_deref()
    }

    fn is_planner(&self) -> bool {
        lock(&self.cx.ledger).membership.planner() == Some(&self.cx.identity.name)
    }

    fn join(&self, now: Timestamp) {
        let Some(address) = self.cx.own_address.get() else {
            return;
        };
        lock(&self.table).last_append = Some(now);
        self.cx.appender.append(RecordBody::EntryJoined {
            entry: self.cx.identity.name.clone(),
            address: address.to_string().into(),
        });
    }

    fn remove_silent(&self, now: Timestamp) {
        let listed: Vec<Name> = {
            let ledger = lock(&self.cx.ledger);
            ledger.membership.entries().keys().cloned().collect()
        };
        for entry in self.silent_entries(now, &listed) {
            log::warn!(entry:% = entry; "entry_gone");
            lock(&self.table).last_append = Some(now);
            self.cx.appender.append(RecordBody::EntryLeft { entry });
        }
    }

    fn silent_entries(&self, now: Timestamp, listed: &[Name]) -> Vec<Name> {
        let live: Vec<bool> = {
            let roster = lock(&self.cx.roster);
            listed
                .iter()
                .map(|e| *e == self.cx.identity.name || roster.is_live(now, e))
                .collect()
        };
        let mut table = lock(&self.table);
        table.silent_since.retain(|entry, _| listed.contains(entry));
        for (entry, live) in listed.iter().zip(live) {
            if live {
                table.silent_since.remove(entry);
            } else {
                table.silent_since.entry(entry.clone()).or_insert(now);
            }
        }
        let silent = table.silent_since.iter();
        silent
            .filter(|(_, since)| now.since(**since) >= REMOVE_ENTRY_AFTER)
            .map(|(entry, _)| entry.clone())
            .collect()
    }
}
