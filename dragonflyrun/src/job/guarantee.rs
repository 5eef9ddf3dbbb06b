//! The allotment of accelerators to guarantees.
//!
//! Each guarantee is allotted accelerators on workers in service that make up its shape; no
//! accelerator is allotted twice. A job of the workspace that lies within an allotment is covered
//! by the guarantee. Every other job borrows: it runs on accelerators that may be allotted to a
//! guarantee of any workspace, and may be evicted when a job that the guarantee covers needs them.
//! So as long as a guarantee has an
//! allotment, its shape is free, in use by its workspace, or available by evicting borrowers alone.
//!
//! An allotment without a job holds no accelerators. It is moved whenever that lets a job start
//! without an eviction, or lets a covered job stay where it runs.

use crate::{
    job::{
        JobId, Shape,
        inventory::Inventory,
        placement::{Candidate, Part, pick},
        slots::WorkerId,
    },
    utils::{HashMap, Name},
    version::Version,
};

/// Index of a guarantee in the tables of one scheduler.
pub(super) type GuaranteeId = usize;

/// All guarantees with their allotments.
#[derive(Clone, Debug, Default)]
pub(super) struct Guarantees {
    pub(super) entries: Vec<Guarantee>,
    by_workspace: HashMap<Name, Vec<GuaranteeId>>,
    on_worker: HashMap<WorkerId, Vec<GuaranteeId>>,
}

/// One guarantee.
#[derive(Clone, Debug)]
pub(super) struct Guarantee {
    pub(super) workspace: Name,
    pub(super) shape: Shape,
    /// The allotment; empty or incomplete if the hardware in service can't meet the guarantee.
    pub(super) shares: Vec<Share>,
    /// The jobs whose accelerators count as used in `shares`.
    pub(super) jobs: Vec<JobId>,
    /// Whether the guarantee was created to protect one running job and belongs to no workspace's
    /// configuration.
    pub(super) temporary: bool,
    /// Whether the configuration contains the guarantee; `true` for temporary ones.
    configured: bool,
}

/// The part of an allotment on one worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct Share {
    pub(super) worker: WorkerId,
    /// Number of tasks of the guaranteed shape.
    pub(super) tasks: u32,
    /// Accelerators that covered jobs hold.
    pub(super) used: u32,
}

/// A guarantee whose index has changed, with the jobs that it covers.
#[derive(Clone, Debug)]
pub(super) struct Renumbered {
    pub(super) to: GuaranteeId,
    pub(super) jobs: Vec<JobId>,
}

/// A job to be covered by a guarantee.
#[derive(Clone, Copy, Debug)]
pub(super) struct CoverRequest<'a> {
    pub(super) workspace: &'a Name,
    pub(super) job: &'a JobId,
    /// Where it runs or is to run.
    pub(super) parts: &'a [Part],
    /// Accelerators of each task.
    pub(super) size: u32,
    /// A guarantee that must not cover the job, because another job needs it whole.
    pub(super) except: Option<GuaranteeId>,
}

impl Guarantee {
    fn new(workspace: &Name, shape: Shape, temporary: bool) -> Self {
        Self {
            workspace: workspace.clone(),
            shape,
            shares: Vec::new(),
            jobs: Vec::new(),
            temporary,
            configured: true,
        }
    }

    /// Returns the accelerators of the whole shape.
    pub(super) fn accelerators(&self) -> u32 {
        self.shape.tasks.saturating_mul(self.shape.accelerators)
    }

    /// Returns whether the allotment may be moved, because no job is in it.
    pub(super) fn movable(&self) -> bool {
        self.jobs.is_empty()
    }

    fn unused(&self) -> u32 {
        let used: u32 = self.shares.iter().map(|s| s.used).sum();
        self.accelerators().saturating_sub(used)
    }

    /// Returns the unused accelerators of each share on a usable worker.
    fn candidates(&self, inventory: &Inventory) -> Vec<Candidate> {
        let candidate = |share: &Share| Candidate {
            available: share.tasks * self.shape.accelerators - share.used,
            ..inventory.allottable.candidate(share.worker)
        };
        let usable = |share: &&Share| inventory.worker(share.worker).usable();
        self.shares.iter().filter(usable).map(candidate).collect()
    }
}

impl Guarantees {
    /// Applies the guarantees of `version`; returns the jobs that are no longer covered.
    pub(super) fn configure(&mut self, version: &Version, inventory: &mut Inventory) -> Vec<JobId> {
        for entry in &mut self.entries {
            entry.configured = entry.temporary;
        }
        let mut workspaces: Vec<_> = version.workspaces().collect();
        workspaces.sort_by(|a, b| a.name.cmp(&b.name));
        for workspace in workspaces {
            for guarantee in &workspace.guarantees {
                let shape = Shape {
                    tasks: guarantee.tasks,
                    accelerators: guarantee.accelerators,
                    adjacency: guarantee.adjacency,
                };
                self.add_configured(&workspace.name, shape);
            }
        }
        self.drop_unconfigured(inventory)
    }

