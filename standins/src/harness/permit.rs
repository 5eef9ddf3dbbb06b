//! Bounds how many deployments run at once.

use std::sync::{Condvar, Mutex, PoisonError};

/// Deployments of one test program that run at once, at the most. More would only slow each other
/// down.
const MAX_DEPLOYMENTS: usize = 2;

static RUNNING: Mutex<usize> = Mutex::new(0);
static DEPLOYMENT_ENDED: Condvar = Condvar::new();

/// The right to run a deployment.
pub(super) struct Permit;

impl Permit {
    /// Waits for the right to run one.
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
