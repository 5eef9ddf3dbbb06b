//! An exhaustive search for an allotment of guarantees, as a reference for the scheduler.

use dragonflyrun::{
    Shape,
    job::WorkerInfo,
    version::Adjacency, //
};

/// Number of task placements tried before the search gives up.
const MAX_PLACEMENTS: u32 = 200_000;

/// A worker and the number of its accelerators that are still free.
#[derive(Clone, Debug)]
pub(crate) struct FreeWorker {
    pub(crate) worker: WorkerInfo,
    pub(crate) free: u32,
}

/// Returns whether all of `shapes` fit on `free_workers` together, or `None` if the search exceeds
/// [`MAX_PLACEMENTS`].
pub(crate) fn all_fit(free_workers: &mut [FreeWorker], shapes: &[Shape]) -> Option<bool> {
    let mut tried = 0;
    place(
        free_workers,
        shapes,
        shapes.first().map_or(0, |s| s.tasks),
        None,
        &mut tried,
    )
}

/// Places the remaining `tasks` of the first shape one at a time, then the other shapes. `first` is
/// the worker of the shape's first task.
fn place(
    free_workers: &mut [FreeWorker],
    shapes: &[Shape],
    tasks: u32,
    first: Option<usize>,
    tried: &mut u32,
) -> Option<bool> {
    let Some((shape, others)) = shapes.split_first() else {
        return Some(true);
    };
    if tasks == 0 {
        let next = others.first().map_or(0, |s| s.tasks);
        return place(free_workers, others, next, None, tried);
    }
    for i in 0..free_workers.len() {
        *tried += 1;
        if *tried > MAX_PLACEMENTS {
            return None;
        }
        let adjacent = first
            .is_none_or(|f| is_adjacent(&free_workers[f].worker, &free_workers[i].worker, shape));
        if !adjacent || free_workers[i].free < shape.accelerators {
            continue;
        }
        free_workers[i].free -= shape.accelerators;
        let fits = place(free_workers, shapes, tasks - 1, first.or(Some(i)), tried);
        free_workers[i].free += shape.accelerators;
        if fits != Some(false) {
            return fits;
        }
    }
    Some(false)
}

/// Returns whether the adjacency of `shape` allows tasks of one gang on both workers.
pub(crate) fn is_adjacent(a: &WorkerInfo, b: &WorkerInfo, shape: &Shape) -> bool {
    match shape.adjacency {
        Adjacency::Any => true,
        Adjacency::FailureDomain => a.failure_domain == b.failure_domain,
        Adjacency::Rack => a.failure_domain == b.failure_domain && a.rack == b.rack,
        Adjacency::Worker => a.name == b.name,
    }
}
