//! The end of jobs: answers, cancellation, deadlines, and the answers that are kept.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use crate::action::Action;
use crate::dispatcher::Dispatcher;
use crate::dispatcher::Timer;
use crate::id::BatchId;
use crate::id::JobAddress;
use crate::id::RequestId;
use crate::id::TaskId;
use crate::job::JobOrigin;
use crate::job::JobStage;
use crate::job::TaskState;
use crate::job::Waiter;
use crate::key_table::IdempotencyKey;
use crate::key_table::KeyState;
use crate::keys::JobKey;
use crate::keys::SiblingKey;
use crate::keys::UpstreamKey;
use crate::outcome::FailReason;
use crate::outcome::JobAnswer;
use crate::outcome::NotRunReason;
use crate::peer_message::ForwardedRequest;
use crate::peer_message::PeerMessage;
use crate::session::NumberState;
use crate::submitting::DEFAULT_RETRY_AFTER;

impl Dispatcher {
    /// How long answers are kept for callers that resubmit or look up the job.
    pub(crate) fn answer_retention(&self) -> Duration {
        Duration::from_millis(self.config.limits.keep_answers_ms)
    }

    /// Ends a job whose tasks have all ended.
    pub(crate) fn complete_job(&mut self, key: JobKey) {
        let job = &mut self.jobs[key];
        if matches!(job.origin, JobOrigin::Batch { .. }) {
            return self.answer_batch(key);
        }
        let results = job.take_results();
        self.end_job(key, JobAnswer::Complete { results });
    }

    /// Ends a job with open tasks: as not run when nothing was started, otherwise as failed.
    pub(crate) fn end_unfinished_job(
        &mut self,
        key: JobKey,
        not_run: NotRunReason,
        failed: FailReason,
        retry_after: Option<Duration>,
    ) {
        let answer = if self.jobs[key].may_have_run() {
            JobAnswer::Failed {
                reason: failed,
                task: None,
                retry_after: None,
            }
        } else {
            JobAnswer::NotRun {
                reason: not_run,
                retry_after,
            }
        };
        self.end_job(key, answer);
    }

    /// Ends a job: withdraws its open tasks, sends its waiters the answer and keeps the answer.
    pub(crate) fn end_job(&mut self, key: JobKey, answer: JobAnswer) {
        if matches!(self.jobs[key].origin, JobOrigin::Batch { .. }) {
            return self.remove_job(key);
        }
        self.withdraw(key);
        let job = &mut self.jobs[key];
        let JobOrigin::Callers { address, waiters } = &mut job.origin else {
            return;
        };
        let waiters = std::mem::take(waiters);
        let address = address.clone();
        let claiming = job.stage == JobStage::Claiming;
        let unresolved = job.first_claim.filter(|_| claiming);
        let answer = Arc::new(answer);
        job.stage = JobStage::Ended;
        job.tasks = Vec::new();
        job.answer = Some(answer.clone());
        self.open_jobs -= 1;
        for waiter in waiters {
            self.answer(waiter, answer.clone());
        }
        self.keep_answer(key, &address, &answer, unresolved);
    }

    fn keep_answer(
        &mut self,
        key: JobKey,
        address: &JobAddress,
        answer: &JobAnswer,
        unresolved: Option<u64>,
    ) {
        match answer {
            _ if *address == JobAddress::Single => {
                self.jobs.remove(key);
            }
            JobAnswer::NotRun { reason, .. } => {
                let cancelled = *reason == NotRunReason::Cancelled;
                self.release_address(address, cancelled, unresolved);
                self.jobs.remove(key);
            }
            JobAnswer::Complete { .. } | JobAnswer::Failed { .. } => {
                let forget_at = self.now + self.answer_retention();
                self.timers.subscribe(forget_at, Timer::AnswerExpiry(key));
            }
        }
    }

