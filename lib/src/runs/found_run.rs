//! A run that another owner found on an upstream before its own owner gave it up.

use std::sync::Arc;
use std::time::Duration;

use super::owner_choice::OwnerRef;
use super::run_message::RunEnd;
use crate::time::Timestamp;

/// How long such a run is remembered: its owner hears of its successor with its next order or with
/// the successor's message, within 200 ms.
const REMEMBERED: Duration = Duration::from_millis(400);

/// What another owner found.
#[derive(Debug)]
pub(crate) struct FoundRun {
    pub(crate) owner: OwnerRef,
    pub(crate) upstream: Arc<str>,
    pub(crate) found_at: Timestamp,
    /// How it ended; none when it goes on.
    pub(crate) end: Option<RunEnd>,
}

impl FoundRun {
    /// Whether its own owner may still give it up for the finder.
    pub(crate) fn is_recent(&self, now: Timestamp) -> bool {
        now.since(self.found_at) < REMEMBERED
    }
}
