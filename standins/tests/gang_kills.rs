//! No gang runs partially when processes are killed or the log is down.
//!
//! The tests bound the longest time during which some members of an attempt ran and others did
//! not, according to the workers' records.

use dragonflyrun::process::JobState;
use standins::{
    harness::{Deployment, Signal, job, wait_until},
    log::LogMode,
};

/// Maximum partial run time in milliseconds: the gang lease of 3 s plus 1 s for a busy machine.
const MAX_PARTIAL_MS: u64 = 4_000;

const GANG: &str = "reconstruction";
const MEMBERS: usize = 3;

/// Submits the gang, waits until all its members run, and returns the number of their attempt.
fn start_gang(deployment: &Deployment) -> u32 {
    deployment.submit(GANG, &job(3, 8, "forever"));
    deployment.wait_for_gang(GANG, MEMBERS, 0)
}

/// The agent of one member is killed with its state. Its worker must stop the tasks when their
/// lease lapses, and the other members must stop too instead of occupying accelerators while they
/// wait for the lost member. After the agent has restarted, all members run again.
#[test]
fn agent_killed() {
    let mut deployment = Deployment::builder().start();
    let first = start_gang(&deployment);
    deployment.agents[0].child.kill();
    wait_until("all members to stop", || {
        deployment.running_members(GANG, first) == 0
    });
    deployment.check_gang(GANG, MEMBERS, MAX_PARTIAL_MS);
    deployment.restart_agent(0);
    deployment.wait_for_gang(GANG, MEMBERS, first);
    deployment.check_gang(GANG, MEMBERS, MAX_PARTIAL_MS);
}

/// A worker is killed with its tasks, as when a host loses power. The other members must stop.
#[test]
fn worker_killed() {
    let mut deployment = Deployment::builder().start();
    let first = start_gang(&deployment);
    deployment.kill_worker(1);
    wait_until("all members to stop", || {
        deployment.running_members(GANG, first) == 0
    });
    deployment.check_gang(GANG, MEMBERS, MAX_PARTIAL_MS);
}

/// The planner is killed while a gang runs. The gang must run on without interruption, and a
/// cancellation by the next planner must reach all members.
#[test]
fn planner_killed() {
    let mut deployment = Deployment::builder().start();
    let first = start_gang(&deployment);
    let planner = deployment.planner();
    deployment.entries[planner].child.kill();
    wait_until("another planner", || deployment.planner() != planner);
    assert_eq!(deployment.running_members(GANG, first), MEMBERS);
    assert_eq!(deployment.intervals_of(GANG).len(), MEMBERS);
    let other = deployment.caller(1 - planner);
    wait_until("the cancellation", || other.cancel(GANG).is_ok());
    wait_until("all members to stop", || {
        deployment.running_members(GANG, first) == 0
    });
    deployment.check_gang(GANG, MEMBERS, MAX_PARTIAL_MS);
}

/// The log is down for three times the gang lease while a gang runs. No member may stop.
#[test]
fn outage_while_running() {
    let deployment = Deployment::builder().start();
    let first = start_gang(&deployment);
    deployment.set_log(LogMode::Refuse);
    std::thread::sleep(std::time::Duration::from_secs(9));
    assert_eq!(deployment.running_members(GANG, first), MEMBERS);
    deployment.set_log(LogMode::Up);
    deployment.caller(0).cancel(GANG).unwrap();
    deployment.wait_for_end(GANG, JobState::Cancelled);
    assert_eq!(deployment.intervals_of(GANG).len(), MEMBERS);
    deployment.check_gang(GANG, MEMBERS, MAX_PARTIAL_MS);
}

/// The log loses the answers to appends, refuses calls or hangs while jobs are started, so the
/// planner does not know whether its start records are stored. Each accepted job must finish, and
/// none may run partially or in two attempts at once.
#[test]
fn outage_at_start() {
    let deployment = Deployment::builder().start();
    let faults = [LogMode::LoseAppends, LogMode::Refuse, LogMode::Hang];
    for (number, fault) in faults.into_iter().enumerate() {
        let name = format!("{GANG}-{number}");
        deployment.submit(&name, &job(3, 8, "sleep:500"));
        deployment.set_log(fault);
        std::thread::sleep(std::time::Duration::from_secs(3));
        deployment.set_log(LogMode::Up);
        deployment.wait_for_end(&name, JobState::Finished);
        deployment.check_gang(&name, MEMBERS, MAX_PARTIAL_MS);
    }
}

/// All agents are stopped at the same time, as in a hasty rollout. Each must stop its member.
#[test]
fn agents_stopped() {
    let mut deployment = Deployment::builder().start();
    let first = start_gang(&deployment);
    for agent in &deployment.agents {
        agent.child.signal(Signal::Terminate);
    }
    for agent in &mut deployment.agents {
        assert!(agent.child.wait().success());
    }
    wait_until("all members to stop", || {
        deployment.running_members(GANG, first) == 0
    });
    deployment.check_gang(GANG, MEMBERS, MAX_PARTIAL_MS);
}
