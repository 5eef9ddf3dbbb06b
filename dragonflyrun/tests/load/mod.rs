//! Measures requests under load: how many are answered in time, and the outcomes of the others.

#![allow(dead_code)] // The test and the benchmark each use only a part.

use std::collections::BTreeMap;

use dragonflyrun::{connection::Outcome, version::Urgency};
use serde::{Deserialize, Serialize};

use crate::simulation::{Backend, Class, Faults, Setup, Sim};

/// Time before the first request, in which the processes connect to each other.
const WARM_UP_MS: u64 = 6_000;

/// Factor on the run times of a slow backend server.
const SLOW_FACTOR: f64 = 5.0;

/// The workloads in `benches/data/requests.json`.
#[derive(Debug, Deserialize)]
pub(crate) struct Workloads {
    pub(crate) deployments: Vec<Workload>,
    /// Arrival rates as a share of the capacity of the working backend servers.
    pub(crate) loads: Vec<f64>,
    pub(crate) seconds: u64,
    pub(crate) seeds: Vec<u64>,
}

#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Workload {
    pub(crate) name: String,
    entries: usize,
    slots: u32,
    backends: Vec<BackendKind>,
    classes: Vec<ClassData>,
    /// The percentage of requests that are directed to the first entry.
    #[serde(default)]
    skew: f64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum BackendKind {
    Runs,
    Slow,
    Refuses,
    Breaks,
}

#[derive(Clone, Debug, Deserialize)]
struct ClassData {
    service: String,
    urgency: Urgency,
    deadline_ms: u64,
    run_ms: u64,
    weight: u32,
    keyed: bool,
}

/// The policy by which an entry chooses agents.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Policy {
    /// A random agent that seems to have a free slot.
    Random,
    /// The better of two such agents.
    BestOfTwo,
    /// Like `BestOfTwo`, with the slots of each agent divided among the entries.
    Divided,
}

/// The results of one run.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Figures {
    /// Requests answered in time, as a share of the capacity over the run.
    pub(crate) goodput: f64,
    /// Requests answered in time as a share of all, by urgency.
    pub(crate) in_time: BTreeMap<String, f64>,
    /// The 99th percentile of the time until "done", by urgency.
    pub(crate) p99_ms: BTreeMap<String, u64>,
    pub(crate) unknown: usize,
    pub(crate) refusals: BTreeMap<String, usize>,
    pub(crate) retries: u64,
    pub(crate) requests: usize,
}

impl Workload {
    /// Returns the capacity of the working backend servers, in requests per second.
    fn capacity(&self) -> f64 {
        let weights: u32 = self.classes.iter().map(|c| c.weight).sum();
        let work: f64 = self
            .classes
            .iter()
            .map(|c| c.run_ms as f64 * f64::from(c.weight))
            .sum();
        let mean_s = work / f64::from(weights) / 1_000.0;
        let slots: f64 = self
            .backends
            .iter()
            .map(|b| match b {
                BackendKind::Runs => f64::from(self.slots),
                BackendKind::Slow => f64::from(self.slots) / SLOW_FACTOR,
                BackendKind::Refuses | BackendKind::Breaks => 0.0,
            })
            .sum();
        slots / mean_s
    }

    pub(crate) fn run(&self, policy: Policy, load: f64, seconds: u64, seed: u64) -> Figures {
        let until = WARM_UP_MS + seconds * 1_000;
        let mut sim = Sim::new(Setup {
            seed,
            entries: self.entries,
            slots: self.slots,
            backends: self.backends.iter().map(|b| b.behaviour()).collect(),
            classes: self.classes.iter().map(ClassData::class).collect(),
            arrivals_per_s: self.capacity() * load,
            arrivals_until_ms: until,
            max_attempts: 1,
            choices: if policy == Policy::Random { 1 } else { 2 },
            divided: policy == Policy::Divided,
            skew: self.skew,
            faults: Faults::default(),
        });
        sim.run_until(until + 60_000);
        assert!(sim.violations().is_empty(), "{:?}", sim.violations());
        self.figures(&sim, seconds)
    }

    fn figures(&self, sim: &Sim, seconds: u64) -> Figures {
        let mut times: BTreeMap<String, Vec<Option<u64>>> = BTreeMap::new();
        let (mut in_time, mut unknown) = (0, 0);
        let mut refusals = BTreeMap::new();
        for attempt in &sim.attempts {
            let class = &self.classes[sim.tickets[attempt.ticket].class];
            let urgency = format!("{:?}", class.urgency).to_lowercase();
            let time = match &attempt.answer {
                Some((at, Outcome::Done { .. })) => Some(at - attempt.submitted),
                Some((_, Outcome::NotRun { reason, .. })) => {
                    *refusals.entry(format!("{reason:?}")).or_insert(0) += 1;
                    None
                }
                _ => {
                    unknown += 1;
                    None
                }
            };
            in_time += usize::from(time.is_some());
            times.entry(urgency).or_default().push(time);
        }
        Figures {
            goodput: in_time as f64 / (self.capacity() * seconds as f64),
            in_time: times
                .iter()
                .map(|(u, t)| (u.clone(), share_in_time(t)))
                .collect(),
            p99_ms: times.iter().map(|(u, t)| (u.clone(), p99_ms(t))).collect(),
            unknown,
            refusals,
            retries: sim.retries,
            requests: sim.attempts.len(),
        }
    }
}

fn share_in_time(times: &[Option<u64>]) -> f64 {
    times.iter().flatten().count() as f64 / times.len() as f64
}

fn p99_ms(times: &[Option<u64>]) -> u64 {
    let mut times: Vec<u64> = times.iter().flatten().copied().collect();
    times.sort_unstable();
    times.get(times.len() * 99 / 100).copied().unwrap_or(0)
}

impl BackendKind {
    fn behaviour(self) -> Backend {
        match self {
            Self::Runs => Backend::Runs(1.0),
            Self::Slow => Backend::Runs(SLOW_FACTOR),
            Self::Refuses => Backend::Refuses,
            Self::Breaks => Backend::Breaks,
        }
    }
}

impl ClassData {
    fn class(&self) -> Class {
        Class {
            service: self.service.clone(),
            urgency: self.urgency,
            deadline_ms: self.deadline_ms,
            run_ms: self.run_ms,
            weight: self.weight,
            keyed: self.keyed,
        }
    }
}
