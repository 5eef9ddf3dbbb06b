//! Admission of requests by an entry, their order, and the choice of the agent.

mod tables;

use arbtest::arbtest;
use dragonflyrun::{
    connection::{NotRun, Outcome},
    request::{WaitQueue, Waiting},
    version::Urgency,
};
use tables::{answers, at, check, done, entry, not_run, refusals, runs, view};

const URGENCIES: [Urgency; 3] = [Urgency::Urgent, Urgency::Normal, Urgency::Patient];

#[test]
fn refused_at_once() {
    let mut table = entry(&["a"], 2);
    let mut bad = [check(), check(), check(), check()];
    bad[0].service = "nothing".into();
    bad[1].attempt = 0;
    bad[2].body = vec![0; 101];
    bad[3].deadline_ms = Some(0);
    for req in bad {
        table.submit(at(1_000), req);
    }
    let mut keyless = check();
    keyless.service = "bookings".into();
    table.submit(at(1_000), keyless);
    let actions = table.take_actions();
    let expected = [
        NotRun::UnknownService,
        NotRun::Malformed,
        NotRun::TooLarge,
        NotRun::Deadline,
        NotRun::Malformed,
    ];
    assert_eq!(refusals(&actions), expected);
    assert!(runs(&actions).is_empty());
}

/// Guards against a late refusal of a displaced request. The queue is full and an urgent request
/// takes the place of a patient one, whose caller is told at once when to retry.
#[test]
fn displaced_at_once() {
    let mut table = entry(&["a"], 1);
    let patient = || {
        let mut req = check();
        req.urgency = Some(Urgency::Patient);
        req
    };
    let numbers: Vec<u64> = (0..5).map(|_| table.submit(at(1_000), patient())).collect();
    assert_eq!(runs(&table.take_actions()).len(), 1);
    table.submit(at(1_001), patient());
    assert_eq!(refusals(&table.take_actions()), [NotRun::QueueFull]);
    table.submit(at(1_002), check());
    let answers = answers(&table.take_actions());
    let [
        (
            number,
            Outcome::NotRun {
                reason,
                retry_after_ms,
            },
        ),
    ] = &answers[..]
    else {
        panic!("{answers:?}");
    };
    assert!(numbers[1..].contains(number));
    assert_eq!(*reason, NotRun::QueueFull);
    assert!(*retry_after_ms > 0);
}

/// Guards against patient requests that wait until their deadlines under a steady stream of urgent
/// ones.
#[test]
fn patient_ones_go() {
    for n in 0..300 {
        arbtest(|u| {
            let mut queue = WaitQueue::default();
            let mut passed = [0; 3];
            for number in 0..u.int_in_range(50..=200)? {
                let urgency = *u.choose(&URGENCIES)?;
                let deadline = at(u.int_in_range(0..=1_000)?);
                queue.push(Waiting {
                    number,
                    urgency,
                    deadline,
                });
                if u.ratio(1, 2)? {
                    continue;
                }
                let next = queue.first().unwrap();
                queue.dequeue(&next);
                let lane = URGENCIES.iter().position(|u| *u == next.urgency).unwrap();
                passed[lane] = 0;
                for other in lane + 1..3 {
                    let waits = queue.all().any(|w| w.urgency == URGENCIES[other]);
                    passed[other] = if waits { passed[other] + 1 } else { 0 };
                }
                assert!(passed[1] <= 5 && passed[2] <= 22, "{passed:?}");
                let sooner = |w: Waiting| w.urgency == next.urgency && w.deadline < next.deadline;
                assert!(!queue.all().any(sooner), "not the earliest deadline");
            }
            Ok(())
        })
        .seed(n << 32 | 400)
        .run();
    }
}

/// Guards against requests to unusable agents: one in a failure domain that operators took out of
/// service, one that is stopping, and one that is silent.
#[test]
fn unusable_agents() {
    let mut table = entry(&["out", "leaves", "silent", "works"], 8);
    let mut out = view("out", 4_000, 8, 8);
    (out.usable, out.out_of_service) = (false, true);
    let mut leaves = view("leaves", 4_000, 8, 8);
    leaves.usable = false;
    table.update_agent(out);
    table.update_agent(leaves);
    table.update_agent(view("works", 4_000, 8, 8));
    (0..8).for_each(|_| {
        table.submit(at(4_000), check());
    });
    let runs = runs(&table.take_actions());
    assert_eq!(runs.len(), 8);
    assert!(runs.iter().all(|(to, _)| **to == *"works"), "{runs:?}");
}

