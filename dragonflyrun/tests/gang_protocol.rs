//! The gang protocol step by step: late, duplicated and reordered messages, and each kind of
//! failure of one member at each step from reservation to run.

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

use gang_world::{Fault, World, checks, sleep_job};

const ENTRIES: usize = 3;
const AGENTS: usize = 4;
const SUBMIT_MS: u64 = 10_000;

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

/// Returns an agent that has read from its worker that it has no leases.
fn agent() -> Members {
    let mut members = Members::new(at(0));
    members.calls(at(0));
    members.on_leases(at(1), at(0), &view(Vec::new()));
    members
}

fn states(members: &Members) -> Vec<MemberState> {
    members.reports().iter().map(|r| r.state).collect()
}

/// Answers the due calls with the lease in `state` and returns their operations.
fn answer_calls(members: &mut Members, now: u64, state: LeaseState) -> Vec<WorkerOp> {
    let mut ops = Vec::new();
    for call in members.calls(at(now)) {
        if let WorkerCall::Lease { number, op, .. } = call {
            members.on_answer(at(now), at(now), number, &op, &Ok(lease(state)));
            ops.push(op);
        }
    }
    ops
}

const ALL_MET: StartConditions = StartConditions {
    fresh: true,
    next_offset: 11,
    in_service: true,
    allowed: true,
};

/// After a reconnect the stop of a gang overtakes its reservation. Guards against an agent that
/// follows the late reservation and holds accelerators for a gang that nobody starts.
#[test]
fn stop_overtakes_reserve() {
    let mut members = agent();
    members.on_message(at(10), stop(1, 1));
    members.on_message(at(20), reserve(1, 1));
    let stopped = MemberState::Stopped {
        checkpointed: false,
    };
    assert_eq!(states(&members), [stopped]);
    assert!(answer_calls(&mut members, 30, LeaseState::Held).is_empty());
}

/// A planner resumes from a freeze after its successor has taken over. Guards against agents that
/// follow orders of the older term.
#[test]
fn superseded_planner() {
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
    answer_calls(&mut members, 30, LeaseState::Held);
    members.on_message(at(40), stop(1, 1));
    assert_eq!(states(&members), [MemberState::Reserved]);
}

/// The planner dies after the members have reserved. Guards against accelerators that stay
/// reserved.
#[test]
fn reservation_lapses() {
    let mut members = agent();
    members.on_message(at(10), reserve(1, 1));
    answer_calls(&mut members, 20, LeaseState::Held);
    let end = 10 + RESERVATION_TIMEOUT.as_millis() as u64;
    for now in (600..end).step_by(600) {
        assert!(!answer_calls(&mut members, now, LeaseState::Held).is_empty());
    }
    let ops = answer_calls(&mut members, end + 600, LeaseState::Stopped);
    assert_eq!(ops, [WorkerOp::Stop { checkpoint: false }]);
    assert!(!members.is_active());
}

/// The order to start arrives before the agent has read the start record, at an agent that doesn't
/// know the latest state of the log, or after the failure domain was taken out of service. Guards
/// against a start in each of these cases.
#[test]
fn start_checked() {
    let cases = [
        (ALL_MET, StartCheck::Start),
        (
            StartConditions {
                next_offset: 10,
                ..ALL_MET
            },
            StartCheck::Wait,
        ),
        (
            StartConditions {
                fresh: false,
                ..ALL_MET
            },
            StartCheck::Wait,
        ),
        (
            StartConditions {
                in_service: false,
                ..ALL_MET
            },
            StartCheck::Never,
        ),
        (
            StartConditions {
                allowed: false,
                ..ALL_MET
            },
            StartCheck::Never,
        ),
    ];
    for (conditions, expected) in cases {
        let mut members = agent();
        members.on_message(at(10), reserve(1, 1));
        answer_calls(&mut members, 20, LeaseState::Held);
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
            panic!("a start should be due, not {calls:?}");
        };
        assert_eq!(members.may_start(at(31), *number, conditions), expected);
    }
}

