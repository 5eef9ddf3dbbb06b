//! Limit of the counters in messages and records.

use serde::{
    Deserialize,
    Deserializer,
    de::{Error, Unexpected}, //
};

/// Highest value of a counter. Every codec represents the numbers up to it exactly, and no counter of ours
/// comes near it.
pub const MAX_EXACT_NUMBER: u64 = 1 << 53;

/// Deserializes a counter.
///
/// A record of another writer whose counter is the highest possible one would be newer than all later ones,
/// and the next number would overflow.
///
/// # Errors
///
/// Returns an error for values above [`MAX_EXACT_NUMBER`], so that the whole message is refused.
pub fn exact_number<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    let number = u64::deserialize(deserializer)?;
    if number > MAX_EXACT_NUMBER {
        let unexpected = Unexpected::Unsigned(number);
        return Err(D::Error::invalid_value(unexpected, &"at most 2^53"));
    }
    Ok(number)
}
