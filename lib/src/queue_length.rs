//! Refusal when the queue holds its bound of tasks.

use std::time::Duration;

use crate::admission::Admission;
use crate::admission::AdmissionLoad;
use crate::admission::Refusal;
use crate::outcome::NotRunReason;
use crate::retry_after::retry_after;

/// When to try again while no upstream takes work.
const NO_SLOT_WAIT: Duration = Duration::from_secs(1);

/// Refuses a job only when its tasks do not fit into the queue's bound.
///
/// A job larger than the bound is taken when nothing is queued, so that it is not refused for ever.
#[derive(Debug)]
pub struct QueueLength;

impl Admission for QueueLength {
    fn admit(&self, load: &AdmissionLoad) -> Result<(), Refusal> {
        if load.slots == 0 {
            return Err(Refusal {
                reason: NotRunReason::NotTaken,
                retry_after: retry_after(NO_SLOT_WAIT, load.jitter_seed),
            });
        }
        let queued = load.queued_tasks.saturating_add(load.tasks);
        if queued <= load.max_queued_tasks || load.queued_tasks == 0 {
            return Ok(());
        }
        let excess = (queued - load.max_queued_tasks).min(load.queued_tasks);
        let capacity_in = load.run_estimate.mean * excess / load.slots;
        Err(Refusal {
            reason: NotRunReason::QueueFull,
            retry_after: retry_after(capacity_in, load.jitter_seed),
        })
    }
}
