//! Follows a keyed partition of the store, starting with the newest record of each key.
//!
//! A follower that is far behind goes to the newest records again where these are fewer bytes than
//! all that it has missed: every version of a large record would have to be read otherwise, by every
//! process, faster than the store can serve them.

use std::{mem::take, pin::pin, sync::Arc, time::Duration};

use tokio::select;

use crate::{
    port::{Newest, NewestRequest, PageRequest, Partition, ReadError, Store, StoreRecord},
    process::on_store::{
        BootTime,
        pending_read::{MAX_READ_AGE, PendingRead},
        reader::Reader,
    },
    utils::{HashMap, Name},
};

/// Size of a page of newest records, as a multiple of that of the same records in a partition.
/// Stores encode them as text.
const NEWEST_SIZE_FACTOR: f64 = 4.0 / 3.0;

/// Time without an answer to a page of newest records after which the store is probed. All hosts read
/// these pages at once after a loss of power, so that most of them are late.
const PROBE_INTERVAL: Duration = Duration::from_millis(900);

/// How long a probe, and then a page that should have been answered before it, is waited for.
const PROBE_LIMIT: Duration = Duration::from_millis(400);

/// Number of pages that are requested at once while the store answers probes, but no page.
const MAX_PAGES_AT_ONCE: usize = 2;

/// The records from one step of a follower.
#[derive(Debug)]
pub struct Batch {
    /// When the read was sent.
    pub requested_at: BootTime,
    /// Whether this covers all that the store had when the read was sent. A full page may be
    /// followed by more records, so the state without those may be long out of date.
    pub is_current: bool,
    /// Whether these are the newest records of all keys and replace everything read before.
    pub replaces: bool,
    /// The records that were read, in the order of their offsets.
    pub records: Vec<StoreRecord>,
    /// The offset up to which everything has been read.
    pub end: u64,
    /// The size of the answers in bytes, approximately.
    pub bytes: usize,
}

/// Follows one keyed partition.
pub struct Follower<S> {
    store: Arc<S>,
    partition: Partition,
    reader: Reader<S>,
    next: Option<u64>,
    may_skip: bool,
    /// Whether the next step reads the newest records although it could read on.
    skips: bool,
    /// The pages of newest records that have been read of an unfinished step.
    newest: Option<NewestPages>,
    sizes: RecordSizes,
}

/// Pages of newest records.
#[derive(Debug)]
struct NewestPages {
    requested_at: BootTime,
    /// The end of the partition at the first page.
    end: u64,
    records: Vec<StoreRecord>,
}

/// The sizes of the newest records.
#[derive(Debug, Default)]
struct RecordSizes {
    by_key: HashMap<Name, usize>,
    total: usize,
    /// Mean size of the records of the last page.
    page_mean: usize,
}

impl RecordSizes {
    /// Records the sizes of `records` and returns their sum.
    fn apply(&mut self, records: &[StoreRecord]) -> usize {
        let mut bytes = 0;
        for record in records {
            let size = record.key.len() + record.value.as_ref().map_or(0, Vec::len);
            bytes += size;
            let before = match record.value {
                Some(_) => self.by_key.insert(record.key.clone(), size),
                None => self.by_key.remove(&record.key),
            };
            self.total -= before.unwrap_or(0);
            self.total += record.value.as_ref().map_or(0, |_| size);
        }
        if !records.is_empty() {
            self.page_mean = bytes / records.len();
        }
        bytes
    }

    fn newest_bytes(&self) -> usize {
        (self.total as f64 * NEWEST_SIZE_FACTOR) as usize
    }

    fn are_newest_smaller(&self, records: u64) -> bool {
        let missed = usize::try_from(records).unwrap_or(usize::MAX);
        missed.saturating_mul(self.page_mean) > self.newest_bytes()
    }
}

impl<S: Store> Follower<S> {
    /// Returns a follower that has read nothing.
    pub fn new(store: Arc<S>, partition: Partition) -> Self {
        Self {
            reader: Reader::new(store.clone(), partition),
            store,
            partition,
            next: None,
            may_skip: false,
            skips: false,
            newest: None,
            sizes: RecordSizes::default(),
        }
    }

    /// Lets the follower go to the newest records instead of reading all that it has missed. Whoever
    /// applies its batches must need no record but the newest of each key.
    pub fn skipping(mut self) -> Self {
        self.may_skip = true;
        self
    }

    /// Returns the store's usual delay before it answers.
    pub fn usual_delay(&self) -> Duration {
        self.reader.usual_delay()
    }

    /// Returns the number of bytes that the store may have read in vain for a step that failed: one
    /// record, or the newest of each key.
    pub fn step_bytes(&self) -> usize {
        match self.may_skip {
            true => self.sizes.page_mean.max(self.sizes.newest_bytes()),
            false => self.sizes.page_mean,
        }
    }

