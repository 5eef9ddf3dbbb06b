//! Measures the scheduling policy in simulated time: `cargo bench --bench measures`.
//!
//! Each workload in `benches/data` runs under each policy with the same jobs. `--seeds N` sets the
//! number of seeds, `--json FILE` writes the measures, and `--record` stores those of the current
//! policy as the previous ones that later runs compare with.

mod report;
mod simulation;

use std::{env, fs, path::PathBuf};

use dragonflyrun::job::Scheduler;

use crate::{
    report::{Report, Row},
    simulation::{Naive, Workload, World},
};

const WORKLOADS: [&str; 2] = ["murtal", "prairie-pour"];

const DEFAULT_SEEDS: u64 = 10;

fn main() {
    let args: Vec<String> = env::args().collect();
    let value_of = |flag: &str| {
        let at = args.iter().position(|a| a == flag)?;
        args.get(at + 1).cloned()
    };
    let seeds = value_of("--seeds").map_or(DEFAULT_SEEDS, |n| n.parse().expect("a count"));
    let data = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("benches/data");
    let recorded = data.join("previous.json");
    let previous = fs::read_to_string(&recorded).map_or_else(
        |_| Report::default(),
        |text| serde_json::from_str(&text).expect("the previous measures are valid"),
    );
    let mut report = Report::default();
    for name in WORKLOADS {
        let text = fs::read_to_string(data.join(format!("{name}.json")))
            .expect("the workload can be read");
        let workload = Workload::parse(&text);
        println!("{name}: {}", workload.deployment);
        for seed in 1..=seeds {
            let naive = World::run(&workload, seed, &mut Naive::default());
            let current = World::run(&workload, seed, &mut Scheduler::new());
            report.rows.push(Row::new(name, "naive", seed, naive));
            report.rows.extend(
                previous
                    .row(name, "current", seed)
                    .map(|r| r.renamed("previous")),
            );
            report.rows.push(Row::new(name, "current", seed, current));
        }
    }
    report.print();
    if let Some(path) = value_of("--json") {
        fs::write(path, report.json()).expect("the figures are written");
    }
    if args.iter().any(|a| a == "--record") {
        fs::write(recorded, report.only("current").json()).expect("the figures are written");
    }
}
