//! The logarithm of a measured run time.

use std::time::Duration;

/// The resolution of run times: each is the difference of two readings of a clock that shows whole
/// milliseconds.
const RESOLUTION: Duration = Duration::from_millis(1);

/// The natural logarithm of a run time in seconds, with the variance that its resolution adds.
///
/// Both are finite for every duration, so that means over several run times are finite as well.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LogRunTime {
    /// The logarithm.
    pub(crate) ln_seconds: f64,
    /// The variance of the logarithm.
    pub(crate) variance: f64,
}

impl LogRunTime {
    /// The logarithm of a measured run time; one that ended in the millisecond of its start counts as
    /// half of one.
    pub(crate) fn new(run_time: Duration) -> Self {
        let half = RESOLUTION / 2;
        let seconds = run_time.max(half).as_secs_f64();
        let relative_error = half.as_secs_f64() / seconds;
        LogRunTime {
            ln_seconds: seconds.ln(),
            variance: relative_error * relative_error,
        }
    }
}
