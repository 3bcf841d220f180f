//! The health of one upstream, judged by the ends of the tasks that started there.

use std::time::Duration;

use almondhead_macros::key;

use crate::time::Timestamp;

/// The failures in a row that eject an upstream.
const EJECT_AFTER_FAILURES: u32 = 3;

/// The recent share of failures that ejects an upstream.
const EJECT_AT_FAILURE_RATE: f64 = 0.5;

/// The weight of one end in the recent share of failures.
const FAILURE_RATE_WEIGHT: f64 = 0.125;

/// How long an upstream is out after its first ejection.
const FIRST_BACK_OFF: Duration = Duration::from_secs(1);

/// The longest time between two probes.
const MAX_BACK_OFF: Duration = Duration::from_secs(60);

/// The time in use after which earlier ejections no longer lengthen the next one.
const FORGIVEN_AFTER: Duration = Duration::from_secs(60);

/// How many tasks may run at an upstream whose last end was a failure.
const SUSPECT_IN_FLIGHT: u32 = 1;

/// How long nothing starts after a first refusal.
const FIRST_REFUSAL_PAUSE: Duration = Duration::from_millis(5);

/// The longest pause after refusals in a row.
const MAX_REFUSAL_PAUSE: Duration = Duration::from_millis(320);

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
#[must_use]
pub enum HealthChange {
    /// Nothing that others need to hear of.
    Unchanged,
    /// It was ejected; [`crate::ejection_gate::EjectionGate::review`] is due.
    Ejected,
    /// It takes work again.
    Restored,
}

/// The health of one upstream.
///
/// Failures in a row, or a high recent share of them, eject it for a back-off that doubles with
/// each failed probe. After one failure it runs a single task at a time until one succeeds, so a
/// fast failure does not draw more work to it.
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
    /// Counts a task that finished.
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

    /// Counts a connect failure, a failed task or an unknown end.
    pub fn on_failure(&mut self, now: Timestamp) -> HealthChange {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.failure_rate += (1.0 - self.failure_rate) * FAILURE_RATE_WEIGHT;
        match self.state(now) {
            HealthState::Healthy if self.fails_too_often() => {
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

    /// Counts a refusal by the upstream's guard: it is full, not broken.
    ///
    /// Nothing starts there for a pause that doubles with each refusal in a row.
    pub fn on_refusal(&mut self, now: Timestamp) {
        let pause = doubled(
            FIRST_REFUSAL_PAUSE,
            self.consecutive_refusals,
            MAX_REFUSAL_PAUSE,
        );
        self.consecutive_refusals = self.consecutive_refusals.saturating_add(1);
        self.paused_until = now + pause;
    }

    /// Whether the upstream takes work.
    pub fn state(&self, now: Timestamp) -> HealthState {
        match self.ejected_until {
            None => HealthState::Healthy,
            Some(until) if now < until => HealthState::Ejected { until },
            Some(_) => HealthState::Probing,
        }
    }

    /// Whether a task may start there while `in_flight` others run.
    pub fn may_start(&self, now: Timestamp, in_flight: u32) -> bool {
        if now < self.paused_until {
            return false;
        }
        match self.state(now) {
            HealthState::Healthy if self.consecutive_failures == 0 => true,
            HealthState::Healthy => in_flight < SUSPECT_IN_FLIGHT,
            HealthState::Ejected { .. } => false,
            HealthState::Probing => in_flight == 0,
        }
    }

    /// The first point after `now` at which [`Self::may_start`] can change by time alone.
    pub fn next_change(&self, now: Timestamp) -> Option<Timestamp> {
        [self.ejected_until, Some(self.paused_until)]
            .into_iter()
            .flatten()
            .filter(|at| *at > now)
            .min()
    }

    /// The recent share of failures among ends, between zero and one.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Whether it is out of use, probes included.
    pub fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Takes an ejection back; another run of failures is needed for the next one.
    pub(crate) fn reinstate(&mut self, now: Timestamp) {
        self.ejected_until = None;
        self.restored_at = now;
        self.consecutive_failures = 0;
    }

    fn fails_too_often(&self) -> bool {
        self.consecutive_failures >= EJECT_AFTER_FAILURES
            || self.failure_rate >= EJECT_AT_FAILURE_RATE
    }

    fn eject(&mut self, now: Timestamp) {
        if !self.is_ejected() && now.since(self.restored_at) > FORGIVEN_AFTER {
            self.ejections = 0;
        }
        let back_off = doubled(FIRST_BACK_OFF, self.ejections, MAX_BACK_OFF);
        self.ejections = self.ejections.saturating_add(1);
        self.ejected_until = Some(now + back_off);
    }
}

/// `first` doubled `times`, at most `longest`.
fn doubled(first: Duration, times: u32, longest: Duration) -> Duration {
    let factor = 1u32.checked_shl(times).unwrap_or(u32::MAX);
    first.saturating_mul(factor).min(longest)
}
