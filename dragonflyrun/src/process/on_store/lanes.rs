//! Which partition carries the orders for which worker.

use crate::{
    port::{Partition, Topic},
    utils::spread,
};

/// Topics that carry orders. With 12 partitions each, the agents of 300 workers share a partition
/// with two others; a partition of its own for each would need more topics than the store allows.
const ORDER_TOPICS: u32 = 8;

/// Partitions that carry reports, at the most. A partition takes one append at a time; on a store
/// that takes 0.2 s for each, the reports of 62 workers in one partition came so late that the
/// planner took all of them for silent and closed their sessions.
const REPORT_PARTITIONS: u32 = 8;

/// The partitions for orders and reports.
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

    /// Returns the partition of a worker's reports.
    pub fn reports_of(&self, worker: &str) -> Partition {
        let number = u64::from(self.report_partitions());
        Partition::workers(u32::try_from(spread(worker) % number).unwrap_or(0))
    }

    /// Returns the number of partitions that carry reports.
    pub fn report_partitions(&self) -> u32 {
        self.partitions.min(REPORT_PARTITIONS)
    }

    /// Returns the partition of a lane.
    pub fn partition(&self, lane: u32) -> Partition {
        Partition {
            topic: Topic::Orders(lane / self.partitions),
            number: lane % self.partitions,
        }
    }
}
