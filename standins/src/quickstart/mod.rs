//! The quick start: a whole deployment in one process, a workload, and what became of it.

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

/// The file that an example of jobs of steps has; these run on the store's side of the product.
const STEPS_FILE: &str = "steps.json";

/// Runs the deployment and the workload of an example's folder, prints what became of each, and
/// returns whether nothing was lost or repeated.
///
/// # Errors
///
/// Where the example can't be read, a process does not start, or it does not become ready.
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
