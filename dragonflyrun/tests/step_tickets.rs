//! Steps of queues whose policy asks the advisor run only where it has given a ticket.

mod workload_tables;

use std::time::Duration;

use dragonflyrun::{
    Timestamp,
    port::{Advice, AdviceAnswer, StartOutcome},
    workload::Step,
};
use workload_tables::{Bed, task};

fn bed() -> Bed {
    let mut bed = Bed::new(3);
    bed.configuration.queues[0].advice = Some(Advice {
        base: Duration::from_millis(100),
        each: Duration::from_millis(10),
    });
    bed
}

fn answer(worker: &str) -> Option<AdviceAnswer> {
    Some(AdviceAnswer {
        tickets: vec![(worker.into(), "t-1".to_owned())],
        valid: Duration::from_secs(3),
    })
}

#[test]
fn asked_then_started() {
    let mut bed = bed();
    bed.submit("job", 1, vec![task(1)]);
    let decisions = bed.pass();
    assert!(bed.running("job").is_empty());
    assert_eq!(decisions.questions.len(), 1);
    assert!(bed.pass().questions.is_empty(), "one question at a time");
    let now = Timestamp::from_millis(bed.now_ms);
    bed.planner
        .apply_advice(now, &decisions.questions[0], answer("w2"));
    let decisions = bed.pass();
    let start = &decisions.orders[0].order.starts[0];
    assert_eq!(start.ticket.as_deref(), Some("t-1"));
    assert_eq!(&*bed.running("job")[0].0, "w2");
}

/// The advisor does not answer, and later its ticket runs out or a worker that has started again
/// does not take it. The step is asked about again, and nothing starts without a ticket, since the
/// worker would only refuse it.
#[test]
fn tickets_run_out() {
    let mut bed = bed();
    bed.submit(
        "job",
        1,
        vec![Step {
            tasks: 2,
            ..task(8)
        }],
    );
    let question = bed.pass().questions.remove(0);
    bed.planner
        .apply_advice(Timestamp::from_millis(bed.now_ms), &question, None);
    assert!(bed.pass().questions.is_empty(), "not at once again");
    bed.wait(1_000);
    let question = bed.pass().questions.remove(0);
    bed.planner
        .apply_advice(Timestamp::from_millis(bed.now_ms), &question, answer("w1"));
    bed.pass();
    let (_, run) = bed.running("job")[0].clone();
    bed.refuse(&run, StartOutcome::NoTicket);
    let decisions = bed.pass();
    assert!(bed.running("job").is_empty());
    assert_eq!(
        decisions
            .orders
            .iter()
            .map(|o| o.order.starts.len())
            .sum::<usize>(),
        0
    );
    bed.wait(1_000);
    assert_eq!(bed.pass().questions.len(), 1);
}