    /// Returns the guarantees of `workspace`.
    pub(super) fn of(&self, workspace: &Name) -> &[GuaranteeId] {
        self.by_workspace.get(workspace).map_or(&[], Vec::as_slice)
    }

    /// Returns the guarantees with a share on `worker`.
    pub(super) fn on(&self, worker: WorkerId) -> &[GuaranteeId] {
        self.on_worker.get(&worker).map_or(&[], Vec::as_slice)
    }

    /// Returns a guarantee of `workspace` with unused room for `shape`, and the parts of it to use.
    /// Partly used guarantees are tried first, so that others stay whole.
    pub(super) fn room(
        &self,
        inventory: &Inventory,
        workspace: &Name,
        shape: &Shape,
    ) -> Option<(GuaranteeId, Vec<Part>)> {
        let mut ids: Vec<_> = self.of(workspace).to_vec();
        ids.sort_by_key(|id| self.entries[*id].unused());
        ids.into_iter().find_map(|id| {
            let plan = pick(&self.entries[id].candidates(inventory), shape)?;
            Some((id, plan.parts))
        })
    }

    /// Returns room for `shape` in a guarantee of `workspace` that is free now, without an
    /// eviction.
    pub(super) fn vacant_room(
        &self,
        inventory: &Inventory,
        workspace: &Name,
        shape: &Shape,
    ) -> Option<Vec<Part>> {
        let mut ids: Vec<_> = self.of(workspace).to_vec();
        ids.sort_by_key(|id| self.entries[*id].unused());
        ids.into_iter().find_map(|id| {
            let mut candidates = self.entries[id].candidates(inventory);
            for candidate in &mut candidates {
                candidate.available = candidate
                    .available
                    .min(inventory.free.available(candidate.worker));
            }
            pick(&candidates, shape).map(|plan| plan.parts)
        })
    }

    /// Returns whether `workspace` has an unused guarantee of which a job with this number of
    /// accelerators takes at least half.
    pub(super) fn has_unused_for(&self, workspace: &Name, accelerators: u32) -> bool {
        let mut ids = self.of(workspace).iter();
        ids.any(|id| {
            let entry = &self.entries[*id];
            entry.movable() && accelerators >= entry.accelerators().div_ceil(2)
        })
    }

    /// Covers a job by a guarantee of its workspace: one whose allotment already contains the job,
    /// or one whose allotment can be moved to it.
    pub(super) fn cover(
        &mut self,
        inventory: &mut Inventory,
        cover: &CoverRequest<'_>,
    ) -> Option<GuaranteeId> {
        let CoverRequest { parts, size, .. } = *cover;
        let mut ids: Vec<_> = self.of(cover.workspace).to_vec();
        ids.retain(|id| cover.except != Some(*id));
        ids.sort_by_key(|id| self.entries[*id].unused());
        let containing = ids.iter().find(|id| self.contains(**id, parts, size));
        let id = match containing {
            Some(id) => *id,
            None => ids.into_iter().find(|id| {
                let may_move = cover.except.is_some() || self.is_worth_moving(*id, parts, size);
                may_move && self.move_to(inventory, *id, parts, size)
            })?,
        };
        self.cover_by(id, cover);
        Some(id)
    }

    /// Returns whether a job is large enough to have the allotment moved to where it runs. If every
    /// small job drew an allotment to itself, allotments would end up scattered over partly held
    /// workers, and large gangs would find no whole worker.
    fn is_worth_moving(&self, id: GuaranteeId, parts: &[Part], size: u32) -> bool {
        let held: u32 = parts.iter().map(|p| p.tasks * size).sum();
        held >= self.entries[id].accelerators().div_ceil(2)
    }

    /// Protects a job that no guarantee of its workspace covers from eviction, if all guarantees
    /// can still be allotted beside it. The job is covered by a temporary guarantee of its own
    /// shape, which lasts as long as the job runs or until another guarantee needs the room.
    pub(super) fn protect(
        &mut self,
        inventory: &mut Inventory,
        cover: &CoverRequest<'_>,
        shape: Shape,
    ) -> Option<GuaranteeId> {
        let id = self.entries.len();
        self.entries
            .push(Guarantee::new(cover.workspace, shape, true));
        if !self.move_to(inventory, id, cover.parts, cover.size) {
            self.entries.pop();
            return None;
        }
        self.cover_by(id, cover);
        Some(id)
    }

