//! Sealed records: which author may write what on the log.

use dragonflyrun::connection::{
    AuthorKey,
    LogRecord,
    OpenError,
    Placement,
    RecordBody,
    is_editor_token,
    open, //
};
use dragonflyrun::process::Ledger;
use dragonflyrun::utils::Name;

const SECRET: &str = "a secret of the test deployment";

fn key(author: &str) -> AuthorKey {
    AuthorKey::derive(SECRET, &Name::from(author))
}

fn term(entry: &str, term: u64) -> RecordBody {
    RecordBody::Term {
        entry: entry.into(),
        term,
    }
}

fn ring(term: u64, member: &str) -> RecordBody {
    RecordBody::Ring {
        term,
        members: vec![member.into()],
    }
}

fn fold(records: &[(&str, &str, RecordBody)]) -> Ledger {
    let mut ledger = Ledger::default();
    for (offset, (author, id, body)) in (0..).zip(records) {
        let data = key(author).seal(&Name::from(*id), body);
        ledger.fold(&LogRecord { offset, data }, SECRET);
    }
    ledger
}

#[test]
fn open_sealed() {
    let body = term("entry-1", 1);
    let data = key("entry-1").seal(&"id-1".into(), &body);
    let record = open(&data, SECRET).unwrap();
    assert_eq!(&*record.author, "entry-1");
    assert_eq!(record.body, body);
}

/// Someone who can write to the log but does not hold the author's key changes a record or forges
/// one. If it were accepted, a stranger could drain a failure domain.
#[test]
fn forged_seal() {
    let sealed = key("entry-1").seal(&"id-1".into(), &term("entry-1", 1));
    let renamed = sealed.replace("entry-1", "entry-2");
    assert!(matches!(open(&renamed, SECRET), Err(OpenError::Forged)));
    let stranger = AuthorKey::derive("another secret of somebody", &"entry-1".into());
    let data = stranger.seal(&"id-1".into(), &term("entry-1", 1));
    assert!(matches!(open(&data, SECRET), Err(OpenError::Forged)));
    let anna = AuthorKey::of_editor(SECRET, &"anna".into());
    assert!(is_editor_token(SECRET, "anna", &anna.to_hex()));
    assert!(!is_editor_token(SECRET, "anna", &stranger.to_hex()));
    assert!(!is_editor_token(SECRET, "bert", &anna.to_hex()));
    assert!(!is_editor_token(SECRET, "anna", ""));
}

/// The log holds a record that this release can't read, such as one of a kind that a newer release
/// writes. It is skipped; if it were an error, upgrading one process would stop all others.
#[test]
fn unreadable_record_skipped() {
    let sealed = key("entry-1").seal(&"id-1".into(), &term("entry-1", 1));
    let ledger = {
        let mut ledger = Ledger::default();
        let data = "somebody else's bytes".to_owned();
        ledger.fold(&LogRecord { offset: 0, data }, SECRET);
        ledger.fold(
            &LogRecord {
                offset: 1,
                data: sealed,
            },
            SECRET,
        );
        ledger
    };
    assert_eq!(ledger.next_offset(), 2);
    assert_eq!(ledger.membership.term(), 1);
}

#[test]
fn random_data() {
    arbtest::arbtest(|u| {
        let data: String = u.arbitrary()?;
        assert!(open(&data, SECRET).is_err());
        Ok(())
    });
}

/// A planner is frozen, another entry claims the next term, and the old planner appends when it
/// resumes. Its records come after the claim and must have no effect, or two planners would start
/// gangs on the same workers.
#[test]
fn superseded_planner() {
    let started = RecordBody::JobStarted {
        term: 1,
        job: "job-1".into(),
        attempt: 1,
        placements: vec![Placement {
            worker: "worker-1".into(),
            tasks: 1,
        }],
    };
    let ledger = fold(&[
        ("entry-1", "a", term("entry-1", 1)),
        ("entry-1", "b", ring(1, "agent-1")),
        ("entry-2", "c", term("entry-2", 2)),
        ("entry-1", "d", ring(1, "agent-9")),
        ("entry-1", "e", started),
        ("entry-1", "f", ring(2, "agent-9")),
    ]);
    assert_eq!(ledger.membership.planner(), Some(&Name::from("entry-2")));
    assert_eq!(ledger.membership.ring(), [Name::from("agent-1")]);
    assert_eq!(ledger.jobs.all_live().count(), 0);
}

/// An append gets no answer and its writer appends the same record again. The second copy must have
/// no effect.
#[test]
fn second_copy() {
    let ledger = fold(&[
        ("entry-1", "a", term("entry-1", 1)),
        ("entry-1", "b", ring(1, "agent-1")),
        ("entry-1", "c", ring(1, "agent-2")),
        ("entry-1", "b", ring(1, "agent-1")),
    ]);
    assert_eq!(ledger.membership.ring(), [Name::from("agent-2")]);
}