    /// Makes an address usable for another job after one that was not run.
    fn release_address(&mut self, address: &JobAddress, cancelled: bool, unresolved: Option<u64>) {
        if let JobAddress::Session { session, number } = address {
            let state = if cancelled {
                NumberState::Cancelled
            } else {
                NumberState::Unused
            };
            self.sessions.set(session.number, *number, state);
        }
        let state = match unresolved {
            Some(first_claim) => KeyState::Unresolved { first_claim },
            None => KeyState::ClaimedNotRun,
        };
        self.set_key_state(address, state);
    }

    /// Removes a job from the queue, stops its tasks in flight and returns its quota.
    fn withdraw(&mut self, key: JobKey) {
        let job = &self.jobs[key];
        let (service_key, team_key) = (job.service, job.team);
        let (waiting, open_tasks) = (job.waiting.len(), job.open_tasks);
        let is_queued = job.stage == JobStage::Open;
        let from_callers = matches!(job.origin, JobOrigin::Callers { .. });
        self.timers.cancel(job.deadline_timer);
        self.stop_tasks(key);
        let service = &mut self.site.services[service_key];
        service.queue.remove(key);
        if is_queued {
            service.queued_tasks -= u32::try_from(waiting).unwrap_or(u32::MAX);
        }
        self.jobs[key].waiting.clear();
        if from_callers && let Some(team) = self.site.teams.get_mut(team_key) {
            team.quota.on_task_ended(open_tasks);
        }
    }

    fn stop_tasks(&mut self, key: JobKey) {
        let job = &self.jobs[key];
        if job.in_flight == 0 {
            return;
        }
        let mut upstreams: IndexMap<UpstreamKey, Vec<TaskId>> = IndexMap::new();
        let mut batches: IndexMap<SiblingKey, Vec<BatchId>> = IndexMap::new();
        for task in &job.tasks {
            if let TaskState::Running(attempt) = &task.state
                && let Some(running) = self.attempts.get(attempt)
            {
                upstreams.entry(running.upstream).or_default().push(task.id);
            }
        }
        for (sibling, batch) in self.sent_batches.remove_of_job(key) {
            batches.entry(sibling).or_default().push(batch);
        }
        for (upstream, tasks) in upstreams {
            let target = self.site.upstreams[upstream].target.clone();
            self.counts.cancels += 1;
            self.actions.push(Action::StopTasks { target, tasks });
        }
        for (sibling, batches) in batches {
            let Some(state) = self.siblings.get(sibling) else {
                continue;
            };
            let instance = state.listed.name.clone();
            self.send_peer(instance, PeerMessage::CancelBatches { batches });
        }
    }

    /// Removes a job without answering it.
    pub(crate) fn remove_job(&mut self, key: JobKey) {
        if self
            .jobs
            .get(key)
            .is_some_and(|j| j.stage != JobStage::Ended)
        {
            self.withdraw(key);
            self.open_jobs -= 1;
        }
        self.jobs.remove(key);
    }

    /// Drops the kept answer of an ended job whose retention time is over.
    pub(crate) fn expire_answer(&mut self, key: JobKey) {
        let Some(job) = self.jobs.remove(key) else {
            return;
        };
        let JobOrigin::Callers { address, .. } = job.origin else {
            return;
        };
        if let JobAddress::Session { session, number } = &address {
            let expired = NumberState::Expired;
            self.sessions.set(session.number, *number, expired);
        }
        self.set_key_state(&address, KeyState::Unknown);
    }

    /// Ends a job that is still open at its deadline.
    pub(crate) fn on_deadline_passed(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        if job.stage == JobStage::Ended {
            return;
        }
        let not_run = if job.stage == JobStage::Claiming {
            NotRunReason::ClaimUnavailable
        } else {
            NotRunReason::DeadlinePassed
        };
        let reason = FailReason::DeadlinePassed;
        self.end_unfinished_job(key, not_run, reason, Some(DEFAULT_RETRY_AFTER));
    }

