//! An accepted configuration is in force in every process and never reverts, whichever parts of the
//! log a process has read and in which pieces.

#![allow(clippy::unwrap_used, reason = "a helper that panics fails its test")]

mod seeds;

use arbtest::arbitrary::{Result, Unstructured};
use dragonflyrun::{
    Name,
    connection::{
        AuthorKey,
        Edit,
        LogRecord,
        RecordBody,
        RepeatedConfiguration,
        RepeatedState, //
    },
    process::Ledger,
    version::{Document, FORMAT, RawSection, Section, Verdict, Version, parse_section},
};
use seeds::each_seed;
use serde_json::{Value, json};

const SECRET: &str = "a secret of the deployment";
const PLANNER: &str = "entry-1";

/// The log, the planner that repeats its state on it, and a reference process that has folded all
/// of it.
struct World {
    records: Vec<String>,
    first: u64,
    reference: Ledger,
    ids: u64,
    verdicts: Vec<Option<Verdict>>,
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            records: Vec::new(),
            first: 0,
            reference: Ledger::default(),
            ids: 0,
            verdicts: Vec::new(),
        };
        let term = RecordBody::Term {
            entry: PLANNER.into(),
            term: 1,
        };
        world.write(&AuthorKey::derive(SECRET, &PLANNER.into()), &term);
        world
    }

    fn raw(&self, offset: u64) -> LogRecord {
        LogRecord {
            offset,
            data: self.records[usize::try_from(offset).unwrap()].clone(),
        }
    }

    fn head(&self) -> u64 {
        self.records.len() as u64
    }

    /// Appends `record` to the log and folds it in the reference process.
    fn append(&mut self, record: String) -> Option<Verdict> {
        let offset = self.head();
        self.records.push(record);
        let before = self.reference.history.current().offset;
        let folded = self.reference.fold(&self.raw(offset), SECRET);
        assert!(self.reference.history.current().offset >= before);
        let verdict = folded.and_then(|f| f.verdict);
        self.verdicts.push(verdict.clone());
        verdict
    }

    fn write(&mut self, key: &AuthorKey, body: &RecordBody) -> Option<Verdict> {
        self.ids += 1;
        let id: Name = format!("record-{}", self.ids).into();
        self.append(key.seal(&id, body))
    }

    fn edit(
        &mut self,
        editor: &str,
        section: &str,
        base: u64,
        content: Option<Value>,
    ) -> Option<Verdict> {
        let body = RecordBody::Edit(Edit {
            section: section.into(),
            base,
            content: content.map(raw_section),
        });
        self.write(&AuthorKey::of_editor(SECRET, &editor.into()), &body)
    }

    fn version_of(&self, section: &str) -> u64 {
        let sections = self.reference.history.section_versions();
        sections.get(section).copied().unwrap_or(0)
    }

    fn state_to_repeat(&self) -> RepeatedState {
        self.reference
            .history
            .state_to_repeat(1, self.head())
            .unwrap()
    }

    fn repeat(&mut self, state: RepeatedState) {
        let key = AuthorKey::derive(SECRET, &PLANNER.into());
        self.write(&key, &RecordBody::RepeatedState(state));
    }

    /// Returns a process that reads the log from the first record that is still kept.
    fn late_reader(&self) -> Ledger {
        let mut ledger = Ledger::default();
        self.fold_to_head(&mut ledger);
        ledger
    }

    fn fold_to_head(&self, ledger: &mut Ledger) {
        ledger.skip_to(self.first);
        while ledger.next_offset() < self.head() {
            self.fold_one(ledger);
        }
    }

    fn fold_one(&self, ledger: &mut Ledger) {
        let before = ledger.history.current().offset;
        ledger.fold(&self.raw(ledger.next_offset()), SECRET);
        assert!(
            ledger.history.current().offset >= before,
            "the configuration has reverted"
        );
    }

    fn assert_agrees(&self, ledger: &Ledger) {
        let (ours, theirs) = (&self.reference.history, &ledger.history);
        assert!(theirs.is_complete());
        assert_eq!(theirs.current().offset, ours.current().offset);
        assert_eq!(theirs.current().document, ours.current().document);
        assert_eq!(theirs.section_versions(), ours.section_versions());
    }
}

