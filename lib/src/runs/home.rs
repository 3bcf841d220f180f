//! The home of jobs: the instance that accepts them, places their tasks and answers their callers.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use slotmap::SlotMap;

use super::crash_register::CrashRegister;
use super::found_run::FoundRun;
use super::home_job::HomeJob;
use super::home_job::Unfinished;
use super::home_task::HomeState;
use super::home_task::HomeTask;
use super::home_task::MAX_RUN_AFTER_CONTACT;
use super::intended_state::JobQueueSettings;
use super::job_spec::JobSpec;
use super::owner_choice::OwnerRef;
use super::run_answer::GivenUp;
use super::run_answer::JobEnd;
use super::run_answer::JobProgress;
use super::run_answer::NotRun;
use super::run_answer::RunAnswer;
use super::run_counts::RunCounts;
use super::run_digest::WaitingJobs;
use super::run_id::HomeJobKey;
use super::run_id::JobId;
use super::run_id::RunId;
use super::run_message::EndedRun;
use super::run_message::FoundEnd;
use super::run_message::NotStarted;
use super::run_message::RunBatch;
use super::run_message::RunEnd;
use super::whole_ms::whole_ms;
use crate::id::RequestId;
use crate::run_estimate::RunEstimate;
use crate::time::Timestamp;
use crate::timer::TimerService;

/// How long before its caller leaves a job is given up, so that the answer arrives in time.
const ANSWER_MARGIN: Duration = Duration::from_millis(5);

/// How long a job that is ending unfinished waits for its other tasks to be reported ended.
///
/// Their owners end them at the same time; a message takes a few milliseconds.
const ENDING_TIMEOUT: Duration = Duration::from_millis(30);

/// How long a job that has not begun waits, once one of its tasks is reported overdue, for reports
/// of the others.
///
/// Owners give them up at the same moment; a message takes a few milliseconds. A task that is not
/// reported by then counts as running.
const OVERDUE_TIMEOUT: Duration = Duration::from_millis(10);

/// How long an orphaned run waits for the next owner of its upstream to report it.
pub(crate) const ORPHAN_CLAIM_TIMEOUT: Duration = Duration::from_millis(700);

/// How long after the last contact with its owner a run can still be claimed by another owner.
///
/// This is the longest lease that the former owner can have ordered.
pub(crate) const CLAIMABLE_TIME: Duration = Duration::from_secs(1);

/// Maximum number of placements per task, on average over a job, which bounds the retries of refused
/// placements.
const MAX_PLACEMENTS_PER_TASK: u32 = 16;

/// How long the answer of an ended job is kept for a caller that repeats its request.
///
/// Callers whose connection broke retry after 1.3 s.
const ANSWER_RETENTION: Duration = Duration::from_secs(5);

/// How long a batch may be in flight before it counts as lost; owners refuse a batch this old.
const MAX_BATCH_TRANSIT: Duration = Duration::from_millis(400);

/// The timers of a home.
#[derive(Clone, Copy, Debug)]
pub(crate) enum HomeTimer {
    /// The job's deadline has passed.
    Deadline(HomeJobKey),
    /// The job is ending, and the ends of its other tasks have not been reported in time.
    EndingTimeout(HomeJobKey),
    /// Some of the job's tasks have been reported overdue, the others have not.
    OverdueTimeout(HomeJobKey),
    /// An orphaned run of the job has not been reported by another owner, or must have ended.
    OrphanTimeout(HomeJobKey),
    /// The answer of an ended job no longer has to be kept.
    ForgetAnswer(JobId),
}

/// A batch that was sent to an owner and has tasks that have not ended.
#[derive(Debug)]
pub(crate) struct OpenBatch {
    pub(crate) job: HomeJobKey,
    pub(crate) sent_at: Timestamp,
    /// Whether the owner adopts runs that another owner started.
    is_adoption: bool,
}

/// An action that the home asks its dispatcher to perform.
#[derive(Debug)]
pub(crate) enum HomeOutput {
    /// Answer a caller's request.
    Answer {
        request: RequestId,
        answer: RunAnswer,
    },
    /// Send tasks to an owner, which is to start them.
    Place { owner: OwnerRef, batch: RunBatch },
    /// Ask an owner to adopt runs that it found on its upstream.
    Adopt {
        owner: OwnerRef,
        upstream: Arc<str>,
        batch: RunBatch,
    },
    /// Ask an owner to stop what is left of batches, named by their numbers.
    Cancel { owner: OwnerRef, batches: Vec<u64> },
}

