//! The timer service of the process.

use std::time::Duration;

use almondhead_lib::time::Timestamp;
use almondhead_net::Deadline;

use crate::clock::Clock;

/// Waits for times on the clock of the process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TimerService {
    clock: Clock,
}

/// A periodic timer.
#[derive(Debug)]
pub(crate) struct Ticks {
    clock: Clock,
    period: Duration,
    next: Timestamp,
}

impl TimerService {
    pub(crate) fn new(clock: Clock) -> Self {
        TimerService { clock }
    }

    /// Returns at `timestamp`, or never when there is none.
    pub(crate) async fn at(&self, timestamp: Option<Timestamp>) {
        match timestamp {
            Some(timestamp) => {
                Deadline::at(self.clock.instant(timestamp)).await;
            }
            None => std::future::pending().await,
        }
    }

    /// Creates a timer whose first tick is now and whose later ticks follow every `period`.
    pub(crate) fn every(&self, period: Duration) -> Ticks {
        Ticks {
            clock: self.clock,
            period,
            next: self.clock.now(),
        }
    }
}

impl Ticks {
    /// Returns at the next tick; missed ticks are skipped.
    pub(crate) async fn next(&mut self) {
        Deadline::at(self.clock.instant(self.next)).await;
        let now = self.clock.now();
        self.next = (self.next + self.period).max(now);
    }
}