fn raw_section(content: Value) -> RawSection {
    serde_json::from_value(content).unwrap()
}

fn administration(owners: &[&str]) -> Option<Value> {
    Some(json!({ "owners": owners }))
}

/// A deployment whose log has dropped its first records, including the edit that made `root`
/// administrator.
fn with_dropped_start() -> World {
    let mut world = World::new();
    let accepted = world.edit("root", "administration", 0, administration(&["root"]));
    assert_eq!(accepted, Some(Verdict::Accepted));
    world.first = world.head();
    world
}

/// A process starts after the log has dropped the first edit, and someone submits a first edit
/// again. All processes that know the configuration refuse it. If the late process accepted it, it
/// would obey an administrator that no other process knows.
#[test]
fn late_start() {
    let mut world = with_dropped_start();
    let verdict = world.edit("mallory", "administration", 0, administration(&["mallory"]));
    assert!(matches!(verdict, Some(Verdict::Stale { .. })));
    let mut late_reader = world.late_reader();
    assert!(!late_reader.history.is_complete());
    assert_eq!(late_reader.history.current().document, Document::default());
    world.repeat(world.state_to_repeat());
    world.fold_to_head(&mut late_reader);
    world.assert_agrees(&late_reader);
}

/// An edit arrives on the log after the planner has read its state and before it has appended it. A
/// process that starts from the repeated state must not miss the edit that comes before it on the
/// log.
#[test]
fn edit_before_repeat() {
    let mut world = with_dropped_start();
    let state = world.state_to_repeat();
    let accepted = world.edit("root", "team", 0, administration(&["alice"]));
    assert_eq!(accepted, Some(Verdict::Accepted));
    world.repeat(state);
    world.assert_agrees(&world.late_reader());
}

/// The log drops an edit that arrived between the planner's reading of its state and the repeated
/// record. A process that starts at the repeated record can't know of the edit, so it must wait for
/// the next repeat and not take an old configuration for the current one.
#[test]
fn dropped_edit_before_repeat() {
    let mut world = with_dropped_start();
    let state = world.state_to_repeat();
    world.edit("root", "team", 0, administration(&["alice"]));
    world.first = world.head();
    world.repeat(state);
    let mut late_reader = world.late_reader();
    assert!(!late_reader.history.is_complete());
    world.repeat(world.state_to_repeat());
    world.fold_to_head(&mut late_reader);
    world.assert_agrees(&late_reader);
}

/// A process is frozen for longer than the log keeps records, and meanwhile a failure domain is
/// taken out of service. When the process resumes, it must recognize that records are missing.
#[test]
fn frozen_process() {
    let mut world = World::new();
    let domain = |in_service| {
        let domains = json!([{ "name": "murau", "in_service": in_service }]);
        Some(json!({ "owners": ["root"], "failure_domains": domains }))
    };
    world.edit("root", "administration", 0, domain(true));
    let mut frozen = world.late_reader();
    assert!(frozen.history.current().in_service(&"murau".into()));
    let base = world.version_of("administration");
    world.edit("root", "administration", base, domain(false));
    world.first = world.head();
    world.fold_to_head(&mut frozen);
    assert!(!frozen.history.is_complete());
    world.repeat(world.state_to_repeat());
    world.fold_to_head(&mut frozen);
    world.assert_agrees(&frozen);
    assert!(!frozen.history.current().in_service(&"murau".into()));
}

/// As above, but the records that the log still keeps contain nothing from a planner. The process
/// must not take its old state for current, or it would start tasks in a failure domain that is out
/// of service.
#[test]
fn frozen_without_planner() {
    let mut world = World::new();
    world.edit("root", "administration", 0, administration(&["root"]));
    let mut frozen = world.late_reader();
    let base = world.version_of("administration");
    world.edit(
        "root",
        "administration",
        base,
        administration(&["root", "bob"]),
    );
    world.first = world.head();
    world.fold_to_head(&mut frozen);
    frozen.reached_head();
    assert!(!frozen.history.is_complete());
    assert!(!frozen.membership.is_complete());
    world.repeat(world.state_to_repeat());
    world.fold_to_head(&mut frozen);
    world.assert_agrees(&frozen);
}

