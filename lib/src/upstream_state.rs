//! The state of an upstream at this entry instance.

use std::sync::Arc;
use std::time::Duration;

use crate::health::HealthState;
use crate::health::UpstreamHealth;
use crate::keys::ServiceKey;
use crate::slow_weight::UpstreamLatency;
use crate::submission::Needs;
use crate::target::UpstreamTarget;
use crate::time::Timestamp;

/// How long before its time of leaving an upstream or instance counts as leaving, as a margin for
/// clock error.
pub(crate) const CLOCK_MARGIN_MS: u64 = 1_000;

/// How long no task is sent to an upstream after it refused one at its concurrency limit.
const REFUSAL_PAUSE: Duration = Duration::from_millis(20);

/// An upstream: its settings in the document, its load, latency and health.
#[derive(Debug)]
pub(crate) struct UpstreamState {
    pub(crate) name: Arc<str>,
    pub(crate) data_centre: Arc<str>,
    pub(crate) service: ServiceKey,
    pub(crate) target: Arc<UpstreamTarget>,
    pub(crate) slots: u32,
    pub(crate) resources: Needs,
    pub(crate) leaves_at_unix_ms: Option<u64>,
    /// Whether the platform lists it as leaving.
    pub(crate) listed_leaving: bool,
    /// Whether the installed document lists it.
    pub(crate) present: bool,
    /// Whether this entry instance sends tasks to it.
    pub(crate) assigned: bool,
    pub(crate) in_flight: u32,
    pub(crate) latency: UpstreamLatency,
    /// The slots to use: fewer than `slots` when it is slower than others of its service.
    pub(crate) effective_slots: u32,
    pub(crate) health: UpstreamHealth,
    /// No task is sent to it before this time, after a refusal.
    pub(crate) paused_until: Timestamp,
}

impl UpstreamState {
    /// Whether this entry instance sends tasks to it, apart from health and load.
    pub(crate) fn is_in_use(&self, unix_ms: u64) -> bool {
        self.present && self.assigned && !self.is_leaving(unix_ms)
    }

    /// Whether it is leaving, by the time in the document or the platform's list.
    pub(crate) fn is_leaving(&self, unix_ms: u64) -> bool {
        let leaves_at = self.leaves_at_unix_ms.unwrap_or(u64::MAX);
        self.listed_leaving || unix_ms.saturating_add(CLOCK_MARGIN_MS) >= leaves_at
    }

    /// Whether it is in use and not ejected.
    pub(crate) fn is_usable(&self, now: Timestamp, unix_ms: u64) -> bool {
        let ejected = matches!(self.health.state(now), HealthState::Ejected { .. });
        self.is_in_use(unix_ms) && !ejected
    }

    /// Whether another task may be started on it now.
    pub(crate) fn has_capacity(&self, now: Timestamp, unix_ms: u64) -> bool {
        self.is_in_use(unix_ms)
            && self.in_flight < self.effective_slots
            && now >= self.paused_until
            && self.health.can_start(now, self.in_flight)
    }

    /// Whether its resources are sufficient for the needs.
    pub(crate) fn has_resources_for(&self, needs: Needs) -> bool {
        self.resources.covers(needs)
    }

    /// Sends it no tasks for a short time after it refused one.
    pub(crate) fn pause(&mut self, now: Timestamp) {
        self.paused_until = now + REFUSAL_PAUSE;
    }
}
