//! The size of a service's tasks, by which free capacity and what is kept of it are counted.

/// The unit in which free capacity is counted for usual tasks, in thousandths of a core: their demand.
///
/// The mean demand of the tasks seen, in place of this constant, served fewer jobs in time.
const USUAL_MILLICORES: u32 = 8_000;

/// The mean demand, in thousandths of a core, up to which tasks count as small: half of a usual task's, so
/// that two fit into each unit.
const MAX_SMALL_MILLICORES: f64 = 4_000.0;

/// The number of recent tasks from which on their mean demand counts; a few tasks may be untypical.
const MIN_TASKS: f64 = 16.0;

/// The unit in which free capacity is counted for small tasks, in thousandths of a core: they fit into nearly
/// any fragment.
const SMALL_UNIT_MILLICORES: u32 = 1_000;

/// The capacity kept for usual tasks of one priority, in percent of their average demand: arrivals of jobs of
/// many tasks are uneven. Later priorities may use fragments that are too small for a usual task.
const USUAL_RESERVE_PERCENT: u64 = 150;

/// The same for small tasks, which leave few such fragments: a larger reserve delays later priorities more.
const SMALL_RESERVE_PERCENT: u64 = 110;

/// Whether the tasks of a service are small.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum TaskSize {
    Small,
    /// They are not, or too few are known.
    #[default]
    Usual,
}

impl TaskSize {
    /// The size of this number of recent tasks with this sum of demands, in thousandths of a core.
    pub(crate) fn of_recent(tasks: f64, sum_millicores: f64) -> Self {
        match tasks >= MIN_TASKS && sum_millicores <= tasks * MAX_SMALL_MILLICORES {
            true => TaskSize::Small,
            false => TaskSize::Usual,
        }
    }

    /// The part of an upstream's free processor capacity that counts as free: whole multiples of the unit.
    pub(crate) fn countable(self, free_millicores: u32) -> u32 {
        let unit = match self {
            TaskSize::Small => SMALL_UNIT_MILLICORES,
            TaskSize::Usual => USUAL_MILLICORES,
        };
        free_millicores / unit * unit
    }

    /// The capacity kept for tasks of one priority, in percent of their average demand.
    pub(crate) fn reserve_percent(self) -> u64 {
        match self {
            TaskSize::Small => SMALL_RESERVE_PERCENT,
            TaskSize::Usual => USUAL_RESERVE_PERCENT,
        }
    }
}
