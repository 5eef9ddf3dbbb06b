//! Tests that operators are told the true outcome of their edits, despite concurrent edits and lost
//! answers to appends.

#![allow(clippy::unwrap_used, reason = "a helper that panics fails its test")]

mod seeds;

use std::{cell::RefCell, time::Duration};

use arbtest::arbitrary::{Result as ArbResult, Unstructured};
use dragonflyrun::{
    Name,
    connection::{AuthorKey, Edit, LogError, LogPage, LogRecord, RecordBody},
    process::Ledger,
    tool::{Log, LogReader, Opener, Published, Publisher},
    version::{RawSection, Verdict},
};
use seeds::each_seed;
use serde_json::{Value, json};

const SECRET: &str = "a secret of the deployment";

/// A fault of one call to the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    /// The call succeeds.
    None,
    /// The call is refused and has no effect.
    Refused,
    /// The call has no effect, and no answer arrives.
    Dropped,
    /// The call takes effect, but the answer is lost.
    AnswerLost,
    /// The call takes effect after the next call, and no answer arrives.
    Delayed,
}

/// A log in memory with faults for the next calls, and a default fault for the calls after them.
#[derive(Default)]
struct FaultyLog {
    state: RefCell<State>,
}

#[derive(Default)]
struct State {
    records: Vec<String>,
    delayed: Vec<String>,
    faults: Vec<Fault>,
    default_fault: Option<Fault>,
}

impl State {
    fn next_fault(&mut self) -> Fault {
        self.faults
            .pop()
            .or(self.default_fault)
            .unwrap_or(Fault::None)
    }
}

impl FaultyLog {
    /// Sets the faults of the next calls in their order, and the fault of all calls after them.
    fn set_faults(&self, faults: &[Fault], default_fault: Fault) {
        let mut state = self.state.borrow_mut();
        state.faults = faults.iter().rev().copied().collect();
        state.default_fault = Some(default_fault);
    }

    /// Clears all faults; delayed appends arrive.
    fn clear_faults(&self) {
        let mut state = self.state.borrow_mut();
        state.faults.clear();
        state.default_fault = None;
        let delayed = std::mem::take(&mut state.delayed);
        state.records.extend(delayed);
    }

    fn ledger(&self) -> Ledger {
        let mut ledger = Ledger::default();
        for (offset, data) in (0..).zip(&self.state.borrow().records) {
            let data = data.clone();
            ledger.fold(&LogRecord { offset, data }, SECRET);
        }
        ledger
    }

    fn version_of(&self, section: &str) -> u64 {
        let ledger = self.ledger();
        ledger
            .history
            .section_versions()
            .get(section)
            .copied()
            .unwrap_or(0)
    }
}

fn uncertain<T>() -> Result<T, LogError> {
    Err(LogError::Uncertain("cut off".to_owned()))
}

impl Log for &FaultyLog {
    fn append(&self, records: &[String]) -> Result<u64, LogError> {
        let mut state = self.state.borrow_mut();
        let delayed = std::mem::take(&mut state.delayed);
        let fault = state.next_fault();
        let first = state.records.len() as u64;
        if matches!(fault, Fault::None | Fault::AnswerLost) {
            state.records.extend_from_slice(records);
        }
        state.records.extend(delayed);
        match fault {
            Fault::None => Ok(first),
            Fault::Refused => Err(LogError::Refused("status 503".to_owned())),
            Fault::Dropped | Fault::AnswerLost => uncertain(),
            Fault::Delayed => {
                state.delayed.extend_from_slice(records);
                uncertain()
            }
        }
    }

    fn read(&self, from: u64, limit: usize) -> Result<LogPage, LogError> {
        let mut state = self.state.borrow_mut();
        if state.next_fault() != Fault::None {
            return uncertain();
        }
        let from = usize::try_from(from).unwrap();
        let records = state.records.iter().enumerate().skip(from).take(limit);
        let records = records.map(|(offset, data)| LogRecord {
            offset: offset as u64,
            data: data.clone(),
        });
        Ok(LogPage {
            first: 0,
            head: state.records.len() as u64,
            records: records.collect(),
        })
    }
}

fn key(editor: &str) -> AuthorKey {
    AuthorKey::of_editor(SECRET, &editor.into())
}

fn edit(section: &str, base: u64, content: Option<Value>) -> Edit {
    Edit {
        section: section.into(),
        base,
        content: content.map(|c| serde_json::from_value::<RawSection>(c).unwrap()),
    }
}

/// Publishes an edit, either with enough time to outlast all faults or with a single attempt.
fn publish(log: &FaultyLog, editor: &str, edit: &Edit, keep_trying: bool) -> Published {
    let patience = if keep_trying {
        Duration::from_secs(60)
    } else {
        Duration::ZERO
    };
    let mut reader = LogReader::new(log, Opener::Checked(SECRET.into()));
    let key = key(editor);
    let publisher = Publisher::new(&mut reader, &key, patience);
    publisher.retry_delay(Duration::ZERO).publish(edit)
}

