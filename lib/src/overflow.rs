//! The overflow policy: how many waiting tasks are forwarded to which sibling.

use std::fmt::Debug;
use std::time::Duration;

use almondhead_macros::value;

use crate::keys::SiblingKey;
use crate::overflow_batched::BatchedOverflow;
use crate::overflow_eager::EagerOverflow;
use crate::policies::Prefer;

/// The tasks of one service that wait at this entry instance, and the slots that it owns.
#[value]
#[derive(Copy)]
pub struct OverflowDemand {
    /// The waiting tasks that may be forwarded.
    pub waiting_tasks: u32,
    /// The slots that this entry instance owns.
    pub own_slots: u32,
    /// How many of the owned slots are free.
    pub own_free_slots: u32,
    /// All tasks that wait here for a slot, including `waiting_tasks`.
    pub queued_tasks: u32,
    /// The estimated run time of one task.
    pub run_estimate: Duration,
    /// An upper bound on the time until the deadlines of the waiting tasks.
    pub time_left: Duration,
}

impl OverflowDemand {
    /// How many of the waiting tasks would wait here longer than `wait`.
    ///
    /// Assumes that slots become free at a constant rate, and that tasks which may not be forwarded
    /// start before the others.
    pub(crate) fn tasks_that_wait_longer_than(&self, wait: Duration) -> u32 {
        if self.own_slots == 0 {
            return self.waiting_tasks;
        }
        let run_us = self.run_estimate.as_micros().max(1);
        let started_meanwhile = wait.as_micros() * u128::from(self.own_slots) / run_us;
        let started_meanwhile = u32::try_from(started_meanwhile).unwrap_or(u32::MAX);
        let started = started_meanwhile.saturating_add(self.own_free_slots);
        self.queued_tasks
            .saturating_sub(started)
            .min(self.waiting_tasks)
    }

    /// Whether the answer of a task that starts at `sibling` on arrival can be back in time.
    pub(crate) fn can_finish_at(&self, sibling: &SiblingCapacity) -> bool {
        sibling.one_way_delay * 2 + self.run_estimate <= self.time_left
    }
}

/// The last reported capacity of a sibling entry instance for one service.
#[value]
#[derive(Copy)]
pub struct SiblingCapacity {
    /// The sibling.
    pub sibling: SiblingKey,
    /// Its free slots, minus the tasks forwarded to it since it reported them.
    pub free_slots: u32,
    /// The tasks that wait there for a slot.
    pub queued_tasks: u32,
    /// The slots that it owns.
    pub slots: u32,
    /// The one-way network time to it.
    pub one_way_delay: Duration,
    /// Whether it is in this data centre.
    pub same_data_centre: bool,
}

/// A number of tasks to forward to one sibling.
#[value]
#[derive(Copy)]
pub struct OverflowBatch {
    /// The sibling that receives the tasks.
    pub sibling: SiblingKey,
    /// How many tasks; never zero.
    pub tasks: u32,
}

/// Decides how waiting tasks are split among siblings.
pub trait Overflow: Send + Debug {
    /// The batches to forward; in total at most the waiting tasks that exceed the own free slots.
    fn split(
        &mut self,
        demand: &OverflowDemand,
        siblings: &[SiblingCapacity],
    ) -> Vec<OverflowBatch>;
}

/// The overflow policy for the document's `prefer` setting.
pub fn overflow_for(prefer: Prefer) -> Box<dyn Overflow> {
    match prefer {
        Prefer::ResponseTime => Box::new(EagerOverflow),
        Prefer::FewerMessages => Box::new(BatchedOverflow),
    }
}
