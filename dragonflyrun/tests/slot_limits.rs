//! No more than the declared slots and connections of a backend server are in use, and a leaving or
//! silent one gets no requests.

mod tables;

use arbtest::arbtest;
use dragonflyrun::{
    connection::{Message, NotRun, Outcome, RequestId, RequestMessage, Role},
    request::{AgentAction, AgentTable},
};
use tables::{agent, announcement, at, done, order, peer};

fn started(table: &mut AgentTable) -> usize {
    let actions = table.take_actions();
    let is_start = |a: &&AgentAction| matches!(a, AgentAction::Start { .. });
    actions.iter().filter(is_start).count()
}

fn refusal(table: &mut AgentTable) -> Option<NotRun> {
    table.take_actions().iter().find_map(|action| match action {
        AgentAction::Send {
            message:
                Message::Request(RequestMessage::Answer {
                    outcome: Outcome::NotRun { reason, .. },
                    ..
                }),
            ..
        } => Some(*reason),
        _ => None,
    })
}

/// Guards against a backend server that gets more requests than it declared, which may make it run
/// out of memory and lose all of them. Requests, announcements and late answers come in any order.
#[test]
fn slots_and_connections() {
    for n in 0..300 {
        arbtest(|u| {
            let (slots, connections) = (u.int_in_range(1..=6)?, u.int_in_range(1..=6)?);
            let mut table = agent(slots, connections);
            let mut running: Vec<RequestId> = Vec::new();
            let mut now = 1_000;
            for number in 0..u.int_in_range(10..=150)? {
                now += u.int_in_range(0..=50)?;
                match u.int_in_range(0..=9)? {
                    0 => table.announce(at(now), announcement(slots, connections)),
                    1 => table.tick(at(now)),
                    2..=4 if !running.is_empty() => {
                        let id = running.swap_remove(u.choose_index(running.len())?);
                        table.finished(at(now), &id, done("x"));
                        table.take_actions();
                    }
                    _ => {
                        let mut order = order(number);
                        order.deadline = at(now + 1_000);
                        let id = order.id.clone();
                        table.run(at(now), &"entry".into(), order, true);
                        if started(&mut table) == 1 {
                            running.push(id);
                        }
                    }
                }
                assert!(running.len() <= slots.min(connections) as usize);
                assert_eq!(table.running(), running.len());
            }
            Ok(())
        })
        .seed(n << 32 | 400)
        .run();
    }
}

/// Guards against requests to a backend server that is leaving or whose process has ended. An entry
/// that does not know this yet still sends requests; the agent refuses them, so that they go to
/// other agents.
#[test]
fn leaving_and_lapsed() {
    let mut table = agent(4, 4);
    let mut leaving = announcement(4, 4);
    leaving.leaving = true;
    assert!(!table.reports(at(1_500))[0].leaving);
    table.announce(at(1_500), leaving);
    assert!(
        table.reports(at(1_500))[0].leaving,
        "entries learn of it from this report"
    );
    table.run(at(1_500), &"entry".into(), order(1), true);
    assert_eq!(refusal(&mut table), Some(NotRun::NoBackend));

    let mut table = agent(4, 4);
    table.run(at(4_000), &"entry".into(), order(1), true);
    assert_eq!(started(&mut table), 1);
    table.run(at(4_001), &"entry".into(), order(2), true);
    assert_eq!(refusal(&mut table), Some(NotRun::NoBackend));
    assert!(table.reports(at(4_001)).iter().all(|r| r.leaving));
}

#[test]
fn refused_by_agent() {
    let mut table = agent(1, 1);
    table.run(at(1_000), &"entry".into(), order(1), true);
    assert_eq!(started(&mut table), 1);
    table.run(at(1_000), &"entry".into(), order(2), true);
    assert_eq!(refusal(&mut table), Some(NotRun::Busy));
    table.run(at(1_000), &"entry".into(), order(3), false);
    assert_eq!(refusal(&mut table), Some(NotRun::OutOfService));
    table.run(at(5_000), &"entry".into(), order(4), true);
    assert_eq!(refusal(&mut table), Some(NotRun::Deadline));
    table.leave(at(1_000));
    table.run(at(1_000), &"entry".into(), order(5), true);
    assert_eq!(refusal(&mut table), Some(NotRun::Leaving));
}

/// Guards against requests that a graceful stop of the agent cuts off. The agent accepts no more
/// requests, but stays until the running ones have ended, the entries have the answers, and no
/// entry sends new requests because it does not know of the stop yet. An entry that is gone must
/// not delay the stop.
#[test]
fn agent_stops() {
    let mut table = agent(2, 2);
    table.run(at(1_000), &"entry".into(), order(1), true);
    table.leave(at(1_050));
    assert!(!table.is_idle(at(4_000)), "the request is running");
    table.finished(at(1_100), &order(1).id, done("x"));
    assert!(
        !table.is_idle(at(4_000)),
        "the entry has not acknowledged the answer"
    );
    table.received(&order(1).id);
    assert!(
        !table.is_idle(at(2_000)),
        "an entry may not know of the stop"
    );
    table.run(at(2_000), &"entry".into(), order(2), true);
    table.received(&order(2).id);
    assert!(
        !table.is_idle(at(2_999)),
        "an entry has just sent a request"
    );
    assert!(table.is_idle(at(3_000)));

    let mut table = agent(2, 2);
    table.run(at(1_000), &"entry".into(), order(1), true);
    table.leave(at(1_050));
    table.finished(at(1_100), &order(1).id, done("x"));
    table.entry_down(&peer("entry", Role::Entry, 1));
    assert!(table.is_idle(at(1_100)));
}
