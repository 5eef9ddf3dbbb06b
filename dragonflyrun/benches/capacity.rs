//! Measures the rates that `docs/CAPACITY.md` calculates with: bytes, time and memory of
//! heartbeats, records and the tables that grow with workers and jobs.
//!
//! Run with `cargo bench --bench capacity`. Each time is the minimum of several runs, since other
//! load on the machine can only increase it. Memory is the growth of the process's resident set.

use std::{
    fs,
    hint::black_box,
    time::{Duration, Instant}, //
};

use dragonflyrun::{
    connection::{
        AgentReport,
        AuthorKey,
        BackendReport,
        Heartbeat,
        LogRecord,
        LogView,
        MemberReport,
        MemberState,
        Message,
        Peer,
        Placement,
        RecordBody,
        Report,
        Role,
        codec, //
    },
    job::{GangId, JobSpec},
    process::{Ledger, Roster},
    utils::{Name, Timestamp},
    version::{Adjacency, Urgency},
};

const SECRET: &str = "a secret of the benchmark deployment";
const WORKERS: [u32; 4] = [11, 110, 1_100, 5_500];
const RUNS: u32 = 5;
const PAGE_BYTES: u64 = 4_096;

/// Members on one worker at the size expected in two years: 160,000 tasks on 5,500 workers.
const MEMBERS_PER_WORKER: u32 = 29;

fn main() {
    println!(
        "{:<44} {:>10} {:>14} {:>12}",
        "what", "size", "time", "bytes"
    );
    heartbeats();
    roster();
    records();
    jobs();
}

fn print_row(what: &str, size: u32, time: Duration, bytes: u64) {
    let time = format!("{:.2} us", time.as_secs_f64() * 1e6);
    println!("{what:<44} {size:>10} {time:>14} {bytes:>12}");
}

/// Returns the time of one call: the lowest mean of several runs of `calls` calls each.
fn min_mean_time(calls: u32, mut call: impl FnMut(u32)) -> Duration {
    let run = |call: &mut dyn FnMut(u32)| {
        let start = Instant::now();
        (0..calls).for_each(call);
        start.elapsed() / calls
    };
    let times = (0..RUNS).map(|_| run(&mut call));
    times.min().unwrap_or_default()
}

fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = statm
        .split_whitespace()
        .nth(1)
        .and_then(|p| p.parse().ok())
        .unwrap_or(0);
    pages * PAGE_BYTES
}

fn heartbeats() {
    for members in [0, 1, MEMBERS_PER_WORKER] {
        for full in [false, true] {
            let message = heartbeat(0, members, full);
            let bytes = codec::encode(&message);
            let encode = min_mean_time(2_000, |_| {
                black_box(codec::encode(black_box(&message)));
            });
            let decode = min_mean_time(2_000, |_| {
                black_box(codec::decode::<Message>(black_box(&bytes)).ok());
            });
            let kind = if full { "with report" } else { "unchanged" };
            print_row(
                &format!("heartbeat encode, {kind}, members"),
                members,
                encode,
                bytes.len() as u64,
            );
            print_row(
                &format!("heartbeat decode, {kind}, members"),
                members,
                decode,
                bytes.len() as u64,
            );
        }
    }
}

fn roster() {
    for workers in WORKERS {
        let before = resident_bytes();
        let mut roster = Roster::default();
        for worker in 0..workers {
            roster.link_up(Timestamp::from_millis(1), peer(worker));
            apply_heartbeat(&mut roster, worker, MEMBERS_PER_WORKER, true);
        }
        let bytes = resident_bytes().saturating_sub(before) / u64::from(workers);
        let unchanged = min_mean_time(20_000, |i| {
            apply_heartbeat(&mut roster, i % workers, MEMBERS_PER_WORKER, false)
        });
        print_row(
            "roster, unchanged heartbeat; bytes a worker",
            workers,
            unchanged,
            bytes,
        );
        let now = Timestamp::from_millis(1_000);
        let scan = min_mean_time(20, |_| {
            black_box(roster.agents(now).count());
        });
        print_row("roster, scan of all agents", workers, scan, 0);
    }
}

