//! Figures of requests under load stay within the bounds of `benches/data/request_bounds.json`.

mod load;
mod simulation;

use load::{Policy, Workloads};
use serde::Deserialize;

const DATA: &str = include_str!("../benches/data/requests.json");
const BOUNDS: &str = include_str!("../benches/data/request_bounds.json");

/// Each bound lies a little on the worse side of the run that its data file names.
#[derive(Deserialize)]
struct Bounds {
    seconds: u64,
    seed: u64,
    deployments: Vec<Bound>,
}

#[derive(Deserialize)]
struct Bound {
    name: String,
    least_goodput: f64,
    least_urgent_at_twice: f64,
    most_budget_refusals: usize,
    most_unknown_at_twice: usize,
}

/// More requests come than can be run. Those that are run must be as many as when just enough
/// come, and the urgent ones go first; callers must not be refused for retries that only a bad
/// choice of agents made necessary.
#[test]
fn overload() {
    let workloads: Workloads = serde_json::from_str(DATA).unwrap();
    let bounds: Bounds = serde_json::from_str(BOUNDS).unwrap();
    for bound in &bounds.deployments {
        let deployment = workloads.deployments.iter().find(|d| d.name == bound.name);
        let run = |load| {
            let deployment = deployment.unwrap();
            deployment.run(Policy::Divided, load, bounds.seconds, bounds.seed)
        };
        let (below, at, twice) = (run(0.9), run(1.0), run(2.0));
        println!("{} {below:?}\n{at:?}\n{twice:?}", bound.name);
        let budget = below.refusals.get("RetryBudget").copied().unwrap_or(0);
        assert!(budget <= bound.most_budget_refusals);
        assert!(at.goodput >= bound.least_goodput);
        assert!(twice.goodput >= at.goodput);
        assert!(twice.in_time["urgent"] >= bound.least_urgent_at_twice);
        assert!(twice.unknown <= bound.most_unknown_at_twice);
    }
}

/// The ways to choose an agent that were weighed, side by side: a part of the slots for each entry
/// wins at capacity.
#[test]
fn policies() {
    let workloads: Workloads = serde_json::from_str(DATA).unwrap();
    let bounds: Bounds = serde_json::from_str(BOUNDS).unwrap();
    let prairie = workloads.deployments.iter().find(|d| d.name == "prairie");
    let goodput = |policy| {
        let figures = prairie
            .unwrap()
            .run(policy, 1.0, bounds.seconds, bounds.seed);
        println!("{policy:?} {figures:?}");
        figures.goodput
    };
    let divided = goodput(Policy::Divided);
    assert!(divided >= goodput(Policy::BestOfTwo));
    assert!(divided >= goodput(Policy::Random));
}
