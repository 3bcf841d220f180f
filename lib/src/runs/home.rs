//! The home of jobs: the instance that accepts them, places their tasks and answers their callers.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use slotmap::SlotMap;

use super::crash_register::CrashRegister;
use super::found_run::FoundRun;
use super::home_job::HomeJob;
use super::home_task::HomeState;
use super::home_task::HomeTask;
use super::intended_state::JobQueueSettings;
use super::job_spec::JobSpec;
use super::open_batch::OpenBatch;
use super::owner_choice::OwnerRef;
use super::run_answer::JobEnd;
use super::run_answer::NotRun;
use super::run_answer::RunAnswer;
use super::run_counts::RunCounts;
use super::run_id::HomeJobKey;
use super::run_id::JobId;
use super::run_id::RunId;
use super::run_message::Cancellation;
use super::run_message::RunBatch;
use super::whole_ms::whole_ms;
use crate::id::RequestId;
use crate::run_estimate::RunEstimate;
use crate::scaling::percent_of;
use crate::time::Timestamp;
use crate::timer::TimerService;

/// How long before its caller leaves a job is given up, so that the answer arrives in time.
pub(crate) const ANSWER_MARGIN: Duration = Duration::from_millis(5);

/// How long an orphaned run waits for the next owner of its upstream to report it.
pub(crate) const ORPHAN_CLAIM_TIMEOUT: Duration = Duration::from_millis(700);

/// How long after the last contact with its owner a run can still be claimed by another owner.
///
/// This is the longest lease that the former owner can have ordered.
pub(crate) const CLAIMABLE_TIME: Duration = Duration::from_secs(1);

/// Maximum number of placements per task, on average over a job, which bounds the retries of refused
/// placements.
pub(crate) const MAX_PLACEMENTS_PER_TASK: u32 = 16;

/// How long the answer of an ended job is kept for a caller that repeats its request.
///
/// Callers whose connection broke retry after 1.3 s.
pub(crate) const ANSWER_RETENTION: Duration = Duration::from_secs(5);

/// The timers of a home.
#[derive(Clone, Copy, Debug)]
pub(crate) enum HomeTimer {
    /// The job's deadline has passed.
    Deadline(HomeJobKey),
    /// The job is ending, and the ends of its other tasks have not been reported in time.
    EndingTimeout(HomeJobKey),
    /// Some of the job's tasks have been reported overdue, the others have not.
    OverdueTimeout(HomeJobKey),
    /// An orphaned run of the job has not been reported by another owner, or must have ended.
    OrphanTimeout(HomeJobKey),
    /// The answer of an ended job no longer has to be kept.
    ForgetAnswer(JobId),
}

/// An action that the home asks its dispatcher to perform.
#[derive(Debug)]
pub(crate) enum HomeOutput {
    /// Answer a caller's request.
    Answer {
        request: RequestId,
        answer: RunAnswer,
    },
    /// Send tasks to an owner, which is to start them.
    Place { owner: OwnerRef, batch: RunBatch },
    /// Ask an owner to adopt runs that it found on its upstream.
    Adopt {
        owner: OwnerRef,
        upstream: Arc<str>,
        batch: RunBatch,
    },
    /// Ask an owner to stop what is left of batches or of single tasks.
    Cancel {
        owner: OwnerRef,
        cancellation: Cancellation,
    },
}

/// The jobs whose home is this instance, with their requests, placed batches and timers.
#[derive(Debug, Default)]
pub(crate) struct Home {
    pub(crate) jobs: SlotMap<HomeJobKey, HomeJob>,
    /// The number of tasks of all open jobs, done or not.
    pub(crate) task_count: usize,
    pub(crate) by_id: IndexMap<JobId, HomeJobKey>,
    /// The outcomes of jobs that ended within the last [`ANSWER_RETENTION`].
    pub(crate) ended: IndexMap<JobId, JobEnd>,
    /// The open job of each request that waits for an answer.
    pub(crate) requests: IndexMap<RequestId, HomeJobKey>,
    /// The open batches by owner and batch number.
    pub(crate) batches: IndexMap<(OwnerRef, u64), OpenBatch>,
    /// The same of unreachable owners, which may still hold them.
    pub(crate) suspended: IndexMap<(OwnerRef, u64), OpenBatch>,
    /// The names of the owners' instances, for logs.
    owner_names: IndexMap<OwnerRef, Arc<str>>,
    /// The version of the intended state in force, for logs.
    pub(crate) intended_version: u64,
    last_batch_number: u64,
    /// Run time estimates by queue name.
    pub(crate) estimates: IndexMap<Arc<str>, RunEstimate>,
    /// Runs that another owner found while they were still placed at their former owner, by upstream: runs of
    /// earlier attempts have the same names elsewhere.
    pub(crate) found: IndexMap<(RunId, Arc<str>), FoundRun>,
    pub(crate) timers: TimerService<HomeTimer>,
    pub(crate) outputs: Vec<HomeOutput>,
    pub(crate) counts: RunCounts,
    /// The services whose overload is handled by the priorities of their queues.
    pub(crate) by_priority: IndexSet<Arc<str>>,
    /// The crashes of upstreams that are known here.
    pub(crate) crashes: CrashRegister,
    /// Whether something changed since waiting tasks were last placed.
    pub(crate) is_dirty: bool,
    /// When a stopping instance answers all jobs that are still open.
    pub(crate) last_answers_at: Option<Timestamp>,
}

