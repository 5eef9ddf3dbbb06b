//! Selection of the running jobs whose eviction makes room for a shape at the lowest cost.

use crate::{
    job::{
        JobId, Shape,
        placement::{Candidate, Part, best_of, scope_of},
        slots::WorkerId,
    },
    utils::{HashMap, HashSet},
    version::Adjacency,
};

/// A running job that may be stopped.
#[derive(Clone, Debug)]
pub(super) struct Victim {
    pub(super) job: JobId,
    /// What stopping it costs: lost milliseconds multiplied by the weights of the job.
    pub(super) cost: u64,
    /// The accelerators that it holds on each worker.
    pub(super) holdings: Vec<(WorkerId, u32)>,
}

/// Room for a shape that is available once some jobs have stopped.
#[derive(Clone, Debug)]
pub(super) struct Eviction {
    pub(super) parts: Vec<Part>,
    pub(super) jobs: Vec<JobId>,
    pub(super) cost: u64,
}

/// Returns the cheapest evictions found that make room for `shape`, one for each scope among
/// `candidates` that its adjacency allows, the cheapest first.
///
/// Finding the lowest cost is a covering problem, which is solved greedily: as long as the shape
/// doesn't fit, the set of jobs on one worker that frees room for further tasks at the lowest cost
/// for each task is chosen. Jobs that turn out not to be needed are dropped from the choice at the
/// end.
pub(super) fn cheapest_evictions(
    candidates: &[Candidate],
    shape: &Shape,
    victims: &[Victim],
) -> Vec<Eviction> {
    let mut candidates = candidates.to_vec();
    let scope = |s: &Candidate| scope_of(s, shape.adjacency);
    candidates.sort_by_key(|s| (scope(s), s.worker));
    candidates.dedup_by_key(|s| s.worker);
    // Tasks that must share one worker are placed as one large task.
    let (tasks, size) = match shape.adjacency {
        Adjacency::Worker => (1, shape.tasks.saturating_mul(shape.accelerators)),
        _ => (shape.tasks, shape.accelerators),
    };
    let scopes = candidates.chunk_by(|a, b| scope(a) == scope(b));
    let mut found: Vec<Eviction> = scopes
        .filter_map(|scope| {
            let free = vec![u32::MAX; scope.len()];
            Search::new(scope, free, tasks, size, victims).run()
        })
        .collect();
    if shape.adjacency == Adjacency::Worker {
        for part in found.iter_mut().flat_map(|e| &mut e.parts) {
            part.tasks = shape.tasks;
        }
    }
    found.sort_by_key(|e| e.cost);
    found
}

/// Returns the cheapest eviction found that makes room for exactly `parts`, with `size`
/// accelerators for each task; `candidates` gives the accelerators that will be available on each
/// of their workers.
pub(super) fn cheapest_for_parts(
    candidates: &[Candidate],
    parts: &[Part],
    size: u32,
    victims: &[Victim],
) -> Option<Eviction> {
    let caps = parts.iter().map(|p| p.tasks * size).collect();
    let tasks = parts.iter().map(|p| p.tasks).sum();
    Search::new(candidates, caps, tasks, size, victims).run()
}

struct Search<'a> {
    /// The accelerators available on each worker, and in `caps` how many of them may be used.
    candidates: Vec<Candidate>,
    caps: Vec<u32>,
    index_of: HashMap<WorkerId, usize>,
    tasks: u32,
    size: u32,
    victims: &'a [Victim],
    /// The victims on each candidate, with the accelerators that they hold there.
    victims_on: Vec<Vec<(usize, u32)>>,
    chosen: HashSet<usize>,
}

/// Victims on one worker whose stop makes room for `gain` more tasks.
struct VictimSet {
    victims: Vec<usize>,
    cost: u64,
    gain: u32,
}

impl<'a> Search<'a> {
    fn new(
        candidates: &[Candidate],
        caps: Vec<u32>,
        tasks: u32,
        size: u32,
        victims: &'a [Victim],
    ) -> Self {
        let index_of: HashMap<WorkerId, usize> = candidates
            .iter()
            .zip(0..)
            .map(|(s, i)| (s.worker, i))
            .collect();
        let mut victims_on = vec![Vec::new(); candidates.len()];
        for (victim, number) in victims.iter().zip(0..) {
            for (worker, accelerators) in &victim.holdings {
                if let Some(i) = index_of.get(worker) {
                    victims_on[*i].push((number, *accelerators));
                }
            }
        }
        Self {
            candidates: candidates.to_vec(),
            caps,
            index_of,
            tasks,
            size,
            victims,
            victims_on,
            chosen: HashSet::default(),
        }
    }

