//! The log drops old records, and a process that starts reading in the middle still learns the same
//! state as one that has read all records.

use arbtest::{
    arbitrary::{Result, Unstructured},
    arbtest, //
};
use dragonflyrun::{
    connection::{Edit, LogRecord, Placement, Record, RecordBody},
    job::{
        ElectionView,
        JobSpec,
        LiveJob,
        MEMBERSHIP_REPEAT,
        PlannerAction,
        PlannerView,
        STATE_REPEAT, //
    },
    process::{GangTable, Ledger, TickView, state_to_repeat},
    utils::{HashSet, Name, Timestamp},
    version::{ADMINISTRATION, Adjacency, RawSection, Section, Urgency, Workspace},
};

const SEEDS: u64 = 8;

/// Minimum number of records that the log keeps.
const KEPT_RECORDS: u64 = STATE_REPEAT.records + MEMBERSHIP_REPEAT.records + 1_000;

/// The entry that is planner, with a log in memory.
struct Planner {
    now: u64,
    log: Vec<Record>,
    ledger: Ledger,
    table: GangTable,
    /// Records that are being appended; others may reach the log before them.
    queued: Vec<Record>,
    number: u64,
}

impl Planner {
    fn new() -> Self {
        let ledger = Ledger::default();
        let version = ledger.history.current().clone();
        Self {
            now: 1_000,
            log: Vec::new(),
            table: GangTable::new(Timestamp::from_millis(0), "entry-0".into(), version),
            ledger,
            queued: Vec::new(),
            number: 0,
        }
    }

    fn write(&mut self, author: &str, body: RecordBody) {
        let record = self.record(author, body);
        self.append(record);
    }

    fn record(&mut self, author: &str, body: RecordBody) -> Record {
        self.number += 1;
        Record {
            id: format!("record-{}", self.number).into(),
            author: author.into(),
            body,
        }
    }

    fn append(&mut self, record: Record) {
        self.log.push(record);
        let offset = self.log.len() as u64 - 1;
        let now = Timestamp::from_millis(self.now);
        if let Some(folded) = fold(&mut self.ledger, &self.log, offset) {
            self.table.on_folded(now, &folded, &self.ledger);
        }
    }

    fn tick(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        self.now += 100;
        let now = Timestamp::from_millis(self.now);
        let membership = &self.ledger.membership;
        let view = TickView {
            planner: PlannerView {
                election: ElectionView {
                    term: membership.term(),
                    planner: membership.planner().cloned(),
                    planner_alive: false,
                    fresh: true,
                    rank: 0,
                },
                next_offset: self.ledger.next_offset(),
                folded_by_all: self.ledger.next_offset(),
                owners: Vec::new(),
            },
            silent: Vec::new(),
        };
        for action in self.table.tick(now, &view) {
            let (body, purpose) = match action {
                PlannerAction::Append { body, purpose } => (*body, purpose),
                PlannerAction::Repeat(item) => match state_to_repeat(&self.ledger, &item) {
                    Some(body) => {
                        let purpose = dragonflyrun::job::Purpose::Repeat(item);
                        (RecordBody::RepeatedState(body), purpose)
                    }
                    None => continue,
                },
                PlannerAction::Send(_) => continue,
            };
            let record = self.record("entry-0", body);
            self.table.appended(record.id.clone(), purpose);
            self.queued.push(record);
        }
        let ready = u.int_in_range(0..=self.queued.len())?;
        for record in self.queued.drain(..ready).collect::<Vec<_>>() {
            self.append(record);
        }
        Ok(())
    }

    /// Appends a random record on a job, the membership or the configuration.
    fn random_event(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let term = self.ledger.membership.term();
        let known = live_jobs(&self.ledger);
        let chosen = known.get(u.int_in_range(0..=40)?).cloned();
        let job = match &chosen {
            Some(live) => live.job.clone(),
            None => format!("job-{}", self.number).into(),
        };
        let body = match (u.int_in_range(0..=6)?, chosen) {
            (0..=1, None) => RecordBody::JobAccepted { job, spec: spec() },
            (0..=3, Some(live)) if !live.is_placed() => RecordBody::JobStarted {
                term,
                job,
                attempt: live.attempt + 1,
                placements: vec![Placement {
                    worker: "worker-0".into(),
                    tasks: 1,
                }],
            },
            (0..=2, Some(live)) => RecordBody::JobStopped {
                term,
                job,
                attempt: live.attempt,
                checkpointed: u.arbitrary()?,
                failed: u.ratio(1, 8)?,
            },
            (3, Some(_)) => RecordBody::JobCancelled { job },
            (4, Some(_)) if u.ratio(1, 5)? => RecordBody::JobEnded {
                term,
                job,
                end: dragonflyrun::connection::JobEnd::Failed,
            },
            (5, _) if u.ratio(1, 30)? => RecordBody::EntryJoined {
                entry: format!("entry-{}", u.int_in_range(1..=5)?).into(),
                address: "127.0.0.1:1".into(),
            },
            (6, _) if u.ratio(1, 30)? => {
                self.edit();
                return Ok(());
            }
            // An unrelated record of another author.
            _ => RecordBody::EntryLeft {
                entry: "nobody".into(),
            },
        };
        self.write("entry-0", body);
        Ok(())
    }

