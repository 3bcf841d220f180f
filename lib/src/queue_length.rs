//! Refusal when the queue holds its bound of tasks.

use std::time::Duration;

use crate::admission::Admission;
use crate::admission::AdmissionLoad;
use crate::admission::Refusal;
use crate::outcome::NotRunReason;

/// Refuses a job only when its tasks do not fit into the queue's bound.
#[derive(Debug)]
pub struct QueueLength;

impl Admission for QueueLength {
    fn admit(&self, load: &AdmissionLoad) -> Result<(), Refusal> {
        if load.queued_tasks.saturating_add(load.tasks) > load.max_queued_tasks {
            return Err(Refusal {
                reason: NotRunReason::QueueFull,
                retry_after: Duration::from_secs(1),
            });
        }
        Ok(())
    }
}
