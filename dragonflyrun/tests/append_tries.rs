//! How long tries of an append wait.

use std::time::Duration;

use dragonflyrun::process::on_store::time_for_try;

const MOST: Duration = Duration::from_millis(900);

/// Guards against appends that hang with a connection that has fallen silent.
#[test]
fn prompt_store() {
    let first = time_for_try(0, Duration::from_millis(5), MOST);
    assert!(first <= Duration::from_millis(300));
}

/// Guards against twice the load on a store that is slow altogether.
#[test]
fn slow_store() {
    let delay = Duration::from_millis(200);
    assert!(time_for_try(0, delay, MOST) >= delay * 3);
}

#[test]
fn longer_each_time() {
    let times = (0..40).map(|failed| time_for_try(failed, Duration::ZERO, MOST));
    let times: Vec<Duration> = times.collect();
    assert!(times.is_sorted());
    assert_eq!(times.last(), Some(&MOST));
}