/// The jobs whose home is this instance, with their requests, placed batches and timers.
#[derive(Debug, Default)]
pub(crate) struct Home {
    pub(crate) jobs: SlotMap<HomeJobKey, HomeJob>,
    by_id: IndexMap<JobId, HomeJobKey>,
    /// The outcomes of jobs that ended within the last [`ANSWER_RETENTION`].
    ended: IndexMap<JobId, JobEnd>,
    /// The open job of each request that waits for an answer.
    requests: IndexMap<RequestId, HomeJobKey>,
    /// The open batches by owner and batch number.
    pub(crate) batches: IndexMap<(OwnerRef, u64), OpenBatch>,
    /// The names of the owners' instances, for logs.
    owner_names: IndexMap<OwnerRef, Arc<str>>,
    last_batch_number: u64,
    /// Run time estimates by queue name.
    estimates: IndexMap<Arc<str>, RunEstimate>,
    /// Runs that another owner found while they were still placed at their former owner.
    found: IndexMap<RunId, FoundRun>,
    pub(crate) timers: TimerService<HomeTimer>,
    pub(crate) outputs: Vec<HomeOutput>,
    pub(crate) counts: RunCounts,
    /// The crashes of upstreams that are known here.
    pub(crate) crashes: CrashRegister,
    /// Whether something changed since waiting tasks were last placed.
    is_dirty: bool,
    /// When a stopping instance answers all jobs that are still open.
    last_answers_at: Option<Timestamp>,
}

/// A job that passed the admission checks.
pub(crate) struct NewJob {
    pub(crate) id: JobId,
    pub(crate) queue: Arc<JobQueueSettings>,
    pub(crate) spec: Arc<JobSpec>,
    /// How long its caller waits for the answer.
    pub(crate) wait: Duration,
}

impl Home {
    /// Records the name of an owner's instance.
    pub(crate) fn set_owner_name(&mut self, owner: OwnerRef, name: Arc<str>) {
        self.owner_names.insert(owner, name);
    }

    /// The name of an owner's instance, or `unknown`.
    pub(crate) fn owner_name(&self, owner: OwnerRef) -> &str {
        self.owner_names.get(&owner).map_or("unknown", |name| name)
    }

    /// Attaches a request to a job that is open here, or answers it if the job has recently ended.
    ///
    /// Returns false when the job is not known here.
    pub(crate) fn join(&mut self, request: RequestId, id: JobId) -> bool {
        if let Some(end) = self.ended.get(&id).copied() {
            self.answer(request, RunAnswer::Ended(end));
            return true;
        }
        let Some(key) = self.by_id.get(&id).copied() else {
            return false;
        };
        tracing::info!(job = %id, request = request.0, "request joined an open job");
        self.jobs[key].waiters.push(request);
        self.requests.insert(request, key);
        true
    }

    /// The expected run time of a task, by step of the job.
    pub(crate) fn expected_run_times(&self, queue: &str, spec: &JobSpec) -> Vec<Duration> {
        let estimate = self.estimates.get(queue);
        let expected = spec.steps.iter().map(|step| {
            let declared = Some(step.declared_run_time).filter(|run| !run.is_zero());
            match estimate {
                Some(estimate) => estimate.reading(declared).mean,
                None => RunEstimate::default().reading(declared).mean,
            }
        });
        expected.collect()
    }

    /// Opens an accepted job; `expected_run_times` are by step.
    pub(crate) fn open(
        &mut self,
        now: Timestamp,
        request: RequestId,
        new: NewJob,
        expected_run_times: Vec<Duration>,
    ) {
        let NewJob {
            id,
            queue,
            spec,
            wait,
        } = new;
        let objective = objective(&queue, &spec, &expected_run_times);
        let deadline = now + wait.saturating_sub(ANSWER_MARGIN);
        let tasks = spec.tasks();
        let tasks = tasks.map(|(step, index)| HomeTask::new(step, index));
        let mut tasks: Vec<HomeTask> = tasks.collect();
        for task in &mut tasks {
            task.is_alone = self.crashes.is_suspect(task.name(id));
        }
        let mut job = HomeJob {
            id,
            waiters: vec![request],
            accepted_at: now,
            // A job that ends after its caller has left does not meet its objective.
            objective_at: deadline.min(now + objective),
            deadline,
            expected_run_times,
            open_by_step: spec.steps.iter().map(|step| step.tasks).collect(),
            open_tasks: tasks.len(),
            tasks,
            may_have_run: false,
            has_begun: false,
            ending: None,
            placements: 0,
            no_owner_since: None,
            queue,
            spec,
        };
        job.unblock();
        log_accepted(now, &job);
        let key = self.jobs.insert(job);
        self.by_id.insert(id, key);
        self.requests.insert(request, key);
        self.timers.subscribe(deadline, HomeTimer::Deadline(key));
        self.is_dirty = true;
    }

