//! Durations as whole milliseconds, for logs and the clocks of upstreams.

use std::time::Duration;

/// A duration in whole milliseconds, rounded down.
pub(crate) fn whole_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
