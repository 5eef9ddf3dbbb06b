//! The platform's store: a log in partitions, of which some keep each key's newest record.

use std::{future::Future, pin::Pin, time::Duration};

use quick_error::quick_error;

use crate::utils::Name;

/// A stream of records in the store.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Topic {
    /// What operators write; the system reads it only. Keyed.
    Operator,
    /// Jobs, their cancellations, the plan of each, and the planner's terms. Keyed.
    Jobs,
    /// The newest report of each worker's agent. Keyed.
    Workers,
    /// Orders of the planner to agents; the number tells topics of this kind apart. Not keyed.
    Orders(u32),
}

impl Topic {
    /// Returns whether the store keeps the newest record of each key for ever.
    pub const fn is_keyed(self) -> bool {
        !matches!(self, Self::Orders(_))
    }
}

/// A part of a topic in which the store keeps the order of records.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Partition {
    /// The topic.
    pub topic: Topic,
    /// The number of the partition in its topic.
    pub number: u32,
}

impl Partition {
    /// What operators write.
    pub const OPERATOR: Self = Self::first(Topic::Operator);
    /// Jobs and their plans.
    pub const JOBS: Self = Self::first(Topic::Jobs);
    /// Returns a partition of agents' reports.
    pub const fn workers(number: u32) -> Self {
        Self {
            topic: Topic::Workers,
            number,
        }
    }

    const fn first(topic: Topic) -> Self {
        Self { topic, number: 0 }
    }
}

/// One record; a keyed record without a value drops its key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreRecord {
    /// The key; empty in a topic that is not keyed.
    pub key: Name,
    /// The content.
    pub value: Option<Vec<u8>>,
}

/// Who appends, where late appends of somebody who has been replaced must be refused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Writer {
    /// The name that all writers share of whom one follows the other.
    pub name: &'static str,
    /// The fencing token: the store refuses an append with a lower one than it has seen.
    pub term: u64,
    /// Numbers the appends of a term to one partition, so that a repeat is recognised.
    pub sequence: u64,
}

/// Records that are appended all or nothing.
#[derive(Clone, Debug)]
pub struct Append {
    /// Where.
    pub partition: Partition,
    /// What. None at all only sets the writer's term.
    pub records: Vec<StoreRecord>,
    /// The writer, where there is one at a time; none for records whose repeats and late arrivals do no harm.
    pub writer: Option<Writer>,
    /// The offset at which the partition has to end for the append to be done.
    pub at: Option<u64>,
}

impl Append {
    /// Returns the bytes of its records.
    pub fn bytes(&self) -> usize {
        let of =
            |record: &StoreRecord| record.key.len() + record.value.as_ref().map_or(0, Vec::len);
        self.records.iter().map(of).sum()
    }
}

/// Where the records of an append stand.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Appended {
    /// The offset of the first record.
    pub offset: u64,
    /// The end of the partition after it.
    pub end: u64,
}

quick_error! {
    /// Why an append was not confirmed.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum AppendError {
        /// The writer has been replaced; nothing was appended.
        Fenced {
            display("the writer has been replaced")
        }
        /// The partition ends elsewhere; nothing was appended.
        EndMoved(end: u64) {
            display("the partition ends at {end}")
        }
        /// The store expects another sequence number; nothing was appended.
        OutOfOrder(expected: Option<u64>) {
            display("the sequence number is not the next one, {expected:?}")
        }
        /// Nothing was appended for certain.
        NotAppended(reason: String) {
            display("not appended: {reason}")
        }
        /// The records may be there, or may still come.
        Unknown(reason: String) {
            display("not known whether appended: {reason}")
        }
    }
}

/// Records that were read.
#[derive(Clone, Debug, Default)]
pub struct Page {
    /// The end of the partition when the store answered.
    pub end: u64,
    /// The records from the offset that was asked for on, as many as fit.
    pub records: Vec<StoreRecord>,
}

/// A page whose answer has begun to come.
///
/// That it has begun shows that the store can be reached. How long the rest takes hangs on how much it is and
/// on the host's link, so no bound on the store's answers may count it
/// (`docs/incidents/planner-without-configuration.md`).
pub struct PageBody<'a>(Pin<Box<dyn Future<Output = Result<Page, ReadError>> + 'a>>);

impl<'a> PageBody<'a> {
    /// Returns a page that `rest` brings.
    pub fn new(rest: impl Future<Output = Result<Page, ReadError>> + 'a) -> Self {
        Self(Box::pin(rest))
    }

    /// Returns the page once all of it has come.
    ///
    /// # Errors
    ///
    /// Where the answer ends early, falls silent or can't be used.
    pub async fn read_all(self) -> Result<Page, ReadError> {
        self.0.await
    }
}

impl From<Page> for PageBody<'_> {
    fn from(page: Page) -> Self {
        Self::new(async { Ok(page) })
    }
}

/// A page of the newest record of each key.
#[derive(Clone, Debug, Default)]
pub struct Newest {
    /// The end of the partition when the store answered.
    pub end: u64,
    /// The records, in the order of their keys.
    pub records: Vec<StoreRecord>,
    /// Whether there are more keys after the last one.
    pub more: bool,
}

quick_error! {
    /// Why a read gave nothing.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum ReadError {
        /// The records asked for are no longer kept; the first that is kept follows.
        Dropped(first: u64) {
            display("records before offset {first} are no longer kept")
        }
        /// The store gave no answer that can be used.
        Unavailable(reason: String) {
            display("the store gave no answer: {reason}")
        }
    }
}

/// The platform's store. Its answers are linearizable.
#[expect(
    async_fn_in_trait,
    reason = "a process runs all its tasks on one thread"
)]
pub trait Store: 'static {
    /// Appends records, waiting up to `within` for the confirmation.
    async fn append(&self, append: &Append, within: Duration) -> Result<Appended, AppendError>;

    /// Reads from offset `from` on, and waits up to `wait` for a record to come; returns as soon as the
    /// answer begins to come.
    async fn read(
        &self,
        partition: Partition,
        from: u64,
        wait: Duration,
    ) -> Result<PageBody<'_>, ReadError>;

    /// Reads the newest record of each key after `after`.
    async fn newest(&self, partition: Partition, after: Option<&str>) -> Result<Newest, ReadError>;
}
