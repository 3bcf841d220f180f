//! Classes of jobs by their number of remaining tasks.

use almondhead_macros::key;

/// The number of size classes; the last one contains all jobs of 512 remaining tasks and more.
pub(crate) const SIZE_CLASSES: usize = 10;

/// The class of jobs whose number of remaining tasks has the same binary logarithm, rounded down.
#[key]
#[derive(Default)]
pub(crate) struct SizeClass(usize);

impl SizeClass {
    /// The class of the largest jobs.
    pub(crate) const LAST: SizeClass = SizeClass(SIZE_CLASSES - 1);

    /// The class of a job with `remaining` tasks.
    pub(crate) fn of(remaining: u64) -> Self {
        let power = remaining.max(1).ilog2() as usize;
        SizeClass(power.min(SIZE_CLASSES - 1))
    }

    /// The index of the class, from zero for the smallest jobs.
    pub(crate) fn index(self) -> usize {
        self.0
    }
}