    /// Cancels a job if this is its home, otherwise forwards the request there.
    pub(crate) fn cancel(&mut self, waiter: Waiter, address: &JobAddress) {
        let Some(key) = self.find_job(&waiter, address, ForwardedRequest::Cancel) else {
            return;
        };
        self.add_waiter(waiter, key, None);
        if self.jobs[key].stage == JobStage::Ended {
            return;
        }
        self.end_unfinished_job(key, NotRunReason::Cancelled, FailReason::Cancelled, None);
    }

    /// Answers with a job's result if this is its home, otherwise forwards the request there.
    pub(crate) fn look_up(&mut self, waiter: Waiter, address: &JobAddress) {
        if let Some(key) = self.find_job(&waiter, address, ForwardedRequest::LookUp) {
            self.add_waiter(waiter, key, None);
        }
    }

    /// The job with this address if it is known here.
    ///
    /// Otherwise answers the waiter or forwards the request to the home, and returns `None`.
    fn find_job(
        &mut self,
        waiter: &Waiter,
        address: &JobAddress,
        request: ForwardedRequest,
    ) -> Option<JobKey> {
        match address {
            JobAddress::Single => {
                self.answer_not_run(waiter.clone(), NotRunReason::NotSubmitted, None);
                None
            }
            JobAddress::Session { session, number } => {
                if session.home != self.config.incarnation {
                    let instance = session.instance.clone();
                    self.forward(waiter.clone(), instance, session.home, address, request);
                    return None;
                }
                let state = self.sessions.state(self.now, session.number, *number);
                self.job_by_number(waiter, address, state, &request)
            }
            JobAddress::Key { team, key } => {
                let name = IdempotencyKey {
                    team: team.clone(),
                    key: key.clone(),
                };
                self.job_by_key(waiter, address, &name, request)
            }
        }
    }

    fn job_by_number(
        &mut self,
        waiter: &Waiter,
        address: &JobAddress,
        state: NumberState,
        request: &ForwardedRequest,
    ) -> Option<JobKey> {
        match state {
            NumberState::Job(key) => return Some(key),
            NumberState::Expired => {
                self.answer_failed(waiter.clone(), FailReason::AnswerExpired, None);
            }
            NumberState::Cancelled => {
                self.answer_not_run(waiter.clone(), NotRunReason::Cancelled, None);
            }
            NumberState::Unused => {
                if let (ForwardedRequest::Cancel, JobAddress::Session { session, number }) =
                    (request, address)
                {
                    let cancelled = NumberState::Cancelled;
                    self.sessions.set(session.number, *number, cancelled);
                }
                self.answer_not_run(waiter.clone(), NotRunReason::NotSubmitted, None);
            }
        }
        None
    }

    fn job_by_key(
        &mut self,
        waiter: &Waiter,
        address: &JobAddress,
        name: &IdempotencyKey,
        request: ForwardedRequest,
    ) -> Option<JobKey> {
        match self.idempotency_keys.state(name) {
            KeyState::Job(key) => return Some(key),
            KeyState::ClaimedNotRun => {
                self.answer_not_run(waiter.clone(), NotRunReason::NotSubmitted, None);
            }
            KeyState::Unknown | KeyState::Unresolved { .. } => {
                if matches!(waiter, Waiter::Sibling { .. }) {
                    self.answer_failed(waiter.clone(), FailReason::AnswerExpired, None);
                } else {
                    self.find_home(waiter.clone(), address, request);
                }
            }
        }
        None
    }

    /// Removes a caller whose connection closed.
    ///
    /// The job is cancelled if it was the only waiter and no later request can address the job.
    pub(crate) fn drop_request(&mut self, request: RequestId) {
        let waiter = Waiter::Request(request);
        let Some(key) = self.requests.swap_remove(&request) else {
            self.forwards.remove_waiter(&waiter);
            return;
        };
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let JobOrigin::Callers { address, waiters } = &mut job.origin else {
            return;
        };
        waiters.retain(|other| *other != waiter);
        if *address == JobAddress::Single && waiters.is_empty() {
            self.end_unfinished_job(key, NotRunReason::Cancelled, FailReason::Cancelled, None);
        }
    }
}
