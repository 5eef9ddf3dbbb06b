//! Announces an entry to the others, as [`EntryTable`](crate::workload::EntryTable) describes.

use std::{sync::Arc, sync::atomic::Ordering, time::Duration};

use rand::Rng;
use tokio::time::sleep;

use crate::{
    port::{Advisor, Append, Partition, Store, StoreRecord},
    process::on_store::StoreEntry,
    utils::{Timestamp, lock},
    workload::{EntryRecord, JobRecord},
};

/// Interval between two checks whether an announcement is due.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Range in milliseconds of the delay before the first announcement. When all hosts start together,
/// their records must not hold up the claims of a term, which share the partition.
const FIRST_DELAY_MS: std::ops::Range<u64> = 1_000..8_000;

/// Range in milliseconds of the delay before the next announcement.
const NEXT_DELAY_MS: std::ops::Range<u64> = 45_000..60_000;

/// Time limit for one append.
const APPEND_TIMEOUT: Duration = Duration::from_millis(900);

impl<S: Store, A: Advisor> StoreEntry<S, A> {
    /// Announces this entry at intervals. While it plans, it also removes the records of entries that
    /// are gone.
    pub(super) async fn announce(self: Arc<Self>) {
        let mut due_at: Option<Timestamp> = None;
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
            if now >= due && self.append_announcement(self.announcement()).await {
                due_at = Some(now + random_delay(NEXT_DELAY_MS));
            }
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
        let appended = self.store.append(&append, APPEND_TIMEOUT).await;
        if let Err(error) = &appended {
            log::info!(reason:% = error; "announcement_not_stored");
        }
        appended.is_ok()
    }
}

fn random_delay(range_ms: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(rand::rng().random_range(range_ms))
}
