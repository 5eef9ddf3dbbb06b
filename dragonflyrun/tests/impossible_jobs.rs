//! Refusal of jobs that no set of workers can hold.

mod gang_world;

use dragonflyrun::job::ImpossibleReason;

use gang_world::{World, node::RoleTable, sleep_job};

/// Simulated time in milliseconds by which all entries know all workers.
const WORKERS_KNOWN_MS: u64 = 12_000;

/// An impossible job is submitted at an entry that isn't the planner. Guards against accepting it
/// there, so that the user waits for a job that never runs.
#[test]
fn refused_everywhere() {
    let mut world = World::new(1, 3, 4);
    world.run(WORKERS_KNOWN_MS);
    assert_eq!(world.planners().len(), 1);
    let too_wide = sleep_job(4_000, 1, 1_000);
    let too_large = sleep_job(1, 4_000, 1_000);
    for entry in &world.nodes[..3] {
        let RoleTable::Entry(table) = &entry.table else {
            panic!("{} is not an entry", entry.name);
        };
        assert_eq!(table.check_possible(&sleep_job(2, 1, 1_000)), Ok(()));
        assert_eq!(
            table.check_possible(&too_wide),
            Err(ImpossibleReason::GangTooLarge)
        );
        assert_eq!(
            table.check_possible(&too_large),
            Err(ImpossibleReason::TaskTooLarge)
        );
    }
}
