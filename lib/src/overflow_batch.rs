//! The batches of waiting tasks to forward to siblings, which are considered in a given order.

use std::time::Duration;

use crate::overflow::OverflowBatch;
use crate::overflow::OverflowDemand;
use crate::overflow::SiblingCapacity;

/// The minimum size and gain of a batch that is worth sending.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BatchThresholds {
    /// The minimum number of tasks in a batch.
    pub(crate) min_tasks: u32,
    /// The minimum wait that forwarding saves each task, round trip already subtracted.
    pub(crate) min_saved_wait: Duration,
}

/// Plans the batches that are worth sending, filling one sibling's free slots before the next.
///
/// A sibling gets no batch while its own tasks wait, or when its answers would arrive after the
/// deadline.
pub(crate) fn plan_batches(
    demand: &OverflowDemand,
    siblings: &[&SiblingCapacity],
    thresholds: BatchThresholds,
) -> Vec<OverflowBatch> {
    let mut forwarded = 0;
    let mut batches = Vec::new();
    for sibling in siblings {
        if sibling.queued_tasks > 0 || !demand.can_finish_at(sibling) {
            continue;
        }
        let min_wait = sibling.one_way_delay * 2 + thresholds.min_saved_wait;
        let worth_forwarding = demand.tasks_that_wait_longer_than(min_wait);
        let tasks = worth_forwarding
            .saturating_sub(forwarded)
            .min(sibling.free_slots);
        if tasks < thresholds.min_tasks {
            continue;
        }
        forwarded += tasks;
        batches.push(OverflowBatch {
            sibling: sibling.sibling,
            tasks,
        });
    }
    batches
}
