//! Eviction of running jobs to make room for a waiting one, within limits that depend on why it may
//! evict.

use crate::{
    job::{
        Decision, JobId, Scheduler,
        pass::AGED_AFTER,
        placement::{Candidate, Part},
        reclaim::{Eviction, Victim, cheapest_evictions, cheapest_for_parts},
        scheduler::{JobEntry, Stage},
    },
    utils::{HashSet, Timestamp},
    version::{Adjacency, Urgency},
};

/// Run time that a job loses by a stop with a checkpoint and the later restore, in milliseconds.
const STOP_AND_RESUME_MS: u64 = 10_000;

/// Share of a job's run so far that a stop is expected to lose, in percent: occasionally a
/// checkpoint fails.
const EXPECTED_LOSS_PERCENT: u64 = 2;

/// Factor on the cost of evicting a job that is expected to end before it would have stopped and
/// resumed.
const NEARLY_DONE_WEIGHT: u64 = 4;

/// Factor on the cost of evicting an urgent job.
const URGENT_VICTIM_WEIGHT: u64 = 10;

/// Eviction cost that an urgent job may cause without having waited, in milliseconds of its wait.
const URGENT_START_VALUE_MS: u64 = 50_000;

/// Factor by which the wait of an urgent job counts more than that of another.
const URGENT_WAIT_WEIGHT: u64 = 10;

/// Number of racks compared for an eviction; those with the most available slots come first.
const MAX_COMPARED_RACKS: usize = 16;

/// Number of workers of a scope compared for an eviction, in addition to one for each task.
const EXTRA_COMPARED_WORKERS: usize = 64;

