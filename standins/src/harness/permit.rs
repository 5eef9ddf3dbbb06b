//! Limits how many deployments run concurrently.

use std::sync::{Condvar, Mutex, PoisonError};

/// Maximum number of deployments that the tests of one program run concurrently. More would only
/// slow each other down.
const MAX_DEPLOYMENTS: usize = 2;

static RUNNING: Mutex<usize> = Mutex::new(0);
static DEPLOYMENT_ENDED: Condvar = Condvar::new();

/// A permit to run one deployment, released on drop.
pub(super) struct Permit;

impl Permit {
    /// Blocks until fewer than [`MAX_DEPLOYMENTS`] run.
    pub(super) fn acquire() -> Self {
        let running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
        let running = DEPLOYMENT_ENDED.wait_while(running, |running| *running >= MAX_DEPLOYMENTS);
        *running.unwrap_or_else(PoisonError::into_inner) += 1;
        Self
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        *RUNNING.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        DEPLOYMENT_ENDED.notify_one();
    }
}
