//! A request that may not be repeated runs at most once, and "not run" is true, whatever fails.

mod simulation;

use arbtest::arbtest;
use dragonflyrun::{connection::Outcome, version::Urgency};
use simulation::{Backend, Class, Faults, Setup, Sim};

/// Seeds in CI; `DRAGONFLYRUN_SEEDS` asks for more.
const SEEDS: u64 = 150;

fn seeds() -> u64 {
    let more = std::env::var("DRAGONFLYRUN_SEEDS").ok();
    more.and_then(|n| n.parse().ok()).unwrap_or(SEEDS)
}

fn booking() -> Class {
    Class {
        service: "booking",
        urgency: Urgency::Urgent,
        deadline_ms: 2_500,
        run_ms: 150,
        weight: 1,
        keyed: true,
    }
}

fn setup(seed: u64, faults: Faults) -> Setup {
    Setup {
        seed,
        entries: 3,
        slots: 2,
        backends: vec![
            Backend::Runs(1.0),
            Backend::Runs(1.0),
            Backend::Runs(6.0),
            Backend::Refuses,
            Backend::Breaks,
        ],
        classes: vec![booking()],
        arrivals_per_s: 15.0,
        arrivals_until_ms: 30_000,
        tries: 4,
        choices: 2,
        credits: false,
        faults,
    }
}

/// How often each answer was given, so that a run in which nothing happens is noticed.
#[derive(Debug, Default)]
struct Answers {
    done: usize,
    not_run: usize,
    unknown: usize,
    none: usize,
}

impl Answers {
    fn add(&mut self, sim: &Sim) {
        for asked in &sim.tries {
            match asked.answer.as_ref().map(|(_, outcome)| outcome) {
                Some(Outcome::Done { .. }) => self.done += 1,
                Some(Outcome::NotRun { .. }) => self.not_run += 1,
                Some(Outcome::Unknown) => self.unknown += 1,
                None => self.none += 1,
            }
        }
    }
}

fn check(faults: Faults) {
    let mut answers = Answers::default();
    for n in 0..seeds() {
        // The seed's upper half feeds the values, its lower half is their size in bytes.
        arbtest(|u| {
            let seed = u.arbitrary()?;
            let mut sim = Sim::new(setup(seed, faults));
            sim.run_until(50_000);
            if let Some(found) = sim.violations().first() {
                let story = sim.story(found.ticket());
                panic!("sim seed {seed}: {found:?}\n{story}");
            }
            answers.add(&sim);
            Ok(())
        })
        .seed(n << 32 | 64)
        .run();
    }
    println!("{answers:?}");
    let least = answers.not_run.min(answers.unknown).min(answers.none);
    assert!(
        answers.done > least && least > 0,
        "too little happened: {answers:?}"
    );
}

/// Processes are killed and frozen, links break and come back, agents lose sight of the log, and
/// the owners of keys change, several of these at once. A buyer who taps "book" again, at another
/// entry, must not be booked twice, and one who reads "not run" must not find a booking later.
#[test]
fn processes_fail() {
    check(Faults {
        every_ms: 400,
        ..Faults::default()
    });
}

/// Messages between the processes are lost, doubled, held up behind later ones or cut off, besides
/// all that fails above. A buyer must not get another's answer, half an answer, or two bookings.
#[test]
fn messages_fail() {
    check(Faults {
        every_ms: 1_500,
        drop: 2.0,
        duplicate: 5.0,
        delay: 5.0,
        truncate: 10.0,
    });
}
