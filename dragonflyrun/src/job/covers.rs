//! Which guarantee covers which running job.

use crate::{
    job::{
        JobId, Scheduler,
        guarantee::{Cover, GuaranteeId},
        placement::Part,
        queue::{Aged, Class},
        scheduler::Stage,
    },
    utils::Name,
};

impl Scheduler {
    /// Sees to it that each guarantee is allotted, and that workspaces' own jobs count towards
    /// their guarantees before they count as borrowing.
    pub(super) fn keep_guarantees(&mut self) {
        let changed = std::mem::take(&mut self.changed);
        let uncovered = std::mem::take(&mut self.uncovered);
        if changed.is_empty() && uncovered.is_empty() {
            return;
        }
        if !self.guarantees.settle(&mut self.inventory, &changed) {
            self.drop_reservations();
            self.settle_without_temporary();
        }
        self.evacuate_reserved();
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
    pub(super) fn protect(&mut self, job: &JobId) {
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
    pub(super) fn cover(&mut self, job: &JobId, parts: &[Part]) -> bool {
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

    pub(super) fn has_room_by_guarantee(&self, class: &Class) -> bool {
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
    pub(super) fn make_guarantee_whole(&mut self, class: &Class) -> bool {
        let shape = class.shape();
        let mut in_use = self.guarantees.of(&class.workspace).to_vec();
        in_use.retain(|id| {
            let guarantee = &self.guarantees.entries[*id];
            guarantee.shape.contains(&shape) && !guarantee.movable()
        });
        if in_use.is_empty() {
            return false;
        }
        // Allotments may have to move into room that aged jobs have reserved.
        self.suspend_reservations();
        let whole = in_use
            .into_iter()
            .any(|id| self.cover_smaller_elsewhere(id, class));
        self.restore_reservations();
        whole
    }

    /// Covers the jobs in guarantee `id` elsewhere as far as that can be done; returns whether
    /// there is room for `class` then.
    fn cover_smaller_elsewhere(&mut self, id: GuaranteeId, class: &Class) -> bool {
        for job in self.guarantees.entries[id].jobs.clone() {
            self.cover_elsewhere(&job, id);
        }
        self.has_room_by_guarantee(class)
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

    pub(super) fn vacant_room(&self, class: &Class) -> Option<Vec<Part>> {
        let shape = class.shape();
        self.guarantees
            .vacant_room(&self.inventory, &class.workspace, &shape)
    }
}
