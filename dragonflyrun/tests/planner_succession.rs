//! Which entry stands for planner, when, and with which term.

use std::time::Duration;

use dragonflyrun::{
    Timestamp,
    workload::{Candidate, Election, Term, TermStep},
};

const LONG_SILENCE: Duration = Duration::from_secs(5);

/// A candidate that can prove the configuration on a store that answers at once.
const PROMPT: Candidate = Candidate {
    store_delay: Duration::ZERO,
    has_fresh_configuration: true,
};

/// The same without that proof.
const STALE_CONFIGURATION: Candidate = Candidate {
    has_fresh_configuration: false,
    ..PROMPT
};

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

/// A term of the rank `rank`, held by `entry`.
fn term(rank: u64, entry: &str, resigned: bool) -> Term {
    Term {
        number: rank << 20,
        entry: entry.into(),
        resigned,
        stale: false,
    }
}

fn claimed(step: TermStep) -> Term {
    match step {
        TermStep::Claim(term) => term,
        TermStep::Wait => panic!("it should stand"),
    }
}

/// Two entries see the planner fall silent at the same time and both stand. With equal terms the
/// store would take the second append for a repeat of the first and confirm both.
#[test]
fn terms_differ() {
    let mut one = Election::new("one".into(), 17, at(0));
    let mut other = Election::new("other".into(), 18, at(0));
    let known = term(5, "gone", false);
    one.saw_heartbeat(at(0), &known);
    other.saw_heartbeat(at(0), &known);
    let later = at(0) + LONG_SILENCE;
    let (one, other) = (
        claimed(one.step(later, PROMPT)),
        claimed(other.step(later, PROMPT)),
    );
    assert_ne!(one.number, other.number);
    assert!(one.number > known.number && other.number > known.number);
}

#[test]
fn plans_count_as_heartbeats() {
    let mut election = Election::new("one".into(), 17, at(0));
    let known = term(1, "other", false);
    election.saw_heartbeat(at(1_000), &known);
    assert_eq!(election.step(at(1_900), PROMPT), TermStep::Wait);
    election.saw_plan(at(2_000));
    assert_eq!(election.step(at(2_900), PROMPT), TermStep::Wait);
    assert!(matches!(
        election.step(at(4_000), PROMPT),
        TermStep::Claim(_)
    ));
}

/// The planner stops as planned and says so. Callers should not wait out its silence.
#[test]
fn resigned() {
    let mut election = Election::new("one".into(), 17, at(0));
    let known = term(1, "other", true);
    election.saw_heartbeat(at(1_000), &known);
    assert!(matches!(
        election.step(at(1_100), PROMPT),
        TermStep::Claim(_)
    ));
}

/// The entry itself could not read for a while. What it calls silence is its own, and standing on
/// it would replace a planner that is well.
#[test]
fn election_read_outage() {
    let mut election = Election::new("one".into(), 17, at(0));
    let known = term(1, "other", false);
    election.saw_heartbeat(at(1_000), &known);
    election.store_regained(at(9_000));
    assert_eq!(election.step(at(9_500), PROMPT), TermStep::Wait);
}

/// A record of a term that was succeeded arrives late. It is no sign of life of the planner of now.
#[test]
fn old_term() {
    let mut election = Election::new("one".into(), 17, at(0));
    let known = term(9, "other", false);
    election.saw_heartbeat(at(1_000), &known);
    let old = term(1, "gone", false);
    election.saw_heartbeat(at(3_000), &old);
    assert!(matches!(
        election.step(at(4_000), PROMPT),
        TermStep::Claim(_)
    ));
}

/// All hosts lose power, the planner's among them, and start again. Nobody plans, and the entry that
/// planned last knows it: it should not wait for a sign of life of its own earlier process, in which
/// time a caller would see all work stand still.
#[test]
fn own_term() {
    let mut election = Election::new("one".into(), 17, at(0));
    let known = term(1, "one", false);
    election.saw_heartbeat(at(1_000), &known);
    let next = claimed(election.step(at(1_100), PROMPT));
    assert!(next.number > known.number);
}

/// A candidate's claim is not done since the partition has moved on, but the store keeps its number, and
/// the candidate dies. The others must not be refused for ever: nobody would plan, and callers
/// would see all accepted jobs stand still.
#[test]
fn refused_claim() {
    let mut election = Election::new("one".into(), 17, at(0));
    let known = term(3, "gone", true);
    election.saw_heartbeat(at(0), &known);
    let dead = (4 << 20) + 900;
    let first = claimed(election.step(at(1_000), PROMPT));
    assert!(first.number < dead);
    election.claim_refused();
    let second = claimed(election.step(at(1_100), PROMPT));
    assert!(second.number > dead);
    election.saw_heartbeat(
        at(1_200),
        &Term {
            resigned: true,
            ..second.clone()
        },
    );
    let next = claimed(election.step(at(2_300), PROMPT));
    assert_eq!(next.number >> 20, (second.number >> 20) + 1);
}

