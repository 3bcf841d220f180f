//! A batch of tasks that an owner holds for a home, until each has ended.

use std::sync::Arc;
use std::time::Duration;

use super::past_time::PastTime;
use super::run_id::JobId;
use super::run_id::LeasedUpstreamKey;
use super::run_id::RunId;
use super::run_id::TaskName;
use super::run_message::EndedRun;
use super::run_message::PlacedTask;
use super::run_message::RunBatch;
use super::run_message::StepDemand;
use super::upstream_choice::PlacementRequest;
use super::whole_ms::whole_ms;
use crate::id::Incarnation;
use crate::scaling::scaled;
use crate::time::Timestamp;

/// The index of a task in its batch.
pub(crate) type TaskIndex = usize;

/// Tasks of one job that an owner holds for its home.
#[derive(Debug)]
pub(crate) struct HeldBatch {
    pub(crate) home: Incarnation,
    /// The instance that delegated its job; the home if that has callers of its own.
    pub(crate) delegated_by: Incarnation,
    /// The time of which the message with the batch shows that the callers of its job waited; none if it shows
    /// none.
    pub(crate) requested_as_of: Option<PastTime>,
    /// The home's number of the batch.
    pub(crate) number: u64,
    pub(crate) job: JobId,
    pub(crate) service: Arc<str>,
    /// The name of the job's queue.
    pub(crate) queue: Arc<str>,
    /// The job's text, sent with each start.
    pub(crate) payload: Arc<str>,
    /// The rank of the job's queue, zero first.
    pub(crate) priority: u32,
    /// When the job is to end, in microseconds on this instance's clock; negative before its zero.
    pub(crate) objective_at_us: i64,
    /// When the job's caller leaves.
    pub(crate) deadline: Timestamp,
    pub(crate) accepted_at: Timestamp,
    pub(crate) demands: Vec<StepDemand>,
    pub(crate) tasks: Vec<HeldTask>,
    /// The number of tasks without a known end.
    pub(crate) open_tasks: usize,
    /// Whether a task of the job runs or has run, as known here so far.
    pub(crate) has_begun: bool,
    /// Ends that the home was not notified of yet.
    pub(crate) unreported: Vec<EndedRun>,
    pub(crate) done_runs: Vec<DoneRun>,
}

/// A done run of a batch, as a sample of its upstream's speed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DoneRun {
    pub(crate) step: u32,
    pub(crate) upstream_key: LeasedUpstreamKey,
    /// Its run time.
    pub(crate) took: Duration,
}

/// One task of a batch.
#[derive(Debug)]
pub(crate) struct HeldTask {
    pub(crate) placed: PlacedTask,
    /// The index of its step's demand in the batch's demands.
    pub(crate) demand_index: usize,
    pub(crate) state: HeldState,
}

/// The state of a held task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeldState {
    /// It waits for free capacity.
    Queued,
    /// Its start is ordered, or it runs, on this upstream.
    Running(LeasedUpstreamKey),
    /// It has ended, or is refused.
    Ended,
}

impl HeldBatch {
    /// A batch that arrived now; none when a task names a step without a demand.
    pub(crate) fn new(
        home: Incarnation,
        batch: RunBatch,
        requested_as_of: Option<PastTime>,
        now: Timestamp,
    ) -> Option<Self> {
        let mut tasks = Vec::with_capacity(batch.tasks.len());
        for placed in batch.tasks {
            let of_step = |demand: &StepDemand| demand.step == placed.step;
            let demand_index = batch.demands.iter().position(of_step)?;
            tasks.push(HeldTask {
                placed,
                demand_index,
                state: HeldState::Queued,
            });
        }
        let now_us = i64::try_from(now.as_us()).unwrap_or(i64::MAX);
        Some(HeldBatch {
            home,
            delegated_by: batch
                .delegated_by
                .map_or(home, |delegator| delegator.incarnation),
            requested_as_of,
            number: batch.number,
            job: batch.job,
            service: batch.service,
            queue: batch.queue,
            payload: batch.payload,
            priority: batch.priority,
            objective_at_us: now_us.saturating_add(batch.objective_left_us),
            deadline: now + batch.deadline_left,
            accepted_at: now,
            demands: batch.demands,
            open_tasks: tasks.len(),
            tasks,
            has_begun: batch.has_begun,
            unreported: Vec::new(),
            done_runs: Vec::new(),
        })
    }

    /// The id of a task's run.
    pub(crate) fn run(&self, task: TaskIndex) -> RunId {
        run_of(self.job, &self.tasks[task].placed)
    }

