//! A request that may not be repeated runs at most once, and "not run" is true, whatever fails.

mod simulation;
mod tables;

use std::time::Duration;

use arbtest::arbtest;
use dragonflyrun::{
    Name,
    connection::{KeyVerdict, NotRun, Outcome, RequestId, Role},
    request::{KeyClaim, KeyOutcome, KeyOwner, Ring},
    version::Urgency,
};
use simulation::{Backend, Class, Faults, Setup, Sim};
use tables::at;

/// Seeds in CI; `DRAGONFLYRUN_SEEDS` asks for more.
const DEFAULT_SEEDS: u64 = 150;

fn seeds() -> u64 {
    let more = std::env::var("DRAGONFLYRUN_SEEDS").ok();
    more.and_then(|n| n.parse().ok()).unwrap_or(DEFAULT_SEEDS)
}

fn booking() -> Class {
    Class {
        service: "booking".to_owned(),
        urgency: Urgency::Urgent,
        deadline_ms: 2_500,
        run_ms: 150,
        weight: 1,
        keyed: true,
    }
}

fn setup(seed: u64, faults: Faults) -> Setup {
    Setup {
        seed,
        entries: 3,
        slots: 2,
        backends: vec![
            Backend::Runs(1.0),
            Backend::Runs(1.0),
            Backend::Runs(6.0),
            Backend::Refuses,
            Backend::Breaks,
        ],
        classes: vec![booking()],
        arrivals_per_s: 15.0,
        arrivals_until_ms: 30_000,
        max_attempts: 4,
        choices: 2,
        divided: true,
        skew: 0.0,
        faults,
    }
}

/// How often each answer was given, so that a run in which nothing happens is noticed.
#[derive(Debug, Default)]
struct AnswerCounts {
    done: usize,
    not_run: usize,
    unknown: usize,
    none: usize,
}

impl AnswerCounts {
    fn add(&mut self, sim: &Sim) {
        for attempt in &sim.attempts {
            match attempt.answer.as_ref().map(|(_, outcome)| outcome) {
                Some(Outcome::Done { .. }) => self.done += 1,
                Some(Outcome::NotRun { .. }) => self.not_run += 1,
                Some(Outcome::Unknown) => self.unknown += 1,
                None => self.none += 1,
            }
        }
    }
}

fn check_seeds(faults: Faults) {
    let mut answers = AnswerCounts::default();
    for n in 0..seeds() {
        // The seed's upper half feeds the values, its lower half is their size in bytes.
        arbtest(|u| {
            let seed = u.arbitrary()?;
            let mut sim = Sim::new(setup(seed, faults));
            sim.run_until(50_000);
            if let Some(found) = sim.violations().first() {
                let trace = sim.trace(found.ticket());
                panic!("sim seed {seed}: {found:?}\n{trace}");
            }
            answers.add(&sim);
            Ok(())
        })
        .seed(n << 32 | 64)
        .run();
    }
    println!("{answers:?}");
    let fewest = answers.not_run.min(answers.unknown).min(answers.none);
    assert!(
        answers.done > fewest && fewest > 0,
        "too little happened: {answers:?}"
    );
}

/// Processes are killed and frozen, links break and come back, agents lose sight of the log, and
/// the owners of keys change, several of these at once. A buyer who taps "book" again, at another
/// entry, must not be booked twice, and one who reads "not run" must not find a booking later.
#[test]
fn processes_fail() {
    check_seeds(Faults {
        every_ms: 400,
        ..Faults::default()
    });
}

/// Messages between the processes are lost, doubled, held up behind later ones or cut off, besides
/// all that fails above. A buyer must not get another's answer, half an answer, or two bookings.
#[test]
fn messages_fail() {
    check_seeds(Faults {
        every_ms: 1_500,
        drop: 2.0,
        duplicate: 5.0,
        delay: 5.0,
        truncate: 10.0,
    });
}

/// An owner that has owned all keys since 0 ms, in its process of incarnation 1.
fn owner() -> KeyOwner {
    let mut owner = KeyOwner::new(&tables::peer("a", Role::Agent, 1), at(0));
    owner.set_ring(at(0), 1, &["a".into()]);
    owner
}

fn claim(number: u64, attempt: u32, now: u64) -> KeyClaim {
    KeyClaim {
        from: "entry".into(),
        id: id(number),
        service: "bookings".into(),
        key: "k".into(),
        attempt,
        incarnation: 1,
        sent: at(now),
        deadline: at(now + 5_000),
        window: Duration::from_secs(60),
    }
}

fn id(number: u64) -> RequestId {
    RequestId {
        entry: "entry#1".into(),
        number,
    }
}

fn settle(owner: &mut KeyOwner, now: u64, number: u64, outcome: Outcome) {
    let settled = KeyOutcome {
        service: "bookings".into(),
        key: "k".into(),
        id: id(number),
        outcome,
        window: Duration::from_secs(60),
    };
    owner.settle(at(now), settled, true);
}

fn verdicts(owner: &mut KeyOwner) -> Vec<KeyVerdict> {
    owner
        .take_actions()
        .into_iter()
        .map(|a| a.verdict)
        .collect()
}

fn refused(verdicts: &[KeyVerdict]) -> bool {
    matches!(verdicts, [KeyVerdict::Refused { .. }])
}

