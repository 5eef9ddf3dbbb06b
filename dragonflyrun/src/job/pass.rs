//! The decisions of one pass: what leaves, what starts, what makes room.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    time::Duration, //
};

use crate::{
    connection::Placement,
    job::{
        Decision, JobId, JobSpec, Scheduler,
        placement::{Part, Seat},
        queue::{Aged, Class},
        reclaim::{Eviction, Victim, cheapest},
        scheduler::{Entry, Stage},
    },
    utils::{HashSet, Name, Timestamp},
    version::{Adjacency, Urgency},
};

/// How often the queue is looked through while nothing has changed but the age of the jobs.
const AGING_INTERVAL: Duration = Duration::from_secs(1);

/// What a stop with checkpoint and the later restore cost a job, in milliseconds of its run.
const STOP_AND_RESUME_MS: u64 = 10_000;

/// The share of a job's run so far that is taken to be lost by a stop, in percent: now and then a
/// checkpoint fails.
const LOST_PERCENT: u64 = 2;

/// How much rather another job is stopped than one that is expected to end before it would have
/// stopped and resumed.
const NEARLY_DONE_WEIGHT: u64 = 4;

/// Time after which a waiting job may evict younger and smaller ones.
const AGED_AFTER: Duration = Duration::from_secs(30);

/// Scopes that are compared for an eviction, by the room that they have already.
const COMPARED_SCOPES: usize = 16;

/// Workers of a scope that are compared for an eviction, beside one for each task.
const COMPARED_WORKERS: usize = 64;

/// Why a job may evict others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Claim {
    /// Its workspace has a guarantee with unused room for it.
    Guarantee,
    /// Somebody waits for it.
    Urgency,
    /// It has waited long.
    Age,
}

/// The order in which waiting jobs are looked at, the least first.
type Rank = (Urgency, bool, Aged, Class);

impl Scheduler {
    pub(super) fn pass(&mut self, now: Timestamp) -> Vec<Decision> {
        let mut decisions = Vec::new();
        self.probe_workers(now);
        let aging = !self.queue.is_empty() && now.since(self.last_pass) >= AGING_INTERVAL;
        if !self.stale && !aging {
            return decisions;
        }
        self.stale = false;
        self.last_pass = now;
        self.empty_domains(&mut decisions);
        self.keep_guarantees();
        self.start_pledged(now, &mut decisions);
        self.look_through_queue(now, &mut decisions);
        self.end_impossible(&mut decisions);
        decisions
    }

    /// Takes workers back that have been left alone long enough.
    fn probe_workers(&mut self, now: Timestamp) {
        for id in self.quarantine.due(now, &self.limits) {
            self.inventory.change(id, |w| w.set_aside = false);
            self.changed.push(id);
            self.stale = true;
        }
    }

    /// Evicts what runs in a failure domain that is out of service. A gang with one member there
    /// is evicted whole. It is stopped with a checkpoint and goes on elsewhere from there.
    fn empty_domains(&mut self, decisions: &mut Vec<Decision>) {
        let mut leaving = Vec::new();
        for id in self.inventory.ids() {
            let worker = self.inventory.worker(id);
            if !worker.in_service {
                leaving.extend(worker.jobs.iter().map(|h| h.job.clone()));
            }
        }
        for job in leaving {
            self.evict(&job, None, decisions);
        }
        let in_service = |p: &Part| self.inventory.worker(p.worker).usable();
        let mut stranded = Vec::new();
        for (_, job) in &self.pledged {
            if let Some(Stage::Pledged(parts)) = self.jobs.get(job).map(|e| &e.stage)
                && !parts.iter().all(in_service)
            {
                stranded.push(job.clone());
            }
        }
        for job in stranded {
            self.wait_again(self.last_pass, &job);
        }
    }

