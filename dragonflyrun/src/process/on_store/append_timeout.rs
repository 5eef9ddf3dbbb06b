//! How long an append may wait for its answer.
//!
//! On a slow store, appends to one partition queue up. An append that is given up while it is
//! queued is sent again and then queued twice; if all writers do that, the queue never drains.

use std::time::Duration;

/// How long an append may take, as a multiple of the store's usual delay. If its queue is longer
/// than that, the store itself refuses appends.
const MAX_STORE_DELAYS: u32 = 8;

/// Returns the time limit for an append on a store with the usual delay `delay`: at least `min`,
/// which applies to a fast store.
pub fn append_timeout(min: Duration, delay: Duration) -> Duration {
    min.max(delay * MAX_STORE_DELAYS)
}
