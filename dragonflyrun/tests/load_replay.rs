//! The planner's decisions under recorded loads, compared with the naive policy.

mod replay;
mod workload_tables;

use replay::{Naive, Outcome, Pattern, Planned, replay};

const PATTERNS: [&str; 9] = [
    "urgent",
    "large",
    "threefold",
    "long",
    "cancel",
    "half-lost",
    "sick-workers",
    "domain-out",
    "rolling",
];

fn print_row(name: &str, policy: &str, outcome: &Outcome) {
    let mut starts = outcome.large_starts_ms.clone();
    starts.sort_unstable();
    let median = starts.get(starts.len() / 2).copied().unwrap_or(0);
    let shares = |p| format!("{:.2} / {:.2}", outcome.share(p), outcome.in_time(p));
    println!(
        "| {name} | {policy} | {} | {} | {} | {:.0} | {:.0} | {:.0} | {:.0} | {} | {:.1} s |",
        shares(0),
        shares(1),
        shares(2),
        outcome.useful,
        outcome.wasted,
        outcome.idle,
        outcome.fragmented,
        outcome.stops,
        median as f64 / 1_000.0
    );
}

fn replay_both(name: &str) -> (Outcome, Outcome) {
    let pattern = Pattern::read(name);
    assert_eq!(pattern.name, name);
    let naive = replay(&pattern, &mut Naive::new(pattern.workers));
    let planned = replay(&pattern, &mut Planned::new(pattern.workers));
    print_row(name, "naive", &naive);
    print_row(name, "planner", &planned);
    (naive, planned)
}

/// Guards against a planner that serves urgent jobs worse than first come, first served would, or
/// leaves a job unfinished. More jobs arrive than fit, or workers fail, stall or leave in the
/// meantime.
#[test]
fn no_worse_than_naive() {
    println!(
        "| load | policy | urgent | normal | patient | useful | wasted | idle | fragmented | stops | large gangs |"
    );
    for name in PATTERNS {
        let (naive, planned) = replay_both(name);
        assert!(
            planned.share(0) >= naive.share(0),
            "{name}: urgent jobs served"
        );
        assert!(
            planned.in_time(0) >= naive.in_time(0),
            "{name}: urgent jobs in time"
        );
        assert_eq!(planned.unfinished, 0, "{name}: jobs that never ended");
    }
}

/// Accelerator-seconds that the planner lost on `contended` when an urgent job might stop up to twice its
/// own work, also where it was late anyway.
const CONTENDED_WASTED_BEFORE: f64 = 315.0;

/// Shares of the urgent, normal and patient jobs of `contended` that met their objective then; all jobs
/// were of use.
const CONTENDED_IN_TIME_BEFORE: [f64; 3] = [0.83, 0.94, 0.55];

/// Guards against evictions that discard more than they serve, on a nearly full pool with whole-worker
/// gangs beside tasks of one accelerator and more urgent gangs than fit at once.
#[test]
fn contended_pool() {
    let (_, planned) = replay_both("contended");
    assert!(
        planned.wasted <= CONTENDED_WASTED_BEFORE / 2.0,
        "{:.0} accelerator-seconds were discarded",
        planned.wasted
    );
    for (priority, before) in CONTENDED_IN_TIME_BEFORE.iter().enumerate() {
        let in_time = planned.in_time(priority);
        assert!(in_time >= *before, "priority {priority}: {in_time} in time");
        assert!(planned.share(priority) >= 1.0, "priority {priority}");
    }
    assert_eq!(planned.unfinished, 0);
}
