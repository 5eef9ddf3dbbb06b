//! A request that may not be repeated runs at most once, whoever is killed, frozen or cut off.
//!
//! Every caller asks again with the same key, at one entry after the other, until it has its
//! answer; the backend servers' records then show each key at most once.

use std::{thread::sleep, time::Duration};

use standins::{
    harness::{
        Deployment, Load, LoadShape, Signal, TrackedRequest, contradicted_answers, repeated_keys,
    },
    log::LogMode,
    relay::LinkMode,
};

/// Longer than the time after which a silent process counts as lost.
const FREEZE: Duration = Duration::from_secs(5);

/// Requests that are done between two faults.
const REQUESTS_PER_PHASE: usize = 50;

fn load(deployment: &Deployment) -> Load {
    // Many requests are under way at each fault, and their callers ask again until the owners
    // of the keys have changed and settled.
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

/// An agent is killed with its grants and its kept outcomes. It owned a third of the keys, and it
/// ran requests whose answers are lost with it. Its successor, and the other owners of its keys,
/// must not run any of them again.
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

/// An agent is paused until the others take its keys over, and then goes on with all its grants.
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

/// An entry dies with the requests it was requests, which its callers then send to the other one.
/// Its successor starts; then the other entry is paused and goes on.
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

/// All links to one entry break again and again in the middle of requests and answers.
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

/// The log is down, and then an agent dies. Requests go on as far as they can; no key runs twice,
/// also when the log is back and the owners change.
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
