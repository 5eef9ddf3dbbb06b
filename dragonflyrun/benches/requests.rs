//! Simulates requests under load on a fake clock, by deployment, policy and load. The seeds are
//! fixed, so that each run gives the same results. Prints a table, or JSON lines with `--json`.

#[path = "../tests/load/mod.rs"]
mod load;
#[path = "../tests/simulation/mod.rs"]
mod simulation;

use load::{Figures, Policy, Workload, Workloads};

const DATA: &str = include_str!("data/requests.json");
const POLICIES: [Policy; 3] = [Policy::Random, Policy::BestOfTwo, Policy::Divided];

fn main() {
    let workloads: Workloads = serde_json::from_str(DATA).expect("the data file is valid");
    let json = std::env::args().any(|a| a == "--json");
    if !json {
        println!("deployment policy     load seed goodput  in time by urgency / p99 ms / refusals");
    }
    for deployment in &workloads.deployments {
        for policy in POLICIES {
            for &load in &workloads.loads {
                for &seed in &workloads.seeds {
                    let figures = deployment.run(policy, load, workloads.seconds, seed);
                    print(deployment, policy, load, seed, &figures, json);
                }
            }
        }
    }
}

fn print(
    deployment: &Workload,
    policy: Policy,
    load: f64,
    seed: u64,
    figures: &Figures,
    json: bool,
) {
    let name = &deployment.name;
    if json {
        let line = serde_json::json!({
            "deployment": name, "policy": policy, "load": load, "seed": seed, "figures": figures,
        });
        println!("{line}");
        return;
    }
    let shares: Vec<String> = figures
        .in_time
        .iter()
        .map(|(urgency, share)| format!("{urgency} {share:.3} {} ms", figures.p99_ms[urgency]))
        .collect();
    println!(
        "{name:10} {:10} {load:4} {seed:4} {:7.3}  {}; unknown {}, retries {}, {:?}",
        format!("{policy:?}"),
        figures.goodput,
        shares.join(", "),
        figures.unknown,
        figures.retries,
        figures.refusals,
    );
}