fn verdict(log: &FaultyLog, editor: &str, edit: &Edit) -> Verdict {
    match publish(log, editor, edit, true) {
        Published::Decided { verdict, .. } => verdict,
        other => panic!("{other:?}"),
    }
}

/// Returns a log where `root` is the administrator and `alice` owns the section `north`.
fn log_with_section() -> FaultyLog {
    let log = FaultyLog::default();
    let owned = |owner| Some(json!({ "owners": [owner] }));
    let first = edit("administration", 0, owned("root"));
    assert_eq!(verdict(&log, "root", &first), Verdict::Accepted);
    let north = edit("north", 0, owned("alice"));
    assert_eq!(verdict(&log, "root", &north), Verdict::Accepted);
    log
}

fn with_domain(owner: &str, name: &str, in_service: bool) -> Option<Value> {
    let domains = json!([{ "name": name, "in_service": in_service }]);
    Some(json!({ "owners": [owner], "failure_domains": domains }))
}

/// Two operators edit the same version of a section. The second edit is rejected as stale, as it
/// would undo the first one, which its editor has not seen.
#[test]
fn concurrent_edits() {
    let log = log_with_section();
    let base = log.version_of("north");
    let first = edit("north", base, with_domain("alice", "murau", false));
    let second = edit("north", base, with_domain("alice", "murau", true));
    assert_eq!(verdict(&log, "alice", &first), Verdict::Accepted);
    let current = log.version_of("north");
    assert_eq!(verdict(&log, "alice", &second), Verdict::Stale { current });
    assert!(!log.ledger().history.current().in_service(&"murau".into()));
}

/// Two operators set up a new deployment on an empty log at the same time. The edit at offset 0
/// must not be overwritten silently, so the second one is stale.
#[test]
fn concurrent_first_edits() {
    let log = FaultyLog::default();
    let first = edit(
        "administration",
        0,
        Some(json!({ "owners": ["root", "alice"] })),
    );
    assert_eq!(verdict(&log, "root", &first), Verdict::Accepted);
    let second = edit("administration", 0, Some(json!({ "owners": ["alice"] })));
    assert_eq!(
        verdict(&log, "alice", &second),
        Verdict::Stale { current: 1 }
    );
}

/// Editors can't change another team's section, change the owners of a section, or make themselves
/// administrators.
#[test]
fn owner_permissions() {
    let log = log_with_section();
    let base = log.version_of("north");
    let owned = |owners: &[&str]| Some(json!({ "owners": owners }));
    let administration = log.version_of("administration");
    let refused = [
        ("mallory", edit("north", base, owned(&["alice"]))),
        ("mallory", edit("north", base, None)),
        ("mallory", edit("south", 0, owned(&["mallory"]))),
        (
            "mallory",
            edit("administration", administration, owned(&["mallory"])),
        ),
        ("mallory", edit("administration", 0, owned(&["mallory"]))),
        ("alice", edit("north", base, owned(&["alice", "bob"]))),
        ("alice", edit("north", base, None)),
        ("alice", edit("south", 0, owned(&["alice"]))),
        ("root", edit("administration", administration, None)),
        ("root", edit("administration", administration, owned(&[]))),
    ];
    for (editor, edit) in refused {
        let verdict = verdict(&log, editor, &edit);
        assert_ne!(verdict, Verdict::Accepted, "{editor}: {edit:?}");
    }
    let allowed = [
        (
            "alice",
            edit("north", base, with_domain("alice", "murau", true)),
        ),
        ("root", edit("south", 0, owned(&["bob"]))),
        (
            "root",
            edit("administration", administration, owned(&["root", "bob"])),
        ),
    ];
    for (editor, edit) in allowed {
        assert_eq!(verdict(&log, editor, &edit), Verdict::Accepted, "{editor}");
    }
    let base = log.version_of("south");
    let removed = verdict(&log, "bob", &edit("south", base, None));
    assert_eq!(removed, Verdict::Accepted);
    assert_eq!(log.version_of("south"), 0);
}

/// An edit in another editor's name that is sealed with a wrong key has no effect.
#[test]
fn forged_editor() {
    let log = log_with_section();
    let before = log.ledger().history.current().document.clone();
    let body = RecordBody::Edit(edit("north", log.version_of("north"), None));
    for key in [
        AuthorKey::of_editor("a guess", &"root".into()),
        AuthorKey::from_hex(&"editor/root".into(), &key("alice").to_hex()).unwrap(),
    ] {
        (&log).append(&[key.seal(&"forged".into(), &body)]).unwrap();
    }
    assert_eq!(log.ledger().history.current().document, before);
}