    fn run(mut self) -> Option<Eviction> {
        while self.slots() < self.tasks {
            let cheapest_set = (0..self.candidates.len())
                .filter_map(|i| self.cheapest_set(i))
                .min_by_key(|c| c.cost / u64::from(c.gain))?;
            for victim in cheapest_set.victims {
                self.choose(victim);
            }
        }
        self.drop_needless_victims();
        let mut candidates = self.candidates.clone();
        for (candidate, cap) in candidates.iter_mut().zip(&self.caps) {
            candidate.available = candidate.available.min(*cap);
        }
        candidates.sort_by_key(|s| (s.available, s.worker));
        let parts = best_of(&candidates, self.tasks, self.size)?.parts;
        Some(Eviction {
            parts,
            cost: self.chosen.iter().map(|v| self.victims[*v].cost).sum(),
            jobs: self
                .chosen_in_order()
                .map(|v| self.victims[v].job.clone())
                .collect(),
        })
    }

    fn slots(&self) -> u32 {
        (0..self.candidates.len())
            .map(|i| self.slots_with(i, 0))
            .sum()
    }

    /// Returns how many tasks fit on a candidate once `freed` more accelerators are available.
    fn slots_with(&self, candidate: usize, freed: u32) -> u32 {
        let value = self.candidates[candidate].available + freed;
        value.min(self.caps[candidate]) / self.size
    }

    /// Returns the cheapest set found on one candidate: the victims with the lowest cost for each
    /// accelerator together, or a single victim that is enough.
    fn cheapest_set(&self, candidate: usize) -> Option<VictimSet> {
        let slots = self.slots_with(candidate, 0);
        let mut left: Vec<(usize, u32)> = self.victims_on[candidate]
            .iter()
            .copied()
            .filter(|(v, _)| !self.chosen.contains(v))
            .collect();
        left.sort_by_key(|(v, held)| (self.victims[*v].cost / u64::from(*held).max(1), *v));
        let needed = self.tasks - self.slots();
        let mut together = VictimSet {
            victims: Vec::new(),
            cost: 0,
            gain: 0,
        };
        let mut freed = 0;
        for (victim, held) in &left {
            freed += held;
            together.victims.push(*victim);
            together.cost += self.victims[*victim].cost;
            together.gain = (self.slots_with(candidate, freed) - slots).min(needed);
            if together.gain > 0 {
                break;
            }
        }
        let singles = left.iter().filter_map(|(victim, held)| {
            let gain = (self.slots_with(candidate, *held) - slots).min(needed);
            (gain > 0).then(|| VictimSet {
                victims: vec![*victim],
                cost: self.victims[*victim].cost,
                gain,
            })
        });
        singles
            .chain((together.gain > 0).then_some(together))
            .min_by_key(|c| c.cost / u64::from(c.gain))
    }

    fn choose(&mut self, victim: usize) {
        if self.chosen.insert(victim) {
            for (worker, held) in &self.victims[victim].holdings {
                if let Some(i) = self.index_of.get(worker) {
                    self.candidates[*i].available += held;
                }
            }
        }
    }

    /// Drops chosen victims, the most expensive first, as long as the shape still fits.
    fn drop_needless_victims(&mut self) {
        let mut chosen: Vec<usize> = self.chosen_in_order().collect();
        chosen.sort_by_key(|v| std::cmp::Reverse(self.victims[*v].cost));
        for victim in chosen {
            let before = self.candidates.clone();
            for (worker, held) in &self.victims[victim].holdings {
                if let Some(i) = self.index_of.get(worker) {
                    self.candidates[*i].available -= held;
                }
            }
            if self.slots() >= self.tasks {
                self.chosen.remove(&victim);
            } else {
                self.candidates = before;
            }
        }
    }

    fn chosen_in_order(&self) -> impl Iterator<Item = usize> + use<> {
        let mut chosen: Vec<usize> = self.chosen.iter().copied().collect();
        chosen.sort_unstable();
        chosen.into_iter()
    }
}
