//! Overflow in batches that are worth their messages.

use std::time::Duration;

use crate::overflow::Overflow;
use crate::overflow::OverflowDemand;
use crate::overflow::OverflowShare;
use crate::overflow::SiblingCapacity;
use crate::overflow_batch::BatchBounds;
use crate::overflow_batch::batches;

/// The fewest tasks of a batch, over which its two messages are spread.
pub const MIN_BATCH_TASKS: u32 = 16;

/// The wait that forwarding must save each task of a batch.
pub const MIN_SAVED_WAIT: Duration = Duration::from_millis(100);

/// Forwards only batches whose two messages are few per task and that save a long wait.
///
/// The sibling with the most room goes first, so that the batches are large. An entry instance
/// without slots of its own forwards everything.
#[derive(Debug)]
pub struct BatchedOverflow;

impl Overflow for BatchedOverflow {
    fn split(
        &mut self,
        demand: &OverflowDemand,
        siblings: &[SiblingCapacity],
    ) -> Vec<OverflowShare> {
        let mut roomiest: Vec<&SiblingCapacity> = siblings.iter().collect();
        roomiest.sort_by_key(|sibling| (u32::MAX - sibling.free_slots, sibling.one_way));
        let fewest_tasks = match demand.own_slots {
            0 => 1,
            _ => MIN_BATCH_TASKS,
        };
        let bounds = BatchBounds {
            fewest_tasks,
            saved_wait: MIN_SAVED_WAIT,
        };
        batches(demand, &roomiest, bounds)
    }
}
