//! The checks that the failure tests run on the records must find the violations they look for.

use dragonflyrun::utils::Name;
use standins::{
    backend::{BackendRecord, Run, answer_to},
    harness::{longest_partial, overlapping, repeated_keys, starts_in_domain_after},
    worker::Interval,
};

fn interval(attempt: u32, member: u32, started: u64, stopped: Option<u64>) -> Interval {
    Interval {
        job: Name::from("reconstruction"),
        attempt,
        member,
        started_unix_ms: started,
        stopped_unix_ms: stopped,
        failure_domain: Name::from("murau"),
    }
}

#[test]
fn partial_found() {
    let skewed = [
        interval(1, 0, 100, Some(900)),
        interval(1, 1, 130, Some(920)),
    ];
    assert_eq!(longest_partial(&skewed, 2, 2_000).ms, 30);

    let lost = [interval(1, 0, 100, Some(900)), interval(1, 1, 100, None)];
    assert_eq!(longest_partial(&lost, 2, 2_000).ms, 1_100);

    let alone = [interval(1, 0, 100, Some(900))];
    assert_eq!(longest_partial(&alone, 2, 2_000).ms, 800);

    // A member was suspended for a while, which leaves two partial spans that are not adjacent.
    let frozen = [
        interval(1, 0, 100, Some(900)),
        interval(1, 1, 100, Some(300)),
        interval(1, 1, 500, Some(700)),
    ];
    assert_eq!(longest_partial(&frozen, 2, 2_000).ms, 200);
    assert_eq!(longest_partial(&frozen, 1, 2_000).ms, 0);
}

#[test]
fn overlap_found() {
    let consecutive = [interval(1, 0, 100, Some(200)), interval(2, 0, 200, None)];
    assert!(overlapping(&consecutive, 300).is_empty());
    let concurrent = [interval(1, 0, 100, Some(201)), interval(2, 1, 200, None)];
    assert_eq!(overlapping(&concurrent, 300).len(), 1);
}

#[test]
fn start_in_drained_domain_found() {
    let intervals = [interval(1, 0, 100, None), interval(1, 1, 300, None)];
    assert_eq!(starts_in_domain_after(&intervals, "murau", 200).len(), 1);
    assert!(starts_in_domain_after(&intervals, "leoben", 200).is_empty());
}

#[test]
fn repeated_key_found() {
    let run = |key: &str| Run {
        request: Name::default(),
        key: Some(Name::from(key)),
        service: Name::default(),
        digest: 0,
        started_unix_ms: 0,
        ended_unix_ms: None,
    };
    let record = |keys: &[&str]| BackendRecord {
        runs: keys.iter().map(|k| run(k)).collect(),
        ..BackendRecord::default()
    };
    assert!(repeated_keys(&[record(&["a", "b"]), record(&["c"])]).is_empty());
    let repeated = repeated_keys(&[record(&["a", "b"]), record(&["a"])]);
    assert_eq!(repeated.len(), 1);
    assert_eq!(repeated[0].runs, 2);
}

#[test]
fn answers_differ() {
    let answer = answer_to(b"load 1", 1_000);
    assert_eq!(answer.len(), 1_000);
    assert_ne!(answer, answer_to(b"load 2", 1_000));
    assert_ne!(answer[..16], answer[16..32]);
}
