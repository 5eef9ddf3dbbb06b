//! Appends the records of this process to the log in batches, and determines for each whether it
//! reached the log wherever that can be known.

use std::{
    sync::{
        Mutex,
        atomic::{AtomicBool, Ordering}, //
    },
    time::{Duration, Instant},
};

use crossbeam::channel::{Receiver, Sender, bounded, unbounded};
use quick_error::quick_error;

use crate::{
    connection::{AuthorKey, LogClient, LogError, RecordBody},
    process::{Folded, lock},
    utils::{HashMap, HashSet, Name},
};

/// Maximum number of records in one append.
const MAX_BATCH_RECORDS: usize = 64;

/// How long a record whose append got no answer is looked for on the log and appended again.
const UNCERTAIN_RETRY_PERIOD: Duration = Duration::from_secs(8);

/// Delay before a record whose append got no answer is appended again, so that the reader can find
/// it on the log first.
const UNCERTAIN_RETRY_DELAY: Duration = Duration::from_millis(400);

/// How often the appender checks whether the process is stopping.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(200);

quick_error! {
    /// Why a record is not known to be on the log.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum AppendError {
        /// The record is not on the log and never will be.
        Refused(reason: String) {
            display("not appended: {reason}")
        }
        /// The record may be on the log; appending it again with the same id is harmless.
        Uncertain {
            display("it is not known whether the record is on the log")
        }
    }
}

/// The queue of records that this process appends to the log.
pub struct Appender {
    key: AuthorKey,
    tx: Sender<QueuedRecord>,
    rx: Receiver<QueuedRecord>,
    waiters: Mutex<HashMap<Name, Sender<Result<Folded, AppendError>>>>,
    /// The ids of records that were sent to the log and have not been read back and folded yet.
    unfolded_ids: Mutex<HashSet<Name>>,
    stopping: AtomicBool,
}

struct QueuedRecord {
    id: Name,
    data: String,
}

impl Appender {
    /// Returns an empty queue whose records are sealed with `key`.
    pub fn new(key: AuthorKey) -> Self {
        let (tx, rx) = unbounded();
        Self {
            key,
            tx,
            rx,
            waiters: Mutex::default(),
            unfolded_ids: Mutex::default(),
            stopping: AtomicBool::new(false),
        }
    }

    /// Queues `body` and returns the id of its record.
    pub fn append(&self, body: RecordBody) -> Name {
        let id = self.new_id();
        self.queue(&id, &body);
        id
    }

    /// Queues `body` and waits, for at most `timeout`, until its record has been folded.
    ///
    /// # Errors
    ///
    /// Returns [`AppendError::Uncertain`] also on a timeout.
    pub fn append_and_wait(
        &self,
        body: RecordBody,
        timeout: Duration,
    ) -> Result<Folded, AppendError> {
        let id = self.new_id();
        let (tx, rx) = bounded(1);
        lock(&self.waiters).insert(id.clone(), tx);
        self.queue(&id, &body);
        let result = rx.recv_timeout(timeout);
        lock(&self.waiters).remove(&id);
        result.unwrap_or(Err(AppendError::Uncertain))
    }

    /// Marks a record as folded and wakes the caller that waits for it.
    pub fn on_folded(&self, folded: &Folded) {
        let id = &folded.record.id;
        lock(&self.unfolded_ids).remove(id);
        if let Some(tx) = lock(&self.waiters).remove(id) {
            // The caller may have timed out in the meantime.
            let _ = tx.try_send(Ok(folded.clone()));
        }
    }

    /// Makes [`Appender::run`] return once the queue is empty.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Appends the queued records until [`Appender::stop`]. Calls `on_uncertain` with `true` when
    /// an append may have taken effect without an answer and with `false` when that is resolved,
    /// and `on_failed` for each record that is given up.
    pub fn run(
        &self,
        log: &LogClient,
        on_uncertain: impl Fn(bool),
        on_failed: impl Fn(&Name, &AppendError),
    ) {
        loop {
            let Ok(first) = self.rx.recv_timeout(STOP_POLL_INTERVAL) else {
                if self.stopping.load(Ordering::Relaxed) {
                    return;
                }
                continue;
            };
            // The queue fills while an append is in progress, so the next batch is larger: under
            // load there are far fewer appends than records.
            let rest = self.rx.try_iter().take(MAX_BATCH_RECORDS - 1);
            let batch: Vec<QueuedRecord> = std::iter::once(first).chain(rest).collect();
            self.append_batch(log, batch, &on_uncertain, &on_failed);
        }
    }

    fn append_batch(
        &self,
        log: &LogClient,
        mut batch: Vec<QueuedRecord>,
        on_uncertain: &impl Fn(bool),
        on_failed: &impl Fn(&Name, &AppendError),
    ) {
        let start = Instant::now();
        let mut uncertain = false;
        while !batch.is_empty() {
            let data: Vec<String> = batch.iter().map(|p| p.data.clone()).collect();
            lock(&self.unfolded_ids).extend(batch.iter().map(|p| p.id.clone()));
            match log.append(&data) {
                Ok(_) => break,
                // An earlier attempt that got no answer may still have taken effect.
                Err(LogError::Refused(reason)) if !uncertain => {
                    let error = AppendError::Refused(reason);
                    self.fail_batch(&batch, &error, on_failed);
                    return;
                }
                Err(error) => {
                    log::warn!(records = batch.len(), error:% = error; "append_uncertain");
                    uncertain = true;
                    on_uncertain(true);
                }
            }
            // Records that the reader has found on the log are done. Appending the others again is
            // harmless, since every reader drops a second copy of an id.
            std::thread::sleep(UNCERTAIN_RETRY_DELAY);
            self.drop_folded(&mut batch);
            if start.elapsed() > UNCERTAIN_RETRY_PERIOD {
                self.fail_batch(&batch, &AppendError::Uncertain, on_failed);
                return;
            }
        }
        if uncertain {
            on_uncertain(false);
        }
    }

    fn drop_folded(&self, batch: &mut Vec<QueuedRecord>) {
        let unfolded_ids = lock(&self.unfolded_ids);
        batch.retain(|p| unfolded_ids.contains(&p.id));
    }

    fn fail_batch(
        &self,
        batch: &[QueuedRecord],
        error: &AppendError,
        on_failed: &impl Fn(&Name, &AppendError),
    ) {
        for QueuedRecord { id, .. } in batch {
            lock(&self.unfolded_ids).remove(id);
            if let Some(tx) = lock(&self.waiters).remove(id) {
                let _ = tx.try_send(Err(error.clone()));
            }
            log::warn!(id:% = id, error:% = error; "append_failed");
            on_failed(id, error);
        }
    }

    fn new_id(&self) -> Name {
        let random: u128 = rand::random();
        format!("{}-{random:032x}", self.key.author()).into()
    }

    fn queue(&self, id: &Name, body: &RecordBody) {
        let record = QueuedRecord {
            id: id.clone(),
            data: self.key.seal(id, body),
        };
        // The receiver is in the same struct, so it lives as long as the sender.
        let _ = self.tx.send(record);
    }
}
