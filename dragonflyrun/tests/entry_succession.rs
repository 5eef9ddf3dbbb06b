//! The order in which entries succeed a planner, by the room of their hosts.

use std::time::Duration;

use dragonflyrun::{
    Timestamp,
    utils::Name,
    workload::{Candidate, Election, EntryRecord, EntryTable, HostRoom, Term, TermStep},
};

const LARGE: HostRoom = HostRoom {
    cpu_millis: 1_000,
    link_bytes_per_s: 125_000_000,
};

const SMALL: HostRoom = HostRoom {
    cpu_millis: 120,
    link_bytes_per_s: 2_500_000,
};

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn record(i: usize, room: HostRoom) -> EntryRecord {
    EntryRecord {
        name: format!("front-{i}").into(),
        room,
    }
}

/// Returns a table of entries of which one in four is on a large host.
fn table(entries: usize) -> EntryTable {
    let mut table = EntryTable::default();
    for i in 0..entries {
        let room = if i % 4 == 0 { LARGE } else { SMALL };
        table.announced(at(0), &record(i, room));
    }
    table
}

fn names(entries: usize) -> impl Iterator<Item = Name> {
    (0..entries).map(|i| record(i, SMALL).name)
}

/// Guards against reads of the planner's heartbeats that grow with the entries: a few of them watch,
/// however many there are, and not the same ones in each term.
#[test]
fn few_stand_by() {
    for entries in [50, 183, 400] {
        let mut table = table(entries);
        let mut standbys = |term: u64| -> Vec<Name> {
            let names = names(entries);
            names.filter(|name| table.stands_by(name, term)).collect()
        };
        let first = standbys(1);
        assert_eq!(first.len(), 9, "of {entries}");
        assert_ne!(first, standbys(2));
    }
}

/// Guards against a planner on a small host while large ones are there, and against no planner where
/// there are none.
#[test]
fn room_first() {
    let mut table = table(40);
    for (i, name) in names(40).enumerate() {
        let rank = table.rank(&name, 7).expect("a known entry");
        assert_eq!(rank < 10, i % 4 == 0, "{name} has rank {rank}");
    }
    for i in (0..40).step_by(4) {
        table.remove(&record(i, LARGE).name);
    }
    let ranks = names(40).filter_map(|name| table.rank(&name, 7));
    assert_eq!(ranks.min(), Some(0));
}

/// Guards against a term that goes to and fro: it is left only to a larger host that has just shown
/// that it is alive, and never by a planner that has room.
#[test]
fn yields_to_room() {
    let table = table(8);
    let (large, small) = (record(0, LARGE), record(1, SMALL));
    assert!(table.should_yield(SMALL, &large));
    assert!(!table.should_yield(SMALL, &small));
    assert!(!table.should_yield(LARGE, &large));
}

/// Guards against hosts that were removed and hold their ranks for good.
#[test]
fn gone_entries_forgotten() {
    let mut table = table(8);
    table.announced(at(100_000), &record(3, SMALL));
    let gone = table.remove_expired(at(160_000));
    assert_eq!((gone.len(), table.len()), (7, 1));
    assert_eq!(table.rank(&record(3, SMALL).name, 1), Some(0));
}

/// Guards against claims of many candidates at once, which queue on the partition that the planner
/// writes to, and against a fleet without a planner when all that stand by are lost.
#[test]
fn claims_in_turn() {
    for entries in [50, 183, 400] {
        let mut table = table(entries);
        let claims_at: Vec<u64> = names(entries)
            .map(|name| {
                let mut election = Election::new(name.clone(), 17, at(0));
                let known = Term {
                    number: 1 << 20,
                    entry: "gone".into(),
                    ..Term::default()
                };
                election.saw_heartbeat(at(0), &known);
                let candidate = Candidate {
                    store_delay: Duration::ZERO,
                    has_fresh_configuration: true,
                    rank: table.rank(&name, known.number),
                };
                let claims = |ms: &u64| election.step(at(*ms), candidate) != TermStep::Wait;
                (0..10_000).step_by(10).find(claims).expect("a claim")
            })
            .collect();
        let first = *claims_at.iter().min().expect("an entry");
        assert!(first <= 800, "{first} ms without a planner");
        let early = claims_at.iter().filter(|ms| **ms < first + 100);
        assert!(early.count() <= 2, "of {entries}");
        let last = *claims_at.iter().max().expect("an entry");
        assert!(last <= 2_400, "{last} ms if only one entry is left");
    }
}
