//! Evaluates the records of the workers and backend servers for violations of the guarantees on
//! gangs and keys.

use std::collections::{BTreeMap, BTreeSet};

use dragonflyrun::utils::Name;

use crate::{
    backend::BackendRecord,
    worker::Interval, //
};

/// A time span within one attempt of a job.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Span {
    /// The job.
    pub job: Name,
    /// The attempt.
    pub attempt: u32,
    /// Its length in milliseconds.
    pub ms: u64,
}

/// A key that ran more than once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RepeatedKey {
    /// The key.
    pub key: Name,
    /// How many times it ran.
    pub runs: usize,
}

/// Returns the longest span during which some members of an attempt ran and others did not; zero
/// if all ran together. Members that still run are counted up to `now_unix_ms`.
///
/// `members` is the number of members of each attempt.
pub fn longest_partial(intervals: &[Interval], members: usize, now_unix_ms: u64) -> Span {
    let mut attempts: BTreeMap<(Name, u32), Vec<&Interval>> = BTreeMap::new();
    for interval in intervals {
        let key = (interval.job.clone(), interval.attempt);
        attempts.entry(key).or_default().push(interval);
    }
    attempts
        .into_iter()
        .map(|((job, attempt), intervals)| Span {
            job,
            attempt,
            ms: partial_ms(&intervals, members, now_unix_ms),
        })
        .max_by_key(|span| span.ms)
        .unwrap_or_default()
}

fn partial_ms(intervals: &[&Interval], members: usize, now: u64) -> u64 {
    let mut edges: BTreeSet<u64> = BTreeSet::new();
    for interval in intervals {
        edges.insert(interval.started_unix_ms);
        edges.insert(interval.stopped_unix_ms.unwrap_or(now));
    }
    let edges: Vec<u64> = edges.into_iter().collect();
    let mut longest = 0;
    let mut current = 0;
    for pair in edges.windows(2) {
        let running: BTreeSet<u32> = intervals
            .iter()
            .filter(|i| i.started_unix_ms <= pair[0] && i.stopped_unix_ms.unwrap_or(now) >= pair[1])
            .map(|i| i.member)
            .collect();
        let partial = !running.is_empty() && running.len() < members;
        current = if partial {
            current + pair[1] - pair[0]
        } else {
            0
        };
        longest = longest.max(current);
    }
    longest
}

/// Returns the jobs with two attempts that ran at the same time.
pub fn overlapping(intervals: &[Interval], now_unix_ms: u64) -> Vec<Name> {
    let ends = |i: &Interval| i.stopped_unix_ms.unwrap_or(now_unix_ms);
    let mut jobs = BTreeSet::new();
    for (number, one) in intervals.iter().enumerate() {
        let overlap = intervals[number + 1..].iter().any(|other| {
            one.job == other.job
                && one.attempt != other.attempt
                && one.started_unix_ms < ends(other)
                && other.started_unix_ms < ends(one)
        });
        if overlap {
            jobs.insert(one.job.clone());
        }
    }
    jobs.into_iter().collect()
}

/// Returns the intervals that started in failure domain `domain` after `unix_ms`.
pub fn starts_in_domain_after(intervals: &[Interval], domain: &str, unix_ms: u64) -> Vec<Interval> {
    intervals
        .iter()
        .filter(|i| *i.failure_domain == *domain && i.started_unix_ms > unix_ms)
        .cloned()
        .collect()
}

/// Returns the keys that ran more than once, counted over all backend servers.
pub fn repeated_keys(records: &[BackendRecord]) -> Vec<RepeatedKey> {
    let mut counts: BTreeMap<Name, usize> = BTreeMap::new();
    let keys = records
        .iter()
        .flat_map(|r| &r.runs)
        .filter_map(|r| r.key.clone());
    for key in keys {
        *counts.entry(key).or_default() += 1;
    }
    counts
        .into_iter()
        .filter(|(_, runs)| *runs > 1)
        .map(|(key, runs)| RepeatedKey { key, runs })
        .collect()
}
