//! Room that is reserved for jobs which have waited long.
//!
//! Without it small jobs fill each hole as it appears, and a large job starves behind them. The
//! reserved room is where the job is expected to start first, given which jobs it may evict and
//! when the others end. Until then the room is lent to jobs that it may evict when it is ready, or
//! that are expected to end before.

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

/// Usable workers for each reservation, beside the first. With few, one reservation that holds
/// a failure domain idle is enough.
const WORKERS_A_RESERVATION: usize = 8;

/// What a job that has outlived its expected run time is taken to need still.
const OVERDUE: Duration = Duration::from_secs(60);

/// Room that is reserved for one job.
#[derive(Clone, Debug)]
pub(super) struct Reservation {
    parts: Vec<Part>,
    size: u32,
    /// When the job is expected to start there.
    ready: Timestamp,
}

impl Scheduler {
    /// Takes the reservation of `job` back and returns it.
    pub(super) fn take_reservation(&mut self, job: &JobId) -> Option<Reservation> {
        let aged = self.aged(job)?;
        let reservation = self.reservations.remove(&aged)?;
        for part in &reservation.parts {
            let reserved = i64::from(part.tasks * reservation.size);
            self.inventory.reserve(part.worker, -reserved);
        }
        Some(reservation)
    }

    /// Reserves room for `job`, which can't start yet: the room that it had, as long as that is
    /// expected to become free in time, or other room.
    pub(super) fn reserve(&mut self, now: Timestamp, job: &JobId, before: Option<Reservation>) {
        let workers = self.inventory.ids().len();
        let large = self.inventory.largest_worker();
        if self.jobs.get(job).is_none_or(|e| e.accelerators() < large) {
            return;
        }
        if self.reservations.len() > workers / WORKERS_A_RESERVATION {
            return;
        }
        let kept = before.filter(|r| r.ready > now && self.is_usable(&r.parts));
        let Some(reservation) = kept.or_else(|| self.earliest(now, job)) else {
            return;
        };
        let Some(aged) = self.aged(job) else { return };
        for part in &reservation.parts {
            let reserved = i64::from(part.tasks * reservation.size);
            self.inventory.reserve(part.worker, reserved);
        }
        for part in &reservation.parts {
            self.guarantees.evacuate(&mut self.inventory, part.worker);
        }
        self.reservations.insert(aged, reservation);
    }

    /// Takes all reservations back.
    pub(super) fn drop_reservations(&mut self) {
        let jobs: Vec<AgeKey> = self.reservations.keys().cloned().collect();
        for (_, job) in jobs {
            self.take_reservation(&job);
        }
    }

    /// Lets allotments be moved into reserved room, until the reservations are put back.
    pub(super) fn lift_reservations(&mut self) {
        self.change_reserved(-1);
    }

    /// Ends what [`Self::lift_reservations`] began.
    pub(super) fn put_reservations_back(&mut self) {
        self.change_reserved(1);
    }

    fn change_reserved(&mut self, sign: i64) {
        for reservation in self.reservations.values() {
            for part in &reservation.parts {
                let reserved = i64::from(part.tasks * reservation.size);
                self.inventory.reserve(part.worker, sign * reserved);
            }
        }
    }

    /// Moves allotments that no job holds any more away from reserved room.
    pub(super) fn clear_reserved(&mut self) {
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

    /// Returns room for `job` that is reserved for others, where it does not delay them.
    pub(super) fn backfill(&mut self, now: Timestamp, job: &JobId) -> Option<Vec<Part>> {
        if self.reservations.is_empty() {
            return None;
        }
        let entry = self.jobs.get(job)?;
        let closed = self.closed_to(now, entry);
        let workers = self.reservations.values().flat_map(|r| &r.parts);
        let lenders: HashSet<WorkerId> = workers.map(|p| p.worker).collect();
        let mut seats: Vec<Candidate> = lenders
            .iter()
            .map(|worker| {
                let closed = closed.get(worker).copied().unwrap_or(0);
                Candidate {
                    available: self
                        .inventory
                        .vacant_with_reserved(*worker)
                        .saturating_sub(closed),
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
                .filter(|s| !lenders.contains(&s.worker)),
        );
        pick(&seats, &entry.spec.shape()).map(|plan| plan.parts)
    }

    /// Returns what is reserved of each worker and not lent to `entry`. Room is lent to a job that
    /// the holder may evict, that is expected to end before the holder could start, or that is
    /// older than the holder.
    pub(super) fn closed_to(&self, now: Timestamp, entry: &JobEntry) -> HashMap<WorkerId, u32> {
        let expected = self.estimates.run_time(&entry.spec);
        let mut closed = HashMap::default();
        for ((accepted, holder), reservation) in &self.reservations {
            let holder = self.jobs.get(holder);
            let movable = holder.is_some_and(|h| may_evict(h, EvictionReason::Age, entry));
            let in_time = now + expected < reservation.ready;
            if movable || in_time || entry.accepted < *accepted {
                continue;
            }
            for part in &reservation.parts {
                *closed.entry(part.worker).or_default() += part.tasks * reservation.size;
            }
        }
        closed
    }

    /// Returns the room where `job` is expected to start first.
    fn earliest(&mut self, now: Timestamp, job: &JobId) -> Option<Reservation> {
        let entry = self.jobs.get(job)?.clone();
        let shape = entry.spec.shape();
        let mut seats = self.eviction_candidates(&entry);
        let closed = self.closed_to(now, &entry);
        for seat in &mut seats {
            let closed = closed.get(&seat.worker).copied().unwrap_or(0);
            seat.available = seat.available.saturating_sub(closed);
        }
        let mut ends = self.ends(now, &entry, &seats);
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
                    size: shape.accelerators,
                    ready: at.max(now + OVERDUE),
                });
            }
            at = due.peek()?.at;
        }
    }

    /// Returns when the accelerators on `seats` are expected to be free for `entry`.
    fn ends(&self, now: Timestamp, entry: &JobEntry, seats: &[Candidate]) -> Vec<End> {
        let mut ends = Vec::new();
        for (seat, i) in seats.iter().zip(0..) {
            for holding in &self.inventory.worker(seat.worker).jobs {
                let Some(other) = self.jobs.get(&holding.job) else {
                    continue;
                };
                let Stage::Holding(hold) = &other.stage else {
                    continue;
                };
                // What is being stopped is counted as coming already.
                if hold.stopping {
                    continue;
                }
                let expected = hold.since + self.estimates.run_time(&other.spec);
                let at = match may_evict(entry, EvictionReason::Age, other) {
                    true => now,
                    false if expected > now => expected,
                    false => now + OVERDUE,
                };
                ends.push(End {
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

    fn aged(&self, job: &JobId) -> Option<AgeKey> {
        let entry = self.jobs.get(job)?;
        Some((entry.accepted, job.clone()))
    }
}

/// The end of a job on one worker.
struct End {
    at: Timestamp,
    /// The number of the worker among those looked at.
    seat: usize,
    accelerators: u32,
}
