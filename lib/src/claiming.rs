//! Idempotency keys: claiming a key for this incarnation, and finding the home of a key's job.

use std::sync::Arc;

use crate::action::Action;
use crate::dispatcher::Dispatcher;
use crate::event::ClaimOutcome;
use crate::event::PeerIdentity;
use crate::id::JobAddress;
use crate::job::JobOrigin;
use crate::job::JobStage;
use crate::job::Waiter;
use crate::key_table::IdempotencyKey;
use crate::key_table::KeyState;
use crate::keys::JobKey;
use crate::outcome::FailReason;
use crate::outcome::JobAnswer;
use crate::outcome::NotRunReason;
use crate::peer_message::ForwardedRequest;
use crate::pending_claim::PendingClaim;
use crate::submission::Submission;
use crate::submitting::DEFAULT_RETRY_AFTER;

impl Dispatcher {
    /// Starts a claim of the job's key in the platform's table, for this incarnation as home.
    pub(crate) fn claim(&mut self, job: JobKey, address: &JobAddress) {
        let JobAddress::Key { team, key } = address else {
            return;
        };
        let claim = self.insert_claim(PendingClaim::Job(job));
        self.jobs[job].first_claim.get_or_insert(claim);
        self.actions.push(Action::Claim {
            claim,
            team: team.clone(),
            key: key.clone(),
        });
    }

    /// Starts a read of the platform's table to find the home of the key's job.
    pub(crate) fn find_home(
        &mut self,
        waiter: Waiter,
        address: &JobAddress,
        request: ForwardedRequest,
    ) {
        let JobAddress::Key { team, key } = address else {
            return;
        };
        let claim = self.insert_claim(PendingClaim::FindHome {
            waiter,
            address: address.clone(),
            request,
        });
        self.actions.push(Action::FindHome {
            claim,
            team: team.clone(),
            key: key.clone(),
        });
    }

    fn insert_claim(&mut self, pending: PendingClaim) -> u64 {
        let claim = self.next_claim;
        self.next_claim += 1;
        self.claims.insert(claim, pending);
        claim
    }

    /// Handles the table's answer to a claim or a read.
    pub(crate) fn on_claim_ended(&mut self, claim: u64, end: ClaimOutcome) {
        match self.claims.swap_remove(&claim) {
            Some(PendingClaim::Job(job)) => self.end_job_claim(job, end),
            Some(PendingClaim::FindHome {
                waiter,
                address,
                request,
            }) => self.on_home_found(waiter, &address, request, end),
            None => {}
        }
    }

    fn end_job_claim(&mut self, key: JobKey, end: ClaimOutcome) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        if job.stage != JobStage::Claiming {
            return;
        }
        match end {
            ClaimOutcome::Acquired => {
                job.stage = JobStage::Open;
                self.enqueue(key);
            }
            ClaimOutcome::AlreadyClaimed { home, claim } => {
                self.on_already_claimed(key, &home, claim);
            }
            ClaimOutcome::Unclaimed | ClaimOutcome::Unavailable => {
                self.end_job(
                    key,
                    JobAnswer::NotRun {
                        reason: NotRunReason::ClaimUnavailable,
                        retry_after: Some(DEFAULT_RETRY_AFTER),
                    },
                );
            }
        }
    }

    fn on_already_claimed(&mut self, key: JobKey, home: &PeerIdentity, claim: u64) {
        if home.incarnation == self.config.incarnation {
            self.on_claimed_here(key, claim);
        } else {
            self.on_claimed_elsewhere(key, home);
        }
    }

    fn on_claimed_elsewhere(&mut self, key: JobKey, home: &PeerIdentity) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let JobOrigin::Callers { address, waiters } = &mut job.origin else {
            return;
        };
        let address = address.clone();
        let waiters = std::mem::take(waiters);
        let submission = Arc::new(self.submission_of(key));
        self.set_key_state(&address, KeyState::Unknown);
        self.remove_job(key);
        for waiter in waiters {
            let request = ForwardedRequest::Submit(submission.clone());
            let instance = home.instance.clone();
            self.forward(waiter, instance, home.incarnation, &address, request);
        }
    }

    /// Handles a row that holds an earlier claim of this incarnation.
    ///
    /// The job may run only when nothing has run under the key since that claim.
    fn on_claimed_here(&mut self, key: JobKey, claim: u64) {
        let job = &mut self.jobs[key];
        if job.first_claim.is_some_and(|first| claim >= first) {
            job.stage = JobStage::Open;
            return self.enqueue(key);
        }
        let answer = JobAnswer::Failed {
            reason: FailReason::AnswerExpired,
            task: None,
            retry_after: None,
        };
        self.end_job(key, answer);
    }

    fn submission_of(&self, key: JobKey) -> Submission {
        let job = &self.jobs[key];
        let service = &self.site.services[job.service];
        let team = self.site.teams.get(job.team);
        let team = team.map_or("", |team| team.settings.name.as_str());
        Submission {
            service: service.name.clone(),
            team: Arc::from(team),
            timeout: Some(job.deadline.since(self.now)),
            idempotent: job.idempotent,
            needs: job.needs,
            declared_run_time: job.declared_run_time,
            inputs: job.tasks.iter().map(|task| task.input.clone()).collect(),
            traceparent: job.traceparent.clone(),
        }
    }

    /// Records the state of the key that addresses a job; other addresses are ignored.
    pub(crate) fn set_key_state(&mut self, address: &JobAddress, state: KeyState) {
        let JobAddress::Key { team, key } = address else {
            return;
        };
        let name = IdempotencyKey {
            team: team.clone(),
            key: key.clone(),
        };
        let expires_at = self.now + self.answer_retention();
        self.idempotency_keys.set(name, state, expires_at);
    }

    fn on_home_found(
        &mut self,
        waiter: Waiter,
        address: &JobAddress,
        request: ForwardedRequest,
        end: ClaimOutcome,
    ) {
        match end {
            ClaimOutcome::AlreadyClaimed { home, .. }
                if home.incarnation != self.config.incarnation =>
            {
                self.forward(waiter, home.instance, home.incarnation, address, request);
            }
            ClaimOutcome::AlreadyClaimed { .. } | ClaimOutcome::Acquired => {
                self.answer_failed(waiter, FailReason::AnswerExpired, None);
            }
            ClaimOutcome::Unclaimed => {
                self.answer_not_run(waiter, NotRunReason::NotSubmitted, None);
            }
            ClaimOutcome::Unavailable => {
                let retry_after = Some(DEFAULT_RETRY_AFTER);
                self.answer_failed(waiter, FailReason::HomeUnreachable, retry_after);
            }
        }
    }
}
