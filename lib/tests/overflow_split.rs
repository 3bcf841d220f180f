//! How overflow policies split waiting tasks among siblings.

use std::time::Duration;

use almondhead_lib::keys::SiblingKey;
use almondhead_lib::overflow::OverflowDemand;
use almondhead_lib::overflow::SiblingCapacity;
use almondhead_lib::overflow::overflow_for;
use almondhead_lib::policies::Prefer;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use slotmap::SlotMap;

fn demand(waiting_tasks: u32) -> OverflowDemand {
    OverflowDemand {
        waiting_tasks,
        own_slots: 56,
        own_free_slots: 0,
        queued_tasks: waiting_tasks,
        run_estimate: Duration::from_millis(300),
        time_left: Duration::from_secs(5),
    }
}

/// Siblings with the given free slots and one-way delays in milliseconds.
fn siblings(capacities: &[(u32, u64)]) -> Vec<SiblingCapacity> {
    let mut keys: SlotMap<SiblingKey, ()> = SlotMap::with_key();
    capacities
        .iter()
        .map(|(free_slots, one_way_ms)| SiblingCapacity {
            sibling: keys.insert(()),
            free_slots: *free_slots,
            queued_tasks: 0,
            slots: 56,
            one_way_delay: Duration::from_millis(*one_way_ms),
            same_data_centre: *one_way_ms == 0,
        })
        .collect()
}

/// How many tasks each sibling gets.
fn split(prefer: Prefer, demand: &OverflowDemand, siblings: &[SiblingCapacity]) -> Vec<u32> {
    let batches = overflow_for(prefer).split(demand, siblings);
    siblings
        .iter()
        .map(|sibling| {
            batches
                .iter()
                .filter(|batch| batch.sibling == sibling.sibling)
                .map(|batch| batch.tasks)
                .sum()
        })
        .collect()
}

#[test]
fn tasks_go_where_there_is_capacity() {
    let capacities = siblings(&[(10, 1), (5, 0), (40, 2)]);
    let no_slots = OverflowDemand {
        own_slots: 0,
        ..demand(7)
    };
    let free = OverflowDemand {
        own_free_slots: 30,
        ..demand(20)
    };
    let late = OverflowDemand {
        time_left: Duration::from_millis(301),
        ..demand(100)
    };
    // A task starts here every 5.4 ms (300 ms / 56 slots): tasks that wait no longer than the round
    // trip are not forwarded.
    let cases = [
        ("few wait", Prefer::ResponseTime, demand(4), [0, 4, 0]),
        ("many wait", Prefer::ResponseTime, demand(30), [10, 5, 15]),
        (
            "more wait than fit",
            Prefer::ResponseTime,
            demand(480),
            [10, 5, 40],
        ),
        ("own slots are free", Prefer::ResponseTime, free, [0, 0, 0]),
        (
            "only the nearest can finish",
            Prefer::ResponseTime,
            late,
            [0, 5, 0],
        ),
        ("no slots", Prefer::ResponseTime, no_slots, [2, 5, 0]),
        (
            "small batches",
            Prefer::FewerMessages,
            demand(30),
            [0, 0, 0],
        ),
        (
            "large batches",
            Prefer::FewerMessages,
            demand(60),
            [0, 0, 40],
        ),
        ("no slots", Prefer::FewerMessages, no_slots, [0, 0, 7]),
    ];
    for (name, prefer, demand, expected) in cases {
        assert_eq!(
            split(prefer, &demand, &capacities),
            expected,
            "{name} {prefer:?}"
        );
    }
}

#[test]
fn siblings_with_queued_tasks_get_nothing() {
    let mut capacities = siblings(&[(50, 1)]);
    capacities[0].queued_tasks = 1;
    for prefer in [Prefer::ResponseTime, Prefer::FewerMessages] {
        assert_eq!(split(prefer, &demand(480), &capacities), [0]);
    }
}

#[test]
fn batches_never_exceed_demand_or_capacity() {
    let mut rng = StdRng::seed_from_u64(5);
    for _ in 0..2_000 {
        let capacities: Vec<(u32, u64)> = (0..rng.random_range(0..8))
            .map(|_| (rng.random_range(0..60), rng.random_range(0..4)))
            .collect();
        let capacities = siblings(&capacities);
        let queued_tasks = rng.random_range(0..500);
        let demand = OverflowDemand {
            waiting_tasks: rng.random_range(0..=queued_tasks),
            own_slots: rng.random_range(0..64),
            own_free_slots: rng.random_range(0..10),
            queued_tasks,
            run_estimate: Duration::from_millis(rng.random_range(0..1_000)),
            time_left: Duration::from_millis(rng.random_range(0..3_000)),
        };
        for prefer in [Prefer::ResponseTime, Prefer::FewerMessages] {
            let tasks = split(prefer, &demand, &capacities);
            assert!(
                tasks.iter().sum::<u32>() <= demand.waiting_tasks,
                "{demand:?}"
            );
            for (tasks, capacity) in tasks.iter().zip(&capacities) {
                assert!(*tasks <= capacity.free_slots, "{demand:?} {capacity:?}");
            }
        }
    }
}
