//! What an instance knows of the crashes of upstreams, its own and those that other owners report.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use super::crash_report::CrashReport;
use super::run_id::TaskName;
use crate::time::Timestamp;

/// How long a task's crashes are remembered after the latest one. Callers whose job ended unfinished
/// submit it again 1.3 s later, and wait for up to some seconds.
const TASK_RETENTION: Duration = Duration::from_secs(60);

/// The maximum number of tasks whose crashes are remembered.
const MAX_TASKS: usize = 4_096;

/// The crashes of upstreams under each task.
#[derive(Debug, Default)]
pub(crate) struct CrashRegister {
    /// By task, in the order of the first crash.
    tasks: IndexMap<TaskName, TaskCrashes>,
}

/// The crashes at which a task was running.
#[derive(Debug)]
struct TaskCrashes {
    /// The upstream and the fence of each.
    crashes: Vec<(Arc<str>, u64)>,
    last_at: Timestamp,
}

impl CrashRegister {
    /// Records a crash, which may be reported more than once.
    pub(crate) fn record(&mut self, now: Timestamp, report: &CrashReport) {
        self.tasks
            .retain(|_, task| task.last_at + TASK_RETENTION > now);
        for crashed in &report.runs {
            let task = self
                .tasks
                .entry(crashed.run.task)
                .or_insert_with(|| TaskCrashes {
                    crashes: Vec::new(),
                    last_at: now,
                });
            task.last_at = now;
            let crash = (report.upstream.clone(), report.fence);
            if !task.crashes.contains(&crash) {
                task.crashes.push(crash);
            }
        }
        while self.tasks.len() > MAX_TASKS {
            self.tasks.shift_remove_index(0);
        }
    }

    /// The number of crashes at which the task was running.
    pub(crate) fn crash_count(&self, task: TaskName) -> usize {
        self.tasks.get(&task).map_or(0, |task| task.crashes.len())
    }
}