/// Guards against a planner that is replaced since its signs of life queue on a slow store.
#[test]
fn slow_store() {
    let mut election = Election::new("one".into(), 17, at(0));
    election.saw_heartbeat(at(0), &term(1, "other", false));
    let slow = Candidate {
        store_delay: Duration::from_millis(250),
        ..PROMPT
    };
    assert_eq!(election.step(at(2_700), slow), TermStep::Wait);
    assert!(matches!(election.step(at(9_000), slow), TermStep::Claim(_)));
}

/// Guards against a crowd of candidates: their claims queue on the partition that the planner writes to.
#[test]
fn few_candidates() {
    const ENTRIES: usize = 55;
    let mut counts = Vec::new();
    for ms in (0..5_000).step_by(20) {
        let elections = (0..ENTRIES).map(|i| {
            let name = format!("front-{i}");
            let mut election = Election::new(name.as_str().into(), 17, at(0));
            election.saw_heartbeat(at(0), &term(1, "other", false));
            election
        });
        let candidates = elections.filter(|e| e.step(at(ms), PROMPT) != TermStep::Wait);
        counts.push(candidates.count());
    }
    let first = counts.iter().position(|n| *n > 0).expect("a candidate");
    // A claim takes some 40 ms to be won and read by the others.
    assert!(counts[first + 2] <= 12, "{:?}", &counts[first..first + 5]);
    assert_eq!(counts.last(), Some(&ENTRIES));
}

/// Returns the sign of life of a planner that can't prove the configuration.
fn stale_term(rank: u64, entry: &str) -> Term {
    Term {
        stale: true,
        ..term(rank, entry, false)
    }
}

/// Guards against a planner that keeps the term by its signs of life though it starts nothing.
#[test]
fn stale_planner() {
    let mut election = Election::new("one".into(), 17, at(0));
    for ms in (1_000..=2_000).step_by(200) {
        election.saw_heartbeat(at(ms), &stale_term(1, "other"));
    }
    let next = claimed(election.step(at(2_100), PROMPT));
    assert!(!next.stale);
}

/// Guards against a term that goes from one planner without a proof to the next while nobody has one: ends
/// would be noted by none of them.
#[test]
fn stale_everywhere() {
    let mut election = Election::new("one".into(), 17, at(0));
    for ms in (1_000..=60_000).step_by(200) {
        election.saw_heartbeat(at(ms), &stale_term(1, "other"));
        assert_eq!(
            election.step(at(ms + 100), STALE_CONFIGURATION),
            TermStep::Wait
        );
    }
}

/// Guards against a change of planner for a gap that was over when it was heard of.
#[test]
fn briefly_stale() {
    let mut election = Election::new("one".into(), 17, at(0));
    election.saw_heartbeat(at(1_000), &stale_term(1, "other"));
    assert_eq!(election.step(at(1_100), PROMPT), TermStep::Wait);
    election.saw_heartbeat(at(1_200), &term(1, "other", false));
    assert_eq!(election.step(at(1_900), PROMPT), TermStep::Wait);
    // On a slow store the next sign of life comes later.
    election.saw_heartbeat(at(1_950), &stale_term(1, "other"));
    let slow = Candidate {
        store_delay: Duration::from_millis(250),
        ..PROMPT
    };
    assert_eq!(election.step(at(3_900), slow), TermStep::Wait);
    election.saw_heartbeat(at(3_950), &term(1, "other", false));
    // An entry that was cut off itself has heard of it late.
    election.saw_heartbeat(at(4_000), &stale_term(1, "other"));
    election.store_regained(at(9_000));
    assert_eq!(election.step(at(9_100), PROMPT), TermStep::Wait);
}

/// Guards against a successor that can't start anything where another one could, and against none at all
/// where nobody can: ends have to be noted.
#[test]
fn stale_candidate() {
    for resigned in [false, true] {
        let mut election = Election::new("one".into(), 17, at(0));
        election.saw_heartbeat(at(0), &term(1, "other", resigned));
        let first =
            |candidate| (0..20_000).find(|ms| election.step(at(*ms), candidate) != TermStep::Wait);
        let fresh_at = first(PROMPT).expect("it stands");
        let stale_at = first(STALE_CONFIGURATION).expect("it stands at last");
        assert!(stale_at > fresh_at + 1_000, "{fresh_at} {stale_at}");
        assert!(claimed(election.step(at(stale_at), STALE_CONFIGURATION)).stale);
    }
}
