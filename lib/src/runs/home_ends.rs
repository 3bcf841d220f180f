//! How a home applies the ends of runs: completes, retries and fails tasks.

use std::sync::Arc;
use std::time::Duration;

use super::home::Home;
use super::home::HomeTimer;
use super::home::MAX_PLACEMENTS_PER_TASK;
use super::home_job::HomeJob;
use super::home_job::Unfinished;
use super::home_task::HomeState;
use super::home_task::HomeTask;
use super::job_spec::JobSpec;
use super::owner_choice::OwnerRef;
use super::run_answer::GivenUp;
use super::run_answer::JobEnd;
use super::run_answer::NotRun;
use super::run_answer::RunAnswer;
use super::run_id::HomeJobKey;
use super::run_id::JobId;
use super::run_id::TaskName;
use super::run_message::EndedRun;
use super::run_message::NotStarted;
use super::run_message::RunEnd;
use crate::time::Timestamp;

/// How long a job that has not begun waits, once one of its tasks is reported overdue, for reports
/// of the others.
///
/// Owners give them up at the same moment; a message takes a few milliseconds. A task that is not
/// reported by then counts as running.
const OVERDUE_TIMEOUT: Duration = Duration::from_millis(10);

impl Home {
    /// Handles an owner's report of how tasks of a batch ended.
    ///
    /// Ends of other batches are ignored: a job that its caller submits again numbers its runs from
    /// one again, so that only the batch tells the two attempts apart.
    pub(crate) fn handle_ends(
        &mut self,
        now: Timestamp,
        owner: OwnerRef,
        batch: u64,
        ends: Vec<EndedRun>,
    ) {
        for EndedRun { run, end } in ends {
            let Some(key) = self.by_id.get(&run.task.job).copied() else {
                continue;
            };
            let Some(task) = self.jobs[key].task_of(run) else {
                continue;
            };
            let state = &mut self.jobs[key].tasks[task];
            let placed = HomeState::Placed { owner, batch };
            let is_orphaned = matches!(state.state, HomeState::Orphaned { from, .. } if from == Some((owner, batch)));
            if is_orphaned {
                state.unreachable_owners.remove(owner);
            }
            let is_expected = is_orphaned || state.state == placed;
            self.record_batch_end(owner, batch, task);
            if is_expected {
                self.end_task(now, key, task, end);
            }
        }
    }

    /// Applies the end of a task's run.
    ///
    /// While an unreachable owner may still hold a lease on the run, only `Done` ends it. A run that was
    /// taken over has not ended: it counts as orphaned from now.
    pub(crate) fn end_task(&mut self, now: Timestamp, key: HomeJobKey, task: usize, end: RunEnd) {
        let job = &mut self.jobs[key];
        let run = job.run(task);
        // A run that ended otherwise may belong to an earlier attempt with the same numbers.
        let counts = matches!(end, RunEnd::Done { .. } | RunEnd::TakenOver { .. });
        let unreachable_since = job.tasks[task].unreachable_owners.may_run_since(now);
        if let Some(since) = unreachable_since.filter(|_| !counts) {
            tracing::warn!(
                job = %job.id, run = %run, ?end,
                "end of run ignored: an unreachable owner may still run the task"
            );
            job.tasks[task].upstream = None;
            self.set_orphaned(now, key, task, since, None);
            return self.release_batches(key);
        }
        match &end {
            RunEnd::Done { .. } => tracing::debug!(job = %job.id, run = %run, "task done"),
            other => {
                let crashes = self.crashes.crash_count(run.task);
                tracing::warn!(job = %job.id, run = %run, end = ?other, crashes, "task not done");
            }
        }
        if !matches!(end, RunEnd::NotStarted(_)) {
            job.may_have_run = true;
        }
        match end {
            RunEnd::Done { work } => self.task_done(now, key, task, work),
            RunEnd::Failed { upstream } => self.task_failed(now, key, task, upstream),
            RunEnd::NotStarted(reason) => self.task_not_started(now, key, task, reason),
            RunEnd::Lost { upstream } => self.task_lost(now, key, task, upstream),
            RunEnd::TakenOver { upstream } => self.handle_taken_over(now, key, task, upstream),
            RunEnd::TooSlow { work, upstream } => {
                job.record_too_slow(task, work, upstream);
                self.counts.retried_too_slow += 1;
                self.retry_task(now, key, task);
            }
        }
        // Where a step bounds its tasks per upstream, the next one may now be placed.
        self.is_dirty |= self.jobs.get(key).is_some_and(HomeJob::is_waiting);
        self.release_batches(key);
    }

    fn task_done(&mut self, now: Timestamp, key: HomeJobKey, task: usize, work: Duration) {
        let job = &mut self.jobs[key];
        job.tasks[task].state = HomeState::Done;
        let step = job.tasks[task].step as usize;
        job.open_by_step[step] -= 1;
        job.open_tasks -= 1;
        let declared = job.spec.steps[step].declared_run_time;
        let estimate = self.estimates.entry(job.queue.name.clone()).or_default();
        // An end that another owner found comes without a run time.
        if !work.is_zero() {
            estimate.record_declared(declared, work);
        }
        if job.open_tasks == 0 {
            return self.end_job(now, key, JobEnd::Completed);
        }
        if job.open_by_step[step] == 0 {
            job.unblock();
            self.is_dirty = true;
        }
    }

