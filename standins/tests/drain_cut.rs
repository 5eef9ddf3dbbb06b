//! Nothing starts in a failure domain a few seconds after operators have taken it out.

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

/// Time after the edit within which a start may still have been under way.
const MAX_LATE_START_MS: u64 = 6_000;

/// How long the failure domain stays out.
const OUT_OF_SERVICE_MS: u64 = 12_000;

const DRAINED_DOMAIN: &str = "judenburg";

/// Keeps small jobs and requests coming while the domain is out, then returns it and waits until
/// something starts there, which shows that it could have before.
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
        "a request ran there"
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

/// The agent of the only worker in the domain can't reach the log, so it can't read the edit there.
#[test]
fn agent_cut_off() {
    let deployment = Deployment::builder().start();
    deployment.agents[2].log_link.set_mode(LinkMode::Frozen);
    deployment.set_in_service(DRAINED_DOMAIN, false);
    drain_under_load(&deployment, unix_ms());
}

/// The planner is paused before the edit and goes on some seconds after it, with the old document.
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

/// The agent itself is paused with orders in its buffers, and goes on after the edit.
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
