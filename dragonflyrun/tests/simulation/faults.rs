//! Faults of processes, links and the log, drawn from the seed.

use dragonflyrun::{Name, connection::Role};
use rand::Rng;

use super::{Event, Sim, nodes::NodeRole};

/// How often which faults happen; shares in percent.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    /// The mean time between two faults of processes, links or the log; 0 for none.
    pub(crate) every_ms: u64,
    /// Messages that are lost though their link lives on.
    pub(crate) drop: f64,
    /// Messages that arrive twice.
    pub(crate) duplicate: f64,
    /// Messages that arrive late, behind later ones.
    pub(crate) delay: f64,
    /// Answers that arrive cut off.
    pub(crate) truncate: f64,
}

impl Sim {
    pub(super) fn fault(&mut self) {
        let node = self.rng.random_range(0..self.nodes.len());
        match self.rng.random_range(0..6) {
            0 => self.restart(node),
            1 | 2 => {
                let most = if self.chance(50.0) { 900 } else { 8_000 };
                let until = self.now + self.rng.random_range(50..most);
                self.nodes[node].frozen_until = until;
                self.schedule(until, Event::Thaw);
            }
            3 => {
                let pairs = self.pairs_of(node);
                let (entry, agent) = pairs[self.rng.random_range(0..pairs.len())];
                self.link_down(entry, agent);
                let at = self.now + self.rng.random_range(300..4_000);
                self.schedule(at, Event::LinkUp { entry, agent });
            }
            4 => {
                self.nodes[node].log_reachable = false;
                let at = self.now + self.rng.random_range(500..6_000);
                self.schedule(at, Event::LogUp { node });
            }
            _ => self.change_ring(),
        }
        let every = self.setup.faults.every_ms;
        let pause = self.rng.random_range(every / 2..every * 3 / 2);
        if self.now < self.setup.arrivals_until_ms {
            self.schedule(self.now + pause, Event::Fault);
        }
    }

    /// Kills a process and starts another in its place; its backend server lives on.
    fn restart(&mut self, node: usize) {
        for (entry, agent) in self.pairs_of(node) {
            self.link_down(entry, agent);
        }
        let mut lost = Vec::new();
        if let NodeRole::Entry { tries, .. } = &self.nodes[node].role {
            lost.extend(tries.values().copied());
        }
        // Requests that the dead process had not read yet are lost with it too.
        let unread = self.tries.iter().enumerate();
        lost.extend(
            unread
                .filter(|(_, t)| t.entry == node && t.answer.is_none())
                .map(|(i, _)| i),
        );
        for number_of_try in lost {
            self.tries[number_of_try].died = true;
        }
        self.start(node);
    }

    /// One agent loses its keys, or gets some back.
    fn change_ring(&mut self) {
        let agents = self.agent_names();
        let mut ring = self.rings.last().cloned().unwrap_or_default();
        let agent: Name = agents[self.rng.random_range(0..agents.len())].clone();
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
