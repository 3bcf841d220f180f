//! Batches of overflow to siblings in a given order.

use std::time::Duration;

use crate::overflow::OverflowDemand;
use crate::overflow::OverflowShare;
use crate::overflow::SiblingCapacity;

/// What makes a batch worth sending.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BatchBounds {
    /// The fewest tasks in it.
    pub(crate) fewest_tasks: u32,
    /// The wait that each task must be spared, beyond the way there and back.
    pub(crate) saved_wait: Duration,
}

/// The batches that are worth sending, each filling a sibling's free slots before the next.
///
/// A sibling whose own tasks wait gets none, nor one whose answers would come past the deadline.
pub(crate) fn batches(
    demand: &OverflowDemand,
    siblings: &[&SiblingCapacity],
    bounds: BatchBounds,
) -> Vec<OverflowShare> {
    let mut forwarded = 0;
    let mut shares = Vec::new();
    for sibling in siblings {
        if sibling.queued_tasks > 0 || !demand.can_finish_at(sibling) {
            continue;
        }
        let least_wait = sibling.one_way * 2 + bounds.saved_wait;
        let gaining = demand.tasks_that_wait_longer_than(least_wait);
        let tasks = gaining.saturating_sub(forwarded).min(sibling.free_slots);
        if tasks < bounds.fewest_tasks {
            continue;
        }
        forwarded += tasks;
        shares.push(OverflowShare {
            sibling: sibling.sibling,
            tasks,
        });
    }
    shares
}
