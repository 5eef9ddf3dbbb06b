//! The naive way to allot guarantees: every way is tried.

use dragonflyrun::{
    Shape,
    job::WorkerInfo,
    version::Adjacency, //
};

/// Ways that are tried before the search gives up.
const MOST_WAYS: u32 = 200_000;

/// A worker with the accelerators that are left of it.
#[derive(Clone, Debug)]
pub(crate) struct Room {
    pub(crate) worker: WorkerInfo,
    pub(crate) left: u32,
}

/// Returns whether all of `shapes` fit into `rooms` at once; none where it takes too long to say.
pub(crate) fn all_fit(rooms: &mut [Room], shapes: &[Shape]) -> Option<bool> {
    let mut ways = 0;
    place(
        rooms,
        shapes,
        shapes.first().map_or(0, |s| s.tasks),
        None,
        &mut ways,
    )
}

/// Places the last `tasks` tasks of the first shape, one at a time, then the other shapes.
fn place(
    rooms: &mut [Room],
    shapes: &[Shape],
    tasks: u32,
    first: Option<usize>,
    ways: &mut u32,
) -> Option<bool> {
    let Some((shape, others)) = shapes.split_first() else {
        return Some(true);
    };
    if tasks == 0 {
        let next = others.first().map_or(0, |s| s.tasks);
        return place(rooms, others, next, None, ways);
    }
    for i in 0..rooms.len() {
        *ways += 1;
        if *ways > MOST_WAYS {
            return None;
        }
        let near = first.is_none_or(|f| is_near(&rooms[f].worker, &rooms[i].worker, shape));
        if !near || rooms[i].left < shape.accelerators {
            continue;
        }
        rooms[i].left -= shape.accelerators;
        let fits = place(rooms, shapes, tasks - 1, first.or(Some(i)), ways);
        rooms[i].left += shape.accelerators;
        if fits != Some(false) {
            return fits;
        }
    }
    Some(false)
}

/// Returns whether two workers may hold tasks of one gang of `shape`.
pub(crate) fn is_near(a: &WorkerInfo, b: &WorkerInfo, shape: &Shape) -> bool {
    match shape.adjacency {
        Adjacency::Any => true,
        Adjacency::FailureDomain => a.failure_domain == b.failure_domain,
        Adjacency::Rack => a.failure_domain == b.failure_domain && a.rack == b.rack,
        Adjacency::Worker => a.name == b.name,
    }
}
