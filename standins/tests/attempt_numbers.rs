//! What a caller reads about the number of its next attempt.

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

/// A caller that does not count its attempts repeats a booking after a broken connection. Taken for
/// a first attempt by an owner of the key that does not know of the first, it could run twice; so
/// it is refused before it runs. One that counts is told which number comes next.
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
    // The owners have known all keys for seconds only, and an earlier attempt may have run.
    let unknown = send(&deployment, SERVICE, &[key, ("Dragonfly-Attempt", "3")]);
    assert_eq!(unknown.outcome, "unknown");
    assert_eq!(unknown.next_attempt, 4);
    let records = deployment.backend_records();
    let mut runs = records.iter().flat_map(|r| &r.runs);
    assert!(runs.all(|run| run.key.as_deref() != Some("booth-7")));
}
