//! The start of the daemon, and unauthorized calls to its listeners.

use std::{
    fs,
    net::TcpListener,
    process::{Command, Output, Stdio},
    time::Duration,
};

use oxhttp::model::Method;
use standins::{
    editor::unique,
    harness::{Deployment, SERVICE, binary, wait_until},
    http,
};

const TIMEOUT: Duration = Duration::from_secs(10);

fn start_with(settings: &str) -> Output {
    let path = std::env::temp_dir().join(unique("settings"));
    fs::write(&path, settings).unwrap();
    let output = Command::new(binary("dragonflyrund"))
        .arg("--config")
        .arg(&path)
        .output()
        .unwrap();
    fs::remove_file(&path).unwrap();
    output
}

fn error(output: &Output) -> String {
    assert!(!output.status.success());
    assert!(output.stdout.is_empty());
    String::from_utf8(output.stderr.clone()).unwrap()
}

/// Several settings are invalid. The daemon must report all of them at once and must not start with
/// the valid ones.
#[test]
fn bad_settings() {
    let text = error(&start_with(
        r#"{"role":"agent","name":"worker-1","http":"here","secret":"short","threads":0}"#,
    ));
    for place in [
        "/http",
        "/log",
        "/secret",
        "/failure_domain",
        "/rack",
        "/threads",
    ] {
        assert!(text.contains(place), "{place} is missing in: {text}");
    }
    let text = error(&start_with(r#"{"role":"entry","nmae":"entry-1"}"#));
    assert!(text.contains("nmae"), "{text}");
    error(&start_with("not JSON"));
}

/// With `--check` the daemon only checks the settings file. It must exit instead of starting.
#[test]
fn check_only() {
    let path = std::env::temp_dir().join(unique("settings"));
    fs::write(
        &path,
        r#"{"role":"entry","name":"entry-1","http":"127.0.0.1:0","peers":"127.0.0.1:0",
            "log":"127.0.0.1:1","secret":"a secret of test deployments"}"#,
    )
    .unwrap();
    let mut child = Command::new(binary("dragonflyrund"))
        .args(["--check", "--config"])
        .arg(&path)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut status = None;
    wait_until("the check to end", || {
        status = child.try_wait().unwrap();
        status.is_some()
    });
    fs::remove_file(&path).unwrap();
    assert!(status.is_some_and(|s| s.success()));
}

/// Another process already listens at the address. The error must name the setting.
#[test]
fn address_in_use() {
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = taken.local_addr().unwrap();
    let text = error(&start_with(&format!(
        r#"{{"role":"entry","name":"entry-1","http":"{address}","peers":"127.0.0.1:0",
            "log":"127.0.0.1:1","secret":"a secret of test deployments"}}"#
    )));
    assert!(
        text.contains("/http") && text.contains(&address.to_string()),
        "{text}"
    );
}

/// A client without a valid token announces a backend server. If the agent accepted it, callers'
/// requests would be sent to that server.
#[test]
fn unauthorized_announcement() {
    let deployment = Deployment::builder().start();
    let agent = deployment.agents[0].http;
    let announcement = format!(
        r#"{{"name":"mine","service":"{SERVICE}","address":"127.0.0.1:9","slots":99,"connections":99}}"#
    );
    for headers in [&[][..], &[("Dragonfly-Token", "00ff")][..]] {
        let body = announcement.clone().into_bytes();
        let answer = http::call(agent, Method::POST, "/v1/backends", headers, body, TIMEOUT);
        assert_eq!(answer.unwrap().status.as_u16(), 403);
    }
    let metrics = http::call(agent, Method::GET, "/metrics", &[], Vec::new(), TIMEOUT).unwrap();
    let metrics = String::from_utf8(metrics.body).unwrap();
    let counted = metrics
        .lines()
        .any(|line| line.contains("announcement_refused") && line.trim_end().ends_with(" 2"));
    assert!(counted, "{metrics}");
}
