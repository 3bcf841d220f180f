//! The monotonic clock of the process.

use std::time::Duration;
use std::time::Instant;

use almondhead_lib::time::Timestamp;

/// Reads time since the start of the process; it goes on while the process is frozen.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    started_at: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub(crate) fn start() -> Self {
        Clock {
            started_at: Instant::now(),
        }
    }

    /// The time now.
    pub(crate) fn now(&self) -> Timestamp {
        let elapsed_us = self.started_at.elapsed().as_micros();
        Timestamp::from_us(u64::try_from(elapsed_us).unwrap_or(u64::MAX))
    }

    /// The instant that `timestamp` names.
    pub(crate) fn instant(&self, timestamp: Timestamp) -> Instant {
        let since_start = Duration::from_micros(timestamp.as_us());
        self.started_at
            .checked_add(since_start)
            .unwrap_or_else(|| self.started_at + FAR_FUTURE)
    }
}

const FAR_FUTURE: Duration = Duration::from_secs(86_400 * 365);
