//! The state of a run on an upstream that this instance owns, and the predictions from its progress.
//!
//! Progress is judged by the upstream's clock alone: reports may wait on a slow link or while this
//! process is paused, and a run must not look slow because news of it is.

use std::sync::Arc;
use std::time::Duration;

use super::held_batch::TaskIndex;
use super::past_time::PastTime;
use super::resources::Resources;
use super::run_id::HeldBatchKey;
use super::run_id::OrderId;
use super::whole_ms::whole_ms;
use crate::id::Incarnation;
use crate::scaling::percent_of;
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
    /// What is known of its batch, once that or its task was dropped.
    pub(crate) dropped: Option<DroppedTask>,
    /// Whether its upstream has restarted since its start was ordered: although the next incarnation
    /// does not list it, it may have run in the one before.
    pub(crate) has_seen_restart: bool,
    /// Whether its start may take effect although the upstream's process has ended: an order without
    /// an answer may be held outside the process.
    pub(crate) may_start_late: bool,
    /// Whether nothing else may run on its upstream, because it may crash it.
    pub(crate) is_alone: bool,
    /// The name of its job's queue.
    pub(crate) queue: Arc<str>,
    /// The capacity that it takes up.
    pub(crate) resources: Resources,
    pub(crate) phase: RunPhase,
    pub(crate) ordered_at: Timestamp,
    /// How long it was expected to run on this upstream when it was ordered.
    pub(crate) expected_run_time: Duration,
    /// How long it is expected to run on an upstream of usual speed.
    pub(crate) usual_run_time: Duration,
    /// How much of its work is done, rounded down.
    pub(crate) percent: u8,
    /// The first progress known of it: none at its start, more if it was first heard of later.
    first_percent: u8,
    /// When that was, on the upstream's clock; none before its start is confirmed.
    first_clock_ms: Option<u64>,
    /// When its progress last changed, on the upstream's clock.
    progressed_clock_ms: u64,
    /// Its predicted run time on an upstream of usual speed; set when it is stopped as too slow.
    pub(crate) predicted_work: Option<Duration>,
}

/// What is kept of a run's task once it was dropped, until the run has ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DroppedTask {
    /// The home and the number of its batch.
    pub(crate) batch: (Incarnation, u64),
    /// The latest time as of which its home was known to want it; none if nothing is known.
    pub(crate) wanted_as_of: Option<PastTime>,
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
    /// It is not known whether the callers of its home still wait.
    #[display("outdated")]
    Outdated,
}

impl LeasedRun {
    /// A run that is ordered now, on an upstream of usual speed as far as is known.
    pub(crate) fn starting(
        task: (HeldBatchKey, TaskIndex),
        queue: Arc<str>,
        resources: Resources,
        usual_run_time: Duration,
        now: Timestamp,
    ) -> Self {
        LeasedRun {
            task: Some(task),
            dropped: None,
            has_seen_restart: false,
            may_start_late: false,
            is_alone: false,
            queue,
            resources,
            phase: RunPhase::Starting,
            ordered_at: now,
            expected_run_time: usual_run_time,
            usual_run_time,
            percent: 0,
            first_percent: 0,
            first_clock_ms: None,
            progressed_clock_ms: 0,
            predicted_work: None,
        }
    }

    /// Records that its start was answered when the upstream's clock showed `clock_ms`.
    pub(crate) fn record_start(&mut self, clock_ms: u64) {
        if self.first_clock_ms.is_none() {
            self.first_clock_ms = Some(clock_ms);
            self.progressed_clock_ms = clock_ms;
        }
    }

    /// Records that a report of this time on the upstream's clock lists it as running with this
    /// progress; `since_order` is the next order.
    pub(crate) fn record_progress(&mut self, clock_ms: u64, since_order: OrderId, percent: u8) {
        if self.first_clock_ms.is_none() {
            self.first_percent = percent;
            self.record_start(clock_ms);
        }
        if percent != self.percent {
            self.percent = percent;
            self.progressed_clock_ms = clock_ms;
        }
        if let RunPhase::Starting | RunPhase::Uncertain { .. } = self.phase {
            self.phase = RunPhase::Active { since_order };
        }
    }

    /// How long it has run at a time on the upstream's clock; zero before its start is confirmed.
    pub(crate) fn run_time_at(&self, clock_ms: u64) -> Duration {
        let first_ms = self.first_clock_ms.unwrap_or(clock_ms);
        Duration::from_millis(clock_ms.saturating_sub(first_ms))
    }

    /// Its whole run time if it ended at a time on the upstream's clock; none where its start was not
    /// confirmed.
    pub(crate) fn whole_run_time_at(&self, clock_ms: u64) -> Option<Duration> {
        let is_known = self.first_clock_ms.is_some() && self.first_percent == 0;
        is_known.then(|| self.run_time_at(clock_ms))
    }

    /// When it will end on the upstream's clock if it goes on as before; none while it has shown too
    /// little progress.
    pub(crate) fn predicted_end_ms(&self) -> Option<u64> {
        if self.percent < self.first_percent.saturating_add(MIN_PROGRESS_PERCENT) {
            return None;
        }
        let left_percent = 99_u32.saturating_sub(u32::from(self.percent));
        let left = percent_of(self.predicted_run_time(), left_percent);
        Some(self.progressed_clock_ms.saturating_add(whole_ms(left)))
    }

    /// Its whole run time if it goes on as before.
    pub(crate) fn predicted_run_time(&self) -> Duration {
        let elapsed = self.run_time_at(self.progressed_clock_ms);
        // The percentage is rounded down.
        elapsed.saturating_mul(100)
            / (u32::from(self.percent.saturating_sub(self.first_percent)) + 1)
    }

    /// Whether a report of this time on the upstream's clock shows that it runs so slowly that its
    /// upstream must have become slow, and that a retry elsewhere would end sooner.
    pub(crate) fn is_crawling(&self, clock_ms: u64) -> bool {
        let RunPhase::Active { .. } = self.phase else {
            return false;
        };
        let Some(end_ms) = self.predicted_end_ms() else {
            return false;
        };
        // Without progress since the last report it ends later still.
        let left = Duration::from_millis(end_ms.saturating_sub(clock_ms));
        let whole = self.predicted_run_time().max(self.run_time_at(clock_ms));
        whole > self.expected_run_time.saturating_mul(CRAWLING_FACTOR)
            && left > self.expected_run_time.saturating_add(MIN_RESTART_GAIN)
    }

    /// Whether a report of this time on the upstream's clock shows that it has made no progress for
    /// longer than a healthy run could.
    pub(crate) fn is_stalled(&self, clock_ms: u64) -> bool {
        let RunPhase::Active { .. } = self.phase else {
            return false;
        };
        let run_time = self.run_time_at(clock_ms);
        let ran_too_long = run_time > self.expected_run_time.saturating_mul(STALLED_RUN_FACTOR)
            || self.percent == 0;
        let unchanged_ms = clock_ms.saturating_sub(self.progressed_clock_ms);
        ran_too_long
            && run_time > self.expected_run_time
            && Duration::from_millis(unchanged_ms) >= STALLED_AFTER
    }
}
