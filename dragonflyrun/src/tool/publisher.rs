//! Puts an edit on the log and learns its verdict, though answers may be lost.

use std::{
    thread,
    time::{Duration, Instant}, //
};

use crate::{
    connection::{AuthorKey, Edit, LogError, RECORD_BYTES, RecordBody, editor_of},
    process::Folded,
    tool::{Log, LogReader},
    utils::Name,
    version::{History, LoggedEdit, Verdict},
};

/// Pause before the log is tried again, unless set otherwise.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// What became of an edit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Published {
    /// It is on the log, and every process reaches this verdict.
    Decided {
        /// The version that it makes if it is accepted.
        version: u64,
        /// The verdict.
        verdict: Verdict,
    },
    /// It is not on the log and will not be.
    NotSent {
        /// What the log said last.
        reason: String,
    },
    /// It may be on the log, now or later.
    Unknown {
        /// The id of its record.
        id: Name,
        /// What the log said last.
        reason: String,
    },
}

/// How far an append has got.
#[derive(Clone, Copy, Eq, PartialEq)]
enum AppendState {
    /// Each try was refused.
    NotAppended,
    /// The answer to a try was lost.
    Uncertain,
    /// The log has said that it is there.
    Appended,
}

/// Publishes edits of one editor.
pub struct Publisher<'a, L> {
    reader: &'a mut LogReader<L>,
    key: &'a AuthorKey,
    patience: Duration,
    retry_delay: Duration,
}

impl<'a, L: Log> Publisher<'a, L> {
    /// Returns a publisher that tries for about `patience`.
    pub fn new(reader: &'a mut LogReader<L>, key: &'a AuthorKey, patience: Duration) -> Self {
        Self {
            reader,
            key,
            patience,
            retry_delay: RETRY_DELAY,
        }
    }

    /// Sets the retry_delay before the log is tried again.
    pub fn retry_delay(self, retry_delay: Duration) -> Self {
        Self {
            retry_delay,
            ..self
        }
    }

    /// Reads the log to its head and returns the configuration.
    ///
    /// # Errors
    ///
    /// What the log said last; nothing has been sent.
    pub fn history(&mut self) -> Result<&History, LogError> {
        let end = Instant::now() + self.patience;
        loop {
            match self.reader.catch_up(drop) {
                Ok(()) => return Ok(&self.reader.ledger().history),
                Err(error) if Instant::now() >= end => return Err(error),
                Err(_) => thread::sleep(self.retry_delay),
            }
        }
    }

    /// Returns the verdict that `edit` would get if nothing else came before it; none where the
    /// configuration is not known.
    pub fn predict_verdict(&self, edit: &Edit) -> Option<Verdict> {
        let ledger = self.reader.ledger();
        let author = self.key.author();
        ledger.history.clone().fold(&LoggedEdit {
            offset: ledger.next_offset(),
            id: new_id(),
            editor: editor_of(author).unwrap_or_else(|| author.clone()),
            edit: edit.clone(),
        })
    }

    /// Publishes `edit` and waits for its verdict.
    ///
    /// Where the answer to an append is lost, the edit may be on the log. Sent again as a new edit
    /// it would be stale, and its editor would be told "refused" of what is in force. So the id is
    /// looked up first. What is sent again has the same id, as the first copy may still be on its
    /// way; every process drops a second copy.
    pub fn publish(&mut self, edit: &Edit) -> Published {
        let id = new_id();
        let record = self.key.seal(&id, &RecordBody::Edit(edit.clone()));
        if record.len() > RECORD_BYTES {
            let reason = format!("a record may have {RECORD_BYTES} bytes");
            return Published::NotSent { reason };
        }
        let end = Instant::now() + self.patience;
        let mut append_state = AppendState::NotAppended;
        let mut is_absent = true;
        let mut reason = String::new();
        loop {
            if append_state != AppendState::Appended && is_absent {
                match self.reader.log().append(std::slice::from_ref(&record)) {
                    Ok(_) => append_state = AppendState::Appended,
                    Err(error) => {
                        if matches!(error, LogError::Uncertain(_)) {
                            append_state = AppendState::Uncertain;
                        }
                        reason = error.to_string();
                    }
                }
            }
            if append_state != AppendState::NotAppended {
                match self.find_edit(&id) {
                    Ok(Some(published)) => return published,
                    Ok(None) => is_absent = true,
                    Err(error) => {
                        is_absent = false;
                        reason = error.to_string();
                    }
                }
            }
            if Instant::now() >= end {
                return match append_state {
                    AppendState::NotAppended => Published::NotSent { reason },
                    AppendState::Uncertain | AppendState::Appended => {
                        Published::Unknown { id, reason }
                    }
                };
            }
            thread::sleep(self.retry_delay);
        }
    }

    /// Reads the log to its head and returns what became of the edit with this id, if it is there.
    fn find_edit(&mut self, id: &Name) -> Result<Option<Published>, LogError> {
        let author = self.key.author();
        let mut first: Option<Folded> = None;
        let read = self.reader.catch_up(|folded| {
            if folded.record.id == *id && folded.record.author == *author {
                first.get_or_insert(folded);
            }
        });
        match first {
            None => read.map(|()| None),
            Some(Folded {
                offset,
                verdict: Some(verdict),
                ..
            }) => {
                let version = offset + 1;
                Ok(Some(Published::Decided { version, verdict }))
            }
            Some(_) => Ok(Some(Published::Unknown {
                id: id.clone(),
                reason: "the configuration before it is not known to this program".to_owned(),
            })),
        }
    }
}

/// Returns an id that no other record has.
pub(super) fn new_id() -> Name {
    let number: u128 = rand::random();
    format!("{number:032x}").into()
}
