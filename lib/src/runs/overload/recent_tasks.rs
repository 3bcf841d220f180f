//! The recent tasks of one service and priority.

use std::time::Duration;

use crate::time::Timestamp;

/// Over what time tasks are averaged.
const AVERAGED_TIME: Duration = Duration::from_secs(2);

/// From this age on, tasks no longer count: their weight is below a ten-thousandth.
const MAX_AGE: Duration = AVERAGED_TIME.saturating_mul(10);

/// Tasks of one service and priority; a task counts less the longer ago it was seen.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RecentTasks {
    /// Their work, in milliseconds of one core.
    core_ms: f64,
    /// Their number.
    tasks: f64,
    /// The sum of their demands, in thousandths of a core.
    sum_millicores: f64,
    updated_at: Timestamp,
}

impl RecentTasks {
    pub(crate) fn new(now: Timestamp) -> Self {
        RecentTasks {
            core_ms: 0.0,
            tasks: 0.0,
            sum_millicores: 0.0,
            updated_at: now,
        }
    }

    pub(crate) fn record(&mut self, now: Timestamp, millicores: u32, core_ms: u64) {
        let weight = self.weight(now);
        self.core_ms = self.core_ms * weight + core_ms as f64;
        self.tasks = self.tasks * weight + 1.0;
        self.sum_millicores = self.sum_millicores * weight + f64::from(millicores);
        self.updated_at = now;
    }

    /// Their work now, in milliseconds of one core.
    pub(crate) fn core_ms(&self, now: Timestamp) -> f64 {
        self.core_ms * self.weight(now)
    }

    /// Their number now, and the sum of their demands, in thousandths of a core.
    pub(crate) fn count_and_demand(&self, now: Timestamp) -> (f64, f64) {
        let weight = self.weight(now);
        (self.tasks * weight, self.sum_millicores * weight)
    }

    /// The average of the capacity that they demand, in thousandths of a core.
    pub(crate) fn average_millicores(&self, now: Timestamp) -> f64 {
        self.core_ms(now) * 1_000.0 / AVERAGED_TIME.as_millis() as f64
    }

    /// Whether the last task is so old that none counts any more.
    pub(crate) fn is_expired(&self, now: Timestamp) -> bool {
        now.since(self.updated_at) >= MAX_AGE
    }

    /// What the sums of the last update still count.
    fn weight(&self, now: Timestamp) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64();
        (-age / AVERAGED_TIME.as_secs_f64()).exp()
    }
}
