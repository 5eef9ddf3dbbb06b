//! Small helpers and the types that every module uses.

mod collections;
mod exact_number;
mod lock;
mod name;
mod timestamp;

pub use collections::{HashMap, HashSet, stable_hash};
pub use exact_number::{MAX_EXACT_NUMBER, exact_number};
pub use lock::lock;
pub use name::Name;
pub use timestamp::Timestamp;