/// After a long outage the log has dropped everything that a planner wrote. A process that starts
/// then finds no trace of the deployment and wrongly presumes that it is new, and someone makes a
/// "first" edit that all other processes refuse. The process has to correct itself when the
/// configuration is repeated.
#[test]
fn wrongly_presumed_new() {
    let mut world = with_dropped_start();
    let mut late_reader = world.late_reader();
    late_reader.reached_head();
    assert!(late_reader.history.is_presumed_complete());
    world.edit("mallory", "administration", 0, administration(&["mallory"]));
    world.edit("root", "team", 0, administration(&["root"]));
    world.repeat(world.state_to_repeat());
    late_reader.fold(&world.raw(late_reader.next_offset()), SECRET);
    while late_reader.next_offset() < world.head() {
        late_reader.fold(&world.raw(late_reader.next_offset()), SECRET);
    }
    world.assert_agrees(&late_reader);
    assert!(!late_reader.history.is_presumed_complete());
}

/// A log that was used for something else before has dropped its first records, and all processes
/// of a new deployment start on it. They have to agree from the first edit on.
#[test]
fn used_log() {
    let mut world = World::new();
    world.append("something else".to_owned());
    world.first = world.head();
    let mut late_reader = world.late_reader();
    late_reader.reached_head();
    let mut other = world.late_reader();
    other.reached_head();
    world.reference = other;
    let first = world.edit("root", "administration", 0, administration(&["root"]));
    assert_eq!(first, Some(Verdict::Accepted));
    world.fold_to_head(&mut late_reader);
    world.assert_agrees(&late_reader);
    world.repeat(world.state_to_repeat());
    world.fold_to_head(&mut late_reader);
    world.assert_agrees(&late_reader);
    assert!(!world.reference.history.is_presumed_complete());
}

/// An append gets no answer and the edit is sent a second time with the same id. The first copy is
/// refused because its workspace belongs to another team. That team then gives up the name, and the
/// second copy arrives, which would now be valid although its editor has been told that it was
/// refused. A process that starts between the two copies must drop the second one as well.
#[test]
fn second_copy() {
    let mut world = World::new();
    world.edit("root", "administration", 0, administration(&["root"]));
    let named = |names: &[&str]| {
        let workspaces: Vec<Value> = names.iter().map(|n| json!({ "name": n })).collect();
        Some(json!({ "owners": ["root"], "workspaces": workspaces }))
    };
    world.edit("root", "north", 0, named(&["mill"]));
    let refused = world.edit("root", "south", 0, named(&["mill"]));
    assert!(matches!(refused, Some(Verdict::Invalid { .. })));
    let copy = world.records.last().unwrap().clone();
    world.first = world.head();
    world.repeat(world.state_to_repeat());
    let base = world.version_of("north");
    let given_up = world.edit("root", "north", base, named(&[]));
    assert_eq!(given_up, Some(Verdict::Accepted));
    assert_eq!(world.append(copy), None);
    assert_eq!(world.version_of("south"), 0);
    world.assert_agrees(&world.late_reader());
}

/// An editor uses its own key to write what only a planner may write: a complete configuration. No
/// process may accept it, however the process obtained its state.
#[test]
fn forged_repeat() {
    let mut world = with_dropped_start();
    let forged = RepeatedState::Configuration(RepeatedConfiguration {
        term: u64::MAX,
        as_of: world.head(),
        version: world.head() - 1,
        sections: Vec::new(),
        recent: Vec::new(),
        document: Document::default(),
    });
    let key = AuthorKey::of_editor(SECRET, &"mallory".into());
    world.write(&key, &RecordBody::RepeatedState(forged));
    assert!(!world.late_reader().history.is_complete());
    world.repeat(world.state_to_repeat());
    world.assert_agrees(&world.late_reader());
}

