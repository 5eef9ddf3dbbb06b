//! Retries stay within the configured share of first attempts, whatever fails.

mod tables;

use arbtest::arbtest;
use dragonflyrun::{
    connection::NotRun,
    request::{EntryAction, RetryBudget},
};
use tables::{at, check, entry, not_run, refusals, runs, version, view};

/// Guards against a retry storm when all backend servers refuse. Without a budget, each request
/// would be sent to one after the other until its deadline, which multiplies the load during the
/// outage.
#[test]
fn all_refuse() {
    let names: Vec<String> = (0..10).map(|n| format!("agent-{n}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut table = entry(&names, 8);
    table.set_version(version(10));
    let (mut sent, mut retried, mut refused) = (0, 0, Vec::new());
    for round in 0..500 {
        let now = 1_000 + round * 500;
        for name in &names {
            table.update_agent(view(name, now, 8, 8));
        }
        table.submit(at(now), check());
        loop {
            let actions = table.take_actions();
            let to_refuse = runs(&actions);
            sent += to_refuse.len();
            retried += actions
                .iter()
                .filter(|a| matches!(a, EntryAction::Retried(_)))
                .count();
            refused.extend(refusals(&actions));
            if to_refuse.is_empty() {
                break;
            }
            for (to, id) in to_refuse {
                table.answered(at(now + 1), &to, id, not_run(NotRun::Leaving), 0);
            }
        }
    }
    table.tick(at(300_000));
    refused.extend(refusals(&table.take_actions()));
    assert_eq!(refused.len(), 500);
    assert!(refused.contains(&NotRun::RetryBudget));
    // The initial ten retries, and ten percent of 500 requests.
    assert!(retried > 0 && retried <= 60, "{retried} retries");
    assert!(sent <= 560, "{sent} requests sent for 500");
}

#[test]
fn share_of_firsts() {
    for n in 0..300 {
        arbtest(|u| {
            let percent = u.int_in_range(0..=100)?;
            let mut budget = RetryBudget::default();
            let (mut firsts, mut retries) = (0, 0);
            for _ in 0..u.int_in_range(0..=1_000)? {
                if u.ratio(1, 2)? {
                    budget.earn(percent);
                    firsts += 1;
                } else {
                    retries += u32::from(budget.spend());
                }
                assert!(retries * 100 <= firsts * percent + 1_000);
            }
            Ok(())
        })
        .seed(n << 32 | 200)
        .run();
    }
}
