//! The monotonic clock of the process.

use std::time::Duration;
use std::time::Instant;

use almondhead_lib::time::Timestamp;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// A clock that counts from its creation, also while the process is frozen or its machine is
/// suspended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    started_at_us: u64,
}

impl Clock {
    /// Creates a clock that starts at zero now.
    pub(crate) fn start() -> Self {
        Clock {
            started_at_us: boot_time_us(),
        }
    }

    /// Returns the current time of this clock.
    pub(crate) fn now(&self) -> Timestamp {
        Timestamp::from_us(boot_time_us().saturating_sub(self.started_at_us))
    }

    /// Returns the instant at which this clock reaches `timestamp`, unless the machine is suspended
    /// meanwhile.
    pub(crate) fn instant(&self, timestamp: Timestamp) -> Instant {
        let left = timestamp.since(self.now());
        let now = Instant::now();
        now.checked_add(left).unwrap_or_else(|| now + FAR_FUTURE)
    }
}

/// Returns the microseconds since the machine booted, time in suspension included.
fn boot_time_us() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let micros = u64::try_from(time.tv_nsec / 1_000).unwrap_or_default();
    seconds.saturating_mul(1_000_000).saturating_add(micros)
}

/// Replaces a delay that would overflow `Instant`.
const FAR_FUTURE: Duration = Duration::from_secs(86_400 * 365);
