//! Predicates for serialized records that omit fields with default values.

#![expect(clippy::trivially_copy_pass_by_ref, reason = "serde gives a reference")]

pub(super) const fn is_false(flag: &bool) -> bool {
    !*flag
}

pub(super) const fn is_zero(number: &u32) -> bool {
    *number == 0
}

pub(super) const fn is_zero_u64(number: &u64) -> bool {
    *number == 0
}
