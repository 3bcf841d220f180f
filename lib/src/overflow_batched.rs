//! The overflow policy that saves messages: it forwards only large batches that save a long wait.

use std::time::Duration;

use crate::overflow::Overflow;
use crate::overflow::OverflowBatch;
use crate::overflow::OverflowDemand;
use crate::overflow::SiblingCapacity;
use crate::overflow_batch::BatchThresholds;
use crate::overflow_batch::plan_batches;

/// The minimum number of tasks in a batch; a batch costs two messages, whatever its size.
pub const MIN_BATCH_TASKS: u32 = 16;

/// The minimum wait that forwarding saves each task of a batch, beyond the round trip.
pub const MIN_SAVED_WAIT: Duration = Duration::from_millis(100);

/// Forwards only batches of at least [`MIN_BATCH_TASKS`] tasks that save [`MIN_SAVED_WAIT`] each.
///
/// Siblings are considered in order of their free slots, most first, so that the batches are large.
/// An entry instance that owns no slots sends batches of any size, as its tasks cannot start here.
#[derive(Debug)]
pub struct BatchedOverflow;

impl Overflow for BatchedOverflow {
    fn split(
        &mut self,
        demand: &OverflowDemand,
        siblings: &[SiblingCapacity],
    ) -> Vec<OverflowBatch> {
        let mut most_free_first: Vec<&SiblingCapacity> = siblings.iter().collect();
        most_free_first
            .sort_by_key(|sibling| (u32::MAX - sibling.free_slots, sibling.one_way_delay));
        let min_tasks = match demand.own_slots {
            0 => 1,
            _ => MIN_BATCH_TASKS,
        };
        let thresholds = BatchThresholds {
            min_tasks,
            min_saved_wait: MIN_SAVED_WAIT,
        };
        plan_batches(demand, &most_free_first, thresholds)
    }
}
