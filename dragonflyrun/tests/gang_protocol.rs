//! The gang protocol step by step: orders that are late, doubled or out of order, and each kind of
//! failure of one member at each step of its life.

mod gang_world;

use std::time::Duration;

use dragonflyrun::{
    connection::{
        GangMessage, JobEnd, LeaseState, MemberReport, MemberState, RecordBody, TaskOrder,
        WorkerError, WorkerLease, WorkerView,
    },
    job::{
        GANG_LEASE, GangId, JobSpec, LAPSE, LeaseName, Members, RESERVATION_TIMEOUT, Renewals,
        StartCheck, StartConditions, WorkerCall, WorkerOp,
    },
    utils::{Name, Timestamp},
};

use gang_world::{Fault, World, checks, sleeping};

const ENTRIES: usize = 3;
const AGENTS: usize = 4;
const SUBMIT: u64 = 10_000;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn gang(term: u64, attempt: u32) -> GangId {
    GangId {
        job: "job-0".into(),
        term,
        attempt,
    }
}

fn reserve(term: u64, attempt: u32) -> GangMessage {
    GangMessage::Reserve(TaskOrder {
        gang: gang(term, attempt),
        member: 0,
        members: 2,
        tasks: 1,
        accelerators: 2,
        program: "sleep:1000".into(),
        resume: false,
    })
}

fn go(term: u64, attempt: u32) -> GangMessage {
    GangMessage::Go {
        term,
        gang: gang(term, attempt),
        offset: 10,
    }
}

fn stop(term: u64, attempt: u32) -> GangMessage {
    GangMessage::Stop {
        term,
        gang: gang(term, attempt),
        checkpoint: true,
    }
}

fn lease(state: LeaseState) -> WorkerLease {
    let name = LeaseName {
        gang: gang(1, 1),
        member: 0,
        members: 2,
    };
    WorkerLease {
        lease: name.to_name(),
        state,
        accelerators: 2,
        ttl_ms: 2_000,
        checkpointed: false,
        usage: None,
    }
}

fn view(leases: Vec<WorkerLease>) -> Result<WorkerView, WorkerError> {
    Ok(WorkerView {
        name: "worker-0".into(),
        accelerators: 4,
        leases,
    })
}

/// An agent that has read its worker, which holds nothing.
fn agent() -> Members {
    let mut members = Members::new(at(0));
    members.calls(at(0));
    members.on_leases(at(1), at(0), &view(Vec::new()));
    members
}

fn states(members: &Members) -> Vec<MemberState> {
    members.reports().iter().map(|r| r.state).collect()
}

/// Answers the calls that are due with the lease in `state`, and returns them.
fn serve(members: &mut Members, now: u64, state: LeaseState) -> Vec<WorkerOp> {
    let mut ops = Vec::new();
    for call in members.calls(at(now)) {
        if let WorkerCall::Lease { number, op, .. } = call {
            members.on_answer(at(now), at(now), number, &op, &Ok(lease(state)));
            ops.push(op);
        }
    }
    ops
}

const OPEN: StartConditions = StartConditions {
    fresh: true,
    next_offset: 11,
    in_service: true,
    allowed: true,
};

/// A link breaks and comes back, and the order to stop overtakes the one to reserve. Were the
/// later one followed, the accelerators would be held for a gang that nobody starts.
#[test]
fn stop_overtakes_reserve() {
    let mut members = agent();
    members.on_message(at(10), stop(1, 1));
    members.on_message(at(20), reserve(1, 1));
    let stopped = MemberState::Stopped {
        checkpointed: false,
    };
    assert_eq!(states(&members), [stopped]);
    assert!(serve(&mut members, 30, LeaseState::Held).is_empty());
}

/// A planner that was frozen goes on after its successor has taken over.
#[test]
fn older_order() {
    let mut members = agent();
    members.on_record(
        at(5),
        &RecordBody::Term {
            entry: "entry-1".into(),
            term: 2,
        },
    );
    members.on_message(at(10), reserve(1, 1));
    assert!(members.reports().is_empty());
    members.on_message(at(20), reserve(2, 1));
    serve(&mut members, 30, LeaseState::Held);
    members.on_message(at(40), stop(1, 1));
    assert_eq!(states(&members), [MemberState::Reserved]);
}

/// The planner dies after the members have reserved. The accelerators must not stay held.
#[test]
fn reservation_lapses() {
    let mut members = agent();
    members.on_message(at(10), reserve(1, 1));
    serve(&mut members, 20, LeaseState::Held);
    let end = 10 + RESERVATION_TIMEOUT.as_millis() as u64;
    for now in (600..end).step_by(600) {
        assert!(!serve(&mut members, now, LeaseState::Held).is_empty());
    }
    let ops = serve(&mut members, end + 600, LeaseState::Stopped);
    assert_eq!(ops, [WorkerOp::Stop { checkpoint: false }]);
    assert!(!members.is_active());
}

