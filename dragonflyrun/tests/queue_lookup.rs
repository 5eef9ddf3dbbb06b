//! Which queue of the configuration a waiting job belongs to.

mod workload_tables;

use dragonflyrun::port::Queue;
use workload_tables::{Harness, task};

/// Returns a planner with one worker of the service `svc` and a job of the queue `q`. The
/// configuration has the given queues, each a name and a service.
fn harness(queues: &[(&str, &str)]) -> Harness {
    let mut harness = Harness::new(1);
    let known = harness.configuration.queues[0].clone();
    let queues = queues.iter().map(|(name, service)| Queue {
        name: (*name).into(),
        service: (*service).into(),
        ..known.clone()
    });
    harness.configuration.queues = queues.collect();
    harness.submit("job", 1, vec![task(1)]);
    harness
}

#[test]
fn job_follows_queue() {
    let mut harness = harness(&[("p", "svc"), ("q", "other"), ("r", "svc")]);
    harness.pass();
    assert!(
        harness.running("job").is_empty(),
        "its queue has another service"
    );
    harness.configuration.queues[1].service = "svc".into();
    harness.pass();
    assert_eq!(harness.running("job").len(), 1);
}

#[test]
fn first_duplicate_queue() {
    let mut first = harness(&[("q", "svc"), ("q", "other")]);
    first.pass();
    assert_eq!(first.running("job").len(), 1);
    let mut second = harness(&[("q", "other"), ("q", "svc")]);
    second.pass();
    assert!(second.running("job").is_empty());
}

#[test]
fn removed_queue() {
    let mut harness = harness(&[("p", "other")]);
    harness.pass();
    assert_eq!(harness.running("job").len(), 1);
}
