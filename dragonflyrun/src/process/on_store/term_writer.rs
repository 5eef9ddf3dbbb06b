//! Appends of a planner within its term: numbered, in order, and refused once another planner has
//! a later term.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::time::sleep;

use crate::{
    port::{Advisor, Append, AppendError, Appended, Partition, Store, StoreRecord, Writer},
    process::on_store::{AppendRetry, StoreEntry},
    utils::{HashMap, lock},
};

/// The writer name that all planners share in the store.
pub(super) const WRITER: &str = "planner";

/// Time limit for one append of the planner.
pub(super) const APPEND_TIMEOUT: Duration = Duration::from_millis(800);

/// Longest delay between two attempts of an append. A planner has a writer for each agent, and all of
/// them may be refused at once.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);

/// The sequence number of the append that claims a term.
pub(super) const FIRST_SEQUENCE: u64 = 1;

/// Writes within a term that was claimed by an append to the jobs' partition.
pub(super) struct TermWriter<S, A> {
    entry: Arc<StoreEntry<S, A>>,
    term: u64,
    /// The sequence number of the next append to each partition.
    sequences: RefCell<HashMap<Partition, u64>>,
    /// Allow one append at a time to each partition, so that its sequence numbers arrive in order.
    append_locks: RefCell<HashMap<Partition, Rc<tokio::sync::Mutex<()>>>>,
    lost: Cell<bool>,
}

impl<S: Store, A: Advisor> TermWriter<S, A> {
    /// Returns the writer of term `term`, whose first append was the claim.
    pub(super) fn new(entry: Arc<StoreEntry<S, A>>, term: u64) -> Self {
        let claimed = (Partition::JOBS, FIRST_SEQUENCE + 1);
        Self {
            entry,
            term,
            sequences: RefCell::new(HashMap::from_iter([claimed])),
            append_locks: RefCell::default(),
            lost: Cell::new(false),
        }
    }

    /// Returns whether the term is over: the store has refused it, or it was abandoned.
    pub(super) fn is_lost(&self) -> bool {
        self.lost.get()
    }

    /// Marks the term as over for this writer, so that no append is retried from now on.
    pub(super) fn abandon_term(&self) {
        self.lost.set(true);
    }

    /// Appends and retries until the store has confirmed the append or the term is lost. A retry
    /// has the sequence number of the first attempt, so the records are appended only once.
    pub(super) async fn append(
        &self,
        partition: Partition,
        records: Vec<StoreRecord>,
    ) -> Option<Appended> {
        let append_lock = self.append_lock(partition);
        let _guard = append_lock.lock().await;
        let mut append = self.next_append(partition, records);
        let _transfer = self.entry.link_load.begin(append.bytes());
        let mut retry = AppendRetry::new(APPEND_TIMEOUT, MAX_RETRY_DELAY);
        loop {
            if self.is_lost() {
                return None;
            }
            let limit = retry.time_limit(lock(&self.entry.state).store_delay);
            let limit = limit + self.entry.link_load.time_limit();
            let sent_at = Instant::now();
            let error = match self.entry.store.append(&append, limit).await {
                Ok(appended) => return Some(appended),
                Err(error) => error,
            };
            match &error {
                AppendError::Fenced | AppendError::EndMoved(_) => {
                    log::warn!(term = self.term, partition:? = partition; "term_lost");
                    self.mark_lost();
                    return None;
                }
                AppendError::OutOfOrder(expected) => {
                    // All earlier appends of this term to the partition are confirmed, so the
                    // number that the store expects is that of this append.
                    log::info!(partition:? = partition, expected:?; "append_out_of_order");
                    if let (Some(expected), Some(writer)) = (*expected, &mut append.writer) {
                        writer.sequence = expected;
                        self.sequences.borrow_mut().insert(partition, expected + 1);
                    }
                }
                AppendError::Unknown(_) | AppendError::NotAppended(_) => {
                    if matches!(error, AppendError::Unknown(_)) {
                        let now = self.entry.now();
                        lock(&self.entry.state).admission.append_doubtful(now);
                    }
                    log::debug!(reason:% = error; "append_retried");
                }
            }
            sleep(retry.failed(&error, sent_at.elapsed())).await;
        }
    }

    /// Appends with a single attempt, even after the term was abandoned.
    pub(super) async fn append_once(
        &self,
        partition: Partition,
        records: Vec<StoreRecord>,
    ) -> Result<Appended, AppendError> {
        let append = self.next_append(partition, records);
        self.entry.store.append(&append, APPEND_TIMEOUT).await
    }

    fn next_append(&self, partition: Partition, records: Vec<StoreRecord>) -> Append {
        let mut sequences = self.sequences.borrow_mut();
        let next = sequences.entry(partition).or_insert(FIRST_SEQUENCE);
        let sequence = *next;
        *next += 1;
        Append {
            partition,
            records,
            writer: Some(Writer {
                name: WRITER,
                term: self.term,
                sequence,
            }),
            expected_end: None,
        }
    }

    fn append_lock(&self, partition: Partition) -> Rc<tokio::sync::Mutex<()>> {
        let mut append_locks = self.append_locks.borrow_mut();
        append_locks.entry(partition).or_default().clone()
    }

    fn mark_lost(&self) {
        self.entry.counters.event("term_lost");
        self.lost.set(true);
        self.entry.planner_wakeup.notify_one();
    }
}
