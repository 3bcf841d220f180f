//! An upstream's own steady clock, as its answers show it.

use std::time::Duration;

use almondhead_macros::key;

use super::whole_ms::whole_ms;
use crate::time::Timestamp;

/// How much slower than ours an upstream's clock may run, in thousandths.
///
/// Upstreams promise 2 %; one more covers our own clock.
const SLOW_PER_MILLE: u64 = 30;

/// A reading of an upstream's clock.
#[key]
pub struct UpstreamClock {
    read_ms: u64,
    read_at: Timestamp,
}

impl UpstreamClock {
    /// A reading that arrived at `read_at`.
    pub fn new(read_ms: u64, read_at: Timestamp) -> Self {
        UpstreamClock { read_ms, read_at }
    }

    /// What the clock shows now, were it as fast as ours and the answer without delay.
    pub fn estimate_ms(&self, now: Timestamp) -> u64 {
        self.read_ms
            .saturating_add(whole_ms(now.since(self.read_at)))
    }

    /// Whether the clock shows more than `clock_ms` by now, however slow it runs.
    pub fn has_surely_passed(&self, now: Timestamp, clock_ms: u64) -> bool {
        self.surely_passes_at(clock_ms) <= now
    }

    /// When the clock shows more than `clock_ms` at the latest.
    pub fn surely_passes_at(&self, clock_ms: u64) -> Timestamp {
        let left_ms = clock_ms.saturating_sub(self.read_ms).saturating_add(1);
        let at_most_ms = left_ms.saturating_add(left_ms * SLOW_PER_MILLE / 1_000 + 1);
        self.read_at + Duration::from_millis(at_most_ms)
    }
}
