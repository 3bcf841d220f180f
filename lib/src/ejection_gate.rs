//! The limits on ejecting upstreams of one service.

use crate::health::UpstreamHealth;
use crate::time::Timestamp;

/// One in so many upstreams of a service may be ejected at a time, rounded down.
const EJECTED_SHARE_DIVISOR: usize = 2;

/// How far an upstream's share of failures must be above its peers' for it to stay ejected.
const FAR_ABOVE_PEERS: f64 = 3.0;

/// The share of failures that is far above any peers'.
const ALMOST_ALL_FAIL: f64 = 0.9;

/// Keeps ejections to upstreams that fail far more than their peers, and to a share of them.
///
/// When all upstreams fail alike, as with tasks that fail wherever they run, the fault is not
/// theirs and taking them out would only make it worse.
#[derive(Clone, Copy, Debug, Default)]
pub struct EjectionGate;

impl EjectionGate {
    /// Takes back ejections that the limits do not allow; due after each ejection.
    ///
    /// `upstreams` are all those of the service that have not left. Returns how many stay ejected.
    pub fn review<'a>(
        &self,
        now: Timestamp,
        upstreams: impl Iterator<Item = &'a mut UpstreamHealth>,
    ) -> usize {
        let upstreams: Vec<&mut UpstreamHealth> = upstreams.collect();
        let most = upstreams.len() / EJECTED_SHARE_DIVISOR;
        let needed_rate = needed_rate(&upstreams);
        let mut ejected: Vec<&mut UpstreamHealth> = upstreams
            .into_iter()
            .filter(|upstream| upstream.is_ejected())
            .collect();
        ejected.sort_by(|left, right| right.failure_rate().total_cmp(&left.failure_rate()));
        let mut stay = 0;
        for upstream in ejected {
            if stay < most && upstream.failure_rate() >= needed_rate {
                stay += 1;
            } else {
                upstream.reinstate(now);
            }
        }
        stay
    }
}

/// The share of failures from which an upstream stays ejected, by that of its peers in use.
fn needed_rate(upstreams: &[&mut UpstreamHealth]) -> f64 {
    let in_use: Vec<f64> = upstreams
        .iter()
        .filter(|upstream| !upstream.is_ejected())
        .map(|upstream| upstream.failure_rate())
        .collect();
    if in_use.is_empty() {
        return 0.0;
    }
    let mean = in_use.iter().sum::<f64>() / in_use.len() as f64;
    (mean * FAR_ABOVE_PEERS).min(ALMOST_ALL_FAIL)
}
