//! What a caller asks to run.

use std::sync::Arc;
use std::time::Duration;

use almondhead_macros::value;

use super::resources::Resources;

/// The most tasks of one job.
pub const MAX_JOB_TASKS: u32 = 2_000;

/// The most steps of one job.
pub const MAX_JOB_STEPS: usize = 64;

/// A job: steps of equal tasks, some after others.
#[value]
pub struct JobSpec {
    /// The text that goes with each start.
    pub spec: Arc<str>,
    /// The steps.
    pub steps: Vec<StepSpec>,
    /// Whether the job has to outlive its home: its caller comes back for its state.
    pub durable: bool,
    /// Whether the job runs at several times.
    pub recurring: bool,
}

/// A step of a job.
#[value]
#[derive(Default)]
pub struct StepSpec {
    /// How many tasks it has.
    pub tasks: u32,
    /// What each task needs.
    pub demand: Resources,
    /// The caller's rough figure for the run time of one task.
    pub declared_run_time: Duration,
    /// The earlier steps all of whose tasks must be done first.
    pub after: Vec<u32>,
    /// A label that the upstream must have.
    pub required_label: Option<Arc<str>>,
    /// The rack where the data is; elsewhere the tasks take longer.
    pub data_rack: Option<Arc<str>>,
    /// The most tasks of the step on one upstream.
    pub most_per_upstream: Option<u32>,
    /// What the step asks for that is not offered yet.
    pub unsupported: Option<Unsupported>,
}

/// A kind of work that is not offered yet.
#[value]
#[derive(Copy, derive_more::Display)]
pub enum Unsupported {
    /// Tasks that work only together.
    #[display("gang")]
    Gang,
    /// Tasks that run until the job is cancelled.
    #[display("long_running")]
    LongRunning,
    /// Tasks that use what others leave unused.
    #[display("fills")]
    Fills,
    /// Jobs that are kept.
    #[display("durable")]
    Durable,
    /// Jobs that run at several times.
    #[display("recurring")]
    Recurring,
}

/// Why a job cannot be taken, whatever the load.
#[value]
#[derive(Copy, derive_more::Display)]
pub enum SpecFault {
    /// It has no tasks, or more than the bound.
    #[display("task_count")]
    TaskCount,
    /// A step comes after itself or after a later one.
    #[display("step_order")]
    StepOrder,
    /// It asks for work of a kind that is not offered yet.
    #[display("unsupported_{_0}")]
    Unsupported(Unsupported),
}

impl JobSpec {
    /// The number of tasks of all steps.
    pub fn task_count(&self) -> u32 {
        let counts = self.steps.iter().map(|step| step.tasks);
        counts.fold(0, u32::saturating_add)
    }

    /// Checks what holds whatever the load.
    ///
    /// # Errors
    ///
    /// Why the job can never be taken.
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

    /// The declared run time of the longest chain of steps.
    pub fn declared_chain(&self) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let earlier = step
                .after
                .iter()
                .filter_map(|number| ends.get(*number as usize));
            let start = earlier.max().copied().unwrap_or_default();
            ends.push(start + step.declared_run_time);
        }
        ends.into_iter().max().unwrap_or_default()
    }
}
