//! The platform's store: a log of partitioned topics, some of which keep the newest record of each
//! key.

use std::{future::Future, pin::Pin, time::Duration};

use quick_error::quick_error;

use crate::utils::Name;

/// A stream of records in the store.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Topic {
    /// Records that operators write and this program only reads. Keyed.
    Operator,
    /// Jobs, their cancellations, the plan of each, and the planner's terms. Keyed.
    Jobs,
    /// The newest report of each worker's agent. Keyed.
    Workers,
    /// Orders of the planner to agents; the number distinguishes several such topics. Not keyed.
    Orders(u32),
}

impl Topic {
    /// Returns whether the store keeps the newest record of each key indefinitely.
    pub const fn is_keyed(self) -> bool {
        !matches!(self, Self::Orders(_))
    }
}

/// A part of a topic within which the store keeps records in order.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Partition {
    /// The topic that the partition belongs to.
    pub topic: Topic,
    /// The number of the partition within its topic.
    pub number: u32,
}

impl Partition {
    /// The partition that operators write to.
    pub const OPERATOR: Self = Self::first(Topic::Operator);
    /// The partition of the jobs and their plans.
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

/// One record. In a keyed topic a record without a value deletes its key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreRecord {
    /// The key; empty in a topic without keys.
    pub key: Name,
    /// The encoded content; `None` in a record that deletes its key.
    pub value: Option<Vec<u8>>,
}

/// The writer of an append, for partitions where late appends of a replaced writer must be
/// refused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Writer {
    /// The name shared by all writers that succeed one another.
    pub name: &'static str,
    /// The fencing token: the store refuses an append with a lower term than the highest it has
    /// seen.
    pub term: u64,
    /// Numbers the appends of a term to one partition, so that the store recognises repeats.
    pub sequence: u64,
}

/// Records that are appended all together or not at all.
#[derive(Clone, Debug)]
pub struct Append {
    /// The partition to append to.
    pub partition: Partition,
    /// The records. An append without records only sets the writer's term.
    pub records: Vec<StoreRecord>,
    /// The writer, if only one may write at a time; `None` for records of which repeated and late
    /// copies do no harm.
    pub writer: Option<Writer>,
    /// If set, the append succeeds only if the partition ends at this offset.
    pub expected_end: Option<u64>,
}

impl Append {
    /// Returns the size of the keys and values in bytes.
    pub fn bytes(&self) -> usize {
        let of =
            |record: &StoreRecord| record.key.len() + record.value.as_ref().map_or(0, Vec::len);
        self.records.iter().map(of).sum()
    }
}

/// The position of appended records.
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
        /// The writer has been replaced by one with a later term; nothing was appended.
        Fenced {
            display("the writer has been replaced")
        }
        /// The partition ends at another offset than the append requires; nothing was appended.
        EndMoved(end: u64) {
            display("the partition ends at {end}")
        }
        /// The store expects another sequence number; nothing was appended.
        OutOfOrder(expected: Option<u64>) {
            display("unexpected sequence number; the store expects {expected:?}")
        }
        /// It is certain that nothing was appended.
        NotAppended(reason: String) {
            display("not appended: {reason}")
        }
        /// The records may have been appended, or may still be.
        Unknown(reason: String) {
            display("unknown whether appended: {reason}")
        }
    }
}

/// A read of a partition.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PageRequest {
    /// The partition to read.
    pub partition: Partition,
    /// The offset of the first record.
    pub from: u64,
    /// How long the store may wait for a first record.
    pub wait: Duration,
    /// The size in bytes up to which the store returns records. The first one is returned whatever
    /// its size.
    pub max_bytes: usize,
    /// Time limit for the start of the answer, which includes `wait`.
    pub within: Duration,
}

/// Records that were read from a partition.
#[derive(Clone, Debug, Default)]
pub struct Page {
    /// The end of the partition when the store answered.
    pub end: u64,
    /// The records from the requested offset on, as many as fit.
    pub records: Vec<StoreRecord>,
}

/// A page whose answer has started to arrive, which shows that the store is reachable. The time
/// that the rest takes depends on its size and on the host's link, so no time limit for the
/// store's answers may include it (`docs/incidents/planner-without-configuration.md`).
pub struct PageBody<'a, P = Page>(Pin<Box<dyn Future<Output = Result<P, ReadError>> + 'a>>);

impl<'a, P> PageBody<'a, P> {
    /// Returns a page that the future `rest` yields.
    pub fn new(rest: impl Future<Output = Result<P, ReadError>> + 'a) -> Self {
        Self(Box::pin(rest))
    }

    /// Waits for the rest of the page and returns it.
    ///
    /// # Errors
    ///
    /// Returns an error if the answer ends early, stops arriving or is invalid.
    pub async fn read_all(self) -> Result<P, ReadError> {
        self.0.await
    }
}

impl<P: 'static> From<P> for PageBody<'_, P> {
    fn from(page: P) -> Self {
        Self::new(async { Ok(page) })
    }
}

/// A read of the newest record of each key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NewestRequest<'a> {
    /// The partition to read.
    pub partition: Partition,
    /// The key that the page starts after; `None` for the first page.
    pub after: Option<&'a str>,
    /// Time limit for the start of the answer.
    pub within: Duration,
}

/// A page of the newest records of each key.
#[derive(Clone, Debug, Default)]
pub struct Newest {
    /// The end of the partition when the store answered.
    pub end: u64,
    /// The records, in the order of their keys.
    pub records: Vec<StoreRecord>,
    /// Whether more keys follow the last one.
    pub more: bool,
}

quick_error! {
    /// Why a read returned no records.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum ReadError {
        /// The requested records are no longer retained; carries the first offset that is.
        Dropped(first: u64) {
            display("records before offset {first} are no longer retained")
        }
        /// The answer is late. It may still arrive.
        Late {
            display("the store's answer is late")
        }
        /// The store returned no usable answer.
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
    /// Appends records, waiting up to `within` for the store's confirmation.
    async fn append(&self, append: &Append, within: Duration) -> Result<Appended, AppendError>;

    /// Reads a page of records. Returns as soon as the answer starts to arrive.
    async fn read(&self, req: PageRequest) -> Result<PageBody<'_>, ReadError>;

    /// Reads a page of the newest record of each key. Returns as soon as the answer starts to arrive.
    async fn newest(&self, req: NewestRequest<'_>) -> Result<PageBody<'_, Newest>, ReadError>;
}
