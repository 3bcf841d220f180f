//! Admission: whether a submitted job is accepted.

use std::sync::Arc;
use std::time::Duration;

use super::held_batch::MIN_RUN_TIME_SHARE;
use super::home::NewJob;
use super::home::longest_chain;
use super::home::objective;
use super::home_answers::RETRY_AFTER_OVERLOAD;
use super::intended_state::JobQueueSettings;
use super::intended_state::Target;
use super::job_spec::JobSpec;
use super::overload::return_spread::return_spread;
use super::owner_choice::OwnerView;
use super::owner_choice::choose_owner;
use super::requesting::not_run;
use super::run_answer::NotRun;
use super::run_answer::RunAnswer;
use super::run_dispatcher::RunDispatcher;
use super::run_id::JobId;
use super::step_constraints::StepConstraints;
use super::upstream_choice::PlacementRequest;
use super::whole_ms::whole_ms;
use crate::id::RequestId;
use crate::scaling::scaled;

/// The shortest wait before a retry that a refusal advises.
const MIN_RETRY_AFTER: Duration = RETRY_AFTER_OVERLOAD;

impl RunDispatcher {
    /// Accepts or delegates a job, or joins the request to the open job of the same name.
    ///
    /// Returns an answer if the job is refused.
    pub(crate) fn submit(
        &mut self,
        request: RequestId,
        target: &Target<'_>,
        spec: Arc<JobSpec>,
        wait: Option<Duration>,
    ) -> Option<RunAnswer> {
        let Some(id) = target.job() else {
            return Some(RunAnswer::NoSuchQueue);
        };
        if let Err(fault) = spec.check() {
            return Some(not_run(NotRun::Spec(fault), None));
        }
        if self.home.join(request, id) || self.sent_jobs.join(request, id) {
            return None;
        }
        let queue = target.queue;
        // The queue's timeout applies only to callers that do not name their own.
        let wait = wait
            .or(queue.timeout)
            .unwrap_or(self.settings.limits.default_timeout);
        if self.delegate(request, queue, (id, &spec), wait) {
            return None;
        }
        self.accept(request, queue, (id, &spec), wait, Duration::ZERO)
    }

    /// Accepts a job as its home, or joins the request to the open job of the same name; `waited` is how
    /// long its caller has waited already.
    ///
    /// Returns an answer if the job is refused.
    pub(crate) fn accept(
        &mut self,
        request: RequestId,
        queue: &Arc<JobQueueSettings>,
        (id, spec): (JobId, &Arc<JobSpec>),
        wait: Duration,
        waited: Duration,
    ) -> Option<RunAnswer> {
        if self.home.join(request, id) {
            return None;
        }
        if let Some(answer) = self.home.answer_deadly(id, spec) {
            tracing::warn!(job = %id, ?answer, "job refused: it has a task that crashes upstreams");
            return Some(answer);
        }
        if !self.has_room_for(spec) {
            return Some(not_run(NotRun::TooManyJobs, Some(MIN_RETRY_AFTER)));
        }
        if let Some(refusal) = self.refuse_unservable(&queue.service, spec) {
            return Some(refusal);
        }
        if let Some(refusal) = self.refuse_evacuated(&queue.service, spec) {
            return Some(refusal);
        }
        if let Some(refusal) = self.refuse_suspended(queue, id) {
            return Some(refusal);
        }
        let expected = self.home.expected_run_times(&queue.name, spec);
        let objective = objective(queue, spec, &expected).min(wait);
        if self.home.is_stopped_by(self.now + objective) {
            return Some(not_run(NotRun::Stopping, Some(MIN_RETRY_AFTER)));
        }
        let wait = self.home.limit_wait(self.now, wait);
        if let Err(refusal) = self.check_backlog(queue, id, spec, &expected, wait) {
            return Some(refusal);
        }
        let new = NewJob {
            id,
            queue: queue.clone(),
            spec: spec.clone(),
            wait,
            waited,
        };
        self.home.open(self.now, request, new, expected);
        None
    }

