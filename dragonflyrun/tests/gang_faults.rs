//! Gangs under all failures together: whatever fails, no gang runs partially for longer than the
//! stated bound, no job runs twice, nothing starts where operators have taken it out, and every
//! accepted job ends.

mod gang_world;

use arbtest::{
    arbitrary::{Result, Unstructured},
    arbtest, //
};
use dragonflyrun::{
    connection::JobEnd,
    job::JobSpec,
    version::{Adjacency, Urgency},
};

use gang_world::{Fault, World, checks, sleeping};

const ENTRIES: usize = 3;
const AGENTS: usize = 6;

/// When the last failure is over, in milliseconds of the world's clock.
const FAULTS_UNTIL: u64 = 60_000;

/// When all jobs have ended at the latest.
///
/// A job whose workers were lost, together with an entry that may have gone on renewing their
/// leases, waits for `RENEWAL_WITHOUT_LOG`.
const END: u64 = 1_200_000;

/// Seeds that CI runs. `GANG_SEEDS` sets another number; `GANG_SEED` runs a single one that was
/// printed, and `GANG_TRACE` shows its messages and records.
const SEEDS: u64 = 150;

fn seeds() -> u64 {
    let set = std::env::var("GANG_SEEDS").ok();
    set.map_or(SEEDS, |s| s.parse().expect("a number of seeds"))
}

fn spec(u: &mut Unstructured<'_>) -> Result<JobSpec> {
    let ms = u.int_in_range(200..=12_000)?;
    let verb = if u.ratio(1, 8)? { "fail" } else { "sleep" };
    Ok(JobSpec {
        workspace: "murtal".into(),
        urgency: Urgency::Normal,
        tasks: u.int_in_range(1..=6)?,
        accelerators: u.int_in_range(1..=3)?,
        adjacency: Adjacency::Any,
        run_time_ms: ms,
        program: format!("{verb}:{ms}").into(),
    })
}

/// One failure, or some that come together.
fn faults(u: &mut Unstructured<'_>) -> Result<Vec<Fault>> {
    let node = u.choose_index(ENTRIES + AGENTS)?;
    let worker = u.choose_index(AGENTS)?;
    let entry = u.choose_index(ENTRIES)?;
    let other = (entry + 1 + u.choose_index(ENTRIES + AGENTS - 1)?) % (ENTRIES + AGENTS);
    let hold = u.arbitrary()?;
    let one = match u.choose_index(14)? {
        0 => Fault::Kill(node),
        1 => Fault::Kill(entry),
        2 => Fault::Freeze(node),
        3 => Fault::Freeze(entry),
        4 => Fault::KillHost(worker),
        5 => Fault::FreezeHost(worker),
        6 => Fault::FreezeWorker(worker),
        7 => Fault::BreakWorker(worker),
        8 => Fault::Cut(entry, other, hold),
        9 => Fault::CutLog(node),
        10 => Fault::Drain(u.choose_index(2)?),
        11 if hold => Fault::LogDown,
        11 => Fault::LogLoses,
        12 => return Ok((0..ENTRIES).map(Fault::Freeze).collect()),
        _ => {
            let cut = |entry| Fault::Cut(entry, ENTRIES + worker, hold);
            return Ok((0..ENTRIES).map(cut).collect());
        }
    };
    Ok(vec![one])
}

fn any_failures(u: &mut Unstructured<'_>) -> Result<()> {
    let mut world = World::new(u.arbitrary()?, ENTRIES, AGENTS);
    for job in 0..u.int_in_range(1..=12)? {
        let name = format!("job-{job}");
        let at = u.int_in_range(1_500..=30_000)?;
        world.submit(at, &name, spec(u)?);
        if u.ratio(1, 6)? {
            world.cancel(at + u.int_in_range(0..=15_000)?, &name);
        }
    }
    for _ in 0..u.int_in_range(0..=12)? {
        let at = u.int_in_range(2_000..=50_000)?;
        let length = u.int_in_range(50..=FAULTS_UNTIL - at)?.min(20_000);
        for fault in faults(u)? {
            world.fault(at, length, fault);
        }
    }
    while world.now < END && (world.now < FAULTS_UNTIL || !world.all_ended()) {
        world.run(world.now + 1_000);
    }
    check(&world);
    Ok(())
}

fn check(world: &World) {
    world.check_records();
    let ran = world.ran();
    for (job, spec) in &world.submitted {
        match world.end(job) {
            None => panic!("{job} has not ended"),
            Some(JobEnd::Finished) => {
                assert!(checks::has_finished(&ran, job), "{job} did not finish");
            }
            Some(JobEnd::Failed) => {
                // A worker that fails all it starts can fail a good program a few times only.
                assert!(spec.program.starts_with("fail"), "{job} was failed");
            }
            Some(JobEnd::Cancelled) => {}
            Some(JobEnd::Impossible) => panic!("{job} was called impossible"),
        }
    }
}

