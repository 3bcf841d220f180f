//! The health of one upstream (a circuit breaker), derived from how tasks there end.

use std::time::Duration;

use almondhead_macros::key;

use crate::time::Timestamp;

/// The number of consecutive failures that ejects an upstream.
const EJECT_AFTER_FAILURES: u32 = 3;

/// The recent failure rate that ejects an upstream.
const EJECT_AT_FAILURE_RATE: f64 = 0.5;

/// The weight of the latest end in the recent failure rate.
const FAILURE_RATE_WEIGHT: f64 = 0.125;

/// How long the first ejection lasts until a probe.
const FIRST_BACK_OFF: Duration = Duration::from_secs(1);

/// The upper bound on the back-off between probes.
const MAX_BACK_OFF: Duration = Duration::from_secs(60);

/// The time since the last ejection ended after which earlier ejections no longer lengthen the
/// next one.
const EJECTIONS_RESET_AFTER: Duration = Duration::from_secs(60);

/// How many tasks may run on an upstream whose last task failed.
const MAX_IN_FLIGHT_AFTER_FAILURE: u32 = 1;

/// How long nothing starts after the first refusal.
const FIRST_REFUSAL_PAUSE: Duration = Duration::from_millis(5);

/// The upper bound on the pause after consecutive refusals.
const MAX_REFUSAL_PAUSE: Duration = Duration::from_millis(320);

/// Whether an upstream accepts tasks.
#[key]
pub enum HealthState {
    /// It accepts tasks.
    Healthy,
    /// It accepts no tasks until the given time.
    Ejected {
        /// When a probe may start.
        until: Timestamp,
    },
    /// It may run one task at a time as a probe, whose end restores or ejects it.
    Probing,
}

/// How the end of a task changed an upstream's health.
#[key]
#[must_use]
pub enum HealthChange {
    /// It was neither ejected nor restored; a failed probe only lengthens the ejection.
    Unchanged,
    /// It was ejected; the caller has to call [`crate::ejection_gate::EjectionGate::review`].
    Ejected,
    /// It accepts tasks again.
    Restored,
}

/// The health of one upstream.
///
/// Consecutive failures, or a high recent failure rate, eject it for a back-off that doubles with
/// each failed probe. After a failure it runs a single task at a time until one succeeds; otherwise
/// fast failures would make it look idle and attract more tasks.
#[derive(Clone, Debug, Default)]
pub struct UpstreamHealth {
    ejected_until: Option<Timestamp>,
    restored_at: Timestamp,
    ejections: u32,
    consecutive_failures: u32,
    failure_rate: f64,
    consecutive_refusals: u32,
    paused_until: Timestamp,
}

impl UpstreamHealth {
    /// Records that a task finished.
    pub fn on_success(&mut self, now: Timestamp) -> HealthChange {
        self.consecutive_failures = 0;
        self.consecutive_refusals = 0;
        self.failure_rate *= 1.0 - FAILURE_RATE_WEIGHT;
        if self.state(now) != HealthState::Probing {
            return HealthChange::Unchanged;
        }
        self.ejected_until = None;
        self.restored_at = now;
        HealthChange::Restored
    }

    /// Records a connection failure, a failed task or an unknown end.
    pub fn on_failure(&mut self, now: Timestamp) -> HealthChange {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.failure_rate += (1.0 - self.failure_rate) * FAILURE_RATE_WEIGHT;
        match self.state(now) {
            HealthState::Healthy if self.has_too_many_failures() => {
                self.eject(now);
                HealthChange::Ejected
            }
            HealthState::Probing => {
                self.eject(now);
                HealthChange::Unchanged
            }
            _ => HealthChange::Unchanged,
        }
    }

    /// Records that the upstream refused a task because it is full; that is not a failure.
    ///
    /// Nothing starts there for a pause that doubles with each consecutive refusal.
    pub fn on_refusal(&mut self, now: Timestamp) {
        let pause = doubled(
            FIRST_REFUSAL_PAUSE,
            self.consecutive_refusals,
            MAX_REFUSAL_PAUSE,
        );
        self.consecutive_refusals = self.consecutive_refusals.saturating_add(1);
        self.paused_until = now + pause;
    }

    /// Whether the upstream accepts tasks.
    pub fn state(&self, now: Timestamp) -> HealthState {
        match self.ejected_until {
            None => HealthState::Healthy,
            Some(until) if now < until => HealthState::Ejected { until },
            Some(_) => HealthState::Probing,
        }
    }

    /// Whether a task may start there while `in_flight` others run.
    pub fn can_start(&self, now: Timestamp, in_flight: u32) -> bool {
        if now < self.paused_until {
            return false;
        }
        match self.state(now) {
            HealthState::Healthy if self.consecutive_failures == 0 => true,
            HealthState::Healthy => in_flight < MAX_IN_FLIGHT_AFTER_FAILURE,
            HealthState::Ejected { .. } => false,
            HealthState::Probing => in_flight == 0,
        }
    }

    /// The first time after `now` at which [`Self::can_start`] can change without another event.
    pub fn next_change(&self, now: Timestamp) -> Option<Timestamp> {
        [self.ejected_until, Some(self.paused_until)]
            .into_iter()
            .flatten()
            .filter(|at| *at > now)
            .min()
    }

    /// The recent failure rate, between zero and one.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Whether it is ejected, which includes probing.
    pub fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Cancels the ejection; the count of consecutive failures starts from zero.
    pub(crate) fn reinstate(&mut self, now: Timestamp) {
        self.ejected_until = None;
        self.restored_at = now;
        self.consecutive_failures = 0;
    }

    fn has_too_many_failures(&self) -> bool {
        self.consecutive_failures >= EJECT_AFTER_FAILURES
            || self.failure_rate >= EJECT_AT_FAILURE_RATE
    }

    fn eject(&mut self, now: Timestamp) {
        if !self.is_ejected() && now.since(self.restored_at) > EJECTIONS_RESET_AFTER {
            self.ejections = 0;
        }
        let back_off = doubled(FIRST_BACK_OFF, self.ejections, MAX_BACK_OFF);
        self.ejections = self.ejections.saturating_add(1);
        self.ejected_until = Some(now + back_off);
    }
}

/// `first` doubled `times` times, at most `longest`.
fn doubled(first: Duration, times: u32, longest: Duration) -> Duration {
    let factor = 1u32.checked_shl(times).unwrap_or(u32::MAX);
    first.saturating_mul(factor).min(longest)
}
