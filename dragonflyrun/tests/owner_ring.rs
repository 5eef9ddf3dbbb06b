//! The ring of agents that own keys, which the planner records on the log.

mod gang_world;

use gang_world::{Fault, World};

const AGENTS: usize = 4;

/// Simulated time in milliseconds by which the first ring is on the log.
const RING_READY_MS: u64 = 12_000;

fn owners(world: &World) -> usize {
    world.nodes[0].ledger.membership.ring().len()
}

/// A worker doesn't answer for a minute while its agent is healthy. Guards against removing the
/// agent from the ring: callers who repeat a booking would get an unknown outcome for ten minutes,
/// and a deployment without workers would have no owners at all.
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

/// The host of an agent is lost. Guards against keys that stay with the agent: bookings with these
/// keys would fail from then on. Other agents own them after some seconds.
#[test]
fn host_lost() {
    let mut world = World::new(2, 3, AGENTS);
    world.run(RING_READY_MS);
    let agent = 3 + 1;
    world.inject(RING_READY_MS + 1_000, 60_000, Fault::Kill(agent));
    world.run(RING_READY_MS + 30_000);
    assert_eq!(owners(&world), AGENTS - 1);
}
