//! Measures the folding of edits at the size expected in two years: the sections of 160 teams and
//! the 12,000 edits of one day. First it measures the folding alone, then together with opening the
//! sealed records, as when a process starts. Run with `cargo bench -p dragonflyrun --bench
//! config_fold`.

use std::time::Instant;

use dragonflyrun::{
    connection::{AuthorKey, Edit, LogRecord, RecordBody},
    process::Ledger,
    version::{
        Adjacency,
        FailureDomain,
        Guarantee,
        History,
        LoggedEdit,
        RawSection,
        Section,
        Service,
        Urgency,
        Verdict,
        Workspace, //
    },
};

const TEAMS: usize = 160;
const WORKSPACES_PER_TEAM: u64 = 10;
const SERVICES_PER_TEAM: u64 = 6;
const EDITS: u32 = 12_000;

fn section(team: usize, change: u32) -> Section {
    let workspaces = (0..WORKSPACES_PER_TEAM)
        .map(|w| Workspace {
            name: format!("team-{team}-workspace-{w}").into(),
            guarantees: vec![
                Guarantee {
                    tasks: 4,
                    accelerators: 8,
                    adjacency: Adjacency::Rack,
                };
                3
            ],
            quota_accelerators: Some(200 + change % 100),
        })
        .collect();
    let services = (0..SERVICES_PER_TEAM)
        .map(|s| Service {
            name: format!("team-{team}-service-{s}").into(),
            urgency: Urgency::Normal,
            deadline_ms: 5_000,
            repeatable: false,
            queue_limit: 100,
            key_window_ms: 600_000,
        })
        .collect();
    Section {
        owners: vec![format!("editor-{team}").into()],
        workspaces,
        services,
        ..Section::default()
    }
}

fn administration() -> Section {
    let failure_domains = (0..20)
        .map(|d| FailureDomain {
            name: format!("domain-{d}").into(),
            region: None,
            in_service: true,
        })
        .collect();
    Section {
        owners: vec!["root".into()],
        failure_domains,
        ..Section::default()
    }
}

fn logged(offset: u64, editor: &str, section: &str, base: u64, content: &Section) -> LoggedEdit {
    LoggedEdit {
        offset,
        id: format!("edit-{offset}").into(),
        editor: editor.into(),
        edit: Edit {
            section: section.into(),
            base,
            content: Some(RawSection::from(content)),
        },
    }
}

fn main() {
    let mut history = History::default();
    let first = logged(1, "root", "administration", 0, &administration());
    assert_eq!(history.fold(&first), Some(Verdict::Accepted));
    let mut versions = vec![0; TEAMS];
    let teams = (0..TEAMS).cycle();
    let edits: Vec<LoggedEdit> = (0..EDITS)
        .zip(teams)
        .map(|(change, team)| {
            let offset = u64::from(change) + 2;
            let base = std::mem::replace(&mut versions[team], offset + 1);
            let content = section(team, change);
            logged(offset, "root", &format!("team-{team}"), base, &content)
        })
        .collect();
    let start = Instant::now();
    for edit in &edits {
        assert_eq!(history.fold(edit), Some(Verdict::Accepted));
    }
    let elapsed = start.elapsed();
    println!(
        "edits={EDITS} sections={} fold_us_each={:.1} all_ms={}",
        history.current().document.sections.len(),
        elapsed.as_secs_f64() * 1e6 / f64::from(EDITS),
        elapsed.as_millis()
    );
    replay(&first, &edits);
}

fn replay(first: &LoggedEdit, edits: &[LoggedEdit]) {
    let secret = "a secret of the deployment";
    let key = AuthorKey::of_editor(secret, &"root".into());
    let seal = |logged: &LoggedEdit| LogRecord {
        offset: logged.offset,
        data: key.seal(&logged.id, &RecordBody::Edit(logged.edit.clone())),
    };
    let records: Vec<LogRecord> = std::iter::once(first).chain(edits).map(seal).collect();
    let bytes: usize = records.iter().map(|r| r.data.len()).sum();
    let mut ledger = Ledger::default();
    ledger.skip_to(first.offset);
    ledger.reached_head();
    let start = Instant::now();
    for record in &records {
        ledger.fold(record, secret);
    }
    let elapsed = start.elapsed();
    assert_eq!(ledger.history.section_versions().len(), TEAMS + 1);
    println!(
        "records={} bytes_each={} open_and_fold_us_each={:.1} all_ms={}",
        records.len(),
        bytes / records.len(),
        elapsed.as_secs_f64() * 1e6 / f64::from(EDITS),
        elapsed.as_millis()
    );
}
