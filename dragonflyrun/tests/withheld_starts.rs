//! When it is logged that starts are withheld because the configuration can't be proven.

use std::time::Duration;

use dragonflyrun::{
    Timestamp,
    workload::{WithheldChange, WithheldStarts},
};

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

/// Guards against a planner that withholds starts without a log line, so that its log looks like
/// that of a planner without work.
#[test]
fn withholding_logged() {
    let mut withheld = WithheldStarts::default();
    assert_eq!(withheld.observe_pass(at(0), true, 3), None);
    let began = withheld.observe_pass(at(1_000), false, 3);
    assert_eq!(began, Some(WithheldChange::Withheld));
    let resumed = withheld.observe_pass(at(1_700), true, 3);
    let after = Duration::from_millis(700);
    assert_eq!(resumed, Some(WithheldChange::Resumed { after }));
    assert_eq!(withheld.observe_pass(at(1_800), true, 3), None);
}

/// Guards against a log line for each of the ten passes per second.
#[test]
fn lines_bounded() {
    let mut withheld = WithheldStarts::default();
    let passes = (0..600).filter_map(|i| withheld.observe_pass(at(i * 100), false, 1));
    let lines = passes.count();
    assert!((10..=13).contains(&lines), "{lines} lines in a minute");
}

/// Guards against log lines of a planner without waiting work, which withholds nothing.
#[test]
fn idle_not_logged() {
    let mut withheld = WithheldStarts::default();
    assert_eq!(withheld.observe_pass(at(0), false, 0), None);
    assert_eq!(withheld.observe_pass(at(9_000), false, 0), None);
    assert_eq!(withheld.observe_pass(at(9_100), true, 0), None);
}
