//! The state that the handlers of the caller interface share.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use almondhead_lib::event::PeerIdentity;
use almondhead_lib::session_token::SessionTokens;

use crate::driver_handle::DriverHandle;
use crate::metrics::Metrics;
use crate::settings::Limits;
use crate::spans::Spans;
use crate::stopping::Stopping;

/// The state that every handler of the caller interface shares.
pub(crate) struct CallerContext {
    pub(crate) identity: PeerIdentity,
    pub(crate) tokens: SessionTokens,
    pub(crate) driver: DriverHandle,
    pub(crate) metrics: Metrics,
    pub(crate) spans: Spans,
    pub(crate) limits: Limits,
    pub(crate) stopping: Stopping,
    pub(crate) next_request_id: AtomicU64,
}

impl CallerContext {
    /// Generates an id for a request whose caller sent none.
    pub(crate) fn new_request_id(&self) -> String {
        let number = self.next_request_id.fetch_add(1, Ordering::Relaxed);
        format!("{}-{number}", self.identity.incarnation)
    }
}
