//! The report of the loss of runs with their upstream, which owners send to all instances.

use std::sync::Arc;
use std::time::Duration;

use almondhead_macros::value;

use super::run_id::RunId;

/// A crash of an upstream and the runs that it ended, or the loss of runs on a silent upstream, which
/// may have crashed.
///
/// Each incarnation of an upstream gets orders under a fence of its own. With the run that started
/// last, name and fence identify the loss.
#[value]
pub struct CrashReport {
    /// The upstream.
    pub upstream: Arc<str>,
    /// The fence of the owner's orders to the incarnation that crashed.
    pub fence: u64,
    /// The runs that were in progress there or may have been.
    pub runs: Vec<CrashedRun>,
    /// The time since the crash when the report was sent.
    pub ago: Duration,
    /// Whether the process of the upstream has surely ended; otherwise it is silent, and the leases of
    /// the runs have expired.
    pub is_certain: bool,
}

/// A run that a crash of its upstream ended.
#[value]
pub struct CrashedRun {
    /// The run.
    pub run: RunId,
    /// The name of its job's queue.
    pub queue: Arc<str>,
    /// The time from its start order until the crash was first noticed.
    pub age: Duration,
}

impl CrashReport {
    /// The run that was started last; none without runs.
    pub fn newest_run(&self) -> Option<&CrashedRun> {
        self.runs.iter().min_by_key(|run| run.age)
    }
}
