//! Callers' requests: to submit, look up or cancel a job.

use std::time::Duration;

use super::event::RequestKind;
use super::intended_state::Target;
use super::run_answer::JobProgress;
use super::run_answer::NotRun;
use super::run_answer::RunAnswer;
use super::run_dispatcher::RunDispatcher;
use super::run_message::RunMessage;
use super::whole_ms::whole_ms;
use crate::id::RequestId;
use crate::time::Timestamp;

impl RunDispatcher {
    /// Handles a caller's request; answers it at once unless it waits for a job.
    pub(crate) fn handle_request(
        &mut self,
        request: RequestId,
        host: &str,
        path: &str,
        kind: RequestKind,
        wait: Option<Duration>,
    ) {
        let answer = match self.intended.clone() {
            None => Some(not_run(
                NotRun::NoIntendedState,
                Some(Duration::from_secs(1)),
            )),
            Some(intended) => match intended.target(host, path) {
                None => Some(self.deny_queue()),
                Some(target) => match kind {
                    RequestKind::Submit(spec) => self.submit(request, &target, spec, wait),
                    RequestKind::LookUp => Some(self.look_up(&target)),
                    RequestKind::Cancel => Some(self.cancel(&target)),
                },
            },
        };
        if let Some(answer) = answer {
            if !matches!(answer, RunAnswer::Waiting(_) | RunAnswer::State(_)) {
                let version = self.intended_version();
                tracing::info!(
                    path,
                    version,
                    origin = %self.intended_origin,
                    in_force_ms = whole_ms(self.now.since(self.intended_since)),
                    operators_age_ms = self.operators_as_of.map(|at| whole_ms(self.now.since(at))),
                    ?answer,
                    "request answered at once"
                );
            }
            self.answer(request, answer);
        }
    }

    /// The answer to a request for a queue that the intended state in force does not have: there is none
    /// only if no newer state can have been in force for longer than a change may take.
    fn deny_queue(&self) -> RunAnswer {
        let max_age = self.settings.limits.max_intended_age;
        let is_recent = |as_of: Timestamp| self.now.since(as_of) <= max_age;
        let is_newest = self.state_transfer.newest_version() <= self.intended_version();
        match is_newest && self.operators_as_of.is_some_and(is_recent) {
            true => RunAnswer::NoSuchQueue,
            false => not_run(NotRun::OutdatedState, Some(Duration::from_secs(1))),
        }
    }

    /// The state of a job, or the number of jobs of the queue that wait at reachable instances.
    fn look_up(&self, target: &Target<'_>) -> RunAnswer {
        if let Some(job) = target.job() {
            let delegated = self.sent_jobs.number_of(job);
            let delegated = delegated.map(|_| RunAnswer::State(JobProgress::Running));
            let known = self.home.look_up(job).or(delegated);
            return known.unwrap_or(RunAnswer::NoSuchJob);
        }
        if !target.rest.is_empty() {
            return RunAnswer::NoSuchJob;
        }
        let own = self.home.waiting();
        let peers = self.peers.peers.values();
        let reachable = peers.filter(|peer| peer.is_reachable(self.now));
        let theirs = reachable.flat_map(|peer| &peer.digest.waiting);
        let of_queue = own.iter().chain(theirs);
        let of_queue = of_queue.filter(|waiting| waiting.queue == target.queue.name);
        RunAnswer::Waiting(of_queue.map(|waiting| waiting.jobs).sum())
    }

    /// Cancels a job here, or asks the other instances to cancel it if its home is elsewhere.
    fn cancel(&mut self, target: &Target<'_>) -> RunAnswer {
        let Some(job) = target.job() else {
            return RunAnswer::NoSuchJob;
        };
        if self.home.cancel(self.now, job) || self.cancel_delegated(job) {
            return RunAnswer::Cancelled;
        }
        self.broadcast(&RunMessage::CancelJob { job });
        RunAnswer::NoSuchJob
    }
}

/// The answer for a job of which nothing ran.
pub(crate) fn not_run(reason: NotRun, retry_after: Option<Duration>) -> RunAnswer {
    RunAnswer::NotRun {
        reason,
        retry_after,
    }
}
