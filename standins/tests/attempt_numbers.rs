//! The answer to a caller states the number of its next attempt.

use std::time::Duration;

use oxhttp::model::Method;
use serde::Deserialize;
use standins::{
    harness::{Deployment, SERVICE},
    http,
};

const TIMEOUT: Duration = Duration::from_secs(20);

#[derive(Deserialize)]
struct FailureBody {
    outcome: String,
    reason: Option<String>,
    next_attempt: u32,
}

fn send(deployment: &Deployment, service: &str, headers: &[(&str, &str)]) -> FailureBody {
    let path = format!("/v1/services/{service}/requests");
    let entry = deployment.entries[0].http;
    let answer = http::call(entry, Method::POST, &path, headers, Vec::new(), TIMEOUT);
    answer.unwrap().json().unwrap()
}

/// A caller that sends no attempt number repeats a request after a broken connection. A key owner
/// without a record of the first attempt would run it a second time, so the request must be
/// refused. A caller that counts its attempts must learn the next number.
#[test]
fn next_attempt() {
    let deployment = Deployment::builder().start();
    let key = ("Idempotency-Key", "booth-7");
    for headers in [&[key][..], &[key, ("Dragonfly-Attempt", "0")][..]] {
        let refused = send(&deployment, SERVICE, headers);
        assert_eq!(refused.outcome, "not_run");
        assert_eq!(refused.reason.as_deref(), Some("malformed"));
    }
    let refused = send(&deployment, "nobody", &[key, ("Dragonfly-Attempt", "1")]);
    assert_eq!(refused.reason.as_deref(), Some("unknown_service"));
    assert_eq!(refused.next_attempt, 1);
    // The key owners have just started, so an earlier attempt may have run without their knowledge.
    let unknown = send(&deployment, SERVICE, &[key, ("Dragonfly-Attempt", "3")]);
    assert_eq!(unknown.outcome, "unknown");
    assert_eq!(unknown.next_attempt, 4);
    let records = deployment.backend_records();
    let mut runs = records.iter().flat_map(|r| &r.runs);
    assert!(runs.all(|run| run.key.as_deref() != Some("booth-7")));
}
