//! The queue of requests that wait for a slot of one service, ordered by urgency and deadline.

use std::collections::BTreeSet;

use crate::{utils::Timestamp, version::Urgency};

/// The lanes from the most to the least urgent.
const LANES: [Urgency; 3] = [Urgency::Urgent, Urgency::Normal, Urgency::Patient];

/// Number of more urgent requests that may be taken while a lane waits, before one of that lane is
/// taken.
///
/// Without this limit, under a steady stream of urgent requests the others would miss their
/// deadlines.
const MAX_PASSES: [u32; 3] = [0, 4, 16];

/// A queued request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Waiting {
    /// The request's number.
    pub number: u64,
    /// The urgency of the request.
    pub urgency: Urgency,
    /// The deadline of the answer.
    pub deadline: Timestamp,
}

/// The queued requests of one service.
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
    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.lanes.iter().map(|l| l.waiting.len()).sum()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of queued requests of the same or a higher urgency.
    pub fn ahead_of(&self, urgency: Urgency) -> usize {
        let lanes = &self.lanes[..=index(urgency)];
        lanes.iter().map(|l| l.waiting.len()).sum()
    }

    /// Adds a request.
    pub fn push(&mut self, waiting: Waiting) {
        let lane = &mut self.lanes[index(waiting.urgency)];
        lane.waiting.insert(QueueKey::of(&waiting));
    }

    /// Removes a request; returns whether it was in the queue.
    pub fn remove(&mut self, waiting: &Waiting) -> bool {
        let lane = &mut self.lanes[index(waiting.urgency)];
        lane.waiting.remove(&QueueKey::of(waiting))
    }

    /// Returns the request to dispatch next.
    pub fn first(&self) -> Option<Waiting> {
        let overdue = (1..LANES.len()).rev().find(|i| {
            self.lanes[*i].passed_over >= MAX_PASSES[*i] && !self.lanes[*i].waiting.is_empty()
        });
        let next = overdue.or_else(|| self.lanes.iter().position(|l| !l.waiting.is_empty()))?;
        self.lanes[next].waiting.first().map(|p| p.waiting(next))
    }

    /// Removes a request that is dispatched, and counts it against the lanes that it passed over.
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

    /// Returns the request to refuse in favour of one of `urgency` when the queue is full: among
    /// the least urgent requests the one with the latest deadline, if it is less urgent.
    pub fn displaced_by(&self, urgency: Urgency) -> Option<Waiting> {
        (index(urgency) + 1..LANES.len())
            .rev()
            .find_map(|i| self.lanes[i].waiting.last().map(|p| p.waiting(i)))
    }

    /// Returns all queued requests, the most urgent first.
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
