//! Which running jobs make room for a shape at least cost.

use crate::{
    job::{
        JobId, Shape,
        placement::{Part, Seat, best_of, scope_of},
        slots::WorkerId,
    },
    utils::{HashMap, HashSet},
    version::Adjacency,
};

/// A running job that may be stopped.
#[derive(Clone, Debug)]
pub(super) struct Victim {
    pub(super) job: JobId,
    /// What stopping it loses, in accelerator-milliseconds.
    pub(super) cost: u64,
    /// The accelerators that it holds on each worker.
    pub(super) holdings: Vec<(WorkerId, u32)>,
}

/// Room for a shape once some jobs have stopped.
#[derive(Clone, Debug)]
pub(super) struct Eviction {
    pub(super) parts: Vec<Part>,
    pub(super) jobs: Vec<JobId>,
    pub(super) cost: u64,
}

/// Returns the cheapest ways found to make room for `shape`, one for each scope among `seats`
/// that its adjacency allows, the cheapest first.
///
/// The least cost is a covering problem; what is done instead is greedy: of all sets of jobs on
/// one worker that give another task its room, the cheapest for each task, until the shape fits;
/// then jobs that have proved needless are left alone.
pub(super) fn cheapest(seats: &[Seat], shape: &Shape, victims: &[Victim]) -> Vec<Eviction> {
    let mut seats = seats.to_vec();
    let scope = |s: &Seat| scope_of(s, shape.adjacency);
    seats.sort_by_key(|s| (scope(s), s.worker));
    seats.dedup_by_key(|s| s.worker);
    // Tasks that share one worker are placed as one large task.
    let (tasks, size) = match shape.adjacency {
        Adjacency::Worker => (1, shape.tasks.saturating_mul(shape.accelerators)),
        _ => (shape.tasks, shape.accelerators),
    };
    let scopes = seats.chunk_by(|a, b| scope(a) == scope(b));
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

/// Returns the cheapest way found to make room for exactly `parts`, with `size` accelerators a
/// task; `seats` tells what will be free of each of their workers.
pub(super) fn exactly(
    seats: &[Seat],
    parts: &[Part],
    size: u32,
    victims: &[Victim],
) -> Option<Eviction> {
    let most = parts.iter().map(|p| p.tasks * size).collect();
    let tasks = parts.iter().map(|p| p.tasks).sum();
    Search::new(seats, most, tasks, size, victims).run()
}

struct Search<'a> {
    /// What is free of each worker, and how much of that may be used.
    seats: Vec<Seat>,
    most: Vec<u32>,
    at: HashMap<WorkerId, usize>,
    tasks: u32,
    size: u32,
    victims: &'a [Victim],
    /// The victims that hold something on each seat.
    on: Vec<Vec<(usize, u32)>>,
    chosen: HashSet<usize>,
}

/// Victims on one worker whose stop gives room for more tasks.
struct Choice {
    victims: Vec<usize>,
    cost: u64,
    gain: u32,
}

impl<'a> Search<'a> {
    fn new(seats: &[Seat], most: Vec<u32>, tasks: u32, size: u32, victims: &'a [Victim]) -> Self {
        let at: HashMap<WorkerId, usize> =
            seats.iter().zip(0..).map(|(s, i)| (s.worker, i)).collect();
        let mut on = vec![Vec::new(); seats.len()];
        for (victim, number) in victims.iter().zip(0..) {
            for (worker, accelerators) in &victim.holdings {
                if let Some(i) = at.get(worker) {
                    on[*i].push((number, *accelerators));
                }
            }
        }
        Self {
            seats: seats.to_vec(),
            most,
            at,
            tasks,
            size,
            victims,
            on,
            chosen: HashSet::default(),
        }
    }

    fn run(mut self) -> Option<Eviction> {
        while self.slots() < self.tasks {
            let choice = (0..self.seats.len())
                .filter_map(|i| self.choice(i))
                .min_by_key(|c| c.cost / u64::from(c.gain))?;
            for victim in choice.victims {
                self.stop(victim);
            }
        }
        self.spare();
        let mut seats = self.seats.clone();
        for (seat, most) in seats.iter_mut().zip(&self.most) {
            seat.value = seat.value.min(*most);
        }
        seats.sort_by_key(|s| (s.value, s.worker));
        let parts = best_of(&seats, self.tasks, self.size)?.parts;
        Some(Eviction {
            parts,
            cost: self.chosen.iter().map(|v| self.victims[*v].cost).sum(),
            jobs: self.sorted().map(|v| self.victims[v].job.clone()).collect(),
        })
    }

    fn slots(&self) -> u32 {
        (0..self.seats.len()).map(|i| self.slots_with(i, 0)).sum()
    }

    /// Returns how many tasks fit on a seat once `freed` more accelerators are free.
    fn slots_with(&self, seat: usize, freed: u32) -> u32 {
        let value = self.seats[seat].value + freed;
        value.min(self.most[seat]) / self.size
    }

    /// Returns the cheapest choice found on one seat: the cheapest victims together, or a single
    /// one that is enough.
    fn choice(&self, seat: usize) -> Option<Choice> {
        let slots = self.slots_with(seat, 0);
        let mut left: Vec<(usize, u32)> = self.on[seat]
            .iter()
            .copied()
            .filter(|(v, _)| !self.chosen.contains(v))
            .collect();
        left.sort_by_key(|(v, held)| (self.victims[*v].cost / u64::from(*held).max(1), *v));
        let needed = self.tasks - self.slots();
        let mut together = Choice {
            victims: Vec::new(),
            cost: 0,
            gain: 0,
        };
        let mut freed = 0;
        for (victim, held) in &left {
            freed += held;
            together.victims.push(*victim);
            together.cost += self.victims[*victim].cost;
            together.gain = (self.slots_with(seat, freed) - slots).min(needed);
            if together.gain > 0 {
                break;
            }
        }
        let single = left.iter().filter_map(|(victim, held)| {
            let gain = (self.slots_with(seat, *held) - slots).min(needed);
            (gain > 0).then(|| Choice {
                victims: vec![*victim],
                cost: self.victims[*victim].cost,
                gain,
            })
        });
        single
            .chain((together.gain > 0).then_some(together))
            .min_by_key(|c| c.cost / u64::from(c.gain))
    }

    fn stop(&mut self, victim: usize) {
        if self.chosen.insert(victim) {
            for (worker, held) in &self.victims[victim].holdings {
                if let Some(i) = self.at.get(worker) {
                    self.seats[*i].value += held;
                }
            }
        }
    }

    /// Takes victims out of the choice, the costliest first, as long as the shape still fits.
    fn spare(&mut self) {
        let mut chosen: Vec<usize> = self.sorted().collect();
        chosen.sort_by_key(|v| std::cmp::Reverse(self.victims[*v].cost));
        for victim in chosen {
            let before = self.seats.clone();
            for (worker, held) in &self.victims[victim].holdings {
                if let Some(i) = self.at.get(worker) {
                    self.seats[*i].value -= held;
                }
            }
            if self.slots() >= self.tasks {
                self.chosen.remove(&victim);
            } else {
                self.seats = before;
            }
        }
    }

    fn sorted(&self) -> impl Iterator<Item = usize> + use<> {
        let mut chosen: Vec<usize> = self.chosen.iter().copied().collect();
        chosen.sort_unstable();
        chosen.into_iter()
    }
}