    /// Returns whether something changed since waiting tasks were last placed, and resets that.
    pub(crate) fn take_dirty(&mut self) -> bool {
        std::mem::take(&mut self.is_dirty)
    }

    /// Requests another attempt to place waiting tasks.
    pub(crate) fn mark_dirty(&mut self) {
        self.is_dirty = true;
    }

    /// Assigns the number of a new batch.
    pub(crate) fn next_batch_number(&mut self) -> u64 {
        self.last_batch_number += 1;
        self.last_batch_number
    }

    /// The highest number that has been assigned to a batch.
    pub(crate) fn highest_batch_number(&self) -> u64 {
        self.last_batch_number
    }

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
                state.on_owner_reachable(owner);
            }
            if is_orphaned || state.state == placed {
                self.end_task(now, key, task, end);
            }
        }
    }

    /// Applies the end of a task's run.
    ///
    /// While an unreachable owner may still hold a lease on the run, only `Done` ends it.
    fn end_task(&mut self, now: Timestamp, key: HomeJobKey, task: usize, end: RunEnd) {
        let job = &mut self.jobs[key];
        let run = job.run(task);
        let unreachable_since = job.tasks[task].may_run_unreachable_since(now);
        if let Some(since) = unreachable_since.filter(|_| !matches!(end, RunEnd::Done { .. })) {
            // The run that ended may belong to an earlier attempt with the same numbers.
            tracing::warn!(
                job = %job.id, run = %run, ?end,
                "end of run ignored: an unreachable owner may still run the task"
            );
            self.set_orphaned(now, key, task, since, None);
            return self.close_empty_batches(key);
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
        self.close_empty_batches(key);
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

    /// Retries a task that was lost with its run, or fails its job if it crashes upstreams.
    fn task_lost(&mut self, now: Timestamp, key: HomeJobKey, task: usize, upstream: Arc<str>) {
        let job = &mut self.jobs[key];
        let name = job.run(task).task;
        if self.crashes.is_deadly(name) {
            return self.end_job(now, key, JobEnd::Failed);
        }
        let state = &mut job.tasks[task];
        state.avoid.push(upstream);
        state.is_alone = self.crashes.is_suspect(name);
        self.counts.retried_lost += 1;
        self.retry_task(now, key, task);
    }

    /// Whether a task of the job crashes the upstreams that run it.
    pub(crate) fn is_deadly(&self, id: JobId, spec: &JobSpec) -> bool {
        let mut tasks = spec.tasks();
        tasks.any(|(step, index)| self.crashes.is_deadly(HomeTask::new(step, index).name(id)))
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
    fn place_overdue(&mut self, key: HomeJobKey) {
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
    fn retry_task(&mut self, now: Timestamp, key: HomeJobKey, task: usize) {
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

    /// Marks a run as orphaned.
    ///
    /// `since` and `from` are as in [`HomeState::Orphaned`].
    fn set_orphaned(
        &mut self,
        now: Timestamp,
        key: HomeJobKey,
        task: usize,
        since: Timestamp,
        from: Option<(OwnerRef, u64)>,
    ) {
        let job = &mut self.jobs[key];
        let age_ms = whole_ms(now.since(since));
        tracing::info!(job = %job.id, run = %job.run(task), age_ms, ?from, "run orphaned");
        job.tasks[task].state = HomeState::Orphaned { since, from };
        self.counts.orphaned += 1;
        let claimable_until = (since + CLAIMABLE_TIME).max(now);
        let due = claimable_until.min(now + ORPHAN_CLAIM_TIMEOUT);
        self.timers.subscribe(due, HomeTimer::OrphanTimeout(key));
    }

    /// Resolves orphaned runs that no owner has reported.
    ///
    /// A run that must have ended by now is retried. A job whose task could not end in time after
    /// that is given up; otherwise the timer is set to the time when the run must have ended.
    fn on_orphan_timeout(&mut self, now: Timestamp, key: HomeJobKey) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let tasks = (0..).zip(&job.tasks);
        let orphaned: Vec<(usize, Timestamp)> = tasks
            .filter_map(|(task, state)| match state.state {
                HomeState::Orphaned { since, .. } => Some((task, since)),
                _ => None,
            })
            .collect();
        for (task, since) in orphaned {
            let Some(job) = self.jobs.get(key) else {
                return;
            };
            let ended_at = since + MAX_RUN_AFTER_CONTACT;
            if ended_at <= now {
                let age_ms = whole_ms(now.since(since));
                tracing::info!(
                    job = %job.id, run = %job.run(task), age_ms,
                    "orphaned run must have ended: retrying the task"
                );
                self.counts.retried_orphaned += 1;
                self.retry_task(now, key, task);
            } else if ended_at + job.min_run_time(task) > job.deadline {
                self.end_unfinished(now, key, Unfinished::GivenUp(GivenUp::OwnerLost));
            } else {
                self.timers
                    .subscribe(ended_at, HomeTimer::OrphanTimeout(key));
            }
        }
    }

    /// Handles that an owner is unreachable or its process was replaced by another incarnation.
    ///
    /// The runs that it holds are orphaned.
    pub(crate) fn on_owner_unreachable(
        &mut self,
        now: Timestamp,
        owner: OwnerRef,
        last_contact_at: Timestamp,
    ) {
        let keys: Vec<HomeJobKey> = self.jobs.keys().collect();
        for key in keys {
            let job = &self.jobs[key];
            let tasks = (0..).zip(&job.tasks);
            let tasks = tasks.filter_map(|(task, state)| match state.state {
                HomeState::Placed { owner: at, batch } if at == owner => Some((task, batch)),
                _ => None,
            });
            let tasks: Vec<(usize, u64)> = tasks.collect();
            if tasks.is_empty() {
                continue;
            }
            tracing::warn!(job = %job.id, owner = self.owner_name(owner), tasks = tasks.len(), "owner unreachable");
            self.jobs[key].may_have_run = true;
            for (task, batch) in tasks {
                self.jobs[key].tasks[task].on_owner_unreachable(owner, last_contact_at);
                self.set_orphaned(now, key, task, last_contact_at, Some((owner, batch)));
            }
        }
        self.batches.retain(|(at, _), _| *at != owner);
    }

    /// Detaches orphaned runs from an owner whose process has ended.
    ///
    /// The next incarnation counts its accepted batches from the start, so its reports say nothing
    /// about the batches of the one before.
    pub(crate) fn forget_owner_incarnation(&mut self, owner: OwnerRef) {
        let tasks = self.jobs.values_mut().flat_map(|job| &mut job.tasks);
        for task in tasks {
            if let HomeState::Orphaned { from, .. } = &mut task.state {
                from.take_if(|(at, _)| *at == owner);
            }
        }
    }

    /// Handles runs that the new owner of an upstream found there.
    ///
    /// They may belong to an earlier attempt, which numbered its runs in the same way. A run whose
    /// task is still placed at another owner is kept until that owner reports the takeover.
    pub(crate) fn handle_found_runs(
        &mut self,
        now: Timestamp,
        owner: OwnerRef,
        upstream: &Arc<str>,
        running: &[RunId],
        ended: &[FoundEnd],
    ) {
        self.found.retain(|_, found| found.is_recent(now));
        let ended = ended
            .iter()
            .map(|found| (found.run, Some(found.end_on(upstream))));
        let running = running.iter().map(|run| (*run, None));
        for (run, end) in ended.chain(running) {
            let found = FoundRun {
                owner,
                upstream: upstream.clone(),
                found_at: now,
                end,
            };
            self.handle_found_run(now, run, found);
        }
    }

    /// Ends or moves a task by what another owner found of its run, or keeps the finding.
    fn handle_found_run(&mut self, now: Timestamp, run: RunId, found: FoundRun) {
        let Some((key, task)) = self.claimable(run) else {
            return;
        };
        let state = &self.jobs[key].tasks[task];
        let is_certainly_there = state.is_certainly_on(now, &found.upstream);
        let may_be_there = state.taken_over_on.is_none() || is_certainly_there;
        let placed_at = match state.state {
            HomeState::Placed { owner, .. } => Some(owner),
            _ => None,
        };
        tracing::info!(
            job = %run.task.job, run = %run, upstream = %found.upstream, end = ?found.end,
            owner = self.owner_name(found.owner), state = ?state.state,
            is_surely_there = is_certainly_there, "run found by another owner"
        );
        match found.end {
            // A task that is done stays done, whichever attempt ran it.
            Some(end) if is_certainly_there || matches!(end, RunEnd::Done { .. }) => {
                self.counts.count_found(&end);
                self.end_task(now, key, task, end);
            }
            None if placed_at.is_none() && may_be_there => {
                self.move_task(now, key, task, found.owner, &found.upstream);
            }
            _ if placed_at.is_some_and(|owner| owner != found.owner) => {
                self.found.insert(run, found);
            }
            _ => {}
        }
    }

    /// Handles the report of a run's owner that another owner has taken over the upstream.
    fn handle_taken_over(
        &mut self,
        now: Timestamp,
        key: HomeJobKey,
        task: usize,
        upstream: Arc<str>,
    ) {
        let run = self.jobs[key].run(task);
        self.set_orphaned(now, key, task, now, None);
        let found = self.found.swap_remove(&run);
        let found = found.filter(|found| found.is_recent(now) && found.upstream == upstream);
        self.jobs[key].tasks[task].taken_over_on = Some(upstream);
        if let Some(found) = found {
            self.handle_found_run(now, run, found);
        }
    }

    /// The task of a run that another owner may claim; none unless it is placed or orphaned.
    fn claimable(&self, run: RunId) -> Option<(HomeJobKey, usize)> {
        let key = *self.by_id.get(&run.task.job)?;
        let task = self.jobs[key].task_of(run)?;
        match self.jobs[key].tasks[task].state {
            HomeState::Placed { .. } | HomeState::Orphaned { .. } => Some((key, task)),
            _ => None,
        }
    }

    /// Moves a running task to the owner that found it, which is asked to adopt the run.
    fn move_task(
        &mut self,
        now: Timestamp,
        key: HomeJobKey,
        task: usize,
        owner: OwnerRef,
        upstream: &Arc<str>,
    ) {
        let run = self.jobs[key].run(task);
        tracing::info!(job = %run.task.job, run = %run, upstream = %upstream, owner = self.owner_name(owner), "run claimed");
        let batch = self.create_batch(now, key, owner, &[task]);
        self.close_empty_batches(key);
        if let Some(open) = self.batches.get_mut(&(owner, batch.number)) {
            open.is_adoption = true;
        }
        self.outputs.push(HomeOutput::Adopt {
            owner,
            upstream: upstream.clone(),
            batch,
        });
    }

    /// Compares the open batches at an owner with those that it reports as held.
    ///
    /// A batch that is not held, although the owner has accepted it or it must be lost, has ended
    /// without a report: its tasks are retried, or orphaned where the batch was an adoption.
    pub(crate) fn reconcile_batches(
        &mut self,
        now: Timestamp,
        owner: OwnerRef,
        held: &[u64],
        highest_taken: u64,
    ) {
        self.resolve_orphans(now, owner, held, highest_taken);
        let missing = self.batches.iter().filter(|((at, number), batch)| {
            let was_taken = *number <= highest_taken;
            let was_lost = now.since(batch.sent_at) >= MAX_BATCH_TRANSIT;
            *at == owner && !held.contains(number) && (was_taken || was_lost)
        });
        let missing: Vec<(u64, HomeJobKey, bool)> = missing
            .map(|((_, number), batch)| (*number, batch.job, batch.is_adoption))
            .collect();
        for (number, key, is_adoption) in missing {
            self.batches.swap_remove(&(owner, number));
            let placed = HomeState::Placed {
                owner,
                batch: number,
            };
            for task in self.tasks_in(key, |state| state == placed) {
                // The job may have ended with a task before this one.
                let Some(job) = self.jobs.get(key) else {
                    break;
                };
                tracing::warn!(
                    job = %job.id, run = %job.run(task), batch = number, highest_taken,
                    owner = self.owner_name(owner), is_adoption,
                    "owner does not hold the batch"
                );
                if is_adoption {
                    // The owner never adopted the run, which may still go on.
                    self.set_orphaned(now, key, task, now, None);
                } else {
                    self.retry_ended(now, key, task);
                }
            }
        }
    }

    /// Resolves orphaned runs of an owner that is reachable again.
    ///
    /// Runs of batches that it still holds are placed there again; runs of batches that it has
    /// accepted and no longer holds are retried.
    fn resolve_orphans(
        &mut self,
        now: Timestamp,
        owner: OwnerRef,
        held: &[u64],
        highest_taken: u64,
    ) {
        let keys: Vec<HomeJobKey> = self.jobs.keys().collect();
        for key in keys {
            let from_owner = |state: HomeState| match state {
                HomeState::Orphaned {
                    from: Some((at, batch)),
                    ..
                } if at == owner => Some(batch),
                _ => None,
            };
            for task in self.tasks_in(key, |state| from_owner(state).is_some()) {
                let Some(job) = self.jobs.get_mut(key) else {
                    break;
                };
                let Some(batch) = from_owner(job.tasks[task].state) else {
                    continue;
                };
                let is_held = held.contains(&batch);
                tracing::info!(
                    job = %job.id, run = %job.run(task), batch, highest_taken, is_held,
                    "owner of an orphaned run reachable again"
                );
                if is_held {
                    job.tasks[task].on_owner_reachable(owner);
                    job.tasks[task].state = HomeState::Placed { owner, batch };
                    let open = OpenBatch {
                        job: key,
                        sent_at: now,
                        is_adoption: false,
                    };
                    self.batches.insert((owner, batch), open);
                } else if batch <= highest_taken {
                    self.retry_ended(now, key, task);
                }
            }
        }
    }

    /// The tasks of a job whose state satisfies `is_wanted`; none when the job has ended.
    fn tasks_in(&self, key: HomeJobKey, is_wanted: impl Fn(HomeState) -> bool) -> Vec<usize> {
        let Some(job) = self.jobs.get(key) else {
            return Vec::new();
        };
        let tasks = (0..).zip(&job.tasks);
        let wanted = tasks.filter(|(_, task)| is_wanted(task.state));
        wanted.map(|(task, _)| task).collect()
    }

    /// Retries a task whose run has ended without a report.
    fn retry_ended(&mut self, now: Timestamp, key: HomeJobKey, task: usize) {
        if let Some(job) = self.jobs.get_mut(key) {
            job.may_have_run = true;
            self.counts.retried_not_held += 1;
            self.retry_task(now, key, task);
        }
    }

    /// Gives up jobs with a waiting task of known run time that can no longer end in time.
    pub(crate) fn end_infeasible(&mut self, now: Timestamp) {
        let infeasible = self.jobs.iter().filter(|(_, job)| {
            let mut tasks = (0..job.tasks.len()).filter(|task| {
                let state = &job.tasks[*task];
                state.state == HomeState::Waiting && state.known_run_time.is_some()
            });
            tasks.any(|task| job.is_infeasible(now, task))
        });
        let infeasible: Vec<HomeJobKey> = infeasible.map(|(key, _)| key).collect();
        for key in infeasible {
            self.end_unfinished(now, key, Unfinished::GivenUp(GivenUp::Deadline));
        }
    }

    /// Handles that a batch was not sent: its tasks wait for an owner again.
    pub(crate) fn handle_unsent_batch(&mut self, now: Timestamp, owner: OwnerRef, number: u64) {
        let Some(batch) = self.batches.swap_remove(&(owner, number)) else {
            return;
        };
        let placed = HomeState::Placed {
            owner,
            batch: number,
        };
        let owner_name = self.owner_names.get(&owner).cloned().unwrap_or_default();
        let Some(job) = self.jobs.get_mut(batch.job) else {
            return;
        };
        tracing::warn!(job = %job.id, batch = number, owner = &*owner_name, "batch not sent");
        for task in &mut job.tasks {
            if task.state == placed {
                task.state = HomeState::Waiting;
            }
        }
        if job.placements > MAX_PLACEMENTS_PER_TASK * job.task_count() {
            return self.begin_ending(now, batch.job, NotRun::NoUpstreamInReach);
        }
        self.is_dirty = true;
    }

    /// Removes the batches of a job that no longer have a placed task.
    fn close_empty_batches(&mut self, key: HomeJobKey) {
        let job = self.jobs.get(key);
        self.batches.retain(|(owner, number), batch| {
            batch.job != key
                || job.is_some_and(|job| {
                    let placed = HomeState::Placed {
                        owner: *owner,
                        batch: *number,
                    };
                    job.tasks.iter().any(|task| task.state == placed)
                })
        });
    }

    /// Marks tasks as placed at an owner and returns the batch to send to it.
    pub(crate) fn create_batch(
        &mut self,
        now: Timestamp,
        key: HomeJobKey,
        owner: OwnerRef,
        tasks: &[usize],
    ) -> RunBatch {
        let number = self.next_batch_number();
        self.batches.insert(
            (owner, number),
            OpenBatch {
                job: key,
                sent_at: now,
                is_adoption: false,
            },
        );
        let job = &mut self.jobs[key];
        job.placements += u32::try_from(tasks.len()).unwrap_or(u32::MAX);
        for task in tasks {
            job.tasks[*task].state = HomeState::Placed {
                owner,
                batch: number,
            };
        }
        job.to_batch(now, number, tasks)
    }

    /// Starts to end a job unfinished.
    ///
    /// A job of which something may have run is given up at once. Any other waits briefly for the
    /// ends of its placed tasks, so that its callers can be told whether anything ran.
    fn begin_ending(&mut self, now: Timestamp, key: HomeJobKey, reason: NotRun) {
        let job = &mut self.jobs[key];
        if job.may_have_run {
            return self.end_unfinished(now, key, Unfinished::GivenUp(GivenUp::Deadline));
        }
        job.ending = Some(reason);
        if !job.is_placed() {
            return self.end_unfinished(now, key, Unfinished::NotRun(reason));
        }
        self.timers
            .subscribe(now + ENDING_TIMEOUT, HomeTimer::EndingTimeout(key));
    }

    /// Ends a job with an outcome that is kept for repeated requests, and answers its callers.
    fn end_job(&mut self, now: Timestamp, key: HomeJobKey, end: JobEnd) {
        let Some(job) = self.remove(key) else {
            return;
        };
        log_end(now, &job, &end.to_string());
        self.ended.insert(job.id, end);
        self.timers
            .subscribe(now + ANSWER_RETENTION, HomeTimer::ForgetAnswer(job.id));
        for request in job.waiters {
            self.answer(request, RunAnswer::Ended(end));
        }
    }

    /// Ends a job that does not complete, and answers its callers.
    pub(crate) fn end_unfinished(&mut self, now: Timestamp, key: HomeJobKey, why: Unfinished) {
        let Some(job) = self.remove(key) else {
            return;
        };
        self.counts.count_unfinished(why, now >= job.deadline);
        let answer = match why {
            Unfinished::NotRun(reason) => {
                log_end(now, &job, &format!("not_run {reason}"));
                RunAnswer::NotRun {
                    reason,
                    retry_after: Some(RETRY_AFTER_OVERLOAD),
                }
            }
            Unfinished::GivenUp(reason) => {
                log_end(now, &job, &format!("given_up {reason}"));
                RunAnswer::GivenUp(reason)
            }
        };
        for request in job.waiters {
            self.answer(request, answer.clone());
        }
    }

    /// Removes a job and cancels its open batches.
    fn remove(&mut self, key: HomeJobKey) -> Option<HomeJob> {
        let job = self.jobs.remove(key)?;
        self.by_id.swap_remove(&job.id);
        for request in &job.waiters {
            self.requests.swap_remove(request);
        }
        let job_batches = self.batches.extract_if(.., |_, batch| batch.job == key);
        let mut cancels: IndexMap<OwnerRef, Vec<u64>> = IndexMap::new();
        for ((owner, number), _) in job_batches {
            cancels.entry(owner).or_default().push(number);
        }
        let is_open = |owner: OwnerRef, number: u64| {
            let placed = HomeState::Placed {
                owner,
                batch: number,
            };
            job.tasks.iter().any(|task| task.state == placed)
        };
        for (owner, mut batches) in cancels {
            batches.retain(|number| is_open(owner, *number));
            if !batches.is_empty() {
                self.outputs.push(HomeOutput::Cancel { owner, batches });
            }
        }
        Some(job)
    }

    fn answer(&mut self, request: RequestId, answer: RunAnswer) {
        self.outputs.push(HomeOutput::Answer { request, answer });
    }

    /// Removes the request of a caller that left; its job ends when no other caller waits for it.
    pub(crate) fn drop_request(&mut self, now: Timestamp, request: RequestId) {
        let Some(key) = self.requests.swap_remove(&request) else {
            return;
        };
        let job = &mut self.jobs[key];
        job.waiters.retain(|waiter| *waiter != request);
        if job.waiters.is_empty() {
            self.end_unfinished(now, key, Unfinished::GivenUp(GivenUp::Cancelled));
        }
    }

    /// Cancels a job; returns false when it is not known here.
    pub(crate) fn cancel(&mut self, now: Timestamp, id: JobId) -> bool {
        if let Some(key) = self.by_id.get(&id).copied() {
            self.end_job(now, key, JobEnd::Cancelled);
            return true;
        }
        self.ended.contains_key(&id)
    }

    /// The state of a job; none when it is not known here.
    pub(crate) fn look_up(&self, id: JobId) -> Option<RunAnswer> {
        if let Some(end) = self.ended.get(&id) {
            return Some(RunAnswer::Ended(*end));
        }
        let job = &self.jobs[*self.by_id.get(&id)?];
        let is_running = job.may_have_run || job.is_placed();
        Some(RunAnswer::State(match is_running {
            true => JobProgress::Running,
            false => JobProgress::Queued,
        }))
    }

    /// The number of jobs of each queue none of whose tasks is placed or may have run.
    pub(crate) fn waiting(&self) -> Vec<WaitingJobs> {
        let mut waiting: IndexMap<Arc<str>, u64> = IndexMap::new();
        for job in self.jobs.values() {
            if !job.may_have_run && !job.is_placed() {
                *waiting.entry(job.queue.name.clone()).or_default() += 1;
            }
        }
        let waiting = waiting.into_iter();
        waiting
            .map(|(queue, jobs)| WaitingJobs { queue, jobs })
            .collect()
    }

    /// Handles all timers that are due.
    pub(crate) fn run_timers(&mut self, now: Timestamp) {
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                HomeTimer::Deadline(key) => self.on_deadline(now, key),
                HomeTimer::EndingTimeout(key) => self.on_ending_timeout(now, key),
                HomeTimer::OverdueTimeout(key) => self.place_overdue(key),
                HomeTimer::OrphanTimeout(key) => self.on_orphan_timeout(now, key),
                HomeTimer::ForgetAnswer(id) => {
                    self.ended.swap_remove(&id);
                }
            }
        }
    }

    /// Ends a job whose deadline has passed.
    fn on_deadline(&mut self, now: Timestamp, key: HomeJobKey) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let is_stopping = self.is_stopped_by(now);
        let why = match (job.may_have_run || job.is_placed(), is_stopping) {
            (true, true) => Unfinished::GivenUp(GivenUp::Stopping),
            (true, false) => Unfinished::GivenUp(GivenUp::Deadline),
            (false, true) => Unfinished::NotRun(NotRun::Stopping),
            (false, false) => Unfinished::NotRun(NotRun::WaitedTooLong),
        };
        self.end_unfinished(now, key, why);
    }

    /// Limits the deadlines of open jobs to the time when the stopping instance gives its last
    /// answers.
    pub(crate) fn stop(&mut self, last_answers_at: Timestamp) {
        self.last_answers_at = Some(last_answers_at);
        for (key, job) in &mut self.jobs {
            if job.deadline > last_answers_at {
                job.limit_deadline(last_answers_at);
                self.timers
                    .subscribe(last_answers_at, HomeTimer::Deadline(key));
            }
        }
    }

    /// Whether this instance is stopping and gives its last answers at `at` or earlier.
    pub(crate) fn is_stopped_by(&self, at: Timestamp) -> bool {
        self.last_answers_at.is_some_and(|last| last <= at)
    }

    /// Limits a caller's wait to the time until the stopping instance gives its last answers.
    pub(crate) fn limit_wait(&self, now: Timestamp, wait: Duration) -> Duration {
        self.last_answers_at
            .map_or(wait, |last| wait.min(last.since(now)))
    }

    /// Gives up an ending job whose other tasks have not been reported ended in time.
    fn on_ending_timeout(&mut self, now: Timestamp, key: HomeJobKey) {
        if self.jobs.contains_key(key) {
            self.end_unfinished(now, key, Unfinished::GivenUp(GivenUp::Deadline));
        }
    }

    /// The numbers of the open batches, by owner.
    pub(crate) fn open_batches(&self) -> IndexMap<OwnerRef, Vec<u64>> {
        let mut open: IndexMap<OwnerRef, Vec<u64>> = IndexMap::new();
        for (owner, number) in self.batches.keys() {
            open.entry(*owner).or_default().push(*number);
        }
        open
    }

    /// Whether no job is open.
    pub(crate) fn is_idle(&self) -> bool {
        self.jobs.is_empty()
    }
}

