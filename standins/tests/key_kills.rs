//! A request that is not repeatable runs at most once, whichever process is killed, suspended or
//! disconnected.
//!
//! Every caller sends its request with the same key to the entries in turn until it is answered.
//! The backend servers' records must then show each key at most once.

use std::{thread::sleep, time::Duration};

use standins::{
    harness::{
        Deployment, Load, LoadShape, Signal, TrackedRequest, contradicted_answers, repeated_keys,
    },
    log::LogMode,
    relay::LinkMode,
};

/// Suspension time, longer than the time after which a silent process is considered lost.
const FREEZE: Duration = Duration::from_secs(5);

/// Requests that are done between two faults.
const REQUESTS_PER_PHASE: usize = 50;

fn load(deployment: &Deployment) -> Load {
    // Many requests are in flight at each fault, and their callers retry for long enough that the
    // change of key owners is complete.
    let shape = LoadShape {
        callers: 24,
        work_ms: 200,
        attempts: 20,
        ..LoadShape::default()
    };
    Load::start(deployment.callers(), shape)
}

fn check(deployment: &Deployment, requests: &[TrackedRequest]) {
    let records = deployment.backend_records();
    assert_eq!(records.len(), deployment.backends.len());
    assert_eq!(repeated_keys(&records), []);
    assert_eq!(
        contradicted_answers(requests, &records),
        Vec::<String>::new()
    );
}

/// An agent that owns a third of the keys is killed, and its grants, stored outcomes and unsent
/// answers are lost. Neither its restarted process nor the new owners of its keys may run any of
/// these requests again.
#[test]
fn owner_killed() {
    let mut deployment = Deployment::builder().slots(8).start();
    let load = load(&deployment);
    load.wait_for_done(REQUESTS_PER_PHASE);
    for owner in 0..2 {
        deployment.agents[owner].child.kill();
        load.wait_for_done(REQUESTS_PER_PHASE);
        deployment.restart_agent(owner);
        load.wait_for_done(REQUESTS_PER_PHASE);
    }
    check(&deployment, &load.stop());
}

/// An agent is suspended until the others have taken over its keys, and resumes with all its
/// grants.
#[test]
fn owner_frozen() {
    let deployment = Deployment::builder().slots(8).start();
    let load = load(&deployment);
    load.wait_for_done(REQUESTS_PER_PHASE);
    for owner in 0..2 {
        deployment.agents[owner].child.signal(Signal::Stop);
        sleep(FREEZE);
        deployment.agents[owner].child.signal(Signal::Continue);
        load.wait_for_done(REQUESTS_PER_PHASE);
    }
    check(&deployment, &load.stop());
}

/// An entry is killed with its pending requests, which their callers then send to the other entry.
/// After its restart, the other entry is suspended and resumed.
#[test]
fn entry_killed() {
    let mut deployment = Deployment::builder().slots(8).start();
    let load = load(&deployment);
    load.wait_for_done(REQUESTS_PER_PHASE);
    deployment.entries[0].child.kill();
    load.wait_for_done(REQUESTS_PER_PHASE);
    deployment.restart_entry(0);
    load.wait_for_done(REQUESTS_PER_PHASE);
    deployment.entries[1].child.signal(Signal::Stop);
    sleep(FREEZE);
    deployment.entries[1].child.signal(Signal::Continue);
    load.wait_for_done(REQUESTS_PER_PHASE);
    check(&deployment, &load.stop());
}

/// All peer links to one entry are repeatedly cut or frozen during requests and answers.
#[test]
fn links_cut() {
    let deployment = Deployment::builder().slots(8).start();
    let load = load(&deployment);
    for round in 0..6 {
        let link = deployment.entries[round % 2].peer_link.as_ref().unwrap();
        let fault = [LinkMode::Cut, LinkMode::Frozen][round / 3];
        link.set_mode(fault);
        sleep(Duration::from_millis(700));
        link.set_mode(LinkMode::Pass);
        load.wait_for_done(REQUESTS_PER_PHASE);
    }
    check(&deployment, &load.stop());
}

/// An agent is killed and restarted during a log outage, while callers keep sending requests. No
/// key may run twice, also not when the key owners change after the outage.
#[test]
fn killed_in_outage() {
    let mut deployment = Deployment::builder().slots(8).start();
    let load = load(&deployment);
    load.wait_for_done(REQUESTS_PER_PHASE);
    deployment.set_log(LogMode::Refuse);
    sleep(FREEZE);
    deployment.agents[0].child.kill();
    sleep(FREEZE);
    deployment.restart_agent(0);
    sleep(FREEZE);
    deployment.set_log(LogMode::Up);
    load.wait_for_done(REQUESTS_PER_PHASE);
    check(&deployment, &load.stop());
}
