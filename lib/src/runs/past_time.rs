//! Times that other instances tell of, which may lie before the start of this process.

use std::time::Duration;

use almondhead_macros::key;

use crate::time::Timestamp;

/// How far before the start of the process such a time can lie; longer than any that still matters.
const BEFORE_START: Duration = Duration::from_secs(3_600);

/// A time on this instance's clock, not later than the present, that may lie before the start of the process.
///
/// A [`Timestamp`] cannot: what another instance knew before this process started would look as recent
/// as the start.
#[key]
pub(crate) struct PastTime {
    /// Microseconds since [`BEFORE_START`] before the start of the process.
    us: u64,
}

impl PastTime {
    /// Before all that matters.
    pub(crate) const UNKNOWN: PastTime = PastTime { us: 0 };

    /// The time `age` before `at`.
    pub(crate) fn before(at: Timestamp, age: Duration) -> Self {
        PastTime {
            us: (at + BEFORE_START).before(age).as_us(),
        }
    }

    /// How long ago it was.
    pub(crate) fn age(self, now: Timestamp) -> Duration {
        (now + BEFORE_START).since(Timestamp::from_us(self.us))
    }

    /// The time `later` after it, or the start of the process if that is later.
    pub(crate) fn after(self, later: Duration) -> Timestamp {
        (Timestamp::from_us(self.us) + later).before(BEFORE_START)
    }
}
