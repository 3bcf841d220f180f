//! Durations in logs.

use std::time::Duration;

/// A duration in whole milliseconds.
pub(crate) fn whole_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
