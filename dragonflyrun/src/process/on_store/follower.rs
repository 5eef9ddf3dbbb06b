//! Follows a keyed partition of the store, starting with the newest record of each key.

use std::{mem::take, sync::Arc, time::Duration};

use tokio::time::Instant;

use crate::{
    port::{Newest, NewestRequest, Partition, ReadError, Store, StoreRecord},
    process::on_store::{BootTime, reader::Reader},
};

/// Time limit for the start of a page of newest records. All hosts read them at once after a loss of
/// power; pages that are read again from the beginning would congest the store for good.
const NEWEST_LIMIT: Duration = Duration::from_millis(900);

/// The time limit doubles with each page in a row that is not answered within it, up to this limit.
const MAX_NEWEST_LIMIT: Duration = Duration::from_secs(20);

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
}

/// Follows one keyed partition.
pub struct Follower<S> {
    store: Arc<S>,
    partition: Partition,
    reader: Reader<S>,
    next: Option<u64>,
    /// The pages of newest records that have been read of an unfinished step.
    newest: Option<NewestPages>,
    /// Number of pages of newest records in a row that were not answered.
    unanswered_pages: u32,
}

/// Pages of newest records.
#[derive(Debug)]
struct NewestPages {
    requested_at: BootTime,
    /// The end of the partition at the first page.
    end: u64,
    records: Vec<StoreRecord>,
}

impl<S: Store> Follower<S> {
    /// Returns a follower that has read nothing.
    pub fn new(store: Arc<S>, partition: Partition) -> Self {
        Self {
            reader: Reader::new(store.clone(), partition),
            store,
            partition,
            next: None,
            newest: None,
            unanswered_pages: 0,
        }
    }

    /// Returns the store's usual delay before it answers.
    pub fn usual_delay(&self) -> Duration {
        self.reader.usual_delay()
    }

    /// Returns new records, waiting for the first for up to `wait`.
    ///
    /// # Errors
    ///
    /// Returns an error if the store can't be read. A follower that has fallen behind the retained
    /// records restarts by itself with the newest record of each key.
    pub async fn next(&mut self, wait: Duration) -> Result<Batch, ReadError> {
        let Some(next) = self.next else {
            return self.read_newest().await;
        };
        match self.reader.read(next, wait).await {
            Ok(answer) => {
                let page = answer.page;
                let end = next + page.records.len() as u64;
                self.next = Some(end);
                Ok(Batch {
                    requested_at: answer.sent_at,
                    is_current: end >= page.end,
                    replaces: false,
                    records: page.records,
                    end,
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
        self.next = Some(pages.end);
        Ok(Batch {
            requested_at: pages.requested_at,
            is_current: true,
            replaces: true,
            records: pages.records,
            end: pages.end,
        })
    }

    async fn read_newest_page(&mut self) -> Result<Newest, ReadError> {
        let after = self.newest.as_ref().and_then(|pages| pages.records.last());
        let doubled = NEWEST_LIMIT.saturating_mul(1 << self.unanswered_pages.min(16));
        let req = NewestRequest {
            partition: self.partition,
            after: after.map(|record| &*record.key),
            within: doubled.min(MAX_NEWEST_LIMIT),
        };
        let sent = Instant::now();
        let page = self.store.newest(req).await;
        match page {
            Ok(_) => self.unanswered_pages = 0,
            Err(_) if sent.elapsed() >= req.within => {
                self.unanswered_pages += 1;
                return Err(ReadError::Late);
            }
            Err(_) => {}
        }
        page
    }
}
