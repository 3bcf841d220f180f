//! What shows that the process of an upstream has ended.
//!
//! When a process ends, its connections are closed and its address refuses new ones. A network that
//! cuts an upstream off may refuse connections too, and may reset open ones, but does not close them:
//! the upstream and its runs go on behind such a cut.

use std::time::Duration;

use super::queue_suspension::AWAY_TIME;
use crate::time::Timestamp;

/// The number of connections in a row that an upstream's address has to refuse, each attempted after
/// the one before was refused. A single one may be a chance.
const REFUSALS_OF_ENDED_PROCESS: u32 = 2;

/// How long after it closed a connection an upstream's address has to refuse others, so that both
/// have the same cause.
const REFUSAL_WINDOW: Duration = Duration::from_millis(100);

/// The evidence on whether an upstream's process has ended, since its last answer.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CrashEvidence {
    /// When it first closed a connection.
    closed_at: Option<Timestamp>,
    /// Whether a connection was reset.
    has_reset: bool,
    /// The connections in a row that were refused.
    refusals: u32,
    last_refused_at: Option<Timestamp>,
    /// Whether its crash was reported.
    pub(crate) is_reported: bool,
    /// When it crashed, or may have crashed, under a run that had to be alone.
    pub(crate) lone_crash_at: Option<Timestamp>,
}

impl CrashEvidence {
    /// Records that it closed a connection without an answer.
    pub(crate) fn record_closed(&mut self, now: Timestamp) {
        self.closed_at.get_or_insert(now);
    }

    /// Records that a connection was reset.
    pub(crate) fn record_reset(&mut self) {
        self.has_reset = true;
    }

    /// Records that a connection was refused, for an order of this time.
    pub(crate) fn record_refusal(&mut self, now: Timestamp, sent_at: Timestamp) {
        let Some(closed_at) = self.closed_at else {
            return;
        };
        let is_next = sent_at >= self.last_refused_at.unwrap_or(closed_at);
        if is_next && now.since(closed_at) <= REFUSAL_WINDOW {
            self.refusals = self.refusals.saturating_add(1);
            self.last_refused_at = Some(now);
        }
    }

    /// Records that its process answered.
    pub(crate) fn record_answer(&mut self) {
        *self = CrashEvidence::default();
    }

    /// When its process ended, as far as is known at this time.
    pub(crate) fn ended_at(&self, now: Timestamp) -> Timestamp {
        self.closed_at.unwrap_or(now)
    }

    /// Whether another attempt to connect can show that its process has ended.
    pub(crate) fn needs_check(&self, now: Timestamp) -> bool {
        let is_recent = |closed_at| now.since(closed_at) <= REFUSAL_WINDOW;
        self.closed_at.is_some_and(is_recent) && !self.has_reset && !self.has_ended()
    }

    /// Until when it counts as away because of a lone run; none if it does not.
    ///
    /// An upstream that is still unreachable after the time that a restart takes is so for another
    /// reason. Otherwise, one that is lost for good would bar lone runs for as long as it is listed.
    pub(crate) fn away_by_lone_run_until(&self, now: Timestamp) -> Option<Timestamp> {
        let until = self.lone_crash_at? + AWAY_TIME;
        (until > now).then_some(until)
    }

    /// Whether its process has ended.
    pub(crate) fn has_ended(&self) -> bool {
        self.refusals >= REFUSALS_OF_ENDED_PROCESS && !self.has_reset
    }
}
