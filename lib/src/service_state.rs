//! One service as this entry instance sees it.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexSet;

use crate::admission::Admission;
use crate::admission::admission_for;
use crate::choice::Choice;
use crate::choice::choice_for;
use crate::keys::JobKey;
use crate::keys::UpstreamKey;
use crate::overflow::Overflow;
use crate::overflow::overflow_for;
use crate::policies::Policies;
use crate::queue::JobQueue;
use crate::queue::QueueEntry;
use crate::queue::queue_for;
use crate::retry_budget::RetryBudget;
use crate::run_estimate::RunEstimate;
use crate::service::Service;
use crate::time::Timestamp;

/// One service: its settings, its queue and what was measured of its tasks.
#[derive(Debug)]
pub(crate) struct ServiceState {
    pub(crate) name: Arc<str>,
    pub(crate) settings: Service,
    /// Whether the document still names it.
    pub(crate) present: bool,
    /// Its upstreams, in the order of the document.
    pub(crate) upstreams: Vec<UpstreamKey>,
    pub(crate) queue: Box<dyn JobQueue>,
    /// The jobs of `queue`, for choices that do not follow its order.
    queued_jobs: IndexSet<JobKey>,
    pub(crate) choice: Box<dyn Choice>,
    pub(crate) admission: Box<dyn Admission>,
    pub(crate) overflow: Box<dyn Overflow>,
    pub(crate) estimate: RunEstimate,
    pub(crate) retries: RetryBudget,
    /// Tasks that wait here.
    pub(crate) queued_tasks: u32,
    /// Attempts that run from here.
    pub(crate) running: u32,
}

impl ServiceState {
    /// A service with an empty queue.
    pub(crate) fn new(settings: Service, policies: &Policies, seed: u64) -> Self {
        ServiceState {
            name: Arc::from(settings.name.as_str()),
            settings,
            present: true,
            upstreams: Vec::new(),
            queue: queue_for(policies.queue),
            queued_jobs: IndexSet::new(),
            choice: choice_for(policies.choice, seed),
            admission: admission_for(policies.admission),
            overflow: overflow_for(policies.prefer),
            estimate: RunEstimate::default(),
            retries: RetryBudget::new(policies.retry_percent),
            queued_tasks: 0,
            running: 0,
        }
    }

    /// Takes over new policies; the queue keeps its order until it is empty.
    pub(crate) fn set_policies(&mut self, old: &Policies, new: &Policies, seed: u64) {
        self.choice = choice_for(new.choice, seed);
        self.admission = admission_for(new.admission);
        self.overflow = overflow_for(new.prefer);
        if old.retry_percent != new.retry_percent {
            self.retries = RetryBudget::new(new.retry_percent);
        }
        if self.queue.jobs() == 0 {
            self.queue = queue_for(new.queue);
        }
    }

    /// Puts a job with waiting tasks in the queue.
    pub(crate) fn queue_job(&mut self, now: Timestamp, entry: QueueEntry) {
        self.queued_jobs.insert(entry.job);
        self.queue.insert(now, entry);
    }

    /// Takes a job out of the queue, when it is there.
    pub(crate) fn unqueue_job(&mut self, job: JobKey) {
        self.queued_jobs.swap_remove(&job);
        self.queue.remove(job);
    }

    /// The queued jobs in no order.
    pub(crate) fn queued_jobs(&self) -> impl Iterator<Item = JobKey> {
        self.queued_jobs.iter().copied()
    }

    /// Learns from a finished task and what was declared for it.
    pub(crate) fn record_run(&mut self, declared: Option<Duration>, run: Duration) {
        match declared {
            Some(declared) => self.estimate.record_declared(declared, run),
            None => self.estimate.record(run),
        }
    }

    /// The estimated run time of some tasks together.
    pub(crate) fn work_of(&self, tasks: u32) -> Duration {
        self.estimate.reading(None).mean * tasks
    }
}
