//! The capacity that is free for tasks of earlier priorities.

use super::task_size::TaskSize;
use crate::runs::resources::Resources;

/// Capacity that is free for tasks of a service, and how much of it is kept for earlier priorities.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FreeForTasks {
    size: TaskSize,
    free_millicores: u32,
    reserved_millicores: u32,
}

impl FreeForTasks {
    pub(crate) fn new(
        size: TaskSize,
        free: impl Iterator<Item = Resources>,
        reserved_millicores: u32,
    ) -> Self {
        let free = free.map(|free| size.countable(free.cpu_millicores));
        FreeForTasks {
            size,
            free_millicores: free.fold(0, u32::saturating_add),
            reserved_millicores,
        }
    }

    /// Whether a task can take its demand of an upstream's free capacity: it uses a hole that does not
    /// count as free, or leaves enough elsewhere.
    pub(crate) fn allows(&self, free: Resources, demand: Resources) -> bool {
        let left = self.size.countable(free.minus(demand).cpu_millicores);
        let taken = self
            .size
            .countable(free.cpu_millicores)
            .saturating_sub(left);
        taken == 0 || self.free_millicores >= self.reserved_millicores.saturating_add(taken)
    }
}
