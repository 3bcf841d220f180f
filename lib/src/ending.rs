//! Ending jobs: answers, cancellation, deadlines, and what is kept afterwards.

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
use crate::key_table::KeyName;
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
use crate::submitting::RETRY_SOON;

impl Dispatcher {
    /// How long answers are kept for callers that ask again.
    pub(crate) fn keep_answers(&self) -> Duration {
        Duration::from_millis(self.config.limits.keep_answers_ms)
    }

    /// Ends a job all of whose tasks ended.
    pub(crate) fn complete_job(&mut self, key: JobKey) {
        let job = &mut self.jobs[key];
        if matches!(job.origin, JobOrigin::Batch { .. }) {
            return self.answer_batch(key);
        }
        let results = job.take_results();
        self.end_job(key, JobAnswer::Complete { results });
    }

    /// Ends a job that has tasks left: not run when nothing started, else failed.
    pub(crate) fn end_unfinished(
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

    /// Gives a job its answer, tells everyone who waits, and withdraws what is left of it.
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
                self.free_address(address, cancelled, unresolved);
                self.jobs.remove(key);
            }
            JobAnswer::Complete { .. } | JobAnswer::Failed { .. } => {
                let forget_at = self.now + self.keep_answers();
                self.timers.subscribe(forget_at, Timer::Forget(key));
            }
        }
    }

    /// Lets an address run a job again after one of which nothing ran.
    fn free_address(&mut self, address: &JobAddress, cancelled: bool, unresolved: Option<u64>) {
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
            None => KeyState::OwnedNotRun,
        };
        self.set_key_state(address, state);
    }

    /// Takes a job out of the queue, stops what runs of it and gives back its quota.
    fn withdraw(&mut self, key: JobKey) {
        let job = &self.jobs[key];
        let (service_key, team_key) = (job.service, job.team);
        let (waiting, open_tasks) = (job.waiting.len(), job.open_tasks);
        let is_queued = job.stage == JobStage::Open;
        let from_callers = matches!(job.origin, JobOrigin::Callers { .. });
        self.timers.cancel(job.deadline_timer);
        self.stop_tasks(key);
        let service = &mut self.plan.services[service_key];
        service.unqueue_job(key);
        if is_queued {
            service.queued_tasks -= u32::try_from(waiting).unwrap_or(u32::MAX);
        }
        self.jobs[key].waiting.clear();
        if from_callers && let Some(team) = self.plan.teams.get_mut(team_key) {
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
            let target = self.plan.upstreams[upstream].target.clone();
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

    /// Removes a job that needs no answer here.
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

    /// Drops the kept answer of an ended job.
    pub(crate) fn forget_job(&mut self, key: JobKey) {
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

    /// Ends a job whose deadline passed.
    pub(crate) fn pass_deadline(&mut self, key: JobKey) {
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
        self.end_unfinished(key, not_run, reason, Some(RETRY_SOON));
    }

    /// Cancels a job at its home, or hands the request to it.
    pub(crate) fn cancel(&mut self, waiter: Waiter, address: &JobAddress) {
        let Some(key) = self.find_job(&waiter, address, ForwardedRequest::Cancel) else {
            return;
        };
        self.join(waiter, key, None);
        if self.jobs[key].stage == JobStage::Ended {
            return;
        }
        self.end_unfinished(key, NotRunReason::Cancelled, FailReason::Cancelled, None);
    }

    /// Gives the answer of a job at its home, or hands the request to it.
    pub(crate) fn look_up(&mut self, waiter: Waiter, address: &JobAddress) {
        if let Some(key) = self.find_job(&waiter, address, ForwardedRequest::LookUp) {
            self.join(waiter, key, None);
        }
    }

    /// The job of this address when this is its home; else answers or forwards the request.
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
                self.job_of_number(waiter, address, state, &request)
            }
            JobAddress::Key { team, key } => {
                let name = KeyName {
                    team: team.clone(),
                    key: key.clone(),
                };
                self.job_of_key(waiter, address, &name, request)
            }
        }
    }

    fn job_of_number(
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

    fn job_of_key(
        &mut self,
        waiter: &Waiter,
        address: &JobAddress,
        name: &KeyName,
        request: ForwardedRequest,
    ) -> Option<JobKey> {
        match self.keys.state(name) {
            KeyState::Job(key) => return Some(key),
            KeyState::OwnedNotRun => {
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

    /// Forgets a caller that went away; its job goes on when it can be asked for again.
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
            self.end_unfinished(key, NotRunReason::Cancelled, FailReason::Cancelled, None);
        }
    }
}
