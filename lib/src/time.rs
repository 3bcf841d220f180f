//! Time in the core: a value that is passed in with each event.

use std::ops::Add;
use std::time::Duration;

use almondhead_macros::key;

/// A point in time on the monotonic clock of one entry process, in microseconds since the process
/// started.
#[key]
#[derive(Default)]
pub struct Timestamp {
    us: u64,
}

impl Timestamp {
    /// The start of the process.
    pub const ZERO: Timestamp = Timestamp { us: 0 };

    /// The point `us` microseconds after the start of the process.
    pub const fn from_us(us: u64) -> Self {
        Timestamp { us }
    }

    /// Microseconds since the start of the process.
    pub const fn as_us(self) -> u64 {
        self.us
    }

    /// The time from `earlier` to this point, zero when `earlier` is later.
    pub const fn since(self, earlier: Timestamp) -> Duration {
        Duration::from_micros(self.us.saturating_sub(earlier.us))
    }

    /// The point `duration` earlier, or the start of the process.
    pub fn before(self, duration: Duration) -> Timestamp {
        let earlier_us = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Timestamp {
            us: self.us.saturating_sub(earlier_us),
        }
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;

    fn add(self, duration: Duration) -> Timestamp {
        let added_us = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Timestamp {
            us: self.us.saturating_add(added_us),
        }
    }
}
