//! The report of an upstream's crash, which owners send to all instances.

use std::sync::Arc;
use std::time::Duration;

use almondhead_macros::value;

use super::run_id::RunId;

/// A crash of an upstream and the runs that it ended.
///
/// Name and fence identify the crash: each incarnation of an upstream gets orders under a fence of
/// its own.
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
