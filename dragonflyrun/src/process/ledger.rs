//! The fold of the whole log: each record is opened once and given to each table that it is for.

use std::collections::VecDeque;

use crate::{
    connection::{Carried, LogRecord, OpenError, Record, RecordBody, editor_of, open},
    job::JobTable,
    process::Membership,
    utils::{HashSet, Name},
    version::{History, LoggedEdit, Verdict},
};

/// Ids of records that are remembered to drop a second copy. A copy comes from a writer that
/// appended again after a lost answer, which happens within its few seconds of trying.
const REMEMBERED_IDS: usize = 65_536;

/// Records kept for peers that can't reach the log.
const KEPT_RECORDS: usize = 4_096;

/// All tables that are folded from the log, as of one offset.
#[derive(Debug, Default)]
pub struct Ledger {
    /// The configuration.
    pub history: History,
    /// Terms, entries and key owners.
    pub membership: Membership,
    /// The jobs.
    pub jobs: JobTable,
    next_offset: u64,
    gaps: u64,
    /// Whether a planner's record was seen since the last gap.
    planned: bool,
    ids: HashSet<Name>,
    id_order: VecDeque<Name>,
    kept: VecDeque<LogRecord>,
}

/// What folding a record gave, for those who wait for it.
#[derive(Clone, Debug)]
pub struct Folded {
    /// The offset of the record.
    pub offset: u64,
    /// The record.
    pub record: Record,
    /// Whether its author had the authority for it. A planner's record that follows its
    /// successor's claim is folded, so that whoever waits for it sees it, and changes nothing.
    pub in_effect: bool,
    /// The verdict, where it is an edit.
    pub verdict: Option<Verdict>,
}

impl Ledger {
    /// Returns the offset of the next record to fold.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Folds `raw` if it is the next record; returns what it was, or none where it was skipped.
    pub fn fold(&mut self, raw: &LogRecord, secret: &str) -> Option<Folded> {
        self.fold_with(raw, |data| open(data, secret))
    }

    /// Folds `raw` as [`fold`](Self::fold) does, where `open` opens its seal.
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
        // The configuration drops copies of edits by a rule of its own, which is alike in a
        // process that started late and remembers fewer ids.
        if !matches!(record.body, RecordBody::Edit(_)) && !self.is_new(&record.id) {
            return None;
        }
        self.planned |= record.body.planner_term().is_some();
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

    /// Goes on at `first` where the log has dropped the records before it.
    ///
    /// The planner carries what is live forward before the log drops it, so the tables are whole
    /// again once the records from `first` on are folded. What was known before may have ended in
    /// between, so the jobs begin anew, with those that are carried.
    pub fn skip_to(&mut self, first: u64) {
        if first > self.next_offset {
            log::warn!(from = self.next_offset, to = first; "log_gap");
            self.next_offset = first;
            self.gaps += 1;
            self.planned = false;
            self.kept.clear();
            self.history.mark_incomplete(first);
            self.membership.gap();
            self.jobs = JobTable::default();
        }
    }

    /// Takes note that all records up to the log's head are folded.
    ///
    /// Where a process began in the middle of the log and met nothing that a planner wrote, the
    /// system is new and the log was used for something else before. Without this rule nobody
    /// would ever be planner there. A process that has known a planner or a configuration was
    /// frozen for longer than the log keeps records, and must not take what it knew for current.
    pub fn reached_head(&mut self) {
        let is_blank = self.membership.term() == 0 && self.history.current().offset == 0;
        if !self.membership.is_whole() && !self.planned && is_blank {
            log::info!(offset = self.next_offset; "new_deployment");
            self.membership.begin();
            self.history.presume_complete();
        }
    }

    /// Returns whether nothing is missing that the log may have said.
    pub fn is_whole(&self) -> bool {
        self.membership.is_whole() && self.history.is_complete()
    }

    /// Counts the gaps after which the tables began anew.
    pub fn gaps(&self) -> u64 {
        self.gaps
    }

    /// Returns kept records from `from` on, `most` at the most; none where they are not all kept.
    pub fn kept_from(&self, from: u64, most: usize) -> Vec<LogRecord> {
        let Some(first) = self.kept.front().map(|r| r.offset) else {
            return Vec::new();
        };
        let Some(skip) = from.checked_sub(first) else {
            return Vec::new();
        };
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);
        self.kept.iter().skip(skip).take(most).cloned().collect()
    }

    /// Returns whether the author may say what the record says.
    ///
    /// A planner that was frozen may append after its successor has claimed the next term. Its
    /// record then stands behind the claim on the log, and every process skips it alike.
    ///
    /// An editor holds a key as well, and could otherwise write a planner's records with it.
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
            // Until it knows the planner, a process can't tell which job records are in effect.
            None => membership.is_whole() || !is_about_job(&record.body),
            Some(term) if matches!(record.body, RecordBody::Carried(Carried::Job { .. })) => {
                membership.is_whole() && term >= membership.term()
            }
            Some(term) if matches!(record.body, RecordBody::Carried(_)) => {
                term >= membership.term()
            }
            Some(term) => term == membership.term() && membership.planner() == Some(&record.author),
        }
    }

    fn keep(&mut self, raw: &LogRecord) {
        self.kept.push_back(raw.clone());
        if self.kept.len() > KEPT_RECORDS {
            self.kept.pop_front();
        }
    }

    fn is_new(&mut self, id: &Name) -> bool {
        if !self.ids.insert(id.clone()) {
            return false;
        }
        self.id_order.push_back(id.clone());
        if self.id_order.len() > REMEMBERED_IDS
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
            RecordBody::Carried(Carried::Configuration(carried)) => {
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