    /// The expected run time of a task on an upstream of usual speed.
    pub(crate) fn expected_run_time(&self, task: TaskIndex) -> Duration {
        let known = self.tasks[task].placed.known_run_time;
        known.unwrap_or(self.step_demand(task).expected_run_time)
    }

    /// What the choice of an upstream for a task depends on.
    pub(crate) fn placement_request(&self, now: Timestamp, task: TaskIndex) -> PlacementRequest {
        PlacementRequest {
            expected_run_time: self.expected_run_time(task),
            is_run_time_known: self.tasks[task].placed.known_run_time.is_some(),
            is_alone: self.tasks[task].placed.is_alone,
            objective_left: self.objective_left(now),
            deadline_left: self.deadline.since(now),
        }
    }

    /// What a task's step demands.
    pub(crate) fn step_demand(&self, task: TaskIndex) -> &StepDemand {
        &self.demands[self.tasks[task].demand_index]
    }

    /// The latest time at which a task can start and still end before its caller leaves.
    pub(crate) fn latest_start(&self, task: TaskIndex) -> Timestamp {
        let left = self.deadline.since(Timestamp::ZERO);
        let share = match self.tasks[task].placed.known_run_time {
            Some(_) => MIN_KNOWN_RUN_TIME_SHARE,
            None => MIN_RUN_TIME_SHARE,
        };
        let min_run_time = scaled(self.expected_run_time(task), share);
        Timestamp::ZERO + left.saturating_sub(min_run_time)
    }

    /// Until when a task waits for free capacity: until its job's objective or, where the job has
    /// begun, as long as the task can still end before its caller leaves.
    ///
    /// Upstreams do the same amount of work whichever tasks wait. Jobs that wait beyond their
    /// objectives make others miss theirs too; callers of refused jobs learn of it sooner and may retry.
    pub(crate) fn waits_until(&self, task: TaskIndex) -> Timestamp {
        let latest_start = self.latest_start(task);
        match self.has_begun {
            true => latest_start,
            false => latest_start.min(self.objective_at()),
        }
    }

    /// The same, but where the job has not begun only as long as the task, on a fast upstream, can
    /// still end by the objective: what starts later takes capacity from jobs that can.
    pub(crate) fn waits_in_time_until(&self, task: TaskIndex) -> Timestamp {
        if self.has_begun {
            return self.waits_until(task);
        }
        let objective = self.objective_at().since(Timestamp::ZERO);
        let run_time = scaled(self.expected_run_time(task), FAST_RUN_TIME_SHARE);
        let latest = Timestamp::ZERO + objective.saturating_sub(run_time);
        latest.min(self.waits_until(task))
    }

    /// How long until the job's objective, zero once it has passed.
    pub(crate) fn objective_left(&self, now: Timestamp) -> Duration {
        let now_us = i64::try_from(now.as_us()).unwrap_or(i64::MAX);
        let left_us = self.objective_at_us.saturating_sub(now_us);
        Duration::from_micros(u64::try_from(left_us).unwrap_or(0))
    }

    /// The job's objective: when it is to end.
    fn objective_at(&self) -> Timestamp {
        let at_us = u64::try_from(self.objective_at_us).unwrap_or(0);
        Timestamp::ZERO + Duration::from_micros(at_us)
    }

    /// The expected work of a task, in milliseconds of one core.
    pub(crate) fn core_ms(&self, task: TaskIndex) -> u64 {
        let step_demand = self.step_demand(task);
        core_ms(
            step_demand.resources.cpu_millicores,
            self.expected_run_time(task),
        )
    }
}

/// The minimum run time of a task as a share of the expected one: upstreams run up to a quarter faster
/// than usual, and a declared run time may be twice the true one.
pub(crate) const MIN_RUN_TIME_SHARE: f64 = 0.4;

/// The same share where the run time is known from the task's progress elsewhere.
pub(crate) const MIN_KNOWN_RUN_TIME_SHARE: f64 = 0.78;

/// The run time on upstreams that are a quarter faster than usual, as a share of the expected one.
const FAST_RUN_TIME_SHARE: f64 = 0.8;

/// The work of a task that uses this much processor for this long, in milliseconds of one core.
pub(crate) fn core_ms(cpu_millicores: u32, run: Duration) -> u64 {
    u64::from(cpu_millicores).saturating_mul(whole_ms(run)) / 1_000
}

/// The id of a placed task's run.
pub(crate) fn run_of(job: JobId, placed: &PlacedTask) -> RunId {
    RunId {
        task: TaskName {
            job,
            occurrence: 0,
            step: placed.step,
            index: placed.index,
        },
        run_number: placed.run_number,
    }
}
