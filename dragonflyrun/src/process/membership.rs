//! The planner, the entries and the agents that own keys, as folded from the log.

use crate::{
    connection::{RecordBody, RepeatedEntry, RepeatedMembership, RepeatedState},
    utils::{HashMap, Name},
};

/// The state folded from the records on terms, entries and key owners.
#[derive(Clone, Debug)]
pub struct Membership {
    term: u64,
    planner: Option<Name>,
    entries: HashMap<Name, Name>,
    ring: Vec<Name>,
    ring_offset: u64,
    ring_changes: u64,
    /// The offset of the last record that changed this state.
    updated: u64,
    /// Whether no record is missing that may have changed this state.
    complete: bool,
}

impl Default for Membership {
    fn default() -> Self {
        Self {
            term: 0,
            planner: None,
            entries: HashMap::default(),
            ring: Vec::new(),
            ring_offset: 0,
            ring_changes: 0,
            updated: 0,
            complete: true,
        }
    }
}

impl Membership {
    /// Folds the record at `offset`; records of other kinds change nothing.
    pub fn fold(&mut self, offset: u64, body: &RecordBody) {
        match body {
            // Two entries may claim the same term; in every process the first claim on the log
            // wins. The first term of all is valid also for a process that lacks the records before
            // it.
            RecordBody::Term { entry, term }
                if *term == self.term + 1 && (self.complete || *term == 1) =>
            {
                self.term = *term;
                self.planner = Some(entry.clone());
                self.complete = true;
            }
            RecordBody::EntryJoined { entry, address } => {
                self.entries.insert(entry.clone(), address.clone());
            }
            RecordBody::EntryLeft { entry } => {
                self.entries.remove(entry);
            }
            RecordBody::Ring { term, members } if *term == self.term => {
                self.set_ring(offset, members);
            }
            RecordBody::RepeatedState(RepeatedState::Membership(carried)) => {
                self.adopt(offset, carried);
                return;
            }
            _ => return,
        }
        self.updated = offset;
    }

    /// Adopts a repeated state unless it is older than this one. A process that has missed nothing
    /// already holds the same state.
    fn adopt(&mut self, offset: u64, carried: &RepeatedMembership) {
        if self.complete && carried.updated < self.updated || carried.term < self.term {
            return;
        }
        if !self.complete {
            // All changes among the missing records count as one.
            self.ring_changes += 1;
        }
        self.complete = true;
        self.updated = carried.updated;
        self.term = carried.term;
        self.planner = Some(carried.planner.clone());
        self.entries = carried
            .entries
            .iter()
            .map(|e| (e.entry.clone(), e.address.clone()))
            .collect();
        self.set_ring(offset, &carried.ring);
    }

    /// Marks the state as missing records.
    pub fn mark_incomplete(&mut self) {
        self.complete = false;
    }

    /// Marks the state as complete, for a deployment that has no earlier records.
    pub fn mark_complete(&mut self) {
        self.complete = true;
    }

    /// Returns whether no record is missing that may have changed this state.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    fn set_ring(&mut self, offset: u64, members: &[Name]) {
        let mut ring = members.to_vec();
        ring.sort();
        if ring != self.ring {
            self.ring = ring;
            self.ring_offset = offset;
            self.ring_changes += 1;
        }
    }

    /// Returns the current term; 0 before the first.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Returns the planner of the current term.
    pub fn planner(&self) -> Option<&Name> {
        self.planner.as_ref()
    }

    /// Returns the entries with the addresses of their listeners for peer links.
    pub fn entries(&self) -> &HashMap<Name, Name> {
        &self.entries
    }

    /// Returns the agents that own keys, sorted by name.
    pub fn ring(&self) -> &[Name] {
        &self.ring
    }

    /// Returns the offset of the record that last changed the key owners.
    pub fn ring_offset(&self) -> u64 {
        self.ring_offset
    }

    /// Returns how many changes of the key owners have been folded. A caller that checks only from
    /// time to time can tell from it that it has missed a change.
    pub fn ring_changes(&self) -> u64 {
        self.ring_changes
    }

    /// Returns the state that the planner repeats on the log; `None` before the first term.
    pub fn state_to_repeat(&self) -> Option<RepeatedMembership> {
        let mut entries: Vec<RepeatedEntry> = self
            .entries
            .iter()
            .map(|(entry, address)| RepeatedEntry {
                entry: entry.clone(),
                address: address.clone(),
            })
            .collect();
        entries.sort_by(|a, b| a.entry.cmp(&b.entry));
        Some(RepeatedMembership {
            term: self.term,
            updated: self.updated,
            planner: self.planner.clone()?,
            entries,
            ring: self.ring.clone(),
        })
    }
}
