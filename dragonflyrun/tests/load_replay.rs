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
        "| {name} | {policy} | {} | {} | {} | {:.0} | {:.0} | {:.0} | {:.1} s |",
        shares(0),
        shares(1),
        shares(2),
        outcome.useful,
        outcome.wasted,
        outcome.idle,
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
        "| load | policy | urgent | normal | patient | useful | wasted | idle | large gangs |"
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

/// Guards against a burst of one workspace for which all others pay: they submit a tenth as much each,
/// and their jobs would wait behind the older ones of the burst. Without shares the worst of the
/// others has 0.50 of its jobs in time, and 0.54 of all jobs are.
#[test]
fn burst_shared() {
    let pattern = Pattern::read("burst");
    let outcome = replay(&pattern, &mut Planned::new(pattern.workers));
    let in_time = |name: &str| {
        let counts = outcome.by_workspace[name];
        counts.in_time as f64 / counts.jobs as f64
    };
    let others = outcome.by_workspace.keys().filter(|name| *name != "burst");
    let worst = others.map(|name| in_time(name)).fold(1.0, f64::min);
    let all = outcome.by_workspace.values();
    let (met, jobs) = all.fold((0, 0), |sum, c| (sum.0 + c.in_time, sum.1 + c.jobs));
    let total = met as f64 / jobs as f64;
    let burst = in_time("burst");
    println!("worst other {worst:.3}, burst {burst:.3}, all {total:.3}");
    assert!(
        worst > 0.6,
        "{worst}: jobs in time of the worst other workspace"
    );
    assert!(total > 0.54, "{total}: jobs in time");
}
