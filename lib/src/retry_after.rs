//! When a refused caller should come back.

use std::time::Duration;

/// The shortest time to wait.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// The longest time to wait.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// The part of the wait over which returns are spread, as a divisor.
const SPREAD_DIVISOR: u32 = 2;

/// The time after which room is expected, put off by up to half of it according to `spread`.
///
/// `spread` differs from caller to caller and covers the range of its type, so callers that were
/// refused together do not come back together. The result is never zero.
pub(crate) fn retry_after(room_in: Duration, spread: u32) -> Duration {
    let wait = room_in.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    let share = f64::from(spread) / f64::from(u32::MAX);
    wait + (wait / SPREAD_DIVISOR).mul_f64(share)
}
