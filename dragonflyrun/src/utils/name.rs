//! Shared immutable names.

use std::sync::Arc;

/// A name of a worker, a workspace, a peer or anything else that is cloned far more often than it
/// is created.
pub type Name = Arc<str>;
