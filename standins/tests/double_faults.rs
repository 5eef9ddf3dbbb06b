//! Every guarantee holds with two faults at the same time.

use std::{thread::sleep, time::Duration};

use dragonflyrun::process::JobState;
use standins::{
    harness::{
        Deployment,
        Load,
        LoadShape,
        contradicted_answers,
        job,
        repeated_keys,
        starts_in_domain_after,
        unix_ms,
        wait_until, //
    },
    log::LogMode,
};

/// Maximum partial run time in milliseconds: the gang lease of 3 s plus 1 s for a busy machine.
const MAX_PARTIAL_MS: u64 = 4_000;
/// Maximum time in milliseconds from a drain to the last start in the failure domain.
const MAX_LATE_START_MS: u64 = 6_000;

/// The planner and the agent of a gang member are killed during a log outage under load. All
/// members must stop; after the outage the job must run again and finish.
#[test]
fn outage_and_kills() {
    let mut deployment = Deployment::builder().start();
    deployment.submit("reconstruction", &job(3, 8, "sleep:6000"));
    let first = deployment.wait_for_gang("reconstruction", 3, 0);
    let load = Load::start(deployment.callers(), LoadShape::default());
    load.wait_for_done(50);
    let planner = deployment.planner();
    deployment.set_log(LogMode::Refuse);
    deployment.entries[planner].child.kill();
    deployment.agents[0].child.kill();
    wait_until("all members to stop", || {
        deployment.running_members("reconstruction", first) == 0
    });
    deployment.restart_entry(planner);
    deployment.restart_agent(0);
    deployment.set_log(LogMode::Up);
    deployment.wait_for_end("reconstruction", JobState::Finished);
    deployment.check_gang("reconstruction", 3, MAX_PARTIAL_MS);
    load.wait_for_done(50);
    let requests = load.stop();
    let records = deployment.backend_records();
    assert_eq!(repeated_keys(&records), []);
    assert_eq!(
        contradicted_answers(&requests, &records),
        Vec::<String>::new()
    );
}

/// A failure domain is drained during a burst of jobs, and then the log hangs. No job may start
/// there, and each must finish after the outage.
#[test]
fn drain_burst_outage() {
    let deployment = Deployment::builder().start();
    for number in 0..20 {
        deployment.submit(&format!("grading-{number}"), &job(1, 4, "sleep:1000"));
    }
    deployment.set_in_service("judenburg", false);
    let drained = unix_ms();
    deployment.set_log(LogMode::Hang);
    sleep(Duration::from_secs(4));
    deployment.set_log(LogMode::Up);
    for number in 0..20 {
        deployment.wait_for_end(&format!("grading-{number}"), JobState::Finished);
    }
    let late = starts_in_domain_after(
        &deployment.intervals(),
        "judenburg",
        drained + MAX_LATE_START_MS,
    );
    assert!(late.is_empty(), "{late:#?}");
}

/// Many jobs are cancelled while the log loses the answers to appends. Each job must end, either
/// cancelled or because it had finished before, and no task may be left on a worker.
#[test]
fn lost_answers() {
    let deployment = Deployment::builder().start();
    for number in 0..12 {
        deployment.submit(&format!("grading-{number}"), &job(1, 4, "sleep:2000"));
    }
    deployment.set_log(LogMode::LoseAppends);
    let callers = deployment.callers();
    for number in 0..12 {
        // The outcome may be unknown; the cancellation is repeated below.
        let _ = callers[number % 2].cancel(&format!("grading-{number}"));
    }
    deployment.set_log(LogMode::Up);
    for number in 0..12 {
        let name = format!("grading-{number}");
        wait_until("the job to be cancelled or to end", || {
            let _ = callers[0].cancel(&name);
            !matches!(
                deployment.job(&name).state,
                JobState::Waiting | JobState::Running
            )
        });
    }
    wait_until("all tasks to stop", || {
        deployment
            .intervals()
            .iter()
            .all(|i| i.stopped_unix_ms.is_some())
    });
}
