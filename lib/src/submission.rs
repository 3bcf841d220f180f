//! Submissions of jobs by callers.

use std::sync::Arc;
use std::time::Duration;

use almondhead_macros::key;
use almondhead_macros::value;
use bytes::Bytes;

/// A job as submitted: tasks of one service that are answered together.
#[value]
pub struct Submission {
    /// The name of the service.
    pub service: Arc<str>,
    /// The name of the team that submits.
    pub team: Arc<str>,
    /// The time from arrival to the deadline; the service's default if `None`.
    pub timeout: Option<Duration>,
    /// Whether a task may run again when its outcome is unknown.
    pub idempotent: bool,
    /// The resources that each task needs on its upstream.
    pub needs: Needs,
    /// The run time of one task as declared by the caller.
    pub declared_run_time: Option<Duration>,
    /// The input of each task.
    pub inputs: Vec<Bytes>,
    /// The W3C `traceparent` under which the job runs.
    pub traceparent: Option<Arc<str>>,
}

/// The resources that a task needs on its upstream, or that an upstream has.
#[key]
#[derive(Default)]
pub struct Needs {
    /// Processor cores.
    pub cores: u32,
    /// Memory in mebibytes.
    pub memory_mib: u32,
    /// Accelerators.
    pub accelerators: u32,
}

impl Needs {
    /// Whether these resources are sufficient for `needs`.
    pub fn covers(self, needs: Needs) -> bool {
        self.cores >= needs.cores
            && self.memory_mib >= needs.memory_mib
            && self.accelerators >= needs.accelerators
    }
}