fn records() {
    let key = AuthorKey::derive(SECRET, &Name::from("entry-1"));
    let id = Name::from("entry-1-00000000000000000000000000000000");
    for tasks in [1, 8, 256] {
        let body = started(0, tasks);
        let data = key.seal(&id, &body);
        let seal = min_mean_time(1_000, |_| {
            black_box(key.seal(&id, black_box(&body)));
        });
        let open = min_mean_time(1_000, |_| {
            black_box(dragonflyrun::connection::open(black_box(&data), SECRET).ok());
        });
        print_row(
            "record seal, job started, workers",
            tasks,
            seal,
            data.len() as u64,
        );
        print_row(
            "record open, job started, workers",
            tasks,
            open,
            data.len() as u64,
        );
    }
}

fn jobs() {
    for jobs in [100, 1_000, 10_000] {
        let records = job_records(jobs);
        let count = u32::try_from(records.len()).unwrap_or(u32::MAX);
        let before = resident_bytes();
        let mut ledger = Ledger::default();
        let start = Instant::now();
        for record in &records {
            ledger.fold(record, SECRET);
        }
        let time = start.elapsed() / count;
        let bytes = resident_bytes().saturating_sub(before) / u64::from(jobs);
        print_row("ledger fold, a record; bytes a live job", jobs, time, bytes);
    }
}

fn job_records(jobs: u32) -> Vec<LogRecord> {
    let key = AuthorKey::derive(SECRET, &Name::from("entry-1"));
    let term = RecordBody::Term {
        entry: "entry-1".into(),
        term: 1,
    };
    let mut bodies = vec![term];
    for job in 0..jobs {
        bodies.push(RecordBody::JobAccepted {
            job: job_name(job),
            spec: spec(),
        });
        bodies.push(started(job, 8));
    }
    (0..)
        .zip(bodies)
        .map(|(offset, body)| LogRecord {
            offset,
            data: key.seal(&format!("entry-1-{offset:032x}").into(), &body),
        })
        .collect()
}

fn started(job: u32, tasks: u32) -> RecordBody {
    RecordBody::JobStarted {
        term: 1,
        job: job_name(job),
        attempt: 1,
        placements: (0..tasks)
            .map(|worker| Placement {
                worker: worker_name(worker),
                tasks: 1,
            })
            .collect(),
    }
}

fn spec() -> JobSpec {
    JobSpec {
        workspace: "holzmessverein".into(),
        urgency: Urgency::Normal,
        tasks: 8,
        accelerators: 8,
        adjacency: Adjacency::Rack,
        run_time_ms: 3_600_000,
        program: "reconstruct --volume yard-17".into(),
    }
}

fn apply_heartbeat(roster: &mut Roster, worker: u32, members: u32, full: bool) {
    let Message::Heartbeat(heartbeat) = heartbeat(worker, members, full) else {
        return;
    };
    roster.on_heartbeat(
        Timestamp::from_millis(500),
        &worker_name(worker),
        *heartbeat,
    );
}

fn heartbeat(worker: u32, members: u32, full: bool) -> Message {
    let report = || AgentReport {
        failure_domain: "judenburg".into(),
        rack: format!("judenburg-{}", worker / 3).into(),
        accelerators: 8,
        backends: vec![BackendReport {
            name: format!("scaling-{worker}").into(),
            service: "scaling".into(),
            slots: 8,
            free: 5,
            leaving: false,
        }],
        members: (0..members).map(member).collect(),
        leaving: false,
    };
    Message::Heartbeat(Box::new(Heartbeat {
        sent_ms: 86_400_000,
        echo_ms: Some(86_399_750),
        change: 1_000,
        log: LogView {
            next_offset: 1_000_000,
            age_ms: Some(300),
            reachable: true,
            append_pending: false,
            version: 999_000,
        },
        report: full.then(|| Report::Agent(report())),
    }))
}

fn member(number: u32) -> MemberReport {
    MemberReport {
        number: u64::from(number),
        gang: GangId {
            job: job_name(number),
            term: 3,
            attempt: 1,
        },
        members: 32,
        state: MemberState::Running,
    }
}

fn peer(worker: u32) -> Peer {
    Peer {
        name: worker_name(worker),
        role: Role::Agent,
        incarnation: u64::from(worker),
    }
}

fn worker_name(worker: u32) -> Name {
    format!("worker-{worker:05}").into()
}

fn job_name(job: u32) -> Name {
    format!("reconstruction-{job:08}").into()
}
