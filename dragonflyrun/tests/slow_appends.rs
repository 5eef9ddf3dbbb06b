//! Appends on a slow store.

use std::time::Duration;

use dragonflyrun::{process::on_store::append_time, workload::LifeSigns};

const LEAST: Duration = Duration::from_millis(900);

/// Guards against appends that are given up and repeated while they stand in a queue of up to 2 s.
#[test]
fn queue_waited_out() {
    assert!(append_time(LEAST, Duration::from_millis(280)) > Duration::from_secs(2));
    assert_eq!(append_time(LEAST, Duration::from_millis(5)), LEAST);
}

/// Guards against records that say nothing and keep the next plan waiting.
#[test]
fn plans_show_life() {
    let mut signs = LifeSigns::default();
    assert!(signs.is_due(), "nothing was shown");
    signs.plan_sent();
    for _ in 0..5 {
        assert!(!signs.is_due(), "the plan is under way");
    }
    signs.plan_stands();
    assert!(!signs.is_due(), "it has just been shown");
    assert!(signs.is_due());
}
