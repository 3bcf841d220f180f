//! The remaining tasks of queued jobs, by the size of the jobs.

use slotmap::SecondaryMap;

use crate::keys::JobKey;
use crate::size_class::SIZE_CLASSES;
use crate::size_class::SizeClass;

/// The remaining tasks of queued jobs, summed by size class.
#[derive(Debug, Default)]
pub(crate) struct RemainingTasks {
    remaining: SecondaryMap<JobKey, u32>,
    by_class: [u64; SIZE_CLASSES],
}

impl RemainingTasks {
    /// Adds a job, or sets the remaining tasks of one already added.
    pub(crate) fn set(&mut self, job: JobKey, remaining: u32) {
        self.remove(job);
        self.remaining.insert(job, remaining);
        *self.class_total(remaining) += u64::from(remaining);
    }

    /// Removes a job; ignores an unknown job.
    pub(crate) fn remove(&mut self, job: JobKey) {
        if let Some(remaining) = self.remaining.remove(job) {
            *self.class_total(remaining) -= u64::from(remaining);
        }
    }

    /// Whether the job was added and not removed.
    pub(crate) fn contains(&self, job: JobKey) -> bool {
        self.remaining.contains_key(job)
    }

    /// The sum of the remaining tasks of jobs of `class` and smaller ones.
    pub(crate) fn up_to(&self, class: SizeClass) -> u32 {
        let sum: u64 = self.by_class[..=class.index()].iter().sum();
        u32::try_from(sum).unwrap_or(u32::MAX)
    }

    fn class_total(&mut self, remaining: u32) -> &mut u64 {
        &mut self.by_class[SizeClass::of(u64::from(remaining)).index()]
    }
}