/// Hosts, processes, links and the log fail at any moment, together and twice. A user would notice
/// a job that hangs on tasks that wait for each other, that runs twice, or that never ends.
#[test]
fn random_failures() {
    if let Ok(seed) = std::env::var("GANG_SEED") {
        let seed = u64::from_str_radix(seed.trim_start_matches("0x"), 16);
        arbtest(any_failures).seed(seed.expect("a seed in hexadecimal"));
        return;
    }
    let threads = 4;
    std::thread::scope(|scope| {
        for thread in 0..threads {
            scope.spawn(move || {
                for seed in (thread..seeds()).step_by(threads as usize) {
                    let size = 128 + 32 * (seed % 16);
                    arbtest(any_failures).seed((seed + 1) << 32 | size);
                }
            });
        }
    });
}

const SUBMIT: u64 = 10_000;

/// A world in which the job runs, and nothing fails by itself: a lost answer of a worker may cost
/// an attempt, and these tests count attempts.
fn running(seed: u64, job: JobSpec) -> World {
    let mut world = World::new(seed, ENTRIES, AGENTS);
    world.noise = false;
    world.submit(SUBMIT, "job-0", job);
    world.run(SUBMIT + 2_000);
    assert!(!world.ran().is_empty());
    world
}

fn attempts(world: &World) -> u32 {
    world.ran().iter().map(|r| r.attempt).max().unwrap_or(0)
}

/// The host of one member is lost, and at the same moment nobody is left who could tell the others:
/// all entries are frozen. The others would compute for a gang that can't finish.
#[test]
fn entries_lost() {
    let mut longest = 0;
    for seed in 0..10 {
        let mut world = running(seed, sleeping(6, 4, 20_000));
        world.fault(world.now, 60_000, Fault::KillHost(1));
        for entry in 0..ENTRIES {
            world.fault(world.now, 20_000, Fault::Freeze(entry));
        }
        world.run_to_end(200_000);
        world.check_records();
        longest = longest.max(checks::longest_partial(&world.ran(), world.now));
        assert_eq!(world.end(&"job-0".into()), Some(JobEnd::Finished));
    }
    println!("longest partial window: {longest} ms");
}

/// The planner alone can't reach the only member of a gang, which the other entries go on renewing.
/// Another attempt next to it would pay an owner twice.
#[test]
fn lone_member() {
    for seed in 0..10 {
        let mut world = running(seed, sleeping(2, 2, 15_000));
        let planner = world.planners()[0];
        let member = world.workers.iter().position(|w| !w.ran.is_empty());
        let agent = ENTRIES + member.expect("a member runs");
        world.fault(world.now, 60_000, Fault::Cut(planner, agent, seed % 2 == 0));
        world.run_to_end(200_000);
        world.check_records();
        assert_eq!(world.end(&"job-0".into()), Some(JobEnd::Finished));
        assert_eq!(attempts(&world), 2, "it was fenced and went on elsewhere");
    }
}

/// A gang's only member and one entry are cut off from everybody else and from the log. They go on
/// together, and the rest must leave the job alone, also when it has removed that entry.
#[test]
fn one_entry_left() {
    for seed in 0..10 {
        let mut world = running(seed, sleeping(2, 2, 40_000));
        let planner = world.planners()[0];
        let entry = (planner + 1) % ENTRIES;
        let member = world.workers.iter().position(|w| !w.ran.is_empty());
        let agent = ENTRIES + member.expect("a member runs");
        for other in (0..ENTRIES).filter(|e| *e != entry) {
            world.fault(world.now, 60_000, Fault::Cut(other, agent, false));
            world.fault(world.now, 60_000, Fault::Cut(other, entry, false));
        }
        world.fault(world.now, 60_000, Fault::CutLog(entry));
        world.fault(world.now, 60_000, Fault::CutLog(agent));
        world.run_to_end(1_200_000);
        world.check_records();
        assert_eq!(world.end(&"job-0".into()), Some(JobEnd::Finished));
        assert_eq!(attempts(&world), 1);
    }
}

/// Workers of which one fails all it starts, and programs that fail wherever they run: the good
/// jobs finish, the bad ones are ended after a bounded number of attempts.
#[test]
fn bad_jobs() {
    let mut world = World::new(1, ENTRIES, AGENTS);
    world.fault(2_000, 200_000, Fault::BreakWorker(2));
    for i in 0..12 {
        let program = if i % 4 == 0 { "fail:100" } else { "sleep:800" };
        let spec = JobSpec {
            program: program.into(),
            ..sleeping(1 + i % 3, 2, 800)
        };
        world.submit(SUBMIT + u64::from(i) * 50, &format!("job-{i}"), spec);
    }
    world.run_to_end(300_000);
    check(&world);
    assert!(attempts(&world) <= 8, "{} attempts", attempts(&world));
}
