//! Injects faults of processes, links and the log, drawn from the seed.

use dragonflyrun::{Name, connection::Role};
use rand::Rng;

use super::{Event, Sim, nodes::NodeRole};

/// The frequency of each kind of fault; message faults in percent of the messages.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    /// Mean time between two faults of processes, links or the log; 0 for no such faults.
    pub(crate) every_ms: u64,
    /// Messages that are lost although their link stays up.
    pub(crate) drop: f64,
    /// Messages that arrive twice.
    pub(crate) duplicate: f64,
    /// Messages that are delayed and arrive after later ones.
    pub(crate) delay: f64,
    /// Answers that arrive truncated.
    pub(crate) truncate: f64,
}

impl Sim {
    pub(super) fn inject_fault(&mut self) {
        let node = self.rng.random_range(0..self.nodes.len());
        self.apply_fault(node);
        let every = self.setup.faults.every_ms;
        let pause = self.rng.random_range(every / 2..every * 3 / 2);
        if self.now < self.setup.arrivals_until_ms {
            self.schedule(self.now + pause, Event::Fault);
        }
    }

    fn apply_fault(&mut self, node: usize) {
        match self.rng.random_range(0..16) {
            0 | 1 => self.restart(node),
            2..=6 => {
                // Repeatedly extended freezes could last longer than the owners keep the keys.
                if self.now < self.nodes[node].frozen_until {
                    return;
                }
                let max_ms = if self.chance(50.0) { 900 } else { 8_000 };
                let until = self.now + self.rng.random_range(50..max_ms);
                self.nodes[node].frozen_until = until;
                self.schedule(until, Event::Thaw);
            }
            7..=10 => {
                let pairs = self.pairs_of(node);
                let (entry, agent) = pairs[self.rng.random_range(0..pairs.len())];
                self.link_down(entry, agent);
                let at = self.now + self.rng.random_range(300..4_000);
                self.schedule(at, Event::LinkUp { entry, agent });
            }
            11..=14 => {
                let until = self.now + self.rng.random_range(500..9_000);
                self.disconnect_log(node, until);
                let other = self.rng.random_range(0..self.nodes.len());
                self.disconnect_log(other, until);
                // An agent without access to the log is often removed from the owners.
                if self.chance(20.0) {
                    self.change_ring(node);
                }
            }
            _ => self.change_ring(node),
        }
    }

    /// Kills a process and starts another in its place; its backend server keeps running.
    fn restart(&mut self, node: usize) {
        for (entry, agent) in self.pairs_of(node) {
            self.link_down(entry, agent);
        }
        let mut lost = Vec::new();
        if let NodeRole::Entry { attempts, .. } = &self.nodes[node].role {
            lost.extend(attempts.values().copied());
        }
        // Requests that the killed process had not read yet are lost as well.
        let unread = self.attempts.iter().enumerate();
        lost.extend(
            unread
                .filter(|(_, t)| t.entry == node && t.answer.is_none())
                .map(|(i, _)| i),
        );
        for attempt_index in lost {
            self.attempts[attempt_index].died = true;
        }
        self.start(node);
    }

    fn disconnect_log(&mut self, node: usize, until: u64) {
        self.nodes[node].log_reachable = false;
        self.schedule(until, Event::LogUp { node });
    }

    /// Removes the agent `node` from the owners of keys, or adds it again.
    fn change_ring(&mut self, node: usize) {
        if self.is_entry(node) {
            return;
        }
        let mut ring = self.rings.last().cloned().unwrap_or_default();
        let agent: Name = self.nodes[node].peer.name.clone();
        match ring.iter().position(|n| *n == agent) {
            Some(place) if ring.len() > 1 => {
                ring.remove(place);
            }
            Some(_) => {}
            None => ring.push(agent),
        }
        self.rings.push(ring);
    }

    pub(super) fn is_entry(&self, node: usize) -> bool {
        self.nodes[node].peer.role == Role::Entry
    }
}
