//! Lookup of the queues in force by name.

use crate::{
    port::{Configuration, Queue},
    utils::HashMap,
};

/// The queues of a configuration by name.
///
/// Operators may have thousands of queues, and a pass looks one up for each demand. Searching
/// through all of them would cost more than the rest of the pass.
pub(super) struct Queues<'c> {
    by_name: HashMap<&'c str, &'c Queue>,
}

impl<'c> Queues<'c> {
    /// Returns the queues of `configuration`. If several have the same name, the first one wins.
    pub(super) fn of(configuration: &'c Configuration) -> Self {
        let mut by_name = HashMap::default();
        by_name.reserve(configuration.queues.len());
        for queue in &configuration.queues {
            by_name.entry(&*queue.name).or_insert(queue);
        }
        Self { by_name }
    }

    /// Returns the queue with the given name.
    pub(super) fn get(&self, name: &str) -> Option<&'c Queue> {
        self.by_name.get(name).copied()
    }

    /// Returns all queues, in no particular order.
    pub(super) fn all(&self) -> impl Iterator<Item = &'c Queue> {
        self.by_name.values().copied()
    }
}
