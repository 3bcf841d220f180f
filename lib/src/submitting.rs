//! Submission of jobs: waiting for a known job, forwarding to its home, or opening a new one.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;

use crate::accepting::Accepted;
use crate::action::Action;
use crate::dispatcher::Dispatcher;
use crate::dispatcher::Timer;
use crate::id::JobAddress;
use crate::id::SessionId;
use crate::id::TaskId;
use crate::job::Job;
use crate::job::JobOrigin;
use crate::job::JobStage;
use crate::job::Task;
use crate::job::TaskState;
use crate::job::Waiter;
use crate::key_table::IdempotencyKey;
use crate::key_table::KeyState;
use crate::keys::JobKey;
use crate::outcome::FailReason;
use crate::outcome::JobAnswer;
use crate::outcome::NotRunReason;
use crate::peer_message::ForwardedRequest;
use crate::queue::QueueEntry;
use crate::session::NumberState;
use crate::submission::Submission;
use crate::time::Timestamp;

/// When a caller should retry if no better estimate is available.
pub(crate) const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Dispatcher {
    /// Handles a submission from a caller or, at the job's home, one that a sibling forwarded.
    pub(crate) fn submit(
        &mut self,
        waiter: Waiter,
        address: &JobAddress,
        submission: &Arc<Submission>,
    ) {
        match address {
            JobAddress::Single => self.open_job(waiter, address, submission, JobStage::Open),
            JobAddress::Session { session, number } => {
                self.submit_in_session(waiter, session, *number, submission);
            }
            JobAddress::Key { team, key } => {
                let name = IdempotencyKey {
                    team: team.clone(),
                    key: key.clone(),
                };
                self.submit_by_key(waiter, address, &name, submission);
            }
        }
    }

    fn submit_in_session(
        &mut self,
        waiter: Waiter,
        session: &SessionId,
        number: u64,
        submission: &Arc<Submission>,
    ) {
        let address = JobAddress::Session {
            session: session.clone(),
            number,
        };
        if session.home != self.config.incarnation {
            let request = ForwardedRequest::Submit(submission.clone());
            let instance = session.instance.clone();
            return self.forward(waiter, instance, session.home, &address, request);
        }
        match self.sessions.state(self.now, session.number, number) {
            NumberState::Unused => self.open_job(waiter, &address, submission, JobStage::Open),
            NumberState::Job(job) => self.add_waiter(waiter, job, Some(fingerprint(submission))),
            NumberState::Cancelled => self.answer_not_run(waiter, NotRunReason::Cancelled, None),
            NumberState::Expired => self.answer_failed(waiter, FailReason::AnswerExpired, None),
        }
    }

    fn submit_by_key(
        &mut self,
        waiter: Waiter,
        address: &JobAddress,
        name: &IdempotencyKey,
        submission: &Arc<Submission>,
    ) {
        let forwarded = matches!(waiter, Waiter::Sibling { .. });
        match self.idempotency_keys.state(name) {
            KeyState::Job(job) => self.add_waiter(waiter, job, Some(fingerprint(submission))),
            KeyState::ClaimedNotRun => self.open_job(waiter, address, submission, JobStage::Open),
            KeyState::Unknown if forwarded => {
                self.answer_failed(waiter, FailReason::AnswerExpired, None);
            }
            KeyState::Unknown | KeyState::Unresolved { .. } => {
                self.open_job(waiter, address, submission, JobStage::Claiming);
            }
        }
    }

    /// Adds a waiter to a job, or answers it at once when the job has ended.
    ///
    /// A `fingerprint` that differs from the job's is refused as a reused address.
    pub(crate) fn add_waiter(&mut self, waiter: Waiter, key: JobKey, fingerprint: Option<u64>) {
        let Some(job) = self.jobs.get_mut(key) else {
            return self.answer_failed(waiter, FailReason::AnswerExpired, None);
        };
        if fingerprint.is_some_and(|fingerprint| fingerprint != job.fingerprint) {
            return self.answer_failed(waiter, FailReason::AddressReused, None);
        }
        if let Some(answer) = job.answer.clone() {
            return self.answer(waiter, answer);
        }
        if let JobOrigin::Callers { waiters, .. } = &mut job.origin
            && !waiters.contains(&waiter)
        {
            if let Waiter::Request(request) = waiter {
                self.requests.insert(request, key);
            }
            waiters.push(waiter);
        }
    }

    /// Opens a job when every check passes; otherwise answers that it was not run.
    fn open_job(
        &mut self,
        waiter: Waiter,
        address: &JobAddress,
        submission: &Arc<Submission>,
        stage: JobStage,
    ) {
        let accepted = match self.accept(submission) {
            Ok(accepted) => accepted,
            Err((reason, retry_after)) => {
                return self.answer_not_run(waiter, reason, retry_after);
            }
        };
        let number = self.next_job;
        self.next_job += 1;
        let tasks = submission
            .inputs
            .iter()
            .zip(0..)
            .map(|(input, index)| Task {
                id: TaskId {
                    home: self.config.incarnation,
                    job: number,
                    index,
                },
                input: input.clone(),
                state: TaskState::Waiting,
                requeues: 0,
                unknown_ends: 0,
            });
        let tasks: Vec<Task> = tasks.collect();
        let origin = JobOrigin::Callers {
            address: address.clone(),
            waiters: Vec::new(),
        };
        let key = self.insert_job(origin, tasks, &accepted, submission, stage);
        self.add_waiter(waiter, key, None);
        self.record_address(address, key);
        if stage == JobStage::Claiming {
            self.claim(key, address);
        } else {
            self.enqueue(key);
        }
    }

    fn insert_job(
        &mut self,
        origin: JobOrigin,
        tasks: Vec<Task>,
        accepted: &Accepted,
        submission: &Submission,
        stage: JobStage,
    ) -> JobKey {
        let count = u32::try_from(tasks.len()).unwrap_or(u32::MAX);
        let timers = &mut self.timers;
        let key = self.jobs.insert_with_key(|key| Job {
            origin,
            stage,
            service: accepted.service,
            team: accepted.team,
            needs: submission.needs,
            idempotent: submission.idempotent,
            declared_run_time: submission.declared_run_time,
            traceparent: submission.traceparent.clone(),
            deadline: accepted.deadline,
            deadline_timer: timers.subscribe(accepted.deadline, Timer::Deadline(key)),
            fingerprint: fingerprint(submission),
            tasks,
            waiting: (0..count).collect::<VecDeque<u32>>(),
            open_tasks: count,
            in_flight: 0,
            ran: false,
            remaining_elsewhere: 0,
            first_claim: None,
            answer: None,
        });
        self.open_jobs += 1;
        key
    }

    /// Opens a job for the tasks of a batch, which are part of a sibling's job.
    ///
    /// Returns `None` when the document has no such service or team.
    pub(crate) fn insert_batch_job(
        &mut self,
        origin: JobOrigin,
        tasks: Vec<Task>,
        submission: &Submission,
        remaining: u32,
    ) -> Option<JobKey> {
        let service = self.site.service(&submission.service)?;
        let team = self.site.team(&submission.team)?;
        let accepted = Accepted {
            service,
            team,
            deadline: self.now + submission.timeout.unwrap_or_default(),
        };
        let count = u32::try_from(tasks.len()).unwrap_or(u32::MAX);
        let key = self.insert_job(origin, tasks, &accepted, submission, JobStage::Open);
        self.jobs[key].remaining_elsewhere = remaining.saturating_sub(count);
        self.enqueue(key);
        Some(key)
    }

    fn record_address(&mut self, address: &JobAddress, key: JobKey) {
        match address {
            JobAddress::Single => {}
            JobAddress::Session { session, number } => {
                let state = NumberState::Job(key);
                self.sessions.set(session.number, *number, state);
            }
            JobAddress::Key { team, key: name } => {
                let name = IdempotencyKey {
                    team: team.clone(),
                    key: name.clone(),
                };
                if let KeyState::Unresolved { first_claim } = self.idempotency_keys.state(&name) {
                    self.jobs[key].first_claim = Some(first_claim);
                }
                let never = Timestamp::from_us(u64::MAX);
                self.idempotency_keys.set(name, KeyState::Job(key), never);
            }
        }
    }

    /// Inserts an open job into its service's queue.
    pub(crate) fn enqueue(&mut self, key: JobKey) {
        let job = &self.jobs[key];
        let weight = self.site.teams.get(job.team);
        let entry = QueueEntry {
            job: key,
            team: job.team,
            weight: weight.map_or(1, |team| team.settings.weight),
            remaining: job.remaining(),
            deadline: job.deadline,
        };
        let waiting = u32::try_from(job.waiting.len()).unwrap_or(u32::MAX);
        let service_key = job.service;
        let service = &mut self.site.services[service_key];
        service.queue.insert(self.now, entry);
        service.queued_tasks += waiting;
        self.mark_dirty(service_key);
    }

    /// Answers a waiter that no task of its job was run.
    pub(crate) fn answer_not_run(
        &mut self,
        waiter: Waiter,
        reason: NotRunReason,
        retry_after: Option<Duration>,
    ) {
        let answer = JobAnswer::NotRun {
            reason,
            retry_after,
        };
        self.answer(waiter, Arc::new(answer));
    }

    /// Answers a waiter that its job failed after some task was run or may have been run.
    pub(crate) fn answer_failed(
        &mut self,
        waiter: Waiter,
        reason: FailReason,
        retry_after: Option<Duration>,
    ) {
        let answer = JobAnswer::Failed {
            reason,
            task: None,
            retry_after,
        };
        self.answer(waiter, Arc::new(answer));
    }

    /// Sends a waiter its answer.
    pub(crate) fn answer(&mut self, waiter: Waiter, answer: Arc<JobAnswer>) {
        match waiter {
            Waiter::Request(request) => {
                self.requests.swap_remove(&request);
                self.actions.push(Action::Answer { request, answer });
            }
            Waiter::Sibling {
                instance,
                correlation,
            } => self.answer_sibling(instance, correlation, &answer),
        }
    }
}

/// A hash of the service, the team and the inputs of a submission.
fn fingerprint(submission: &Submission) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(submission.service.as_bytes());
    hasher.update(&[0]);
    hasher.update(submission.team.as_bytes());
    for input in &submission.inputs {
        hasher.update(&input.len().to_le_bytes());
        hasher.update(input);
    }
    hasher.digest()
}
