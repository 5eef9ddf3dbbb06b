//! A backtracking search for room for several shapes at once, used when placing them one by one has
//! failed.

use crate::{
    job::{
        Shape,
        placement::{Candidate, Part, scope_of},
    },
    version::Adjacency,
};

/// Number of steps after which the search gives up, which takes some milliseconds. On a cluster of
/// today's size the search is exact unless the shapes are many and irregular; beyond that it is a
/// heuristic.
const MAX_SEARCH_STEPS: u32 = 50_000;

/// Maximum number of shapes for which the search is tried at all.
const MAX_SHAPES: usize = 64;

/// Finds room for all of `shapes` on `candidates`; returns the parts of each shape.
pub(super) fn pack(candidates: &[Candidate], shapes: &[Shape]) -> Option<Vec<Vec<Part>>> {
    if shapes.len() > MAX_SHAPES {
        return None;
    }
    let mut search = Search {
        candidates: candidates.to_vec(),
        shapes,
        steps: 0,
        chosen: vec![Vec::new(); shapes.len()],
    };
    search.place_shape(0).then_some(search.chosen)
}

struct Search<'a> {
    candidates: Vec<Candidate>,
    shapes: &'a [Shape],
    steps: u32,
    chosen: Vec<Vec<Part>>,
}

impl Search<'_> {
    fn place_shape(&mut self, shape_index: usize) -> bool {
        let Some(shape) = self.shapes.get(shape_index) else {
            return true;
        };
        let mut scopes: Vec<usize> = self
            .candidates
            .iter()
            .map(|s| scope_of(s, shape.adjacency))
            .collect();
        scopes.sort_unstable();
        scopes.dedup();
        scopes
            .into_iter()
            .any(|scope| self.place_tasks(shape_index, scope, 0, shape.tasks))
    }

    /// Places the last `left` tasks of shape `shape_index` on the candidates of `scope` from index
    /// `from` on. The tasks of a shape are interchangeable, so only one order of the candidates
    /// needs to be tried.
    fn place_tasks(&mut self, shape_index: usize, scope: usize, from: usize, left: u32) -> bool {
        let shape = self.shapes[shape_index];
        if left == 0 {
            return self.place_shape(shape_index + 1);
        }
        for index in from..self.candidates.len() {
            self.steps += 1;
            if self.steps > MAX_SEARCH_STEPS {
                return false;
            }
            let candidate = self.candidates[index];
            if scope_of(&candidate, shape.adjacency) != scope {
                continue;
            }
            let fit = left.min(candidate.available / shape.accelerators);
            let min_here = match shape.adjacency {
                Adjacency::Worker => left,
                _ => 1,
            };
            for tasks_here in (min_here..=fit).rev() {
                self.candidates[index].available -= tasks_here * shape.accelerators;
                self.chosen[shape_index].push(Part {
                    worker: candidate.worker,
                    tasks: tasks_here,
                });
                if self.place_tasks(shape_index, scope, index + 1, left - tasks_here) {
                    return true;
                }
                self.chosen[shape_index].pop();
                self.candidates[index].available += tasks_here * shape.accelerators;
            }
        }
        false
    }
}
