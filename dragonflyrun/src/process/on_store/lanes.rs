//! Maps workers to the partitions that carry their orders and reports.

use crate::{
    port::{Partition, Topic},
    utils::stable_hash,
    workload::report_partition, //
};

/// Number of topics that carry orders. Each order wakes all agents whose workers share its
/// partition, so there are about as many partitions as the store's limit on topics allows.
const ORDER_TOPICS: u32 = 64;

/// Maps each worker to its lane and to the partition of its reports.
///
/// A lane is one of the partitions that carry orders. All orders for a worker go through the same
/// lane, which several workers share.
#[derive(Clone, Copy, Debug)]
pub struct Lanes {
    partitions: u32,
}

impl Lanes {
    /// Returns the mapping for topics that have `partitions` partitions each.
    pub fn new(partitions: u32) -> Self {
        Self {
            partitions: partitions.max(1),
        }
    }

    /// Returns the lane of a worker.
    pub fn lane_of(&self, worker: &str) -> u32 {
        let lanes = u64::from(ORDER_TOPICS * self.partitions);
        u32::try_from(stable_hash(worker) % lanes).unwrap_or(0)
    }

    /// Returns the partition of a worker's reports.
    pub fn reports_of(&self, worker: &str) -> Partition {
        Partition::workers(report_partition(worker, self.report_partitions()))
    }

    /// Returns the number of partitions that carry reports: all partitions of the topic.
    ///
    /// A partition takes one append at a time. If the store takes 0.1 to 0.2 s for each, the
    /// reports of about 30 workers in one partition arrive so late that the planner treats their
    /// agents as silent.
    pub fn report_partitions(&self) -> u32 {
        self.partitions
    }

    /// Returns the partition of a lane.
    pub fn partition(&self, lane: u32) -> Partition {
        Partition {
            topic: Topic::Orders(lane / self.partitions),
            number: lane % self.partitions,
        }
    }
}