    /// Removes a temporary guarantee. The last guarantee moves to its index, and is returned if it
    /// is a different one.
    pub(super) fn drop_temporary(
        &mut self,
        inventory: &mut Inventory,
        id: GuaranteeId,
    ) -> Option<Renumbered> {
        self.remove_shares(inventory, id, |_| true);
        self.entries.swap_remove(id);
        let from = self.entries.len();
        if from == id {
            return None;
        }
        for ids in self.on_worker.values_mut() {
            for other in ids.iter_mut().filter(|other| **other == from) {
                *other = id;
            }
        }
        Some(Renumbered {
            to: id,
            jobs: self.entries[id].jobs.clone(),
        })
    }

    /// Covers a job by a guarantee whose allotment contains it.
    pub(super) fn cover_by(&mut self, id: GuaranteeId, cover: &CoverRequest<'_>) {
        let entry = &mut self.entries[id];
        entry.jobs.push(cover.job.clone());
        for part in cover.parts {
            if let Some(share) = entry.shares.iter_mut().find(|s| s.worker == part.worker) {
                share.used += part.tasks * cover.size;
            }
        }
    }

    /// Removes the cover of `job` at `parts`.
    pub(super) fn uncover(&mut self, id: GuaranteeId, job: &JobId, parts: &[Part], size: u32) {
        let entry = &mut self.entries[id];
        entry.jobs.retain(|j| j != job);
        for part in parts {
            if let Some(share) = entry.shares.iter_mut().find(|s| s.worker == part.worker) {
                share.used = share.used.saturating_sub(part.tasks * size);
            }
        }
    }

    /// Allots `parts` to a guarantee.
    pub(super) fn allot(&mut self, inventory: &mut Inventory, id: GuaranteeId, parts: &[Part]) {
        let size = self.entries[id].shape.accelerators;
        for part in parts {
            inventory.allot(part.worker, i64::from(part.tasks * size));
            let shares = &mut self.entries[id].shares;
            match shares.iter_mut().find(|s| s.worker == part.worker) {
                Some(share) => share.tasks += part.tasks,
                None => {
                    shares.push(Share {
                        worker: part.worker,
                        tasks: part.tasks,
                        used: 0,
                    });
                    self.on_worker.entry(part.worker).or_default().push(id);
                }
            }
        }
    }

    /// Removes the shares of a guarantee that `selects` returns `true` for; returns them.
    pub(super) fn remove_shares(
        &mut self,
        inventory: &mut Inventory,
        id: GuaranteeId,
        selects: impl Fn(&Share) -> bool,
    ) -> Vec<Part> {
        let entry = &mut self.entries[id];
        let size = entry.shape.accelerators;
        let mut removed = Vec::new();
        entry.shares.retain(|share| {
            let remove = selects(share);
            if remove {
                removed.push(Part {
                    worker: share.worker,
                    tasks: share.tasks,
                });
            }
            !remove
        });
        for part in &removed {
            inventory.allot(part.worker, -i64::from(part.tasks * size));
            if let Some(ids) = self.on_worker.get_mut(&part.worker) {
                ids.retain(|other| *other != id);
            }
        }
        removed
    }

    fn add_configured(&mut self, workspace: &Name, shape: Shape) {
        let known = self.entries.iter_mut().find(|e| {
            !e.configured && !e.temporary && e.workspace == *workspace && e.shape == shape
        });
        match known {
            Some(entry) => entry.configured = true,
            None => self.entries.push(Guarantee::new(workspace, shape, false)),
        }
    }

    /// Removes the guarantees that aren't configured any more and renumbers the rest; returns the
    /// jobs that are no longer covered.
    fn drop_unconfigured(&mut self, inventory: &mut Inventory) -> Vec<JobId> {
        let mut uncovered = Vec::new();
        for id in 0..self.entries.len() {
            if !self.entries[id].configured {
                self.remove_shares(inventory, id, |_| true);
                uncovered.append(&mut self.entries[id].jobs);
            }
        }
        self.entries.retain(|e| e.configured);
        // Temporary guarantees are at the end, so that they are added and removed without
        // renumbering the configured ones.
        self.entries.sort_by_key(|e| e.temporary);
        self.by_workspace.clear();
        self.on_worker.clear();
        for (entry, id) in self.entries.iter().zip(0..) {
            if !entry.temporary {
                let ids = self.by_workspace.entry(entry.workspace.clone());
                ids.or_default().push(id);
            }
            for share in &entry.shares {
                self.on_worker.entry(share.worker).or_default().push(id);
            }
        }
        uncovered
    }

    fn contains(&self, id: GuaranteeId, parts: &[Part], size: u32) -> bool {
        let entry = &self.entries[id];
        parts.iter().all(|part| {
            let share = entry.shares.iter().find(|s| s.worker == part.worker);
            share.is_some_and(|s| {
                s.tasks * entry.shape.accelerators >= s.used + part.tasks * size //
            })
        })
    }
}
