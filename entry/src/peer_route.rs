//! The route to one sibling: a link, and a spare link when the first may be dead undetected.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;

use crate::peer_counters::PeerCounters;
use crate::peer_link::LinkRefusal;
use crate::peer_link::PeerLink;

/// How long sent messages may remain unanswered before a spare connection is opened.
///
/// After a network cut, TCP retransmits only after a backoff that is as long as the cut was.
const UNANSWERED_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends to one sibling over the newest link that connected.
#[derive(Debug)]
pub(crate) struct PeerRoute {
    address: SocketAddr,
    counters: Arc<PeerCounters>,
    state: Mutex<RouteState>,
}

#[derive(Debug)]
struct RouteState {
    link: PeerLink,
    spare: Option<SpareLink>,
    /// The previous link, while it still sends its queued messages.
    retired: Option<PeerLink>,
    /// When the first message was sent after the last one received from the sibling.
    unanswered_since: Option<Instant>,
}

/// A second link that is still connecting.
#[derive(Debug)]
struct SpareLink {
    link: PeerLink,
    opened_at: Instant,
}

impl PeerRoute {
    /// Opens a route, which starts to connect to `address`.
    pub(crate) fn open(address: SocketAddr, counters: Arc<PeerCounters>) -> nng::Result<Self> {
        let link = PeerLink::open(address, counters.clone())?;
        Ok(PeerRoute {
            address,
            counters,
            state: Mutex::new(RouteState {
                link,
                spare: None,
                retired: None,
                unanswered_since: None,
            }),
        })
    }

    /// Returns the address that the sibling listens on.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a sealed message after those that are queued.
    pub(crate) fn send(&self, message: Bytes) -> Result<(), LinkRefusal> {
        let now = Instant::now();
        let mut state = self.lock();
        self.update_links(&mut state, now);
        state.link.send(message)?;
        state.unanswered_since.get_or_insert(now);
        Ok(())
    }

    /// Records that a message from the sibling was received.
    pub(crate) fn record_received(&self) {
        let mut state = self.lock();
        state.unanswered_since = None;
        if let Some(spare) = state.spare.take() {
            close(spare.link);
        }
    }

    /// Switches to the spare link once it is connected, and opens one when the link in use is
    /// connected but its messages remain unanswered.
    fn update_links(&self, state: &mut RouteState, now: Instant) {
        if let Some(idle) = state.retired.take_if(|link| link.is_idle()) {
            close(idle);
        }
        if let Some(spare) = state.spare.take_if(|spare| spare.link.is_connected()) {
            let link = std::mem::replace(&mut state.link, spare.link);
            if let Some(older) = state.retired.replace(link) {
                close(older);
            }
            state.unanswered_since = None;
        }
        let is_timed_out = |since: Instant| now.duration_since(since) >= UNANSWERED_TIMEOUT;
        let is_unanswered = state.unanswered_since.is_some_and(is_timed_out);
        let spare_opened_at = state.spare.as_ref().map(|spare| spare.opened_at);
        if !is_unanswered
            || !state.link.is_connected()
            || spare_opened_at.is_some_and(|at| !is_timed_out(at))
        {
            return;
        }
        let opened = PeerLink::open(self.address, self.counters.clone()).ok();
        let spare = opened.map(|link| SpareLink {
            link,
            opened_at: now,
        });
        if let Some(failed) = std::mem::replace(&mut state.spare, spare) {
            close(failed.link);
        }
    }

    fn lock(&self) -> MutexGuard<'_, RouteState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Closes a link on a blocking thread, because closing waits for the library's threads.
fn close(link: PeerLink) {
    smol::unblock(move || drop(link)).detach();
}
