//! From which other instance a newer intended state is requested, and when.
//!
//! A state may be large for the links of small instances: one copy at a time is on its way to each.

use std::time::Duration;

use super::run_id::PeerKey;
use crate::time::Timestamp;

/// The age of the latest read of the store up to which a newer state is left to the next one: the waiting
/// call of the watch and its answer.
const MAX_READ_AGE: Duration = Duration::from_millis(1_200);

/// How long an instance may take to send its state before another one is asked, at first.
const FIRST_TIMEOUT: Duration = Duration::from_secs(1);

/// The factor by which the timeout grows with each request in a row that brought nothing: a large state may
/// still be on its way over a slow link, which another copy would slow down further.
const TIMEOUT_FACTOR: u32 = 2;

/// The longest timeout.
const MAX_TIMEOUT: Duration = Duration::from_secs(8);

/// The request for a newer intended state; at most one is in progress, whichever instances have it.
#[derive(Debug, Default)]
pub(crate) struct StateTransfer {
    /// The highest version that another instance has shown; versions only grow.
    newest_version: u64,
    pending: Option<PendingRequest>,
    /// The timeout of the next request; the first one if none.
    next_timeout: Option<Duration>,
}

#[derive(Debug)]
struct PendingRequest {
    peer: PeerKey,
    expires_at: Timestamp,
}

impl StateTransfer {
    /// The highest version that another instance has shown.
    pub(crate) fn newest_version(&self) -> u64 {
        self.newest_version
    }

    /// Records a version that another instance has shown, however long ago.
    pub(crate) fn record_version(&mut self, version: u64) {
        self.newest_version = self.newest_version.max(version);
    }

    /// Whether to request the state of an instance that has this version; records the request.
    ///
    /// `read_as_of` is the time of which the store was last read.
    pub(crate) fn begin(
        &mut self,
        now: Timestamp,
        peer: PeerKey,
        version: u64,
        own_version: u64,
        read_as_of: Option<Timestamp>,
    ) -> bool {
        let is_read_recent = read_as_of.is_some_and(|as_of| now.since(as_of) <= MAX_READ_AGE);
        let is_pending = self
            .pending
            .as_ref()
            .is_some_and(|pending| now < pending.expires_at);
        if version <= own_version || is_read_recent || is_pending {
            return false;
        }
        let timeout = self.next_timeout.unwrap_or(FIRST_TIMEOUT);
        self.next_timeout = Some((timeout * TIMEOUT_FACTOR).min(MAX_TIMEOUT));
        self.pending = Some(PendingRequest {
            peer,
            expires_at: now + timeout,
        });
        true
    }

    /// Records that an instance has sent its state.
    pub(crate) fn end(&mut self) {
        self.pending = None;
        self.next_timeout = None;
    }

    /// Lets another instance be asked in place of one that is unreachable or has ended.
    pub(crate) fn give_up(&mut self, peer: PeerKey) {
        self.pending.take_if(|pending| pending.peer == peer);
    }
}
