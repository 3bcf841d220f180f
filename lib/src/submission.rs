//! What a caller submits.

use std::sync::Arc;
use std::time::Duration;

use almondhead_macros::key;
use almondhead_macros::value;
use bytes::Bytes;

/// A job as submitted: some tasks of one service that are answered together.
#[value]
pub struct Submission {
    /// The name of the service.
    pub service: Arc<str>,
    /// The name of the team that submits.
    pub team: Arc<str>,
    /// The time from arrival to the latest useful answer; the service's default when absent.
    pub timeout: Option<Duration>,
    /// Whether the tasks may run again after an unknown end.
    pub idempotent: bool,
    /// What each task needs of its upstream.
    pub needs: Needs,
    /// The run time that the caller declares for one task.
    pub declared_run_time: Option<Duration>,
    /// The input of each task.
    pub inputs: Vec<Bytes>,
    /// The W3C `traceparent` under which the job runs.
    pub traceparent: Option<Arc<str>>,
}

/// What one task needs of its upstream.
#[key]
#[derive(Default)]
pub struct Needs {
    /// Processors.
    pub cores: u32,
    /// Memory in mebibytes.
    pub memory_mib: u32,
    /// Accelerators.
    pub accelerators: u32,
}

impl Needs {
    /// Whether equipment of this size meets `needs`.
    pub fn covers(self, needs: Needs) -> bool {
        self.cores >= needs.cores
            && self.memory_mib >= needs.memory_mib
            && self.accelerators >= needs.accelerators
    }
}
