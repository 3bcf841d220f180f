//! Starting tasks at upstreams and handling the ends of their attempts.

use crate::action::Action;
use crate::action::Attempt;
use crate::choice::Candidate;
use crate::dispatcher::Dispatcher;
use crate::dispatcher::Timer;
use crate::health::HealthChange;
use crate::id::AttemptId;
use crate::id::JobAddress;
use crate::job::JobOrigin;
use crate::job::JobStage;
use crate::job::TaskState;
use crate::keys::JobKey;
use crate::keys::ServiceKey;
use crate::keys::UpstreamKey;
use crate::outcome::AttemptEnd;
use crate::outcome::FailReason;
use crate::outcome::JobAnswer;
use crate::outcome::NotRunReason;
use crate::outcome::NotStartedCause;
use crate::peer_message::TaskEnd;
use crate::running_attempt::RunningAttempt;
use crate::submission::Needs;
use crate::submitting::DEFAULT_RETRY_AFTER;

/// After this many requeues, a task that could not be sent is not requeued again.
const MAX_UNSENT_REQUEUES: u32 = 8;

/// After this many attempts with an unknown end, a task is not started again: it may be what its
/// upstreams fail from.
const MAX_UNKNOWN_ENDS: u32 = 2;

/// An upstream with a free slot, for tasks whose needs are within its resources.
struct FreeUpstream {
    candidate: Candidate,
    resources: Needs,
}

impl Dispatcher {
    /// Starts or forwards every task that can be, in all services marked dirty.
    pub(crate) fn dispatch_dirty(&mut self) {
        while let Some(service) = self.dirty_services.pop() {
            while self.start_next(service) {}
            self.forward_overflow(service);
        }
    }

    /// Starts the next task of a service; returns false when none can start.
    fn start_next(&mut self, service_key: ServiceKey) -> bool {
        let free = self.free_upstreams(service_key);
        if free.is_empty() {
            return false;
        }
        let Some(service) = self.site.services.get_mut(service_key) else {
            return false;
        };
        let jobs = &self.jobs;
        let fits = |job: JobKey| {
            let needs = jobs.get(job).map(|job| job.needs);
            needs.is_some_and(|needs| free.iter().any(|upstream| upstream.resources.covers(needs)))
        };
        let Some(job) = service.queue.next(self.now, &mut { fits }) else {
            return false;
        };
        let needs = jobs[job].needs;
        let candidates = free
            .into_iter()
            .filter(|upstream| upstream.resources.covers(needs));
        let candidates: Vec<Candidate> = candidates.map(|upstream| upstream.candidate).collect();
        let Some(chosen) = service.choice.choose(&candidates) else {
            return false;
        };
        let upstream = candidates[chosen].upstream;
        self.start_task(service_key, job, upstream);
        true
    }

    fn free_upstreams(&self, service_key: ServiceKey) -> Vec<FreeUpstream> {
        let Some(service) = self.site.services.get(service_key) else {
            return Vec::new();
        };
        if service.queued_tasks == 0 {
            return Vec::new();
        }
        let unix_ms = self.unix_now_ms();
        let upstreams = service.upstreams.iter();
        let free = upstreams.filter_map(|key| {
            let upstream = &self.site.upstreams[*key];
            let candidate = Candidate {
                upstream: *key,
                in_flight: upstream.in_flight,
                slots: upstream.effective_slots,
                recent_latency_us: upstream.latency.recent_us(),
            };
            let resources = upstream.resources;
            let has_capacity = upstream.has_capacity(self.now, unix_ms);
            has_capacity.then_some(FreeUpstream {
                candidate,
                resources,
            })
        });
        free.collect()
    }

    fn start_task(&mut self, service_key: ServiceKey, key: JobKey, upstream_key: UpstreamKey) {
        let Some(index) = self.take_waiting(key) else {
            return;
        };
        let attempt = AttemptId(self.next_attempt);
        self.next_attempt += 1;
        let service = &mut self.site.services[service_key];
        service.running += 1;
        let upstream = &mut self.site.upstreams[upstream_key];
        upstream.in_flight += 1;
        let job = &mut self.jobs[key];
        job.set_in_flight(index, TaskState::Running(attempt));
        let task = &job.tasks[index as usize];
        self.counts.attempts += 1;
        if task.requeues == 0 {
            service.retry_budget.on_first_attempt();
        } else {
            self.counts.retries += 1;
        }
        self.actions.push(Action::StartAttempt(Attempt {
            attempt,
            target: upstream.target.clone(),
            task: task.id,
            input: task.input.clone(),
            start_before: job.deadline,
            timeout_at: job.deadline,
            traceparent: job.traceparent.clone(),
        }));
        let running = RunningAttempt {
            job: key,
            index,
            service: service_key,
            upstream: upstream_key,
            started_at: self.now,
        };
        self.attempts.insert(attempt, running);
    }

