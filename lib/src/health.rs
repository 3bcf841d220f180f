//! The health of one upstream, judged by the ends of the tasks that started there.

use almondhead_macros::key;

use crate::time::Timestamp;

/// Whether an upstream takes work.
#[key]
pub enum HealthState {
    /// It takes work.
    Healthy,
    /// It takes none until the time given.
    Ejected {
        /// When one probe may start.
        until: Timestamp,
    },
    /// It may run one task at a time, whose end decides.
    Probing,
}

/// What an end changed about an upstream's health.
#[key]
pub enum HealthChange {
    /// Nothing that others need to hear of.
    Unchanged,
    /// It was ejected; [`crate::ejection_gate::EjectionGate::review`] is due.
    Ejected,
    /// It takes work again.
    Restored,
}

/// The health of one upstream.
#[derive(Clone, Debug, Default)]
pub struct UpstreamHealth {
    consecutive_failures: u32,
}

impl UpstreamHealth {
    /// Counts a task that finished.
    pub fn on_success(&mut self, _now: Timestamp) -> HealthChange {
        self.consecutive_failures = 0;
        HealthChange::Unchanged
    }

    /// Counts a connect failure, a failed task or an unknown end.
    pub fn on_failure(&mut self, _now: Timestamp) -> HealthChange {
        self.consecutive_failures += 1;
        HealthChange::Unchanged
    }

    /// Counts a refusal by the upstream's guard: it is full, not broken.
    pub fn on_refusal(&mut self, _now: Timestamp) -> HealthChange {
        HealthChange::Unchanged
    }

    /// Whether the upstream takes work.
    pub fn state(&self, _now: Timestamp) -> HealthState {
        HealthState::Healthy
    }

    /// Whether a task may start there while `in_flight` others run.
    pub fn may_start(&self, _now: Timestamp, _in_flight: u32) -> bool {
        true
    }

    /// The first point after `now` at which [`Self::may_start`] can change by time alone.
    pub fn next_change(&self, _now: Timestamp) -> Option<Timestamp> {
        None
    }
}