/// A job that passed the admission checks.
pub(crate) struct NewJob {
    pub(crate) id: JobId,
    pub(crate) queue: Arc<JobQueueSettings>,
    pub(crate) spec: Arc<JobSpec>,
    /// How long its caller waits for the answer.
    pub(crate) wait: Duration,
    /// How long its caller had waited when it came here.
    pub(crate) waited: Duration,
}

impl Home {
    /// Records the name of an owner's instance.
    pub(crate) fn set_owner_name(&mut self, owner: OwnerRef, name: Arc<str>) {
        self.owner_names.insert(owner, name);
    }

    /// The name of an owner's instance, or `unknown`.
    pub(crate) fn owner_name(&self, owner: OwnerRef) -> &str {
        self.owner_names.get(&owner).map_or("unknown", |name| name)
    }

    /// Attaches a request to a job that is open here, or answers it if the job has recently ended.
    ///
    /// Returns false when the job is not known here.
    pub(crate) fn join(&mut self, request: RequestId, id: JobId) -> bool {
        if let Some(end) = self.ended.get(&id).copied() {
            self.answer(request, RunAnswer::Ended(end));
            return true;
        }
        let Some(key) = self.by_id.get(&id).copied() else {
            return false;
        };
        tracing::info!(job = %id, request = request.0, "request joined an open job");
        self.jobs[key].waiters.push(request);
        self.requests.insert(request, key);
        true
    }

    /// The expected run time of a task, by step of the job.
    pub(crate) fn expected_run_times(&self, queue: &str, spec: &JobSpec) -> Vec<Duration> {
        let estimate = self.estimates.get(queue);
        let expected = spec.steps.iter().map(|step| {
            let declared = Some(step.declared_run_time).filter(|run| !run.is_zero());
            match estimate {
                Some(estimate) => estimate.reading(declared).mean,
                None => RunEstimate::default().reading(declared).mean,
            }
        });
        expected.collect()
    }

    /// Opens an accepted job; `expected_run_times` are by step.
    pub(crate) fn open(
        &mut self,
        now: Timestamp,
        request: RequestId,
        new: NewJob,
        expected_run_times: Vec<Duration>,
    ) {
        let NewJob {
            id,
            queue,
            spec,
            wait,
            waited,
        } = new;
        let objective = objective(&queue, &spec, &expected_run_times).saturating_sub(waited);
        let deadline = now + wait.saturating_sub(ANSWER_MARGIN);
        let tasks = spec.tasks();
        let tasks = tasks.map(|(step, index)| HomeTask::new(step, index));
        let mut tasks: Vec<HomeTask> = tasks.collect();
        for task in &mut tasks {
            task.is_alone = self.crashes.is_suspect(task.name(id));
        }
        let mut job = HomeJob {
            id,
            waiters: vec![request],
            accepted_at: now,
            // A job that ends after its caller has left does not meet its objective.
            objective_at: deadline.min(now + objective),
            deadline,
            expected_run_times,
            open_by_step: spec.steps.iter().map(|step| step.tasks).collect(),
            open_tasks: tasks.len(),
            tasks,
            may_have_run: false,
            has_begun: false,
            ending: None,
            placements: 0,
            no_owner_since: None,
            queue,
            spec,
        };
        job.unblock();
        log_accepted(now, &job, self.intended_version);
        self.task_count += job.tasks.len();
        let key = self.jobs.insert(job);
        self.by_id.insert(id, key);
        self.requests.insert(request, key);
        self.timers.subscribe(deadline, HomeTimer::Deadline(key));
        self.is_dirty = true;
    }

    /// Returns whether something changed since waiting tasks were last placed, and resets that.
    pub(crate) fn take_dirty(&mut self) -> bool {
        std::mem::take(&mut self.is_dirty)
    }

    /// Requests another attempt to place waiting tasks.
    pub(crate) fn mark_dirty(&mut self) {
        self.is_dirty = true;
    }

    /// Assigns the number of a new batch.
    pub(crate) fn next_batch_number(&mut self) -> u64 {
        self.last_batch_number += 1;
        self.last_batch_number
    }

    /// The highest number that has been assigned to a batch.
    pub(crate) fn highest_batch_number(&self) -> u64 {
        self.last_batch_number
    }

