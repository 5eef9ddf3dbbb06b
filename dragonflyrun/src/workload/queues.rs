//! The queues that operators have in force, by name.

use crate::{
    port::{Configuration, Queue},
    utils::HashMap,
};

/// The queues of a configuration by name.
///
/// Operators may have thousands of queues, and a pass looks one up for each demand: a search through
/// all of them would cost more than the rest of the pass.
pub(super) struct Queues<'c> {
    by_name: HashMap<&'c str, &'c Queue>,
}

impl<'c> Queues<'c> {
    /// Returns the queues of `configuration`; of several with one name the first.
    pub(super) fn of(configuration: &'c Configuration) -> Self {
        let mut by_name = HashMap::default();
        by_name.reserve(configuration.queues.len());
        for queue in &configuration.queues {
            by_name.entry(&*queue.name).or_insert(queue);
        }
        Self { by_name }
    }

    /// Returns the queue of this name.
    pub(super) fn get(&self, name: &str) -> Option<&'c Queue> {
        self.by_name.get(name).copied()
    }
}
