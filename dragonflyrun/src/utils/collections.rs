//! Hash maps with a fast hasher.
//!
//! All keys are names and numbers that have passed admission, so a hasher that resists chosen keys
//! is not needed; see `docs/DESIGN.md`.

/// The hash map type of the whole project.
pub type HashMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// The hash set type of the whole project.
pub type HashSet<K> = rustc_hash::FxHashSet<K>;

/// Returns a hash of `name` that is the same in every process of one release.
pub fn stable_hash(name: &str) -> u64 {
    use std::hash::Hasher;
    let mut hasher = rustc_hash::FxHasher::default();
    hasher.write(name.as_bytes());
    hasher.finish()
}
