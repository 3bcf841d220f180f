//! The delegating instance: sends jobs, answers their callers, and takes back what was not taken.

use std::sync::Arc;
use std::time::Duration;

use super::holding::DELEGATION_MARGIN;
use super::message::DelegatedJob;
use super::message::DelegationOutcome;
use super::report::DelegationReport;
use super::sent_jobs::SentJob;
use super::sent_jobs::SentState;
use crate::id::Incarnation;
use crate::id::RequestId;
use crate::runs::home::ANSWER_MARGIN;
use crate::runs::home_answers::RETRY_AFTER_OVERLOAD;
use crate::runs::home_job::Unfinished;
use crate::runs::intended_state::JobQueueSettings;
use crate::runs::job_spec::JobSpec;
use crate::runs::requesting::not_run;
use crate::runs::run_answer::GivenUp;
use crate::runs::run_answer::JobEnd;
use crate::runs::run_answer::NotRun;
use crate::runs::run_answer::RunAnswer;
use crate::runs::run_dispatcher::DispatcherTimer;
use crate::runs::run_dispatcher::RunDispatcher;
use crate::runs::run_id::JobId;
use crate::runs::run_id::PeerKey;
use crate::runs::run_message::RunMessage;
use crate::runs::whole_ms::whole_ms;
use crate::time::Timestamp;

impl RunDispatcher {
    /// Delegates a new job to a larger instance; returns false when it stays here.
    pub(crate) fn delegate(
        &mut self,
        request: RequestId,
        queue: &Arc<JobQueueSettings>,
        (id, spec): (JobId, &Arc<JobSpec>),
        wait: Duration,
    ) -> bool {
        let is_too_short = wait <= ANSWER_MARGIN + DELEGATION_MARGIN;
        let is_late = !self.inputs.is_current(self.now);
        if self.is_leaving || is_too_short || is_late || self.sent_jobs.is_full() {
            return false;
        }
        let shares = &self.sent_jobs.shares;
        let receiver = shares.receiver(id, |name| self.receiver_clock(name).is_some());
        let Some(home_name) = receiver.cloned() else {
            return false;
        };
        let Some((home, incarnation, echo)) = self.receiver_clock(&home_name) else {
            return false;
        };
        let number = self.sent_jobs.next_number();
        tracing::info!(job = %id, queue = %queue.name, home = %home_name, number, "job delegated");
        let message = DelegatedJob {
            number,
            job: id,
            queue: queue.name.clone(),
            service: queue.service.clone(),
            wait,
            spec: spec.clone(),
        };
        self.send(home, RunMessage::Delegate(message));
        let deadline = self.now + wait.saturating_sub(ANSWER_MARGIN);
        let timer = DispatcherTimer::DelegatedDeadline(number);
        let job = SentJob {
            id,
            queue: queue.clone(),
            spec: spec.clone(),
            waiters: vec![request],
            arrived_at: self.now,
            wait,
            home,
            home_name,
            incarnation,
            echo,
            is_held: false,
            timer: self.timers.subscribe(deadline, timer),
        };
        self.sent_jobs.insert(number, job);
        true
    }

    /// A reachable instance that is not leaving, and the estimate of its clock.
    fn receiver_clock(&self, name: &str) -> Option<(PeerKey, Incarnation, Timestamp)> {
        let key = self.peers.by_name(name)?;
        let peer = &self.peers.peers[key];
        let takes_jobs = peer.is_reachable(self.now) && !peer.is_leaving && !peer.digest.leaving;
        let echo = peer.clock_estimate(self.now).filter(|_| takes_jobs)?;
        Some((key, peer.incarnation, echo))
    }

    /// Handles what became of a delegated job.
    pub(crate) fn handle_delegation_outcome(
        &mut self,
        home: PeerKey,
        incarnation: Incarnation,
        number: u64,
        outcome: DelegationOutcome,
    ) {
        if !self.sent_jobs.is_at(number, home, incarnation) {
            return;
        }
        let answer = match outcome {
            DelegationOutcome::Declined => return self.take_back(number, "declined"),
            DelegationOutcome::NotRun {
                reason,
                retry_after,
            } => not_run(reason, retry_after),
            DelegationOutcome::Ended(end) => RunAnswer::Ended(end),
            DelegationOutcome::GivenUp(reason) => RunAnswer::GivenUp(reason),
        };
        self.sent_jobs.counts.answered += 1;
        self.end_delegated(number, &answer);
    }

    /// Removes a delegated job and answers its callers; returns the job.
    fn end_delegated(&mut self, number: u64, answer: &RunAnswer) -> Option<SentJob> {
        let job = self.sent_jobs.remove(number)?;
        self.timers.cancel(job.timer);
        tracing::info!(
            job = %job.id, queue = %job.queue.name, home = %job.home_name, number, outcome = ?answer,
            took_ms = whole_ms(self.now.since(job.arrived_at)), limit_ms = whole_ms(job.wait),
            "delegated job ended"
        );
        for request in &job.waiters {
            self.answer(*request, answer.clone());
        }
        Some(job)
    }

