//! When a refused caller should come back.

use std::time::Duration;

/// The shortest time to wait.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// The longest time to wait.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// The part of the wait over which returns are spread, as a divisor.
const SPREAD_DIVISOR: u32 = 2;

/// The odd number nearest to the golden section of the range, which scatters a sequence evenly.
const SCATTER: u32 = 2_654_435_769;

/// The time after which room is expected, put off by up to half of it according to `spread`.
///
/// `spread` differs from caller to caller, so callers that were refused together do not come back
/// together; numbers in sequence are spread as well as random ones. The result is never zero.
pub(crate) fn retry_after(capacity_in: Duration, spread: u32) -> Duration {
    let wait = capacity_in.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    let scattered = spread.wrapping_mul(SCATTER);
    let share = f64::from(scattered) / f64::from(u32::MAX);
    wait + (wait / SPREAD_DIVISOR).mul_f64(share)
}
