//! The state of an upstream stand-in: its faults, running tasks and record of starts.

use std::sync::Arc;
use std::sync::Mutex;

use almondhead_net::unix_time_ms;
use async_channel::Receiver;
use async_channel::Sender;
use indexmap::IndexMap;

use super::faults::UpstreamFaults;
use super::messages::StartsReport;
use super::messages::TaskStarts;
use super::messages::UpstreamCounters;
use crate::locking::lock;

/// The state of a stand-in, shared by its handler and its handle.
pub(crate) struct UpstreamState {
    slots: usize,
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    faults: UpstreamFaults,
    counters: UpstreamCounters,
    tasks: IndexMap<String, TaskStarts>,
    running: Vec<RunningTask>,
    next_run: u64,
}

struct RunningTask {
    run: u64,
    task_id: String,
    stop: Sender<()>,
}

/// The decision whether a task starts.
pub(crate) enum Admission {
    /// The task started.
    Started(TaskRun),
    /// The task did not start.
    Refused,
}

/// A running task. Dropping it frees its slot.
pub(crate) struct TaskRun {
    state: Arc<UpstreamState>,
    run: u64,
    task_id: String,
    /// The faults that apply to this run.
    pub(crate) faults: UpstreamFaults,
    /// Receives a message when the task is to be stopped.
    pub(crate) stopped: Receiver<()>,
}

impl UpstreamState {
    pub(crate) fn new(slots: usize) -> Self {
        Self {
            slots,
            inner: Mutex::default(),
        }
    }

    /// Returns how long the next start is delayed.
    pub(crate) fn start_delay_ms(&self) -> u64 {
        lock(&self.inner).faults.start_delay_ms
    }

    pub(crate) fn set_faults(&self, faults: UpstreamFaults) {
        lock(&self.inner).faults = faults;
    }

    /// Starts a task and records the start, unless a fault or the limit of slots forbids it.
    pub(crate) fn admit(
        self: &Arc<Self>,
        task_id: &str,
        marker: String,
        traceparent: Option<String>,
    ) -> Admission {
        let mut inner = lock(&self.inner);
        inner.counters.requests += 1;
        let faults = inner.faults.take_for_task();
        if faults.refuse_all {
            inner.counters.refused += 1;
            return Admission::Refused;
        }
        if inner.running.len() >= self.slots {
            inner.counters.over_limit += 1;
            return Admission::Refused;
        }
        let (stop, stopped) = async_channel::bounded(1);
        let run = inner.start(task_id, stop);
        let task = inner.task(task_id);
        task.marker = marker;
        task.traceparent = traceparent;
        Admission::Started(TaskRun {
            state: Arc::clone(self),
            run,
            task_id: task_id.to_owned(),
            faults,
            stopped,
        })
    }

    /// Stops the running tasks among `task_ids`.
    pub(crate) fn stop(&self, task_ids: &[String]) {
        let mut inner = lock(&self.inner);
        inner.counters.stop_requests += 1;
        for task in &inner.running {
            if task_ids.contains(&task.task_id) {
                // If the channel is full, the task has already been told to stop.
                let _ = task.stop.try_send(());
            }
        }
    }

    pub(crate) fn count(&self, count: impl FnOnce(&mut UpstreamCounters)) {
        count(&mut lock(&self.inner).counters);
    }

    pub(crate) fn counters(&self) -> UpstreamCounters {
        lock(&self.inner).counters.clone()
    }

    pub(crate) fn report(&self) -> StartsReport {
        let inner = lock(&self.inner);
        StartsReport {
            tasks: inner.tasks.values().cloned().collect(),
            counters: inner.counters.clone(),
        }
    }
}

impl Inner {
    fn start(&mut self, task_id: &str, stop: Sender<()>) -> u64 {
        let run = self.next_run;
        self.next_run += 1;
        self.running.push(RunningTask {
            run,
            task_id: task_id.to_owned(),
            stop,
        });
        self.counters.running_peak = self.counters.running_peak.max(self.running.len() as u64);
        let task = self.task(task_id);
        task.starts += 1;
        task.last_started_at_ms = unix_time_ms();
        let repeated = task.starts > 1;
        self.counters.starts += 1;
        self.counters.repeated_starts += u64::from(repeated);
        run
    }

    fn task(&mut self, task_id: &str) -> &mut TaskStarts {
        self.tasks
            .entry(task_id.to_owned())
            .or_insert_with(|| TaskStarts {
                task_id: task_id.to_owned(),
                ..TaskStarts::default()
            })
    }
}

impl TaskRun {
    pub(crate) fn record_finish(&self) {
        lock(&self.state.inner).task(&self.task_id).finishes += 1;
    }

    pub(crate) fn record_stop(&self) {
        lock(&self.state.inner).task(&self.task_id).stops += 1;
    }
}

impl Drop for TaskRun {
    fn drop(&mut self) {
        let mut inner = lock(&self.state.inner);
        inner.running.retain(|task| task.run != self.run);
    }
}
