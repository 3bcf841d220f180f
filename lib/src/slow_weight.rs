//! Reduction of the slots of upstreams that are much slower than the others of their service.

use std::time::Duration;

/// The weight of a new latency in the recent latency once enough were recorded.
const MIN_WEIGHT: f64 = 1.0 / 16.0;

/// The number of recorded latencies from which an upstream's recent latency counts.
const MIN_SAMPLES: u32 = 8;

/// The number of upstreams with a known latency from which a median is computed.
const MIN_PEERS: usize = 3;

/// The ratio of an upstream's latency to the median above which it loses slots.
const SLOW_FACTOR: u64 = 2;

/// The recent latency of one upstream's finished tasks, an exponentially weighted mean.
#[derive(Clone, Copy, Debug, Default)]
pub struct UpstreamLatency {
    ewma_us: f64,
    samples: u32,
}

impl UpstreamLatency {
    /// Records the latency of a finished task; those of failed tasks must not be recorded.
    pub fn record(&mut self, latency: Duration) {
        self.samples = self.samples.saturating_add(1);
        let weight = MIN_WEIGHT.max(1.0 / f64::from(self.samples));
        self.ewma_us += (latency.as_secs_f64() * 1e6 - self.ewma_us) * weight;
    }

    /// The recent latency in microseconds; zero when nothing was recorded.
    pub fn recent_us(&self) -> u64 {
        self.ewma_us as u64
    }

    /// The recent latency in microseconds; `None` while too few were recorded.
    fn known_us(&self) -> Option<u64> {
        (self.samples >= MIN_SAMPLES).then_some(self.recent_us())
    }
}

/// The median of the recent latencies of a service's upstreams in microseconds; `None` when too few
/// are known.
///
/// It sorts the latencies. Since the median changes slowly, callers cache it for some hundred
/// milliseconds.
pub fn median_latency_us<'a>(upstreams: impl Iterator<Item = &'a UpstreamLatency>) -> Option<u64> {
    let mut latencies_us: Vec<u64> = upstreams.filter_map(UpstreamLatency::known_us).collect();
    if latencies_us.len() < MIN_PEERS {
        return None;
    }
    latencies_us.sort_unstable();
    let middle = (latencies_us.len() - 1) / 2;
    Some(latencies_us[middle])
}

/// The number of an upstream's slots that may be used, at least one unless it has none.
///
/// Above [`SLOW_FACTOR`] times the median it falls with the square of the latency. A slow upstream
/// keeps some tasks, so that its recovery is noticed.
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
