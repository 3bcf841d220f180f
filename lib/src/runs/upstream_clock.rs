//! An upstream's own monotonic clock, read from its answers.

use std::time::Duration;

use almondhead_macros::key;

use super::whole_ms::whole_ms;
use crate::time::Timestamp;

/// How much slower than this instance's clock an upstream's clock may run, in thousandths.
///
/// Upstreams guarantee 2 %; another 1 % covers this instance's own clock.
const MAX_DRIFT_PER_MILLE: u64 = 30;

/// A reading of an upstream's clock, with the time at which it arrived.
#[key]
pub struct UpstreamClock {
    read_ms: u64,
    read_at: Timestamp,
}

impl UpstreamClock {
    /// A reading of `read_ms` milliseconds that arrived at `read_at`.
    pub fn new(read_ms: u64, read_at: Timestamp) -> Self {
        UpstreamClock { read_ms, read_at }
    }

    /// The least that the clock shows now, if it runs at the slowest rate and the answer had no delay.
    pub fn at_least_ms(&self, now: Timestamp) -> u64 {
        let elapsed_ms = whole_ms(now.since(self.read_at));
        let slowest_ms = elapsed_ms
            - elapsed_ms / 1_000 * MAX_DRIFT_PER_MILLE
            - (elapsed_ms % 1_000 * MAX_DRIFT_PER_MILLE).div_ceil(1_000);
        self.read_ms.saturating_add(slowest_ms)
    }

    /// The reading of the two that arrived later, unless this one proves that the clock is further on
    /// than the later one says: an answer that waited to be read shows a time that has passed.
    pub fn latest(self, later: UpstreamClock) -> UpstreamClock {
        match later.read_ms < self.at_least_ms(later.read_at) {
            true => self,
            false => later,
        }
    }

    /// When the clock comes to show `clock_ms` if it runs as fast as this instance's; the time of the
    /// reading for a time before that.
    pub fn reached_at(&self, clock_ms: u64) -> Timestamp {
        self.read_at + Duration::from_millis(clock_ms.saturating_sub(self.read_ms))
    }

    /// Whether the clock must show more than `clock_ms` by now, even at the slowest rate.
    pub fn has_certainly_passed(&self, now: Timestamp, clock_ms: u64) -> bool {
        self.certainly_passed_at(clock_ms) <= now
    }

    /// The latest time at which the clock comes to show more than `clock_ms`.
    pub fn certainly_passed_at(&self, clock_ms: u64) -> Timestamp {
        let left_ms = clock_ms.saturating_sub(self.read_ms).saturating_add(1);
        let at_most_ms = left_ms
            .saturating_add(left_ms / 1_000 * MAX_DRIFT_PER_MILLE)
            .saturating_add(left_ms % 1_000 * MAX_DRIFT_PER_MILLE / 1_000 + 1);
        self.read_at + Duration::from_millis(at_most_ms)
    }
}