/// The answer to the append is lost after it took effect, so the edit is in force. If it were sent
/// again as a new edit, it would be stale, and the operator would be told that the drain was
/// rejected although it is in force.
#[test]
fn lost_answer() {
    let log = log_with_section();
    let drain = edit(
        "north",
        log.version_of("north"),
        with_domain("alice", "murau", false),
    );
    log.set_faults(
        &[Fault::AnswerLost, Fault::Dropped, Fault::AnswerLost],
        Fault::None,
    );
    assert_eq!(verdict(&log, "alice", &drain), Verdict::Accepted);
    assert_eq!(log.state.borrow().records.len(), 3, "sent twice");
}

/// An append that did not reach the log is sent again.
#[test]
fn lost_append() {
    let log = log_with_section();
    let drain = edit(
        "north",
        log.version_of("north"),
        with_domain("alice", "murau", false),
    );
    log.set_faults(&[Fault::Dropped, Fault::None, Fault::Refused], Fault::None);
    assert_eq!(verdict(&log, "alice", &drain), Verdict::Accepted);
}

/// An append arrives only after it was sent a second time, and another copy arrives after another
/// edit. The first copy counts, and later copies have no effect.
#[test]
fn delayed_append() {
    let log = log_with_section();
    let base = log.version_of("north");
    let drain = edit("north", base, with_domain("alice", "murau", false));
    log.set_faults(&[Fault::Delayed, Fault::None], Fault::None);
    assert_eq!(verdict(&log, "alice", &drain), Verdict::Accepted);
    let version = log.version_of("north");
    let back = edit("north", version, with_domain("alice", "murau", true));
    assert_eq!(verdict(&log, "alice", &back), Verdict::Accepted);
    let copy = log.state.borrow().records[2].clone();
    (&log).append(&[copy]).unwrap();
    assert!(log.ledger().history.current().in_service(&"murau".into()));
}

/// The log stays down. Refused calls had no effect, so the outcome is "not sent". After a lost
/// answer the edit may be on the log, so the outcome must be "unknown".
#[test]
fn permanent_outage() {
    let log = log_with_section();
    let drain = edit(
        "north",
        log.version_of("north"),
        with_domain("alice", "murau", false),
    );
    log.set_faults(&[], Fault::Refused);
    let refused = publish(&log, "alice", &drain, false);
    assert!(matches!(refused, Published::NotSent { .. }), "{refused:?}");
    for fault in [Fault::AnswerLost, Fault::Dropped, Fault::Delayed] {
        log.set_faults(&[fault], Fault::Refused);
        let uncertain = publish(&log, "alice", &drain, false);
        assert!(
            matches!(uncertain, Published::Unknown { .. }),
            "{uncertain:?}"
        );
    }
}

/// Whichever calls fail, an editor is told "accepted" only if the edit is in force, and "not sent"
/// or "rejected" only if it never will be.
#[test]
fn reported_outcome_is_true() {
    let faults = [
        Fault::None,
        Fault::Refused,
        Fault::Dropped,
        Fault::AnswerLost,
        Fault::Delayed,
    ];
    let (mut decided, mut unknown) = (0, 0);
    each_seed(50, 128, |u| {
        let log = log_with_section();
        while !u.is_empty() {
            let chosen = any_faults(u, &faults)?;
            let (keep_trying, default_fault) = if u.ratio(1, 2)? {
                (true, Fault::None)
            } else {
                (false, *u.choose(&faults)?)
            };
            let base = log.version_of("north");
            let base = if u.ratio(1, 4)? {
                base.saturating_sub(1)
            } else {
                base
            };
            let name = format!("domain-{}", log.state.borrow().records.len());
            log.set_faults(&chosen, default_fault);
            let change = edit("north", base, with_domain("alice", &name, true));
            let published = publish(&log, "alice", &change, keep_trying);
            log.clear_faults();
            let is_in_force = log.ledger().history.current().in_service(&Name::from(name));
            match published {
                Published::Decided { verdict, .. } => {
                    decided += 1;
                    assert_eq!(is_in_force, verdict == Verdict::Accepted);
                }
                Published::NotSent { .. } => assert!(!is_in_force),
                Published::Unknown { .. } => unknown += 1,
            }
        }
        Ok(())
    });
    assert!(
        decided > 100 && unknown > 30,
        "{decided} decided, {unknown} unknown"
    );
}

fn any_faults(u: &mut Unstructured<'_>, faults: &[Fault]) -> ArbResult<Vec<Fault>> {
    let length = u.int_in_range(0..=6)?;
    (0..length).map(|_| u.choose(faults).copied()).collect()
}
