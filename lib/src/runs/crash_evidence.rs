//! What shows that the process of an upstream has ended.

use crate::time::Timestamp;

/// The number of connections in a row that an upstream's address has to refuse, each attempted after
/// the one before was refused, for its process to count as ended. A single one may be a reset
/// on the way.
const REFUSALS_OF_ENDED_PROCESS: u32 = 2;

/// The evidence on whether an upstream's process has ended.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CrashEvidence {
    /// The connections in a row that were refused.
    refusals: u32,
    last_refused_at: Option<Timestamp>,
    /// When a connection first ended or was refused since the last answer.
    first_sign_at: Option<Timestamp>,
    /// Whether its crash was reported.
    pub(crate) is_reported: bool,
}

impl CrashEvidence {
    /// Records that a connection to it ended without an answer.
    pub(crate) fn record_disconnect(&mut self, now: Timestamp) {
        self.first_sign_at.get_or_insert(now);
    }

    /// Records that its address refused a connection, for an order of this time.
    pub(crate) fn record_refusal(&mut self, now: Timestamp, sent_at: Timestamp) {
        self.first_sign_at.get_or_insert(now);
        if self.last_refused_at.is_none_or(|last| sent_at >= last) {
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
        self.first_sign_at.unwrap_or(now)
    }

    /// Whether its process has ended.
    pub(crate) fn has_ended(&self) -> bool {
        self.refusals >= REFUSALS_OF_ENDED_PROCESS
    }
}
