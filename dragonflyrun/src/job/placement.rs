//! The choice among workers that hold a shape: whole workers are left whole.

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
    /// The worker.
    pub(super) worker: WorkerId,
    /// Tasks on it.
    pub(super) tasks: u32,
}

/// A worker, where it stands, and how many of its accelerators are on offer.
#[derive(Clone, Copy, Debug)]
pub(super) struct Seat {
    pub(super) worker: WorkerId,
    pub(super) rack: usize,
    pub(super) domain: usize,
    pub(super) value: u32,
}

/// One way to place a gang.
#[derive(Clone, Debug)]
pub(super) struct Plan {
    pub(super) parts: Vec<Part>,
    /// How well the workers used keep their accelerators together: the change of the sum of the
    /// squares of what is left on each. It is highest where holes are filled and lowest where a
    /// whole worker is broken.
    pub(super) kept: i64,
}

/// Returns the best way to place `tasks` of `size` accelerators on `seats`, which are sorted by
/// value: on one worker, or filling the fullest workers first, or the emptiest.
pub(super) fn best_of(seats: &[Seat], tasks: u32, size: u32) -> Option<Plan> {
    let whole = tasks.checked_mul(size)?;
    let single = seats.iter().find(|s| s.value >= whole);
    let single = single.and_then(|s| fill([s], tasks, size));
    let fullest = fill(seats, tasks, size);
    let emptiest = fill(seats.iter().rev(), tasks, size);
    let plans = [emptiest, fullest, single];
    plans
        .into_iter()
        .flatten()
        .max_by_key(|plan| (plan.kept, std::cmp::Reverse(plan.parts.len())))
}

/// Places `tasks` of `size` accelerators on `seats` in their order.
fn fill<'a>(seats: impl IntoIterator<Item = &'a Seat>, mut tasks: u32, size: u32) -> Option<Plan> {
    let mut parts = Vec::new();
    let mut kept = 0;
    for seat in seats {
        let here = tasks.min(seat.value / size);
        if here == 0 {
            continue;
        }
        parts.push(Part {
            worker: seat.worker,
            tasks: here,
        });
        let value = i64::from(seat.value);
        let left = i64::from(seat.value - here * size);
        kept += left * left - value * value;
        tasks -= here;
        if tasks == 0 {
            return Some(Plan { parts, kept });
        }
    }
    None
}

/// Returns where `shape` fits best on the few `seats` given.
pub(super) fn pick(seats: &[Seat], shape: &Shape) -> Option<Plan> {
    let mut seats = seats.to_vec();
    seats.sort_by_key(|s| (scope_of(s, shape.adjacency), s.value, s.worker));
    let scopes = seats.chunk_by(|a, b| {
        scope_of(a, shape.adjacency) == scope_of(b, shape.adjacency) //
    });
    let plans = scopes.filter_map(|scope| best_of(scope, shape.tasks, shape.accelerators));
    plans.max_by_key(|plan| plan.kept)
}

/// Returns the number of the scope that holds all tasks of a gang with `adjacency`.
pub(super) fn scope_of(seat: &Seat, adjacency: Adjacency) -> usize {
    match adjacency {
        Adjacency::Any => 0,
        Adjacency::FailureDomain => seat.domain,
        Adjacency::Rack => seat.rack,
        Adjacency::Worker => seat.worker,
    }
}
