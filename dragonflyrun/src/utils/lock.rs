//! Locks that ignore poisoning.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks `mutex`, also after a thread has panicked while it held the lock. The table behind it is
/// still consistent then, since each change is made by a single call that does not panic half-way.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
