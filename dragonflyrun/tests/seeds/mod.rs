//! Runs a property on the same inputs each time, so that its result is reproducible.

use arbtest::{
    arbitrary::{Result, Unstructured},
    arbtest, //
};

/// Runs `property` on `cases` inputs of `size` bytes each.
pub(crate) fn each_seed(
    cases: u64,
    size: u32,
    mut property: impl FnMut(&mut Unstructured<'_>) -> Result<()>,
) {
    for case in 1..=cases {
        arbtest(&mut property)
            .seed(case << 32 | u64::from(size))
            .run();
    }
}
