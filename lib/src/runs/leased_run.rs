//! One run on an upstream that this instance owns.

use std::time::Duration;

use super::held_batch::TaskIndex;
use super::resources::Resources;
use super::run_id::HeldBatchKey;
use super::run_id::OrderId;
use crate::id::Incarnation;
use crate::time::Timestamp;

/// How often the expected run time may pass without progress before a run counts as stalled.
const STALLED_RUN_FACTOR: u32 = 3;

/// The shortest time without progress after which a run counts as stalled.
///
/// Reports come every 250 ms; two in a row must show the same.
const STALLED_AFTER: Duration = Duration::from_millis(400);

/// The progress from which a prediction is made: below it, rounding says as much as progress.
const LEAST_PROGRESS_PERCENT: u8 = 3;

/// How much longer than expected a run must take to say that its upstream has become slow:
/// declared run times are off by two fifths, so a run three times as long is rarely sound.
const CRAWLING_FACTOR: u32 = 3;

/// What a run must have left at least, beyond a new one's run time, to be started over elsewhere:
/// a stop takes up to 50 ms.
const CRAWLING_LEFT: Duration = Duration::from_millis(80);

/// A run that was ordered and has not ended.
#[derive(Clone, Debug)]
pub(crate) struct LeasedRun {
    /// The batch and the task that it is for; none once its home gave it up.
    pub(crate) task: Option<(HeldBatchKey, TaskIndex)>,
    /// The batch that it was for, once its home gave it up: the home and its number.
    pub(crate) dropped_from: Option<(Incarnation, u64)>,
    pub(crate) demand: Resources,
    pub(crate) phase: RunPhase,
    pub(crate) ordered_at: Timestamp,
    pub(crate) expected_run_time: Duration,
    pub(crate) percent: u8,
    pub(crate) progressed_at: Timestamp,
    /// What it would take at usual speed, when it was stopped for its progress.
    pub(crate) foreseen_work: Option<Duration>,
}

/// What is known of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunPhase {
    /// The start was ordered and is not answered.
    Starting,
    /// It runs.
    Active {
        /// The first order that was given after this was known.
        from: OrderId,
    },
    /// The start was not answered: it may run, and may start later.
    Uncertain {
        /// The first order that was given after the answer was given up.
        from: OrderId,
    },
    /// A stop was ordered.
    Stopping {
        /// Why.
        reason: StopReason,
        /// The first order that was given after the upstream had answered the stop.
        acknowledged: Option<OrderId>,
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
    /// Its upstream has become slow.
    #[display("crawling")]
    Crawling,
    /// It would end after its caller has left.
    #[display("too_long")]
    TooLong,
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
        demand: Resources,
        expected_run_time: Duration,
        now: Timestamp,
    ) -> Self {
        LeasedRun {
            task: Some(task),
            dropped_from: None,
            demand,
            phase: RunPhase::Starting,
            ordered_at: now,
            expected_run_time,
            percent: 0,
            progressed_at: now,
            foreseen_work: None,
        }
    }

    /// Takes in that it was listed as running.
    pub(crate) fn note_running(&mut self, now: Timestamp, from: OrderId, percent: u8) {
        if percent != self.percent {
            self.percent = percent;
            self.progressed_at = now;
        }
        if let RunPhase::Starting | RunPhase::Uncertain { .. } = self.phase {
            self.phase = RunPhase::Active { from };
        }
    }

    /// When it will end if it goes on as before; none before it shows progress.
    pub(crate) fn predicted_end(&self, now: Timestamp) -> Option<Timestamp> {
        if self.percent < LEAST_PROGRESS_PERCENT {
            return None;
        }
        // What has not progressed since the last report is later still.
        let at_least = self.ordered_at + self.predicted_run_time();
        Some(at_least.max(now))
    }

    /// How long it takes in all if it goes on as before.
    pub(crate) fn predicted_run_time(&self) -> Duration {
        let elapsed = self.progressed_at.since(self.ordered_at);
        // The percentage is rounded down.
        elapsed * 100 / (u32::from(self.percent) + 1)
    }

    /// Whether it goes so slowly that its upstream must have become slow.
    pub(crate) fn is_crawling(&self, now: Timestamp) -> bool {
        let RunPhase::Active { .. } = self.phase else {
            return false;
        };
        let Some(end) = self.predicted_end(now) else {
            return false;
        };
        let left = end.since(now);
        let whole = end.since(self.ordered_at);
        whole > self.expected_run_time * CRAWLING_FACTOR
            && left > self.expected_run_time + CRAWLING_LEFT
    }

    /// Whether it has made no progress for longer than a sound run could.
    pub(crate) fn is_stalled(&self, now: Timestamp) -> bool {
        let RunPhase::Active { .. } = self.phase else {
            return false;
        };
        let since_start = now.since(self.ordered_at);
        let overdue =
            since_start > self.expected_run_time * STALLED_RUN_FACTOR || self.percent == 0;
        overdue
            && since_start > self.expected_run_time
            && now.since(self.progressed_at) >= STALLED_AFTER
    }
}
