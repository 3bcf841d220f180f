//! One run on an upstream that this instance owns.

use std::time::Duration;

use super::held_batch::TaskIndex;
use super::resources::Resources;
use super::run_id::HeldBatchKey;
use crate::time::Timestamp;

/// How often the expected run time may pass without progress before a run counts as stalled.
const STALLED_RUN_FACTOR: u32 = 3;

/// The shortest time without progress after which a run counts as stalled.
///
/// Reports come every 250 ms; two in a row must show the same.
const STALLED_AFTER: Duration = Duration::from_millis(400);

/// A run that was ordered and has not ended.
#[derive(Clone, Debug)]
pub(crate) struct LeasedRun {
    /// The batch and the task that it is for; none once its home gave it up.
    pub(crate) task: Option<(HeldBatchKey, TaskIndex)>,
    pub(crate) room: Resources,
    pub(crate) phase: RunPhase,
    pub(crate) ordered_at: Timestamp,
    pub(crate) expected_run: Duration,
    pub(crate) percent: u8,
    pub(crate) progressed_at: Timestamp,
}

/// What is known of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunPhase {
    /// The start was ordered and is not answered.
    Starting,
    /// It runs.
    Active {
        /// When the start was answered.
        since: Timestamp,
    },
    /// The start was not answered: it may run, and may start later.
    Uncertain {
        /// When the answer was given up.
        since: Timestamp,
    },
    /// A stop was ordered.
    Stopping {
        /// Why.
        reason: StopReason,
        /// When the upstream answered the stop.
        acknowledged_at: Option<Timestamp>,
    },
}

/// Why a run is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub(crate) enum StopReason {
    /// Its home gave it up.
    #[display("cancelled")]
    Cancelled,
    /// It makes no progress.
    #[display("stalled")]
    Stalled,
    /// Its start was not answered and it is not listed.
    #[display("uncertain")]
    Uncertain,
    /// Nobody knows of it.
    #[display("unclaimed")]
    Unclaimed,
}

impl LeasedRun {
    pub(crate) fn starting(
        task: (HeldBatchKey, TaskIndex),
        room: Resources,
        expected_run: Duration,
        now: Timestamp,
    ) -> Self {
        LeasedRun {
            task: Some(task),
            room,
            phase: RunPhase::Starting,
            ordered_at: now,
            expected_run,
            percent: 0,
            progressed_at: now,
        }
    }

    /// Takes in that it was listed as running.
    pub(crate) fn note_running(&mut self, now: Timestamp, percent: u8) {
        if percent != self.percent {
            self.percent = percent;
            self.progressed_at = now;
        }
        if let RunPhase::Starting | RunPhase::Uncertain { .. } = self.phase {
            self.phase = RunPhase::Active { since: now };
        }
    }

    /// Whether it has made no progress for longer than a sound run could.
    pub(crate) fn is_stalled(&self, now: Timestamp) -> bool {
        let RunPhase::Active { .. } = self.phase else {
            return false;
        };
        let since_start = now.since(self.ordered_at);
        let overdue = since_start > self.expected_run * STALLED_RUN_FACTOR || self.percent == 0;
        overdue
            && since_start > self.expected_run
            && now.since(self.progressed_at) >= STALLED_AFTER
    }
}
