//! Who is planner, which entries there are, and which agents own keys, as the log says.

use crate::{
    connection::{Carried, CarriedEntry, RecordBody},
    utils::{HashMap, Name},
};

/// The fold of the records on terms, entries and key owners.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    term: u64,
    planner: Option<Name>,
    entries: HashMap<Name, Name>,
    ring: Vec<Name>,
    ring_offset: u64,
    ring_changes: u64,
    offset: u64,
}

impl Membership {
    /// Folds the record at `offset`; records of other kinds change nothing.
    pub fn fold(&mut self, offset: u64, body: &RecordBody) {
        self.offset = offset;
        match body {
            // Two entries may claim the same term; the first on the log has it in every process.
            RecordBody::Term { entry, term } if *term == self.term + 1 => {
                self.term = *term;
                self.planner = Some(entry.clone());
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
            RecordBody::Carried(Carried::Membership {
                term,
                planner,
                entries,
                ring,
            }) if *term > self.term => {
                // Only a process that has missed the records before this one gets here.
                self.term = *term;
                self.planner = Some(planner.clone());
                self.entries = entries
                    .iter()
                    .map(|e| (e.entry.clone(), e.address.clone()))
                    .collect();
                self.set_ring(offset, ring);
                // Changes among the records that were missed are counted as one more.
                self.ring_changes += 1;
            }
            _ => {}
        }
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
    pub fn carried(&self) -> Option<Carried> {
        let mut entries: Vec<CarriedEntry> = self
            .entries
            .iter()
            .map(|(entry, address)| CarriedEntry {
                entry: entry.clone(),
                address: address.clone(),
            })
            .collect();
        entries.sort_by(|a, b| a.entry.cmp(&b.entry));
        Some(Carried::Membership {
            term: self.term,
            planner: self.planner.clone()?,
            entries,
            ring: self.ring.clone(),
        })
    }
}
