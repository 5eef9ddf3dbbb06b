//! Measures the time that gangs take in an entry and an agent, by number of workers and gang size,
//! for `docs/CAPACITY.md`.
//!
//! Run with `cargo bench --bench gang_costs`. Each time is the minimum of several runs, since other
//! load on the machine can only add to it.

use std::{
    hint::black_box,
    time::{Duration, Instant}, //
};

use dragonflyrun::{
    connection::{
        AgentReport,
        GangMessage,
        Heartbeat,
        LeaseState,
        LogView,
        MemberReport,
        MemberState,
        Message,
        Peer,
        Report,
        Role,
        WorkerLease,
        WorkerView,
        codec, //
    },
    job::{GangId, LeaseName, Members},
    process::{GangTable, Ledger, Roster, TickView},
    utils::{Name, Timestamp},
};

const WORKERS: [u32; 4] = [11, 110, 1_100, 5_500];

/// Gang members on one worker at the size expected in two years: 160,000 tasks on 5,500 workers.
const MEMBERS_PER_WORKER: u32 = 29;

const GANGS: [u32; 2] = [8, 256];
const RUNS: u32 = 5;

/// Time between two heartbeats of an agent.
const HEARTBEAT_INTERVAL_MS: u64 = 250;

fn main() {
    println!(
        "{:<46} {:>8} {:>6} {:>12}",
        "what", "workers", "gang", "time"
    );
    for gang in GANGS {
        for workers in WORKERS {
            measure_entry(workers, gang.min(workers));
        }
    }
    measure_agent();
}

fn print_row(what: &str, workers: u32, gang: u32, time: Duration) {
    let time = format!("{:.2} us", time.as_secs_f64() * 1e6);
    println!("{what:<46} {workers:>8} {gang:>6} {time:>12}");
}

/// Returns the time of one call: the minimum over several runs of the mean of `calls` calls.
fn time_of(calls: u32, mut call: impl FnMut(u32)) -> Duration {
    let times = (0..RUNS).map(|_| {
        let start = Instant::now();
        (0..calls).for_each(&mut call);
        start.elapsed() / calls
    });
    times.min().unwrap_or_default()
}

struct Entry {
    now: u64,
    roster: Roster,
    table: GangTable,
    ledger: Ledger,
    gang: u32,
    workers: u32,
}

fn measure_entry(workers: u32, gang: u32) {
    let mut entry = Entry::new(workers, gang);
    entry.tick();
    let answered = (0..workers)
        .filter(|w| entry.take_heartbeat(*w, None))
        .count();
    assert_eq!(
        answered, workers as usize,
        "every agent's gangs are renewed"
    );
    let calls = workers * 4;
    let beat = time_of(calls, |i| {
        entry.take_heartbeat(i % workers, None);
    });
    print_row(
        "entry: unchanged heartbeat, 29 members",
        workers,
        gang,
        beat,
    );
    let changed = time_of(workers.min(1_000), |i| {
        let state = [MemberState::Reserved, MemberState::Running][i as usize % 2];
        entry.take_heartbeat(i % workers, Some(state));
    });
    print_row(
        "entry: heartbeat in which one has changed",
        workers,
        gang,
        changed,
    );
    let tick = time_of(20, |_| entry.tick());
    print_row("entry: tick", workers, gang, tick);
}

impl Entry {
    fn new(workers: u32, gang: u32) -> Self {
        let ledger = Ledger::default();
        let version = ledger.history.current().clone();
        let mut entry = Self {
            now: 10_000,
            roster: Roster::default(),
            table: GangTable::new(Timestamp::from_millis(0), "entry-1".into(), version),
            ledger,
            gang,
            workers,
        };
        for worker in 0..workers {
            let peer = Peer {
                name: name(worker),
                role: Role::Agent,
                incarnation: 1,
            };
            entry.roster.link_up(Timestamp::from_millis(0), peer);
            entry.take_heartbeat(worker, Some(MemberState::Running));
        }
        entry
    }

