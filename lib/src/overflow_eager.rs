//! The overflow policy that favours response time: it forwards as soon as a sibling has free slots.

use std::time::Duration;

use crate::overflow::Overflow;
use crate::overflow::OverflowBatch;
use crate::overflow::OverflowDemand;
use crate::overflow::SiblingCapacity;
use crate::overflow_batch::BatchThresholds;
use crate::overflow_batch::plan_batches;

/// Forwards waiting tasks as soon as a sibling has a free slot, to the nearest sibling first.
///
/// A task is worth forwarding when its wait here would be longer than the round trip.
#[derive(Debug)]
pub struct EagerOverflow;

impl Overflow for EagerOverflow {
    fn split(
        &mut self,
        demand: &OverflowDemand,
        siblings: &[SiblingCapacity],
    ) -> Vec<OverflowBatch> {
        let mut nearest_first: Vec<&SiblingCapacity> = siblings.iter().collect();
        nearest_first.sort_by_key(|sibling| {
            (
                !sibling.same_data_centre,
                sibling.one_way_delay,
                u32::MAX - sibling.free_slots,
            )
        });
        let thresholds = BatchThresholds {
            min_tasks: 1,
            min_saved_wait: Duration::ZERO,
        };
        plan_batches(demand, &nearest_first, thresholds)
    }
}