/// The order to start arrives before the agent has read the record that allows it, at an agent
/// that does not know the latest state of the log, or after the domain was taken out.
#[test]
fn start_needs_gate() {
    let cases = [
        (OPEN, StartCheck::Start),
        (
            StartConditions {
                next_offset: 10,
                ..OPEN
            },
            StartCheck::Wait,
        ),
        (
            StartConditions {
                fresh: false,
                ..OPEN
            },
            StartCheck::Wait,
        ),
        (
            StartConditions {
                in_service: false,
                ..OPEN
            },
            StartCheck::Never,
        ),
        (
            StartConditions {
                allowed: false,
                ..OPEN
            },
            StartCheck::Never,
        ),
    ];
    for (gate, expected) in cases {
        let mut members = agent();
        members.on_message(at(10), reserve(1, 1));
        serve(&mut members, 20, LeaseState::Held);
        members.on_message(at(30), go(1, 1));
        let calls = members.calls(at(30));
        let [
            WorkerCall::Lease {
                number,
                op: WorkerOp::Start(_),
                ..
            },
        ] = &calls[..]
        else {
            panic!("a start was to be due, not {calls:?}");
        };
        assert_eq!(members.may_start(at(31), *number, gate), expected);
    }
}

/// No entry renews the gang: its members stop by themselves, with a checkpoint, and the worker
/// lease is never prolonged past the gang's.
#[test]
fn gang_lease_ends() {
    let mut members = agent();
    members.on_message(at(10), reserve(1, 1));
    serve(&mut members, 20, LeaseState::Held);
    members.on_message(at(30), go(1, 1));
    for call in members.calls(at(30)) {
        if let WorkerCall::Lease { number, op, .. } = call {
            assert_eq!(members.may_start(at(30), number, OPEN), StartCheck::Start);
            let running = Ok(lease(LeaseState::Running));
            members.on_answer(at(30), at(30), number, &op, &running);
        }
    }
    let end = at(30) + GANG_LEASE;
    let mut now = 30;
    loop {
        now += 100;
        match serve(&mut members, now, LeaseState::Running).first() {
            Some(WorkerOp::Renew { until }) => {
                assert!(at(now) + WorkerOp::ttl(*until, at(now)) <= end);
            }
            Some(WorkerOp::Stop { checkpoint }) => {
                assert!(checkpoint);
                break;
            }
            _ => {}
        }
    }
    assert!(at(now) < end);
}

/// A renewal that waited in a buffer says that the gang was whole long ago.
#[test]
fn late_renewal() {
    let mut members = agent();
    members.on_leases(at(2), at(1), &view(Vec::new()));
    let mut restarted = Members::new(at(10_000));
    restarted.calls(at(10_000));
    let running = lease(LeaseState::Running);
    restarted.on_leases(at(10_001), at(10_000), &view(vec![running]));
    assert_eq!(states(&restarted), [MemberState::Running]);
    let renewal = |echo_ms, age_ms| GangMessage::Renewal {
        echo_ms,
        age_ms,
        members: vec![1],
    };
    restarted.on_message(at(11_000), renewal(10_900, 5_000));
    serve(&mut restarted, 11_600, LeaseState::Running);
    assert_eq!(states(&restarted), [MemberState::Stopping]);
}

/// Two agents whose members run, both alive for certain at 1 s.
fn two_members() -> (Renewals, [Name; 2]) {
    let mut renewals = Renewals::default();
    let agents: [Name; 2] = ["worker-0".into(), "worker-1".into()];
    for agent in &agents {
        let report = MemberReport {
            number: 1,
            gang: gang(1, 1),
            members: 2,
            state: MemberState::Running,
        };
        renewals.report(agent, 1, vec![report]);
        renewals.on_heartbeat(at(1_000), agent, Some(at(1_000)), 7);
    }
    (renewals, agents)
}

/// One member is silent from some moment on. No renewal of the other may reach further than the
/// gang lease from that moment, however often the other is heard.
#[test]
fn silent_member() {
    let (mut renewals, agents) = two_members();
    let mut renewed = 0;
    for now in (1_000..6_000).step_by(100) {
        renewals.tick(at(now));
        let answer = renewals.on_heartbeat(at(now), &agents[0], Some(at(now)), now);
        if let Some(GangMessage::Renewal { age_ms, .. }) = answer {
            assert!(now - age_ms <= 1_000, "age {age_ms} at {now}");
            renewed = now;
        }
    }
    assert!(
        (3_500..4_000).contains(&renewed),
        "last renewed at {renewed}"
    );
}

