//! An accepted configuration is in force everywhere and never reverts, whatever a process has seen
//! of the log and in which pieces.

#![allow(clippy::unwrap_used, reason = "a helper that panics fails its test")]

mod seeds;

use arbtest::arbitrary::{Result, Unstructured};
use dragonflyrun::{
    Name,
    connection::{
        AuthorKey,
        Carried,
        CarriedConfiguration,
        Edit,
        LogRecord,
        RecordBody, //
    },
    process::Ledger,
    version::{Document, FORMAT, RawSection, Section, Verdict, Version, parse_section},
};
use seeds::each_seed;
use serde_json::{Value, json};

const SECRET: &str = "a secret of the deployment";
const PLANNER: &str = "entry-1";

/// The log, the planner that carries its state forward, and a process that has folded all of it.
struct World {
    records: Vec<String>,
    first: u64,
    whole: Ledger,
    ids: u64,
    verdicts: Vec<Option<Verdict>>,
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            records: Vec::new(),
            first: 0,
            whole: Ledger::default(),
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

    /// Puts `record` on the log and folds it in the whole process.
    fn append(&mut self, record: String) -> Option<Verdict> {
        let offset = self.head();
        self.records.push(record);
        let before = self.whole.history.current().offset;
        let folded = self.whole.fold(&self.raw(offset), SECRET);
        assert!(self.whole.history.current().offset >= before);
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
        let sections = self.whole.history.section_versions();
        sections.get(section).copied().unwrap_or(0)
    }

    fn carried(&self) -> Carried {
        self.whole.history.state_to_repeat(1, self.head()).unwrap()
    }

    fn carry(&mut self, carried: Carried) {
        let key = AuthorKey::derive(SECRET, &PLANNER.into());
        self.write(&key, &RecordBody::Carried(carried));
    }

    /// Returns a process that reads the log from its first kept record on.
    fn late(&self) -> Ledger {
        let mut ledger = Ledger::default();
        self.catch_up(&mut ledger);
        ledger
    }

