//! Making room for a waiting job by stopping running ones, as far as its claim goes.

use crate::{
    job::{
        Decision, JobId, Scheduler,
        pass::AGED_AFTER,
        placement::{Part, Seat},
        reclaim::{Eviction, Victim, cheapest, exactly},
        scheduler::{Entry, Stage},
    },
    utils::{HashSet, Timestamp},
    version::{Adjacency, Urgency},
};

/// What a stop with checkpoint and the later restore cost a job, in milliseconds of its run.
const STOP_AND_RESUME_MS: u64 = 10_000;

/// The share of a job's run so far that is taken to be lost by a stop, in percent: now and then a
/// checkpoint fails.
const LOST_PERCENT: u64 = 2;

/// How much rather another job is stopped than one that is expected to end before it would have
/// stopped and resumed.
const NEARLY_DONE_WEIGHT: u64 = 4;

/// How much rather another job is stopped than an urgent one.
const URGENT_VICTIM_WEIGHT: u64 = 10;

/// What the start of an urgent job is worth at once, in milliseconds of its wait.
const URGENT_WORTH_MS: u64 = 50_000;

/// How much more an urgent job's wait counts than another's.
const URGENT_WEIGHT: u64 = 10;

/// Scopes that are compared for an eviction, by the room that they have already.
const COMPARED_SCOPES: usize = 16;

/// Workers of a scope that are compared for an eviction, beside one for each task.
const COMPARED_WORKERS: usize = 64;

/// Why a job may evict others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Claim {
    /// Its workspace has a guarantee of about its size, which is not in use.
    Guarantee,
    /// Its workspace has a larger guarantee with unused room for it.
    Part,
    /// Somebody waits for it.
    Urgency,
    /// It has waited long.
    Age,
}

impl Scheduler {
    pub(super) fn evict(
        &mut self,
        job: &JobId,
        for_job: Option<&JobId>,
        decisions: &mut Vec<Decision>,
    ) {
        if self.undo_start(job, decisions) {
            return;
        }
        let Some(entry) = self.jobs.get_mut(job) else {
            return;
        };
        let Stage::Holds(hold) = &mut entry.stage else {
            return;
        };
        if hold.stopping {
            return;
        }
        hold.stopping = true;
        entry.evictions += 1;
        for part in &hold.parts {
            let held = self.inventory.worker(part.worker).of(job);
            self.inventory.stopping(part.worker, i64::from(held));
        }
        self.uncover(job);
        decisions.push(Decision::Evict {
            job: job.clone(),
            for_job: for_job.cloned(),
        });
    }

    /// Takes back a start that was decided in this pass, before the planner has heard of it.
    fn undo_start(&mut self, job: &JobId, decisions: &mut Vec<Decision>) -> bool {
        let started = |d: &Decision| matches!(d, Decision::Start { job: j, .. } if j == job);
        let Some(at) = decisions.iter().position(started) else {
            return false;
        };
        decisions.remove(at);
        self.requeue(job);
        true
    }

    /// Evicts what keeps `job` from starting, as far as its claim goes, and pledges it the room.
    pub(super) fn make_room(
        &mut self,
        now: Timestamp,
        job: &JobId,
        claim: Claim,
        decisions: &mut Vec<Decision>,
    ) -> bool {
        let Some(entry) = self.jobs.get(job).cloned() else {
            return false;
        };
        let shape = entry.spec.shape();
        let mut seats = self.seats_to_compare(&entry);
        if claim == Claim::Age {
            // Another's reservation is respected; this job's own was taken back.
            let closed = self.reserved_against(now, &entry);
            for seat in &mut seats {
                let closed = closed.get(&seat.worker).copied().unwrap_or(0);
                seat.value = seat.value.saturating_sub(closed);
            }
        }
        let victims = self.victims(now, &entry, claim, &seats);
        let found = cheapest(&seats, &shape, &victims);
        let budget = Self::budget(now, &entry, claim);
        match claim {
            Claim::Guarantee | Claim::Part => {
                for eviction in found {
                    if eviction.cost <= budget && self.cover(job, &eviction.parts) {
                        self.pledge(job, eviction, decisions);
                        return true;
                    }
                }
                self.take_allotment(now, job, claim, budget, decisions)
            }
            Claim::Urgency | Claim::Age => {
                let Some(eviction) = found.into_iter().next() else {
                    return false;
                };
                if eviction.cost > budget {
                    return false;
                }
                self.cover(job, &eviction.parts);
                self.pledge(job, eviction, decisions);
                self.protect(job);
                true
            }
        }
    }

