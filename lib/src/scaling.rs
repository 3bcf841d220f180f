//! Products of durations that saturate.
//!
//! Run times come from callers, upstreams and other instances, so any of them may be at the end of
//! its range. The operators of [`Duration`] and its own floating-point functions panic there.

use std::time::Duration;

/// The duration times a factor, at most [`Duration::MAX`], which a factor that is not a number gives
/// as well.
pub(crate) fn scaled(duration: Duration, factor: f64) -> Duration {
    from_seconds(duration.as_secs_f64() * factor)
}

/// This share of the duration in percent, at most [`Duration::MAX`] / 100.
pub(crate) fn percent_of(duration: Duration, percent: u32) -> Duration {
    duration.saturating_mul(percent) / 100
}

/// A duration of this many seconds, zero for a negative number, and at most [`Duration::MAX`], which
/// what is not a number gives as well.
pub(crate) fn from_seconds(seconds: f64) -> Duration {
    let is_negative = seconds < 0.0;
    let too_large = match is_negative {
        true => Duration::ZERO,
        false => Duration::MAX,
    };
    Duration::try_from_secs_f64(seconds).unwrap_or(too_large)
}
