//! Idempotency keys: which incarnation is the home of the job under a key.

use std::sync::Arc;

use crate::action::Action;
use crate::dispatcher::Dispatcher;
use crate::event::ClaimEnd;
use crate::event::PeerIdentity;
use crate::id::JobAddress;
use crate::job::JobOrigin;
use crate::job::JobStage;
use crate::job::Waiter;
use crate::key_table::KeyName;
use crate::key_table::KeyState;
use crate::keys::JobKey;
use crate::outcome::FailReason;
use crate::outcome::JobAnswer;
use crate::outcome::NotRunReason;
use crate::peer_message::ForwardedRequest;
use crate::pending_claim::PendingClaim;
use crate::submission::Submission;
use crate::submitting::RETRY_SOON;

impl Dispatcher {
    /// Asks the platform's table to make this incarnation the home of the key's job.
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

    /// Asks the platform's table who the home of the key's job is.
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

    /// Takes the table's answer.
    pub(crate) fn end_claim(&mut self, claim: u64, end: ClaimEnd) {
        match self.claims.swap_remove(&claim) {
            Some(PendingClaim::Job(job)) => self.end_job_claim(job, end),
            Some(PendingClaim::FindHome {
                waiter,
                address,
                request,
            }) => self.home_found(waiter, &address, request, end),
            None => {}
        }
    }

    fn end_job_claim(&mut self, key: JobKey, end: ClaimEnd) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        if job.stage != JobStage::Claiming {
            return;
        }
        match end {
            ClaimEnd::Acquired => {
                job.stage = JobStage::Open;
                self.enqueue(key);
            }
            ClaimEnd::AlreadyClaimed { home, claim } => self.claimed_before(key, &home, claim),
            ClaimEnd::Unclaimed | ClaimEnd::Unavailable => {
                self.end_job(
                    key,
                    JobAnswer::NotRun {
                        reason: NotRunReason::ClaimUnavailable,
                        retry_after: Some(RETRY_SOON),
                    },
                );
            }
        }
    }

    fn claimed_before(&mut self, key: JobKey, home: &PeerIdentity, claim: u64) {
        if home.incarnation == self.config.incarnation {
            self.claimed_here(key, claim);
        } else {
            self.claimed_elsewhere(key, home);
        }
    }

    fn claimed_elsewhere(&mut self, key: JobKey, home: &PeerIdentity) {
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

    /// The row carries an earlier claim of this incarnation; the job may run only when nothing
    /// ran under the key since that claim.
    fn claimed_here(&mut self, key: JobKey, claim: u64) {
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
        let service = &self.plan.services[job.service];
        let team = self.plan.teams.get(job.team);
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

    /// Sets what is known of the key that a job is addressed by.
    pub(crate) fn set_key_state(&mut self, address: &JobAddress, state: KeyState) {
        let JobAddress::Key { team, key } = address else {
            return;
        };
        let name = KeyName {
            team: team.clone(),
            key: key.clone(),
        };
        let expires_at = self.now + self.keep_answers();
        self.keys.set(name, state, expires_at);
    }

    fn home_found(
        &mut self,
        waiter: Waiter,
        address: &JobAddress,
        request: ForwardedRequest,
        end: ClaimEnd,
    ) {
        match end {
            ClaimEnd::AlreadyClaimed { home, .. }
                if home.incarnation != self.config.incarnation =>
            {
                self.forward(waiter, home.instance, home.incarnation, address, request);
            }
            ClaimEnd::AlreadyClaimed { .. } | ClaimEnd::Acquired => {
                self.answer_failed(waiter, FailReason::AnswerExpired, None);
            }
            ClaimEnd::Unclaimed => self.answer_not_run(waiter, NotRunReason::NotSubmitted, None),
            ClaimEnd::Unavailable => {
                let retry_after = Some(RETRY_SOON);
                self.answer_failed(waiter, FailReason::HomeUnreachable, retry_after);
            }
        }
    }
}
