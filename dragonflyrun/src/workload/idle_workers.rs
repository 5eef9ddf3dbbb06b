//! Decides which idle workers' agents follow closely, so that work can start there at once.
//!
//! The load behind this is a large pool of which a small part works, and gangs that arrive at any
//! moment: the next gang has to find proven workers, but proofs of the whole pool would cost more
//! than all work. The number of idle workers that are kept close follows the peak of the busy ones.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    utils::{Name, Timestamp},
    workload::{Contact, Fleet, Room},
};

/// Time after which the remembered peak of busy workers has decayed to half.
const PEAK_HALF_LIFE: Duration = Duration::from_secs(20);

/// Idle workers that are kept close, as a share of the peak of busy ones.
const CLOSE_SHARE_OF_PEAK: f64 = 0.5;

/// Ratio of idle workers that follow closely to those wanted from which on some are released, so
/// that small changes of the load change nothing.
const RELEASE_RATIO: f64 = 1.5;

/// How long a worker stays close after its last run.
const KEEP_CLOSE_AFTER_RUN: Duration = Duration::from_secs(8);

/// How long a planner that has taken over jobs learns the load before it releases agents.
const LEARNING_TIME: Duration = Duration::from_secs(3);

/// Time after which a release that has had no effect is repeated.
const RELEASE_RETRY: Duration = Duration::from_secs(30);

/// Maximum number of agents released in one pass. Each release is an append of its own.
const MAX_RELEASES_PER_PASS: usize = 32;

/// The agents whose attention has to change.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct AttentionChanges {
    /// Agents to ask for a report, which follow closely from then on.
    pub(super) asked: Vec<Name>,
    /// Agents to release.
    pub(super) released: Vec<Name>,
}

/// The remembered peak of busy workers.
#[derive(Clone, Debug)]
pub(super) struct IdleWorkers {
    busy_peak: f64,
    observed_at: Timestamp,
    /// The time before which no agent is released, because the load is not known yet.
    release_from: Timestamp,
}

impl IdleWorkers {
    /// Returns the state of a planner that takes over at `now`, `with_jobs` or without any.
    pub(super) fn new(now: Timestamp, with_jobs: bool) -> Self {
        let learning = if with_jobs {
            LEARNING_TIME
        } else {
            Duration::ZERO
        };
        Self {
            busy_peak: 0.0,
            observed_at: now,
            release_from: now + learning,
        }
    }

    /// Returns the changes for the rooms that a pass has left.
    ///
    /// Workers are grouped by the priority that they are reserved against, because each kind of work
    /// finds its first free workers in another group. At least `min_close` idle workers of each group
    /// are kept close. What a group lacks is kept close in those that are open to more work.
    pub(super) fn changes(
        &mut self,
        now: Timestamp,
        fleet: &Fleet,
        rooms: &[Room],
        min_close: usize,
    ) -> AttentionChanges {
        let mut idle: BTreeMap<u32, Vec<&Room>> = BTreeMap::new();
        for room in rooms {
            let group = idle.entry(room.reserved_against).or_default();
            if room.free == room.capacity {
                group.push(room);
            }
        }
        let busy = rooms.len() - idle.values().map(Vec::len).sum::<usize>();
        let wanted = (self.peak_with(now, busy) * CLOSE_SHARE_OF_PEAK) as usize;
        let wanted = min_close.max(wanted / idle.len().max(1));
        let mut lacking = 0;
        let mut changes = AttentionChanges::default();
        for rooms in idle.values_mut() {
            // Rack by rack, so that a gang that needs a single rack finds one.
            rooms.sort_by(|a, b| (&a.rack, &a.worker).cmp(&(&b.rack, &b.worker)));
            let wanted = wanted.saturating_add(lacking);
            lacking = wanted.saturating_sub(rooms.len());
            add_changes(now, fleet, rooms, wanted, &mut changes);
        }
        let released = if now < self.release_from {
            0
        } else {
            MAX_RELEASES_PER_PASS
        };
        changes.released.truncate(released);
        changes
    }

    /// Returns the decayed peak of busy workers, `busy` included.
    fn peak_with(&mut self, now: Timestamp, busy: usize) -> f64 {
        let since = now.since(self.observed_at);
        self.observed_at = now;
        let decay = 0.5_f64.powf(since.as_secs_f64() / PEAK_HALF_LIFE.as_secs_f64());
        self.busy_peak = (self.busy_peak * decay).max(busy as f64);
        self.busy_peak
    }
}

/// Adds the changes after which about `wanted` of the idle workers in `rooms` follow closely.
fn add_changes(
    now: Timestamp,
    fleet: &Fleet,
    rooms: &[&Room],
    wanted: usize,
    changes: &mut AttentionChanges,
) {
    let (seldom, close): (Vec<&Room>, Vec<&Room>) = rooms
        .iter()
        .copied()
        .partition(|room| room.contact == Contact::Seldom);
    let missing = wanted.saturating_sub(close.len());
    let asked = seldom.iter().take(missing);
    changes.asked.extend(asked.map(|room| room.worker.clone()));
    if close.len() as f64 <= wanted as f64 * RELEASE_RATIO {
        return;
    }
    let releasable = |room: &&&Room| {
        fleet.get(&room.worker).is_some_and(|worker| {
            let waited = |since: Option<Timestamp>, least: Duration| {
                since.is_none_or(|since| now.since(since) >= least)
            };
            room.contact == Contact::Close
                && waited(worker.last_used, KEEP_CLOSE_AFTER_RUN)
                && waited(worker.released_at, RELEASE_RETRY)
        })
    };
    let surplus = close.len() - wanted;
    let released = close.iter().rev().filter(releasable).take(surplus);
    changes
        .released
        .extend(released.map(|room| room.worker.clone()));
}
