//! Fewer slots for upstreams that are much slower than their peers.

use std::time::Duration;

/// The weight of one latency in the recent latency, once enough were recorded.
const MIN_WEIGHT: f64 = 1.0 / 16.0;

/// The latencies from which an upstream's recent latency counts.
const MIN_SAMPLES: u32 = 8;

/// The upstreams of known latency from which there is a median.
const MIN_PEERS: usize = 3;

/// How many times the median an upstream's latency may be before it loses slots.
const SLOW_FACTOR: u64 = 2;

/// The recent latency of one upstream's finished tasks.
#[derive(Clone, Copy, Debug, Default)]
pub struct UpstreamLatency {
    ewma_us: f64,
    samples: u32,
}

impl UpstreamLatency {
    /// Counts a task that finished; failures must not be counted.
    pub fn record(&mut self, latency: Duration) {
        self.samples = self.samples.saturating_add(1);
        let weight = MIN_WEIGHT.max(1.0 / f64::from(self.samples));
        self.ewma_us += (latency.as_secs_f64() * 1e6 - self.ewma_us) * weight;
    }

    /// The recent latency in microseconds, zero when nothing was recorded.
    pub fn recent_us(&self) -> u64 {
        self.ewma_us as u64
    }

    /// The recent latency in microseconds, none while too few were recorded to judge by.
    fn known_us(&self) -> Option<u64> {
        (self.samples >= MIN_SAMPLES).then_some(self.recent_us())
    }
}

/// The median recent latency of a service's upstreams in microseconds, none when too few know it.
///
/// It costs a sort and changes slowly: callers keep it for some hundred milliseconds.
pub fn median_latency_us<'a>(upstreams: impl Iterator<Item = &'a UpstreamLatency>) -> Option<u64> {
    let mut latencies_us: Vec<u64> = upstreams.filter_map(UpstreamLatency::known_us).collect();
    if latencies_us.len() < MIN_PEERS {
        return None;
    }
    latencies_us.sort_unstable();
    let middle = (latencies_us.len() - 1) / 2;
    Some(latencies_us[middle])
}

/// The slots of an upstream that may be filled, at least one unless it has none.
///
/// Beyond [`SLOW_FACTOR`] times the median they fall with the square of the latency, so a slow
/// upstream keeps a trickle by which its recovery shows.
pub fn effective_slots(slots: u32, own: &UpstreamLatency, median_us: Option<u64>) -> u32 {
    let (Some(own_us), Some(median_us)) = (own.known_us(), median_us) else {
        return slots;
    };
    let allowed_us = median_us.saturating_mul(SLOW_FACTOR);
    if own_us <= allowed_us {
        return slots;
    }
    let share = allowed_us as f64 / own_us as f64;
    let weighted = f64::from(slots) * share * share;
    (weighted as u32).max(slots.min(1))
}