#[test]
fn no_agent_left() {
    let mut table = entry(&["a"], 1);
    table.submit(at(1_000), check());
    table.submit(at(1_000), check());
    table.take_actions();
    let mut out = view("a", 1_100, 1, 0);
    (out.usable, out.out_of_service) = (false, true);
    table.update_agent(out);
    table.submit(at(1_100), check());
    assert_eq!(refusals(&table.take_actions()), [NotRun::OutOfService]);
    table.tick(at(1_200));
    assert!(refusals(&table.take_actions()).is_empty());
    table.tick(at(2_300));
    assert_eq!(refusals(&table.take_actions()), [NotRun::OutOfService]);
}

/// Guards against a backend server that fails every request and keeps getting its share of them.
/// After three failures it gets only an occasional probe.
#[test]
fn failing_server() {
    let mut table = entry(&["fails", "works"], 4);
    let mut counts = [0, 0];
    for round in 0..200 {
        let now = 1_000 + round * 10;
        for agent in ["fails", "works"] {
            table.update_agent(view(agent, now, 4, 4));
        }
        table.submit(at(now), check());
        for (to, id) in runs(&table.take_actions()) {
            let fails = *to == *"fails";
            counts[usize::from(fails)] += 1;
            let status = if fails { 500 } else { 200 };
            let outcome = Outcome::Done {
                status,
                length: 0,
                body: Vec::new(),
            };
            table.answered(at(now + 5), &to, id, outcome, 4);
        }
    }
    // Three failures, and probes 1, 2 and 4 s apart.
    assert!((3..=5).contains(&counts[1]), "{counts:?}");
    assert_eq!(counts[0] + counts[1], 200);
}

/// Guards against missed deadlines because of a backend server that is far slower than the others.
/// Requests that it could not answer in time go to other agents.
#[test]
fn slow_server() {
    let mut table = entry(&["quick", "slow"], 8);
    let (mut late, mut refused) = (0, 0);
    for round in 0..300 {
        let now = 1_000 + round * 2_000;
        for agent in ["quick", "slow"] {
            table.update_agent(view(agent, now, 8, 8));
        }
        let mut req = check();
        req.deadline_ms = Some(300);
        table.submit(at(now), req);
        let actions = table.take_actions();
        refused += refusals(&actions).len();
        for (to, id) in runs(&actions) {
            let slow = *to == *"slow";
            late += u32::from(slow);
            table.tick(at(now + 301));
            let time = if slow { 1_500 } else { 20 };
            table.answered(at(now + time), &to, id, done("x"), 8);
        }
        table.take_actions();
    }
    // Occasional requests probe whether the server has become faster. The choice between two random
    // agents alone would send it 75.
    assert!(
        (1..=45).contains(&late),
        "{late} of 300 went to the slow one"
    );
    assert!(refused <= 10, "{refused} of 300 seemed hopeless");
}

#[test]
fn refusal_goes_elsewhere() {
    let mut table = entry(&["a", "b"], 1);
    table.submit(at(1_000), check());
    let first = runs(&table.take_actions());
    let (to, id) = first[0].clone();
    table.answered(at(1_005), &to, id, not_run(NotRun::Busy), 0);
    let second = runs(&table.take_actions());
    assert_eq!(second.len(), 1);
    assert_ne!(second[0].0, to);
    assert_ne!(second[0].1, first[0].1, "each dispatch has its own id");
}

/// Guards against late answers to queued requests. A request that is still queued at its deadline
/// is refused then; one that can't be finished in time any more is refused earlier.
#[test]
fn deadlines() {
    let mut table = entry(&["a"], 1);
    let mut short = check();
    short.deadline_ms = Some(300);
    table.submit(at(1_000), check());
    let (to, id) = runs(&table.take_actions())[0].clone();
    table.submit(at(1_000), short.clone());
    table.tick(at(1_299));
    assert!(answers(&table.take_actions()).is_empty());
    table.tick(at(1_300));
    assert_eq!(refusals(&table.take_actions()), [NotRun::Deadline]);
    table.answered(at(2_000), &to, id, done("x"), 1);
    table.take_actions();
    // The entry now expects a run time of one second.
    table.submit(at(2_001), short);
    assert_eq!(refusals(&table.take_actions()), [NotRun::Deadline]);
}
