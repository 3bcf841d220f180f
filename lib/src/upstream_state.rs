//! One upstream as this entry instance sees it.

use std::sync::Arc;
use std::time::Duration;

use crate::health::HealthState;
use crate::health::UpstreamHealth;
use crate::keys::ServiceKey;
use crate::slow_weight::UpstreamLatency;
use crate::submission::Needs;
use crate::target::UpstreamTarget;
use crate::time::Timestamp;

/// How long before a named time an upstream counts as leaving, for the clocks' error.
pub(crate) const CLOCK_MARGIN_MS: u64 = 1_000;

/// How long an upstream is left alone after its guard refused a task.
const REFUSAL_PAUSE: Duration = Duration::from_millis(20);

/// One upstream: what the document says, and what was seen of it.
#[derive(Debug)]
pub(crate) struct UpstreamState {
    pub(crate) name: Arc<str>,
    pub(crate) data_centre: Arc<str>,
    pub(crate) service: ServiceKey,
    pub(crate) target: Arc<UpstreamTarget>,
    pub(crate) slots: u32,
    pub(crate) has: Needs,
    pub(crate) leaves_at_unix_ms: Option<u64>,
    /// Whether the platform's list says that it is leaving.
    pub(crate) listed_leaving: bool,
    /// Whether the document still names it.
    pub(crate) present: bool,
    /// Whether this entry instance sends tasks to it.
    pub(crate) ours: bool,
    pub(crate) in_flight: u32,
    pub(crate) latency: UpstreamLatency,
    /// The slots that are used, fewer than all when it is slower than its peers.
    pub(crate) effective_slots: u32,
    pub(crate) health: UpstreamHealth,
    /// Until when it is left alone after a refusal.
    pub(crate) paused_until: Timestamp,
}

impl UpstreamState {
    /// Whether it is in use by this entry instance at all.
    pub(crate) fn is_in_use(&self, unix_ms: u64) -> bool {
        self.present && self.ours && !self.is_leaving(unix_ms)
    }

    /// Whether it leaves now, by the document's time or the platform's list.
    pub(crate) fn is_leaving(&self, unix_ms: u64) -> bool {
        let leaves_at = self.leaves_at_unix_ms.unwrap_or(u64::MAX);
        self.listed_leaving || unix_ms.saturating_add(CLOCK_MARGIN_MS) >= leaves_at
    }

    /// Whether it is in use and not ejected for failing.
    pub(crate) fn runs_tasks(&self, now: Timestamp, unix_ms: u64) -> bool {
        let ejected = matches!(self.health.state(now), HealthState::Ejected { .. });
        self.is_in_use(unix_ms) && !ejected
    }

    /// Whether one more task may start now.
    pub(crate) fn has_capacity(&self, now: Timestamp, unix_ms: u64) -> bool {
        self.is_in_use(unix_ms)
            && self.in_flight < self.effective_slots
            && now >= self.paused_until
            && self.health.can_start(now, self.in_flight)
    }

    /// Whether its equipment meets the needs.
    pub(crate) fn meets(&self, needs: Needs) -> bool {
        self.has.covers(needs)
    }

    /// Leaves it alone for a moment after its guard refused a task.
    pub(crate) fn pause(&mut self, now: Timestamp) {
        self.paused_until = now + REFUSAL_PAUSE;
    }
}
