//! The time after which a refused caller should retry.

use std::time::Duration;

use crate::scaling::scaled;

/// The minimum time to wait.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// The maximum time to wait before it is spread.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Retries are spread over the wait divided by this.
const SPREAD_DIVISOR: u32 = 2;

/// The odd number nearest to 2^32 divided by the golden ratio, as in Fibonacci hashing.
const FIBONACCI_MULTIPLIER: u32 = 2_654_435_769;

/// The time after which capacity is expected, prolonged by up to half of it depending on `spread`.
///
/// `spread` differs from caller to caller, so that callers that were refused together do not retry
/// together; consecutive numbers are spread as evenly as random ones. The result is never zero.
pub(crate) fn retry_after(capacity_in: Duration, spread: u32) -> Duration {
    let wait = capacity_in.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    let hashed = spread.wrapping_mul(FIBONACCI_MULTIPLIER);
    let share = f64::from(hashed) / f64::from(u32::MAX);
    wait + scaled(wait / SPREAD_DIVISOR, share)
}
