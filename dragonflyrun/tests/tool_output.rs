//! Tests the output and the exit codes of the command-line tool without a log or an entry.

#![allow(clippy::unwrap_used, reason = "a helper that panics fails its test")]

use std::{
    net::{Ipv4Addr, TcpListener},
    path::{Path, PathBuf},
    process::Command,
};

use dragonflyrun::{
    Name,
    connection::{AuthorKey, is_editor_token},
};
use serde_json::{Value, json};

struct Printed {
    exit: i32,
    out: String,
    err: String,
}

/// Runs the tool in the directory of the test data.
fn run(arguments: &[&str]) -> Printed {
    run_in(&data(""), arguments)
}

fn run_in(dir: &Path, arguments: &[&str]) -> Printed {
    let output = Command::new(env!("CARGO_BIN_EXE_dragonflyrun"))
        .current_dir(dir)
        .args(arguments)
        .output()
        .unwrap();
    Printed {
        exit: output.status.code().unwrap(),
        out: String::from_utf8(output.stdout).unwrap(),
        err: String::from_utf8(output.stderr).unwrap(),
    }
}

fn data(file: &str) -> PathBuf {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR"));
    dir.join("tests/data").join(file)
}

fn json_of(printed: &Printed) -> Value {
    serde_json::from_str(&printed.out).unwrap()
}

#[test]
fn check_prints() {
    let valid = run(&["check", "murtal.json"]);
    assert_eq!((valid.exit, &*valid.err), (0, ""), "{}", valid.out);
    let invalid = run(&["check", "invalid.json"]);
    assert_eq!(invalid.exit, 1);
    assert_eq!(
        invalid.out,
        std::fs::read_to_string(data("invalid-findings.txt")).unwrap()
    );
    let invalid = run(&["check", "--json", "invalid.json"]);
    let findings = json_of(&invalid);
    assert_eq!(findings["valid"], json!(false));
    let places = findings["findings"].as_array().unwrap();
    assert!(
        places
            .iter()
            .all(|f| f["place"].is_string() && f["what"].is_string())
    );
    let section = run(&["check", "--section", "murtal", "section.json"]);
    assert_eq!(section.exit, 0, "{}", section.out);
    let document = run(&["check", "section.json"]);
    assert_eq!(document.exit, 1, "{}", document.out);
}

/// The explanation is compared as a whole, as operators rely on each sentence of it.
#[test]
fn explain_prints() {
    let explained = run(&["explain", "murtal.json"]);
    assert_eq!((explained.exit, &*explained.err), (0, ""));
    let expected = std::fs::read_to_string(data("murtal-explained.txt")).unwrap();
    assert_eq!(explained.out, expected);
    let explained = json_of(&run(&["explain", "--json", "murtal.json"]));
    let topics = explained["topics"].as_array().unwrap();
    let leoben = topics.iter().find(|t| t["name"] == "leoben").unwrap();
    assert_eq!(
        leoben["place"],
        "/sections/murtal-cluster/failure_domains/2"
    );
    assert_eq!(leoben["kind"], "failure_domain");
    let invalid = run(&["explain", "--json", "invalid.json"]);
    assert_eq!(
        (invalid.exit, &json_of(&invalid)["error"]),
        (1, &json!("findings"))
    );
}

/// Wrong commands, missing settings and missing files are usage errors. Nothing is attempted, and
/// the exit code differs from that of a refusal.
#[test]
fn wrong_usage() {
    let cases: [&[&str]; 10] = [
        &[],
        &["frobnicate"],
        &["check"],
        &["check", "no-such-file.json"],
        &["edit", "--base", "seven", "a", "section.json"],
        &["edit", "a", "section.json"],
        &["status"],
        &["--config", "no-such-file.json", "status"],
        &["--config", "invalid.json", "status"],
        &[
            "--log",
            "localhost",
            "--entry",
            "here:1",
            "--editor",
            "/",
            "show",
        ],
    ];
    for arguments in cases {
        let printed = run(arguments);
        assert_eq!(printed.exit, 2, "{arguments:?}: {}", printed.err);
        assert!(printed.err.starts_with("dragonflyrun: "), "{arguments:?}");
        assert_eq!(printed.out, "", "{arguments:?}");
    }
    let errors = run(cases[9]).err;
    for place in ["/log", "/entries/0", "/editor"] {
        assert!(errors.contains(place), "{errors}");
    }
    let help = run(&["--help"]);
    assert!(help.exit == 0 && help.out.contains("issue-key"));
}

/// If nothing listens at the log and the entries, the outcome of a read is unknown, and a call that
/// was not made is reported as not made.
#[test]
fn nothing_listens() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap().to_string();
    drop(listener);
    let dir = std::env::temp_dir().join(format!("tool-output-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let settings = json!({
        "log": address,
        "entries": [address],
        "editor": "root",
        "secret": "a secret of the deployment",
        "patience_ms": 0,
    });
    std::fs::write(dir.join("dragonflyrun.json"), settings.to_string()).unwrap();
    std::fs::copy(data("section.json"), dir.join("section.json")).unwrap();
    let job = json!({ "workspace": "audit", "tasks": 1, "accelerators": 1 });
    std::fs::write(dir.join("job.json"), job.to_string()).unwrap();
    let cases: [(&[&str], i32, &str); 8] = [
        (&["show"], 3, "error"),
        (&["edit", "a", "section.json"], 3, "not_sent"),
        (&["drain", "murau"], 3, "error"),
        (&["status"], 3, "error"),
        (&["workspaces"], 3, "error"),
        (&["workers"], 3, "error"),
        (&["submit", "job.json"], 3, "error"),
        (&["request", "grade-check"], 1, "not_run"),
    ];
    for (arguments, exit, outcome) in cases {
        let printed = run_in(&dir, &[arguments, &["--json"]].concat());
        assert_eq!(printed.exit, exit, "{arguments:?}: {}", printed.out);
        let answer = json_of(&printed);
        let reported = answer["outcome"].as_str().unwrap_or("error");
        assert_eq!(reported, outcome, "{arguments:?}: {answer}");
    }
    std::fs::remove_dir_all(&dir).unwrap();
}

/// An editor's key authenticates that editor only, and no other editor or process.
#[test]
fn issued_keys() {
    let secret = "a secret of the deployment";
    let alice: Name = "alice".into();
    let key = AuthorKey::of_editor(secret, &alice).to_hex();
    assert!(is_editor_token(secret, "alice", &key));
    for (editor, token) in [
        ("bob", &*key),
        ("alice", ""),
        ("alice", "zz"),
        ("", &key),
        ("", ""),
    ] {
        assert!(!is_editor_token(secret, editor, token), "{editor}: {token}");
    }
    let process = AuthorKey::derive(secret, &alice).to_hex();
    assert!(!is_editor_token(secret, "alice", &process));
    assert_ne!(process, key);
}
