//! Who is planner, which entries there are, and which agents own keys, as the log says.

use crate::{
    connection::{RecordBody, RepeatedEntry, RepeatedMembership, RepeatedState},
    utils::{HashMap, Name},
};

/// The fold of the records on terms, entries and key owners.
#[derive(Clone, Debug)]
pub struct Membership {
    term: u64,
    planner: Option<Name>,
    entries: HashMap<Name, Name>,
    ring: Vec<Name>,
    ring_offset: u64,
    ring_changes: u64,
    /// The offset of the last record that changed it.
    updated: u64,
    /// Whether no record is missing that may have changed it.
    whole: bool,
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
            whole: true,
        }
    }
}

impl Membership {
    /// Folds the record at `offset`; records of other kinds change nothing.
    pub fn fold(&mut self, offset: u64, body: &RecordBody) {
        match body {
            // Two entries may claim the same term; the first on the log has it in every process.
            // The first term of all is good also for a process that lacks what was before.
            RecordBody::Term { entry, term }
                if *term == self.term + 1 && (self.whole || *term == 1) =>
            {
                self.term = *term;
                self.planner = Some(entry.clone());
                self.whole = true;
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

    /// Takes over a carried state that is not older than this one. A process that has missed
    /// nothing holds the same state already.
    fn adopt(&mut self, offset: u64, carried: &RepeatedMembership) {
        if self.whole && carried.updated < self.updated || carried.term < self.term {
            return;
        }
        if !self.whole {
            // Changes among the records that were missed are counted as one more.
            self.ring_changes += 1;
        }
        self.whole = true;
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

    /// Takes note that records are missing.
    pub fn gap(&mut self) {
        self.whole = false;
    }

    /// Takes note that nothing is missing after all, since there was nothing before.
    pub fn begin(&mut self) {
        self.whole = true;
    }

    /// Returns whether no record is missing that may have changed it.
    pub fn is_whole(&self) -> bool {
        self.whole
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

    /// Returns the entries with the addresses of their peer listeners.
    pub fn entries(&self) -> &HashMap<Name, Name> {
        &self.entries
    }

    /// Returns the agents that own keys, in order of their names.
    pub fn ring(&self) -> &[Name] {
        &self.ring
    }

    /// Returns the offset of the record that last changed the owners.
    pub fn ring_offset(&self) -> u64 {
        self.ring_offset
    }

    /// Counts the changes of the owners that were folded. Whoever looks at it only now and then
    /// sees by it that it has missed a change.
    pub fn ring_changes(&self) -> u64 {
        self.ring_changes
    }

    /// Returns the state as the planner repeats it on the log.
    pub fn carried(&self) -> Option<RepeatedMembership> {
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