    fn evict(&mut self, job: &JobId, for_job: Option<&JobId>, decisions: &mut Vec<Decision>) {
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

    /// Sees to it that each guarantee is allotted, and that workspaces' own jobs count towards
    /// their guarantees before they count as borrowing.
    fn keep_guarantees(&mut self) {
        let changed = std::mem::take(&mut self.changed);
        self.guarantees.settle(&mut self.inventory, &changed);
        for workspace in std::mem::take(&mut self.uncovered) {
            self.cover_borrowers(&workspace);
        }
    }

    fn cover_borrowers(&mut self, workspace: &Name) {
        if self.guarantees.of(workspace).is_empty() {
            return;
        }
        let holding = self.holding.get(workspace);
        let jobs: Vec<Aged> = holding.into_iter().flatten().cloned().collect();
        for (_, job) in jobs {
            let Some(entry) = self.jobs.get(&job) else {
                continue;
            };
            let parts = match &entry.stage {
                Stage::Holds(hold) if entry.cover.is_none() && !hold.stopping => &hold.parts,
                _ => continue,
            };
            let parts = parts.clone();
            self.cover(&job, &parts);
        }
    }

    /// Covers `job` at `parts` by one of its workspace's guarantees, if that can be done.
    fn cover(&mut self, job: &JobId, parts: &[Part]) -> bool {
        let Some(entry) = self.jobs.get_mut(job) else {
            return false;
        };
        let JobSpec {
            workspace,
            accelerators,
            ..
        } = &entry.spec;
        let inventory = &mut self.inventory;
        entry.cover = self
            .guarantees
            .cover(inventory, workspace, job, parts, *accelerators);
        entry.cover.is_some()
    }

    /// Starts the jobs whose pledged accelerators have all become vacant.
    fn start_pledged(&mut self, now: Timestamp, decisions: &mut Vec<Decision>) {
        for (_, job) in self.pledged.clone() {
            let Some(entry) = self.jobs.get(&job) else {
                continue;
            };
            let Stage::Pledged(parts) = &entry.stage else {
                continue;
            };
            if !self.inventory.is_vacant(parts, entry.spec.accelerators) {
                continue;
            }
            let parts = parts.clone();
            let size = entry.spec.accelerators;
            for part in &parts {
                let pledged = i64::from(part.tasks * size);
                self.inventory.pledge(part.worker, -pledged);
            }
            self.pledged.remove(&(entry.accepted, job.clone()));
            self.start(now, &job, parts, decisions);
        }
    }

    fn start(
        &mut self,
        now: Timestamp,
        job: &JobId,
        parts: Vec<Part>,
        decisions: &mut Vec<Decision>,
    ) {
        let placement = |part: &Part| Placement {
            worker: self.inventory.worker(part.worker).info.name.clone(),
            tasks: part.tasks,
        };
        decisions.push(Decision::Start {
            job: job.clone(),
            placements: parts.iter().map(placement).collect(),
        });
        self.hold(now, job, parts);
    }

    /// Looks at the first job of each class: urgent ones first, then those of workspaces below
    /// their guarantees, then the oldest.
    fn look_through_queue(&mut self, now: Timestamp, decisions: &mut Vec<Decision>) {
        let classes: Vec<Class> = self.queue.classes().cloned().collect();
        let ranks = classes.into_iter().filter_map(|class| self.rank(class));
        let mut heads: BinaryHeap<Reverse<Rank>> = ranks.map(Reverse).collect();
        while let Some(Reverse((_, owner, (_, job), class))) = heads.pop() {
            if self.try_start(now, &job, &class, !owner, decisions)
                && let Some(next) = self.rank(class)
            {
                heads.push(Reverse(next));
            }
        }
    }

    fn rank(&self, class: Class) -> Option<Rank> {
        let first = self.queue.first(&class)?;
        let owner = self.has_room_by_guarantee(&class);
        Some((class.urgency, !owner, first, class))
    }

    fn has_room_by_guarantee(&self, class: &Class) -> bool {
        let room = self
            .guarantees
            .room(&self.inventory, &class.workspace, &class.shape());
        room.is_some()
    }

    /// Starts a job or pledges it room; returns whether it has left the queue.
    fn try_start(
        &mut self,
        now: Timestamp,
        job: &JobId,
        class: &Class,
        owner: bool,
        decisions: &mut Vec<Decision>,
    ) -> bool {
        let Some(entry) = self.jobs.get(job) else {
            return false;
        };
        let (spec, accepted) = (entry.spec.clone(), entry.accepted);
        if spec.tasks == 0 || spec.accelerators == 0 {
            return false;
        }
        let wanted = entry.accelerators();
        if let Some(quota) = self.quota(&spec.workspace)
            && self.used_by(&spec.workspace) + wanted > quota
        {
            return false;
        }
        if let Some(parts) = self.inventory.free.find(&class.shape()) {
            self.queue.remove(&spec, accepted, job);
            self.cover(job, &parts);
            self.start(now, job, parts, decisions);
            return true;
        }
        let waited = now.since(entry.waiting_since);
        let claim = if owner {
            Claim::Guarantee
        } else if spec.urgency == Urgency::Urgent {
            Claim::Urgency
        } else if waited >= AGED_AFTER {
            Claim::Age
        } else {
            return false;
        };
        self.make_room(now, job, claim, decisions)
    }

    /// Evicts what keeps `job` from starting, as far as its claim goes, and pledges it the room.
    fn make_room(
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
        let seats = self.seats_to_compare(&entry);
        let victims = self.victims(now, &entry, claim, &seats);
        let found = cheapest(&seats, &shape, &victims);
        match claim {
            Claim::Guarantee => {
                for eviction in found {
                    if self.cover(job, &eviction.parts) {
                        self.pledge(job, eviction, decisions);
                        return true;
                    }
                }
                self.take_allotment(now, job, &entry, decisions)
            }
            Claim::Urgency | Claim::Age => {
                let Some(eviction) = found.into_iter().next() else {
                    return false;
                };
                if claim == Claim::Age && eviction.cost > budget(now, &entry) {
                    return false;
                }
                self.cover(job, &eviction.parts);
                self.pledge(job, eviction, decisions);
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
        entry: &Entry,
        decisions: &mut Vec<Decision>,
    ) -> bool {
        let shape = entry.spec.shape();
        let room = self
            .guarantees
            .room(&self.inventory, &entry.spec.workspace, &shape);
        let Some((_, parts)) = room else { return false };
        self.drop_borrowed_pledges(now, &parts);
        let seats: Vec<Seat> = parts
            .iter()
            .map(|part| Seat {
                value: self.inventory.coming(part.worker),
                ..self.inventory.free.seat(part.worker)
            })
            .collect();
        let victims = self.victims(now, entry, Claim::Guarantee, &seats);
        for eviction in cheapest(&seats, &shape, &victims) {
            if self.cover(job, &eviction.parts) {
                self.pledge(job, eviction, decisions);
                return true;
            }
        }
        false
    }

    fn drop_borrowed_pledges(&mut self, now: Timestamp, parts: &[Part]) {
        let workers: HashSet<_> = parts.iter().map(|p| p.worker).collect();
        for (_, job) in self.pledged.clone() {
            if let Some(entry) = self.jobs.get(&job)
                && entry.cover.is_none()
                && let Stage::Pledged(pledged) = &entry.stage
                && pledged.iter().any(|p| workers.contains(&p.worker))
            {
                self.wait_again(now, &job);
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
    fn seats_to_compare(&mut self, entry: &Entry) -> Vec<Seat> {
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
        seats.into_iter().map(coming).collect()
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
        let weight = if nearly_done { NEARLY_DONE_WEIGHT } else { 1 };
        Some(Victim {
            job: job.clone(),
            cost: lost_ms
                .saturating_mul(u64::from(entry.accelerators()))
                .saturating_mul(u64::from(1 + entry.evictions) * weight),
            holdings: hold
                .parts
                .iter()
                .map(|p| (p.worker, p.tasks * size))
                .collect(),
        })
    }

    /// Ends waiting jobs that can never run.
    fn end_impossible(&mut self, decisions: &mut Vec<Decision>) {
        if !self.settled {
            return;
        }
        let classes: Vec<Class> = self.queue.classes().cloned().collect();
        for class in classes {
            let jobs: Vec<Aged> = self.queue.jobs(&class).cloned().collect();
            let Some(entry) = jobs.first().and_then(|(_, job)| self.jobs.get(job)) else {
                continue;
            };
            let Err(why) = self.possible(&entry.spec) else {
                continue;
            };
            for (accepted, job) in jobs {
                if let Some(entry) = self.jobs.get(&job) {
                    self.queue.remove(&entry.spec, accepted, &job);
                }
                decisions.push(Decision::Impossible { job, why });
            }
        }
    }
}

/// Returns whether `entry` may evict `other`. A covered job is never evicted for another.
fn may_evict(entry: &Entry, claim: Claim, other: &Entry) -> bool {
    if other.cover.is_some() {
        return false;
    }
    match claim {
        Claim::Guarantee => true,
        Claim::Urgency => other.spec.urgency > entry.spec.urgency,
        Claim::Age => {
            other.spec.urgency >= entry.spec.urgency
                && other.accepted > entry.accepted
                && other.accelerators() < entry.accelerators()
        }
    }
}

/// Returns what evictions for an aged job may cost: as much as its accelerators have missed.
fn budget(now: Timestamp, entry: &Entry) -> u64 {
    let waited_ms = now.since(entry.waiting_since).as_millis() as u64;
    waited_ms * u64::from(entry.accelerators())
}
