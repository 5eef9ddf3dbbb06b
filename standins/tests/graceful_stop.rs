//! A graceful stop cuts off no request, and a leaving backend server gets no new requests.

use standins::{
    backend::BackendControl,
    harness::{
        Deployment,
        Load,
        LoadShape,
        Signal,
        TrackedRequest,
        contradicted_answers,
        repeated_keys,
        unix_ms,
        wait_until, //
    },
};

/// Requests that are done in each phase of a test.
const REQUESTS_PER_PHASE: usize = 60;

/// Time in milliseconds after which a leaving backend server gets no new requests.
const LAST_REQUEST_MS: u64 = 3_000;

fn load(deployment: &Deployment) -> Load {
    let shape = LoadShape {
        work_ms: 100,
        answer_bytes: 300_000,
        ..LoadShape::default()
    };
    Load::start(deployment.callers(), shape)
}

/// Checks that no request was cut off. A refused connection to a stopped process does not count,
/// since the platform's load balancer would not send requests there.
fn check(deployment: &Deployment, requests: &[TrackedRequest]) {
    let cut_off: Vec<String> = requests
        .iter()
        .filter(|a| a.was_cut_off())
        .map(TrackedRequest::summary)
        .collect();
    assert!(cut_off.is_empty(), "{cut_off:#?}");
    assert!(requests.iter().all(TrackedRequest::is_done));
    let records = deployment.backend_records();
    assert_eq!(repeated_keys(&records), []);
    assert_eq!(
        contradicted_answers(requests, &records),
        Vec::<String>::new()
    );
}

/// Each entry is stopped and restarted, as for an upgrade, while callers wait for large answers.
/// None of these may be cut off.
#[test]
fn entry_stopped() {
    let mut deployment = Deployment::builder().start();
    let load = load(&deployment);
    load.wait_for_done(REQUESTS_PER_PHASE);
    for number in 0..2 {
        deployment.entries[number].child.signal(Signal::Terminate);
        assert!(deployment.entries[number].child.wait().success());
        load.wait_for_done(REQUESTS_PER_PHASE);
        deployment.restart_entry(number);
        deployment.wait_until_ready();
    }
    check(&deployment, &load.stop());
}

/// An agent that also owns keys is stopped while its backend server runs requests. Their answers
/// must reach the callers, and no key may run twice.
#[test]
fn agent_stopped() {
    let mut deployment = Deployment::builder().start();
    let load = load(&deployment);
    load.wait_for_done(REQUESTS_PER_PHASE);
    for number in 0..2 {
        deployment.agents[number].child.signal(Signal::Terminate);
        assert!(deployment.agents[number].child.wait().success());
        load.wait_for_done(REQUESTS_PER_PHASE);
        deployment.restart_agent(number);
        load.wait_for_done(REQUESTS_PER_PHASE);
    }
    check(&deployment, &load.stop());
}

/// A backend server announces that it is leaving. It must get no new requests after the given time,
/// and the requests that it has begun must be answered.
#[test]
fn backend_leaving() {
    let mut deployment = Deployment::builder().start();
    let load = load(&deployment);
    load.wait_for_done(REQUESTS_PER_PHASE);
    deployment.control_backend(
        0,
        BackendControl {
            leaving: Some(true),
            ..BackendControl::default()
        },
    );
    let left = unix_ms();
    wait_until("requests to be sent after the server left", || {
        unix_ms() > left + 2 * LAST_REQUEST_MS
    });
    let records = deployment.backend_records();
    let late = records[0]
        .runs
        .iter()
        .filter(|r| r.started_unix_ms > left + LAST_REQUEST_MS);
    assert_eq!(late.count(), 0);
    let elsewhere = records[1].runs.iter().filter(|r| r.started_unix_ms > left);
    assert!(elsewhere.count() > 0);
    check(&deployment, &load.stop());
    deployment.backends[0].child.signal(Signal::Terminate);
    assert!(deployment.backends[0].child.wait().success());
}
