//! Runs the operators' command-line tool against a deployment of separate processes.

#![allow(clippy::unwrap_used, reason = "a helper that panics fails its test")]

use std::{
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::{Command, Output},
    time::Duration,
};

use dragonflyrun::connection::LogClient;
use serde_json::{Value, json};
use standins::{
    harness::{Deployment, EDITOR, SECRET, SERVICE, Signal, WORKSPACE, wait_until},
    log::{LogControl, LogMode, LogService}, //
};

/// The tool with a settings file in a directory of its own.
struct Tool {
    dir: PathBuf,
    settings: Value,
}

impl Tool {
    fn new(name: &str, deployment: &Deployment) -> Self {
        let entries = deployment.entries.iter();
        let entries: Vec<String> = entries.map(|e| e.http.to_string()).collect();
        Self::with(name, deployment.log.address, &entries)
    }

    fn with(name: &str, log: SocketAddr, entries: &[String]) -> Self {
        let settings = json!({
            "log": log.to_string(),
            "entries": entries,
            "editor": EDITOR,
            "secret": SECRET,
            "timeout_ms": 1_000,
            "patience_ms": 2_000,
        });
        let dir = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        let tool = Self { dir, settings };
        tool.write("dragonflyrun.json", &tool.settings);
        tool
    }

    fn write(&self, file: &str, content: &Value) {
        std::fs::write(self.dir.join(file), content.to_string()).unwrap();
    }

    fn run(&self, arguments: &[&str]) -> Output {
        let this_binary = PathBuf::from(env!("CARGO_BIN_EXE_standins"));
        Command::new(this_binary.with_file_name("dragonflyrun"))
            .current_dir(&self.dir)
            .args(arguments)
            .output()
            .unwrap()
    }

    /// Runs a command with `--json` and returns its exit code and its parsed output.
    fn json(&self, arguments: &[&str]) -> (i32, Value) {
        let output = self.run(&[arguments, &["--json"]].concat());
        let value = serde_json::from_slice(&output.stdout);
        let value = value.unwrap_or_else(|e| panic!("{arguments:?}: {e}: {output:?}"));
        (output.status.code().unwrap(), value)
    }
}