/// The planner has put on the log that an attempt is not renewed any more, and counts on it.
#[test]
fn fenced_gang() {
    let (mut renewals, agents) = two_members();
    renewals.tick(at(1_000));
    assert!(
        renewals
            .on_heartbeat(at(1_010), &agents[0], Some(at(1_005)), 8)
            .is_some()
    );
    renewals.fence(gang(1, 1));
    assert_eq!(
        renewals.on_heartbeat(at(1_020), &agents[0], Some(at(1_015)), 9),
        None
    );
}

/// An entry resumes after it was frozen, and hears one member before it has looked at the others.
/// It must not renew that one's lease on what it knew of the others before.
#[test]
fn entry_resumes() {
    let (mut renewals, agents) = two_members();
    renewals.tick(at(1_000));
    let renewal = |renewals: &mut Renewals, now| {
        renewals.on_heartbeat(at(now), &agents[0], Some(at(now - 10)), 8)
    };
    assert!(renewal(&mut renewals, 1_050).is_some());
    assert_eq!(renewal(&mut renewals, 11_000), None);
}

/// An agent is replaced and its worker does not answer. It must not say that a gang has stopped
/// before the leases of its predecessor have lapsed.
#[test]
fn early_stop() {
    let mut members = Members::new(at(0));
    members.on_message(at(10), stop(1, 1));
    members.calls(at(20));
    assert!(members.reports().is_empty());
    members.calls(at(0) + LAPSE + Duration::from_millis(1));
    assert!(matches!(
        states(&members)[..],
        [MemberState::Stopped { .. }]
    ));
}

/// A member's agent is replaced at once. Its tasks run on under the worker's lease and need not
/// be stopped.
#[test]
fn quick_restart() {
    let mut world = World::new(3, ENTRIES, AGENTS);
    world.noise = false;
    world.submit(SUBMIT, "job-0", sleeping(4, 3, 10_000));
    world.fault(SUBMIT + 3_000, 200, Fault::Kill(ENTRIES + 1));
    world.run_to_end(60_000);
    world.check_records();
    assert_eq!(world.end(&"job-0".into()), Some(JobEnd::Finished));
    assert!(world.ran().iter().all(|r| r.attempt == 1));
}

/// The members of a gang end one after the other, here 0.5, 5.5, 10.5 and 15.5 s after its start, and
/// the host of one that has ended is lost. Those that still have work must not be stopped for it.
#[test]
fn staggered_ends() {
    for seed in 0..10 {
        let mut world = World::new(seed, ENTRIES, AGENTS);
        world.noise = false;
        let job = JobSpec {
            program: "stagger:500".into(),
            ..sleeping(4, 3, 500)
        };
        world.submit(SUBMIT, "job-0", job);
        world.run(SUBMIT + 3_000);
        let first = world.workers.iter().position(|w| w.ran[0].member == 0);
        world.fault(world.now, 10_000, Fault::KillHost(first.expect("it ran")));
        world.run_to_end(60_000);
        world.check_records();
        assert_eq!(world.end(&"job-0".into()), Some(JobEnd::Finished));
        assert!(
            world.ran().iter().all(|r| r.attempt == 1 && r.finished),
            "seed {seed}"
        );
    }
}

/// Each kind of failure of one member, of its worker or of its links, at each step from the
/// reservation to the run, for a short and for a long time.
#[test]
fn member_fails() {
    let job: Name = "job-0".into();
    let agent = ENTRIES + 1;
    let all_links = |entry| Fault::Cut(entry, agent, false);
    let kinds = [
        vec![Fault::Kill(agent)],
        vec![Fault::Freeze(agent)],
        vec![Fault::KillHost(1)],
        vec![Fault::FreezeHost(1)],
        vec![Fault::FreezeWorker(1)],
        (0..ENTRIES).map(all_links).collect(),
        vec![Fault::Cut(0, agent, true), Fault::CutLog(agent)],
    ];
    let mut longest = 0;
    for faults in &kinds {
        for step in 0..16 {
            let mut world = World::new(step, ENTRIES, AGENTS);
            world.submit(SUBMIT, &job, sleeping(6, 2, 3_000));
            let length = if step % 2 == 0 { 700 } else { 9_000 };
            for fault in faults {
                world.fault(SUBMIT + 60 * step, length, *fault);
            }
            world.run_to_end(90_000);
            world.check_records();
            longest = longest.max(checks::longest_partial(&world.ran(), world.now));
            let end = world.end(&job);
            assert_eq!(end, Some(JobEnd::Finished), "{faults:?} step {step}");
        }
    }
    println!("longest partial window: {longest} ms");
    assert!(longest > 0, "no failure hit a running gang");
}
