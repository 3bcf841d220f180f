//! The quota of one team at one entry instance.

use std::time::Duration;

use crate::admission::Refusal;
use crate::outcome::NotRunReason;
use crate::time::Timestamp;

/// The time whose tasks a full bucket holds, in microseconds.
const BURST_US: u64 = 1_000_000;

/// The parts of a task in which the bucket counts.
///
/// One task a second fills one part a microsecond, so that all sums are exact.
const PARTS_PER_TASK: i64 = 1_000_000;

/// The time to wait when the team may submit nothing, until the document changes.
const NO_RATE_WAIT: Duration = Duration::from_secs(60);

/// The shortest time that a refusal for open tasks asks to wait.
const MIN_DRAIN_WAIT: Duration = Duration::from_millis(50);

/// The time to wait for open tasks to end before any rate of ends is known.
const DEFAULT_DRAIN_WAIT: Duration = Duration::from_millis(500);

/// The time over which ends are counted for their rate.
const DRAIN_WINDOW: Duration = Duration::from_secs(1);

/// A bound on a team's open tasks and on its rate of submission.
///
/// The rate is a token bucket that holds a second's worth of tasks. A job larger than the bucket
/// is admitted when it is full, and takes it below zero; a job larger than the bound on open tasks
/// is admitted when the team has none. So no job is refused for ever.
#[derive(Clone, Copy, Debug)]
pub struct TeamQuota {
    max_open_tasks: u32,
    max_tasks_per_second: u32,
    open_tasks: u32,
    level_parts: i64,
    filled_at: Timestamp,
    ended_tasks: u32,
    counted_from: Timestamp,
    ends_per_second: u32,
}

impl TeamQuota {
    /// A quota with nothing used.
    pub fn new(max_open_tasks: u32, max_tasks_per_second: u32) -> Self {
        let mut quota = TeamQuota {
            max_open_tasks,
            max_tasks_per_second,
            open_tasks: 0,
            level_parts: 0,
            filled_at: Timestamp::ZERO,
            ended_tasks: 0,
            counted_from: Timestamp::ZERO,
            ends_per_second: 0,
        };
        quota.level_parts = quota.full_parts();
        quota
    }

    /// Sets new bounds and keeps what is used.
    pub fn set_bounds(&mut self, max_open_tasks: u32, max_tasks_per_second: u32) {
        self.max_open_tasks = max_open_tasks;
        self.max_tasks_per_second = max_tasks_per_second;
        self.level_parts = self.level_parts.min(self.full_parts());
    }

    /// Counts a job of `tasks` tasks, if the quota allows it.
    ///
    /// # Errors
    ///
    /// The refusal to answer with, whose time is when the quota allows the job.
    pub fn admit(&mut self, now: Timestamp, tasks: u32) -> Result<(), Refusal> {
        self.fill(now);
        self.count_ends(now);
        self.check_open(tasks)?;
        self.check_rate(tasks)?;
        self.level_parts -= parts(tasks);
        self.open_tasks = self.open_tasks.saturating_add(tasks);
        Ok(())
    }

    /// Counts `tasks` that ended or will never start.
    pub fn on_task_ended(&mut self, tasks: u32) {
        self.open_tasks = self.open_tasks.saturating_sub(tasks);
        self.ended_tasks = self.ended_tasks.saturating_add(tasks);
    }

    /// The tasks that are queued or run.
    pub fn open_tasks(&self) -> u32 {
        self.open_tasks
    }

    fn check_open(&self, tasks: u32) -> Result<(), Refusal> {
        let open = self.open_tasks.saturating_add(tasks);
        if open <= self.max_open_tasks || self.open_tasks == 0 {
            return Ok(());
        }
        let excess = (open - self.max_open_tasks).min(self.open_tasks);
        let wait = match self.ends_per_second {
            0 => DEFAULT_DRAIN_WAIT,
            rate => Duration::from_secs_f64(f64::from(excess) / f64::from(rate)),
        };
        Err(used_up(wait.max(MIN_DRAIN_WAIT)))
    }

    fn check_rate(&self, tasks: u32) -> Result<(), Refusal> {
        let needed_parts = parts(tasks).min(self.full_parts());
        let missing_parts = needed_parts - self.level_parts;
        if missing_parts <= 0 && self.max_tasks_per_second > 0 {
            return Ok(());
        }
        let wait = match u64::from(self.max_tasks_per_second) {
            0 => NO_RATE_WAIT,
            rate => Duration::from_micros(missing_parts.unsigned_abs().div_ceil(rate)),
        };
        Err(used_up(wait))
    }

    /// The bucket when full; it always holds one task.
    fn full_parts(&self) -> i64 {
        let burst_parts = u64::from(self.max_tasks_per_second) * BURST_US;
        i64::try_from(burst_parts)
            .unwrap_or(i64::MAX)
            .max(PARTS_PER_TASK)
    }

    fn fill(&mut self, now: Timestamp) {
        let elapsed_us = now.since(self.filled_at).as_micros();
        let elapsed_us = i64::try_from(elapsed_us).unwrap_or(i64::MAX);
        let added_parts = elapsed_us.saturating_mul(i64::from(self.max_tasks_per_second));
        let level_parts = self.level_parts.saturating_add(added_parts);
        self.level_parts = level_parts.min(self.full_parts());
        self.filled_at = self.filled_at.max(now);
    }

    fn count_ends(&mut self, now: Timestamp) {
        let elapsed = now.since(self.counted_from);
        if elapsed < DRAIN_WINDOW {
            return;
        }
        self.ends_per_second = (f64::from(self.ended_tasks) / elapsed.as_secs_f64()) as u32;
        self.ended_tasks = 0;
        self.counted_from = now;
    }
}

fn parts(tasks: u32) -> i64 {
    i64::from(tasks) * PARTS_PER_TASK
}

fn used_up(wait: Duration) -> Refusal {
    Refusal {
        reason: NotRunReason::QuotaUsedUp,
        retry_after: wait.max(Duration::from_micros(1)),
    }
}