    /// Handles that a batch was not sent: its tasks wait for an owner again.
    pub(crate) fn handle_unsent_batch(&mut self, now: Timestamp, owner: OwnerRef, number: u64) {
        let Some(batch) = self.batches.swap_remove(&(owner, number)) else {
            return;
        };
        let placed = HomeState::Placed {
            owner,
            batch: number,
        };
        let owner_name = self.owner_names.get(&owner).cloned().unwrap_or_default();
        let Some(job) = self.jobs.get_mut(batch.job) else {
            return;
        };
        tracing::warn!(job = %job.id, batch = number, owner = &*owner_name, "batch not sent");
        for task in &mut job.tasks {
            if task.state == placed {
                task.state = HomeState::Waiting;
            }
        }
        if job.placements > MAX_PLACEMENTS_PER_TASK * job.task_count() {
            return self.begin_ending(now, batch.job, NotRun::NoUpstreamInReach);
        }
        self.is_dirty = true;
    }

    /// Marks tasks as placed at an owner and returns the batch to send to it.
    pub(crate) fn create_batch(
        &mut self,
        now: Timestamp,
        key: HomeJobKey,
        owner: OwnerRef,
        tasks: &[usize],
    ) -> RunBatch {
        let number = self.next_batch_number();
        let open = OpenBatch::new(key, tasks.to_vec());
        self.batches.insert((owner, number), open);
        let job = &mut self.jobs[key];
        job.placements += u32::try_from(tasks.len()).unwrap_or(u32::MAX);
        for task in tasks {
            job.tasks[*task].state = HomeState::Placed {
                owner,
                batch: number,
            };
        }
        job.to_batch(now, number, tasks)
    }

    /// Records the time of the owner's clock that the message with a batch names.
    pub(crate) fn record_batch_echo(
        &mut self,
        owner: OwnerRef,
        number: u64,
        echo: Option<Timestamp>,
    ) {
        if let Some(batch) = self.batches.get_mut(&(owner, number)) {
            batch.echo = echo;
        }
    }

    /// Handles all timers that are due.
    pub(crate) fn run_timers(&mut self, now: Timestamp) {
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                HomeTimer::Deadline(key) => self.on_deadline(now, key),
                HomeTimer::EndingTimeout(key) => self.on_ending_timeout(now, key),
                HomeTimer::OverdueTimeout(key) => self.place_overdue(key),
                HomeTimer::OrphanTimeout(key) => self.on_orphan_timeout(now, key),
                HomeTimer::ForgetAnswer(id) => {
                    self.ended.swap_remove(&id);
                }
            }
        }
    }

    /// The numbers of the open batches, by owner.
    pub(crate) fn open_batches(&self) -> IndexMap<OwnerRef, Vec<u64>> {
        let mut open: IndexMap<OwnerRef, Vec<u64>> = IndexMap::new();
        for (owner, number) in self.batches.keys() {
            open.entry(*owner).or_default().push(*number);
        }
        open
    }

    /// Whether no job is open.
    pub(crate) fn is_idle(&self) -> bool {
        self.jobs.is_empty()
    }
}

/// The time after its acceptance within which a job is to end.
pub(crate) fn objective(
    queue: &JobQueueSettings,
    spec: &JobSpec,
    expected_run_times: &[Duration],
) -> Duration {
    let chain = longest_chain(spec, expected_run_times);
    percent_of(chain, queue.stretch_percent.max(100)).saturating_add(queue.target_duration)
}

/// The expected run time of the longest chain of dependent steps.
pub(crate) fn longest_chain(spec: &JobSpec, expected_run_times: &[Duration]) -> Duration {
    let mut ends: Vec<Duration> = Vec::with_capacity(expected_run_times.len());
    for (step, run) in spec.steps.iter().zip(expected_run_times) {
        let earlier = step.after.iter();
        let earlier = earlier.filter_map(|number| ends.get(*number as usize));
        let start = earlier.max().copied().unwrap_or_default();
        ends.push(start.saturating_add(*run));
    }
    ends.into_iter().max().unwrap_or_default()
}

fn log_accepted(now: Timestamp, job: &HomeJob, intended_version: u64) {
    let step = job.spec.steps.first();
    let declared = step.map(|step| step.declared_run_time).unwrap_or_default();
    let expected = job.expected_run_times.first().copied().unwrap_or_default();
    tracing::info!(
        job = %job.id, queue = %job.queue.name, steps = job.spec.steps.len(), tasks = job.tasks.len(),
        cpu_millicores = step.map_or(0, |step| step.resources.cpu_millicores),
        declared_ms = whole_ms(declared), expected_ms = whole_ms(expected),
        objective_ms = whole_ms(job.objective_at.since(now)),
        limit_ms = whole_ms(job.deadline.since(now)),
        queue_timeout_ms = job.queue.timeout.map(whole_ms), intended_version,
        "job accepted"
    );
}