    /// Gives a job the room that its workspace's guarantee has been allotted. Whatever is there
    /// and not covered makes way, pledges included.
    fn take_allotment(
        &mut self,
        now: Timestamp,
        job: &JobId,
        claim: Claim,
        budget: u64,
        decisions: &mut Vec<Decision>,
    ) -> bool {
        let Some(entry) = self.jobs.get(job).cloned() else {
            return false;
        };
        let shape = entry.spec.shape();
        let room = self
            .guarantees
            .room(&self.inventory, &entry.spec.workspace, &shape);
        let Some((_, parts)) = room else { return false };
        self.drop_borrowed_pledges(&parts);
        let seats: Vec<Seat> = parts
            .iter()
            .map(|part| Seat {
                value: self.inventory.coming(part.worker),
                ..self.inventory.free.seat(part.worker)
            })
            .collect();
        let victims = self.victims(now, &entry, claim, &seats);
        let eviction = exactly(&seats, &parts, shape.accelerators, &victims);
        let Some(eviction) = eviction.filter(|e| e.cost <= budget) else {
            return false;
        };
        let covered = self.cover(job, &eviction.parts);
        if covered {
            self.pledge(job, eviction, decisions);
        }
        covered
    }

    fn drop_borrowed_pledges(&mut self, parts: &[Part]) {
        let workers: HashSet<_> = parts.iter().map(|p| p.worker).collect();
        for (_, job) in self.pledged.clone() {
            if let Some(entry) = self.jobs.get(&job)
                && entry.cover.is_none()
                && let Stage::Pledged(pledged) = &entry.stage
                && pledged.iter().any(|p| workers.contains(&p.worker))
            {
                self.requeue(&job);
            }
        }
    }

    fn pledge(&mut self, job: &JobId, eviction: Eviction, decisions: &mut Vec<Decision>) {
        for victim in &eviction.jobs {
            self.evict(victim, Some(job), decisions);
        }
        let Some(entry) = self.jobs.get_mut(job) else {
            return;
        };
        for part in &eviction.parts {
            let pledged = i64::from(part.tasks * entry.spec.accelerators);
            self.inventory.pledge(part.worker, pledged);
        }
        entry.stage = Stage::Pledged(eviction.parts);
        let aged = (entry.accepted, job.clone());
        self.queue.remove(&entry.spec, entry.accepted, job);
        let holding = self.holding.entry(entry.spec.workspace.clone());
        holding.or_default().insert(aged.clone());
        self.pledged.insert(aged);
        // It may be that nothing had to be evicted any more.
        self.stale = true;
    }

    /// Returns workers on which room could be made for a job, with what will be free of each.
    /// Those with the most room need the fewest evictions; to look at all would cost in
    /// proportion to the size of the cluster.
    pub(super) fn seats_to_compare(&mut self, entry: &Entry) -> Vec<Seat> {
        let spec = &entry.spec;
        let most = spec.tasks as usize + COMPARED_WORKERS;
        let free = &mut self.inventory.free;
        let seats = match spec.adjacency {
            Adjacency::Rack => free
                .roomiest_racks(spec.accelerators, COMPARED_SCOPES)
                .concat(),
            Adjacency::FailureDomain => free.roomiest_by_domain(most).concat(),
            Adjacency::Any | Adjacency::Worker => free.roomiest(most),
        };
        let coming = |seat: Seat| Seat {
            value: self.inventory.coming(seat.worker),
            ..seat
        };
        let usable = |seat: &Seat| self.inventory.worker(seat.worker).usable();
        seats.into_iter().filter(usable).map(coming).collect()
    }

