//! The state of a job at its home.

use std::sync::Arc;
use std::time::Duration;

use super::held_batch::MIN_KNOWN_RUN_TIME_SHARE;
use super::held_batch::MIN_RUN_TIME_SHARE;
use super::home_task::HomeState;
use super::home_task::HomeTask;
use super::intended_state::JobQueueSettings;
use super::job_spec::JobSpec;
use super::run_answer::GivenUp;
use super::run_answer::NotRun;
use super::run_id::JobId;
use super::run_id::RunId;
use super::run_message::PlacedTask;
use super::run_message::RunBatch;
use super::run_message::StepDemand;
use super::upstream_choice::PlacementRequest;
use super::whole_ms::whole_ms;
use crate::id::RequestId;
use crate::scaling::scaled;
use crate::time::Timestamp;

/// A job that has not ended, with its tasks and the requests that wait for it.
#[derive(Debug)]
pub(crate) struct HomeJob {
    pub(crate) id: JobId,
    pub(crate) queue: Arc<JobQueueSettings>,
    pub(crate) spec: Arc<JobSpec>,
    pub(crate) waiters: Vec<RequestId>,
    pub(crate) accepted_at: Timestamp,
    pub(crate) objective_at: Timestamp,
    pub(crate) deadline: Timestamp,
    /// The expected run time of a task on an upstream of usual speed, by step.
    pub(crate) expected_run_times: Vec<Duration>,
    /// The number of tasks that are not done, by step.
    pub(crate) open_by_step: Vec<u32>,
    pub(crate) tasks: Vec<HomeTask>,
    pub(crate) open_tasks: usize,
    /// Whether a run of the job may have started.
    pub(crate) may_have_run: bool,
    /// Whether a task was placed at an owner with free capacity for it, or placed again after it
    /// was overdue.
    pub(crate) has_begun: bool,
    /// Why nothing of it ran, while it waits for the ends of its placed tasks.
    pub(crate) ending: Option<NotRun>,
    pub(crate) placements: u32,
    /// Since when no owner has been reachable for its waiting tasks.
    pub(crate) no_owner_since: Option<Timestamp>,
}

/// Why a job ends without completing, failing or being cancelled through the API.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Unfinished {
    NotRun(NotRun),
    GivenUp(GivenUp),
}

impl HomeJob {
    /// The name of a task's current run.
    pub(crate) fn run(&self, task: usize) -> RunId {
        let task = &self.tasks[task];
        RunId {
            task: task.name(self.id),
            run_number: task.run_number,
        }
    }

    /// The index of the task whose current run this is; none when there is none.
    pub(crate) fn task_of(&self, run: RunId) -> Option<usize> {
        let mut tasks = self.tasks.iter();
        tasks.position(|task| {
            task.step == run.task.step
                && task.index == run.task.index
                && task.run_number == run.run_number
        })
    }

    /// The number of tasks of all steps.
    pub(crate) fn task_count(&self) -> u32 {
        u32::try_from(self.tasks.len()).unwrap_or(u32::MAX)
    }

    /// Records that a task was stopped on an upstream because it progressed too slowly there.
    ///
    /// `work` is its predicted run time on an upstream of usual speed. A time far above the
    /// expected one may be the upstream's fault: it counts as known only once a second run,
    /// normally on another upstream, was too slow as well, and then the smaller of the two times does.
    pub(crate) fn record_too_slow(&mut self, task: usize, work: Duration, upstream: Arc<str>) {
        let task = &mut self.tasks[task];
        task.avoid.push(upstream);
        let expected = self.expected_run_times[task.step as usize];
        let is_believable = work < expected.saturating_mul(SUSPICIOUS_FACTOR);
        match task.suspected_run_time {
            Some(suspected) => task.known_run_time = Some(work.min(suspected)),
            None if is_believable => task.known_run_time = Some(work),
            None => task.suspected_run_time = Some(work),
        }
    }

    /// Limits its deadline and objective to a time.
    pub(crate) fn limit_deadline(&mut self, deadline: Timestamp) {
        self.deadline = self.deadline.min(deadline);
        self.objective_at = self.objective_at.min(deadline);
    }

    /// Whether a task waits for an owner.
    pub(crate) fn is_waiting(&self) -> bool {
        let mut tasks = self.tasks.iter();
        tasks.any(|task| task.state == HomeState::Waiting)
    }

