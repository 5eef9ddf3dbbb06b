//! A store in memory with offsets per partition, the newest record of each key, and writers' terms.

use std::{cell::RefCell, collections::BTreeMap, time::Duration};

use dragonflyrun::{
    port::{
        Append, AppendError, Appended, Newest, NewestRequest, Page, PageBody, PageRequest,
        Partition, ReadError, Store, StoreRecord, Writer,
    },
    utils::{HashMap, Name},
};
use tokio::{
    sync::Notify,
    time::{Instant, timeout_at},
};

#[derive(Default)]
struct PartitionState {
    records: Vec<StoreRecord>,
    /// The term of each writer, its last sequence number and the answer to that append.
    writers: HashMap<&'static str, (u64, u64, Option<Appended>)>,
}

/// A store that keeps all partitions in memory.
#[derive(Default)]
pub struct MemoryStore {
    partitions: RefCell<HashMap<Partition, PartitionState>>,
    changed: Notify,
}

impl PartitionState {
    fn end(&self) -> u64 {
        self.records.len() as u64
    }

    /// Checks the term and sequence number of an append. Returns the earlier answer if the append
    /// repeats the last one of its writer.
    fn check_writer(&mut self, writer: &Writer) -> Result<Option<Appended>, AppendError> {
        let known = self.writers.entry(writer.name).or_insert((0, 0, None));
        if writer.term < known.0 {
            return Err(AppendError::Fenced);
        }
        if writer.term > known.0 {
            *known = (writer.term, writer.sequence.saturating_sub(1), None);
        }
        if writer.sequence == known.1 {
            return Ok(known.2);
        }
        if writer.sequence != known.1 + 1 {
            return Err(AppendError::OutOfOrder(Some(known.1 + 1)));
        }
        Ok(None)
    }
}

impl Store for MemoryStore {
    async fn append(&self, append: &Append, _within: Duration) -> Result<Appended, AppendError> {
        let mut partitions = self.partitions.borrow_mut();
        let partition = partitions.entry(append.partition).or_default();
        let repeated = match &append.writer {
            Some(writer) => partition.check_writer(writer)?,
            None => None,
        };
        if let Some(repeated) = repeated {
            return Ok(repeated);
        }
        let offset = partition.end();
        if append.expected_end.is_some_and(|at| at != offset) {
            return Err(AppendError::EndMoved(offset));
        }
        partition.records.extend(append.records.iter().cloned());
        let appended = Appended {
            offset,
            end: partition.end(),
        };
        if let Some(writer) = &append.writer {
            let state = (writer.term, writer.sequence, Some(appended));
            partition.writers.insert(writer.name, state);
        }
        drop(partitions);
        self.changed.notify_waiters();
        Ok(appended)
    }

    async fn read(&self, req: PageRequest) -> Result<PageBody<'_>, ReadError> {
        let PageRequest {
            partition,
            from,
            wait,
            ..
        } = req;
        let end = Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            let page = {
                let partitions = self.partitions.borrow();
                let known = partitions.get(&partition);
                let records = known.map_or(&[][..], |p| &p.records);
                let from = usize::try_from(from)
                    .unwrap_or(usize::MAX)
                    .min(records.len());
                Page {
                    end: records.len() as u64,
                    records: records[from..].to_vec(),
                }
            };
            // After the wait the answer is an empty page, as from the platform's store.
            if !page.records.is_empty() || timeout_at(end, changed).await.is_err() {
                return Ok(page.into());
            }
        }
    }

    async fn newest(&self, req: NewestRequest<'_>) -> Result<PageBody<'_, Newest>, ReadError> {
        let NewestRequest {
            partition, after, ..
        } = req;
        let partitions = self.partitions.borrow();
        let known = partitions.get(&partition);
        let records = known.map_or(&[][..], |p| &p.records);
        let mut newest: BTreeMap<Name, StoreRecord> = BTreeMap::new();
        for record in records {
            newest.insert(record.key.clone(), record.clone());
        }
        let records = newest.into_values().filter(|r| r.value.is_some());
        let records = records.filter(|r| after.is_none_or(|after| &*r.key > after));
        Ok(Newest {
            end: known.map_or(0, PartitionState::end),
            records: records.collect(),
            more: false,
        }
        .into())
    }
}
