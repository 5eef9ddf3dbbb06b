//! Small helpers and the types that every module uses.

mod collections;
mod lock;
mod name;
mod timestamp;

pub use collections::{HashMap, HashSet, stable_hash};
pub use lock::lock;
pub use name::Name;
pub use timestamp::Timestamp;