    /// Whether an owner has a task, or may still run one while it is unreachable.
    pub(crate) fn is_placed(&self) -> bool {
        let mut tasks = self.tasks.iter();
        tasks.any(|task| {
            matches!(
                task.state,
                HomeState::Placed { .. } | HomeState::Orphaned { .. }
            )
        })
    }

    /// Makes blocked tasks wait for an owner where all the steps that they depend on are done.
    pub(crate) fn unblock(&mut self) {
        for task in &mut self.tasks {
            if task.state != HomeState::Blocked {
                continue;
            }
            let after = &self.spec.steps[task.step as usize].after;
            let mut after = after.iter();
            if after.all(|earlier| self.open_by_step[*earlier as usize] == 0) {
                task.state = HomeState::Waiting;
            }
        }
    }

    /// The least time that a run of the task takes on any upstream.
    pub(crate) fn min_run_time(&self, task: usize) -> Duration {
        let task = &self.tasks[task];
        match task.known_run_time {
            Some(known) => scaled(known, MIN_KNOWN_RUN_TIME_SHARE),
            None => scaled(
                self.expected_run_times[task.step as usize],
                MIN_RUN_TIME_SHARE,
            ),
        }
    }

    /// Whether a task started now could not end before the deadline; logs it if so.
    pub(crate) fn is_infeasible(&self, now: Timestamp, task: usize) -> bool {
        let min_run_time = self.min_run_time(task);
        let is_infeasible = now + min_run_time > self.deadline;
        if is_infeasible {
            tracing::info!(
                job = %self.id, run = %self.run(task), least_run_ms = whole_ms(min_run_time),
                left_ms = whole_ms(self.deadline.since(now)),
                "task can no longer end before the deadline"
            );
        }
        is_infeasible
    }

    /// The task's run time and time limits, as the choice of an upstream needs them.
    pub(crate) fn placement_request(&self, now: Timestamp, task: usize) -> PlacementRequest {
        let task = &self.tasks[task];
        let expected_run_time = self.expected_run_times[task.step as usize];
        PlacementRequest {
            expected_run_time: task.known_run_time.unwrap_or(expected_run_time),
            is_run_time_known: task.known_run_time.is_some(),
            is_alone: task.is_alone,
            objective_left: self.objective_at.since(now),
            deadline_left: self.deadline.since(now),
        }
    }
}

/// A run time of at least this many times the expected one needs a second upstream to confirm it.
const SUSPICIOUS_FACTOR: u32 = 3;

impl HomeJob {
    /// The batch that places tasks at an owner.
    pub(crate) fn to_batch(&self, now: Timestamp, number: u64, tasks: &[usize]) -> RunBatch {
        let mut steps: Vec<u32> = tasks.iter().map(|task| self.tasks[*task].step).collect();
        steps.sort_unstable();
        steps.dedup();
        let demands = steps.into_iter().map(|step| {
            let spec = &self.spec.steps[step as usize];
            StepDemand {
                step,
                resources: spec.resources,
                expected_run_time: self.expected_run_times[step as usize],
                declared_run_time: spec.declared_run_time,
                required_label: spec.required_label.clone(),
                data_rack: spec.data_rack.clone(),
                max_tasks_per_upstream: spec.max_tasks_per_upstream,
            }
        });
        let placed = tasks.iter().map(|task| {
            let state = &self.tasks[*task];
            PlacedTask {
                step: state.step,
                index: state.index,
                run_number: state.run_number,
                known_run_time: state.known_run_time,
                avoid: state.avoid.clone(),
                is_alone: state.is_alone,
            }
        });
        RunBatch {
            number,
            job: self.id,
            service: self.queue.service.clone(),
            payload: self.spec.payload.clone(),
            priority: self.queue.priority,
            objective_left_us: signed_us(now, self.objective_at),
            deadline_left: self.deadline.since(now),
            demands: demands.collect(),
            tasks: placed.collect(),
            has_begun: self.has_begun || self.may_have_run,
            queue: self.queue.name.clone(),
            delegated_by: None,
        }
    }
}

/// The time from `now` to `at` in microseconds, negative if `at` has passed.
fn signed_us(now: Timestamp, at: Timestamp) -> i64 {
    let us = |timestamp: Timestamp| i64::try_from(timestamp.as_us()).unwrap_or(i64::MAX);
    us(at).saturating_sub(us(now))
}
