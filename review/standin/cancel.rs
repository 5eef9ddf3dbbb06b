//! Case: a job is cancelled at an entry that is partitioned from the store.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::{
    Outcome,
    deployment::{Folder, Record, start_entries, wait_ready, wait_until},
    net::listener,
    worker::{Kind, Work, Worker},
};

const JOB: &str = "5c0e7a21d94b36f8";

/// How long the entry is partitioned (`core_cut` of the site).
const CUT: Duration = Duration::from_millis(5_500);

/// `cancel_ms` of the site.
const CANCEL: Duration = Duration::from_millis(3_000);

const WORK: Work = Work {
    task: Duration::from_millis(2_500),
    uneven: Duration::ZERO,
    cpu: 7_500,
    mem_mb: 20_000,
    saves: false,
};

pub fn play(record: &Record, trouble: bool) -> Outcome {
    let folder = Folder::new();
    let (store, started) = start_entries(&folder);
    let (mut entries, links): (Vec<_>, Vec<_>) = started.into_iter().unzip();
    let mut agents = Vec::new();
    let mut workers = Vec::new();
    for (i, zone) in ["murau", "judenburg"].iter().enumerate() {
        let listener = listener();
        let address = listener.local_addr().expect("an address");
        let agent = folder.agent(&format!("agent-{}", i + 1), store.address, address);
        let kind = Kind {
            name: format!("i-7f3a91c{i}"),
            zone: (*zone).to_owned(),
            label: "a".to_owned(),
            rack: format!("r{}-1", i + 1),
            cpu: 64_000,
            mem_mb: 131_072,
        };
        let work = HashMap::from([(JOB.to_owned(), WORK)]);
        workers.push(Worker::start(kind, listener, agent.heartbeats, work));
        agents.push(agent);
    }
    if !wait_ready(&mut entries) {
        return Outcome::NotRun;
    }
    std::thread::sleep(Duration::from_secs(4));
    // The first entry plans. The second one takes the job, and the third one is told to cancel it.
    let (takes, cancels) = (&entries[1], &entries[2]);
    let number: usize = cancels.name.rsplit('-').next().unwrap().parse().unwrap();
    let link = &links[number - 1];
    let cut_at = Instant::now();
    if trouble {
        record.line(&format!("{} is partitioned from the store", cancels.name));
        link.set_cut(true);
        std::thread::sleep(Duration::from_millis(200));
    }
    let body = concat!(
        r#"{"spec":"s","steps":[{"count":3,"cpu":7500,"mem_mb":20000,"estimate_ms":2500},"#,
        r#"{"count":3,"cpu":7500,"mem_mb":20000,"estimate_ms":2500,"after":[0]},"#,
        r#"{"count":3,"cpu":7500,"mem_mb":20000,"estimate_ms":2500,"after":[1]}]}"#
    );
    let accepted = takes.call(Some(record), "POST", "q", JOB, body);
    if accepted.is_none_or(|(status, _)| status != 200) {
        return Outcome::NotRun;
    }
    std::thread::sleep(Duration::from_millis(200));
    let answer = cancels.call(Some(record), "DELETE", "q", JOB, "");
    let answered_at = Instant::now();
    let mut status = answer.map_or(0, |(status, _)| status);
    let mut acknowledged_at = answered_at;
    while !(200..300).contains(&status) && status != 410 {
        // Without a confirmation the consumer asks again.
        if answered_at.elapsed() > Duration::from_secs(10) {
            return Outcome::NotRun;
        }
        std::thread::sleep(Duration::from_millis(500));
        let answer = cancels.call(Some(record), "DELETE", "q", JOB, "");
        status = answer.map_or(0, |(status, _)| status);
        acknowledged_at = Instant::now();
    }
    std::thread::sleep(CUT.saturating_sub(cut_at.elapsed()));
    if trouble {
        link.set_cut(false);
        record.line(&format!("{} reaches the store again", cancels.name));
    }
    wait_until(Duration::from_secs(14), || {
        let state = takes.call(None, "GET", "q", JOB, "");
        state.is_some_and(|(_, body)| body.contains("completed"))
    });
    takes.call(Some(record), "GET", "q", JOB, "");
    let events: Vec<_> = workers.iter().flat_map(|w| w.events()).collect();
    record.events(&events);
    drop((entries, links, agents));
    let mut late = 0;
    for event in &events {
        let since = event.at.saturating_duration_since(acknowledged_at);
        late += usize::from(event.what == "start" && since > CANCEL);
    }
    record.line(&format!(
        "the cancelling was acknowledged with {status}; {late} tasks were started more than {} ms after that",
        CANCEL.as_millis()
    ));
    match late {
        0 => Outcome::Held,
        _ => Outcome::Broken,
    }
}
