//! A limit on the rate of log lines that outsiders can cause.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

/// The minimum time between two lines.
const MIN_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Permits one log line per [`MIN_LOG_INTERVAL`].
#[derive(Debug, Default)]
pub(crate) struct LogLimit {
    state: Mutex<LimitState>,
}

#[derive(Debug, Default)]
struct LimitState {
    logged_at: Option<Instant>,
    suppressed: u64,
}

impl LogLimit {
    /// Returns the number of lines suppressed since the last one; none when this one must be, too.
    pub(crate) fn permit(&self) -> Option<u64> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let is_early = |at: Instant| now.duration_since(at) < MIN_LOG_INTERVAL;
        if state.logged_at.is_some_and(is_early) {
            state.suppressed += 1;
            return None;
        }
        state.logged_at = Some(now);
        Some(std::mem::take(&mut state.suppressed))
    }
}