/// Why a job may evict others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum EvictionReason {
    /// Its workspace has an unused guarantee of about its size.
    Guarantee,
    /// Its workspace has a larger guarantee with unused room for the job.
    Part,
    /// The job is urgent: somebody waits for it.
    Urgency,
    /// The job has waited long.
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
        let Stage::Holding(hold) = &mut entry.stage else {
            return;
        };
        if hold.stopping {
            return;
        }
        hold.stopping = true;
        entry.evictions += 1;
        for part in &hold.parts {
            let held = self.inventory.worker(part.worker).held_by(job);
            self.inventory.stopping(part.worker, i64::from(held));
        }
        self.uncover(job);
        decisions.push(Decision::Evict {
            job: job.clone(),
            for_job: for_job.cloned(),
        });
    }

    /// Undoes a start that was decided in this pass, before the planner has received it.
    fn undo_start(&mut self, job: &JobId, decisions: &mut Vec<Decision>) -> bool {
        let started = |d: &Decision| matches!(d, Decision::Start { job: j, .. } if j == job);
        let Some(at) = decisions.iter().position(started) else {
            return false;
        };
        decisions.remove(at);
        self.requeue(job);
        true
    }

    /// Evicts the jobs that keep `job` from starting, if `reason` justifies the cost, and pledges
    /// the room to `job`, vacant accelerators included; returns whether it did.
    pub(super) fn make_room(
        &mut self,
        now: Timestamp,
        job: &JobId,
        reason: EvictionReason,
        decisions: &mut Vec<Decision>,
    ) -> bool {
        let Some(entry) = self.jobs.get(job).cloned() else {
            return false;
        };
        let shape = entry.spec.shape();
        let mut candidates = self.eviction_candidates(&entry);
        if reason == EvictionReason::Age {
            // Other jobs' reservations are respected; the reservation of this job has been removed.
            let reserved = self.reserved_against(now, &entry);
            for candidate in &mut candidates {
                let reserved = reserved.get(&candidate.worker).copied().unwrap_or(0);
                candidate.available = candidate.available.saturating_sub(reserved);
            }
        }
        let victims = self.victims(now, &entry, reason, &candidates);
        let found = cheapest_evictions(&candidates, &shape, &victims);
        let budget = Self::budget(now, &entry, reason);
        match reason {
            EvictionReason::Guarantee | EvictionReason::Part => {
                for eviction in found {
                    if eviction.cost <= budget && self.cover(job, &eviction.parts) {
                        self.pledge(job, eviction, decisions);
                        return true;
                    }
                }
                self.evict_from_allotment(now, job, reason, budget, decisions)
            }
            EvictionReason::Urgency | EvictionReason::Age => {
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

    /// Gives a job the room that is allotted to its workspace's guarantee. Jobs there that no
    /// guarantee covers are evicted, and pledges without a guarantee are withdrawn.
    fn evict_from_allotment(
        &mut self,
        now: Timestamp,
        job: &JobId,
        reason: EvictionReason,
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
        let candidates: Vec<Candidate> = parts
            .iter()
            .map(|part| Candidate {
                available: self.inventory.free_after_stops(part.worker),
                ..self.inventory.free.candidate(part.worker)
            })
            .collect();
        let victims = self.victims(now, &entry, reason, &candidates);
        let eviction = cheapest_for_parts(&candidates, &parts, shape.accelerators, &victims);
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
        // The job can start at once if no job had to be stopped, or only starts of this pass were
        // undone.
        self.needs_pass = true;
    }

    /// Returns workers on which room could be made for a job, with the accelerators that will be
    /// available on each. Workers with the most available accelerators need the fewest evictions;
    /// comparing all workers would cost time in proportion to the size of the cluster.
    pub(super) fn eviction_candidates(&mut self, entry: &JobEntry) -> Vec<Candidate> {
        let spec = &entry.spec;
        let max_workers = spec.tasks as usize + EXTRA_COMPARED_WORKERS;
        let free = &mut self.inventory.free;
        let candidates = match spec.adjacency {
            Adjacency::Rack => free
                .racks_with_most_slots(spec.accelerators, MAX_COMPARED_RACKS)
                .concat(),
            Adjacency::FailureDomain => free.most_available_by_domain(max_workers).concat(),
            Adjacency::Any | Adjacency::Worker => free.most_available(max_workers),
        };
        let after_stops = |candidate: Candidate| Candidate {
            available: self.inventory.free_after_stops(candidate.worker),
            ..candidate
        };
        let usable = |candidate: &Candidate| self.inventory.worker(candidate.worker).usable();
        candidates
            .into_iter()
            .filter(usable)
            .map(after_stops)
            .collect()
    }

    /// Returns the jobs on `candidates` that `entry` may evict.
    fn victims(
        &self,
        now: Timestamp,
        entry: &JobEntry,
        reason: EvictionReason,
        candidates: &[Candidate],
    ) -> Vec<Victim> {
        let mut seen = HashSet::default();
        let mut victims = Vec::new();
        for candidate in candidates {
            for holding in &self.inventory.worker(candidate.worker).jobs {
                if !seen.insert(&holding.job) {
                    continue;
                }
                if let Some(other) = self.jobs.get(&holding.job)
                    && may_evict(entry, reason, other)
                    && let Some(victim) = self.victim(now, &holding.job, other)
                {
                    victims.push(victim);
                }
            }
        }
        victims
    }

    fn victim(&self, now: Timestamp, job: &JobId, entry: &JobEntry) -> Option<Victim> {
        let Stage::Holding(hold) = &entry.stage else {
            return None;
        };
        if hold.stopping {
            return None;
        }
        let size = entry.spec.accelerators;
        let ran_ms = now.since(hold.since).as_millis() as u64;
        let lost_ms = STOP_AND_RESUME_MS + ran_ms * EXPECTED_LOSS_PERCENT / 100;
        let expected_ms = self.estimates.run_time(&entry.spec).as_millis() as u64;
        let nearly_done = ran_ms < expected_ms && expected_ms - ran_ms < STOP_AND_RESUME_MS;
        let mut weight = if nearly_done { NEARLY_DONE_WEIGHT } else { 1 };
        if entry.spec.urgency == Urgency::Urgent {
            weight *= URGENT_VICTIM_WEIGHT;
        }
        Some(Victim {
            job: job.clone(),
            cost: lost_ms
                .saturating_mul(size_weight(entry))
                .saturating_mul(u64::from(1 + entry.evictions) * weight),
            holdings: hold
                .parts
                .iter()
                .map(|p| (p.worker, p.tasks * size))
                .collect(),
        })
    }

    /// Returns the maximum cost of evictions for a job, which is what the job loses by waiting. For
    /// an urgent job, and for a job much smaller than the guarantee whose room it requests, this is
    /// above zero from the start and grows faster with the wait. There is no limit for a guaranteed
    /// shape, nor for such a smaller job that has waited for [`AGED_AFTER`].
    fn budget(now: Timestamp, entry: &JobEntry, reason: EvictionReason) -> u64 {
        let waited = now.since(entry.waiting_since);
        let waited_ms = waited.as_millis() as u64;
        let value_ms = match reason {
            EvictionReason::Guarantee => return u64::MAX,
            EvictionReason::Part if waited >= AGED_AFTER => return u64::MAX,
            EvictionReason::Part | EvictionReason::Urgency => {
                URGENT_START_VALUE_MS + waited_ms * URGENT_WAIT_WEIGHT
            }
            EvictionReason::Age => waited_ms,
        };
        value_ms.saturating_mul(size_weight(entry))
    }
}

/// Returns whether `entry` may evict `other`. A job that a guarantee covers is never evicted for
/// another job.
pub(super) fn may_evict(entry: &JobEntry, reason: EvictionReason, other: &JobEntry) -> bool {
    let covered = other.cover.is_some();
    match reason {
        EvictionReason::Guarantee => !covered,
        // A workspace gains nothing if its own jobs evict each other from its guarantee.
        EvictionReason::Part if other.spec.workspace == entry.spec.workspace => {
            !covered
                && (other.spec.urgency > entry.spec.urgency
                    || other.accelerators() * 2 <= entry.accelerators())
        }
        EvictionReason::Part => !covered,
        EvictionReason::Urgency => !covered && other.spec.urgency > entry.spec.urgency,
        EvictionReason::Age => {
            !covered
                && other.spec.urgency >= entry.spec.urgency
                && other.accepted > entry.accepted
                && other.accelerators() * 2 <= entry.accelerators()
        }
    }
}

/// Returns the weight of a job in the costs of stopping it and of letting it wait. The weight grows
/// with the square of the size, because a large gang waits longer until it finds room again.
fn size_weight(entry: &JobEntry) -> u64 {
    u64::from(entry.accelerators()).pow(2)
}
