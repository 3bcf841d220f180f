//! How long the leases of a run may last beyond the time as of which its caller is known to wait.

use std::time::Duration;

use super::past_time::PastTime;
use super::peer_table::MAX_CLOCK_DRIFT_PERCENT;
use super::requester_contacts::MAX_OPEN_INPUT_AGE;
use super::run_settings::RunLimits;
use crate::scaling::percent_of;
use crate::time::Timestamp;

/// The age that what is known of a home usually stays below: a heartbeat, and the time until it is handled.
///
/// A lease leaves this much room below its bound, so that runs of other homes can start beside it.
const USUAL_WANTED_AGE: Duration = Duration::from_millis(200);

/// The limits of leases: the longest that is ordered, and the latest end.
///
/// An owner may freeze or die at any time, and every later stop may be lost. So a lease must end by
/// itself before the caller of a run, having left unnoticed, submits its job again.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeaseBound {
    /// The longest lease, on the upstream's clock.
    lease: Duration,
    /// How long after its run was known to be wanted a lease may end, on this instance's clock.
    max_after_wanted: Duration,
}

impl LeaseBound {
    /// The bound for these limits: a caller's pause, less the time of a stop, on a clock that drifts.
    ///
    /// It is never longer than the time in which a run is stopped whose caller is not known to wait.
    pub(crate) fn new(limits: &RunLimits) -> Self {
        let pause = limits.caller_retry_pause;
        let until_stop = pause.saturating_sub(limits.max_stop_time);
        let without_drift = until_stop * 100 / (100 + MAX_CLOCK_DRIFT_PERCENT);
        let max_after_wanted = without_drift.min(MAX_OPEN_INPUT_AGE);
        LeaseBound {
            lease: limits
                .lease
                .min(max_after_wanted.saturating_sub(USUAL_WANTED_AGE)),
            max_after_wanted,
        }
    }

    /// The longest lease that instances with these limits order.
    pub(crate) fn lease(&self) -> Duration {
        self.lease
    }

    /// How long a lease may last from now on for a run that was known to be wanted as of `wanted_as_of`;
    /// none if it must not be extended any more.
    pub(crate) fn lease_at(&self, now: Timestamp, wanted_as_of: PastTime) -> Option<Duration> {
        let age = wanted_as_of.age(now);
        let left = self.max_after_wanted.saturating_sub(age);
        (!left.is_zero()).then(|| self.lease.min(left))
    }

    /// Whether a lease that lasts for `left` from now on ends in time for a run that was known to be
    /// wanted as of `wanted_as_of`.
    pub(crate) fn allows(&self, now: Timestamp, wanted_as_of: PastTime, left: Duration) -> bool {
        left.saturating_add(wanted_as_of.age(now)) <= self.max_after_wanted
    }

    /// How long a run goes on at most once no further lease is ordered for it, by this instance's clock.
    pub(crate) fn longest_lease(&self) -> Duration {
        self.lease + percent_of(self.lease, MAX_CLOCK_DRIFT_PERCENT)
    }
}
