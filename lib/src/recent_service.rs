//! The run time recently spent on tasks, by the size of their jobs.

use crate::size_class::SIZE_CLASSES;
use crate::size_class::SizeClass;

/// An exponentially decaying sum of run time, in microseconds, by size class.
///
/// Each element of `up_to_us` covers the jobs of its class and all smaller ones.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RecentService {
    up_to_us: [f64; SIZE_CLASSES],
}

impl RecentService {
    /// Adds run time of a job of `class`.
    pub(crate) fn add(&mut self, class: SizeClass, served_us: f64) {
        for up_to_us in &mut self.up_to_us[class.index()..] {
            *up_to_us += served_us;
        }
    }

    /// The recent run time of jobs of `class` and smaller ones, in microseconds.
    pub(crate) fn up_to_us(&self, class: SizeClass) -> f64 {
        self.up_to_us[class.index()]
    }

    /// Multiplies all sums by `factor`.
    pub(crate) fn decay(&mut self, factor: f64) {
        for up_to_us in &mut self.up_to_us {
            *up_to_us *= factor;
        }
    }
}