    /// Handles a heartbeat and returns whether it was answered with a renewal. `first` is the state
    /// of the agent's first member if the heartbeat has a report.
    fn take_heartbeat(&mut self, worker: u32, first: Option<MemberState>) -> bool {
        // All agents send once within each heartbeat interval.
        self.now += u64::from(worker == 0) * HEARTBEAT_INTERVAL_MS;
        let now = Timestamp::from_millis(self.now);
        let heartbeat = Heartbeat {
            sent_ms: self.now,
            echo_ms: Some(self.now - 10),
            change: 1,
            log: LogView::default(),
            report: first.map(|first| self.report(worker, first)),
        };
        self.roster.on_heartbeat(now, &name(worker), heartbeat);
        let peer = self.roster.peer(&name(worker)).expect("it is linked");
        let messages = self.table.on_heartbeat(now, peer);
        let is_renewal = |m: &GangMessage| matches!(m, GangMessage::Renewal { .. });
        black_box(messages.iter().any(|n| is_renewal(&n.message)))
    }

    fn tick(&mut self) {
        let now = Timestamp::from_millis(self.now);
        let me = "entry-1".into();
        let view = TickView::read(now, &me, true, &self.ledger, &self.roster);
        black_box(self.table.tick(now, &view));
    }

    fn report(&self, worker: u32, first: MemberState) -> Report {
        let members = (0..MEMBERS_PER_WORKER).map(|member| MemberReport {
            number: u64::from(member) + 1,
            gang: gang_id(member, worker / self.gang),
            members: self.members_of(worker),
            state: if member == 0 {
                first
            } else {
                MemberState::Running
            },
        });
        Report::Agent(AgentReport {
            failure_domain: "murau".into(),
            rack: "rack-1".into(),
            accelerators: 8,
            backends: Vec::new(),
            members: members.collect(),
            leaving: false,
        })
    }

    /// Returns the number of workers that share the gangs of `worker`.
    fn members_of(&self, worker: u32) -> u32 {
        let first = worker / self.gang * self.gang;
        self.gang.min(self.workers - first)
    }
}

fn measure_agent() {
    let mut members = Members::new(Timestamp::from_millis(0));
    members.calls(Timestamp::from_millis(0));
    let leases = (0..MEMBERS_PER_WORKER).map(|member| WorkerLease {
        lease: LeaseName {
            gang: gang_id(member, 0),
            member: 0,
            members: 8,
        }
        .to_name(),
        state: LeaseState::Running,
        accelerators: 1,
        ttl_ms: u64::from(u32::MAX),
        checkpointed: false,
        usage: None,
    });
    let view = Ok(WorkerView {
        name: name(0),
        accelerators: 32,
        leases: leases.collect(),
    });
    members.on_leases(Timestamp::from_millis(1), Timestamp::from_millis(0), &view);
    let reports = time_of(2_000, |_| {
        black_box(members.reports());
    });
    print_row("agent: report of 29 members", 1, 8, reports);
    let read_leases = time_of(2_000, |i| {
        let now = Timestamp::from_millis(2 + u64::from(i) / 100);
        members.on_leases(now, now, &view);
        black_box(members.calls(now));
    });
    print_row(
        "agent: look at 29 leases, and the calls due",
        1,
        8,
        read_leases,
    );
    let renewal = GangMessage::Renewal {
        echo_ms: 10_000_000,
        age_ms: 750,
        members: (1..=u64::from(MEMBERS_PER_WORKER)).collect(),
    };
    let bytes = codec::encode(&Message::Gang(renewal)).len();
    println!("renewal of 29 members: {bytes} bytes");
}

fn gang_id(member: u32, group: u32) -> GangId {
    GangId {
        job: format!("entry-1-1234abcd-{member}-{group}").into(),
        term: 7,
        attempt: 1,
    }
}

fn name(worker: u32) -> Name {
    format!("worker-{worker}").into()
}
