//! Classes of jobs by size.

use almondhead_macros::key;

/// How many size classes there are; the last one holds all larger jobs.
pub(crate) const SIZE_CLASSES: usize = 10;

/// Jobs whose remaining tasks lie between two powers of two.
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

    /// Its place among the classes, from zero.
    pub(crate) fn index(self) -> usize {
        self.0
    }
}
