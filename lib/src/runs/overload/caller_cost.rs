//! The ranking of queued tasks by what their delay costs callers.

use std::time::Duration;

use crate::runs::held_queue::QueueRank;
use crate::runs::held_queue::QueueRanking;
use crate::runs::held_queue::QueuedTask;
use crate::time::Timestamp;

/// How much earlier a task counts as due than one of the next priority: a task is overtaken by those
/// of an earlier priority only if they are accepted within this time for each priority between them.
const HEAD_START: Duration = Duration::from_millis(1_000);

/// The largest difference of priorities that counts, so that the bound on overtaking holds for any
/// value in the intended state.
const MAX_STEPS: u32 = 4;

/// The head start that a task of the first priority has over one of this priority.
pub(crate) fn handicap(priority: u32) -> Duration {
    HEAD_START * priority.min(MAX_STEPS)
}

/// Ranks tasks by least slack, with a head start for earlier priorities; tasks that can no longer meet
/// their objective follow, those with the least work first.
///
/// A rank depends on what the batches of a job carry to all of its owners, and on whether the job has
/// begun, which its owners learn within a message.
#[derive(Debug, Default)]
pub(crate) struct CallerCost;

impl QueueRanking for CallerCost {
    fn rank(&self, now: Timestamp, task: &QueuedTask) -> QueueRank {
        let now_us = i64::try_from(now.as_us()).unwrap_or(i64::MAX);
        let start_by_us = task.objective_at_us.saturating_sub(task.expected_run_us);
        let is_late = !task.has_begun && start_by_us < now_us;
        let work = match is_late {
            true => i64::try_from(task.core_ms).unwrap_or(i64::MAX),
            false => 0,
        };
        let handicap_us = handicap(task.priority).as_micros();
        let handicap_us = i64::try_from(handicap_us).unwrap_or(i64::MAX);
        let by_us = start_by_us.saturating_add(handicap_us);
        QueueRank::new(u8::from(is_late), work, by_us, task.priority)
    }
}
