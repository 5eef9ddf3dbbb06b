//! Case: jobs wait for the workers of a zone that is evacuated, and then start at once.

use std::{
    collections::HashMap,
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    Outcome,
    deployment::{Folder, Record, start_entries, wait_ready, wait_until},
    net::listener,
    worker::{Event, Kind, Work, Worker},
};

/// The zone that is evacuated, and the kind of its worker, which the jobs require.
const ZONE: &str = "judenburg";
const LABEL: &str = "b";

/// How long the zone is evacuated (`evacuate` of the site).
const EVACUATION: Duration = Duration::from_secs(8);

const JOBS: u16 = 90;

/// Two jobs with a short `spec` that are handed in last, and the labels that they require.
const LAST_JOBS: [(&str, &str); 2] = [("a10e7a21d94b36f1", LABEL), ("a20e7a21d94b36f2", "a")];

/// Interval at which jobs are handed in.
const INTERVAL: Duration = Duration::from_millis(85);

/// The longest `spec`.
const SPEC_BYTES: usize = 4_000;

/// `finish_s` of the site.
const FINISH: Duration = Duration::from_secs(14);

/// The needs of the tasks in the example of PROTOCOL.md.
const WORK: Work = Work {
    task: Duration::from_millis(900),
    uneven: Duration::ZERO,
    cpu: 500,
    mem_mb: 256,
    saves: false,
};

fn id(number: u16) -> String {
    format!("5c0e7a21d94b{number:04x}")
}

fn body(spec: &str, label: &str) -> String {
    format!(
        concat!(
            r#"{{"spec":"{}","steps":[{{"count":1,"cpu":{},"mem_mb":{},"estimate_ms":900,"#,
            r#""requires":"{}"}}]}}"#
        ),
        spec, WORK.cpu, WORK.mem_mb, label
    )
}

pub fn play(record: &Record, trouble: bool) -> Outcome {
    let folder = Folder::new();
    let (store, started) = start_entries(&folder);
    let (mut entries, links): (Vec<_>, Vec<_>) = started.into_iter().unzip();
    let mut agents = Vec::new();
    let mut workers = Vec::new();
    for (i, zone) in ["murau", ZONE, "leoben"].iter().enumerate() {
        let listener = listener();
        let address = listener.local_addr().expect("an address");
        let agent = folder.agent(&format!("agent-{}", i + 1), store.address, address);
        let kind = Kind {
            name: format!("i-7f3a91c{i}"),
            zone: (*zone).to_owned(),
            label: if *zone == ZONE { LABEL } else { "a" }.to_owned(),
            rack: format!("r{}-1", i + 1),
            cpu: 64_000,
            mem_mb: 131_072,
        };
        let last = LAST_JOBS.iter().map(|(id, _)| (*id).to_owned());
        let work: HashMap<_, _> = (0..JOBS).map(id).chain(last).map(|id| (id, WORK)).collect();
        workers.push(Worker::start(kind, listener, agent.heartbeats, work));
        agents.push(agent);
    }
    if !wait_ready(&mut entries) {
        return Outcome::NotRun;
    }
    sleep(Duration::from_secs(4));
    let key = format!("evacuate/{ZONE}");
    let began = Instant::now();
    if trouble {
        record.line(&format!("operator: evacuates {ZONE}"));
        store.put("keyed.op", &key, b"{}");
    }
    sleep(Duration::from_millis(200));
    let from = Instant::now();
    let mut accepted = Vec::new();
    for number in 0..JOBS {
        sleep((INTERVAL * u32::from(number)).saturating_sub(from.elapsed()));
        let entry = &entries[usize::from(number) % entries.len()];
        let (id, sent) = (id(number), Instant::now());
        let spec = format!("{number:04} ").repeat(SPEC_BYTES / 5);
        let answer = entry.call(None, "POST", "q", &id, &body(&spec, LABEL));
        let status = answer.map_or(0, |(status, _)| status);
        record.line_at(
            sent,
            &format!("consumer -> {}: POST /q/{id}: {status}", entry.name),
        );
        if (200..300).contains(&status) {
            accepted.push(id);
        }
    }
    sleep(EVACUATION.saturating_sub(began.elapsed()));
    if trouble {
        record.line(&format!("operator: takes {ZONE} back"));
        store.put("keyed.op", &key, b"");
    }
    let events = || -> Vec<Event> { workers.iter().flat_map(|w| w.events()).collect() };
    let back = Instant::now();
    wait_until(FINISH, || {
        let events = events();
        events.iter().filter(|e| e.what == "noted").count() >= accepted.len()
    });
    let waited = back.elapsed();
    let is_started = |id: &str| {
        let events = events();
        events
            .iter()
            .any(|e| e.what == "start" && e.task.starts_with(id))
    };
    let lost: Vec<&String> = accepted.iter().filter(|id| !is_started(id)).collect();
    record.line(&format!(
        "{} of {JOBS} jobs were accepted; {} of them had never run {:.1} s after the zone was back",
        accepted.len(),
        lost.len(),
        waited.as_secs_f64()
    ));
    for id in lost.iter().take(3) {
        entries[0].call(Some(record), "GET", "q", id, "");
    }
    for (id, label) in LAST_JOBS {
        entries[0].call(Some(record), "POST", "q", id, &body("s", label));
    }
    wait_until(Duration::from_secs(3), || {
        LAST_JOBS.iter().all(|(id, _)| is_started(id))
    });
    for (id, label) in LAST_JOBS {
        let started = if is_started(id) { "has" } else { "hasn't" };
        record.line(&format!("job {id}, which requires {label}, {started} run"));
    }
    let (refused, topics, size) = store.too_large(began);
    record.line(&format!(
        "the store has refused {refused} appends to {topics:?} with a record of up to {size} bytes (record_bytes is 262144)"
    ));
    record.events(&events());
    let running: usize = workers.iter().map(|w| w.running()).sum();
    record.line(&format!("{running} tasks are running on the three workers"));
    drop((entries, links, agents));
    match (accepted.is_empty(), lost.len()) {
        (true, _) => Outcome::NotRun,
        (false, 0) => Outcome::Held,
        _ => Outcome::Broken,
    }
}
