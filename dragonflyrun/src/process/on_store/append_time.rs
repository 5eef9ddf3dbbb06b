//! How long a try of an append waits for its answer.
//!
//! Load pattern answered here: open connections to the store fall silent while new ones work, and the
//! store is slow at other times. The first try is given up soon, since the next one takes another
//! connection; each further one waits twice as long, so that a slow store is not asked over and over.
//! Only appends that do no harm where they are repeated may be tried so.

use std::time::Duration;

/// Time for the first try at the least.
const LEAST: Duration = Duration::from_millis(250);

/// How many times the store's usual delay the first try may take.
const DELAYS: u32 = 4;

/// Returns the time for a try after `failed` others, on a store that usually takes `delay` for an
/// answer; `most` at the most.
pub fn time_for_try(failed: u32, delay: Duration, most: Duration) -> Duration {
    let first = LEAST.max(delay * DELAYS);
    first.saturating_mul(2_u32.saturating_pow(failed)).min(most)
}
