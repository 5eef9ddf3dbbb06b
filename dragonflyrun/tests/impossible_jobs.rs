//! Jobs that no set of workers can ever hold.

mod gang_world;

use dragonflyrun::job::ImpossibleReason;

use gang_world::{World, node::RoleTable, sleeping};

/// Time after which the entries know all workers.
const KNOWN: u64 = 12_000;

/// A user submits a job that no set of workers holds, at an entry that is not planner. Were it
/// accepted there, the user would wait for a job that never runs.
#[test]
fn refused_everywhere() {
    let mut world = World::new(1, 3, 4);
    world.run(KNOWN);
    assert_eq!(world.planners().len(), 1);
    let too_wide = sleeping(4_000, 1, 1_000);
    let too_large = sleeping(1, 4_000, 1_000);
    for entry in &world.nodes[..3] {
        let RoleTable::Entry(table) = &entry.table else {
            panic!("{} is not an entry", entry.name);
        };
        assert_eq!(table.check_possible(&sleeping(2, 1, 1_000)), Ok(()));
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
