//! When refused callers return.

use std::time::Duration;

use crate::runs::run_digest::name_hash;
use crate::runs::run_id::JobId;
use crate::scaling::scaled;

/// Over what time refused callers come back: as many as come in that time were refused, so that their
/// queue then gets twice its usual jobs at most.
const RETURN_SPREAD: Duration = Duration::from_secs(4);

/// How much later than the earliest possible time the caller of this job returns.
pub(crate) fn return_spread(id: JobId) -> Duration {
    scaled(
        RETURN_SPREAD,
        f64::from(name_hash(id.as_str())) / f64::from(u32::MAX),
    )
}
