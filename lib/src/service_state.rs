//! One service as this entry instance sees it.

use std::sync::Arc;
use std::time::Duration;

use crate::admission::Admission;
use crate::admission::admission_for;
use crate::choice::Choice;
use crate::choice::choice_for;
use crate::keys::UpstreamKey;
use crate::overflow::Overflow;
use crate::overflow::overflow_for;
use crate::policies::Policies;
use crate::policies::QueuePolicy;
use crate::queue::JobQueue;
use crate::queue::queue_for;
use crate::retry_budget::RetryBudget;
use crate::run_estimate::RunEstimate;
use crate::service::Service;

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
            choice: choice_for(policies.choice, seed),
            admission: admission_for(policies.admission),
            overflow: overflow_for(policies.prefer),
            estimate: RunEstimate::default(),
            retries: RetryBudget::new(policies.retry_percent),
            queued_tasks: 0,
            running: 0,
        }
    }

    /// Takes over new policies, but for the order of the queue.
    pub(crate) fn set_policies(&mut self, old: &Policies, new: &Policies, seed: u64) {
        self.choice = choice_for(new.choice, seed);
        self.admission = admission_for(new.admission);
        self.overflow = overflow_for(new.prefer);
        if old.retry_percent != new.retry_percent {
            self.retries = RetryBudget::new(new.retry_percent);
        }
    }

    /// Empties the queue and takes another order for it.
    pub(crate) fn reset_queue(&mut self, policy: QueuePolicy) {
        self.queue = queue_for(policy);
        self.queued_tasks = 0;
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
