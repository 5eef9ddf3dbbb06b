//! Which entry becomes planner, when, and with which term.

use std::time::Duration;

use dragonflyrun::{
    Timestamp,
    workload::{Candidate, Election, Term, TermStep},
};

const LONG_SILENCE: Duration = Duration::from_secs(5);

/// A candidate that can prove its configuration, on a store that answers immediately.
const PROMPT: Candidate = Candidate {
    store_delay: Duration::ZERO,
    has_fresh_configuration: true,
    rank: None,
};

/// The same candidate without that proof.
const STALE_CONFIGURATION: Candidate = Candidate {
    has_fresh_configuration: false,
    ..PROMPT
};

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

/// Returns a term of round `rank`, held by `entry`.
fn term(rank: u64, entry: &str, resigned: bool) -> Term {
    Term {
        number: rank << 20,
        entry: entry.into(),
        resigned,
        ..Term::default()
    }
}

fn claimed(step: TermStep) -> Term {
    match step {
        TermStep::Claim(term) => term,
        step => panic!("it should claim a term, not {step:?}"),
    }
}

/// Guards against two planners at once. Two entries see the planner become silent at the same time
/// and both claim a term. If the terms were equal, the store would take the second append for a
/// repeat of the first and confirm both.
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

/// Guards against callers that wait until a planner counts as silent although it has resigned in a
/// graceful stop.
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

/// Guards against replacing a healthy planner because the entry itself could not read for a while
/// and saw no heartbeats.
#[test]
fn election_read_outage() {
    let mut election = Election::new("one".into(), 17, at(0));
    let known = term(1, "other", false);
    election.saw_heartbeat(at(1_000), &known);
    election.store_regained(at(9_000));
    assert_eq!(election.step(at(9_500), PROMPT), TermStep::Wait);
}

/// Guards against a late record of a superseded term that counts as a heartbeat of the current
/// planner.
#[test]
fn superseded_term() {
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

/// Guards against work that stalls longer than necessary after all hosts have lost power and
/// started again. There is no planner, and the entry that planned last knows it, so it must not
/// wait for a heartbeat of its own previous process.
#[test]
fn own_term() {
    let mut election = Election::new("one".into(), 17, at(0));
    let known = term(1, "one", false);
    election.saw_heartbeat(at(1_000), &known);
    let next = claimed(election.step(at(1_100), PROMPT));
    assert!(next.number > known.number);
}

/// Guards against candidates that are refused forever, without a planner and with all jobs stalled.
/// The store doesn't execute a claim because the partition has grown but remembers its number, and
/// the candidate crashes.
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

/// Guards against replacing a planner whose heartbeats queue on a slow store.
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

/// Guards against many candidates at once: their claims queue on the partition that the planner
/// writes to.
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
    // It takes about 40 ms until a claim is stored and read by the others.
    assert!(counts[first + 2] <= 12, "{:?}", &counts[first..first + 5]);
    assert_eq!(counts.last(), Some(&ENTRIES));
}

/// Returns the term in the heartbeat of a planner that can't prove its configuration.
fn stale_term(rank: u64, entry: &str) -> Term {
    Term {
        stale: true,
        ..term(rank, entry, false)
    }
}

/// Guards against a planner that keeps the term by its heartbeats although it starts nothing.
#[test]
fn stale_planner() {
    let mut election = Election::new("one".into(), 17, at(0));
    for ms in (1_000..=2_000).step_by(200) {
        election.saw_heartbeat(at(ms), &stale_term(1, "other"));
    }
    let next = claimed(election.step(at(2_100), PROMPT));
    assert!(!next.stale);
}

/// Guards against a term that passes from one planner without a proof to the next while nobody has
/// one: none of them would record the ends of runs.
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

/// Guards against replacing a planner for a short stale period, which may be over when an entry
/// learns of it.
#[test]
fn briefly_stale() {
    let mut election = Election::new("one".into(), 17, at(0));
    election.saw_heartbeat(at(1_000), &stale_term(1, "other"));
    assert_eq!(election.step(at(1_100), PROMPT), TermStep::Wait);
    election.saw_heartbeat(at(1_200), &term(1, "other", false));
    assert_eq!(election.step(at(1_900), PROMPT), TermStep::Wait);
    // On a slow store the next heartbeat comes later.
    election.saw_heartbeat(at(1_950), &stale_term(1, "other"));
    let slow = Candidate {
        store_delay: Duration::from_millis(250),
        ..PROMPT
    };
    assert_eq!(election.step(at(3_900), slow), TermStep::Wait);
    election.saw_heartbeat(at(3_950), &term(1, "other", false));
    // An entry that was disconnected itself learns of it late.
    election.saw_heartbeat(at(4_000), &stale_term(1, "other"));
    election.store_regained(at(9_000));
    assert_eq!(election.step(at(9_100), PROMPT), TermStep::Wait);
}

/// Guards against a successor that can't start anything although another entry could, and against
/// having no planner at all when none can: the ends of runs have to be recorded.
#[test]
fn stale_candidate() {
    for resigned in [false, true] {
        let mut election = Election::new("one".into(), 17, at(0));
        election.saw_heartbeat(at(0), &term(1, "other", resigned));
        let first =
            |candidate| (0..20_000).find(|ms| election.step(at(*ms), candidate) != TermStep::Wait);
        let fresh_at = first(PROMPT).expect("a claim");
        let stale_at = first(STALE_CONFIGURATION).expect("a late claim");
        assert!(stale_at > fresh_at + 1_000, "{fresh_at} {stale_at}");
        assert!(claimed(election.step(at(stale_at), STALE_CONFIGURATION)).stale);
    }
}

/// Returns the term in the heartbeat of a planner that can't read these partitions of reports.
fn unread_term(unread_reports: &[u32]) -> Term {
    Term {
        unread_reports: unread_reports.to_vec(),
        ..term(1, "other", false)
    }
}

/// Guards against a planner that keeps the term by its heartbeats although it learns of no end, and
/// against a successor that can't read the reports either.
#[test]
fn unread_reports() {
    let mut election = Election::new("one".into(), 17, at(0));
    for ms in (1_000..=3_000).step_by(200) {
        election.saw_heartbeat(at(ms), &unread_term(&[3, 7]));
    }
    let TermStep::ClaimIfReadable(next, partitions) = election.step(at(3_100), PROMPT) else {
        panic!("it should claim a term if it can read the reports");
    };
    assert!(!next.is_impaired());
    assert_eq!(partitions, [3, 7]);
    assert_eq!(
        election.step(at(3_100), STALE_CONFIGURATION),
        TermStep::Wait
    );
    // No planner at all is worse than one that can't read all reports.
    assert!(matches!(
        election.step(at(30_000), PROMPT),
        TermStep::Claim(_)
    ));
}

/// Guards against replacing a planner that reads the reports again.
#[test]
fn briefly_unread() {
    let mut election = Election::new("one".into(), 17, at(0));
    election.saw_heartbeat(at(1_000), &unread_term(&[3]));
    assert_eq!(election.step(at(1_100), PROMPT), TermStep::Wait);
    election.saw_heartbeat(at(1_200), &unread_term(&[]));
    assert_eq!(election.step(at(1_900), PROMPT), TermStep::Wait);
}
