//! Checks on a submission: its bounds and needs, the load and the team's quota.

use std::time::Duration;

use crate::admission::AdmissionLoad;
use crate::admission::Refusal;
use crate::dispatcher::Dispatcher;
use crate::keys::ServiceKey;
use crate::keys::TeamKey;
use crate::outcome::NotRunReason;
use crate::policies::PlacementPolicy;
use crate::submission::Needs;
use crate::submission::Submission;
use crate::submitting::DEFAULT_RETRY_AFTER;
use crate::time::Timestamp;

/// The result of the checks on a submission: its service, its team and its deadline.
pub(crate) struct Accepted {
    pub(crate) service: ServiceKey,
    pub(crate) team: TeamKey,
    pub(crate) deadline: Timestamp,
}

impl Dispatcher {
    /// Checks a submission against the document, the load of its service and its team's quota.
    ///
    /// An error holds the reason and, when a retry may succeed, the time after which to retry.
    pub(crate) fn accept(
        &mut self,
        submission: &Submission,
    ) -> Result<Accepted, (NotRunReason, Option<Duration>)> {
        if self.leaving {
            return Err((NotRunReason::Leaving, Some(DEFAULT_RETRY_AFTER)));
        }
        if !self.site.has_document() {
            return Err((NotRunReason::NoDocument, Some(DEFAULT_RETRY_AFTER)));
        }
        if self.jobs.len() >= self.config.limits.jobs {
            return Err((NotRunReason::TooManyJobs, Some(DEFAULT_RETRY_AFTER)));
        }
        let accepted = self
            .check_bounds(submission)
            .map_err(|reason| (reason, None))?;
        self.check_load(submission, &accepted)
            .map_err(|refusal| (refusal.reason, Some(refusal.retry_after)))?;
        Ok(accepted)
    }

    fn check_bounds(&self, submission: &Submission) -> Result<Accepted, NotRunReason> {
        let service_key = self.site.service(&submission.service);
        let service_key = service_key.ok_or(NotRunReason::UnknownService)?;
        let team = self.site.team(&submission.team);
        let team = team.ok_or(NotRunReason::UnknownTeam)?;
        let service = &self.site.services[service_key];
        let tasks = submission.inputs.len();
        if tasks == 0 || tasks > service.settings.max_tasks_per_job as usize {
            return Err(NotRunReason::TaskCount);
        }
        let max_input_bytes = service.settings.max_input_bytes as usize;
        if submission.inputs.iter().any(|i| i.len() > max_input_bytes) {
            return Err(NotRunReason::InputTooLarge);
        }
        let upstreams = service.upstreams.iter();
        let mut upstreams = upstreams.map(|key| &self.site.upstreams[*key]);
        if !upstreams.any(|upstream| upstream.has_resources_for(submission.needs)) {
            return Err(NotRunReason::NeedsNeverMet);
        }
        let default = Duration::from_millis(service.settings.default_deadline_ms.into());
        let longest = Duration::from_millis(service.settings.max_deadline_ms.into());
        let timeout = submission.timeout.unwrap_or(default).min(longest);
        Ok(Accepted {
            service: service_key,
            team,
            deadline: self.now + timeout,
        })
    }

    fn check_load(&mut self, submission: &Submission, accepted: &Accepted) -> Result<(), Refusal> {
        let tasks = u32::try_from(submission.inputs.len()).unwrap_or(u32::MAX);
        let slots = self.usable_slots(accepted.service, submission.needs);
        let service = &mut self.site.services[accepted.service];
        let backlog = service.queue.backlog(self.now, tasks);
        let load = AdmissionLoad {
            tasks,
            queued_tasks: service.queued_tasks,
            queued_work: service.estimated_work(backlog.tasks_ahead.min(service.queued_tasks)),
            running: service.running,
            slots,
            overtaking_slots: backlog.overtaking_slots,
            run_estimate: service.estimate.reading(submission.declared_run_time),
            time_left: accepted.deadline.since(self.now),
            max_queued_tasks: self.site.document.policies.max_queued_tasks,
            jitter_seed: u32::try_from(self.next_job & 0xffff).unwrap_or_default(),
        };
        service.admission.admit(&load)?;
        let now = self.now;
        self.site.teams[accepted.team].quota.admit(now, tasks)
    }

    /// The slots usable for tasks with these needs: of own upstreams, and free ones at siblings.
    fn usable_slots(&self, service_key: ServiceKey, needs: Needs) -> u32 {
        let unix_ms = self.unix_now_ms();
        let service = &self.site.services[service_key];
        let upstreams = service
            .upstreams
            .iter()
            .map(|key| &self.site.upstreams[*key]);
        let usable =
            upstreams.filter(|u| u.is_usable(self.now, unix_ms) && u.has_resources_for(needs));
        let own: u32 = usable.map(|upstream| upstream.effective_slots).sum();
        if !self.forwards_overflow() {
            return own;
        }
        let siblings = self.siblings.iter();
        let reachable = siblings.filter(|(_, sibling)| sibling.can_accept_work(self.now));
        let loads = reachable.filter_map(|(_, sibling)| sibling.load(&service.name));
        let (mut free, mut slots, mut count) = (0, 0, 0);
        for load in loads {
            free += load.free_slots;
            slots += load.slots;
            count += 1;
        }
        match own {
            // Without upstreams of its own, the instance can use about one sibling's slots.
            0 => free.max(slots / count.max(1)),
            _ => own + free,
        }
    }

    /// Whether waiting tasks are forwarded to siblings with free slots.
    pub(crate) fn forwards_overflow(&self) -> bool {
        let policies = self.site.policies();
        policies.forward_overflow && policies.placement == PlacementPolicy::Owned
    }
}
