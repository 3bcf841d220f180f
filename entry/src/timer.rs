//! The timer service of the process, to which its parts subscribe.

use std::time::Duration;

use almondhead_lib::time::Timestamp;
use smol::Timer;

use crate::clock::Clock;

/// Wakes parts of the process at points on its clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TimerService {
    clock: Clock,
}

/// A subscription to a point that comes again and again.
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

    /// Ends at `timestamp`, or never when there is none.
    pub(crate) async fn at(&self, timestamp: Option<Timestamp>) {
        match timestamp {
            Some(timestamp) => {
                Timer::at(self.clock.instant(timestamp)).await;
            }
            None => std::future::pending().await,
        }
    }

    /// A subscription whose first point is now and whose others follow at `period`.
    pub(crate) fn every(&self, period: Duration) -> Ticks {
        Ticks {
            clock: self.clock,
            period,
            next: self.clock.now(),
        }
    }
}

impl Ticks {
    /// Ends at the next point; points missed meanwhile are left out.
    pub(crate) async fn next(&mut self) {
        Timer::at(self.clock.instant(self.next)).await;
        let now = self.clock.now();
        self.next = (self.next + self.period).max(now);
    }
}
