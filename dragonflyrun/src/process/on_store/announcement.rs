//! Announces an entry to the others, as [`EntryTable`](crate::workload::EntryTable) describes.

use std::{
    sync::Arc,
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use rand::Rng;
use tokio::time::sleep;

use crate::{
    port::{Advisor, Append, Partition, Store, StoreRecord},
    process::on_store::{StoreEntry, append_timeout},
    utils::{Timestamp, lock},
    workload::{Backoff, EntryRecord, JobRecord},
};

/// Interval between two checks whether an announcement is due.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Range in milliseconds of the delay before the first announcement. When all hosts start together,
/// their records must not hold up the claims of a term, which share the partition.
const FIRST_DELAY_MS: std::ops::Range<u64> = 1_000..8_000;

/// Range in milliseconds of the delay before the next announcement.
const NEXT_DELAY_MS: std::ops::Range<u64> = 45_000..60_000;

/// Delay before an announcement that was not stored is repeated; it doubles with each attempt. The
/// announcements of a large fleet share a partition with the planner, and on a slow store one takes up
/// to 0.2 s of it.
const MIN_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Longest of these delays: the time between two announcements.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(45);

/// Minimum time limit for one append.
const APPEND_TIMEOUT: Duration = Duration::from_millis(900);

impl<S: Store, A: Advisor> StoreEntry<S, A> {
    /// Announces this entry at intervals. While it plans, it also removes the records of entries that
    /// are gone.
    pub(super) async fn announce(self: Arc<Self>) {
        let mut due_at: Option<Timestamp> = None;
        let mut backoff = Backoff::new(MIN_RETRY_DELAY);
        loop {
            sleep(CHECK_INTERVAL).await;
            let now = self.now();
            let (has_read, is_known, expired) = {
                let mut state = lock(&self.state);
                let expired = state.entries.remove_expired(now);
                let expired = if state.is_planner {
                    expired
                } else {
                    Vec::new()
                };
                let is_known = state.entries.contains(&self.settings.name);
                (state.job_table_current_at.is_some(), is_known, expired)
            };
            for name in expired {
                self.append_announcement(JobRecord::EntryGone(name)).await;
            }
            if !has_read || self.stopping.load(Ordering::Relaxed) {
                continue;
            }
            let first_delay = if is_known {
                NEXT_DELAY_MS
            } else {
                FIRST_DELAY_MS
            };
            let due = *due_at.get_or_insert_with(|| now + random_delay(first_delay));
            if now < due {
                continue;
            }
            let sent_at = Instant::now();
            let delay = match self.append_announcement(self.announcement()).await {
                true => {
                    backoff.succeeded();
                    random_delay(NEXT_DELAY_MS)
                }
                false => backoff.failed(sent_at.elapsed(), MAX_RETRY_DELAY),
            };
            due_at = Some(self.now() + delay);
        }
    }

    fn announcement(&self) -> JobRecord {
        JobRecord::Entry(EntryRecord {
            name: self.settings.name.clone(),
            room: self.settings.host_room(),
        })
    }

    /// Appends a record once; returns whether the store has confirmed it.
    async fn append_announcement(&self, record: JobRecord) -> bool {
        let records: Vec<StoreRecord> = vec![record.encode()];
        let append = Append {
            partition: Partition::JOBS,
            records,
            writer: None,
            expected_end: None,
        };
        let limit = append_timeout(APPEND_TIMEOUT, lock(&self.state).store_delay);
        let appended = self.store.append(&append, limit).await;
        if let Err(error) = &appended {
            log::info!(reason:% = error; "announcement_not_stored");
        }
        appended.is_ok()
    }
}

fn random_delay(range_ms: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(rand::rng().random_range(range_ms))
}
