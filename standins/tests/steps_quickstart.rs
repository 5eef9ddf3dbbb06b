//! The quick start with jobs of steps.

use std::path::Path;

/// Runs the example as a new user does. Each task of each job must run exactly once.
#[test]
fn each_task_once() {
    let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples/steps");
    assert!(standins::quickstart::run(&example).expect("a run"));
}
