//! How long an append waits for its answer.
//!
//! Load pattern answered here: a slow store, where appends to one partition queue. One that is given up
//! while it stands in the queue is sent again and stands there twice; where all writers do that, the
//! queue never ends.

use std::time::Duration;

/// How many times the store's usual delay an append may take: the store refuses appends itself where
/// the queue is longer.
const MAX_STORE_DELAYS: u32 = 8;

/// Returns the time for an append on a store that usually takes `delay` for an answer: `least` where it
/// is prompt.
pub fn append_timeout(min: Duration, delay: Duration) -> Duration {
    min.max(delay * MAX_STORE_DELAYS)
}
