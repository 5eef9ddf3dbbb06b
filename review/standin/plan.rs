//! Case: a large job is repeated until its plan no longer fits into a record of the store.

use std::{
    collections::HashMap,
    thread::sleep,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    Outcome,
    deployment::{Folder, Record, start_entries, wait_ready, wait_until},
    net::listener,
    worker::{Event, Kind, Work, Worker},
};

/// The large job, and the small ones that come after it.
const LARGE: &str = "5c0e7a21d94b36f8";
const SMALL: [&str; 3] = ["a10e7a21d94b36f1", "a20e7a21d94b36f2", "a30e7a21d94b36f3"];

/// The tasks of an occurrence, as many as the widest step of the site has.
const TASKS: u64 = 55;

/// How often the large job is repeated; `times` of the site is 6.
const OCCURRENCES: u64 = 200;
const OCCURRENCES_WITHOUT_TROUBLE: u64 = 6;

const INTERVAL: Duration = Duration::from_millis(350);

/// `finish_s` of the site.
const FINISH: Duration = Duration::from_secs(14);

const LARGE_WORK: Work = Work {
    task: Duration::from_millis(2_050),
    uneven: Duration::from_millis(200),
    cpu: 100,
    mem_mb: 64,
    saves: true,
};

const SMALL_WORK: Work = Work {
    task: Duration::from_millis(1_000),
    uneven: Duration::ZERO,
    cpu: 500,
    mem_mb: 256,
    saves: false,
};

pub fn play(record: &Record, trouble: bool) -> Outcome {
    let folder = Folder::new();
    let (store, started) = start_entries(&folder);
    let (mut entries, links): (Vec<_>, Vec<_>) = started.into_iter().unzip();
    let mut agents = Vec::new();
    let mut workers = Vec::new();
    for (i, zone) in ["murau", "judenburg", "leoben"].iter().enumerate() {
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
        let mut work: HashMap<_, _> = SMALL
            .iter()
            .map(|id| ((*id).to_owned(), SMALL_WORK))
            .collect();
        work.insert(LARGE.to_owned(), LARGE_WORK);
        workers.push(Worker::start(kind, listener, agent.heartbeats, work));
        agents.push(agent);
    }
    if !wait_ready(&mut entries) {
        return Outcome::NotRun;
    }
    sleep(Duration::from_secs(4));
    let events = || -> Vec<Event> { workers.iter().flat_map(|w| w.events()).collect() };
    let occurrences = if trouble {
        OCCURRENCES
    } else {
        OCCURRENCES_WITHOUT_TROUBLE
    };
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let body = format!(
        concat!(
            r#"{{"spec":"s","steps":[{{"count":{},"cpu":{},"mem_mb":{},"estimate_ms":2100,"#,
            r#""checkpointing":true}}],"start_at_ms":{},"interval_ms":{},"repeat_count":{}}}"#
        ),
        TASKS,
        LARGE_WORK.cpu,
        LARGE_WORK.mem_mb,
        unix.as_millis() + 200,
        INTERVAL.as_millis(),
        occurrences
    );
    let entry = &entries[0];
    let accepted = entry.call(Some(record), "POST", "q", LARGE, &body);
    if accepted.is_none_or(|(status, _)| status != 200) {
        return Outcome::NotRun;
    }
    let began = Instant::now();
    let all = INTERVAL * u32::try_from(occurrences).unwrap_or(1) + Duration::from_secs(4);
    while began.elapsed() < all && store.too_large(began).0 < 20 {
        sleep(Duration::from_secs(3));
        let done = events().iter().filter(|e| e.what == "end").count();
        record.line(&format!(
            "{done} runs have ended; the largest record of the jobs' partition has {} bytes",
            store.largest()
        ));
    }
    let (refused, topics, size) = store.too_large(began);
    record.line(&format!(
        "the store has refused {refused} appends to {topics:?} with a record of up to {size} bytes (record_bytes is 262144)"
    ));
    for id in SMALL {
        let body =
            r#"{"spec":"s","steps":[{"count":2,"cpu":500,"mem_mb":256,"estimate_ms":1000}]}"#;
        let entry = &entries[1];
        let accepted = wait_until(Duration::from_secs(10), || {
            let answer = entry.call(Some(record), "POST", "r", id, body);
            answer.is_some_and(|(status, _)| status == 200)
        });
        if !accepted {
            record.line("the small job was not accepted");
            return Outcome::NotRun;
        }
    }
    sleep(FINISH);
    let mut lost = 0;
    for id in SMALL {
        let answer = entries[1].call(Some(record), "GET", "r", id, "");
        let events = events();
        let starts = events
            .iter()
            .filter(|e| e.what == "start" && e.task.starts_with(id));
        let starts = starts.count();
        let is_completed = answer.is_some_and(|(_, body)| body.contains("completed"));
        record.line(&format!("job {id}: {starts} of its 2 tasks were started"));
        lost += usize::from(starts == 0 && !is_completed);
    }
    entries[1].call(Some(record), "GET", "q", LARGE, "");
    // One line for each tenth occurrence; all of them would be the same.
    for occurrence in (0..occurrences).step_by(10) {
        let prefix = format!("{LARGE}.{occurrence}.");
        let events = events();
        let of = |what: &'static str| {
            let of = events.iter().filter(move |e| e.what == what);
            of.filter(|e| e.task.starts_with(&prefix))
                .collect::<Vec<_>>()
        };
        let (starts, ends, noted) = (of("start"), of("end"), of("noted"));
        if let Some(first) = starts.iter().map(|e| e.at).min() {
            let line = format!(
                "job {LARGE}, occurrence {occurrence}: the first of {} starts; {} ends, {} of them taken note of",
                starts.len(),
                ends.len(),
                noted.len()
            );
            record.line_at(first, &line);
        }
    }
    let running: usize = workers.iter().map(|w| w.running()).sum();
    let last = events()
        .iter()
        .filter(|e| e.what == "start")
        .map(|e| e.at)
        .max();
    if let Some(last) = last {
        record.line_at(last, "the last start of any task");
    }
    record.line(&format!("{running} tasks are running on the three workers"));
    let (refused, ..) = store.too_large(began);
    record.line(&format!(
        "the store has refused {refused} appends because of the size of a record"
    ));
    record.line(&format!(
        "{lost} accepted jobs had nothing running {} s after they were accepted",
        FINISH.as_secs()
    ));
    drop((entries, links, agents));
    match lost {
        0 => Outcome::Held,
        _ => Outcome::Broken,
    }
}
