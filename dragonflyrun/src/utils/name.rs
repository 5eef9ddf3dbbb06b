//! Shared immutable names.

use std::sync::Arc;

/// A name of a worker, a workspace, a peer or anything else that is copied far more often than
/// it is made.
pub type Name = Arc<str>;
