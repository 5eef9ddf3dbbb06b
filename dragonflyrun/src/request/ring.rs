//! Assigns each key to an agent by rendezvous hashing.

use sha2::{Digest, Sha256};

use crate::utils::Name;

/// The owners of keys as of one record of the log.
///
/// Each key belongs to the member with the greatest combined hash of member and key, so that only
/// the keys of a member that joins or leaves change their owner.
#[derive(Clone, Debug, Default)]
pub struct Ring {
    members: Vec<Member>,
}

#[derive(Clone, Debug)]
struct Member {
    name: Name,
    hash: u64,
}

impl Ring {
    /// Returns the ring of `members`.
    pub fn new(members: &[Name]) -> Self {
        let members = members
            .iter()
            .map(|name| Member {
                name: name.clone(),
                hash: stable_hash(&[name]),
            })
            .collect();
        Self { members }
    }

    /// Returns the owner of a key, or none if the ring has no members.
    pub fn owner(&self, service: &str, key: &str) -> Option<&Name> {
        let key = stable_hash(&[service, key]);
        let best = self.members.iter().max_by(|a, b| {
            let (x, y) = (mix(a.hash ^ key), mix(b.hash ^ key));
            x.cmp(&y).then_with(|| a.name.cmp(&b.name))
        });
        best.map(|m| &m.name)
    }
}

/// Returns a hash that is the same in every process and version of the system, which the fast
/// hasher of the maps does not guarantee.
fn stable_hash(parts: &[&str]) -> u64 {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    let digest = hasher.finalize();
    let mut first = [0; 8];
    first.copy_from_slice(&digest[..8]);
    u64::from_le_bytes(first)
}

/// The finalizer of SplitMix64: spreads each bit of `x` over the whole word.
const fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
