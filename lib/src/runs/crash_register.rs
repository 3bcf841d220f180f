//! What an instance knows of the crashes of upstreams, its own and those that other owners report.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use super::crash_report::CrashReport;
use super::crash_report::CrashedRun;
use super::queue_suspension::QueueSuspension;
use super::run_id::RunId;
use super::run_id::TaskName;
use crate::time::Timestamp;

/// How long a crash is remembered. Callers whose job ended unfinished submit it again 1.3 s later, and
/// wait for up to some seconds.
const RETENTION: Duration = Duration::from_secs(60);

/// The maximum number of crashes that are remembered.
const MAX_REPORTS: usize = 1_024;

/// The maximum number of tasks whose crashes are remembered.
const MAX_TASKS: usize = 4_096;

/// The number of crashes after which a task is given up, where it ran alone at one of them.
const MAX_CRASHES: usize = 2;

/// The same for losses of which some may have been no crash.
const MAX_LOSSES: usize = 3;

/// The number of losses after which a task runs alone, although another run was newer at each.
const MAX_LOSSES_BESIDE_NEWER: usize = 2;

/// The age of a run up to which its start counts as the cause of its upstream's crash. Upstreams that
/// crash for another reason seldom have a run this young.
const CRASH_ON_START: Duration = Duration::from_millis(25);

/// The crashes of upstreams under each task.
#[derive(Debug, Default)]
pub(crate) struct CrashRegister {
    /// The reports by upstream, fence and newest run, in the order of their arrival.
    reports: IndexMap<(Arc<str>, u64, Option<RunId>), KnownCrash>,
    /// By task, in the order of the first crash.
    tasks: IndexMap<TaskName, TaskCrashes>,
    /// The crashes whose cause is known, by queue.
    pub(crate) suspension: QueueSuspension,
}

#[derive(Debug)]
struct KnownCrash {
    report: CrashReport,
    crashed_at: Timestamp,
}

/// The crashes at which a task was running.
#[derive(Debug)]
struct TaskCrashes {
    crashes: Vec<TaskCrash>,
    last_at: Timestamp,
}

/// A crash at which a task was running.
#[derive(Debug)]
struct TaskCrash {
    /// Whether the task's run was the only one on the upstream.
    was_alone: bool,
    /// Whether it was the one that had started last.
    was_newest: bool,
    /// Whether the upstream's process had surely ended.
    is_certain: bool,
}

impl CrashRegister {
    /// Records a crash, which may be reported more than once; `upstreams` is the number of upstreams
    /// of the same service.
    pub(crate) fn record(&mut self, now: Timestamp, report: &CrashReport, upstreams: usize) {
        self.tasks.retain(|_, task| task.last_at + RETENTION > now);
        self.reports
            .retain(|_, known| known.crashed_at + RETENTION > now);
        let newest = report.newest_run().map(|crashed| crashed.run);
        let name = (report.upstream.clone(), report.fence, newest);
        if report.ago >= RETENTION || self.reports.contains_key(&name) {
            return;
        }
        let crashed_at = Timestamp::ZERO + now.since(Timestamp::ZERO).saturating_sub(report.ago);
        let known = KnownCrash {
            report: report.clone(),
            crashed_at,
        };
        self.reports.insert(name, known);
        if self.reports.len() > MAX_REPORTS {
            self.reports.shift_remove_index(0);
        }
        for crashed in &report.runs {
            self.record_task(crashed_at, report, crashed);
        }
        if let Some(cause) = self.cause(report) {
            self.suspension
                .record(now, &cause.queue, crashed_at, upstreams);
        }
        while self.tasks.len() > MAX_TASKS {
            self.tasks.shift_remove_index(0);
        }
    }

    fn record_task(&mut self, crashed_at: Timestamp, report: &CrashReport, crashed: &CrashedRun) {
        let task = self
            .tasks
            .entry(crashed.run.task)
            .or_insert_with(|| TaskCrashes {
                crashes: Vec::new(),
                last_at: crashed_at,
            });
        task.last_at = task.last_at.max(crashed_at);
        task.crashes.push(TaskCrash {
            was_alone: report.runs.len() == 1,
            was_newest: report.newest_run() == Some(crashed),
            is_certain: report.is_certain,
        });
    }

    /// The run that caused a crash; none if that is not clear.
    fn cause<'a>(&self, report: &'a CrashReport) -> Option<&'a CrashedRun> {
        let newest = report.newest_run().filter(|_| report.is_certain)?;
        let is_cause = newest.age <= CRASH_ON_START || self.is_deadly(newest.run.task);
        is_cause.then_some(newest)
    }

    /// The crashes that are known at this time.
    pub(crate) fn reports(&self, now: Timestamp) -> Vec<CrashReport> {
        let reports = self.reports.values().map(|known| CrashReport {
            ago: now.since(known.crashed_at),
            ..known.report.clone()
        });
        reports.collect()
    }

    /// The number of crashes at which the task was running, with those that may have been none.
    pub(crate) fn crash_count(&self, task: TaskName) -> usize {
        self.crashes(task).len()
    }

    /// Whether the task may have caused a crash, so that its next run has to be alone: most tasks that
    /// crash their upstream do so as soon as they start.
    pub(crate) fn is_suspect(&self, task: TaskName) -> bool {
        let crashes = self.crashes(task);
        let is_likely = |crash: &TaskCrash| crash.is_certain && crash.was_newest;
        crashes.iter().any(is_likely) || crashes.len() >= MAX_LOSSES_BESIDE_NEWER
    }

    /// Whether the task crashes the upstreams that run it, so that it is not started again.
    pub(crate) fn is_deadly(&self, task: TaskName) -> bool {
        let crashes = self.crashes(task);
        let certain = crashes.iter().filter(|crash| crash.is_certain).count();
        let is_repeated = certain >= MAX_CRASHES || crashes.len() >= MAX_LOSSES;
        is_repeated && crashes.iter().any(|crash| crash.was_alone)
    }

    /// Whether the task is known to crash upstreams: the processes of at least two have surely ended. A loss
    /// with a silent upstream proves nothing, as its run may have ended as done.
    pub(crate) fn is_surely_deadly(&self, task: TaskName) -> bool {
        let crashes = self.crashes(task);
        let certain = crashes.iter().filter(|crash| crash.is_certain).count();
        self.is_deadly(task) && certain >= MAX_CRASHES
    }

    fn crashes(&self, task: TaskName) -> &[TaskCrash] {
        self.tasks.get(&task).map_or(&[], |task| &task.crashes)
    }
}
