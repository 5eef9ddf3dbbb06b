//! Reservations of room for jobs that have waited long.
//!
//! Without a reservation small jobs take all room as it becomes free, and a large job starves
//! behind them. Room is reserved where the job is expected to start first, given the jobs that it
//! may evict and the expected ends of the others. Until then the room is lent to jobs that it may
//! evict once the room is ready, or that are expected to end before that.

use std::time::Duration;

use crate::{
    job::{
        JobId, Scheduler,
        eviction::{EvictionReason, may_evict},
        placement::{Candidate, Part, pick},
        queue::AgeKey,
        scheduler::{JobEntry, Stage},
        slots::WorkerId,
    },
    utils::{HashMap, HashSet, Timestamp},
};

/// Number of usable workers per reservation beyond the first one. In a small cluster a single
/// reservation already keeps a whole failure domain idle, so there is no second one.
const WORKERS_PER_RESERVATION: usize = 8;

/// Assumed remaining run time of a job that has run longer than expected.
const OVERDUE_REMAINING_TIME: Duration = Duration::from_secs(60);

/// Room that is reserved for one job.
#[derive(Clone, Debug)]
pub(super) struct Reservation {
    parts: Vec<Part>,
    task_accelerators: u32,
    /// When the job is expected to start there.
    ready: Timestamp,
}

impl Scheduler {
    /// Removes the reservation of `job` and returns it.
    pub(super) fn remove_reservation(&mut self, job: &JobId) -> Option<Reservation> {
        let queue_key = self.queue_key(job)?;
        let reservation = self.reservations.remove(&queue_key)?;
        for part in &reservation.parts {
            let reserved = i64::from(part.tasks * reservation.task_accelerators);
            self.inventory.reserve(part.worker, -reserved);
        }
        Some(reservation)
    }

    /// Reserves room for `job`, which can't start yet. The previous reservation is kept as long as
    /// its expected start is still ahead and its workers are usable.
    pub(super) fn reserve(&mut self, now: Timestamp, job: &JobId, previous: Option<Reservation>) {
        let workers = self.inventory.ids().len();
        let large = self.inventory.largest_worker();
        if self.jobs.get(job).is_none_or(|e| e.accelerators() < large) {
            return;
        }
        if self.reservations.len() > workers / WORKERS_PER_RESERVATION {
            return;
        }
        let kept = previous.filter(|r| r.ready > now && self.is_usable(&r.parts));
        let Some(reservation) = kept.or_else(|| self.earliest_reservation(now, job)) else {
            return;
        };
        let Some(queue_key) = self.queue_key(job) else {
            return;
        };
        for part in &reservation.parts {
            let reserved = i64::from(part.tasks * reservation.task_accelerators);
            self.inventory.reserve(part.worker, reserved);
        }
        for part in &reservation.parts {
            self.guarantees.evacuate(&mut self.inventory, part.worker);
        }
        self.reservations.insert(queue_key, reservation);
    }

    /// Removes all reservations.
    pub(super) fn drop_reservations(&mut self) {
        let jobs: Vec<AgeKey> = self.reservations.keys().cloned().collect();
        for (_, job) in jobs {
            self.remove_reservation(&job);
        }
    }

    /// Lifts all reservations so that allotments can be moved into reserved room, until
    /// [`Self::restore_reservations`] is called.
    pub(super) fn suspend_reservations(&mut self) {
        self.change_reserved(-1);
    }

    /// Restores the reservations lifted by [`Self::suspend_reservations`].
    pub(super) fn restore_reservations(&mut self) {
        self.change_reserved(1);
    }

    fn change_reserved(&mut self, sign: i64) {
        for reservation in self.reservations.values() {
            for part in &reservation.parts {
                let reserved = i64::from(part.tasks * reservation.task_accelerators);
                self.inventory.reserve(part.worker, sign * reserved);
            }
        }
    }

    /// Moves allotments that are no longer held by a job out of reserved room.
    pub(super) fn evacuate_reserved(&mut self) {
        for reservation in self.reservations.values() {
            for part in &reservation.parts {
                self.guarantees.evacuate(&mut self.inventory, part.worker);
            }
        }
    }

    /// Returns whether one of `parts` is on a worker with a reservation.
    pub(super) fn is_reserved(&self, parts: &[Part]) -> bool {
        parts
            .iter()
            .any(|p| self.inventory.worker(p.worker).reserved() > 0)
    }

