//! The state of a service at this entry instance.

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

/// A service: its settings, queue, policies and run time estimates.
#[derive(Debug)]
pub(crate) struct ServiceState {
    pub(crate) name: Arc<str>,
    pub(crate) settings: Service,
    /// Whether the installed document lists it.
    pub(crate) present: bool,
    /// Its upstreams, in the order of the document.
    pub(crate) upstreams: Vec<UpstreamKey>,
    pub(crate) queue: Box<dyn JobQueue>,
    pub(crate) choice: Box<dyn Choice>,
    pub(crate) admission: Box<dyn Admission>,
    pub(crate) overflow: Box<dyn Overflow>,
    pub(crate) estimate: RunEstimate,
    pub(crate) retry_budget: RetryBudget,
    /// The number of tasks waiting here.
    pub(crate) queued_tasks: u32,
    /// The number of attempts in flight from here.
    pub(crate) running: u32,
}

impl ServiceState {
    /// Creates a service with an empty queue.
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
            retry_budget: RetryBudget::new(policies.retry_percent),
            queued_tasks: 0,
            running: 0,
        }
    }

    /// Applies new policies, except the order of the queue.
    pub(crate) fn set_policies(&mut self, old: &Policies, new: &Policies, seed: u64) {
        self.choice = choice_for(new.choice, seed);
        self.admission = admission_for(new.admission);
        self.overflow = overflow_for(new.prefer);
        if old.retry_percent != new.retry_percent {
            self.retry_budget = RetryBudget::new(new.retry_percent);
        }
    }

    /// Replaces the queue by an empty one of another order.
    pub(crate) fn reset_queue(&mut self, policy: QueuePolicy) {
        self.queue = queue_for(policy);
        self.queued_tasks = 0;
    }

    /// Records the run time of a finished task and the declared run time, if any.
    pub(crate) fn record_run(&mut self, declared: Option<Duration>, run: Duration) {
        match declared {
            Some(declared) => self.estimate.record_declared(declared, run),
            None => self.estimate.record(run),
        }
    }

    /// The estimated total run time of `tasks` tasks.
    pub(crate) fn estimated_work(&self, tasks: u32) -> Duration {
        self.estimate.reading(None).mean * tasks
    }
}
