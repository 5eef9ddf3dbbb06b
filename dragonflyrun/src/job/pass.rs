//! The decisions of one pass: what leaves, what starts, what makes room.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    time::Duration, //
};

use crate::{
    connection::Placement,
    job::{
        Decision, JobId, Scheduler,
        guarantee::{Cover, GuaranteeId},
        placement::{Part, Seat},
        queue::{Aged, Class},
        reclaim::{Eviction, Victim, cheapest, exactly},
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

/// Time after which a waiting job as large as a worker may evict younger and smaller ones.
const AGED_AFTER: Duration = Duration::from_secs(30);

/// The same for a smaller job. It finds holes, and would evict others for little.
const SMALL_AGED_AFTER: Duration = Duration::from_secs(600);

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
        // An eviction may have left an allotment on a worker that can't honour it.
        self.keep_guarantees();
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
            self.wait_again(&job);
        }
    }

    fn evict(&mut self, job: &JobId, for_job: Option<&JobId>, decisions: &mut Vec<Decision>) {
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
        self.wait_again(job);
        true
    }

    /// Sees to it that each guarantee is allotted, and that workspaces' own jobs count towards
    /// their guarantees before they count as borrowing.
    fn keep_guarantees(&mut self) {
        let changed = std::mem::take(&mut self.changed);
        let uncovered = std::mem::take(&mut self.uncovered);
        if changed.is_empty() && uncovered.is_empty() {
            return;
        }
        if !self.guarantees.settle(&mut self.inventory, &changed) {
            self.drop_reservations();
            self.settle_without_temporary();
        }
        self.clear_reserved();
        for workspace in uncovered {
            self.cover_borrowers(&workspace);
        }
    }

    /// Allots the guarantees without regard to temporary ones, and puts those back that still can
    /// be had.
    fn settle_without_temporary(&mut self) {
        let entries = self.guarantees.entries.iter();
        let temporary = entries.filter(|e| e.temporary).flat_map(|e| &e.jobs);
        let jobs: Vec<JobId> = temporary.cloned().collect();
        for job in &jobs {
            self.uncover(job);
        }
        self.changed.clear();
        self.guarantees.settle(&mut self.inventory, &[]);
        for job in &jobs {
            self.protect(job);
        }
    }

    /// Keeps a running or pledged job that borrows from being evicted, if it is as large as a
    /// worker and all guarantees can be had beside it. A large gang that is evicted waits long
    /// until it finds room again; small jobs are evicted in its place.
    fn protect(&mut self, job: &JobId) {
        let Some(entry) = self.jobs.get_mut(job) else {
            return;
        };
        if entry.cover.is_some() || entry.accelerators() < self.inventory.largest_worker() {
            return;
        }
        let parts = match &entry.stage {
            Stage::Pledged(parts) => parts,
            Stage::Holds(hold) if !hold.stopping => &hold.parts,
            Stage::Holds(_) | Stage::Waits => return,
        };
        let cover = Cover {
            workspace: &entry.spec.workspace,
            job,
            parts,
            size: entry.spec.accelerators,
            not_by: None,
        };
        let shape = entry.spec.shape();
        entry.cover = self.guarantees.protect(&mut self.inventory, &cover, shape);
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
            if !self.is_reserved(&parts) {
                self.cover(&job, &parts);
            }
        }
    }

    /// Covers `job` at `parts` by one of its workspace's guarantees, if that can be done.
    fn cover(&mut self, job: &JobId, parts: &[Part]) -> bool {
        let Some(entry) = self.jobs.get_mut(job) else {
            return false;
        };
        let cover = Cover {
            workspace: &entry.spec.workspace,
            job,
            parts,
            size: entry.spec.accelerators,
            not_by: None,
        };
        entry.cover = self.guarantees.cover(&mut self.inventory, &cover);
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
        let mut heads: BinaryHeap<Reverse<Rank>> = BinaryHeap::new();
        for class in classes {
            heads.extend(self.rank(class).map(Reverse));
        }
        while let Some(Reverse((_, owner, (_, job), class))) = heads.pop() {
            if self.try_start(now, &job, &class, !owner, decisions)
                && let Some(next) = self.rank(class)
            {
                heads.push(Reverse(next));
            }
        }
    }

    fn rank(&mut self, class: Class) -> Option<Rank> {
        let first = self.queue.first(&class)?;
        let owner = self.has_room_by_guarantee(&class) || self.make_guarantee_whole(&class);
        Some((class.urgency, !owner, first, class))
    }

    fn has_room_by_guarantee(&self, class: &Class) -> bool {
        let room = self
            .guarantees
            .room(&self.inventory, &class.workspace, &class.shape());
        room.is_some()
    }

    /// Tries to empty a guarantee that could hold `class`, by covering the smaller jobs in it by
    /// other guarantees of the workspace.
    ///
    /// A burst of small jobs spills from a small guarantee into a large one. When the jobs of the
    /// small one end first, the large one stays in use although the small one could cover the
    /// rest, and a job of the large one's shape would wait.
    fn make_guarantee_whole(&mut self, class: &Class) -> bool {
        // Allotments may have to move into room that aged jobs have reserved.
        self.lift_reservations();
        let whole = self.cover_smaller_elsewhere(class);
        self.put_reservations_back();
        whole
    }

    fn cover_smaller_elsewhere(&mut self, class: &Class) -> bool {
        let shape = class.shape();
        for id in self.guarantees.of(&class.workspace).to_vec() {
            let guarantee = &self.guarantees.entries[id];
            if !guarantee.shape.contains(&shape) || guarantee.movable() {
                continue;
            }
            for job in guarantee.jobs.clone() {
                self.cover_elsewhere(&job, id);
            }
            if self.has_room_by_guarantee(class) {
                return true;
            }
        }
        false
    }

    /// Covers a job by another guarantee than `id` if that can be done. It is taken out of `id`
    /// first, since the allotment of `id` may be what is in the way of the other.
    fn cover_elsewhere(&mut self, job: &JobId, id: GuaranteeId) {
        let Some(entry) = self.jobs.get_mut(job) else {
            return;
        };
        let parts = match &entry.stage {
            Stage::Waits => return,
            Stage::Pledged(parts) => parts,
            Stage::Holds(hold) => &hold.parts,
        };
        let cover = Cover {
            workspace: &entry.spec.workspace,
            job,
            parts,
            size: entry.spec.accelerators,
            not_by: Some(id),
        };
        self.guarantees.uncover(id, job, parts, cover.size);
        self.changed.extend(parts.iter().map(|p| p.worker));
        entry.cover = self.guarantees.cover(&mut self.inventory, &cover);
        if entry.cover.is_none() {
            self.guarantees.cover_by(id, &cover);
            entry.cover = Some(id);
        }
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
        let spec = entry.spec.clone();
        if spec.tasks == 0 || spec.accelerators == 0 {
            return false;
        }
        let wanted = entry.accelerators();
        if let Some(quota) = self.quota(&spec.workspace)
            && self.used_by(&spec.workspace) + wanted > quota
        {
            return false;
        }
        let waited = now.since(entry.waiting_since);
        let reservation = self.take_reservation(job);
        if owner && let Some(parts) = self.vacant_room(class) {
            self.leave_queue(job);
            self.cover(job, &parts);
            self.start(now, job, parts, decisions);
            return true;
        }
        if let Some(parts) = self.inventory.free.find(&class.shape()) {
            self.leave_queue(job);
            self.cover(job, &parts);
            self.start(now, job, parts, decisions);
            self.protect(job);
            return true;
        }
        if let Some(parts) = self.backfill(now, job) {
            self.leave_queue(job);
            self.start(now, job, parts, decisions);
            return true;
        }
        let claim = if owner && self.guarantees.is_whole_for(&spec.workspace, wanted) {
            Claim::Guarantee
        } else if owner {
            Claim::Part
        } else if spec.urgency == Urgency::Urgent {
            Claim::Urgency
        } else if waited >= self.aged_after(wanted) {
            Claim::Age
        } else {
            return false;
        };
        if self.make_room(now, job, claim, decisions) {
            return true;
        }
        self.reserve(now, job, reservation);
        false
    }

    fn aged_after(&self, accelerators: u32) -> Duration {
        match accelerators >= self.inventory.largest_worker() {
            true => AGED_AFTER,
            false => SMALL_AGED_AFTER,
        }
    }

    fn vacant_room(&self, class: &Class) -> Option<Vec<Part>> {
        let shape = class.shape();
        self.guarantees
            .vacant_room(&self.inventory, &class.workspace, &shape)
    }

    fn leave_queue(&mut self, job: &JobId) {
        if let Some(entry) = self.jobs.get(job) {
            self.queue.remove(&entry.spec, entry.accepted, job);
        }
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
        let mut seats = self.seats_to_compare(&entry);
        if claim == Claim::Age {
            // Another's reservation is respected; this job's own was taken back.
            let closed = self.closed_to(now, &entry);
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
                self.wait_again(&job);
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
