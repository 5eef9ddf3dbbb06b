//! Which agents own keys, as the planner puts it on the log.

mod gang_world;

use gang_world::{Fault, World};

const AGENTS: usize = 4;

/// Time after which the first owners are on the log.
const RING_READY_MS: u64 = 12_000;

fn owners(world: &World) -> usize {
    world.nodes[0].ledger.membership.ring().len()
}

/// A worker does not answer for a minute, while the agent beside it is well. Were the agent taken
/// off the owners of keys for that, callers who repeat a booking would be told for ten minutes that its
/// outcome is unknown; and a deployment without workers would have no owners at all.
#[test]
fn worker_silent() {
    let mut world = World::new(1, 3, AGENTS);
    world.run(RING_READY_MS);
    assert_eq!(owners(&world), AGENTS);
    world.inject(RING_READY_MS + 1_000, 60_000, Fault::FreezeWorker(0));
    while world.now < RING_READY_MS + 50_000 {
        world.run(world.now + 1_000);
        assert_eq!(owners(&world), AGENTS, "at {} ms", world.now);
    }
}

/// An agent's host is lost. Its keys go to the others after some seconds, or bookings with those
/// keys could not be made any more.
#[test]
fn host_lost() {
    let mut world = World::new(2, 3, AGENTS);
    world.run(RING_READY_MS);
    let agent = 3 + 1;
    world.inject(RING_READY_MS + 1_000, 60_000, Fault::Kill(agent));
    world.run(RING_READY_MS + 30_000);
    assert_eq!(owners(&world), AGENTS - 1);
}