/// Two releases run side by side, and an editor uses a key that only the newer one knows. If the
/// older release had no verdict on it, it would call all later edits of the section stale and
/// silently stay behind forever. Under the format in force both releases reject the edit.
#[test]
fn newer_key() {
    let mut world = World::new();
    world.edit("root", "administration", 0, administration(&["root"]));
    let newer = Some(json!({ "owners": ["root"], "key_of_next_release": 1 }));
    let verdict = world.edit("root", "team", 0, newer);
    assert!(matches!(verdict, Some(Verdict::Invalid { .. })));
    let plain = world.edit("root", "team", 0, administration(&["root"]));
    assert_eq!(plain, Some(Verdict::Accepted));
}

/// The administrators raise the format while a process of an older release is running. It can't
/// judge later edits, so it has to stop instead of acting on the last version that it understood.
#[test]
fn newer_format() {
    let mut world = World::new();
    world.edit("root", "administration", 0, administration(&["root"]));
    let base = world.version_of("administration");
    let raise = |format| Some(json!({ "owners": ["root"], "format": format }));
    let mistaken = world.edit("root", "administration", base, raise(FORMAT + 7));
    assert!(matches!(mistaken, Some(Verdict::Invalid { .. })));
    assert!(world.reference.history.is_complete());
    let raised = world.edit("root", "administration", base, raise(FORMAT + 1));
    assert_eq!(raised, None);
    assert!(!world.reference.history.is_complete());
    assert_eq!(
        world.reference.history.unsupported_format(),
        Some(FORMAT + 1)
    );
    assert!(
        world
            .reference
            .history
            .state_to_repeat(1, world.head())
            .is_none()
    );
}

const EDITORS: [&str; 4] = ["root", "alice", "bob", "mallory"];
const SECTIONS: [&str; 4] = ["administration", "north", "south", "east"];

/// Returns a content that is valid, or that breaks a check on its own or together with another
/// section.
fn content(u: &mut Unstructured<'_>) -> Result<Option<Value>> {
    let owner = *u.choose(&EDITORS)?;
    let name = *u.choose(&["mill", "yard", "fair"])?;
    Ok(match u.int_in_range(0..=9)? {
        0 => None,
        1 => Some(json!({ "owners": [] })),
        2 => Some(json!({ "owners": [owner], "workspaces": "none" })),
        3 => Some(json!({ "owners": [owner], "limits": { "retry_percent": 10 } })),
        4 => Some(json!({ "owners": [owner], "format": 1 })),
        5 => Some(json!({ "owners": ["root"] })),
        n => {
            let domains = json!([{ "name": name, "in_service": n % 2 == 0 }]);
            let workspaces = json!([{ "name": name, "quota_accelerators": n }]);
            Some(json!({
                "owners": [owner, "root"],
                "workspaces": workspaces,
                "failure_domains": domains,
            }))
        }
    })
}

/// Applies one random event to the log: an edit based on an old or the current version, a second
/// copy, a state repeated late or at once, dropped records, or bytes of a stranger.
fn step(
    u: &mut Unstructured<'_>,
    world: &mut World,
    snapshot: &mut Option<RepeatedState>,
) -> Result<()> {
    match u.int_in_range(0..=13)? {
        0..=6 => {
            let section = *u.choose(&SECTIONS)?;
            let current = world.version_of(section);
            let base = if u.ratio(1, 4)? {
                u.int_in_range(0..=world.head())?
            } else {
                current
            };
            let editor = if u.ratio(2, 3)? {
                "root"
            } else {
                *u.choose(&EDITORS)?
            };
            let content = content(u)?;
            world.edit(editor, section, base, content);
        }
        7 | 8 => {
            let copy = u.choose(&world.records)?.clone();
            world.append(copy);
        }
        9 => *snapshot = Some(world.state_to_repeat()),
        10 => {
            let state = snapshot.take().unwrap_or_else(|| world.state_to_repeat());
            world.repeat(state);
        }
        11 => {
            let first = u.int_in_range(world.first..=world.head())?;
            world.first = first;
        }
        12 => {
            world.append("{\"not\":\"ours\"}".to_owned());
        }
        _ => {
            let key = AuthorKey::of_editor("another secret", &"root".into());
            let edit = RecordBody::Edit(Edit {
                section: "administration".into(),
                base: world.version_of("administration"),
                content: None,
            });
            world.write(&key, &edit);
        }
    }
    Ok(())
}

