//! The limits on ejecting upstreams of one service.

use crate::health::UpstreamHealth;
use crate::time::Timestamp;

/// Keeps ejections to upstreams that fail far more than their peers, and to a share of them.
#[derive(Clone, Copy, Debug, Default)]
pub struct EjectionGate;

impl EjectionGate {
    /// Takes back ejections that the limits do not allow; due after each ejection.
    ///
    /// `upstreams` are all those of the service that have not left. Returns how many stay ejected.
    pub fn review<'a>(
        &self,
        _now: Timestamp,
        upstreams: impl Iterator<Item = &'a mut UpstreamHealth>,
    ) -> usize {
        let _ = upstreams.count();
        0
    }
}
