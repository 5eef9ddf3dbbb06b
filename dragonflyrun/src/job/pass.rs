//! The decisions of one scheduling pass: which jobs leave a failure domain, which start, and which
//! are evicted.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    time::Duration, //
};

use crate::{
    connection::Placement,
    job::{
        Decision, JobId, Scheduler,
        eviction::EvictionReason,
        placement::Part,
        queue::{AgeKey, Class},
        scheduler::Stage,
    },
    utils::Timestamp,
    version::Urgency,
};

/// Interval between passes while jobs wait and nothing but their age changes.
const AGING_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which a waiting job at least as large as a worker may evict younger and smaller jobs.
pub(super) const AGED_AFTER: Duration = Duration::from_secs(30);

/// Time after which a waiting job smaller than a worker may evict younger and smaller jobs. It
/// usually finds a gap without an eviction, and would evict others for little gain.
const SMALL_AGED_AFTER: Duration = Duration::from_secs(600);

/// The order in which waiting jobs are considered, lowest first. The flag is `false` for jobs with
/// room in a guarantee.
type Rank = (Urgency, bool, AgeKey, Class);

impl Scheduler {
    pub(super) fn pass(&mut self, now: Timestamp) -> Vec<Decision> {
        let mut decisions = Vec::new();
        self.release_due_workers(now);
        let aging = !self.queue.is_empty() && now.since(self.last_pass) >= AGING_INTERVAL;
        if !self.needs_pass && !aging {
            return decisions;
        }
        self.needs_pass = false;
        self.last_pass = now;
        self.evacuate_domains(&mut decisions);
        self.update_guarantees();
        self.start_pledged(now, &mut decisions);
        self.scan_queue(now, &mut decisions);
        // An eviction may have left an allotment on a worker that can't provide it any more.
        self.update_guarantees();
        self.end_impossible(&mut decisions);
        decisions
    }

    /// Takes workers out of quarantine whose time is up.
    fn release_due_workers(&mut self, now: Timestamp) {
        for id in self.quarantine.due(now, &self.limits) {
            self.inventory.change(id, |w| w.quarantined = false);
            self.changed.push(id);
            self.needs_pass = true;
        }
    }

    /// Evicts jobs that run in a failure domain that is out of service. A gang with one member
    /// there is evicted as a whole: it is stopped with a checkpoint and resumes from it elsewhere.
    fn evacuate_domains(&mut self, decisions: &mut Vec<Decision>) {
        let mut leaving = Vec::new();
        for id in &self.out_of_service {
            let jobs = &self.inventory.worker(*id).jobs;
            leaving.extend(jobs.iter().map(|h| h.job.clone()));
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
            self.requeue(&job);
        }
    }

    /// Starts the jobs whose pledged accelerators are all vacant now.
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

    /// Considers the first job of each class: urgent jobs first, then those of workspaces with
    /// unused guarantees, then the oldest.
    fn scan_queue(&mut self, now: Timestamp, decisions: &mut Vec<Decision>) {
        let classes: Vec<Class> = self.queue.classes().cloned().collect();
        let mut heads: BinaryHeap<Reverse<Rank>> = BinaryHeap::new();
        for class in classes {
            heads.extend(self.rank(class).map(Reverse));
        }
        while let Some(Reverse((_, guaranteed, (_, job), class))) = heads.pop() {
            if self.try_start(now, &job, &class, !guaranteed, decisions)
                && let Some(next) = self.rank(class)
            {
                heads.push(Reverse(next));
            }
        }
    }

    fn rank(&mut self, class: Class) -> Option<Rank> {
        let first = self.queue.first(&class)?;
        let guaranteed = self.has_guaranteed_room(&class) || self.vacate_guarantee(&class);
        Some((class.urgency, !guaranteed, first, class))
    }

    /// Starts a job or pledges room to it; returns whether the job has left the queue.
    fn try_start(
        &mut self,
        now: Timestamp,
        job: &JobId,
        class: &Class,
        guaranteed: bool,
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
            && self.accelerators_used_by(&spec.workspace) + wanted > quota
        {
            return false;
        }
        let waited = now.since(entry.waiting_since);
        let reservation = self.remove_reservation(job);
        if guaranteed && let Some(parts) = self.vacant_room(class) {
            self.dequeue(job);
            self.cover(job, &parts);
            self.start(now, job, parts, decisions);
            return true;
        }
        if let Some(parts) = self.inventory.free.find(&class.shape()) {
            self.dequeue(job);
            self.cover(job, &parts);
            self.start(now, job, parts, decisions);
            self.protect(job);
            return true;
        }
        if let Some(parts) = self.backfill(now, job) {
            self.dequeue(job);
            self.start(now, job, parts, decisions);
            return true;
        }
        let reason = if guaranteed && self.guarantees.has_unused_for(&spec.workspace, wanted) {
            EvictionReason::Guarantee
        } else if guaranteed {
            EvictionReason::Part
        } else if spec.urgency == Urgency::Urgent {
            EvictionReason::Urgency
        } else if waited >= self.aged_after(wanted) {
            EvictionReason::Age
        } else {
            return false;
        };
        if self.make_room(now, job, reason, decisions) {
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

    fn dequeue(&mut self, job: &JobId) {
        if let Some(entry) = self.jobs.get(job) {
            self.queue.remove(&entry.spec, entry.accepted, job);
        }
    }

    /// Ends waiting jobs that can never run.
    fn end_impossible(&mut self, decisions: &mut Vec<Decision>) {
        if !self.discovered_all {
            return;
        }
        let classes: Vec<Class> = self.queue.classes().cloned().collect();
        for class in classes {
            self.inventory
                .index_racks_for(class.shape().accelerators.max(1));
            let first = self.queue.first(&class);
            let Some(entry) = first.and_then(|(_, job)| self.jobs.get(&job)) else {
                continue;
            };
            let Err(why) = self.check_possible(&entry.spec) else {
                continue;
            };
            let jobs: Vec<AgeKey> = self.queue.jobs(&class).cloned().collect();
            for (accepted, job) in jobs {
                if let Some(entry) = self.jobs.get(&job) {
                    self.queue.remove(&entry.spec, accepted, &job);
                }
                decisions.push(Decision::Impossible { job, why });
            }
        }
    }
}