    /// Removes a job's next waiting task from the queue and returns its index.
    pub(crate) fn take_waiting(&mut self, key: JobKey) -> Option<u32> {
        let job = self.jobs.get_mut(key)?;
        let index = job.take_waiting()?;
        let service = &mut self.site.services[job.service];
        service.queued_tasks -= 1;
        let weight = self.site.teams.get(job.team);
        let weight = weight.map_or(1, |team| team.settings.weight);
        let cost = service.estimate.reading(None).mean;
        service.queue.charge(job.team, weight, cost);
        if job.waiting.is_empty() {
            service.queue.remove(key);
        }
        Some(index)
    }

    /// Handles the end of an attempt.
    pub(crate) fn on_attempt_ended(&mut self, attempt: AttemptId, end: AttemptEnd) {
        let Some(running) = self.attempts.swap_remove(&attempt) else {
            return;
        };
        self.record_attempt_end(&running, &end);
        self.mark_dirty(running.service);
        let Some(job) = self.jobs.get(running.job) else {
            return;
        };
        let task = job.tasks.get(running.index as usize);
        let current = matches!(task, Some(task) if is_running(&task.state, attempt));
        if job.stage == JobStage::Open && current {
            self.end_task(running.job, running.index, end);
        }
    }

    /// Updates estimates, health and counters from an attempt's end, even when its job is over.
    fn record_attempt_end(&mut self, running: &RunningAttempt, end: &AttemptEnd) {
        let took = self.now.since(running.started_at);
        let declared = self
            .jobs
            .get(running.job)
            .and_then(|job| job.declared_run_time);
        if let Some(service) = self.site.services.get_mut(running.service) {
            service.running -= 1;
            if matches!(end, AttemptEnd::Finished { .. }) {
                service.record_run(declared, took);
            }
        }
        let Some(upstream) = self.site.upstreams.get_mut(running.upstream) else {
            return;
        };
        upstream.in_flight -= 1;
        match end {
            AttemptEnd::Finished { .. } => {
                self.counts.upstream_answers += 1;
                // The result is not needed: the service is dispatched again after every end.
                let _ = upstream.health.on_success(self.now);
                upstream.latency.record(took);
            }
            AttemptEnd::TaskFailed { .. } => {
                self.counts.upstream_answers += 1;
                self.record_task_failure(running);
            }
            AttemptEnd::NotStarted(NotStartedCause::Refused) => {
                self.counts.refusals += 1;
                upstream.health.on_refusal(self.now);
                upstream.pause(self.now);
                let changes_at = upstream.health.next_change(self.now);
                let resumes_at = changes_at.unwrap_or(self.now).max(upstream.paused_until);
                self.timers
                    .subscribe(resumes_at, Timer::Dispatch(running.service));
            }
            AttemptEnd::NotStarted(NotStartedCause::PastDeadline) => self.counts.refusals += 1,
            AttemptEnd::NotStarted(NotStartedCause::NotSent) => {
                self.counts.refusals += 1;
                self.record_failure(running);
            }
            AttemptEnd::Unknown(_) => self.record_failure(running),
        }
    }

    /// Ends a task of an open job, or requeues it for another attempt.
    pub(crate) fn end_task(&mut self, key: JobKey, index: u32, end: AttemptEnd) {
        match end {
            AttemptEnd::Finished { body } => self.finish_task(key, index, body),
            AttemptEnd::NotStarted(cause) => self.on_task_not_started(key, index, cause),
            AttemptEnd::TaskFailed { status } => {
                let end = AttemptEnd::TaskFailed { status };
                self.fail_task(key, index, end, FailReason::TaskFailed);
            }
            AttemptEnd::Unknown(cause) => {
                if self.try_retry_unknown(key, index) {
                    return self.requeue(key, index);
                }
                let end = AttemptEnd::Unknown(cause);
                self.fail_task(key, index, end, FailReason::Unknown);
            }
        }
    }

    fn finish_task(&mut self, key: JobKey, index: u32, body: bytes::Bytes) {
        let job = &mut self.jobs[key];
        job.finish_task(index, body);
        let (service, team, remaining) = (job.service, job.team, job.remaining());
        if let Some(team) = self.site.teams.get_mut(team) {
            team.quota.on_task_ended(1);
        }
        self.site.services[service].queue.update(key, remaining);
        if self.jobs[key].is_finished() {
            self.complete_job(key);
        }
    }

