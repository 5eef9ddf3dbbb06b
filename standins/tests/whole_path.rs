//! A fault-free run of a deployment of separate processes: the document, requests, a gang, and a
//! graceful stop.

use std::time::Duration;

use dragonflyrun::process::JobState;
use standins::{
    backend::answer_to,
    caller::{Reply, RequestOutcome},
    harness::{Deployment, SERVICE, Signal, job, repeated_keys},
};

#[test]
fn whole_path() {
    let mut deployment = Deployment::builder().start();
    serve_requests(&deployment);
    run_gang(&deployment);
    stop_all(&mut deployment);
}

fn serve_requests(deployment: &Deployment) {
    for number in 0..12 {
        let caller = deployment.caller(number % 2);
        let body = format!(r#"{{"load":{number},"work_ms":10,"answer_bytes":100000}}"#);
        let key = format!("load-{number}");
        let reply = caller.request(
            SERVICE,
            Some(&key),
            1,
            Duration::from_secs(10),
            body.as_bytes(),
        );
        let Reply::Final(RequestOutcome::Done { status, body: got }) = reply else {
            panic!("{key}: {reply:?}");
        };
        assert_eq!(status, 200);
        assert_eq!(got, answer_to(body.as_bytes(), 100_000));
    }
    let records = deployment.backend_records();
    let keys = records
        .iter()
        .flat_map(|r| &r.runs)
        .filter_map(|r| r.key.as_deref());
    assert_eq!(keys.filter(|k| k.starts_with("load-")).count(), 12);
    assert!(repeated_keys(&records).is_empty());
}

fn run_gang(deployment: &Deployment) {
    deployment.submit("reconstruction", &job(3, 8, "sleep:1000"));
    deployment.wait_for_end("reconstruction", JobState::Finished);
    let mut members: Vec<u32> = deployment
        .intervals_of("reconstruction")
        .iter()
        .map(|i| i.member)
        .collect();
    members.sort_unstable();
    assert_eq!(members, [0, 1, 2]);
}

fn stop_all(deployment: &mut Deployment) {
    for daemon in deployment.entries.iter_mut().chain(&mut deployment.agents) {
        daemon.child.signal(Signal::Terminate);
        assert!(daemon.child.wait().success(), "{}", daemon.child.name());
    }
    for backend in &deployment.backends {
        backend.child.signal(Signal::Terminate);
    }
    for backend in &mut deployment.backends {
        assert!(backend.child.wait().success(), "{}", backend.child.name());
    }
}
