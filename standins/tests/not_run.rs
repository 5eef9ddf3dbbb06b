//! A request answered with "not run" did not run, and "done" carries the complete answer to this
//! request.

use std::{thread::sleep, time::Duration};

use standins::{
    backend::{BackendControl, BackendMode},
    caller::Reply,
    harness::{Deployment, Load, LoadShape, Signal, TrackedRequest, contradicted_answers},
};

/// Requests that are done in each phase of a test.
const REQUESTS_PER_PHASE: usize = 40;

fn check(deployment: &Deployment, requests: &[TrackedRequest]) {
    let records = deployment.backend_records();
    assert_eq!(records.len(), deployment.backends.len());
    assert_eq!(
        contradicted_answers(requests, &records),
        Vec::<String>::new()
    );
}

fn refusals(requests: &[TrackedRequest]) -> usize {
    let replies = requests.iter().flat_map(|a| &a.replies);
    replies.filter(|r| r.is_not_run()).count()
}

/// Far more callers than slots, with short deadlines: requests are refused in queues, at their
/// deadlines and by agents, while an agent and an entry are killed. A request that was refused in
/// every attempt must not have run.
#[test]
fn overload_with_kills() {
    let mut deployment = Deployment::builder().slots(1).start();
    let shape = LoadShape {
        callers: 40,
        work_ms: 60,
        deadline_ms: 150,
        attempts: 2,
        ..LoadShape::default()
    };
    let load = Load::start(deployment.callers(), shape);
    load.wait_for_done(REQUESTS_PER_PHASE);
    deployment.agents[1].child.kill();
    load.wait_for_done(REQUESTS_PER_PHASE);
    deployment.restart_agent(1);
    deployment.entries[0].child.kill();
    load.wait_for_done(REQUESTS_PER_PHASE);
    deployment.restart_entry(0);
    load.wait_for_done(REQUESTS_PER_PHASE);
    let requests = load.stop();
    check(&deployment, &requests);
    assert!(
        refusals(&requests) > 0,
        "the load was too low to cause refusals"
    );
    let in_use = deployment.backend_records();
    assert!(
        in_use.iter().all(|r| r.most_running <= 1),
        "more concurrent runs than slots"
    );
}

/// Backend servers truncate answers, fail, refuse requests and are suspended. A caller may learn
/// that the outcome is unknown, but must never get a partial answer as a complete one, nor "not
/// run" for a request that ran.
#[test]
fn bad_backends() {
    let deployment = Deployment::builder().start();
    let shape = LoadShape {
        answer_bytes: 200_000,
        attempts: 2,
        ..LoadShape::default()
    };
    let load = Load::start(deployment.callers(), shape);
    for mode in [
        BackendMode::Truncating,
        BackendMode::Failing,
        BackendMode::Refusing,
    ] {
        set(&deployment, 0, mode);
        load.wait_for_done(REQUESTS_PER_PHASE);
    }
    set(&deployment, 0, BackendMode::Up);
    deployment.backends[1].child.signal(Signal::Stop);
    sleep(Duration::from_secs(2));
    deployment.backends[1].child.signal(Signal::Continue);
    load.wait_for_done(REQUESTS_PER_PHASE);
    let requests = load.stop();
    check(&deployment, &requests);
    let replies = requests.iter().flat_map(|a| &a.replies);
    assert!(
        replies
            .filter(|r| !matches!(r, Reply::Broken(_)))
            .any(|r| !r.is_done())
    );
}

fn set(deployment: &Deployment, number: usize, mode: BackendMode) {
    deployment.control_backend(
        number,
        BackendControl {
            mode: Some(mode),
            ..BackendControl::default()
        },
    );
}
