//! Settings of the dispatcher of leased runs.

use std::sync::Arc;
use std::time::Duration;

use almondhead_macros::value;

use super::overload::OverloadPolicy;
use crate::id::Incarnation;

/// The identity of one instance and the limits that it applies.
#[value]
pub struct RunSettings {
    /// The instance's name.
    pub instance: Arc<str>,
    /// The name of its data centre.
    pub data_centre: Arc<str>,
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// What gives way when upstreams have too little capacity.
    pub overload: OverloadPolicy,
    /// The durations and bounds.
    pub limits: RunLimits,
}

/// Durations and bounds of the dispatcher.
#[value]
#[derive(Copy)]
pub struct RunLimits {
    /// The lease that orders ask for, the longest that upstreams grant: how long runs go on
    /// without a renewal.
    pub lease: Duration,
    /// How long after its connection broke a caller submits its job again, at the earliest. No lease ends
    /// later for a run whose caller may have left.
    pub caller_retry_pause: Duration,
    /// How long an upstream takes at most to stop a run.
    pub max_stop_time: Duration,
    /// The timeout of a request whose caller names no time, on a queue without a timeout.
    pub default_timeout: Duration,
    /// How long upstreams may take to list themselves again after an outage of the platform's store.
    ///
    /// Entries may expire in an outage although their upstreams still run, so removals seen during
    /// it or within this time after it are delayed.
    pub relisting_grace: Duration,
    /// The maximum number of open jobs.
    pub max_open_jobs: usize,
    /// The maximum number of tasks of open jobs.
    pub max_open_tasks: usize,
    /// The longest time since the operators' rows were read within which a queue that they do not have is
    /// denied: how long a change may take to be in force.
    pub max_intended_age: Duration,
}

impl Default for RunLimits {
    fn default() -> Self {
        RunLimits {
            lease: Duration::from_millis(1_000),
            caller_retry_pause: Duration::from_millis(1_300),
            max_stop_time: Duration::from_millis(50),
            default_timeout: Duration::from_millis(1_500),
            relisting_grace: Duration::from_millis(2_200),
            max_open_jobs: 5_000,
            max_open_tasks: 100_000,
            max_intended_age: Duration::from_millis(2_000),
        }
    }
}