    fn edit(&mut self) {
        let section = Section {
            owners: vec!["ops".into()],
            workspaces: vec![Workspace {
                name: format!("workspace-{}", self.log.len()).into(),
                guarantees: Vec::new(),
                quota_accelerators: None,
            }],
            ..Section::default()
        };
        let section_name: Name = ADMINISTRATION.into();
        let sections = self.ledger.history.section_versions();
        let edit = Edit {
            base: sections.get(&section_name).copied().unwrap_or(0),
            section: section_name,
            content: Some(RawSection::from(&section)),
        };
        self.write("ops", RecordBody::Edit(edit));
    }
}

fn spec() -> JobSpec {
    JobSpec {
        workspace: "murtal".into(),
        urgency: Urgency::Normal,
        tasks: 1,
        accelerators: 1,
        adjacency: Adjacency::Any,
        run_time_ms: 1,
        program: "sleep:1".into(),
    }
}

fn fold(ledger: &mut Ledger, log: &[Record], offset: u64) -> Option<dragonflyrun::process::Folded> {
    let raw = LogRecord {
        offset,
        data: String::new(),
    };
    ledger.fold_with(&raw, |_| Ok(log[offset as usize].clone()))
}

fn live_jobs(ledger: &Ledger) -> Vec<LiveJob> {
    let mut jobs: Vec<LiveJob> = ledger.jobs.all_live().cloned().collect();
    jobs.sort_by(|a, b| a.job.cmp(&b.job));
    jobs
}

fn check_late_reader(u: &mut Unstructured<'_>) -> Result<()> {
    let mut planner = Planner::new();
    planner.write(
        "entry-0",
        RecordBody::EntryJoined {
            entry: "entry-0".into(),
            address: "127.0.0.1:1".into(),
        },
    );
    planner.edit();
    while planner.log.len() < 3 * KEPT_RECORDS as usize {
        planner.tick(u)?;
        for _ in 0..u.int_in_range(0..=30)? {
            planner.random_event(u)?;
        }
    }
    // The planner repeats a state again at once if it changed between the read of the state and the
    // append of its repeat. A few ticks without new events let it finish these repeats.
    for _ in 0..5 {
        planner.tick(&mut Unstructured::new(&[0xff; 64]))?;
    }
    let head = planner.log.len() as u64;
    let first = u.int_in_range(1..=head - KEPT_RECORDS)?;
    let mut late_ledger = Ledger::default();
    late_ledger.skip_to(first);
    for offset in first..head {
        fold(&mut late_ledger, &planner.log, offset);
    }
    late_ledger.reached_head();
    assert!(late_ledger.is_complete(), "no record named the planner");
    assert_eq!(
        late_ledger.membership.state_to_repeat(),
        planner.ledger.membership.state_to_repeat()
    );
    let (known, expected) = (
        late_ledger.history.current(),
        planner.ledger.history.current(),
    );
    assert_eq!(known.offset, expected.offset);
    assert_eq!(known.document, expected.document);
    assert_eq!(live_jobs(&late_ledger), live_jobs(&planner.ledger));
    let names: HashSet<Name> = live_jobs(&late_ledger).into_iter().map(|l| l.job).collect();
    assert!(!names.is_empty(), "the test has no live job");
    Ok(())
}

/// The log has dropped the records of a job that was accepted long before an entry starts. Guards
/// against an entry that doesn't know the job, so that it never runs or runs again.
#[test]
fn late_reader() {
    for seed in 1..=SEEDS {
        arbtest(check_late_reader).seed(seed << 32 | 0x4_0000);
    }
}

/// The log was used before the system was installed, and its first records are dropped. Guards
/// against a system that waits for them and never accepts a job.
#[test]
fn new_deployment() {
    let mut ledger = Ledger::default();
    ledger.skip_to(500);
    assert!(!ledger.is_complete());
    ledger.reached_head();
    assert!(ledger.is_complete());
}

/// A process was frozen for longer than the log keeps records, and a job that it knows has ended
/// meanwhile. Guards against running this job again.
#[test]
fn gap_clears_jobs() {
    let mut planner = Planner::new();
    planner.write(
        "entry-0",
        RecordBody::JobAccepted {
            job: "job-0".into(),
            spec: spec(),
        },
    );
    assert_eq!(planner.ledger.jobs.all_live().count(), 1);
    planner.ledger.skip_to(10_000);
    assert_eq!(planner.ledger.jobs.all_live().count(), 0);
    assert!(!planner.ledger.is_complete());
}
