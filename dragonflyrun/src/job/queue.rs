//! The waiting jobs, grouped in classes whose jobs are equivalent for scheduling.
//!
//! If the first job of a class can't start, neither can the others. So a pass over the queue
//! considers as many jobs as there are classes and starts, not all waiting jobs.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    job::{JobId, JobSpec, Shape},
    utils::Name,
    version::{Adjacency, Urgency},
};

/// The properties that the jobs of one class share; they differ in age only.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Class {
    pub(super) urgency: Urgency,
    pub(super) workspace: Name,
    tasks: u32,
    accelerators: u32,
    adjacency: Adjacency,
}

impl Class {
    pub(super) fn of(spec: &JobSpec) -> Self {
        Self {
            urgency: spec.urgency,
            workspace: spec.workspace.clone(),
            tasks: spec.tasks,
            accelerators: spec.accelerators,
            adjacency: spec.adjacency,
        }
    }

    pub(super) fn shape(&self) -> Shape {
        Shape {
            tasks: self.tasks,
            accelerators: self.accelerators,
            adjacency: self.adjacency,
        }
    }
}

/// Sort key of a job by age: the log offset at which it was accepted, and its id.
pub(super) type AgeKey = (u64, JobId);

/// The waiting jobs by class and age.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    classes: BTreeMap<Class, BTreeSet<AgeKey>>,
}

impl Queue {
    pub(super) fn insert(&mut self, spec: &JobSpec, accepted: u64, job: &JobId) {
        let class = self.classes.entry(Class::of(spec)).or_default();
        class.insert((accepted, job.clone()));
    }

    pub(super) fn remove(&mut self, spec: &JobSpec, accepted: u64, job: &JobId) {
        let class = Class::of(spec);
        if let Some(jobs) = self.classes.get_mut(&class) {
            jobs.remove(&(accepted, job.clone()));
            if jobs.is_empty() {
                self.classes.remove(&class);
            }
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.classes.is_empty()
    }

    pub(super) fn classes(&self) -> impl Iterator<Item = &Class> {
        self.classes.keys()
    }

    /// Returns the oldest job of `class`.
    pub(super) fn first(&self, class: &Class) -> Option<AgeKey> {
        self.classes.get(class)?.first().cloned()
    }

    /// Returns all jobs of `class`, the oldest first.
    pub(super) fn jobs(&self, class: &Class) -> impl Iterator<Item = &AgeKey> {
        self.classes.get(class).into_iter().flatten()
    }
}
