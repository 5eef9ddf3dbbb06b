//! Folds the log: opens each record once and applies it to the tables that it concerns.

use std::collections::VecDeque;

use crate::{
    connection::{LogRecord, OpenError, Record, RecordBody, RepeatedState, editor_of, open},
    job::JobTable,
    process::Membership,
    utils::{HashSet, Name},
    version::{History, LoggedEdit, Verdict},
};

/// Number of record ids that are remembered to drop second copies. A second copy comes from a
/// writer that appended again after a lost answer, which happens within the few seconds for which
/// it retries.
const MAX_REMEMBERED_IDS: usize = 65_536;

/// Number of records kept for peers that can't reach the log.
const MAX_KEPT_RECORDS: usize = 4_096;

/// All tables folded from the log, as of one offset.
#[derive(Debug, Default)]
pub struct Ledger {
    /// The configuration with the verdicts on its edits.
    pub history: History,
    /// The terms, entries and key owners.
    pub membership: Membership,
    /// The live jobs and the ends of earlier ones.
    pub jobs: JobTable,
    next_offset: u64,
    /// How many times records had to be skipped because the log no longer held them.
    log_gaps: u64,
    /// Whether a planner's record has been read since the last gap.
    saw_planner: bool,
    ids: HashSet<Name>,
    id_order: VecDeque<Name>,
    kept: VecDeque<LogRecord>,
}

/// The result of folding a record, for those who wait for it.
#[derive(Clone, Debug)]
pub struct Folded {
    /// The offset of the record.
    pub offset: u64,
    /// The record that was folded.
    pub record: Record,
    /// Whether its author was entitled to write it. A planner's record that comes after its
    /// successor's claim is still folded, so that those who wait for it see it, but it changes
    /// nothing.
    pub in_effect: bool,
    /// The verdict, if the record is an edit.
    pub verdict: Option<Verdict>,
}

impl Ledger {
    /// Returns the offset of the next record to fold.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Folds `raw` if it is the next record. Returns the result, or `None` if the record was
    /// skipped.
    pub fn fold(&mut self, raw: &LogRecord, secret: &str) -> Option<Folded> {
        self.fold_with(raw, |data| open(data, secret))
    }

    /// Folds `raw` like [`fold`](Self::fold), with `open` to open its seal.
    pub fn fold_with(
        &mut self,
        raw: &LogRecord,
        open: impl FnOnce(&str) -> Result<Record, OpenError>,
    ) -> Option<Folded> {
        if raw.offset != self.next_offset {
            return None;
        }
        self.next_offset += 1;
        self.keep(raw);
        let record = match open(&raw.data) {
            Ok(record) => record,
            Err(error) => {
                log::warn!(offset = raw.offset, error:% = error; "record_skipped");
                return None;
            }
        };
        // The configuration drops copies of edits by a rule of its own, which gives the same result
        // in a process that started later and remembers fewer ids.
        if !matches!(record.body, RecordBody::Edit(_)) && !self.is_new(&record.id) {
            return None;
        }
        self.saw_planner |= record.body.planner_term().is_some();
        let in_effect = self.has_authority(&record);
        let verdict = if in_effect {
            self.apply(raw.offset, &record)
        } else {
            let author = &record.author;
            log::warn!(offset = raw.offset, author:% = author; "record_without_authority_skipped");
            None
        };
        Some(Folded {
            offset: raw.offset,
            record,
            in_effect,
            verdict,
        })
    }

    /// Continues at `first` if the log has dropped the records before it.
    ///
    /// The planner repeats live state before the log drops it, so the tables are complete again
    /// once the records from `first` on are folded. Jobs that were known before may have ended in
    /// between, so the job table is cleared and filled again from the repeated jobs.
    pub fn skip_to(&mut self, first: u64) {
        if first > self.next_offset {
            log::warn!(from = self.next_offset, to = first; "log_gap");
            self.next_offset = first;
            self.log_gaps += 1;
            self.saw_planner = false;
            self.kept.clear();
            self.history.mark_incomplete(first);
            self.membership.mark_incomplete();
            self.jobs = JobTable::default();
        }
    }

