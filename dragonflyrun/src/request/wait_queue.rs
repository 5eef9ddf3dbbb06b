//! The requests of one service that wait for a slot, by urgency and then by deadline.

use std::collections::BTreeSet;

use crate::{utils::Timestamp, version::Urgency};

/// The lanes from the most to the least urgent.
const LANES: [Urgency; 3] = [Urgency::Urgent, Urgency::Normal, Urgency::Patient];

/// How often more urgent requests may go first while a lane waits, before one of it goes.
///
/// Without this a steady stream of urgent requests would leave the others to their deadlines.
const MAX_PASSES: [u32; 3] = [0, 4, 16];

/// A request that waits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Waiting {
    /// The request's number.
    pub number: u64,
    /// How soon it is needed.
    pub urgency: Urgency,
    /// When it must have been answered.
    pub deadline: Timestamp,
}

/// The waiting requests of one service.
#[derive(Debug, Default)]
pub struct WaitQueue {
    lanes: [Lane; 3],
}

#[derive(Debug, Default)]
struct Lane {
    waiting: BTreeSet<QueueKey>,
    passed_over: u32,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct QueueKey {
    deadline: Timestamp,
    number: u64,
}

impl WaitQueue {
    /// Returns how many wait.
    pub fn len(&self) -> usize {
        self.lanes.iter().map(|l| l.waiting.len()).sum()
    }

    /// Returns whether none waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns how many of the same or greater urgency wait.
    pub fn ahead_of(&self, urgency: Urgency) -> usize {
        let lanes = &self.lanes[..=index(urgency)];
        lanes.iter().map(|l| l.waiting.len()).sum()
    }

    /// Adds a request.
    pub fn push(&mut self, waiting: Waiting) {
        let lane = &mut self.lanes[index(waiting.urgency)];
        lane.waiting.insert(QueueKey::of(&waiting));
    }

    /// Removes a request; returns whether it waited.
    pub fn remove(&mut self, waiting: &Waiting) -> bool {
        let lane = &mut self.lanes[index(waiting.urgency)];
        lane.waiting.remove(&QueueKey::of(waiting))
    }

    /// Returns the request that goes next.
    pub fn first(&self) -> Option<Waiting> {
        let overdue = (1..LANES.len()).rev().find(|i| {
            self.lanes[*i].passed_over >= MAX_PASSES[*i] && !self.lanes[*i].waiting.is_empty()
        });
        let next = overdue.or_else(|| self.lanes.iter().position(|l| !l.waiting.is_empty()))?;
        self.lanes[next].waiting.first().map(|p| p.waiting(next))
    }

    /// Removes the request that went next.
    pub fn dequeue(&mut self, waiting: &Waiting) {
        if !self.remove(waiting) {
            return;
        }
        let taken = index(waiting.urgency);
        self.lanes[taken].passed_over = 0;
        for lane in &mut self.lanes[taken + 1..] {
            lane.passed_over = if lane.waiting.is_empty() {
                0
            } else {
                lane.passed_over + 1
            };
        }
    }

    /// Returns the request to give up for one of `urgency` when no more may wait: the one of the
    /// least urgent that has the longest time left, if it is less urgent.
    pub fn displaced_by(&self, urgency: Urgency) -> Option<Waiting> {
        (index(urgency) + 1..LANES.len())
            .rev()
            .find_map(|i| self.lanes[i].waiting.last().map(|p| p.waiting(i)))
    }

    /// Returns all that wait, the most urgent first.
    pub fn all(&self) -> impl Iterator<Item = Waiting> {
        let lanes = self.lanes.iter().enumerate();
        lanes.flat_map(|(i, lane)| lane.waiting.iter().map(move |p| p.waiting(i)))
    }
}

impl QueueKey {
    fn of(waiting: &Waiting) -> Self {
        Self {
            deadline: waiting.deadline,
            number: waiting.number,
        }
    }

    fn waiting(&self, lane: usize) -> Waiting {
        Waiting {
            number: self.number,
            urgency: LANES[lane],
            deadline: self.deadline,
        }
    }
}

const fn index(urgency: Urgency) -> usize {
    match urgency {
        Urgency::Urgent => 0,
        Urgency::Normal => 1,
        Urgency::Patient => 2,
    }
}
