//! When a queue is suspended because its tasks crash too many upstreams: it takes no new jobs, and its
//! tasks that may crash upstreams do not start.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use crate::time::Timestamp;

/// How long a crashed upstream is away: it starts again after some seconds, and is listed one
/// heartbeat later.
pub(crate) const AWAY_TIME: Duration = Duration::from_secs(4);

/// The part of a service's upstreams, as a divisor, that the tasks of one queue may take away at a
/// time.
const AWAY_DIVISOR: usize = 5;

/// The least number of upstreams that they may take away.
const MIN_AWAY: usize = 2;

/// The recent crashes that tasks of each queue caused.
#[derive(Debug, Default)]
pub(crate) struct QueueSuspension {
    queues: IndexMap<Arc<str>, QueueCrashes>,
}

/// The recent crashes that tasks of one queue caused.
#[derive(Debug, Default)]
struct QueueCrashes {
    /// When, in ascending order.
    times: Vec<Timestamp>,
    /// How many upstreams its tasks may take away at a time.
    max_away: usize,
}

impl QueueSuspension {
    /// Records a crash that a task of the queue caused; `upstreams` is the number of upstreams that
    /// its tasks run on.
    pub(crate) fn record(
        &mut self,
        now: Timestamp,
        queue: &Arc<str>,
        crashed_at: Timestamp,
        upstreams: usize,
    ) {
        self.queues.retain(|_, crashes| {
            crashes.times.retain(|at| *at + AWAY_TIME > now);
            !crashes.times.is_empty()
        });
        if crashed_at + AWAY_TIME > now {
            let crashes = self.queues.entry(queue.clone()).or_default();
            crashes.times.push(crashed_at);
            crashes.times.sort_unstable();
            crashes.max_away = (upstreams / AWAY_DIVISOR).max(MIN_AWAY);
        }
    }

    /// How long the queue is suspended; none if it is not.
    pub(crate) fn remaining(&self, now: Timestamp, queue: &str) -> Option<Duration> {
        let crashes = self.queues.get(queue)?;
        // It goes on when fewer than the maximum are away.
        let last = crashes.times.len().checked_sub(crashes.max_away)?;
        let until = crashes.times[last] + AWAY_TIME;
        (until > now).then(|| until.since(now))
    }
}