impl Drop for Tool {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

fn section(owner: &str, domains: &[(&str, bool)]) -> Value {
    let domains = domains.iter();
    let domains =
        domains.map(|(name, in_service)| json!({ "name": name, "in_service": in_service }));
    json!({ "owners": [owner], "failure_domains": domains.collect::<Vec<_>>() })
}

fn in_force_everywhere(answer: &Value) -> bool {
    let in_force = &answer["in_force"];
    let version = in_force["version"].as_u64().unwrap();
    let processes = in_force["processes"].as_array().unwrap();
    let have = |p: &Value| p["version"].as_u64().unwrap() >= version;
    processes.len() == 5 && processes.iter().all(have)
}

/// The tool must tell accepted, stale and malformed edits apart, and report after an edit, a drain
/// and a return which processes have it in force.
#[test]
fn edit_and_drain() {
    let deployment = Deployment::builder().start();
    let tool = Tool::new("edit-and-drain", &deployment);
    let (exit, shown) = tool.json(&["show", "failure-domains"]);
    assert_eq!(exit, 0);
    let base = shown["version"].to_string();
    let names = [("murau", true), ("judenburg", true), ("leoben", true)];
    tool.write("domains.json", &section(EDITOR, &names));
    let edit = ["edit", "--base", &base, "failure-domains", "domains.json"];
    let (exit, accepted) = tool.json(&edit);
    assert_eq!(
        (exit, &accepted["outcome"]),
        (0, &json!("accepted")),
        "{accepted}"
    );
    assert!(in_force_everywhere(&accepted), "{accepted}");

    let (exit, stale) = tool.json(&edit);
    assert_eq!((exit, &stale["verdict"]), (1, &json!("stale")), "{stale}");
    assert_eq!(stale["current"], accepted["version"]);

    tool.write("broken.json", &json!({ "owners": [], "colour": "green" }));
    let (exit, broken) = tool.json(&["edit", "failure-domains", "broken.json"]);
    assert_eq!(
        (exit, &broken["error"]),
        (1, &json!("findings")),
        "{broken}"
    );
    let (exit, taken) = tool.json(&["edit", "other", "domains.json"]);
    assert_eq!((exit, &taken["verdict"]), (1, &json!("invalid")), "{taken}");

    let (exit, drained) = tool.json(&["drain", "murau"]);
    assert_eq!(
        (exit, &drained["outcome"]),
        (0, &json!("accepted")),
        "{drained}"
    );
    assert!(in_force_everywhere(&drained), "{drained}");
    let (exit, again) = tool.json(&["drain", "murau"]);
    assert_eq!(
        (exit, &again["outcome"]),
        (0, &json!("unchanged")),
        "{again}"
    );
    let (_, status) = tool.json(&["status"]);
    let domains = status["entries"][0]["failure_domains"].as_array().unwrap();
    let murau = domains.iter().find(|d| d["failure_domain"] == "murau");
    assert_eq!(murau.unwrap()["in_service"], json!(false), "{status}");
    let (exit, returned) = tool.json(&["return", "murau"]);
    assert_eq!((exit, &returned["outcome"]), (0, &json!("accepted")));
    let (exit, missing) = tool.json(&["drain", "graz"]);
    assert_eq!(
        (exit, &missing["error"]),
        (1, &json!("refused")),
        "{missing}"
    );
}

/// An editor with its own key, without the secret, may edit only its own section. With a wrong key
/// every process skips the edit, and the tool must not report it as accepted.
#[test]
fn editor_key() {
    let deployment = Deployment::builder().start();
    let tool = Tool::new("own-key", &deployment);
    tool.write("team.json", &section("alice", &[("leoben", true)]));
    let (exit, _) = tool.json(&["edit", "team", "team.json"]);
    assert_eq!(exit, 0);
    let key = tool.run(&["issue-key", "alice"]).stdout;
    std::fs::write(tool.dir.join("alice.key"), key).unwrap();
    let mut settings = tool.settings.clone();
    let map = settings.as_object_mut().unwrap();
    map.remove("secret");
    map.insert("editor".to_owned(), json!("alice"));
    tool.write("alice.json", &settings);
    let alice = ["--config", "alice.json", "--key-file", "alice.key"];

    let (exit, drained) = tool.json(&[&alice[..], &["drain", "leoben"]].concat());
    assert_eq!(
        (exit, &drained["outcome"]),
        (0, &json!("accepted")),
        "{drained}"
    );
    let (exit, other) = tool.json(&[&alice[..], &["drain", "murau"]].concat());
    assert_eq!(
        (exit, &other["verdict"]),
        (1, &json!("not_owner")),
        "{other}"
    );

    let mistaken = ["--config", "alice.json", "--key-file", "guess.key"];
    std::fs::write(tool.dir.join("guess.key"), "ab".repeat(32)).unwrap();
    let (exit, guess) = tool.json(&[&mistaken[..], &["return", "leoben"]].concat());
    assert_eq!((exit, &guess["outcome"]), (3, &json!("unknown")), "{guess}");
    let (exit, forbidden) = tool.json(&[&mistaken[..], &["jobs"]].concat());
    assert_eq!(
        (exit, &forbidden["error"]),
        (1, &json!("refused")),
        "{forbidden}"
    );
    assert!(
        !deployment
            .ledger()
            .history
            .current()
            .in_service(&"leoben".into())
    );
}

/// An agent is suspended while its failure domain is drained, and an entry does not answer. The
/// tool must report which processes have the drain in force and which ones did not answer.
#[test]
fn frozen_processes() {
    let deployment = Deployment::builder().start();
    let tool = Tool::new("frozen-processes", &deployment);
    deployment.agents[0].child.signal(Signal::Stop);
    let (exit, drained) = tool.json(&["drain", "murau"]);
    assert_eq!(exit, 0, "{drained}");
    let processes = drained["in_force"]["processes"].as_array().unwrap();
    let frozen = processes.iter().find(|p| p["name"] == "worker-0").unwrap();
    assert_eq!(frozen["live"], json!(false), "{drained}");
    assert!(frozen["version"].as_u64() < drained["version"].as_u64());

    deployment.entries[1].child.signal(Signal::Stop);
    let (exit, returned) = tool.json(&["return", "murau"]);
    assert_eq!(
        (exit, &returned["outcome"]),
        (3, &json!("accepted")),
        "{returned}"
    );
    let silent = json!([deployment.entries[1].http.to_string()]);
    assert_eq!(returned["in_force"]["unanswered"], silent);

    deployment.entries[1].child.signal(Signal::Continue);
    deployment.agents[0].child.signal(Signal::Continue);
    wait_until("all processes to have the version in force", || {
        let (_, status) = tool.json(&["status"]);
        in_force_everywhere(&status) && status["in_force"]["unanswered"] == json!([])
    });
}

/// The answer to an edit that the log has stored is lost; then the log refuses all calls. The tool
/// must report the first edit as accepted and the outcome of later calls as not known.
#[test]
fn log_faults() {
    let deployment = Deployment::builder().start();
    let tool = Tool::new("log-faults", &deployment);
    deployment.set_log(LogMode::LoseAppends);
    let (exit, drained) = tool.json(&["drain", "murau"]);
    assert_eq!(
        (exit, &drained["outcome"]),
        (0, &json!("accepted")),
        "{drained}"
    );
    deployment.set_log(LogMode::Refuse);
    let (exit, refused) = tool.json(&["return", "murau"]);
    assert_eq!(
        (exit, &refused["error"]),
        (3, &json!("not_known")),
        "{refused}"
    );
    let (exit, _) = tool.json(&["show"]);
    assert_eq!(exit, 3);
    deployment.set_log(LogMode::Up);
    assert!(
        !deployment
            .ledger()
            .history
            .current()
            .in_service(&"murau".into())
    );
}

/// Submits jobs and sends requests with the tool. Repeated calls must give the same answer.
#[test]
fn jobs_and_requests() {
    let deployment = Deployment::builder().start();
    let tool = Tool::new("jobs-and-requests", &deployment);
    let job = |workspace: &str, accelerators: u32| {
        json!({
            "workspace": workspace,
            "tasks": 2,
            "accelerators": accelerators,
            "program": "sleep:60000",
        })
    };
    tool.write("job.json", &job(WORKSPACE, 2));
    let (exit, accepted) = tool.json(&["submit", "--id", "volume-1", "job.json"]);
    assert_eq!(
        (exit, &accepted["outcome"]),
        (0, &json!("accepted")),
        "{accepted}"
    );
    let (exit, again) = tool.json(&["submit", "--id", "volume-1", "job.json"]);
    assert_eq!(
        (exit, &again["outcome"]),
        (0, &json!("accepted")),
        "{again}"
    );
    wait_until("the job to run", || {
        tool.json(&["job", "volume-1"]).1["state"] == "running"
    });
    let (_, jobs) = tool.json(&["jobs"]);
    assert_eq!(jobs["jobs"].as_array().unwrap().len(), 1, "{jobs}");
    assert_eq!(tool.json(&["cancel", "volume-1"]).0, 0);
    wait_until("the job to end", || {
        tool.json(&["job", "volume-1"]).1["state"] == "cancelled"
    });
    tool.write("empty.json", &job(WORKSPACE, 0));
    let (exit, empty) = tool.json(&["submit", "empty.json"]);
    assert_eq!((exit, &empty["outcome"]), (1, &json!("not_run")), "{empty}");
    tool.write("foreign.json", &job("nobody", 1));
    let (exit, foreign) = tool.json(&["submit", "foreign.json"]);
    assert_eq!((exit, &foreign["reason"]), (1, &json!("unknown_workspace")));
    assert_eq!(tool.json(&["job", "volume-2"]).0, 1);

    std::fs::write(tool.dir.join("load.txt"), "a load of spruce").unwrap();
    let send = |attempt: &str| {
        tool.json(&[
            "request",
            "--key",
            "k1",
            "--attempt",
            attempt,
            SERVICE,
            "load.txt",
        ])
    };
    // Key owners that have just started grant no keys for a short time.
    wait_until("the key to be granted", || send("1").1["outcome"] == "done");
    let (exit, first) = send("1");
    assert_eq!((exit, &first["outcome"]), (0, &json!("done")), "{first}");
    assert_eq!(send("2"), (0, first));
    let (exit, unknown) = tool.json(&["request", "weighing"]);
    assert_eq!(
        (exit, &unknown["outcome"]),
        (1, &json!("not_run")),
        "{unknown}"
    );
}

/// The log was used before the deployment and has dropped its first records. The tool cannot tell
/// whether it has missed a configuration, so it must not append an edit that could be rejected.
#[test]
fn used_log() {
    let log = LogService::start((Ipv4Addr::LOCALHOST, 0).into()).unwrap();
    let client = LogClient::new(&log.address().to_string(), Duration::from_secs(2));
    let foreign = ["not ours".to_owned(), "nor this".to_owned()];
    client.append(&foreign).unwrap();
    let keep = Some(1);
    log.control(LogControl {
        keep,
        ..LogControl::default()
    });
    let tool = Tool::with("used-log", log.address(), &[]);
    tool.write("section.json", &json!({ "owners": [EDITOR] }));
    let (exit, unknown) = tool.json(&["edit", "administration", "section.json"]);
    assert_eq!(
        (exit, &unknown["error"]),
        (3, &json!("not_known")),
        "{unknown}"
    );
    assert_eq!(tool.json(&["show"]).0, 3);
    assert_eq!(log.status().head, 2);
}
