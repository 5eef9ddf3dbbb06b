//! Queries the stand-ins of a deployment and injects faults into them.

use std::{
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use dragonflyrun::{connection::LogClient, process::Ledger, version::Section};

use crate::{
    backend::{BackendControl, BackendRecord},
    editor::Editor,
    harness::{Deployment, EDITOR, SECRET, wait_for},
    log::{LogControl, LogMode},
    worker::{Interval, WorkerControl},
};

/// Timeout of a call to the log service.
const LOG_TIMEOUT: Duration = Duration::from_secs(2);

/// Minimum number of records that the log has to retain; see the section on retention in
/// `docs/GANGS.md`.
const KEPT_RECORDS: usize = 4_500;

/// Number of foreign records per append.
const RECORDS_PER_FILLER: usize = 250;
/// Number of appends of foreign records.
const FILLER_APPENDS: usize = 36;
/// Interval between these appends, in which the planner repeats states.
const FILLER_INTERVAL: Duration = Duration::from_millis(150);

impl Deployment {
    /// Returns an editor that acts as the operator of the deployment.
    pub fn editor(&self) -> Editor {
        Editor::new(self.log.address, EDITOR, SECRET)
    }

    /// Sets how the log service behaves.
    ///
    /// # Panics
    ///
    /// If it does not answer.
    pub fn set_log(&self, mode: LogMode) {
        self.log.control(&LogControl {
            mode: Some(mode),
            ..LogControl::default()
        });
    }

    /// Appends foreign records until the planner has repeated all states, then has the log drop all
    /// but the minimum number of records. Returns the first offset that is retained.
    ///
    /// # Panics
    ///
    /// If an append fails.
    pub fn drop_old_records(&self) -> u64 {
        let client = LogClient::new(&self.log.address.to_string(), LOG_TIMEOUT);
        let filler = vec!["not a record of the system".to_owned(); RECORDS_PER_FILLER];
        let mut head = 0;
        for _ in 0..FILLER_APPENDS {
            let first = client.append(&filler);
            head = first.unwrap_or_else(|e| panic!("append to the log failed: {e}"))
                + RECORDS_PER_FILLER as u64;
            // The planner repeats states while it reads the log.
            thread::sleep(FILLER_INTERVAL);
        }
        self.log.control(&LogControl {
            keep: Some(KEPT_RECORDS),
            ..LogControl::default()
        });
        head.saturating_sub(KEPT_RECORDS as u64)
    }

    /// Folds the complete log, as every process does.
    ///
    /// # Panics
    ///
    /// If the log cannot be read.
    pub fn ledger(&self) -> Ledger {
        let ledger = self.editor().ledger();
        ledger.unwrap_or_else(|e| panic!("cannot read the log: {e}"))
    }

    /// Edits a section and returns the resulting version.
    ///
    /// # Panics
    ///
    /// If the append fails or the edit is rejected.
    pub fn edit(&self, section: &str, content: Section) -> u64 {
        let edited = self.editor().edit(section, content);
        edited.unwrap_or_else(|e| panic!("{section}: {e}"))
    }

    /// Takes a failure domain out of service or returns it to service. Returns the resulting
    /// version.
    ///
    /// # Panics
    ///
    /// If the append fails, the edit is rejected or no section names the failure domain.
    pub fn set_in_service(&self, domain: &str, in_service: bool) -> u64 {
        let edited = self.editor().set_in_service(domain, in_service);
        edited.unwrap_or_else(|e| panic!("{domain}: {e}"))
    }

    /// Waits until the log names a planner and returns the index of that entry.
    pub fn planner(&self) -> usize {
        wait_for("a planner", || {
            let ledger = self.ledger();
            let planner = ledger.membership.planner()?;
            self.entries
                .iter()
                .position(|e| e.child.name() == &**planner)
        })
    }

    /// Returns the intervals in which tasks ran, of all workers that answer and of killed workers.
    pub fn intervals(&self) -> Vec<Interval> {
        let records = self.workers.iter();
        records
            .filter_map(|w| w.get::<Vec<Interval>>("/v1/record"))
            .flatten()
            .chain(self.lost_intervals.iter().cloned())
            .collect()
    }

    /// Returns the intervals in which tasks of one job ran.
    pub fn intervals_of(&self, job: &str) -> Vec<Interval> {
        let mut intervals = self.intervals();
        intervals.retain(|i| *i.job == *job);
        intervals
    }

    /// Returns how many members of an attempt of a job currently run.
    pub fn running_members(&self, job: &str, attempt: u32) -> usize {
        let intervals = self.intervals_of(job);
        let running = |i: &&Interval| i.attempt == attempt && i.stopped_unix_ms.is_none();
        intervals.iter().filter(running).count()
    }

    /// Kills a worker with its tasks. Its intervals are kept; open ones end at the kill.
    pub fn kill_worker(&mut self, number: usize) {
        let worker = &mut self.workers[number];
        let record: Vec<Interval> = worker.get("/v1/record").unwrap_or_default();
        worker.child.kill();
        let killed = unix_ms();
        self.lost_intervals
            .extend(record.into_iter().map(|i| Interval {
                stopped_unix_ms: i.stopped_unix_ms.or(Some(killed)),
                ..i
            }));
    }

    /// Returns the records of all backend servers that answer.
    pub fn backend_records(&self) -> Vec<BackendRecord> {
        let records = self.backends.iter();
        records.filter_map(|b| b.get("/v1/record")).collect()
    }

    /// Sets how a worker behaves.
    pub fn control_worker(&self, number: usize, control: WorkerControl) {
        self.workers[number].control(&control);
    }

    /// Sets how a backend server behaves.
    pub fn control_backend(&self, number: usize, control: BackendControl) {
        self.backends[number].control(&control);
    }
}

/// Returns the current time on the clock that the stand-ins use for their records.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}
