//! Nothing starts in a failure domain from a few seconds after it was taken out of service.

use std::{thread::sleep, time::Duration};

use dragonflyrun::process::JobState;
use standins::{
    harness::{
        Deployment,
        Load,
        LoadShape,
        Signal,
        job,
        starts_in_domain_after,
        unix_ms,
        wait_until, //
    },
    relay::LinkMode,
};

/// Maximum time in milliseconds from the edit to a start that was already in progress.
const MAX_LATE_START_MS: u64 = 6_000;

/// Time in milliseconds for which the failure domain is out of service under load.
const OUT_OF_SERVICE_MS: u64 = 12_000;

const DRAINED_DOMAIN: &str = "judenburg";

/// Submits small jobs and requests while the domain is out of service, then returns it and waits
/// for a start there, which proves that only the drain had prevented starts.
fn drain_under_load(deployment: &Deployment, drained: u64) {
    let load = Load::start(deployment.callers(), LoadShape::default());
    let until = unix_ms() + OUT_OF_SERVICE_MS;
    let mut number = 0;
    while unix_ms() < until {
        deployment.submit(&format!("grading-{number}"), &job(1, 4, "sleep:300"));
        number += 1;
        sleep(Duration::from_millis(200));
    }
    let late = drained + MAX_LATE_START_MS;
    let starts = starts_in_domain_after(&deployment.intervals(), DRAINED_DOMAIN, late);
    assert!(starts.is_empty(), "{starts:#?}");
    let records = deployment.backend_records();
    let mut runs = records[2].runs.iter();
    assert!(
        runs.all(|r| r.started_unix_ms <= late),
        "a request ran in the drained domain"
    );

    let returned = unix_ms();
    deployment.set_in_service(DRAINED_DOMAIN, true);
    wait_until("a start in the returned domain", || {
        deployment.submit(&format!("grading-{number}"), &job(1, 4, "sleep:300"));
        number += 1;
        !starts_in_domain_after(&deployment.intervals(), DRAINED_DOMAIN, returned).is_empty()
    });
    load.stop();
    for number in 0..number {
        deployment.wait_for_end(&format!("grading-{number}"), JobState::Finished);
    }
}

/// The agent of the only worker in the domain cannot reach the log, so it cannot read the edit.
#[test]
fn agent_cut_off() {
    let deployment = Deployment::builder().start();
    deployment.agents[2].log_link.set_mode(LinkMode::Frozen);
    deployment.set_in_service(DRAINED_DOMAIN, false);
    drain_under_load(&deployment, unix_ms());
}

/// The planner is suspended before the edit and resumes seconds later with the old document.
#[test]
fn planner_frozen() {
    let deployment = Deployment::builder().start();
    let planner = &deployment.entries[deployment.planner()].child;
    planner.signal(Signal::Stop);
    deployment.set_in_service(DRAINED_DOMAIN, false);
    let drained = unix_ms();
    sleep(Duration::from_secs(7));
    planner.signal(Signal::Continue);
    drain_under_load(&deployment, drained);
}

/// The agent is suspended with orders in its buffers and resumes after the edit.
#[test]
fn agent_frozen() {
    let deployment = Deployment::builder().start();
    let agent = &deployment.agents[2].child;
    agent.signal(Signal::Stop);
    for number in 0..4 {
        deployment.submit(&format!("early-{number}"), &job(1, 8, "sleep:200"));
    }
    deployment.set_in_service(DRAINED_DOMAIN, false);
    let drained = unix_ms();
    sleep(Duration::from_secs(7));
    agent.signal(Signal::Continue);
    drain_under_load(&deployment, drained);
}
