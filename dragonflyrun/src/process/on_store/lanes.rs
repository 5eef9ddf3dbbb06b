//! Which partition carries the orders for which worker.

use crate::{
    port::{Partition, Topic},
    utils::spread,
};

/// Topics that carry orders. With 12 partitions each, the agents of 300 workers share a partition
/// with two others; a partition of its own for each would need more topics than the store allows.
const ORDER_TOPICS: u32 = 8;

/// The partitions for orders.
#[derive(Clone, Copy, Debug)]
pub struct Lanes {
    partitions: u32,
}

impl Lanes {
    /// Returns the lanes where each topic has `partitions` partitions.
    pub fn new(partitions: u32) -> Self {
        Self {
            partitions: partitions.max(1),
        }
    }

    /// Returns the lane of a worker.
    pub fn lane_of(&self, worker: &str) -> u32 {
        let lanes = u64::from(ORDER_TOPICS * self.partitions);
        u32::try_from(spread(worker) % lanes).unwrap_or(0)
    }

    /// Returns the partition of a lane.
    pub fn partition(&self, lane: u32) -> Partition {
        Partition {
            topic: Topic::Orders(lane / self.partitions),
            number: lane % self.partitions,
        }
    }
}
