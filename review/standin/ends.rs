//! Case: more than 500 runs end on one worker before their ends are noted.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use crate::{
    Outcome,
    deployment::{Folder, Record, start_entries, wait_ready, wait_until},
    net::listener,
    worker::{Event, Kind, Work, Worker},
};

const JOB: &str = "5c0e7a21d94b36f8";

/// The tasks of the job's only step; all of them fit onto one worker.
const TASKS: usize = 1_000;

/// How long after the start of the tasks the machine beside the worker stands still.
const FREEZE_AFTER: Duration = Duration::from_millis(1_300);

/// How long it stands still; `node_freeze` of the site lasts 3.5 s.
const FREEZE: Duration = Duration::from_millis(2_000);

const WORK: Work = Work {
    task: Duration::from_millis(2_400),
    uneven: Duration::from_millis(600),
    cpu: 60,
    mem_mb: 128,
    saves: false,
};

pub fn play(record: &Record, trouble: bool) -> Outcome {
    let folder = Folder::new();
    let (_store, started) = start_entries(&folder);
    let (mut entries, links): (Vec<_>, Vec<_>) = started.into_iter().unzip();
    let store = _store.address;
    let mut agents = Vec::new();
    let mut workers = Vec::new();
    for (i, zone) in ["murau", "judenburg"].iter().enumerate() {
        let listener = listener();
        let address = listener.local_addr().expect("an address");
        let agent = folder.agent(&format!("agent-{}", i + 1), store, address);
        let kind = Kind {
            name: format!("i-7f3a91c{i}"),
            zone: (*zone).to_owned(),
            label: if i == 0 { "a" } else { "b" }.to_owned(),
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
    let body = format!(
        concat!(
            r#"{{"spec":"s","steps":[{{"count":{},"cpu":{},"mem_mb":{},"estimate_ms":2700,"#,
            r#""requires":"a"}}]}}"#
        ),
        TASKS, WORK.cpu, WORK.mem_mb
    );
    let entry = &entries[0];
    let accepted = entry.call(Some(record), "POST", "q", JOB, &body);
    if accepted.is_none_or(|(status, _)| status != 200) {
        return Outcome::NotRun;
    }
    if !wait_until(Duration::from_secs(6), || {
        let events = workers[0].events();
        events.iter().filter(|e| e.what == "start").count() >= TASKS
    }) {
        record.line("not all tasks were started");
        return Outcome::NotRun;
    }
    record.line(&format!(
        "{} tasks run on {}",
        workers[0].running(),
        "i-7f3a91c0"
    ));
    std::thread::sleep(FREEZE_AFTER);
    if trouble {
        record.line("agent-1 is stopped (SIGSTOP)");
        agents[0].process.signal("STOP");
        std::thread::sleep(FREEZE);
        agents[0].process.signal("CONT");
        record.line("agent-1 goes on (SIGCONT)");
    }
    wait_until(Duration::from_secs(30), || {
        let state = entry.call(None, "GET", "q", JOB, "");
        state.is_some_and(|(_, body)| body.contains("completed"))
    });
    std::thread::sleep(Duration::from_secs(5));
    entry.call(Some(record), "GET", "q", JOB, "");
    let events: Vec<Event> = workers.iter().flat_map(|w| w.events()).collect();
    drop((entries, links, agents));
    judge(record, &events, workers[0].most_unacked())
}

/// TWICE: a start after a run has ended `done`, if that end is taken note of then or later. No lease
/// lapses here, and the step is not `speculative`.
fn judge(record: &Record, events: &[Event], most_unacked: usize) -> Outcome {
    record.events(events);
    let of = |what: &'static str| events.iter().filter(move |e| e.what == what);
    let lapsed = of("end").filter(|e| e.how.starts_with("lapsed")).count();
    let done = of("end").filter(|e| e.how.starts_with("done")).count();
    record.line(&format!(
        "{} starts, {done} ends done, {lapsed} lapsed, {} ends noted, at most {most_unacked} ends not noted at a time",
        of("start").count(),
        of("noted").count()
    ));
    let mut ends: BTreeMap<(&str, u64), Instant> = BTreeMap::new();
    for end in of("end").filter(|e| e.how.starts_with("done")) {
        ends.insert((&end.task, end.run), end.at);
    }
    let mut broken = 0;
    for start in of("start") {
        let before = of("noted").find(|n| {
            let ended = ends.get(&(n.task.as_str(), n.run));
            n.task == start.task && ended.is_some_and(|at| *at < start.at)
        });
        let Some(noted) = before else {
            continue;
        };
        broken += 1;
        if broken <= 5 {
            let ended = ends[&(noted.task.as_str(), noted.run)];
            let line = format!("{} run {} ended done", noted.task, noted.run);
            record.line_at(ended, &line);
            let line = format!("{} run {} was started again", start.task, start.run);
            record.line_at(start.at, &line);
            let line = format!(
                "{} run {}: its end was taken note of",
                noted.task, noted.run
            );
            record.line_at(noted.at, &line);
        }
    }
    record.line(&format!(
        "{broken} tasks were started after a run of them had ended done"
    ));
    match broken {
        0 if done == 0 => Outcome::NotRun,
        0 => Outcome::Held,
        _ => Outcome::Broken,
    }
}
