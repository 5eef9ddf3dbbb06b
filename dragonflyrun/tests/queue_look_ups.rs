//! Which queue of the configuration a waiting job is taken to be of.

mod workload_tables;

use dragonflyrun::port::Queue;
use workload_tables::{Bed, task};

/// Returns a planner with one worker, of the service `svc`, and a job of the queue `q`, where the
/// configuration has these queues, each a name and a service.
fn bed(queues: &[(&str, &str)]) -> Bed {
    let mut bed = Bed::new(1);
    let known = bed.configuration.queues[0].clone();
    let queues = queues.iter().map(|(name, service)| Queue {
        name: (*name).into(),
        service: (*service).into(),
        ..known.clone()
    });
    bed.configuration.queues = queues.collect();
    bed.submit("job", 1, vec![task(1)]);
    bed
}

#[test]
fn a_job_goes_where_its_queue_leads_now() {
    let mut bed = bed(&[("p", "svc"), ("q", "other"), ("r", "svc")]);
    bed.pass();
    assert!(bed.running("job").is_empty(), "its queue leads elsewhere");
    bed.configuration.queues[1].service = "svc".into();
    bed.pass();
    assert_eq!(bed.running("job").len(), 1);
}

#[test]
fn the_first_of_two_queues_of_one_name_holds() {
    let mut first = bed(&[("q", "svc"), ("q", "other")]);
    first.pass();
    assert_eq!(first.running("job").len(), 1);
    let mut second = bed(&[("q", "other"), ("q", "svc")]);
    second.pass();
    assert!(second.running("job").is_empty());
}

#[test]
fn a_job_whose_queue_is_gone_goes_to_the_service_that_it_was_accepted_for() {
    let mut bed = bed(&[("p", "other")]);
    bed.pass();
    assert_eq!(bed.running("job").len(), 1);
}
