//! When a process may act on its state of the log.

use std::time::Duration;

use dragonflyrun::{
    connection::LogView,
    process::{EntryView, Freshness, MAX_HEAD_AGE},
    utils::Timestamp,
};

const NEXT_OFFSET: u64 = 40;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn reports_log_down(entry: &str, alive_at: Timestamp) -> EntryView {
    EntryView {
        entry: entry.into(),
        alive_at: Some(alive_at),
        has_left: false,
        log: LogView {
            next_offset: NEXT_OFFSET,
            age_ms: Some(60_000),
            reachable: false,
            append_pending: false,
            version: 3,
        },
    }
}

fn with_old_head() -> Freshness {
    let mut freshness = Freshness::default();
    freshness.on_head_seen(at(1_000));
    freshness.set_reachable(false);
    freshness
}

#[test]
fn head_seen() {
    let mut freshness = Freshness::default();
    assert!(!freshness.is_fresh(at(0), 0, &[]));
    freshness.set_reachable(true);
    freshness.on_head_seen(at(1_000));
    assert!(freshness.is_fresh(at(1_000) + MAX_HEAD_AGE, NEXT_OFFSET, &[]));
    let late = at(1_001) + MAX_HEAD_AGE;
    assert!(!freshness.is_fresh(late, NEXT_OFFSET, &[]));
}

/// The log is down and every entry reports so. Nothing can have changed, so work that needs the
/// latest state continues and callers can still make bookings during the outage.
#[test]
fn outage_agreed() {
    let now = at(60_000);
    let entries = [
        reports_log_down("entry-1", now),
        reports_log_down("entry-2", now),
    ];
    assert!(with_old_head().is_fresh(now, NEXT_OFFSET, &entries));
}

/// One entry is cut off from this process but not from the log, and operators may be draining a
/// failure domain through it. Here it only appears silent. A process that took the silence for
/// agreement would start tasks in the drained failure domain.
#[test]
fn silent_entry() {
    let now = at(60_000);
    let long_ago = at(30_000);
    let entries = [
        reports_log_down("entry-1", now),
        reports_log_down("entry-2", long_ago),
    ];
    assert!(!with_old_head().is_fresh(now, NEXT_OFFSET, &entries));
    let never = EntryView {
        alive_at: None,
        ..reports_log_down("entry-2", now)
    };
    assert!(!with_old_head().is_fresh(
        now,
        NEXT_OFFSET,
        &[reports_log_down("entry-1", now), never]
    ));
    assert!(!with_old_head().is_fresh(now, NEXT_OFFSET, &[]));
}

/// An entry announced that it was leaving and stopped before the outage. It does not prevent the
/// others from being fresh.
#[test]
fn stopped_entry_ignored() {
    let now = at(60_000);
    let mut left = reports_log_down("entry-2", at(2_000));
    left.has_left = true;
    let entries = [reports_log_down("entry-1", now), left];
    assert!(with_old_head().is_fresh(now, NEXT_OFFSET, &entries));
}

/// An entry's append got no answer, or the entry has read further than this process. What it
/// appended or read may be a drain that this process does not know of.
#[test]
fn entry_ahead() {
    let now = at(60_000);
    let mut pending = reports_log_down("entry-2", now);
    pending.log.append_pending = true;
    assert!(!with_old_head().is_fresh(now, NEXT_OFFSET, &[pending]));
    let mut ahead = reports_log_down("entry-2", now);
    ahead.log.next_offset = NEXT_OFFSET + 1;
    assert!(!with_old_head().is_fresh(now, NEXT_OFFSET, &[ahead]));
    let mut reaching = reports_log_down("entry-2", now);
    reaching.log.reachable = true;
    assert!(!with_old_head().is_fresh(now, NEXT_OFFSET, &[reaching]));
}

/// An append of this process got no answer before the log went down. Until the log has been read
/// long enough afterwards, the record may be on it unread.
#[test]
fn uncertain_append() {
    let now = at(60_000);
    let mut freshness = with_old_head();
    freshness.set_append_pending(at(2_000), true);
    let entries = [reports_log_down("entry-1", now)];
    assert!(!freshness.is_fresh(now, NEXT_OFFSET, &entries));
    freshness.on_head_seen(at(2_000) + Duration::from_secs(16));
    assert!(freshness.is_fresh(now, NEXT_OFFSET, &entries));
}
