//! A planned stop cuts off no request, and a leaving backend server gets no new work.

use standins::{
    backend::BackendControl,
    harness::{
        Asked,
        Deployment,
        Load,
        LoadShape,
        Signal,
        doubled_keys,
        unix_ms,
        untrue_answers,
        wait_until, //
    },
};

const SOME: usize = 60;

/// Time after which a leaving backend server gets no new work.
const LEAVING_MS: u64 = 3_000;

fn load(deployment: &Deployment) -> Load {
    let shape = LoadShape {
        work_ms: 100,
        answer_bytes: 300_000,
        ..LoadShape::default()
    };
    Load::start(deployment.callers(), shape)
}

/// A connection that was refused because the process had gone is no request that was cut off: the
/// platform's balancer no longer sends there.
fn check(deployment: &Deployment, asked: &[Asked]) {
    let cut_off: Vec<String> = asked
        .iter()
        .filter(|a| a.was_cut_off())
        .map(Asked::story)
        .collect();
    assert!(cut_off.is_empty(), "{cut_off:#?}");
    assert!(asked.iter().all(Asked::is_done));
    let records = deployment.backend_records();
    assert_eq!(doubled_keys(&records), []);
    assert_eq!(untrue_answers(asked, &records), Vec::<String>::new());
}

/// An entry is stopped for an upgrade while callers wait for large answers, and started again.
#[test]
fn entry_stopped() {
    let mut deployment = Deployment::builder().start();
    let load = load(&deployment);
    load.wait_for_done(SOME);
    for number in 0..2 {
        deployment.entries[number].child.signal(Signal::Terminate);
        assert!(deployment.entries[number].child.wait().success());
        load.wait_for_done(SOME);
        deployment.restart_entry(number);
        deployment.wait_until_ready();
    }
    check(&deployment, &load.stop());
}

/// An agent is stopped while its backend server runs requests; it owns keys as well.
#[test]
fn agent_stopped() {
    let mut deployment = Deployment::builder().start();
    let load = load(&deployment);
    load.wait_for_done(SOME);
    for number in 0..2 {
        deployment.agents[number].child.signal(Signal::Terminate);
        assert!(deployment.agents[number].child.wait().success());
        load.wait_for_done(SOME);
        deployment.restart_agent(number);
        load.wait_for_done(SOME);
    }
    check(&deployment, &load.stop());
}

/// A backend server announces that it is leaving. It gets no new work after the stated time, and
/// what it had begun is answered.
#[test]
fn backend_leaving() {
    let mut deployment = Deployment::builder().start();
    let load = load(&deployment);
    load.wait_for_done(SOME);
    deployment.control_backend(
        0,
        BackendControl {
            leaving: Some(true),
            ..BackendControl::default()
        },
    );
    let left = unix_ms();
    wait_until("some seconds of load", || unix_ms() > left + 2 * LEAVING_MS);
    let records = deployment.backend_records();
    let late = records[0]
        .runs
        .iter()
        .filter(|r| r.started_unix_ms > left + LEAVING_MS);
    assert_eq!(late.count(), 0);
    let elsewhere = records[1].runs.iter().filter(|r| r.started_unix_ms > left);
    assert!(elsewhere.count() > 0);
    check(&deployment, &load.stop());
    deployment.backends[0].child.signal(Signal::Terminate);
    assert!(deployment.backends[0].child.wait().success());
}
