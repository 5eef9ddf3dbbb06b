//! The simulated peer links. They deliver messages in order until they break, except for the
//! message faults drawn from the seed.

use dragonflyrun::{
    Name,
    connection::{KeyMessage, KeyVerdict, Message, Outcome, RequestMessage},
};
use rand::Rng;

use super::{Event, Sim, nodes::NodeEvent};

/// A link between an entry and an agent.
#[derive(Default)]
pub(super) struct Link {
    up: bool,
    /// Arrival time of the last message in each direction.
    last: [u64; 2],
    generation: u64,
}

impl Sim {
    /// Links a started process to all processes of the other role.
    pub(super) fn link_all(&mut self, node: usize) {
        let pairs = self.pairs_of(node);
        for (entry, agent) in pairs {
            let at = self.now + self.rng.random_range(1..50);
            self.schedule(at, Event::LinkUp { entry, agent });
        }
    }

    pub(super) fn pairs_of(&self, node: usize) -> Vec<(usize, usize)> {
        let entries = self.setup.entries;
        if node < entries {
            (entries..self.nodes.len()).map(|a| (node, a)).collect()
        } else {
            (0..entries).map(|e| (e, node)).collect()
        }
    }

    pub(super) fn link_up(&mut self, entry: usize, agent: usize) {
        if self.links.get(&(entry, agent)).is_some_and(|l| l.up) {
            return;
        }
        self.generations += 1;
        let link = Link {
            up: true,
            last: [self.now; 2],
            generation: self.generations,
        };
        self.links.insert((entry, agent), link);
        for (node, peer) in [(entry, agent), (agent, entry)] {
            let peer = self.nodes[peer].peer.clone();
            self.schedule_node(self.now, node, NodeEvent::Up(peer));
        }
    }

    /// Breaks a link; messages in transit may be lost.
    pub(super) fn link_down(&mut self, entry: usize, agent: usize) {
        let Some(link) = self.links.get_mut(&(entry, agent)) else {
            return;
        };
        if !std::mem::take(&mut link.up) {
            return;
        }
        for (node, peer) in [(entry, agent), (agent, entry)] {
            let peer = self.nodes[peer].peer.clone();
            self.schedule_node(self.now, node, NodeEvent::Down(peer));
        }
    }

    /// Sends a message to a process by name; returns whether there was a link.
    pub(super) fn send(&mut self, from: usize, to: &Name, message: Message) -> bool {
        let to = self.nodes.iter().position(|n| n.peer.name == *to);
        to.is_some_and(|to| self.transmit(from, to, message))
    }

    pub(super) fn transmit(&mut self, from: usize, to: usize, message: Message) -> bool {
        let from_entry = self.is_entry(from);
        let pair = if from_entry { (from, to) } else { (to, from) };
        let delay = self.rng.random_range(1..4);
        let faults = self.setup.faults;
        let (drops, copies) = (self.chance(faults.drop), self.chance(faults.duplicate));
        let late = self
            .chance(faults.delay)
            .then(|| self.rng.random_range(1..1_500));
        let cut = self.chance(faults.truncate);
        let now = self.now;
        let Some(link) = self.links.get_mut(&pair).filter(|l| l.up) else {
            return false;
        };
        let last = &mut link.last[usize::from(from_entry)];
        *last = (now + delay).max(*last);
        let at = *last + late.unwrap_or(0);
        let deliver = NodeEvent::Deliver {
            from,
            link: link.generation,
            message: if cut { truncated(message) } else { message },
        };
        if copies {
            let again = at + self.rng.random_range(0..2_000);
            self.schedule_node(again, to, deliver.clone());
        }
        if !drops {
            self.schedule_node(at, to, deliver);
        }
        true
    }

    /// Returns whether a message arrives; one that was in transit when its link broke may be lost.
    pub(super) fn arrives(&mut self, from: usize, to: usize, link: u64) -> bool {
        let pair = if self.is_entry(from) {
            (from, to)
        } else {
            (to, from)
        };
        let intact = self
            .links
            .get(&pair)
            .is_some_and(|l| l.up && l.generation == link);
        intact || self.chance(50.0)
    }
}

/// Cuts off the end of an answer's body.
fn truncated(mut message: Message) -> Message {
    let outcome = match &mut message {
        Message::Request(RequestMessage::Answer { outcome, .. }) => outcome,
        Message::Key(KeyMessage::Verdict {
            verdict: KeyVerdict::Known(outcome),
            ..
        }) => outcome,
        _ => return message,
    };
    if let Outcome::Done { body, .. } = outcome {
        body.truncate(body.len() / 2);
    }
    message
}
