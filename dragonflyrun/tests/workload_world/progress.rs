//! Checks that jobs are started again in time after faults that may keep everybody from starting any.
//!
//! Unlike the check of single jobs it stands for the service as a whole: some job that fits has to start.

use super::{World, worker::ACCELERATORS};

/// Longest time in milliseconds without a start after the end of the last such fault: the users'
/// `recovery_s` for small deployments.
const MAX_GAP_MS: u64 = 12_000;

/// Milliseconds between two checks.
const CHECK_INTERVAL_MS: u64 = 100;

/// What the check has seen.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    /// When the last fault that may keep everybody from starting a job ends or has ended.
    disturbed_until: u64,
    /// The last time at which no job waited next to room for it twice over.
    idle_at: u64,
    /// The last time at which each worker had no room or a fault kept it from running tasks.
    no_room_at: Vec<u64>,
    /// The longest gap so far in milliseconds.
    pub(crate) longest_ms: u64,
}

impl Progress {
    /// Notes a fault that may keep everybody from starting a job until `until`.
    pub(crate) fn disturb(&mut self, until: u64) {
        self.disturbed_until = self.disturbed_until.max(until);
    }

    /// Returns whether a job was started after the last fault.
    pub(crate) fn is_served(&self, last_start: u64) -> bool {
        last_start > self.disturbed_until
    }
}

/// Adds a violation for each gap that is too long.
pub(crate) fn check(world: &mut World) {
    let now = world.now;
    if !now.is_multiple_of(CHECK_INTERVAL_MS) {
        return;
    }
    let last_start = world.last_start();
    let mut progress = std::mem::take(&mut world.progress);
    progress.no_room_at.resize(world.workers.len(), now);
    for (i, no_room_at) in progress.no_room_at.iter_mut().enumerate() {
        if !world.is_usable(i) || world.workers[i].used() == ACCELERATORS {
            *no_room_at = now;
        }
    }
    if !world.waits.is_any_waiting() {
        progress.idle_at = now;
    }
    // Nothing can start before a worker has had room for a while.
    let no_room_at = progress.no_room_at.iter().min().copied().unwrap_or(now);
    let since = [last_start, progress.disturbed_until, progress.idle_at];
    let since = since.into_iter().fold(no_room_at, u64::max);
    let gap_ms = now.saturating_sub(since);
    progress.longest_ms = progress.longest_ms.max(gap_ms);
    let limits = MAX_GAP_MS + 1..MAX_GAP_MS + 1 + CHECK_INTERVAL_MS;
    if limits.contains(&gap_ms) {
        world.violations.push(format!(
            "{now} ms: nothing has been started since {since} ms, although jobs wait next to room for them"
        ));
    }
    world.progress = progress;
}
