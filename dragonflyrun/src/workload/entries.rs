//! The entries of a deployment, and which of them stand by to plan.
//!
//! Every entry can become planner, but if all entries of a large fleet watched the planner closely,
//! their reads would cost more calls to the store than all work. Each entry announces itself in the
//! store with the room of its host. From these records every entry computes the same order of
//! succession for a term: hosts with room first, since a planner on a small host falls behind, then
//! by a hash that differs from term to term. The first few watch closely, and the others read only
//! when a caller needs it and often enough to notice that all of those are gone.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::utils::{Name, Timestamp, stable_hash};

/// Number of entries that stand by. That half of the hosts, or a failure domain, are lost together
/// leaves some of them.
const STANDBY_ENTRIES: usize = 9;

/// Time after which an entry that has not announced itself again is forgotten; entries do so each
/// minute.
const ENTRY_LIFETIME: Duration = Duration::from_secs(150);

/// The share of the largest host's capacity from which on a host has room for the planner.
const ROOM_SHARE: u64 = 2;

/// The capacity of an entry's host; zero where it isn't known.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostRoom {
    /// Thousandths of a core.
    #[serde(rename = "c")]
    pub cpu_millis: u64,
    /// Bytes per second that its link carries.
    #[serde(rename = "l")]
    pub link_bytes_per_s: u64,
}

/// The announcement of an entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryRecord {
    /// The name of the entry.
    #[serde(rename = "n")]
    pub name: Name,
    /// The capacity of its host.
    #[serde(rename = "r")]
    pub room: HostRoom,
}

#[derive(Clone, Copy, Debug)]
struct KnownEntry {
    room: HostRoom,
    announced_at: Timestamp,
}

/// The entries that have announced themselves.
#[derive(Clone, Debug, Default)]
pub struct EntryTable {
    entries: BTreeMap<Name, KnownEntry>,
    largest: HostRoom,
    /// The rank of an entry in a term, as computed last; `None` after a change of the table.
    rank: Option<(Name, u64, usize)>,
}

impl EntryTable {
    /// Applies an announcement.
    pub fn announced(&mut self, now: Timestamp, record: &EntryRecord) {
        let known = KnownEntry {
            room: record.room,
            announced_at: now,
        };
        let before = self.entries.insert(record.name.clone(), known);
        if before.is_none_or(|before| before.room != record.room) {
            self.update();
        }
    }

    /// Removes an entry.
    pub fn remove(&mut self, name: &str) {
        if self.entries.remove(name).is_some() {
            self.update();
        }
    }

    /// Removes the entries that have not announced themselves for a long time and returns their names.
    pub fn remove_expired(&mut self, now: Timestamp) -> Vec<Name> {
        let expired = self.entries.iter();
        let expired = expired.filter(|(_, known)| now.since(known.announced_at) > ENTRY_LIFETIME);
        let expired: Vec<Name> = expired.map(|(name, _)| name.clone()).collect();
        for name in &expired {
            self.remove(name);
        }
        expired
    }

    /// Returns the number of known entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no entry has announced itself.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether an entry has announced itself.
    pub fn contains(&self, name: &str) -> bool {
        self.entries.contains_key(name)
    }

    /// Returns the rank of an entry in the succession to a term, counted from 0; `None` if the entry
    /// has not announced itself.
    pub fn rank(&mut self, name: &Name, term: u64) -> Option<usize> {
        if let Some((known, known_term, rank)) = &self.rank
            && (known, *known_term) == (name, term)
        {
            return Some(*rank);
        }
        let key = |name: &Name, known: &KnownEntry| {
            let hash = stable_hash(&format!("{name}/{term}"));
            (!self.is_roomy(known.room), hash)
        };
        let own = key(name, self.entries.get(name)?);
        let before = self.entries.iter();
        let before = before.filter(|(other, known)| key(other, known) < own);
        let rank = before.count();
        self.rank = Some((name.clone(), term, rank));
        Some(rank)
    }

    /// Returns whether an entry stands by for the succession to a term. One that nobody knows yet
    /// does too.
    pub fn stands_by(&mut self, name: &Name, term: u64) -> bool {
        self.rank(name, term).is_none_or(is_standby)
    }

    /// Returns whether an entry is known to stand by for the succession to a term.
    pub fn is_known_standby(&mut self, name: &Name, term: u64) -> bool {
        self.rank(name, term).is_some_and(is_standby)
    }

    /// Returns whether a planner whose host has the capacity `own` should leave its term to the entry
    /// that has just announced itself, which shows that it is alive.
    pub fn should_yield(&self, own: HostRoom, announced: &EntryRecord) -> bool {
        !self.is_roomy(own) && self.is_roomy(announced.room)
    }

    /// Returns whether a host has room for the planner, compared with the largest one.
    fn is_roomy(&self, room: HostRoom) -> bool {
        room.cpu_millis * ROOM_SHARE >= self.largest.cpu_millis
            && room.link_bytes_per_s * ROOM_SHARE >= self.largest.link_bytes_per_s
    }

    fn update(&mut self) {
        self.rank = None;
        let rooms = || self.entries.values().map(|known| known.room);
        self.largest = HostRoom {
            cpu_millis: rooms().map(|r| r.cpu_millis).max().unwrap_or(0),
            link_bytes_per_s: rooms().map(|r| r.link_bytes_per_s).max().unwrap_or(0),
        };
    }
}

/// Returns whether the entry of this rank stands by.
pub(super) const fn is_standby(rank: usize) -> bool {
    rank < STANDBY_ENTRIES
}
