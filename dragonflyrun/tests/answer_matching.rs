//! A caller gets the complete answer to its own request, whatever happens to peer messages.

mod tables;

use dragonflyrun::{
    connection::{KeyMessage, Message, NotRun, Outcome, RequestId, RequestMessage, Role},
    request::{AgentAction, AgentTable, EntryAction},
};
use tables::{agent, answers, at, check, done, entry, order, peer, runs, view};

fn resends(actions: &[EntryAction]) -> usize {
    let is_run = |a: &&EntryAction| {
        matches!(
            a,
            EntryAction::Resend {
                message: Message::Request(RequestMessage::Run { .. }),
                ..
            }
        )
    };
    actions.iter().filter(is_run).count()
}

fn sent_answers(table: &mut AgentTable) -> Vec<Outcome> {
    let answer = |action| match action {
        AgentAction::Send {
            message: Message::Request(RequestMessage::Answer { outcome, .. }),
            ..
        } => Some(outcome),
        _ => None,
    };
    table
        .take_actions()
        .into_iter()
        .filter_map(answer)
        .collect()
}

/// Guards against an answer that reaches the wrong caller, or the same caller twice. Answers arrive
/// out of order, twice, from the wrong agent, and after the caller's deadline.
#[test]
fn mixed_up_answers() {
    let mut table = entry(&["a"], 4);
    let numbers: Vec<u64> = (0..4).map(|_| table.submit(at(1_000), check())).collect();
    let runs = runs(&table.take_actions());
    let a = runs[0].0.clone();
    for n in [2, 0, 2, 0, 1] {
        let id = runs[n].1.clone();
        table.answered(at(1_100), &"b".into(), id.clone(), done("forged"), 4);
        table.answered(at(1_100), &a, id, done(&format!("answer {n}")), 4);
    }
    let foreign = RequestId {
        entry: "entry#0".into(),
        number: runs[3].1.number,
    };
    table.answered(at(1_100), &a, foreign, done("of an earlier process"), 4);
    let expected: Vec<(u64, Outcome)> = [2, 0, 1]
        .into_iter()
        .map(|n| (numbers[n], done(&format!("answer {n}"))))
        .collect();
    assert_eq!(answers(&table.take_actions()), expected);
    table.tick(at(6_000));
    assert_eq!(
        answers(&table.take_actions()),
        [(numbers[3], Outcome::Unknown)]
    );
    table.answered(at(6_100), &a, runs[3].1.clone(), done("too late"), 4);
    assert!(answers(&table.take_actions()).is_empty());
}

/// Guards against a truncated answer that reaches the caller as if it were complete. The agent
/// still has the answer, so the entry requests it again.
#[test]
fn cut_off_answer() {
    let mut table = entry(&["a"], 4);
    let number = table.submit(at(1_000), check());
    let (a, id) = runs(&table.take_actions())[0].clone();
    let Outcome::Done {
        status,
        length,
        body,
    } = done("whole")
    else {
        unreachable!();
    };
    let half = Outcome::Done {
        status,
        length,
        body: body[..2].to_vec(),
    };
    table.answered(at(1_100), &a, id.clone(), half, 4);
    let actions = table.take_actions();
    assert!(answers(&actions).is_empty());
    assert_eq!(resends(&actions), 1);
    table.answered(at(1_200), &a, id, done("whole"), 4);
    assert_eq!(answers(&table.take_actions()), [(number, done("whole"))]);
}

/// Guards against a lost answer or a second run after a link breaks during an answer and is
/// restored. The entry sends the request again to the same agent process, which returns the stored
/// answer.
#[test]
fn link_comes_back() {
    let mut table = entry(&["a"], 4);
    let number = table.submit(at(1_000), check());
    let (a, id) = runs(&table.take_actions())[0].clone();
    table.agent_down(at(1_100), &peer("a", Role::Agent, 1));
    table.agent_up(at(1_500), &peer("a", Role::Agent, 1));
    table.tick(at(1_700));
    let actions = table.take_actions();
    assert!(answers(&actions).is_empty());
    assert_eq!(resends(&actions), 1);

    let mut agent_table = agent(1, 1);
    agent_table.run(at(1_000), &"entry".into(), order(1), true);
    agent_table.take_actions();
    agent_table.finished(at(1_100), &order(1).id, done("kept"));
    agent_table.take_actions();
    agent_table.run(at(1_700), &"entry".into(), order(1), true);
    assert_eq!(sent_answers(&mut agent_table), [done("kept")]);
    table.answered(at(1_800), &a, id, done("kept"), 4);
    assert_eq!(answers(&table.take_actions()), [(number, done("kept"))]);
}

/// Guards against a false "not run" after the agent process dies with a request. Its successor does
/// not know the request and must not answer it; the entry answers "unknown" before the deadline.
#[test]
fn agent_replaced() {
    let mut table = entry(&["a"], 4);
    let mut req = tables::booking("k", 1);
    req.deadline_ms = Some(60_000);
    let number = table.submit(at(1_000), req);
    let actions = table.take_actions();
    let claim = actions.iter().find_map(|a| match a {
        EntryAction::Send {
            message: Message::Key(KeyMessage::Claim { id, .. }),
            ..
        } => Some(id),
        _ => None,
    });
    let granted = dragonflyrun::connection::KeyVerdict::Granted;
    table.verdict(at(1_001), &"a".into(), claim.unwrap(), granted);
    assert_eq!(runs(&table.take_actions()).len(), 1);
    table.agent_up(at(1_400), &peer("a", Role::Agent, 2));
    assert_eq!(answers(&table.take_actions()), [(number, Outcome::Unknown)]);

    let mut successor = AgentTable::new(2);
    successor.announce(at(1_400), tables::announcement(4, 4));
    successor.run(at(1_500), &"entry".into(), order(1), true);
    assert!(successor.take_actions().is_empty());
}

/// Guards against running a request whose caller has already been answered. A frozen process or a
/// broken network delays the request past its deadline, which the agent checks on its own clock.
#[test]
fn held_up_request() {
    let mut table = entry(&["a"], 4);
    table.update_agent(view("a", 2_000, 4, 4));
    table.submit(at(2_500), check());
    let actions = table.take_actions();
    let Some(EntryAction::Send {
        message: Message::Request(RequestMessage::Run { deadline_ms, .. }),
        ..
    }) = actions.first()
    else {
        panic!("{actions:?}");
    };
    assert_eq!(*deadline_ms, 7_500);
    let mut late = agent(1, 1);
    late.announce(at(7_400), tables::announcement(1, 1));
    let mut order = order(1);
    order.deadline = at(*deadline_ms);
    late.run(at(7_499), &"entry".into(), order.clone(), true);
    assert!(late.may_start(at(7_499), &order.id));
    assert!(
        !late.may_start(at(7_500), &order.id),
        "it was frozen right before the start"
    );
    late.run(at(7_500), &"entry".into(), tables::order(2), true);
    let refused = Outcome::NotRun {
        reason: NotRun::Deadline,
        retry_after_ms: 500,
    };
    assert_eq!(sent_answers(&mut late), [refused]);
}
