//! The admission policy that refuses jobs which exceed the maximum queue length.

use std::time::Duration;

use crate::admission::Admission;
use crate::admission::AdmissionLoad;
use crate::admission::Refusal;
use crate::outcome::NotRunReason;
use crate::retry_after::retry_after;

/// The retry time while the service has no usable slots.
const NO_SLOT_WAIT: Duration = Duration::from_secs(1);

/// Refuses a job when its tasks would exceed the maximum queue length, or when there are no slots.
///
/// A job larger than the maximum is admitted while nothing is queued; otherwise it would never be.
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
