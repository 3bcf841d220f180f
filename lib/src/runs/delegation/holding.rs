//! The home of delegated jobs: accepts them, sends their answers, and ends what nobody waits for.

use std::time::Duration;

use super::held_jobs::Arrival;
use super::held_jobs::HeldJobs;
use super::message::DelegatedJob;
use super::message::DelegationOutcome;
use super::report::DelegationReport;
use crate::id::Incarnation;
use crate::id::RequestId;
use crate::runs::past_time::PastTime;
use crate::runs::run_answer::GivenUp;
use crate::runs::run_answer::RunAnswer;
use crate::runs::run_dispatcher::RunDispatcher;
use crate::runs::run_id::PeerKey;
use crate::runs::run_message::RunMessage;
use crate::runs::whole_ms::whole_ms;

/// How much earlier than a job of a caller of its own a home gives up a delegated one, so that the
/// answer reaches the delegating instance before that gives it up.
pub(crate) const DELEGATION_MARGIN: Duration = Duration::from_millis(10);

impl RunDispatcher {
    /// Handles a job that another instance delegates to this one; `age` is how long the message was in
    /// flight, none if that was too long, `as_of` the time of which it shows that callers waited.
    pub(crate) fn handle_delegated_job(
        &mut self,
        peer: PeerKey,
        sender: Incarnation,
        age: Option<Duration>,
        as_of: Option<PastTime>,
        job: DelegatedJob,
    ) {
        let number = job.number;
        match self.held_jobs.record_arrival(peer, sender, number) {
            Arrival::Held => return,
            Arrival::New => {}
            Arrival::Refused => return self.decline(peer, &job, "number"),
        }
        let Some(age) = age else {
            return self.decline(peer, &job, "stale");
        };
        if self.is_leaving {
            return self.decline(peer, &job, "leaving");
        }
        let queues = self.intended.iter().flat_map(|state| &state.queues);
        let mut queues = queues.filter(|queue| queue.name == job.queue);
        let queue = queues.find(|queue| queue.service == job.service).cloned();
        let Some(queue) = queue else {
            return self.decline(peer, &job, "queue");
        };
        let left = job.wait.saturating_sub(age + DELEGATION_MARGIN);
        if left.is_zero() || job.spec.check().is_err() {
            return self.decline(peer, &job, "invalid");
        }
        let from = self.peers.peers.get(peer);
        let from = from.map(|peer| peer.name.clone()).unwrap_or_default();
        tracing::info!(
            job = %job.job, queue = %job.queue, %from, number, age_ms = whole_ms(age),
            "delegated job accepted"
        );
        self.sent_jobs.counts.accepted += 1;
        let request = self.held_jobs.take(peer, sender, number, as_of);
        let new = (job.job, &job.spec);
        if let Some(answer) = self.accept(request, &queue, new, left, age) {
            self.answer(request, answer);
        }
    }

    fn decline(&mut self, peer: PeerKey, job: &DelegatedJob, reason: &'static str) {
        let number = job.number;
        tracing::info!(job = %job.job, queue = %job.queue, number, reason, "delegated job declined");
        self.sent_jobs.counts.declined += 1;
        let outcome = DelegationOutcome::Declined;
        self.send(peer, RunMessage::Delegated { number, outcome });
    }

    /// Sends the answer to a request that stands for callers of another instance.
    pub(crate) fn answer_delegated(&mut self, request: RequestId, answer: RunAnswer) {
        let outcome = DelegationOutcome::from(answer);
        let recorded = self.held_jobs.record_answer(self.now, request, &outcome);
        if let Some((peer, sender, number)) = recorded {
            self.send_outcome(peer, sender, number, outcome);
        }
    }

    fn send_outcome(
        &mut self,
        peer: PeerKey,
        sender: Incarnation,
        number: u64,
        outcome: DelegationOutcome,
    ) {
        // Another incarnation may have given this number to another job.
        let state = self.peers.peers.get(peer);
        if state.is_some_and(|state| state.incarnation == sender) {
            self.send(peer, RunMessage::Delegated { number, outcome });
        }
    }

    /// Ends a job that its delegating instance no longer waits for, as if its caller had left.
    pub(crate) fn handle_withdrawal(&mut self, peer: PeerKey, sender: Incarnation, number: u64) {
        if let Some(request) = self.held_jobs.withdraw(peer, sender, number) {
            self.home.drop_request(self.now, request);
        }
    }

    /// Ends the jobs of a delegating instance that is unreachable, as if their callers had left.
    pub(crate) fn drop_delegated_by(&mut self, sender: Incarnation) {
        for request in self.held_jobs.open_requests(sender) {
            self.home.drop_request(self.now, request);
            self.answer_delegated(request, RunAnswer::GivenUp(GivenUp::Cancelled));
        }
    }

    /// Compares the jobs held for a delegating instance with its heartbeat.
    pub(crate) fn reconcile_held(
        &mut self,
        peer: PeerKey,
        sender: Incarnation,
        report: &DelegationReport,
    ) {
        let changes = self.held_jobs.apply_report(self.now, sender, report);
        for request in changes.dropped {
            self.home.drop_request(self.now, request);
        }
        for (number, outcome) in changes.resent {
            self.send_outcome(peer, sender, number, outcome);
        }
    }

    /// What the heartbeat to an instance says about delegated jobs.
    pub(crate) fn delegation_report(
        &self,
        peer: PeerKey,
        incarnation: Incarnation,
    ) -> DelegationReport {
        let (held, highest_taken) = self.held_jobs.held_numbers(incarnation);
        DelegationReport {
            held,
            highest_taken,
            open: self.sent_jobs.numbers_at(peer, incarnation),
            highest_sent: self.sent_jobs.highest_number(),
            delegators: Vec::new(),
        }
    }

    /// Whether a reachable instance has not confirmed the end of a job that it delegated to this one.
    pub(crate) fn holds_delegated_jobs(&self) -> bool {
        self.held_jobs.senders().any(|peer| {
            let peer = self.peers.peers.get(peer);
            peer.is_some_and(|peer| peer.is_reachable(self.now))
        })
    }

    /// Whether a request stands for callers of another instance.
    pub(crate) fn is_delegated_request(request: RequestId) -> bool {
        HeldJobs::is_held(request)
    }
}
