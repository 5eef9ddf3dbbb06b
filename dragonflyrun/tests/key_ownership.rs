//! A request of a service that is not repeatable runs at most once, and "not run" is true, whatever
//! fails.

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

/// Number of seeds in CI; `DRAGONFLYRUN_SEEDS` overrides it.
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

/// The number of answers of each kind, to detect runs in which too little happens.
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
        // The upper half of the arbtest seed initializes the values, the lower half is their size
        // in bytes.
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

/// Guards against a second run of a request that is retried at another entry, and against a run
/// after "not run". Processes are killed and frozen, links break and are restored, agents lose
/// access to the log, and the owners of keys change, several of these at once.
#[test]
fn processes_fail() {
    check_seeds(Faults {
        every_ms: 400,
        ..Faults::default()
    });
}

/// Guards against wrong or truncated answers and second runs when, in addition to the faults of
/// `processes_fail`, messages are lost, duplicated, delayed behind later ones or truncated.
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

/// An owner of incarnation 1 that has owned all keys since 0 ms.
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

/// Guards against a needless "unknown". After "not run" the caller knows the outcome of every
/// attempt and retries with the same attempt number, which must be granted.
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

/// Guards against a run after "not run": the second attempt was answered "not run" and the delayed
/// first attempt arrives afterwards. It must not be granted.
#[test]
fn overtaken_attempt() {
    let mut owner = owner();
    owner.claim(at(70_000), claim(2, 2, 70_000), true);
    settle(&mut owner, 70_100, 2, tables::not_run(NotRun::Busy));
    assert_eq!(verdicts(&mut owner), [KeyVerdict::Granted]);
    owner.claim(at(70_200), claim(1, 1, 70_200), true);
    assert!(refused(&verdicts(&mut owner)));
}

/// Guards against two runs after a change of owners: a claim is delayed for longer than the change
/// takes, and the second attempt may have run under the previous owner.
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

/// Guards against a second run or an "unknown" for a repeat that arrives while the first attempt is
/// running. It waits and gets the outcome of the first.
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

/// Guards against two runs after a freeze of the entry: requests that arrived during the freeze
/// look new, but their callers may have retried at another entry. No key is claimed for a while;
/// requests without a key are not delayed.
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

/// Guards against two runs after an agent becomes the owner of a key whose first attempt may have
/// run under the previous owner. A repeat is answered "unknown" until the key window has passed,
/// after which the previous owner would have forgotten the run anyway.
#[test]
fn new_owner() {
    let mut owner = owner();
    owner.claim(at(59_000), claim(1, 2, 59_000), true);
    assert_eq!(verdicts(&mut owner), [KeyVerdict::Unknown]);
    // The process missed a change of owners, so the key may have had another owner in between.
    owner.set_ring(at(61_000), 3, &["a".into()]);
    owner.claim(at(70_000), claim(2, 2, 70_000), true);
    assert_eq!(verdicts(&mut owner), [KeyVerdict::Unknown]);
    owner.claim(at(122_000), claim(3, 2, 122_000), true);
    assert_eq!(verdicts(&mut owner), [KeyVerdict::Granted]);
}

/// Guards against two owners that grant the same key. Right after a change the previous owner may
/// not know of it, and an owner that has not read the log recently may be the previous one; neither
/// grants a key.
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

/// Guards against needless "unknown" answers when an agent leaves the ring: only its own keys may
/// get another owner, since repeats of moved keys are answered "unknown".
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
