//! Appends this process's records to the log, several at a time, each with certainty about its
//! fate as far as there can be any.

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

/// Records in one append, at the most.
const BATCH_RECORDS: usize = 64;

/// How long a record whose answer was lost is looked for and appended again.
const UNCERTAIN_FOR: Duration = Duration::from_secs(8);

/// Pause before a record whose answer was lost is appended again, so that the reader can find it.
const UNCERTAIN_PAUSE: Duration = Duration::from_millis(400);

/// How often the appender looks whether the process stops.
const STOP_POLL: Duration = Duration::from_millis(200);

quick_error! {
    /// Why a record is not known to be on the log.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum AppendError {
        /// It is not on the log, and will not be.
        Refused(reason: String) {
            display("not appended: {reason}")
        }
        /// It may be on the log; whoever asks again with the same id does no harm.
        Uncertain {
            display("it is not known whether the record is on the log")
        }
    }
}

/// The queue of records that this process appends.
pub struct Appender {
    key: AuthorKey,
    tx: Sender<Pending>,
    rx: Receiver<Pending>,
    waiters: Mutex<HashMap<Name, Sender<Result<Folded, AppendError>>>>,
    unseen: Mutex<HashSet<Name>>,
    stopping: AtomicBool,
}

struct Pending {
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
            unseen: Mutex::default(),
            stopping: AtomicBool::new(false),
        }
    }

    /// Queues `body` and returns the id that its record will have.
    pub fn append(&self, body: RecordBody) -> Name {
        let id = self.new_id();
        self.queue(&id, &body);
        id
    }

    /// Queues `body` and waits until its record was folded, for `timeout` at the most.
    ///
    /// # Errors
    ///
    /// [`AppendError::Uncertain`] also where the time is up.
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

    /// Takes note that a record was folded, and wakes whoever waits for it.
    pub fn on_folded(&self, folded: &Folded) {
        let id = &folded.record.id;
        lock(&self.unseen).remove(id);
        if let Some(tx) = lock(&self.waiters).remove(id) {
            // Whoever waited may have given up in the meantime.
            let _ = tx.try_send(Ok(folded.clone()));
        }
    }

    /// Ends [`Appender::run`] once the queue is empty.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Appends what is queued until [`Appender::stop`]; `pending` is told whenever it becomes or
    /// ceases to be possible that an append took effect unseen, `failed` of each record given up.
    pub fn run(
        &self,
        log: &LogClient,
        pending: impl Fn(bool),
        failed: impl Fn(&Name, &AppendError),
    ) {
        loop {
            let Ok(first) = self.rx.recv_timeout(STOP_POLL) else {
                if self.stopping.load(Ordering::Relaxed) {
                    return;
                }
                continue;
            };
            // While one append is under way the queue fills, so the next one takes more: under
            // load the number of appends stays far below the number of records.
            let rest = self.rx.try_iter().take(BATCH_RECORDS - 1);
            let batch: Vec<Pending> = std::iter::once(first).chain(rest).collect();
            self.append_batch(log, batch, &pending, &failed);
        }
    }

    fn append_batch(
        &self,
        log: &LogClient,
        mut batch: Vec<Pending>,
        pending: &impl Fn(bool),
        failed: &impl Fn(&Name, &AppendError),
    ) {
        let start = Instant::now();
        let mut uncertain = false;
        while !batch.is_empty() {
            let data: Vec<String> = batch.iter().map(|p| p.data.clone()).collect();
            lock(&self.unseen).extend(batch.iter().map(|p| p.id.clone()));
            match log.append(&data) {
                Ok(_) => break,
                // An earlier try whose answer was lost may still have taken effect.
                Err(LogError::Refused(reason)) if !uncertain => {
                    let error = AppendError::Refused(reason);
                    self.give_up(&batch, &error, failed);
                    return;
                }
                Err(error) => {
                    log::warn!(records = batch.len(), error:% = error; "append_uncertain");
                    uncertain = true;
                    pending(true);
                }
            }
            // The reader may find the records on the log; those are done. Appending the others
            // again is harmless, since every reader drops a second copy of an id.
            std::thread::sleep(UNCERTAIN_PAUSE);
            self.drop_seen(&mut batch);
            if start.elapsed() > UNCERTAIN_FOR {
                self.give_up(&batch, &AppendError::Uncertain, failed);
                return;
            }
        }
        if uncertain {
            pending(false);
        }
    }

    fn drop_seen(&self, batch: &mut Vec<Pending>) {
        let unseen = lock(&self.unseen);
        batch.retain(|p| unseen.contains(&p.id));
    }

    fn give_up(
        &self,
        batch: &[Pending],
        error: &AppendError,
        failed: &impl Fn(&Name, &AppendError),
    ) {
        for Pending { id, .. } in batch {
            lock(&self.unseen).remove(id);
            if let Some(tx) = lock(&self.waiters).remove(id) {
                let _ = tx.try_send(Err(error.clone()));
            }
            log::warn!(id:% = id, error:% = error; "append_failed");
            failed(id, error);
        }
    }

    fn new_id(&self) -> Name {
        let random: u128 = rand::random();
        format!("{}-{random:032x}", self.key.author()).into()
    }

    fn queue(&self, id: &Name, body: &RecordBody) {
        let pending = Pending {
            id: id.clone(),
            data: self.key.seal(id, body),
        };
        // The receiver lives as long as the sender, in the same struct.
        let _ = self.tx.send(pending);
    }
}