    /// Returns new records, waiting for the first for up to `wait`.
    ///
    /// # Errors
    ///
    /// Returns an error if the store can't be read. A follower that has fallen behind the retained
    /// records restarts by itself with the newest record of each key.
    pub async fn next(&mut self, wait: Duration) -> Result<Batch, ReadError> {
        let next = match self.next {
            // If the newest records can't be read, the next step reads on.
            Some(next) if !take(&mut self.skips) => next,
            _ => return self.read_newest().await,
        };
        self.newest = None;
        match self.reader.read(next, wait).await {
            Ok(answer) => {
                let page = answer.page;
                let bytes = self.sizes.apply(&page.records);
                let end = next + page.records.len() as u64;
                let missing = page.end.saturating_sub(end);
                self.next = Some(end);
                self.skips = self.may_skip && self.sizes.are_newest_smaller(missing);
                Ok(Batch {
                    requested_at: answer.sent_at,
                    is_current: missing == 0,
                    replaces: false,
                    records: page.records,
                    end,
                    bytes,
                })
            }
            Err(ReadError::Dropped(first)) => {
                log::info!(partition:? = self.partition, next, first; "records_dropped");
                self.next = None;
                self.read_newest().await
            }
            Err(error) => Err(error),
        }
    }

    /// Reads the newest record of each key. The pages are no consistent snapshot, so following
    /// continues from the end of the partition as it was at the first page. After a failure the next
    /// call continues after the last page that was read.
    async fn read_newest(&mut self) -> Result<Batch, ReadError> {
        loop {
            let requested_at = BootTime::now();
            let page = self.read_newest_page().await?;
            let is_last = !page.more || page.records.is_empty();
            let pages = self.newest.get_or_insert_with(|| NewestPages {
                requested_at,
                end: page.end,
                records: Vec::new(),
            });
            pages.records.extend(page.records);
            if is_last {
                break;
            }
        }
        let Some(pages) = take(&mut self.newest) else {
            return Err(ReadError::Unavailable("no page was read".to_owned()));
        };
        self.sizes = RecordSizes {
            page_mean: self.sizes.page_mean,
            ..RecordSizes::default()
        };
        let missed = self.next.map_or(0, |next| pages.end.saturating_sub(next));
        let bytes = self.sizes.apply(&pages.records);
        // More than one record since the last read: more will probably follow before the next one.
        self.skips = self.may_skip && missed > 1 && self.sizes.are_newest_smaller(missed);
        if let Some(next) = self.next {
            log::info!(partition:? = self.partition, next, end = pages.end, bytes; "records_skipped");
        }
        self.next = Some(pages.end);
        Ok(Batch {
            requested_at: pages.requested_at,
            is_current: true,
            replaces: true,
            records: pages.records,
            end: pages.end,
            bytes: (bytes as f64 * NEWEST_SIZE_FACTOR) as usize,
        })
    }

    /// Reads the next page of newest records.
    ///
    /// A page that is late is waited for, since the store would have to read it once more otherwise. It is
    /// requested again, at growing intervals, only after a probe that was sent later has been answered:
    /// the first connection may have gone silent, or the partition have been.
    async fn read_newest_page(&self) -> Result<Newest, ReadError> {
        let mut pages = vec![self.start_newest_page()];
        let mut repeat_after = PROBE_INTERVAL;
        loop {
            if let Some((_, page)) = PendingRead::first_answer(&mut pages, PROBE_INTERVAL).await {
                return page;
            }
            if !pages[0].is_kept() {
                return Err(ReadError::Late);
            }
            let mut probe = pin!(self.probe());
            let answered = select! {
                page = PendingRead::first_answer(&mut pages, PROBE_LIMIT) => match page {
                    Some((_, page)) => return page,
                    None => false,
                },
                answered = &mut probe => answered,
            };
            if !answered {
                continue;
            }
            if let Some((_, page)) = PendingRead::first_answer(&mut pages, PROBE_LIMIT).await {
                return page;
            }
            if pages
                .last()
                .is_some_and(|page| page.sent.elapsed() >= repeat_after)
            {
                log::debug!(partition:? = self.partition, pending = pages.len(); "newest_page_repeated");
                pages.truncate(MAX_PAGES_AT_ONCE - 1);
                pages.push(self.start_newest_page());
                repeat_after *= 2;
            }
        }
    }

    fn start_newest_page(&self) -> PendingRead<Newest> {
        let after = self.newest.as_ref().and_then(|pages| pages.records.last());
        let (partition, after) = (self.partition, after.map(|record| record.key.clone()));
        PendingRead::send(
            self.store.clone(),
            Duration::ZERO,
            async move |store: &S| {
                let req = NewestRequest {
                    partition,
                    after: after.as_deref(),
                    within: MAX_READ_AGE,
                };
                store.newest(req).await
            },
        )
    }

    /// Returns whether the store answers a read of a single record of the partition.
    async fn probe(&self) -> bool {
        let req = PageRequest {
            partition: self.partition,
            from: 0,
            wait: Duration::ZERO,
            max_bytes: 0,
            within: PROBE_LIMIT,
        };
        match self.store.read(req).await {
            Ok(_) | Err(ReadError::Dropped(_)) => true,
            Err(ReadError::Late | ReadError::Unavailable(_)) => false,
        }
    }
}