    /// Returns placements for `job` that may use room reserved for other jobs without delaying
    /// them.
    pub(super) fn backfill(&mut self, now: Timestamp, job: &JobId) -> Option<Vec<Part>> {
        if self.reservations.is_empty() {
            return None;
        }
        let entry = self.jobs.get(job)?;
        let reserved = self.reserved_against(now, entry);
        let workers = self.reservations.values().flat_map(|r| &r.parts);
        let reserved_workers: HashSet<WorkerId> = workers.map(|p| p.worker).collect();
        let mut seats: Vec<Candidate> = reserved_workers
            .iter()
            .map(|worker| {
                let reserved = reserved.get(worker).copied().unwrap_or(0);
                Candidate {
                    available: self
                        .inventory
                        .vacant_with_reserved(*worker)
                        .saturating_sub(reserved),
                    ..self.inventory.free.candidate(*worker)
                }
            })
            .collect();
        let roomiest = self
            .inventory
            .free
            .most_available(entry.spec.tasks as usize);
        seats.extend(
            roomiest
                .into_iter()
                .filter(|s| !reserved_workers.contains(&s.worker)),
        );
        pick(&seats, &entry.spec.shape()).map(|plan| plan.parts)
    }

    /// Returns the accelerators of each worker that are reserved and not lent to `entry`. Room is
    /// lent to a job that the holder of the reservation may evict, that is expected to end before
    /// the holder could start, or that is older than the holder.
    pub(super) fn reserved_against(
        &self,
        now: Timestamp,
        entry: &JobEntry,
    ) -> HashMap<WorkerId, u32> {
        let expected = self.estimates.run_time(&entry.spec);
        let mut reserved = HashMap::default();
        for ((accepted, holder), reservation) in &self.reservations {
            let holder = self.jobs.get(holder);
            let evictable = holder.is_some_and(|h| may_evict(h, EvictionReason::Age, entry));
            let ends_in_time = now + expected < reservation.ready;
            if evictable || ends_in_time || entry.accepted < *accepted {
                continue;
            }
            for part in &reservation.parts {
                *reserved.entry(part.worker).or_default() +=
                    part.tasks * reservation.task_accelerators;
            }
        }
        reserved
    }

    /// Returns a reservation of the room where `job` is expected to start first.
    fn earliest_reservation(&mut self, now: Timestamp, job: &JobId) -> Option<Reservation> {
        let entry = self.jobs.get(job)?.clone();
        let shape = entry.spec.shape();
        let mut seats = self.eviction_candidates(&entry);
        let reserved = self.reserved_against(now, &entry);
        for seat in &mut seats {
            let reserved = reserved.get(&seat.worker).copied().unwrap_or(0);
            seat.available = seat.available.saturating_sub(reserved);
        }
        let mut ends = self.expected_ends(now, &entry, &seats);
        ends.sort_by_key(|e| e.at);
        let mut at = now;
        let mut due = ends.into_iter().peekable();
        loop {
            while let Some(end) = due.next_if(|e| e.at <= at) {
                seats[end.seat].available += end.accelerators;
            }
            if let Some(plan) = pick(&seats, &shape) {
                return Some(Reservation {
                    parts: plan.parts,
                    task_accelerators: shape.accelerators,
                    ready: at.max(now + OVERDUE_REMAINING_TIME),
                });
            }
            at = due.peek()?.at;
        }
    }

    /// Returns when the accelerators on `seats` are expected to become free for `entry`.
    fn expected_ends(
        &self,
        now: Timestamp,
        entry: &JobEntry,
        seats: &[Candidate],
    ) -> Vec<ExpectedEnd> {
        let mut ends = Vec::new();
        for (seat, i) in seats.iter().zip(0..) {
            for holding in &self.inventory.worker(seat.worker).jobs {
                let Some(other) = self.jobs.get(&holding.job) else {
                    continue;
                };
                let Stage::Holding(hold) = &other.stage else {
                    continue;
                };
                // The accelerators of a stopping job already count as becoming free.
                if hold.stopping {
                    continue;
                }
                let expected = hold.since + self.estimates.run_time(&other.spec);
                let at = match may_evict(entry, EvictionReason::Age, other) {
                    true => now,
                    false if expected > now => expected,
                    false => now + OVERDUE_REMAINING_TIME,
                };
                ends.push(ExpectedEnd {
                    at,
                    seat: i,
                    accelerators: holding.accelerators,
                });
            }
        }
        ends
    }

    fn is_usable(&self, parts: &[Part]) -> bool {
        parts
            .iter()
            .all(|p| self.inventory.worker(p.worker).usable())
    }

    fn queue_key(&self, job: &JobId) -> Option<AgeKey> {
        let entry = self.jobs.get(job)?;
        Some((entry.accepted, job.clone()))
    }
}

/// The expected end of a job on one worker.
struct ExpectedEnd {
    at: Timestamp,
    /// The index of the worker among the seats examined.
    seat: usize,
    accelerators: u32,
}
