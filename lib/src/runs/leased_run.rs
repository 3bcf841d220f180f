//! The state of a run on an upstream that this instance owns, and the predictions from its progress.

use std::time::Duration;

use super::held_batch::TaskIndex;
use super::resources::Resources;
use super::run_id::HeldBatchKey;
use super::run_id::OrderId;
use crate::id::Incarnation;
use crate::time::Timestamp;

/// How many times its expected run time a run that has shown progress must have lasted to count as
/// stalled.
const STALLED_RUN_FACTOR: u32 = 3;

/// The minimum time without progress after which a run counts as stalled.
///
/// Reports come every 250 ms; two in a row must show the same progress.
const STALLED_AFTER: Duration = Duration::from_millis(400);

/// The minimum progress for a prediction: below it, rounding weighs as much as the progress itself.
const MIN_PROGRESS_PERCENT: u8 = 3;

/// How many times its expected run time a run must be predicted to take to count as crawling, which
/// means that its upstream has become slow. Declared run times are off by two fifths, so a run three
/// times as long is rarely due to its declaration.
const CRAWLING_FACTOR: u32 = 3;

/// The minimum time that a crawling run must have left beyond the expected time of a new run, for a
/// retry elsewhere to be worth it: a stop takes up to 50 ms.
const MIN_RESTART_GAIN: Duration = Duration::from_millis(80);

/// A run that was ordered and has no known end.
#[derive(Clone, Debug)]
pub(crate) struct LeasedRun {
    /// The batch and the task that it is for; none once the run is cancelled.
    pub(crate) task: Option<(HeldBatchKey, TaskIndex)>,
    /// The home and the number of its batch, once that was dropped.
    pub(crate) dropped_batch: Option<(Incarnation, u64)>,
    /// The capacity that it takes up.
    pub(crate) resources: Resources,
    pub(crate) phase: RunPhase,
    pub(crate) ordered_at: Timestamp,
    /// How long it is expected to run on this upstream.
    pub(crate) expected_run_time: Duration,
    /// How much of its work is done, rounded down.
    pub(crate) percent: u8,
    /// When its progress last changed.
    pub(crate) progressed_at: Timestamp,
    /// Its predicted run time on an upstream of usual speed; set when it is stopped as too slow.
    pub(crate) predicted_work: Option<Duration>,
}

/// What the owner knows of a run from the answers to its orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunPhase {
    /// The start was ordered and not answered yet.
    Starting,
    /// It runs.
    Active {
        /// The first order sent after this was known.
        since_order: OrderId,
    },
    /// The start stayed unanswered: the run may go on, may start later, or may never start.
    Uncertain {
        /// The first order sent after the answer was counted as lost.
        since_order: OrderId,
    },
    /// A stop was ordered.
    Stopping {
        /// Why.
        reason: StopReason,
        /// The first order sent after the upstream had confirmed the stop; none before that.
        acknowledged: Option<OrderId>,
    },
}

/// Why a run is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub(crate) enum StopReason {
    /// Its batch was dropped.
    #[display("cancelled")]
    Cancelled,
    /// It makes no progress; see [`LeasedRun::is_stalled`].
    #[display("stalled")]
    Stalled,
    /// It runs so slowly that its upstream must have become slow; see [`LeasedRun::is_crawling`].
    #[display("crawling")]
    Crawling,
    /// It is predicted to end after its job's deadline.
    #[display("too_long")]
    TooLong,
    /// Its start stayed unanswered and the upstream does not list it.
    #[display("uncertain")]
    Uncertain,
    /// No home has claimed it.
    #[display("unclaimed")]
    Unclaimed,
}

impl LeasedRun {
    pub(crate) fn starting(
        task: (HeldBatchKey, TaskIndex),
        resources: Resources,
        expected_run_time: Duration,
        now: Timestamp,
    ) -> Self {
        LeasedRun {
            task: Some(task),
            dropped_batch: None,
            resources,
            phase: RunPhase::Starting,
            ordered_at: now,
            expected_run_time,
            percent: 0,
            progressed_at: now,
            predicted_work: None,
        }
    }

    /// Records that a report lists it as running with this progress; `since_order` is the next order.
    pub(crate) fn record_progress(&mut self, now: Timestamp, since_order: OrderId, percent: u8) {
        if percent != self.percent {
            self.percent = percent;
            self.progressed_at = now;
        }
        if let RunPhase::Starting | RunPhase::Uncertain { .. } = self.phase {
            self.phase = RunPhase::Active { since_order };
        }
    }

    /// When it will end if it goes on as before; none while it has too little progress.
    pub(crate) fn predicted_end(&self, now: Timestamp) -> Option<Timestamp> {
        if self.percent < MIN_PROGRESS_PERCENT {
            return None;
        }
        // Without progress since the last report it ends later still.
        let at_least = self.ordered_at + self.predicted_run_time();
        Some(at_least.max(now))
    }

    /// Its whole run time if it goes on as before.
    pub(crate) fn predicted_run_time(&self) -> Duration {
        let elapsed = self.progressed_at.since(self.ordered_at);
        // The percentage is rounded down.
        elapsed * 100 / (u32::from(self.percent) + 1)
    }

    /// Whether it runs so slowly that its upstream must have become slow, and has enough left for a
    /// retry elsewhere to end sooner.
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
            && left > self.expected_run_time + MIN_RESTART_GAIN
    }

    /// Whether it has made no progress for longer than a healthy run could.
    pub(crate) fn is_stalled(&self, now: Timestamp) -> bool {
        let RunPhase::Active { .. } = self.phase else {
            return false;
        };
        let since_start = now.since(self.ordered_at);
        let ran_too_long =
            since_start > self.expected_run_time * STALLED_RUN_FACTOR || self.percent == 0;
        ran_too_long
            && since_start > self.expected_run_time
            && now.since(self.progressed_at) >= STALLED_AFTER
    }
}