    /// Returns the jobs on `seats` that `entry` may evict.
    fn victims(&self, now: Timestamp, entry: &Entry, claim: Claim, seats: &[Seat]) -> Vec<Victim> {
        let mut seen = HashSet::default();
        let mut victims = Vec::new();
        for seat in seats {
            for holding in &self.inventory.worker(seat.worker).jobs {
                if !seen.insert(&holding.job) {
                    continue;
                }
                if let Some(other) = self.jobs.get(&holding.job)
                    && may_evict(entry, claim, other)
                    && let Some(victim) = self.victim(now, &holding.job, other)
                {
                    victims.push(victim);
                }
            }
        }
        victims
    }

    fn victim(&self, now: Timestamp, job: &JobId, entry: &Entry) -> Option<Victim> {
        let Stage::Holds(hold) = &entry.stage else {
            return None;
        };
        if hold.stopping {
            return None;
        }
        let size = entry.spec.accelerators;
        let ran_ms = now.since(hold.since).as_millis() as u64;
        let lost_ms = STOP_AND_RESUME_MS + ran_ms * LOST_PERCENT / 100;
        let expected_ms = self.estimates.run_time(&entry.spec).as_millis() as u64;
        let nearly_done = ran_ms < expected_ms && expected_ms - ran_ms < STOP_AND_RESUME_MS;
        let mut weight = if nearly_done { NEARLY_DONE_WEIGHT } else { 1 };
        if entry.spec.urgency == Urgency::Urgent {
            weight *= URGENT_VICTIM_WEIGHT;
        }
        Some(Victim {
            job: job.clone(),
            cost: lost_ms
                .saturating_mul(bulk(entry))
                .saturating_mul(u64::from(1 + entry.evictions) * weight),
            holdings: hold
                .parts
                .iter()
                .map(|p| (p.worker, p.tasks * size))
                .collect(),
        })
    }

    /// Returns what evictions for a job may cost: as much as the job loses by waiting. The wait of
    /// an urgent one counts more, and from the start, and so does that of a job much smaller than
    /// the guarantee it claims. For a guaranteed shape there is no bound.
    fn budget(now: Timestamp, entry: &Entry, claim: Claim) -> u64 {
        let waited = now.since(entry.waiting_since);
        let waited_ms = waited.as_millis() as u64;
        let worth_ms = match claim {
            Claim::Guarantee => return u64::MAX,
            Claim::Part if waited >= AGED_AFTER => return u64::MAX,
            Claim::Part | Claim::Urgency => URGENT_WORTH_MS + waited_ms * URGENT_WEIGHT,
            Claim::Age => waited_ms,
        };
        worth_ms.saturating_mul(bulk(entry))
    }
}

/// Returns whether `entry` may evict `other`. A covered job is never evicted for
/// another.
pub(super) fn may_evict(entry: &Entry, claim: Claim, other: &Entry) -> bool {
    let covered = other.cover.is_some();
    match claim {
        Claim::Guarantee => !covered,
        // A workspace gains nothing if its jobs take turns in its own guarantee.
        Claim::Part if other.spec.workspace == entry.spec.workspace => {
            !covered
                && (other.spec.urgency > entry.spec.urgency
                    || other.accelerators() * 2 <= entry.accelerators())
        }
        Claim::Part => !covered,
        Claim::Urgency => !covered && other.spec.urgency > entry.spec.urgency,
        Claim::Age => {
            !covered
                && other.spec.urgency >= entry.spec.urgency
                && other.accepted > entry.accepted
                && other.accelerators() * 2 <= entry.accelerators()
        }
    }
}

/// Returns the weight of a job in the cost of stopping it and of letting it wait. A large gang
/// waits longer until it finds room again, so the weight grows with the square.
fn bulk(entry: &Entry) -> u64 {
    u64::from(entry.accelerators()).pow(2)
}
