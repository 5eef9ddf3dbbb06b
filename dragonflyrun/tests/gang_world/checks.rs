//! Invariants of the workers' run records that hold whatever has failed.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use dragonflyrun::{job::START_BOUND, utils::Name};

use super::worker::RunRecord;

/// The time for which a failure domain was out of service, according to the log.
#[derive(Clone, Debug)]
pub struct Outage {
    pub domain: usize,
    pub from: u64,
    pub to: u64,
}

type Gangs<'a> = BTreeMap<(&'a Name, u32), Vec<&'a RunRecord>>;

fn gangs(run_records: &[RunRecord]) -> Gangs<'_> {
    let mut gangs = Gangs::new();
    for r in run_records {
        gangs.entry((&r.job, r.attempt)).or_default().push(r);
    }
    gangs
}

/// Returns the longest time in milliseconds for which one member of an attempt ran while another
/// neither ran nor had finished.
pub fn longest_partial(run_records: &[RunRecord], now: u64) -> u64 {
    gangs(run_records)
        .values()
        .map(|g| longest_partial_of(g, now))
        .max()
        .unwrap_or(0)
}

fn longest_partial_of(gang: &[&RunRecord], now: u64) -> u64 {
    let members = gang[0].members;
    let mut times: BTreeSet<u64> = BTreeSet::new();
    for r in gang {
        times.extend([r.start, r.end.unwrap_or(now)]);
    }
    let times: Vec<u64> = times.into_iter().collect();
    let (mut longest, mut window) = (0, 0);
    for pair in times.windows(2) {
        let (from, to) = (pair[0], pair[1]);
        let running: BTreeSet<u32> = gang
            .iter()
            .filter(|r| r.start <= from && r.end.unwrap_or(now) >= to)
            .map(|r| r.member)
            .collect();
        let finished: BTreeSet<u32> = gang
            .iter()
            .filter(|r| r.finished && r.end.is_some_and(|end| end <= from))
            .map(|r| r.member)
            .collect();
        let whole = running.union(&finished).count() as u32 == members;
        let is_partial = !running.is_empty() && !whole;
        window = if is_partial { window + to - from } else { 0 };
        longest = longest.max(window);
    }
    longest
}

/// Panics if two attempts of a job ran at the same time.
pub fn assert_one_attempt(run_records: &[RunRecord], now: u64) {
    let mut jobs: HashMap<&Name, BTreeMap<u32, (u64, u64)>> = HashMap::new();
    for r in run_records {
        let attempts = jobs.entry(&r.job).or_default();
        let end = r.end.unwrap_or(now);
        let span = attempts.entry(r.attempt).or_insert((r.start, end));
        *span = (span.0.min(r.start), span.1.max(end));
    }
    for (job, attempts) in jobs {
        let spans: Vec<_> = attempts.into_iter().collect();
        for pair in spans.windows(2) {
            let ((a, (_, end)), (b, (start, _))) = (pair[0], pair[1]);
            assert!(
                start >= end,
                "{job}: attempt {b} started at {start}, attempt {a} ran until {end}"
            );
        }
    }
}

/// Panics if tasks started in a failure domain that had been out of service for longer than
/// [`START_BOUND`].
pub fn assert_no_late_start(run_records: &[RunRecord], outages: &[Outage]) {
    let bound = START_BOUND.as_millis() as u64;
    for r in run_records.iter().filter(|r| r.fresh_start) {
        for o in outages.iter().filter(|o| o.domain == r.domain) {
            let late = r.start > o.from + bound && r.start < o.to;
            assert!(
                !late,
                "{} attempt {} started at {} in domain {}, out from {} to {}",
                r.job, r.attempt, r.start, r.domain, o.from, o.to
            );
        }
    }
}

/// Returns whether all members finished in some attempt of `job`.
pub fn has_finished(run_records: &[RunRecord], job: &Name) -> bool {
    gangs(run_records)
        .iter()
        .filter(|((j, _), _)| *j == job)
        .any(|(_, gang)| {
            let done: BTreeSet<u32> = gang
                .iter()
                .filter(|r| r.finished)
                .map(|r| r.member)
                .collect();
            done.len() as u32 == gang[0].members
        })
}