/// No entry renews the gang. Guards against members that run past the gang lease or stop without a
/// checkpoint, and against worker leases that outlast the gang lease.
#[test]
fn gang_lease_ends() {
    let mut members = agent();
    members.on_message(at(10), reserve(1, 1));
    answer_calls(&mut members, 20, LeaseState::Held);
    members.on_message(at(30), go(1, 1));
    for call in members.calls(at(30)) {
        if let WorkerCall::Lease { number, op, .. } = call {
            assert_eq!(
                members.may_start(at(30), number, ALL_MET),
                StartCheck::Start
            );
            let running = Ok(lease(LeaseState::Running));
            members.on_answer(at(30), at(30), number, &op, &running);
        }
    }
    let end = at(30) + GANG_LEASE;
    let mut now = 30;
    loop {
        now += 100;
        match answer_calls(&mut members, now, LeaseState::Running).first() {
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

/// A renewal was held up in a buffer and only proves that the gang was complete long ago. Guards
/// against a lease that is extended by it.
#[test]
fn stale_renewal() {
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
    answer_calls(&mut restarted, 11_600, LeaseState::Running);
    assert_eq!(states(&restarted), [MemberState::Stopping]);
}

/// Returns two agents with running members, whose last heartbeats prove them alive at 1 s.
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

/// One member falls silent while the other keeps sending heartbeats. Guards against renewals of the
/// other that reach further than the gang lease counted from the last heartbeat of the silent one.
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

/// The planner has recorded a fence, so that no entry renews the attempt any more, and relies on
/// it. Guards against a renewal after the fence.
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

/// An entry resumes from a freeze and gets a heartbeat of one member before it has checked the
/// others. Guards against a renewal that relies on the state from before the freeze.
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

/// An agent is replaced while its worker doesn't answer. Guards against reporting a gang as stopped
/// before the leases of the previous agent have lapsed.
#[test]
fn stop_before_lapse() {
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

/// A member's agent restarts at once, and its tasks run on under the worker's lease. Guards against
/// stopping the gang for it.
#[test]
fn quick_restart() {
    let mut world = World::new(3, ENTRIES, AGENTS);
    world.noise = false;
    world.submit(SUBMIT_MS, "job-0", sleep_job(4, 3, 10_000));
    world.inject(SUBMIT_MS + 3_000, 200, Fault::Kill(ENTRIES + 1));
    world.run_to_end(60_000);
    world.check_records();
    assert_eq!(world.end(&"job-0".into()), Some(JobEnd::Finished));
    assert!(world.run_records().iter().all(|r| r.attempt == 1));
}

/// The members of a gang end 0.5, 5.5, 10.5 and 15.5 s after its start, and the host of the first
/// one crashes after its end. Guards against stopping the members that still have work.
#[test]
fn staggered_ends() {
    for seed in 0..10 {
        let mut world = World::new(seed, ENTRIES, AGENTS);
        world.noise = false;
        let job = JobSpec {
            program: "stagger:500".into(),
            ..sleep_job(4, 3, 500)
        };
        world.submit(SUBMIT_MS, "job-0", job);
        world.run(SUBMIT_MS + 3_000);
        let first = world
            .workers
            .iter()
            .position(|w| w.run_records[0].member == 0);
        world.inject(world.now, 10_000, Fault::KillHost(first.expect("it ran")));
        world.run_to_end(60_000);
        world.check_records();
        assert_eq!(world.end(&"job-0".into()), Some(JobEnd::Finished));
        assert!(
            world
                .run_records()
                .iter()
                .all(|r| r.attempt == 1 && r.finished),
            "seed {seed}"
        );
    }
}

/// One member, its worker or its links fail in each possible way, for a short or a long time, at
/// each step from reservation to run. Guards against jobs that don't finish after such a failure,
/// run twice at once or run partially for longer than the bound.
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
            world.submit(SUBMIT_MS, &job, sleep_job(6, 2, 3_000));
            let length = if step % 2 == 0 { 700 } else { 9_000 };
            for fault in faults {
                world.inject(SUBMIT_MS + 60 * step, length, *fault);
            }
            world.run_to_end(90_000);
            world.check_records();
            longest = longest.max(checks::longest_partial(&world.run_records(), world.now));
            let end = world.end(&job);
            assert_eq!(end, Some(JobEnd::Finished), "{faults:?} step {step}");
        }
    }
    println!("longest partial window: {longest} ms");
    assert!(longest > 0, "no failure hit a running gang");
}