/// A first attempt was answered "not run". The caller sends it again under the same number, since
/// there is no attempt whose outcome it does not know, and must not be told "unknown".
#[test]
fn same_attempt_again() {
    let mut owner = owner();
    owner.claim(at(5_000), claim(1, 1, 5_000), true);
    settle(&mut owner, 5_100, 1, tables::not_run(NotRun::Busy));
    owner.claim(at(5_200), claim(2, 1, 5_200), true);
    assert_eq!(
        verdicts(&mut owner),
        [KeyVerdict::Granted, KeyVerdict::Granted]
    );
}

/// A second attempt was answered "not run", and only now the first one comes through. It must not
/// run: the caller has been told that its booking did not.
#[test]
fn overtaken_attempt() {
    let mut owner = owner();
    owner.claim(at(70_000), claim(2, 2, 70_000), true);
    settle(&mut owner, 70_100, 2, tables::not_run(NotRun::Busy));
    assert_eq!(verdicts(&mut owner), [KeyVerdict::Granted]);
    owner.claim(at(70_200), claim(1, 1, 70_200), true);
    assert!(refused(&verdicts(&mut owner)));
}

/// A claim was held up for longer than a change of owners takes. The second attempt may have run
/// at the owner before, so this one must not.
#[test]
fn held_up_claim() {
    let mut owner = owner();
    owner.claim(at(7_001), claim(1, 1, 5_000), true);
    assert!(refused(&verdicts(&mut owner)));
    let mut for_predecessor = claim(1, 1, 7_000);
    for_predecessor.incarnation = 0;
    owner.claim(at(7_001), for_predecessor, true);
    assert!(refused(&verdicts(&mut owner)));
}

/// A buyer taps "book" again while the first tap is still being worked on. Both get its outcome.
#[test]
fn repeat_waits() {
    let mut owner = owner();
    owner.claim(at(5_000), claim(1, 1, 5_000), true);
    owner.claim(at(5_100), claim(2, 2, 5_100), true);
    assert_eq!(verdicts(&mut owner), [KeyVerdict::Granted]);
    settle(&mut owner, 5_200, 1, tables::done("booked"));
    let known = KeyVerdict::Known(tables::done("booked"));
    assert_eq!(verdicts(&mut owner), [known]);
}

/// An entry was frozen, and what came meanwhile looks like new requests to it. Their callers have
/// tried again elsewhere by now, so none of them asks for a key; nothing else is held up.
#[test]
fn after_a_freeze() {
    let mut table = tables::entry(&["a"], 4);
    table.tick(at(1_000));
    table.update_agent(tables::view("a", 9_000, 4, 4));
    table.submit(at(9_000), tables::booking("k", 1));
    table.tick(at(9_001));
    table.submit(at(9_900), tables::booking("l", 1));
    let actions = table.take_actions();
    let not_fresh = [NotRun::NotFresh, NotRun::NotFresh];
    assert_eq!(tables::refusals(&actions), not_fresh);
    table.submit(at(9_900), tables::check());
    assert_eq!(tables::runs(&table.take_actions()).len(), 1);
    table.tick(at(10_010));
    table.submit(at(10_010), tables::booking("k", 1));
    assert!(tables::refusals(&table.take_actions()).is_empty());
}

/// An agent becomes owner of a key whose first attempt may have run under the owner before it. A
/// repeat is answered "unknown" until whatever ran before would be forgotten anyway.
#[test]
fn new_owner() {
    let mut owner = owner();
    owner.claim(at(59_000), claim(1, 2, 59_000), true);
    assert_eq!(verdicts(&mut owner), [KeyVerdict::Unknown]);
    // Its own process missed a change of owners: the key may have been another's meanwhile.
    owner.set_ring(at(61_000), 3, &["a".into()]);
    owner.claim(at(70_000), claim(2, 2, 70_000), true);
    assert_eq!(verdicts(&mut owner), [KeyVerdict::Unknown]);
    owner.claim(at(122_000), claim(3, 2, 122_000), true);
    assert_eq!(verdicts(&mut owner), [KeyVerdict::Granted]);
}

/// Right after a change the owner before may not have heard of it, and one that has not read the
/// log lately may be the owner before. Neither grants anything.
#[test]
fn unsettled_owner() {
    let mut owner = owner();
    owner.set_ring(at(10_000), 2, &["a".into(), "b".into()]);
    let mut mine = claim(1, 1, 11_000);
    mine.key = (0..)
        .map(|n| format!("k{n}"))
        .find(|key| {
            owner
                .ring()
                .unwrap()
                .owner("bookings", key)
                .unwrap()
                .as_ref()
                == "a"
        })
        .unwrap()
        .into();
    owner.claim(at(11_000), mine.clone(), true);
    assert!(refused(&verdicts(&mut owner)));
    mine.sent = at(13_000);
    owner.claim(at(13_000), mine.clone(), false);
    assert!(refused(&verdicts(&mut owner)));
    owner.claim(at(13_000), mine, true);
    assert_eq!(verdicts(&mut owner), [KeyVerdict::Granted]);
}

/// An agent leaves the ring. Only its own keys get another owner; if others moved too, their
/// repeats would be "unknown" for no reason.
#[test]
fn keys_that_move() {
    let agents: Vec<Name> = (0..11).map(|n| format!("agent-{n}").into()).collect();
    let (before, after) = (Ring::new(&agents), Ring::new(&agents[1..]));
    let mut owned = 0;
    for n in 0..11_000 {
        let key = format!("key-{n}");
        let old = before.owner("bookings", &key);
        if old == Some(&agents[0]) {
            owned += 1;
        } else {
            assert_eq!(old, after.owner("bookings", &key));
        }
    }
    assert!((800..1_200).contains(&owned), "{owned} of 11,000 keys");
}
