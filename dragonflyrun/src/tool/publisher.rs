//! Appends an edit to the log and finds out its verdict, even if answers are lost.

use std::{
    thread,
    time::{Duration, Instant}, //
};

use crate::{
    connection::{AuthorKey, Edit, LogError, MAX_RECORD_BYTES, RecordBody, editor_of},
    process::Folded,
    tool::{Log, LogReader},
    utils::Name,
    version::{History, LoggedEdit, Verdict},
};

/// The default delay before the log is called again.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// The outcome of publishing an edit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Published {
    /// The edit is on the log, and every process reaches this verdict.
    Decided {
        /// The version that the edit creates if it is accepted.
        version: u64,
        /// The verdict on the edit.
        verdict: Verdict,
    },
    /// The edit is not on the log and never will be.
    NotSent {
        /// The last error of the log.
        reason: String,
    },
    /// The edit may be on the log, now or later.
    Unknown {
        /// The id of the edit's record.
        id: Name,
        /// The last error of the log.
        reason: String,
    },
}

/// What is known about the append of an edit.
#[derive(Clone, Copy, Eq, PartialEq)]
enum AppendState {
    /// All attempts were refused.
    NotAppended,
    /// The answer to an attempt was lost.
    Uncertain,
    /// The log has confirmed the append.
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
    /// Returns a publisher that keeps trying for about `patience`.
    pub fn new(reader: &'a mut LogReader<L>, key: &'a AuthorKey, patience: Duration) -> Self {
        Self {
            reader,
            key,
            patience,
            retry_delay: RETRY_DELAY,
        }
    }

    /// Sets the delay before the log is called again.
    pub fn retry_delay(self, retry_delay: Duration) -> Self {
        Self {
            retry_delay,
            ..self
        }
    }

    /// Reads the log up to its head and returns the history of the configuration.
    ///
    /// # Errors
    ///
    /// The last error of the log; nothing has been sent.
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

    /// Returns the verdict that `edit` would get if no other record preceded it, or `None` if the
    /// configuration is unknown.
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
    /// If the answer to an append is lost, the edit may be on the log. Sent again as a new edit, it
    /// would be stale, and its editor would be told that it was rejected although it is in force.
    /// So the publisher first looks for the id on the log. It sends the edit again with the same
    /// id, as the first copy may still arrive; every process ignores a second copy.
    pub fn publish(&mut self, edit: &Edit) -> Published {
        let id = new_id();
        let record = self.key.seal(&id, &RecordBody::Edit(edit.clone()));
        if record.len() > MAX_RECORD_BYTES {
            let reason = format!("a record may have {MAX_RECORD_BYTES} bytes");
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

    /// Reads the log up to its head and returns the outcome of the edit with this id, if found.
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

/// Returns a random id, which no other record has.
pub(super) fn new_id() -> Name {
    let number: u128 = rand::random();
    format!("{number:032x}").into()
}