/// Delivers a random slice of the log to `ledger`, as peers do; it may repeat known records or
/// leave a gap.
fn deliver(u: &mut Unstructured<'_>, world: &World, ledger: &mut Ledger) -> Result<()> {
    let from = u.int_in_range(world.first..=world.head())?;
    let to = u.int_in_range(from..=world.head())?;
    for offset in from..to {
        let before = ledger.history.current().offset;
        ledger.fold(&world.raw(offset), SECRET);
        assert!(ledger.history.current().offset >= before);
    }
    Ok(())
}

/// Random runs in which operators race, appends get no answer and edits are sent again, records are
/// dropped, states are repeated late, strangers write to the log, and processes start, freeze and
/// receive records from peers in arbitrary pieces. A fault would show as two processes with
/// different configurations or a process that reverts to an old one.
#[test]
fn folds_agree() {
    let (mut accepted, mut compared) = (0, 0);
    each_seed(60, 1_024, |u| {
        let mut world = World::new();
        world.edit(
            "root",
            "administration",
            0,
            administration(&["root", "bob"]),
        );
        let mut others: Vec<Ledger> = vec![world.late_reader()];
        let mut snapshot = None;
        while !u.is_empty() {
            step(u, &mut world, &mut snapshot)?;
            if u.ratio(1, 6)? {
                others.push(world.late_reader());
            }
            if u.ratio(1, 2)? {
                let chosen = u.choose_index(others.len())?;
                deliver(u, &world, &mut others[chosen])?;
            }
            for other in others.iter().filter(|o| o.next_offset() == world.head()) {
                if other.history.is_complete() {
                    world.assert_agrees(other);
                    compared += 1;
                }
            }
        }
        world.repeat(world.state_to_repeat());
        for other in &mut others {
            world.fold_to_head(other);
            world.assert_agrees(other);
        }
        world.assert_agrees(&world.late_reader());
        let verdicts = world.verdicts.iter().flatten();
        accepted += verdicts.filter(|v| **v == Verdict::Accepted).count();
        Ok(())
    });
    // The test would also pass on a log on which nothing is ever accepted.
    assert!(accepted > 600, "only {accepted} edits were accepted");
    assert!(
        compared > 600,
        "only {compared} times a process was at the head"
    );
}

/// A configuration of the largest size has to fit into one record. Otherwise the planner could not
/// repeat it, and it would be lost with the records that the log drops.
#[test]
fn largest_repeat() {
    let mut world = World::new();
    world.edit("root", "administration", 0, administration(&["root"]));
    let long = |kind: &str, i: usize| format!("{kind:-<50}{i:014}");
    let domain = |i: usize| {
        let (name, region) = (long("domain", i), long("region", i));
        json!({ "name": name, "region": region, "in_service": false })
    };
    let mut section = 0;
    loop {
        let from = section * 2_047;
        let domains: Vec<Value> = (from..from + 2_047).map(domain).collect();
        let owner = long("owner", 0);
        let content = json!({ "owners": [owner], "failure_domains": domains });
        let verdict = world.edit("root", &long("section", section), 0, Some(content));
        if verdict != Some(Verdict::Accepted) {
            break;
        }
        section += 1;
    }
    assert!(section > 4);
    world.repeat(world.state_to_repeat());
    let record = world.records.last().unwrap();
    assert!(record.len() < 4 << 20, "{} bytes", record.len());
    world.first = world.head() - 1;
    world.assert_agrees(&world.late_reader());
}

/// The lookup tables of a version match its document.
#[test]
fn version_tables() {
    let bytes = include_bytes!("data/section.json");
    let section: Section = parse_section(bytes, "").unwrap();
    let mut document = Document::default();
    document.sections.insert("team".into(), section.into());
    let version = Version::new(7, document);
    assert!(version.in_service(&"murau".into()));
    assert!(!version.in_service(&"leoben".into()));
    assert!(!version.in_service(&"graz".into()));
    assert_eq!(
        version.service(&"grade-check".into()).unwrap().deadline_ms,
        4_000
    );
    assert_eq!(
        version
            .workspace(&"audit".into())
            .unwrap()
            .quota_accelerators,
        None
    );
    assert_eq!(version.limits.retry_percent, 10);
}
