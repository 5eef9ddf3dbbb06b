//! A search for room for several shapes at once, for when taking them one by one has failed.

use crate::{
    job::{
        Shape,
        placement::{Part, Seat, scope_of},
    },
    version::Adjacency,
};

/// Steps after which the search gives up, some milliseconds' worth. It is exact on a cluster of
/// today's size unless the shapes are many and odd; beyond that it is one more heuristic.
const MOST_STEPS: u32 = 50_000;

/// Shapes up to which the search is tried at all.
const MOST_SHAPES: usize = 64;

/// Finds room for all of `shapes` on `seats`, or nothing.
pub(super) fn pack(seats: &[Seat], shapes: &[Shape]) -> Option<Vec<Vec<Part>>> {
    if shapes.len() > MOST_SHAPES {
        return None;
    }
    let mut search = Search {
        seats: seats.to_vec(),
        shapes,
        steps: 0,
        chosen: vec![Vec::new(); shapes.len()],
    };
    search.place_shape(0).then_some(search.chosen)
}

struct Search<'a> {
    seats: Vec<Seat>,
    shapes: &'a [Shape],
    steps: u32,
    chosen: Vec<Vec<Part>>,
}

impl Search<'_> {
    fn place_shape(&mut self, at: usize) -> bool {
        let Some(shape) = self.shapes.get(at) else {
            return true;
        };
        let mut scopes: Vec<usize> = self
            .seats
            .iter()
            .map(|s| scope_of(s, shape.adjacency))
            .collect();
        scopes.sort_unstable();
        scopes.dedup();
        scopes
            .into_iter()
            .any(|scope| self.place_tasks(at, scope, 0, shape.tasks))
    }

    /// Places the last `left` tasks of the shape on seats of `scope` from number `from` on; the
    /// tasks of a shape are alike, so their seats need only be tried in one order.
    fn place_tasks(&mut self, at: usize, scope: usize, from: usize, left: u32) -> bool {
        let shape = self.shapes[at];
        if left == 0 {
            return self.place_shape(at + 1);
        }
        for i in from..self.seats.len() {
            self.steps += 1;
            if self.steps > MOST_STEPS {
                return false;
            }
            let seat = self.seats[i];
            if scope_of(&seat, shape.adjacency) != scope {
                continue;
            }
            let fit = left.min(seat.value / shape.accelerators);
            let least = match shape.adjacency {
                Adjacency::Worker => left,
                _ => 1,
            };
            for here in (least..=fit).rev() {
                self.seats[i].value -= here * shape.accelerators;
                self.chosen[at].push(Part {
                    worker: seat.worker,
                    tasks: here,
                });
                if self.place_tasks(at, scope, i + 1, left - here) {
                    return true;
                }
                self.chosen[at].pop();
                self.seats[i].value += here * shape.accelerators;
            }
        }
        false
    }
}