    fn task_failed(&mut self, now: Timestamp, key: HomeJobKey, task: usize, upstream: Arc<str>) {
        let job = &mut self.jobs[key];
        let max_attempts = job.queue.max_attempts.max(1);
        let state = &mut job.tasks[task];
        state.failures += 1;
        state.avoid.push(upstream);
        if state.failures >= max_attempts {
            return self.end_job(now, key, JobEnd::Failed);
        }
        self.counts.retried_failed += 1;
        self.retry_task(now, key, task);
    }

    /// Retries a task that was lost with its run, or ends its job if it crashes upstreams.
    ///
    /// The job fails only after two certain crashes: a run that was lost with a silent upstream may have
    /// ended as done.
    fn task_lost(&mut self, now: Timestamp, key: HomeJobKey, task: usize, upstream: Arc<str>) {
        let job = &mut self.jobs[key];
        let name = job.run(task).task;
        if self.crashes.is_surely_deadly(name) {
            return self.end_job(now, key, JobEnd::Failed);
        }
        if self.crashes.is_deadly(name) {
            return self.end_unfinished(now, key, Unfinished::GivenUp(GivenUp::RunsLost));
        }
        let state = &mut job.tasks[task];
        state.avoid.push(upstream);
        state.is_alone = self.crashes.is_suspect(name);
        self.counts.retried_lost += 1;
        self.retry_task(now, key, task);
    }

    /// The answer to a job of which a task crashes the upstreams that run it; none if no task is known to.
    pub(crate) fn answer_deadly(&self, id: JobId, spec: &JobSpec) -> Option<RunAnswer> {
        let tasks = spec
            .tasks()
            .map(|(step, index)| HomeTask::new(step, index).name(id));
        let deadly: Vec<TaskName> = tasks.filter(|task| self.crashes.is_deadly(*task)).collect();
        let is_sure = deadly
            .iter()
            .any(|task| self.crashes.is_surely_deadly(*task));
        match is_sure {
            true => Some(RunAnswer::Ended(JobEnd::Failed)),
            false => deadly
                .first()
                .map(|_| RunAnswer::GivenUp(GivenUp::RunsLost)),
        }
    }

    fn task_not_started(
        &mut self,
        now: Timestamp,
        key: HomeJobKey,
        task: usize,
        reason: NotStarted,
    ) {
        let job = &mut self.jobs[key];
        job.tasks[task].state = HomeState::Waiting;
        match reason {
            NotStarted::TooLate => return self.begin_ending(now, key, NotRun::WaitedTooLong),
            NotStarted::Overdue => return self.set_overdue(now, key, task),
            NotStarted::OldRun => job.tasks[task].run_number += 1,
            NotStarted::Invalid => return self.end_job(now, key, JobEnd::Failed),
            _ => {}
        }
        if job.placements > MAX_PLACEMENTS_PER_TASK * job.task_count() {
            return self.begin_ending(now, key, NotRun::NoUpstreamInReach);
        }
        self.is_dirty = true;
    }

    /// Holds back a task that found no free capacity in time, until it is known whether another
    /// task of the job runs.
    ///
    /// If one does, the overdue tasks are placed again; if all are overdue, the job is refused.
    fn set_overdue(&mut self, now: Timestamp, key: HomeJobKey, task: usize) {
        let job = &mut self.jobs[key];
        job.tasks[task].state = HomeState::Overdue;
        if job.may_have_run {
            return self.place_overdue(key);
        }
        if !job.is_placed() {
            return self.end_unfinished(now, key, Unfinished::NotRun(NotRun::WaitedTooLong));
        }
        self.timers
            .subscribe(now + OVERDUE_TIMEOUT, HomeTimer::OverdueTimeout(key));
    }

    /// Makes overdue tasks wait for placement again, ahead of jobs that have not begun.
    pub(crate) fn place_overdue(&mut self, key: HomeJobKey) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        for task in &mut job.tasks {
            if task.state == HomeState::Overdue {
                task.state = HomeState::Waiting;
                job.has_begun = true;
                self.is_dirty = true;
            }
        }
    }

    /// Retries a task whose run has ended, or gives the job up if the task cannot end in time.
    pub(crate) fn retry_task(&mut self, now: Timestamp, key: HomeJobKey, task: usize) {
        self.jobs[key].tasks[task].retry();
        self.is_dirty = true;
        let job = &self.jobs[key];
        let suspension = match job.tasks[task].is_alone {
            true => self.crashes.suspension.remaining(now, &job.queue.name),
            false => None,
        };
        if job.is_infeasible(now + suspension.unwrap_or_default(), task) {
            self.end_unfinished(now, key, Unfinished::GivenUp(GivenUp::Deadline));
        }
    }
}