    fn catch_up(&self, ledger: &mut Ledger) {
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
        let (ours, theirs) = (&self.whole.history, &ledger.history);
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

/// A deployment whose log has dropped its first records, the edit that made `root` administrator
/// among them.
fn dropped_start() -> World {
    let mut world = World::new();
    let accepted = world.edit("root", "administration", 0, administration(&["root"]));
    assert_eq!(accepted, Some(Verdict::Accepted));
    world.first = world.head();
    world
}

/// A process starts after the log has dropped the first edit. Somebody tries to make the first
/// edit again. All processes that know the configuration refuse it; if the late one took it, it
/// would obey an administrator that nobody else knows.
#[test]
fn late_start() {
    let mut world = dropped_start();
    let taken = world.edit("mallory", "administration", 0, administration(&["mallory"]));
    assert!(matches!(taken, Some(Verdict::Stale { .. })));
    let mut late = world.late();
    assert!(!late.history.is_complete());
    assert_eq!(late.history.current().document, Document::default());
    world.carry(world.carried());
    world.catch_up(&mut late);
    world.assert_agrees(&late);
}

/// The planner takes its state, and before it has written it to the log an edit arrives there. A
/// process that starts from the carried state must not miss the edit that stands before it.
#[test]
fn raced_carry() {
    let mut world = dropped_start();
    let carried = world.carried();
    let accepted = world.edit("root", "team", 0, administration(&["alice"]));
    assert_eq!(accepted, Some(Verdict::Accepted));
    world.carry(carried);
    world.assert_agrees(&world.late());
}

/// The log drops an edit that stands between the planner's taking of its state and the carried
/// record. A process that starts at the carried record can't know of the edit, so it must wait for
/// the next carried state and not take an old configuration for the current one.
#[test]
fn dropped_race() {
    let mut world = dropped_start();
    let carried = world.carried();
    world.edit("root", "team", 0, administration(&["alice"]));
    world.first = world.head();
    world.carry(carried);
    let mut late = world.late();
    assert!(!late.history.is_complete());
    world.carry(world.carried());
    world.catch_up(&mut late);
    world.assert_agrees(&late);
}

/// A process is frozen for longer than the log keeps its records, and a failure domain is taken
/// out meanwhile. When it goes on, it must know that it has missed something.
#[test]
fn frozen_process() {
    let mut world = World::new();
    let domain = |in_service| {
        let domains = json!([{ "name": "murau", "in_service": in_service }]);
        Some(json!({ "owners": ["root"], "failure_domains": domains }))
    };
    world.edit("root", "administration", 0, domain(true));
    let mut frozen = world.late();
    assert!(frozen.history.current().in_service(&"murau".into()));
    let base = world.version_of("administration");
    world.edit("root", "administration", base, domain(false));
    world.first = world.head();
    world.catch_up(&mut frozen);
    assert!(!frozen.history.is_complete());
    world.carry(world.carried());
    world.catch_up(&mut frozen);
    world.assert_agrees(&frozen);
    assert!(!frozen.history.current().in_service(&"murau".into()));
}

/// The same, but what the log still keeps shows no trace of a planner. The process must not take
/// what it knew for the current state, and would start tasks in a failure domain that is out.
#[test]
fn frozen_alone() {
    let mut world = World::new();
    world.edit("root", "administration", 0, administration(&["root"]));
    let mut frozen = world.late();
    let base = world.version_of("administration");
    world.edit(
        "root",
        "administration",
        base,
        administration(&["root", "bob"]),
    );
    world.first = world.head();
    world.catch_up(&mut frozen);
    frozen.reached_head();
    assert!(!frozen.history.is_complete());
    assert!(!frozen.membership.is_whole());
    world.carry(world.carried());
    world.catch_up(&mut frozen);
    world.assert_agrees(&frozen);
}

/// After a long outage the log has dropped all that a planner wrote. A process that starts then
/// finds no trace of the deployment and presumes that it is new. It is mistaken, and somebody makes
/// a "first" edit that all others refuse. It has to come round when the configuration is repeated.
#[test]
fn mistaken_start() {
    let mut world = dropped_start();
    let mut late = world.late();
    late.reached_head();
    assert!(late.history.is_presumed_complete());
    world.edit("mallory", "administration", 0, administration(&["mallory"]));
    world.edit("root", "team", 0, administration(&["root"]));
    world.carry(world.carried());
    late.fold(&world.raw(late.next_offset()), SECRET);
    while late.next_offset() < world.head() {
        late.fold(&world.raw(late.next_offset()), SECRET);
    }
    world.assert_agrees(&late);
    assert!(!late.history.is_presumed_complete());
}

/// A log that was used for something else before has dropped its first records, and all processes
/// of a new deployment begin on it. They have to agree from the first edit on.
#[test]
fn used_log() {
    let mut world = World::new();
    world.append("something else".to_owned());
    world.first = world.head();
    let mut late = world.late();
    late.reached_head();
    let mut other = world.late();
    other.reached_head();
    world.whole = other;
    let first = world.edit("root", "administration", 0, administration(&["root"]));
    assert_eq!(first, Some(Verdict::Accepted));
    world.catch_up(&mut late);
    world.assert_agrees(&late);
    world.carry(world.carried());
    world.catch_up(&mut late);
    world.assert_agrees(&late);
    assert!(!world.whole.history.is_presumed_complete());
}

/// An answer to an append is lost and the edit is sent a second time with the same id. The first
/// copy is refused, as its workspace is another team's. Then that team gives the name up, and the
/// second copy arrives, which would be valid now. Its editor has been told that it was refused. A
/// process that starts between the two copies must drop the second as well.
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
    world.carry(world.carried());
    let base = world.version_of("north");
    let given_up = world.edit("root", "north", base, named(&[]));
    assert_eq!(given_up, Some(Verdict::Accepted));
    assert_eq!(world.append(copy), None);
    assert_eq!(world.version_of("south"), 0);
    world.assert_agrees(&world.late());
}

/// An editor holds a key of its own, and uses it to write what only a planner may write: a whole
/// configuration. No process may take it, however it has come by its state.
#[test]
fn forged_carry() {
    let mut world = dropped_start();
    let forged = Carried::Configuration(CarriedConfiguration {
        term: u64::MAX,
        as_of: world.head(),
        version: world.head() - 1,
        sections: Vec::new(),
        recent: Vec::new(),
        document: Document::default(),
    });
    let key = AuthorKey::of_editor(SECRET, &"mallory".into());
    world.write(&key, &RecordBody::Carried(forged));
    assert!(!world.late().history.is_complete());
    world.carry(world.carried());
    world.assert_agrees(&world.late());
}

/// Programs of two releases run side by side, and an editor uses a key that only the newer one
/// knows. Had the older one no verdict on it, it would call all later edits of the section stale
/// and stay behind for ever without notice. Under the format in force both reject it.
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

/// The administrators raise the format, and a program of an older release is still running. It
/// can't judge what follows, so it has to stop rather than act on the last version it understood.
#[test]
fn newer_format() {
    let mut world = World::new();
    world.edit("root", "administration", 0, administration(&["root"]));
    let base = world.version_of("administration");
    let raise = |format| Some(json!({ "owners": ["root"], "format": format }));
    let mistaken = world.edit("root", "administration", base, raise(FORMAT + 7));
    assert!(matches!(mistaken, Some(Verdict::Invalid { .. })));
    assert!(world.whole.history.is_complete());
    let raised = world.edit("root", "administration", base, raise(FORMAT + 1));
    assert_eq!(raised, None);
    assert!(!world.whole.history.is_complete());
    assert_eq!(world.whole.history.unsupported_format(), Some(FORMAT + 1));
    assert!(
        world
            .whole
            .history
            .state_to_repeat(1, world.head())
            .is_none()
    );
}

const EDITORS: [&str; 4] = ["root", "alice", "bob", "mallory"];
const SECTIONS: [&str; 4] = ["administration", "north", "south", "east"];

/// Contents that are valid, or break a check, alone or beside another section.
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

/// One thing that happens to the log: an edit from an old or the current version, a second copy, a
/// state carried late or at once, dropped records, or a stranger's bytes.
fn step(u: &mut Unstructured<'_>, world: &mut World, taken: &mut Option<Carried>) -> Result<()> {
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
        9 => *taken = Some(world.carried()),
        10 => {
            let carried = taken.take().unwrap_or_else(|| world.carried());
            world.carry(carried);
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

/// Hands pieces of the log to `ledger` as peers do: any slice, also one that it has or that leaves
/// a gap.
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

/// Operators race, answers are lost and edits sent again, records are dropped, states are carried
/// late, strangers write to the log, and processes start, freeze and hear of records through peers
/// in any pieces. A user would notice a fault as two processes that obey two configurations, or
/// one that goes back to an old one.
#[test]
fn folds_agree() {
    let (mut accepted, mut joined) = (0, 0);
    each_seed(60, 1_024, |u| {
        let mut world = World::new();
        world.edit(
            "root",
            "administration",
            0,
            administration(&["root", "bob"]),
        );
        let mut others: Vec<Ledger> = vec![world.late()];
        let mut taken = None;
        while !u.is_empty() {
            step(u, &mut world, &mut taken)?;
            if u.ratio(1, 6)? {
                others.push(world.late());
            }
            if u.ratio(1, 2)? {
                let chosen = u.choose_index(others.len())?;
                deliver(u, &world, &mut others[chosen])?;
            }
            for other in others.iter().filter(|o| o.next_offset() == world.head()) {
                if other.history.is_complete() {
                    world.assert_agrees(other);
                    joined += 1;
                }
            }
        }
        world.carry(world.carried());
        for other in &mut others {
            world.catch_up(other);
            world.assert_agrees(other);
        }
        world.assert_agrees(&world.late());
        let verdicts = world.verdicts.iter().flatten();
        accepted += verdicts.filter(|v| **v == Verdict::Accepted).count();
        Ok(())
    });
    // The property would hold of a log on which nothing is ever accepted.
    assert!(accepted > 600, "only {accepted} edits were accepted");
    assert!(
        joined > 600,
        "only {joined} times a process was at the head"
    );
}

/// A configuration of the largest size still fits into one record; if it did not, the planner could
/// not carry it, and it would be lost with the records that the log drops.
#[test]
fn largest_carry() {
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
    world.carry(world.carried());
    let record = world.records.last().unwrap();
    assert!(record.len() < 4 << 20, "{} bytes", record.len());
    world.first = world.head() - 1;
    world.assert_agrees(&world.late());
}

/// The tables of a version follow its document.
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
