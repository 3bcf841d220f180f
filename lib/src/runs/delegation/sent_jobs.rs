//! The jobs that an instance has delegated and whose callers it answers.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use super::counts::DelegationCounts;
use super::report::DelegationReport;
use super::shares::DelegationShares;
use crate::id::Incarnation;
use crate::id::RequestId;
use crate::runs::intended_state::JobQueueSettings;
use crate::runs::job_spec::JobSpec;
use crate::runs::peer_table::MAX_MESSAGE_AGE;
use crate::runs::run_id::JobId;
use crate::runs::run_id::PeerKey;
use crate::time::Timestamp;
use crate::timer::TimerKey;

/// The maximum number of jobs that are delegated at a time. With the same number of jobs whose answers
/// are kept at the receiver, a heartbeat has room for all numbers.
const MAX_DELEGATED_JOBS: usize = 2_000;

/// A job whose home is another instance.
#[derive(Debug)]
pub(crate) struct SentJob {
    pub(crate) id: JobId,
    pub(crate) queue: Arc<JobQueueSettings>,
    pub(crate) spec: Arc<JobSpec>,
    pub(crate) waiters: Vec<RequestId>,
    pub(crate) arrived_at: Timestamp,
    /// How long its caller waits from its arrival.
    pub(crate) wait: Duration,
    pub(crate) home: PeerKey,
    pub(crate) home_name: Arc<str>,
    pub(crate) incarnation: Incarnation,
    /// The time of the home's clock that the message named.
    pub(crate) echo: Timestamp,
    /// Whether a heartbeat of the home has named it as held.
    pub(crate) is_held: bool,
    pub(crate) timer: TimerKey,
}

/// What a heartbeat of the home tells about a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SentState {
    /// The home holds it, or the message may still arrive in time.
    Unchanged,
    /// The home has not taken it and never will.
    NeverTaken,
    /// The home held it and does not any more.
    Lost,
}

/// The jobs that this instance has delegated, by the number that it gave them.
#[derive(Debug, Default)]
pub(crate) struct SentJobs {
    pub(crate) shares: DelegationShares,
    open: IndexMap<u64, SentJob>,
    by_id: IndexMap<JobId, u64>,
    requests: IndexMap<RequestId, u64>,
    last_number: u64,
    pub(crate) counts: DelegationCounts,
}

impl SentJobs {
    pub(crate) fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    pub(crate) fn len(&self) -> usize {
        self.open.len()
    }

    pub(crate) fn is_full(&self) -> bool {
        self.open.len() >= MAX_DELEGATED_JOBS
    }

    pub(crate) fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    pub(crate) fn insert(&mut self, number: u64, job: SentJob) {
        self.by_id.insert(job.id, number);
        for request in &job.waiters {
            self.requests.insert(*request, number);
        }
        self.open.insert(number, job);
        self.counts.delegated += 1;
    }

    /// Attaches a request to a delegated job; returns false when there is none of this name.
    pub(crate) fn join(&mut self, request: RequestId, id: JobId) -> bool {
        let Some(number) = self.by_id.get(&id).copied() else {
            return false;
        };
        tracing::info!(job = %id, request = request.0, "request joined a delegated job");
        self.open[&number].waiters.push(request);
        self.requests.insert(request, number);
        true
    }

    /// The number of the delegated job of this name.
    pub(crate) fn number_of(&self, id: JobId) -> Option<u64> {
        self.by_id.get(&id).copied()
    }

    /// Removes the request of a caller that left; returns the number of its job if no other caller
    /// waits for it.
    pub(crate) fn drop_request(&mut self, request: RequestId) -> Option<u64> {
        let number = self.requests.swap_remove(&request)?;
        let job = self.open.get_mut(&number)?;
        job.waiters.retain(|waiter| *waiter != request);
        job.waiters.is_empty().then_some(number)
    }

    /// Removes a job.
    pub(crate) fn remove(&mut self, number: u64) -> Option<SentJob> {
        let job = self.open.swap_remove(&number)?;
        self.by_id.swap_remove(&job.id);
        for request in &job.waiters {
            self.requests.swap_remove(request);
        }
        Some(job)
    }

    pub(crate) fn is_at(&self, number: u64, home: PeerKey, incarnation: Incarnation) -> bool {
        let job = self.open.get(&number);
        job.is_some_and(|job| job.home == home && job.incarnation == incarnation)
    }

    /// The jobs whose home is this incarnation of an instance.
    pub(crate) fn numbers_at(&self, home: PeerKey, incarnation: Incarnation) -> Vec<u64> {
        let jobs = self.open.iter();
        let jobs = jobs.filter(|(_, job)| job.home == home && job.incarnation == incarnation);
        jobs.map(|(number, _)| *number).collect()
    }

    pub(crate) fn jobs_mut(&mut self) -> impl Iterator<Item = (u64, &mut SentJob)> {
        self.open.iter_mut().map(|(number, job)| (*number, job))
    }

    pub(crate) fn highest_number(&self) -> u64 {
        self.last_number
    }

    /// What a heartbeat, sent at `sent_at` on the clock of the home, tells about a job.
    ///
    /// The home holds each job that it takes until this instance no longer waits for it, takes none up
    /// to the highest number that it has seen, and none more than [`MAX_MESSAGE_AGE`] after the time
    /// that the message names.
    pub(crate) fn apply_report(
        &mut self,
        number: u64,
        sent_at: Timestamp,
        report: &DelegationReport,
    ) -> SentState {
        let Some(job) = self.open.get_mut(&number) else {
            return SentState::Unchanged;
        };
        if report.held.contains(&number) {
            job.is_held = true;
            return SentState::Unchanged;
        }
        let is_refused = number <= report.highest_taken;
        let is_too_old = sent_at.since(job.echo) > MAX_MESSAGE_AGE;
        match job.is_held {
            // A heartbeat that was sent before the job arrived may arrive after one that names it.
            true if is_refused => SentState::Lost,
            false if is_refused || is_too_old => SentState::NeverTaken,
            true | false => SentState::Unchanged,
        }
    }
}
