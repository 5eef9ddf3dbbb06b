//! Reads the log up to its head and folds it, as every process does.

use std::time::Duration;

use crate::{
    connection::{LogClient, LogError, LogPage, open_unchecked},
    process::{Folded, Ledger},
    utils::Name,
};

/// The maximum number of records in one read.
const MAX_PAGE_RECORDS: usize = 1_000;

/// The operations of the platform's log that the tool uses.
pub trait Log {
    /// Appends `records` in one call and returns the offset of the first one.
    ///
    /// # Errors
    ///
    /// As [`LogClient::append`].
    fn append(&self, records: &[String]) -> Result<u64, LogError>;

    /// Reads up to `limit` records from offset `from`.
    ///
    /// # Errors
    ///
    /// As [`LogClient::read`].
    fn read(&self, from: u64, limit: usize) -> Result<LogPage, LogError>;
}

impl Log for LogClient {
    fn append(&self, records: &[String]) -> Result<u64, LogError> {
        self.append(records)
    }

    fn read(&self, from: u64, limit: usize) -> Result<LogPage, LogError> {
        self.read(from, limit, Duration::ZERO)
    }
}

/// How the seals of the records on the log are checked.
#[derive(Clone, Debug)]
pub enum Opener {
    /// With the deployment's secret, which proves who wrote a record.
    Checked(Name),
    /// Not at all. An editor that has only its own key can't detect forged records, so the tool
    /// asks the entries which version is in force before it trusts its own fold.
    Unchecked,
}

/// Reads the log and folds its records into a ledger.
pub struct LogReader<L> {
    log: L,
    opener: Opener,
    ledger: Ledger,
}

impl<L: Log> LogReader<L> {
    /// Returns a reader that has read nothing yet.
    pub fn new(log: L, opener: Opener) -> Self {
        Self {
            log,
            opener,
            ledger: Ledger::default(),
        }
    }

    /// Returns the ledger of all records read so far.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns the log.
    pub fn log(&self) -> &L {
        &self.log
    }

    /// Reads up to the head that the log has at the start of the call, and calls `on_folded` for
    /// each folded record.
    ///
    /// # Errors
    ///
    /// Any [`LogError`] of a read. The records that were folded before it stay in the ledger.
    pub fn catch_up(&mut self, mut on_folded: impl FnMut(Folded)) -> Result<(), LogError> {
        let mut head = None;
        loop {
            let from = self.ledger.next_offset();
            let page = self.log.read(from, MAX_PAGE_RECORDS)?;
            let head = *head.get_or_insert(page.head);
            self.ledger.skip_to(page.first);
            for raw in &page.records {
                let folded = match &self.opener {
                    Opener::Checked(secret) => self.ledger.fold(raw, secret),
                    Opener::Unchecked => self.ledger.fold_with(raw, open_unchecked),
                };
                folded.into_iter().for_each(&mut on_folded);
            }
            let next = self.ledger.next_offset();
            if next >= head {
                self.ledger.reached_head();
                return Ok(());
            }
            if next == from {
                let reason = "it returned no records below its head";
                return Err(LogError::Uncertain(reason.to_owned()));
            }
        }
    }
}
