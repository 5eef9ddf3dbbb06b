//! The choice of workers for a shape, which fills partly used workers so that whole workers stay
//! whole.

use crate::{
    job::{
        Shape,
        slots::WorkerId, //
    },
    version::Adjacency,
};

/// Tasks of a gang on one worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Part {
    /// The worker that runs the tasks.
    pub(super) worker: WorkerId,
    /// Number of the gang's tasks on this worker.
    pub(super) tasks: u32,
}

/// A worker with its location and the number of its accelerators that are available for a
/// placement.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) worker: WorkerId,
    pub(super) rack: usize,
    pub(super) domain: usize,
    pub(super) available: u32,
}

/// One way to place a gang.
#[derive(Clone, Debug)]
pub(super) struct Plan {
    pub(super) parts: Vec<Part>,
    /// Score of the placement, higher is better: the change in the sum of the squares of the
    /// accelerators left on each worker. It is highest if gaps are filled and lowest if a whole
    /// worker is broken up.
    pub(super) packing_score: i64,
}

/// Returns the best of three ways to place `tasks` of `size` accelerators on `candidates`, which
/// are sorted by available accelerators: on one worker, filling the workers with the fewest
/// available accelerators first, or those with the most.
pub(super) fn best_of(candidates: &[Candidate], tasks: u32, size: u32) -> Option<Plan> {
    let whole = tasks.checked_mul(size)?;
    let single = candidates.iter().find(|s| s.available >= whole);
    let single = single.and_then(|s| fill([s], tasks, size));
    let fullest = fill(candidates, tasks, size);
    let emptiest = fill(candidates.iter().rev(), tasks, size);
    let plans = [emptiest, fullest, single];
    plans
        .into_iter()
        .flatten()
        .max_by_key(|plan| (plan.packing_score, std::cmp::Reverse(plan.parts.len())))
}

/// Places `tasks` of `size` accelerators on `candidates` in their order.
fn fill<'a>(
    candidates: impl IntoIterator<Item = &'a Candidate>,
    mut tasks: u32,
    size: u32,
) -> Option<Plan> {
    let mut parts = Vec::new();
    let mut packing_score = 0;
    for candidate in candidates {
        let here = tasks.min(candidate.available / size);
        if here == 0 {
            continue;
        }
        parts.push(Part {
            worker: candidate.worker,
            tasks: here,
        });
        let available = i64::from(candidate.available);
        let left = i64::from(candidate.available - here * size);
        packing_score += left * left - available * available;
        tasks -= here;
        if tasks == 0 {
            return Some(Plan {
                parts,
                packing_score,
            });
        }
    }
    None
}

/// Returns the best placement of `shape` on `candidates`, all of which are looked at.
pub(super) fn pick(candidates: &[Candidate], shape: &Shape) -> Option<Plan> {
    let mut candidates = candidates.to_vec();
    candidates.sort_by_key(|s| (scope_of(s, shape.adjacency), s.available, s.worker));
    let scopes = candidates.chunk_by(|a, b| {
        scope_of(a, shape.adjacency) == scope_of(b, shape.adjacency) //
    });
    let plans = scopes.filter_map(|scope| best_of(scope, shape.tasks, shape.accelerators));
    plans.max_by_key(|plan| plan.packing_score)
}

/// Returns the number of the scope of `candidate`: all tasks of a gang with `adjacency` have to be
/// in the same scope.
pub(super) fn scope_of(candidate: &Candidate, adjacency: Adjacency) -> usize {
    match adjacency {
        Adjacency::Any => 0,
        Adjacency::FailureDomain => candidate.domain,
        Adjacency::Rack => candidate.rack,
        Adjacency::Worker => candidate.worker,
    }
}