    /// Tells the ledger that all records up to the log's head are folded.
    ///
    /// If a process started in the middle of the log and found no planner's record, the deployment
    /// is new and the log was used for something else before. Without this rule nobody could ever
    /// become planner there. A process that has known a planner or a configuration was instead
    /// frozen for longer than the log keeps records, and must not treat its old state as current.
    pub fn reached_head(&mut self) {
        let knows_nothing = self.membership.term() == 0 && self.history.current().offset == 0;
        if !self.membership.is_complete() && !self.saw_planner && knows_nothing {
            log::info!(offset = self.next_offset; "new_deployment");
            self.membership.mark_complete();
            self.history.presume_complete();
        }
    }

    /// Returns whether no record is missing that may have changed the tables.
    pub fn is_complete(&self) -> bool {
        self.membership.is_complete() && self.history.is_complete()
    }

    /// Returns how many times records had to be skipped because the log no longer held them. The
    /// tables are reset each time.
    pub fn log_gaps(&self) -> u64 {
        self.log_gaps
    }

    /// Returns up to `limit` kept records starting at offset `from`; none if the record at `from`
    /// is no longer kept.
    pub fn kept_from(&self, from: u64, limit: usize) -> Vec<LogRecord> {
        let Some(first) = self.kept.front().map(|r| r.offset) else {
            return Vec::new();
        };
        let Some(skip) = from.checked_sub(first) else {
            return Vec::new();
        };
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);
        self.kept.iter().skip(skip).take(limit).cloned().collect()
    }

    /// Returns whether the author is entitled to write the record.
    ///
    /// A planner that was frozen may append after its successor has claimed the next term. Its
    /// record then comes after the claim on the log, and every process skips it.
    ///
    /// An editor also holds a key and must not be able to write a planner's records with it.
    fn has_authority(&self, record: &Record) -> bool {
        let is_edit = matches!(record.body, RecordBody::Edit(_));
        if !is_edit && editor_of(&record.author).is_some() {
            return false;
        }
        let membership = &self.membership;
        if let RecordBody::Term { entry, .. } = &record.body {
            return *entry == record.author;
        }
        match record.body.planner_term() {
            // Until a process knows the planner, it can't tell which job records are in effect.
            None => membership.is_complete() || !is_about_job(&record.body),
            Some(term)
                if matches!(
                    record.body,
                    RecordBody::RepeatedState(RepeatedState::Job { .. })
                ) =>
            {
                membership.is_complete() && term >= membership.term()
            }
            Some(term) if matches!(record.body, RecordBody::RepeatedState(_)) => {
                term >= membership.term()
            }
            Some(term) => term == membership.term() && membership.planner() == Some(&record.author),
        }
    }

    fn keep(&mut self, raw: &LogRecord) {
        self.kept.push_back(raw.clone());
        if self.kept.len() > MAX_KEPT_RECORDS {
            self.kept.pop_front();
        }
    }

    fn is_new(&mut self, id: &Name) -> bool {
        if !self.ids.insert(id.clone()) {
            return false;
        }
        self.id_order.push_back(id.clone());
        if self.id_order.len() > MAX_REMEMBERED_IDS
            && let Some(old) = self.id_order.pop_front()
        {
            self.ids.remove(&old);
        }
        true
    }

    fn apply(&mut self, offset: u64, record: &Record) -> Option<Verdict> {
        self.membership.fold(offset, &record.body);
        self.jobs.fold(offset, &record.body);
        match &record.body {
            RecordBody::Edit(edit) => self.history.fold(&LoggedEdit {
                offset,
                id: record.id.clone(),
                editor: editor_of(&record.author).unwrap_or_else(|| record.author.clone()),
                edit: edit.clone(),
            }),
            RecordBody::RepeatedState(RepeatedState::Configuration(carried)) => {
                self.history.adopt(offset, carried);
                None
            }
            _ => None,
        }
    }
}

fn is_about_job(body: &RecordBody) -> bool {
    matches!(
        body,
        RecordBody::JobAccepted { .. } | RecordBody::JobCancelled { .. }
    )
}
