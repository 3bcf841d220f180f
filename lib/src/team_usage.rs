//! What a team was served of late, by the size of the jobs.

use almondhead_macros::key;

/// How many size classes there are; the last one holds all larger jobs.
const SIZE_CLASSES: usize = 10;

/// Jobs whose remaining tasks lie between two powers of two.
#[key]
#[derive(Default)]
pub(crate) struct SizeClass(usize);

impl SizeClass {
    /// The class of a job with `remaining` tasks.
    pub(crate) fn of(remaining: u64) -> Self {
        let power = remaining.max(1).ilog2() as usize;
        SizeClass(power.min(SIZE_CLASSES - 1))
    }
}

/// The run time that a team was served of late, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TeamUsage {
    up_to_us: [f64; SIZE_CLASSES],
}

impl TeamUsage {
    /// Counts service to a job of `class`.
    pub(crate) fn add(&mut self, class: SizeClass, served_us: f64) {
        for up_to_us in &mut self.up_to_us[class.0..] {
            *up_to_us += served_us;
        }
    }

    /// The service to jobs of `class` and smaller ones.
    pub(crate) fn up_to_us(&self, class: SizeClass) -> f64 {
        self.up_to_us[class.0]
    }

    /// Lets the memory fade.
    pub(crate) fn decay(&mut self, factor: f64) {
        for up_to_us in &mut self.up_to_us {
            *up_to_us *= factor;
        }
    }
}
