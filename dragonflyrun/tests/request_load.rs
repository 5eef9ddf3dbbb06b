//! Results of requests under load stay within the bounds in `benches/data/request_bounds.json`.

mod load;
mod simulation;

use load::{Policy, Workloads};
use serde::Deserialize;

const DATA: &str = include_str!("../benches/data/requests.json");
const BOUNDS: &str = include_str!("../benches/data/request_bounds.json");

/// The bounds are slightly worse than the results of the run named in the data file.
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

/// Guards against lower throughput under overload than at full load, against urgent requests that
/// wait behind others, and against refusals for an exhausted retry budget when a poor choice of
/// agents causes retries.
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

/// Compares the policies for choosing an agent: at full capacity, dividing the slots among the
/// entries must be at least as good as the others.
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