    /// Answers the callers of a delegated job of which something may have run, and withdraws it.
    fn give_up_delegated(&mut self, number: u64, reason: GivenUp) {
        let Some(job) = self.end_delegated(number, &RunAnswer::GivenUp(reason)) else {
            return;
        };
        let is_limit_passed = self.now >= job.arrived_at + job.wait.saturating_sub(ANSWER_MARGIN);
        let why = Unfinished::GivenUp(reason);
        self.home.counts.count_unfinished(why, is_limit_passed);
        self.sent_jobs.counts.given_up += 1;
        self.withdraw_delegated(number, &job);
    }

    fn withdraw_delegated(&mut self, number: u64, job: &SentJob) {
        // Another incarnation may have a job of this number.
        let peer = self.peers.peers.get(job.home);
        if peer.is_some_and(|peer| peer.incarnation == job.incarnation) {
            self.send(job.home, RunMessage::WithdrawDelegated { number });
        }
    }

    /// Becomes the home of a job that the receiver certainly has not taken and will not take.
    pub(crate) fn take_back(&mut self, number: u64, reason: &'static str) {
        let Some(job) = self.sent_jobs.remove(number) else {
            return;
        };
        self.timers.cancel(job.timer);
        self.sent_jobs.counts.taken_back += 1;
        let waited = self.now.since(job.arrived_at);
        tracing::info!(
            job = %job.id, home = %job.home_name, number, reason, waited_ms = whole_ms(waited),
            "delegated job taken back"
        );
        let left = job.wait.saturating_sub(waited);
        for request in &job.waiters {
            let answer = match left <= ANSWER_MARGIN {
                true => Some(not_run(NotRun::WaitedTooLong, Some(RETRY_AFTER_OVERLOAD))),
                false => {
                    let new = (job.id, &job.spec);
                    self.accept(*request, &job.queue, new, left, waited)
                }
            };
            if let Some(answer) = answer {
                self.answer(*request, answer);
            }
        }
    }

    /// Handles a message with a delegated job that was not sent.
    pub(crate) fn delegation_not_sent(
        &mut self,
        home: PeerKey,
        incarnation: Incarnation,
        number: u64,
    ) {
        if self.sent_jobs.is_at(number, home, incarnation) {
            self.take_back(number, "not_sent");
        }
    }

    /// Removes the request of a caller that left; withdraws its job when no other caller waits for it.
    pub(crate) fn drop_delegated_request(&mut self, request: RequestId) {
        let Some(number) = self.sent_jobs.drop_request(request) else {
            return;
        };
        let cancelled = RunAnswer::GivenUp(GivenUp::Cancelled);
        if let Some(job) = self.end_delegated(number, &cancelled) {
            self.sent_jobs.counts.withdrawn += 1;
            self.withdraw_delegated(number, &job);
        }
    }

    /// Cancels a job that was delegated; returns false when there is none of this name.
    pub(crate) fn cancel_delegated(&mut self, id: JobId) -> bool {
        let Some(number) = self.sent_jobs.number_of(id) else {
            return false;
        };
        if let Some(job) = self.end_delegated(number, &RunAnswer::Ended(JobEnd::Cancelled)) {
            self.sent_jobs.counts.withdrawn += 1;
            // Other callers may have joined the job at its home.
            self.send(job.home, RunMessage::CancelJob { job: id });
            self.withdraw_delegated(number, &job);
        }
        true
    }

    /// Gives up a delegated job whose caller is about to leave, or that outlasts this process.
    pub(crate) fn on_delegated_deadline(&mut self, number: u64) {
        let reason = match self.home.is_stopped_by(self.now) {
            true => GivenUp::Stopping,
            false => GivenUp::Deadline,
        };
        self.give_up_delegated(number, reason);
    }

    /// Limits the deadlines of delegated jobs to the time of the last answers.
    pub(crate) fn stop_delegating(&mut self, last_answers_at: Timestamp) {
        for (number, job) in self.sent_jobs.jobs_mut() {
            if job.arrived_at + job.wait.saturating_sub(ANSWER_MARGIN) <= last_answers_at {
                continue;
            }
            self.timers.cancel(job.timer);
            let timer = DispatcherTimer::DelegatedDeadline(number);
            job.timer = self.timers.subscribe(last_answers_at, timer);
        }
    }

    /// Gives up the jobs of an instance that is unreachable or whose incarnation has ended.
    pub(crate) fn give_up_delegated_to(&mut self, home: PeerKey, incarnation: Incarnation) {
        for number in self.sent_jobs.numbers_at(home, incarnation) {
            self.give_up_delegated(number, GivenUp::HomeLost);
        }
    }

    /// Compares the jobs delegated to an instance with its heartbeat.
    pub(crate) fn reconcile_delegated(
        &mut self,
        home: PeerKey,
        incarnation: Incarnation,
        sent_at: Timestamp,
        report: &DelegationReport,
    ) {
        for number in self.sent_jobs.numbers_at(home, incarnation) {
            match self.sent_jobs.apply_report(number, sent_at, report) {
                SentState::Unchanged => {}
                SentState::NeverTaken => self.take_back(number, "never_taken"),
                SentState::Lost => self.give_up_delegated(number, GivenUp::HomeLost),
            }
        }
    }
}
