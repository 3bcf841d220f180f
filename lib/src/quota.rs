//! The quota of one team at one entry instance: a limit on open tasks and a rate limit.

use std::time::Duration;

use crate::admission::Refusal;
use crate::outcome::NotRunReason;
use crate::scaling::from_seconds;
use crate::time::Timestamp;

/// The capacity of the token bucket, as the time in which it fills, in microseconds.
const BURST_US: u64 = 1_000_000;

/// The cost of one task; the bucket counts in microtokens.
///
/// A rate of one task per second adds one microtoken per microsecond, so all sums are exact.
const MICROTOKENS_PER_TASK: i64 = 1_000_000;

/// The retry time of a team whose rate is zero; it can submit only after the document changes.
const ZERO_RATE_RETRY: Duration = Duration::from_secs(60);

/// The minimum retry time of a refusal for too many open tasks.
const MIN_OPEN_TASKS_RETRY: Duration = Duration::from_millis(50);

/// The retry time of a refusal for too many open tasks while no end rate is known.
const DEFAULT_OPEN_TASKS_RETRY: Duration = Duration::from_millis(500);

/// The minimum time over which ended tasks are counted to measure their rate.
const MIN_END_RATE_WINDOW: Duration = Duration::from_secs(1);

/// The limits on a team's open tasks and on its rate of submission, and how much of them is used.
///
/// The rate limit is a token bucket that holds one second of tasks. A job larger than the bucket is
/// admitted while the bucket is full, and takes its level below zero; a job larger than the limit
/// on open tasks is admitted while the team has none. Otherwise such jobs would never be admitted.
#[derive(Clone, Copy, Debug)]
pub struct TeamQuota {
    max_open_tasks: u32,
    max_tasks_per_second: u32,
    open_tasks: u32,
    level_microtokens: i64,
    refilled_at: Timestamp,
    window_ended_tasks: u32,
    window_start: Timestamp,
    ended_tasks_per_second: u32,
}

impl TeamQuota {
    /// Creates a quota with a full bucket and no open tasks.
    pub fn new(max_open_tasks: u32, max_tasks_per_second: u32) -> Self {
        let mut quota = TeamQuota {
            max_open_tasks,
            max_tasks_per_second,
            open_tasks: 0,
            level_microtokens: 0,
            refilled_at: Timestamp::ZERO,
            window_ended_tasks: 0,
            window_start: Timestamp::ZERO,
            ended_tasks_per_second: 0,
        };
        quota.level_microtokens = quota.capacity_microtokens();
        quota
    }

    /// Sets new limits; keeps the open tasks and the level of the bucket, up to its new capacity.
    pub fn set_limits(&mut self, max_open_tasks: u32, max_tasks_per_second: u32) {
        self.max_open_tasks = max_open_tasks;
        self.max_tasks_per_second = max_tasks_per_second;
        self.level_microtokens = self.level_microtokens.min(self.capacity_microtokens());
    }

    /// Admits a job of `tasks` tasks if both limits allow it, and counts its tasks as used.
    ///
    /// # Errors
    ///
    /// The refusal to answer with; its `retry_after` is the time until the quota allows the job.
    pub fn admit(&mut self, now: Timestamp, tasks: u32) -> Result<(), Refusal> {
        self.refill(now);
        self.update_end_rate(now);
        self.check_open(tasks)?;
        self.check_rate(tasks)?;
        self.level_microtokens -= microtokens(tasks);
        self.open_tasks = self.open_tasks.saturating_add(tasks);
        Ok(())
    }

    /// Records that `tasks` open tasks ended or will never start.
    pub fn on_task_ended(&mut self, tasks: u32) {
        self.open_tasks = self.open_tasks.saturating_sub(tasks);
        self.window_ended_tasks = self.window_ended_tasks.saturating_add(tasks);
    }

    /// The number of tasks that are queued or running.
    pub fn open_tasks(&self) -> u32 {
        self.open_tasks
    }

    fn check_open(&self, tasks: u32) -> Result<(), Refusal> {
        let open_tasks = self.open_tasks.saturating_add(tasks);
        if open_tasks <= self.max_open_tasks || self.open_tasks == 0 {
            return Ok(());
        }
        let excess = (open_tasks - self.max_open_tasks).min(self.open_tasks);
        let wait = match self.ended_tasks_per_second {
            0 => DEFAULT_OPEN_TASKS_RETRY,
            rate => from_seconds(f64::from(excess) / f64::from(rate)),
        };
        Err(quota_used_up(wait.max(MIN_OPEN_TASKS_RETRY)))
    }

    fn check_rate(&self, tasks: u32) -> Result<(), Refusal> {
        let needed_microtokens = microtokens(tasks).min(self.capacity_microtokens());
        let missing_microtokens = needed_microtokens - self.level_microtokens;
        if missing_microtokens <= 0 && self.max_tasks_per_second > 0 {
            return Ok(());
        }
        let wait = match u64::from(self.max_tasks_per_second) {
            0 => ZERO_RATE_RETRY,
            rate => Duration::from_micros(missing_microtokens.unsigned_abs().div_ceil(rate)),
        };
        Err(quota_used_up(wait))
    }

    /// The level of the full bucket; always enough for at least one task.
    fn capacity_microtokens(&self) -> i64 {
        let burst_microtokens = u64::from(self.max_tasks_per_second) * BURST_US;
        i64::try_from(burst_microtokens)
            .unwrap_or(i64::MAX)
            .max(MICROTOKENS_PER_TASK)
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed_us = now.since(self.refilled_at).as_micros();
        let elapsed_us = i64::try_from(elapsed_us).unwrap_or(i64::MAX);
        let added_microtokens = elapsed_us.saturating_mul(i64::from(self.max_tasks_per_second));
        let level_microtokens = self.level_microtokens.saturating_add(added_microtokens);
        self.level_microtokens = level_microtokens.min(self.capacity_microtokens());
        self.refilled_at = self.refilled_at.max(now);
    }

    fn update_end_rate(&mut self, now: Timestamp) {
        let elapsed = now.since(self.window_start);
        if elapsed < MIN_END_RATE_WINDOW {
            return;
        }
        self.ended_tasks_per_second =
            (f64::from(self.window_ended_tasks) / elapsed.as_secs_f64()) as u32;
        self.window_ended_tasks = 0;
        self.window_start = now;
    }
}

fn microtokens(tasks: u32) -> i64 {
    i64::from(tasks) * MICROTOKENS_PER_TASK
}

fn quota_used_up(wait: Duration) -> Refusal {
    Refusal {
        reason: NotRunReason::QuotaUsedUp,
        retry_after: wait.max(Duration::from_micros(1)),
    }
}
