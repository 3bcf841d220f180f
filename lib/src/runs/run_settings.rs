//! The settings of one instance's dispatcher of leased runs.

use std::sync::Arc;
use std::time::Duration;

use almondhead_macros::value;

use crate::id::Incarnation;

/// The fixed facts of one instance.
#[value]
pub struct RunSettings {
    /// The instance's name.
    pub instance: Arc<str>,
    /// The name of its data centre.
    pub data_centre: Arc<str>,
    /// This run of the process.
    pub incarnation: Incarnation,
    /// The times and bounds.
    pub limits: RunLimits,
}

/// Times and bounds.
#[value]
#[derive(Copy)]
pub struct RunLimits {
    /// How long upstreams keep running what nobody holds: the longest lease that they grant.
    pub lease: Duration,
    /// How long a request may take whose caller names no time, on a queue without a timeout.
    pub default_timeout: Duration,
    /// How long the platform needs to list a living upstream again after an outage.
    pub relisting: Duration,
    /// The most jobs that are open at a time.
    pub open_jobs: usize,
}

impl Default for RunLimits {
    fn default() -> Self {
        RunLimits {
            lease: Duration::from_millis(1_000),
            default_timeout: Duration::from_millis(1_500),
            relisting: Duration::from_millis(2_200),
            open_jobs: 5_000,
        }
    }
}
