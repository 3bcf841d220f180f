//! Attempts in flight.

use crate::keys::JobKey;
use crate::keys::ServiceKey;
use crate::keys::UpstreamKey;
use crate::time::Timestamp;

/// An attempt that was started and has not ended; its job may end before it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunningAttempt {
    pub(crate) job: JobKey,
    /// The index of the task in the job.
    pub(crate) index: u32,
    pub(crate) service: ServiceKey,
    pub(crate) upstream: UpstreamKey,
    pub(crate) started_at: Timestamp,
}
