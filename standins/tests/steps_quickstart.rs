//! The quick start of jobs of steps.

use std::path::Path;

/// Somebody tries the product for the first time. Each task of each job has to run, once.
#[test]
fn each_task_once() {
    let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples/steps");
    assert!(standins::quickstart::run(&example).expect("a run"));
}
