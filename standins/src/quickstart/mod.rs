//! The quick start: runs a workload on a complete deployment in one process and reports the
//! outcome.

mod cluster;
mod outcome;
mod plan;
mod report;
mod runner;

use std::{
    io,
    path::Path, //
};

pub use outcome::{JobOutcome, Outcomes, RequestTally};
pub use plan::{Expected, Plan};

use cluster::Cluster;

use crate::steps;

/// The file that marks an example with jobs of steps, which run on the store-based processes.
const STEPS_FILE: &str = "steps.json";

/// Runs the workload of an example's folder on its deployment, prints the outcomes, and returns
/// whether no guarantee was violated.
///
/// # Errors
///
/// If the example cannot be read, a process does not start, or the deployment does not become ready.
pub fn run(example: &Path) -> io::Result<bool> {
    if example.join(STEPS_FILE).is_file() {
        return steps::run(example);
    }
    let plan = Plan::read(example)?;
    let cluster = Cluster::start(&plan)?;
    report::print_start(&plan, &cluster);
    let outcomes = runner::run(&plan, &cluster)?;
    let faults = outcomes.faults(&plan);
    report::print_end(&plan, &outcomes, &faults);
    cluster.stop();
    Ok(faults.is_empty())
}