    /// Whether the limits on open jobs and on their tasks leave room for a job; for a single one they do.
    fn has_room_for(&self, spec: &JobSpec) -> bool {
        let limits = &self.settings.limits;
        let new_tasks = usize::try_from(spec.task_count()).unwrap_or(usize::MAX);
        let tasks = self.home.task_count.saturating_add(new_tasks);
        self.home.jobs.is_empty()
            || (self.home.jobs.len() < limits.max_open_jobs && tasks <= limits.max_open_tasks)
    }

    /// Refuses a job of a queue whose tasks have crashed too many upstreams lately.
    fn refuse_suspended(&self, queue: &JobQueueSettings, id: JobId) -> Option<RunAnswer> {
        let suspension = &self.home.crashes.suspension;
        let remaining = suspension.remaining(self.now, &queue.name)?;
        // Otherwise all would come back at the moment when the queue goes on.
        let retry_after = remaining
            .saturating_add(return_spread(id))
            .max(MIN_RETRY_AFTER);
        Some(not_run(NotRun::QueueSuspended, Some(retry_after)))
    }

    /// Refuses a job that by the load known so far would end after its caller has left or, where
    /// overload is handled by priority, that its owners would drop at its objective.
    fn check_backlog(
        &mut self,
        queue: &JobQueueSettings,
        id: JobId,
        spec: &JobSpec,
        expected: &[Duration],
        wait: Duration,
    ) -> Result<(), RunAnswer> {
        let is_by_priority = self.owner.by_priority.contains(&queue.service);
        let mut views = self.owner_views(&queue.service);
        for view in &mut views {
            view.priority = is_by_priority.then_some(queue.priority);
        }
        let backlog = longest_wait(&mut views, spec, expected, wait);
        let chain = longest_chain(spec, expected);
        let ends_too_late = backlog.saturating_add(scaled(chain, MIN_RUN_TIME_SHARE)) > wait;
        let is_overdue = is_by_priority && backlog > objective(queue, spec, expected);
        if !ends_too_late && !is_overdue {
            return Ok(());
        }
        let mut retry_after = backlog.max(MIN_RETRY_AFTER);
        if is_by_priority {
            retry_after = retry_after.saturating_add(return_spread(id));
            self.home.counts.refused_by_priority += 1;
            tracing::info!(
                job = %id, queue = %queue.name, priority = queue.priority, backlog_ms = whole_ms(backlog),
                retry_after_ms = whole_ms(retry_after), is_overdue, "job refused by its priority's backlog"
            );
        }
        Err(not_run(NotRun::Overloaded, Some(retry_after)))
    }

    /// Refuses a job with a task that no listed upstream could ever run.
    ///
    /// None while no upstream of the service is listed.
    fn refuse_unservable(&self, service: &str, spec: &JobSpec) -> Option<RunAnswer> {
        if !self.listing.has_service(service) {
            return None;
        }
        let is_impossible = spec.steps.iter().any(|step| {
            let label = step.required_label.as_deref();
            !self.listing.can_ever_run(service, step.resources, label)
        });
        is_impossible.then(|| not_run(NotRun::NeedsNoUpstreamHas, None))
    }
}

/// How long a job is expected to wait for free capacity, by the load known so far.
fn longest_wait(
    views: &mut [OwnerView],
    spec: &JobSpec,
    expected: &[Duration],
    wait: Duration,
) -> Duration {
    let mut longest_wait = Duration::ZERO;
    for (step, run) in spec.steps.iter().zip(expected) {
        if !step.after.is_empty() {
            continue;
        }
        let mut constraints = StepConstraints::default();
        for _ in 0..step.tasks {
            let placement_request = PlacementRequest {
                expected_run_time: *run,
                is_run_time_known: false,
                is_alone: false,
                objective_left: wait,
                deadline_left: wait,
            };
            if let Some(choice) = choose_owner(
                views,
                step.resources,
                &placement_request,
                &[],
                &mut constraints,
            ) {
                longest_wait = longest_wait.max(choice.wait);
            }
        }
    }
    longest_wait
}
