//! Follows a keyed partition of the store, starting with the newest record of each key.

use std::{sync::Arc, time::Duration};

use crate::{
    port::{NewestRequest, Partition, ReadError, Store, StoreRecord},
    process::on_store::{
        BootTime,
        reader::{READ_LIMIT, Reader},
    },
};

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
}

impl<S: Store> Follower<S> {
    /// Returns a follower that has read nothing.
    pub fn new(store: Arc<S>, partition: Partition) -> Self {
        Self {
            reader: Reader::new(store.clone(), partition),
            store,
            partition,
            next: None,
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
        let requested_at = BootTime::now();
        match self.reader.read(next, wait).await {
            Ok(page) => {
                let end = next + page.records.len() as u64;
                self.next = Some(end);
                Ok(Batch {
                    requested_at,
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
    /// continues from the end of the partition as it was at the first page.
    async fn read_newest(&mut self) -> Result<Batch, ReadError> {
        let requested_at = BootTime::now();
        let mut records: Vec<StoreRecord> = Vec::new();
        let mut end = None;
        loop {
            let after = records.last().map(|r| r.key.clone());
            let page = self
                .store
                .newest(NewestRequest {
                    partition: self.partition,
                    after: after.as_deref(),
                    within: READ_LIMIT,
                })
                .await?;
            let start = *end.get_or_insert(page.end);
            let is_empty_page = page.records.is_empty();
            records.extend(page.records);
            if !page.more || is_empty_page {
                self.next = Some(start);
                return Ok(Batch {
                    requested_at,
                    is_current: true,
                    replaces: true,
                    records,
                    end: start,
                });
            }
        }
    }
}
