//! What was served of late, by the size of the jobs.

use crate::size_class::SIZE_CLASSES;
use crate::size_class::SizeClass;

/// The run time that jobs were served of late, in microseconds; it fades with time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RecentService {
    up_to_us: [f64; SIZE_CLASSES],
}

impl RecentService {
    /// Counts service to a job of `class`.
    pub(crate) fn add(&mut self, class: SizeClass, served_us: f64) {
        for up_to_us in &mut self.up_to_us[class.index()..] {
            *up_to_us += served_us;
        }
    }

    /// The service to jobs of `class` and smaller ones.
    pub(crate) fn up_to_us(&self, class: SizeClass) -> f64 {
        self.up_to_us[class.index()]
    }

    /// Lets the memory fade.
    pub(crate) fn decay(&mut self, factor: f64) {
        for up_to_us in &mut self.up_to_us {
            *up_to_us *= factor;
        }
    }
}
