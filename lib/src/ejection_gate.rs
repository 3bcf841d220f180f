//! Limits on the ejection of upstreams of one service.

use crate::health::UpstreamHealth;
use crate::time::Timestamp;

/// The divisor of the number of a service's upstreams that gives, rounded down, the maximum number
/// ejected at a time.
const EJECTED_SHARE_DIVISOR: usize = 2;

/// The minimum ratio of an ejected upstream's failure rate to the mean rate of those in use, for it
/// to stay ejected.
const MIN_RATE_RATIO: f64 = 3.0;

/// The failure rate from which an upstream stays ejected whatever the others' is.
const MAX_REQUIRED_RATE: f64 = 0.9;

/// Limits ejections to upstreams that fail far more often than the others, and to a share of them.
///
/// When all upstreams fail alike, as with tasks that fail wherever they run, the upstreams are not
/// at fault and ejecting them would only reduce capacity.
#[derive(Clone, Copy, Debug, Default)]
pub struct EjectionGate;

impl EjectionGate {
    /// Cancels the ejections that the limits do not allow; to be called after each ejection.
    ///
    /// `upstreams` are all those of the service that have not left. Returns how many stay ejected.
    pub fn review<'a>(
        &self,
        now: Timestamp,
        upstreams: impl Iterator<Item = &'a mut UpstreamHealth>,
    ) -> usize {
        let upstreams: Vec<&mut UpstreamHealth> = upstreams.collect();
        let max_ejected = upstreams.len() / EJECTED_SHARE_DIVISOR;
        let required_rate = required_rate(&upstreams);
        let mut ejected: Vec<&mut UpstreamHealth> = upstreams
            .into_iter()
            .filter(|upstream| upstream.is_ejected())
            .collect();
        ejected.sort_by(|left, right| right.failure_rate().total_cmp(&left.failure_rate()));
        let mut kept = 0;
        for upstream in ejected {
            if kept < max_ejected && upstream.failure_rate() >= required_rate {
                kept += 1;
            } else {
                upstream.reinstate(now);
            }
        }
        kept
    }
}

/// The failure rate from which an upstream stays ejected, derived from those in use.
fn required_rate(upstreams: &[&mut UpstreamHealth]) -> f64 {
    let in_use: Vec<f64> = upstreams
        .iter()
        .filter(|upstream| !upstream.is_ejected())
        .map(|upstream| upstream.failure_rate())
        .collect();
    if in_use.is_empty() {
        return 0.0;
    }
    let mean = in_use.iter().sum::<f64>() / in_use.len() as f64;
    (mean * MIN_RATE_RATIO).min(MAX_REQUIRED_RATE)
}
