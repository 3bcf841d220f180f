//! Tasks that an owner holds for a home.

use std::sync::Arc;
use std::time::Duration;

use super::run_id::JobId;
use super::run_id::LeasedUpstreamKey;
use super::run_id::RunId;
use super::run_id::TaskName;
use super::run_message::PlacedTask;
use super::run_message::RunBatch;
use super::run_message::StepDemand;
use super::run_message::TaskEnd;
use super::upstream_choice::PlacementRequest;
use super::whole_ms::whole_ms;
use crate::id::Incarnation;
use crate::time::Timestamp;

/// The place of a task in its batch.
pub(crate) type TaskIndex = usize;

/// Tasks of one job that an owner holds for its home.
#[derive(Debug)]
pub(crate) struct HeldBatch {
    pub(crate) home: Incarnation,
    pub(crate) number: u64,
    pub(crate) job: JobId,
    pub(crate) service: Arc<str>,
    pub(crate) spec: Arc<str>,
    pub(crate) priority: u32,
    pub(crate) objective_at_us: i64,
    pub(crate) deadline: Timestamp,
    pub(crate) taken_at: Timestamp,
    pub(crate) demands: Vec<StepDemand>,
    pub(crate) tasks: Vec<HeldTask>,
    pub(crate) open_tasks: usize,
    /// Whether a task of the job runs or has run, as far as is known here.
    pub(crate) has_begun: bool,
    pub(crate) unreported: Vec<TaskEnd>,
    pub(crate) done_runs: Vec<DoneRun>,
}

/// A run of a batch that is done.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DoneRun {
    pub(crate) step: u32,
    pub(crate) on: LeasedUpstreamKey,
    pub(crate) took: Duration,
}

/// One task of a batch.
#[derive(Debug)]
pub(crate) struct HeldTask {
    pub(crate) placed: PlacedTask,
    /// Its place in the batch's demands.
    pub(crate) demand: usize,
    pub(crate) state: HeldState,
}

/// Where a held task is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeldState {
    /// It waits for room.
    Queued,
    /// It is ordered or runs.
    Running(LeasedUpstreamKey),
    /// It has ended.
    Ended,
}

impl HeldBatch {
    /// The batch of a message; none when a task names a step without a demand.
    pub(crate) fn new(home: Incarnation, batch: RunBatch, now: Timestamp) -> Option<Self> {
        let mut tasks = Vec::with_capacity(batch.tasks.len());
        for placed in batch.tasks {
            let of_step = |demand: &StepDemand| demand.step == placed.step;
            let demand = batch.demands.iter().position(of_step)?;
            tasks.push(HeldTask {
                placed,
                demand,
                state: HeldState::Queued,
            });
        }
        let now_us = i64::try_from(now.as_us()).unwrap_or(i64::MAX);
        Some(HeldBatch {
            home,
            number: batch.number,
            job: batch.job,
            service: batch.service,
            spec: batch.spec,
            priority: batch.priority,
            objective_at_us: now_us.saturating_add(batch.objective_left_us),
            deadline: now + batch.deadline_left,
            taken_at: now,
            demands: batch.demands,
            open_tasks: tasks.len(),
            tasks,
            has_begun: batch.has_begun,
            unreported: Vec::new(),
            done_runs: Vec::new(),
        })
    }

    /// The run of a task.
    pub(crate) fn run(&self, task: TaskIndex) -> RunId {
        run_of(self.job, &self.tasks[task].placed)
    }

    /// How long a task is expected to run on an upstream of usual speed.
    pub(crate) fn expected_run_time(&self, task: TaskIndex) -> Duration {
        let known = self.tasks[task].placed.known_run_time;
        known.unwrap_or(self.demand(task).expected_run_time)
    }

    /// A task as one that looks for an upstream.
    pub(crate) fn placement_request(&self, now: Timestamp, task: TaskIndex) -> PlacementRequest {
        PlacementRequest {
            expected_run_time: self.expected_run_time(task),
            is_run_time_known: self.tasks[task].placed.known_run_time.is_some(),
            objective_left: self.objective_left(now),
            deadline_left: self.deadline.since(now),
        }
    }

    /// What a task needs.
    pub(crate) fn demand(&self, task: TaskIndex) -> &StepDemand {
        &self.demands[self.tasks[task].demand]
    }

    /// The latest time at which a task may start and still end before its caller leaves.
    pub(crate) fn start_by(&self, task: TaskIndex) -> Timestamp {
        let left = self.deadline.since(Timestamp::ZERO);
        let share = match self.tasks[task].placed.known_run_time {
            Some(_) => MIN_KNOWN_RUN_TIME_SHARE,
            None => MIN_RUN_TIME_SHARE,
        };
        let least = self.expected_run_time(task).mul_f64(share);
        Timestamp::ZERO + left.saturating_sub(least)
    }

    /// How long a task waits for room: to the time by which its job is to end, or, where the job
    /// has begun, as long as the task can end before its caller leaves.
    ///
    /// Upstreams do as much work whichever tasks wait. Jobs that wait longer keep others waiting
    /// beyond their objectives too; refused, their callers know sooner and may come back.
    pub(crate) fn waits_until(&self, task: TaskIndex) -> Timestamp {
        let start_by = self.start_by(task);
        match self.has_begun {
            true => start_by,
            false => start_by.min(self.objective_at()),
        }
    }

    /// How long until the job is to end, zero once that has passed.
    pub(crate) fn objective_left(&self, now: Timestamp) -> Duration {
        let now_us = i64::try_from(now.as_us()).unwrap_or(i64::MAX);
        let left_us = self.objective_at_us.saturating_sub(now_us);
        Duration::from_micros(u64::try_from(left_us).unwrap_or(0))
    }

    /// When the job is to end.
    fn objective_at(&self) -> Timestamp {
        let at_us = u64::try_from(self.objective_at_us).unwrap_or(0);
        Timestamp::ZERO + Duration::from_micros(at_us)
    }

    /// The expected work of a task in milliseconds of one core.
    pub(crate) fn core_ms(&self, task: TaskIndex) -> u64 {
        let demand = self.demand(task);
        core_ms(demand.demand.cpu_millicores, self.expected_run_time(task))
    }
}

/// The share of its expected run time that a task needs at the least: upstreams run up to a
/// quarter faster than the usual one, and a declared time may be twice the true one.
pub(crate) const MIN_RUN_TIME_SHARE: f64 = 0.4;

/// The share of a known run time that a task needs at the least.
pub(crate) const MIN_KNOWN_RUN_TIME_SHARE: f64 = 0.78;

/// The work of a task in milliseconds of one core.
pub(crate) fn core_ms(cpu_millicores: u32, run: Duration) -> u64 {
    u64::from(cpu_millicores).saturating_mul(whole_ms(run)) / 1_000
}

/// The run of a placed task.
pub(crate) fn run_of(job: JobId, placed: &PlacedTask) -> RunId {
    RunId {
        task: TaskName {
            job,
            occurrence: 0,
            step: placed.step,
            index: placed.index,
        },
        run: placed.run,
    }
}
