//! The wall clock.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Returns the time since the Unix epoch in milliseconds, or 0 if the clock is set before it.
pub fn unix_time_ms() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