    /// Takes a retry from the budget when a task whose outcome is unknown may run again.
    ///
    /// Only single requests of one idempotent task may, if the service allows it, and only until the
    /// ends of [`MAX_UNKNOWN_ENDS`] attempts are unknown.
    fn try_retry_unknown(&mut self, key: JobKey, index: u32) -> bool {
        let job = &mut self.jobs[key];
        let task = &mut job.tasks[index as usize];
        task.unknown_ends += 1;
        if task.unknown_ends >= MAX_UNKNOWN_ENDS {
            return false;
        }
        let single = match &job.origin {
            JobOrigin::Callers { address, .. } => *address == JobAddress::Single,
            JobOrigin::Batch { .. } => false,
        };
        let service = &mut self.site.services[job.service];
        let allowed = job.idempotent && single && job.tasks.len() == 1;
        allowed && service.settings.retry_unknown && service.retry_budget.try_retry()
    }

    fn on_task_not_started(&mut self, key: JobKey, index: u32, cause: NotStartedCause) {
        let job = &self.jobs[key];
        let requeues = job.tasks[index as usize].requeues;
        let retries = &mut self.site.services[job.service].retry_budget;
        let again = match cause {
            _ if self.now >= job.deadline => false,
            // The pause after a refusal limits the rate of attempts at a full upstream.
            NotStartedCause::Refused => true,
            NotStartedCause::NotSent => requeues < MAX_UNSENT_REQUEUES && retries.try_retry(),
            NotStartedCause::PastDeadline => false,
        };
        if again {
            return self.requeue(key, index);
        }
        self.abandon_task(key, index, cause);
    }

    fn abandon_task(&mut self, key: JobKey, index: u32, cause: NotStartedCause) {
        let job = &mut self.jobs[key];
        job.requeue(index);
        let (not_run, failed) = match cause {
            NotStartedCause::PastDeadline => {
                (NotRunReason::DeadlinePassed, FailReason::DeadlinePassed)
            }
            _ => (NotRunReason::NotTaken, FailReason::NotTaken),
        };
        if let JobOrigin::Batch { ends, .. } = &mut job.origin {
            job.waiting.pop_front();
            let task = &mut job.tasks[index as usize];
            task.state = TaskState::Ended;
            job.open_tasks -= 1;
            ends.push(TaskEnd {
                task: task.id,
                end: AttemptEnd::NotStarted(cause),
            });
            if job.is_finished() {
                self.complete_job(key);
            }
            return;
        }
        let queued = &mut self.site.services[job.service].queued_tasks;
        *queued += 1;
        self.end_unfinished_job(key, not_run, failed, Some(DEFAULT_RETRY_AFTER));
    }

    /// Puts a task in flight back into the queue.
    pub(crate) fn requeue(&mut self, key: JobKey, index: u32) {
        let job = &mut self.jobs[key];
        let was_waiting = !job.waiting.is_empty();
        job.requeue(index);
        let service_key = job.service;
        if was_waiting {
            self.site.services[service_key].queued_tasks += 1;
            self.mark_dirty(service_key);
            return;
        }
        self.enqueue(key);
    }

    fn fail_task(&mut self, key: JobKey, index: u32, end: AttemptEnd, reason: FailReason) {
        let job = &mut self.jobs[key];
        job.ran = true;
        job.in_flight -= 1;
        let task = &mut job.tasks[index as usize];
        task.state = TaskState::Ended;
        if let JobOrigin::Batch { ends, .. } = &mut job.origin {
            ends.push(TaskEnd { task: task.id, end });
            return self.complete_job(key);
        }
        let answer = JobAnswer::Failed {
            reason,
            task: Some(index),
            retry_after: None,
        };
        self.end_job(key, answer);
    }

    /// Counts a failed task against its upstream, at most once per job.
    ///
    /// Otherwise a job that fails on every upstream would count one failure per task.
    fn record_task_failure(&mut self, running: &RunningAttempt) {
        let job = self.jobs.get(running.job);
        if job.is_some_and(|job| job.stage == JobStage::Open) {
            self.record_failure(running);
        }
    }

    /// Counts a failure against an upstream and schedules a dispatch for when it may be used again.
    fn record_failure(&mut self, running: &RunningAttempt) {
        if !self.site.policies().eject_failing {
            return;
        }
        let upstream = &mut self.site.upstreams[running.upstream];
        if upstream.health.on_failure(self.now) == HealthChange::Ejected {
            self.site.review_ejections(self.now, running.service);
        }
        let upstream = &self.site.upstreams[running.upstream];
        if let Some(retry_at) = upstream.health.next_change(self.now) {
            let timer = Timer::Dispatch(running.service);
            self.timers.subscribe(retry_at, timer);
        }
    }
}

fn is_running(state: &TaskState, attempt: AttemptId) -> bool {
    matches!(state, TaskState::Running(running) if *running == attempt)
}