/// When a caller should retry after a refusal for load, unless a longer wait is known.
pub(crate) const RETRY_AFTER_OVERLOAD: Duration = Duration::from_secs(1);

/// The time after its acceptance within which a job is to end.
pub(crate) fn objective(
    queue: &JobQueueSettings,
    spec: &JobSpec,
    expected_run_times: &[Duration],
) -> Duration {
    let chain = longest_chain(spec, expected_run_times);
    chain * queue.stretch_percent.max(100) / 100 + queue.target_duration
}

/// The expected run time of the longest chain of dependent steps.
pub(crate) fn longest_chain(spec: &JobSpec, expected_run_times: &[Duration]) -> Duration {
    let mut ends: Vec<Duration> = Vec::with_capacity(expected_run_times.len());
    for (step, run) in spec.steps.iter().zip(expected_run_times) {
        let earlier = step.after.iter();
        let earlier = earlier.filter_map(|number| ends.get(*number as usize));
        let start = earlier.max().copied().unwrap_or_default();
        ends.push(start + *run);
    }
    ends.into_iter().max().unwrap_or_default()
}

fn log_accepted(now: Timestamp, job: &HomeJob) {
    let step = job.spec.steps.first();
    let declared = step.map(|step| step.declared_run_time).unwrap_or_default();
    let expected = job.expected_run_times.first().copied().unwrap_or_default();
    tracing::info!(
        job = %job.id, queue = %job.queue.name, steps = job.spec.steps.len(), tasks = job.tasks.len(),
        cpu_millicores = step.map_or(0, |step| step.resources.cpu_millicores),
        declared_ms = whole_ms(declared), expected_ms = whole_ms(expected),
        objective_ms = whole_ms(job.objective_at.since(now)),
        limit_ms = whole_ms(job.deadline.since(now)),
        queue_timeout_ms = job.queue.timeout.map(whole_ms),
        "job accepted"
    );
}

fn log_end(now: Timestamp, job: &HomeJob, outcome: &str) {
    let took_ms = whole_ms(now.since(job.accepted_at));
    let is_late = now > job.objective_at;
    tracing::info!(
        job = %job.id, queue = %job.queue.name, outcome, took_ms, is_late,
        limit_ms = whole_ms(job.deadline.since(job.accepted_at)),
        tasks = job.tasks.len(), open_tasks = job.open_tasks, placements = job.placements,
        "job ended"
    );
}
