//! Overflow as soon as a sibling has room.

use std::time::Duration;

use crate::overflow::Overflow;
use crate::overflow::OverflowDemand;
use crate::overflow::OverflowShare;
use crate::overflow::SiblingCapacity;
use crate::overflow_batch::BatchBounds;
use crate::overflow_batch::batches;

/// Forwards waiting tasks as soon as a sibling has a free slot, nearest first.
///
/// A task is worth forwarding when its wait here would be longer than the way there and back.
#[derive(Debug)]
pub struct EagerOverflow;

impl Overflow for EagerOverflow {
    fn split(
        &mut self,
        demand: &OverflowDemand,
        siblings: &[SiblingCapacity],
    ) -> Vec<OverflowShare> {
        let mut nearest: Vec<&SiblingCapacity> = siblings.iter().collect();
        nearest.sort_by_key(|sibling| {
            (
                !sibling.same_data_centre,
                sibling.one_way,
                u32::MAX - sibling.free_slots,
            )
        });
        let bounds = BatchBounds {
            fewest_tasks: 1,
            saved_wait: Duration::ZERO,
        };
        batches(demand, &nearest, bounds)
    }
}
