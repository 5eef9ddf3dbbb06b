//! Assignment of running jobs to the guarantees that cover them.

use crate::{
    job::{
        JobId, Scheduler,
        guarantee::{CoverRequest, GuaranteeId},
        placement::Part,
        queue::{AgeKey, Class},
        scheduler::Stage,
    },
    utils::Name,
};

impl Scheduler {
    /// Updates the allotments, and covers jobs of a workspace by its guarantees, so that they don't
    /// count as borrowing as long as there is room.
    pub(super) fn update_guarantees(&mut self) {
        let changed = std::mem::take(&mut self.changed);
        let workspaces = std::mem::take(&mut self.workspaces_to_cover);
        if changed.is_empty() && workspaces.is_empty() {
            return;
        }
        if !self.guarantees.reallot(&mut self.inventory, &changed) {
            self.drop_reservations();
            self.reallot_without_temporary();
        }
        self.evacuate_reserved();
        for workspace in workspaces {
            self.cover_borrowers(&workspace);
        }
    }

    /// Allots the guarantees without the temporary ones, then restores those temporary ones that
    /// still fit.
    fn reallot_without_temporary(&mut self) {
        let entries = self.guarantees.entries.iter();
        let temporary = entries.filter(|e| e.temporary).flat_map(|e| &e.jobs);
        let jobs: Vec<JobId> = temporary.cloned().collect();
        for job in &jobs {
            self.uncover(job);
        }
        self.changed.clear();
        self.guarantees.reallot(&mut self.inventory, &[]);
        for job in &jobs {
            self.protect(job);
        }
    }

    /// Protects a borrowing job that is running or has room pledged from eviction, if it is at
    /// least as large as a worker and all guarantees can be allotted beside it. A large gang that
    /// is evicted waits long until it finds room again, so small jobs are evicted instead.
    pub(super) fn protect(&mut self, job: &JobId) {
        let Some(entry) = self.jobs.get_mut(job) else {
            return;
        };
        if entry.cover.is_some() || entry.accelerators() < self.inventory.largest_worker() {
            return;
        }
        let parts = match &entry.stage {
            Stage::Pledged(parts) => parts,
            Stage::Holding(hold) if !hold.stopping => &hold.parts,
            Stage::Holding(_) | Stage::Waiting => return,
        };
        let cover = CoverRequest {
            workspace: &entry.spec.workspace,
            job,
            parts,
            size: entry.spec.accelerators,
            except: None,
        };
        let shape = entry.spec.shape();
        entry.cover = self.guarantees.protect(&mut self.inventory, &cover, shape);
    }

    /// Covers running jobs of `workspace` that borrow by its guarantees, as far as they fit into the
    /// allotments.
    fn cover_borrowers(&mut self, workspace: &Name) {
        if self.guarantees.of(workspace).is_empty() {
            return;
        }
        let holding = self.holding.get(workspace);
        let jobs: Vec<AgeKey> = holding.into_iter().flatten().cloned().collect();
        for (_, job) in jobs {
            let Some(entry) = self.jobs.get(&job) else {
                continue;
            };
            let parts = match &entry.stage {
                Stage::Holding(hold) if entry.cover.is_none() && !hold.stopping => &hold.parts,
                _ => continue,
            };
            let parts = parts.clone();
            if !self.is_reserved(&parts) {
                self.cover(&job, &parts);
            }
        }
    }

    /// Covers `job` at `parts` by one of its workspace's guarantees, if possible; returns whether
    /// it is covered.
    pub(super) fn cover(&mut self, job: &JobId, parts: &[Part]) -> bool {
        let Some(entry) = self.jobs.get_mut(job) else {
            return false;
        };
        let cover = CoverRequest {
            workspace: &entry.spec.workspace,
            job,
            parts,
            size: entry.spec.accelerators,
            except: None,
        };
        entry.cover = self.guarantees.cover(&mut self.inventory, &cover);
        entry.cover.is_some()
    }

    pub(super) fn has_guaranteed_room(&self, class: &Class) -> bool {
        let room = self
            .guarantees
            .room(&self.inventory, &class.workspace, &class.shape());
        room.is_some()
    }

    /// Tries to vacate a guarantee that could hold `class`, by covering the jobs in it by other
    /// guarantees of the workspace; returns whether there is room for `class` then.
    ///
    /// A burst of small jobs spills from a small guarantee into a large one. When the jobs of the
    /// small one end first, the large one stays in use although the small one could cover the
    /// remaining jobs, and a job of the large one's shape would have to wait.
    pub(super) fn vacate_guarantee(&mut self, class: &Class) -> bool {
        let shape = class.shape();
        let mut in_use = self.guarantees.of(&class.workspace).to_vec();
        in_use.retain(|id| {
            let guarantee = &self.guarantees.entries[*id];
            guarantee.shape.contains(&shape) && !guarantee.movable()
        });
        if in_use.is_empty() {
            return false;
        }
        // Allotments may have to move into room that is reserved for jobs that have waited long.
        self.suspend_reservations();
        let vacated = in_use
            .into_iter()
            .any(|id| self.cover_jobs_elsewhere(id, class));
        self.restore_reservations();
        vacated
    }

    /// Covers the jobs in guarantee `id` by other guarantees as far as possible; returns whether
    /// there is room for `class` then.
    fn cover_jobs_elsewhere(&mut self, id: GuaranteeId, class: &Class) -> bool {
        for job in self.guarantees.entries[id].jobs.clone() {
            self.cover_elsewhere(&job, id);
        }
        self.has_guaranteed_room(class)
    }

    /// Covers a job by a guarantee other than `id`, if possible. The job is removed from `id`
    /// first, since the allotment of `id` may be in the way of the other one.
    fn cover_elsewhere(&mut self, job: &JobId, id: GuaranteeId) {
        let Some(entry) = self.jobs.get_mut(job) else {
            return;
        };
        let parts = match &entry.stage {
            Stage::Waiting => return,
            Stage::Pledged(parts) => parts,
            Stage::Holding(hold) => &hold.parts,
        };
        let cover = CoverRequest {
            workspace: &entry.spec.workspace,
            job,
            parts,
            size: entry.spec.accelerators,
            except: Some(id),
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
