//! A run that the new owner of an upstream found there while the home still has it placed at the
//! former owner.

use std::sync::Arc;
use std::time::Duration;

use super::owner_choice::OwnerRef;
use super::run_message::RunEnd;
use crate::time::Timestamp;

/// How long a found run is kept for the former owner to report the takeover.
///
/// The former owner learns of the new one from the answer to its next order or from the new owner's
/// message, within 200 ms.
const FOUND_RUN_RETENTION: Duration = Duration::from_millis(400);

/// A run that another owner reported before the run's own owner reported the takeover.
#[derive(Debug)]
pub(crate) struct FoundRun {
    /// The owner that found it.
    pub(crate) owner: OwnerRef,
    pub(crate) upstream: Arc<str>,
    pub(crate) found_at: Timestamp,
    /// How it ended; none if it goes on.
    pub(crate) end: Option<RunEnd>,
}

impl FoundRun {
    /// Whether its former owner may still report the takeover.
    pub(crate) fn is_recent(&self, now: Timestamp) -> bool {
        now.since(self.found_at) < FOUND_RUN_RETENTION
    }
}
