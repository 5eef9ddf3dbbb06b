//! No gang runs partially when processes are suspended and resumed.

use std::{thread::sleep, time::Duration};

use dragonflyrun::process::{JobAnswer, JobState};
use standins::caller::Caller;
use standins::harness::{Deployment, Signal, job, wait_until};

/// Maximum partial run time in milliseconds: the gang lease of 3 s plus 1 s for a busy machine.
const MAX_PARTIAL_MS: u64 = 4_000;

/// Suspension time, longer than any lease.
const FREEZE: Duration = Duration::from_secs(8);

const GANG: &str = "reconstruction";
const MEMBERS: usize = 3;

/// Submits the gang, waits until all its members run, and returns the number of their attempt.
fn start_gang(deployment: &Deployment) -> u32 {
    deployment.submit(GANG, &job(3, 8, "forever"));
    deployment.wait_for_gang(GANG, MEMBERS, 0)
}

/// The agent of one member is suspended for longer than its leases, as on a host that swaps. All
/// members must have stopped by then. After it resumes, the agent must not renew or start anything
/// of the lost attempt, and the job must run completely in a later attempt.
#[test]
fn agent_frozen() {
    let deployment = Deployment::builder().start();
    let first = start_gang(&deployment);
    deployment.agents[0].child.signal(Signal::Stop);
    sleep(FREEZE);
    assert_eq!(deployment.running_members(GANG, first), 0);
    deployment.agents[0].child.signal(Signal::Continue);
    deployment.wait_for_gang(GANG, MEMBERS, first);
    deployment.check_gang(GANG, MEMBERS, MAX_PARTIAL_MS);
}

/// A worker is suspended with its tasks until its lease lapses. The other members must stop, and
/// the tasks must not continue when the worker resumes.
#[test]
fn worker_frozen() {
    let deployment = Deployment::builder().start();
    let first = start_gang(&deployment);
    deployment.workers[1].child.signal(Signal::Stop);
    sleep(FREEZE);
    deployment.workers[1].child.signal(Signal::Continue);
    assert_eq!(deployment.running_members(GANG, first), 0);
    deployment.wait_for_gang(GANG, MEMBERS, first);
    deployment.check_gang(GANG, MEMBERS, MAX_PARTIAL_MS);
}

/// The planner is suspended for longer than its term, and another entry takes over. When it
/// resumes, both plan at once, the first one from outdated state, while jobs are submitted through
/// both. Each job must finish once, and no attempt may overlap another or run partially.
#[test]
fn planner_frozen() {
    let deployment = Deployment::builder().start();
    let planner = deployment.planner();
    let (old, new) = (deployment.caller(planner), deployment.caller(1 - planner));
    for number in 0..3 {
        let spec = job(3, 4, "sleep:1500");
        deployment.submit(&format!("{GANG}-{number}"), &spec);
    }
    deployment.entries[planner].child.signal(Signal::Stop);
    wait_until("another planner", || deployment.planner() != planner);
    submit_through(&new, "reconstruction-3");
    deployment.entries[planner].child.signal(Signal::Continue);
    submit_through(&old, "reconstruction-4");
    for number in 0..5 {
        let name = format!("{GANG}-{number}");
        deployment.wait_for_end(&name, JobState::Finished);
        let members = members_of(&deployment, &name);
        deployment.check_gang(&name, members, MAX_PARTIAL_MS);
    }
}

fn submit_through(caller: &Caller, name: &str) {
    wait_until(name, || {
        let answer = caller.submit(name, &job(3, 4, "sleep:1500"));
        matches!(answer, Ok(JobAnswer::Accepted { .. }))
    });
}

/// Returns the number of gang members of the last attempt, which depends on its placement.
fn members_of(deployment: &Deployment, name: &str) -> usize {
    let intervals = deployment.intervals_of(name);
    let last = intervals.iter().map(|i| i.attempt).max();
    let members = intervals.iter().filter(|i| Some(i.attempt) == last);
    members
        .map(|i| i.member)
        .max()
        .map_or(0, |m| m as usize + 1)
}
