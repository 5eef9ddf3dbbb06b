//! The accelerators that jobs hold or have been pledged: how they are assigned and released.

use crate::{
    job::{
        JobId, Scheduler,
        placement::Part,
        queue::AgeKey,
        scheduler::{Hold, JobEntry, Stage},
        slots::WorkerId,
    },
    utils::{Name, Timestamp},
};

impl Scheduler {
    /// Returns the number of accelerators that jobs of `workspace` hold or have been pledged.
    pub(super) fn accelerators_used_by(&self, workspace: &Name) -> u32 {
        let jobs = self.holding.get(workspace).into_iter().flatten();
        let entries = jobs.filter_map(|(_, job)| self.jobs.get(job));
        entries.map(JobEntry::accelerators).sum()
    }

    /// Assigns the accelerators at `parts` to `job`.
    pub(super) fn hold(&mut self, now: Timestamp, job: &JobId, parts: Vec<Part>) {
        let Some(entry) = self.jobs.get_mut(job) else {
            return;
        };
        for part in &parts {
            let accelerators = part.tasks.saturating_mul(entry.spec.accelerators);
            self.inventory.hold(part.worker, job, accelerators);
        }
        entry.stage = Stage::Holding(Hold {
            parts,
            since: now,
            stopping: false,
        });
        let aged = (entry.accepted, job.clone());
        let holding = self.holding.entry(entry.spec.workspace.clone());
        holding.or_default().insert(aged);
    }

    /// Marks the accelerators of running gangs as held on a worker that has reported for the first
    /// time.
    pub(super) fn hold_on_new_worker(&mut self, worker: WorkerId) {
        let name = self.inventory.worker(worker).info.name.clone();
        for (job, tasks) in self
            .unknown_worker_members
            .remove(&name)
            .unwrap_or_default()
        {
            // The guarantee that covers the job covers only the members known so far.
            self.uncover(&job);
            let Some(entry) = self.jobs.get_mut(&job) else {
                continue;
            };
            let Stage::Holding(hold) = &mut entry.stage else {
                continue;
            };
            hold.parts.push(Part { worker, tasks });
            let accelerators = tasks.saturating_mul(entry.spec.accelerators);
            self.inventory.hold(worker, &job, accelerators);
            if hold.stopping {
                let stopping = i64::from(accelerators);
                self.inventory.stopping(worker, stopping);
            }
            self.workspaces_to_cover
                .insert(entry.spec.workspace.clone());
        }
    }

    /// Releases what a job holds or has been pledged. The job then waits, but is not in the queue.
    pub(super) fn release_job(&mut self, job: &JobId) {
        self.uncover(job);
        for members in self.unknown_worker_members.values_mut() {
            members.retain(|(other, _)| other != job);
        }
        let Some(entry) = self.jobs.get_mut(job) else {
            return;
        };
        let size = entry.spec.accelerators;
        let aged = (entry.accepted, job.clone());
        let workspace = entry.spec.workspace.clone();
        match std::mem::replace(&mut entry.stage, Stage::Waiting) {
            Stage::Waiting => return,
            Stage::Pledged(parts) => {
                for part in parts {
                    let pledged = i64::from(part.tasks * size);
                    self.inventory.pledge(part.worker, -pledged);
                }
                self.pledged.remove(&aged);
            }
            Stage::Holding(hold) => {
                for part in hold.parts {
                    let held = self.inventory.worker(part.worker).held_by(job);
                    if hold.stopping {
                        self.inventory.stopping(part.worker, -i64::from(held));
                    }
                    self.inventory.release(part.worker, job);
                }
            }
        }
        if let Some(holding) = self.holding.get_mut(&workspace) {
            holding.remove(&aged);
        }
        self.workspaces_to_cover.insert(workspace);
    }

    /// Ends the coverage of `job` by a guarantee.
    pub(super) fn uncover(&mut self, job: &JobId) {
        let Some(entry) = self.jobs.get_mut(job) else {
            return;
        };
        let Some(id) = entry.cover.take() else { return };
        let size = entry.spec.accelerators;
        let parts = match &entry.stage {
            Stage::Waiting => return,
            Stage::Pledged(parts) => parts,
            Stage::Holding(hold) => &hold.parts,
        };
        self.guarantees.uncover(id, job, parts, size);
        let parts = parts.clone();
        if self.guarantees.entries[id].temporary
            && let Some(moved) = self.guarantees.drop_temporary(&mut self.inventory, id)
        {
            for other in moved.jobs {
                if let Some(entry) = self.jobs.get_mut(&other) {
                    entry.cover = Some(moved.to);
                }
            }
        }
        let Some(entry) = self.jobs.get(job) else {
            return;
        };
        self.changed.extend(parts.iter().map(|p| p.worker));
        self.workspaces_to_cover
            .insert(entry.spec.workspace.clone());
    }

    /// Revokes all pledges that include a worker and puts their jobs back into the queue.
    pub(super) fn drop_pledges_on(&mut self, worker: WorkerId) {
        let jobs: Vec<AgeKey> = self.pledged.iter().cloned().collect();
        for (_, job) in jobs {
            let parts = match self.jobs.get(&job).map(|e| &e.stage) {
                Some(Stage::Pledged(parts)) => parts,
                _ => continue,
            };
            if parts.iter().any(|p| p.worker == worker) {
                self.requeue(&job);
            }
        }
    }

    /// Releases what a job holds or has been pledged, and puts the job back into the queue.
    pub(super) fn requeue(&mut self, job: &JobId) {
        self.release_job(job);
        if let Some(entry) = self.jobs.get(job) {
            self.queue.insert(&entry.spec, entry.accepted, job);
        }
    }
}
