//! The job that a caller submits, and the checks that do not depend on load.

use std::sync::Arc;
use std::time::Duration;

use almondhead_macros::value;

use super::resources::Resources;

/// Maximum number of tasks of a job.
pub const MAX_JOB_TASKS: u32 = 2_000;

/// Maximum number of steps of a job.
pub const MAX_JOB_STEPS: usize = 64;

/// A job: steps of equal tasks, where a step may depend on earlier ones.
#[value]
pub struct JobSpec {
    /// Opaque text that is sent to the upstream with each start of a task.
    pub payload: Arc<str>,
    /// The steps.
    pub steps: Vec<StepSpec>,
    /// Whether the job must survive the loss of its home, so that its caller can ask for its state
    /// later.
    pub durable: bool,
    /// Whether the job is to run repeatedly.
    pub recurring: bool,
}

/// A step of a job.
#[value]
#[derive(Default)]
pub struct StepSpec {
    /// The number of its tasks.
    pub tasks: u32,
    /// The resources that each task needs.
    pub resources: Resources,
    /// The caller's estimate of the run time of one task, zero if it has none.
    pub declared_run_time: Duration,
    /// The earlier steps, by number from zero, whose tasks must all be done first.
    pub after: Vec<u32>,
    /// A label that the upstream must have.
    pub required_label: Option<Arc<str>>,
    /// The rack that holds the tasks' data; on upstreams elsewhere the tasks take longer.
    pub data_rack: Option<Arc<str>>,
    /// Maximum number of the step's tasks on one upstream at a time.
    pub max_tasks_per_upstream: Option<u32>,
    /// A feature that the step asks for and that is not supported yet.
    pub unsupported: Option<Unsupported>,
}

/// A feature of jobs that is not supported yet.
#[value]
#[derive(Copy, derive_more::Display)]
pub enum Unsupported {
    /// Tasks that must all run at the same time.
    #[display("gang")]
    Gang,
    /// Tasks that run until the job is cancelled.
    #[display("long_running")]
    LongRunning,
    /// Tasks that use only capacity that others leave unused.
    #[display("fills")]
    Fills,
    /// Jobs that survive the loss of their home.
    #[display("durable")]
    Durable,
    /// Jobs that run repeatedly.
    #[display("recurring")]
    Recurring,
}

/// Why a job is invalid, whatever the load.
#[value]
#[derive(Copy, derive_more::Display)]
pub enum SpecFault {
    /// It has no tasks, or more tasks or steps than the maximum.
    #[display("task_count")]
    TaskCount,
    /// A step depends on itself or on a later one.
    #[display("step_order")]
    StepOrder,
    /// It asks for a feature that is not supported yet.
    #[display("unsupported_{_0}")]
    Unsupported(Unsupported),
}

impl JobSpec {
    /// The number of tasks of all steps.
    pub fn task_count(&self) -> u32 {
        let counts = self.steps.iter().map(|step| step.tasks);
        counts.fold(0, u32::saturating_add)
    }

    /// The step and the index of each task.
    pub(crate) fn tasks(&self) -> impl Iterator<Item = (u32, u32)> {
        let steps = (0..).zip(&self.steps);
        steps.flat_map(|(step, spec)| (0..spec.tasks).map(move |index| (step, index)))
    }

    /// Checks the job without regard to load.
    ///
    /// # Errors
    ///
    /// The reason why the job can never be accepted.
    pub fn check(&self) -> Result<(), SpecFault> {
        let tasks = self.task_count();
        if tasks == 0 || tasks > MAX_JOB_TASKS || self.steps.len() > MAX_JOB_STEPS {
            return Err(SpecFault::TaskCount);
        }
        for (number, step) in (0..).zip(&self.steps) {
            if step.after.iter().any(|earlier| *earlier >= number) {
                return Err(SpecFault::StepOrder);
            }
        }
        match self.unsupported() {
            Some(kind) => Err(SpecFault::Unsupported(kind)),
            None => Ok(()),
        }
    }

    fn unsupported(&self) -> Option<Unsupported> {
        let by_step = self.steps.iter().find_map(|step| step.unsupported);
        let recurring = self.recurring.then_some(Unsupported::Recurring);
        let durable = self.durable.then_some(Unsupported::Durable);
        by_step.or(recurring).or(durable)
    }

    /// The declared run time of the longest chain of dependent steps.
    pub fn declared_chain(&self) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let earlier = step
                .after
                .iter()
                .filter_map(|number| ends.get(*number as usize));
            let start = earlier.max().copied().unwrap_or_default();
            ends.push(start.saturating_add(step.declared_run_time));
        }
        ends.into_iter().max().unwrap_or_default()
    }
}
