//! The route to one sibling: a link, and a spare link when the first may be dead undetected.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::time::Duration;
use std::time::Instant;

use almondhead_lib::peer_greeting::PeerGreetings;
use bytes::Bytes;
use indexmap::IndexMap;

use crate::peer_counters::PeerCounters;
use crate::peer_link::LinkRefusal;
use crate::peer_link::PeerLink;

/// The routes to the siblings, by their names.
pub(crate) type Routes = Arc<RwLock<IndexMap<Arc<str>, PeerRoute>>>;

/// How long sent messages may remain unanswered before a spare connection is opened.
///
/// After a network cut, TCP retransmits only after a backoff that is as long as the cut was.
const UNANSWERED_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends to one sibling over the newest link that connected.
#[derive(Debug)]
pub(crate) struct PeerRoute {
    address: SocketAddr,
    greetings: Arc<PeerGreetings>,
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
    pub(crate) fn open(
        address: SocketAddr,
        greetings: Arc<PeerGreetings>,
        counters: Arc<PeerCounters>,
    ) -> Self {
        let link = PeerLink::open(address, greetings.clone(), counters.clone());
        PeerRoute {
            address,
            greetings,
            counters,
            state: Mutex::new(RouteState {
                link,
                spare: None,
                retired: None,
                unanswered_since: None,
            }),
        }
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
        state.spare = None;
    }

    /// Switches to the spare link once it is connected, and opens one when the link in use is
    /// connected but its messages remain unanswered.
    fn update_links(&self, state: &mut RouteState, now: Instant) {
        state.retired.take_if(|link| link.is_idle());
        if let Some(spare) = state.spare.take_if(|spare| spare.link.is_connected()) {
            let link = std::mem::replace(&mut state.link, spare.link);
            state.retired = Some(link);
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
        let (greetings, counters) = (self.greetings.clone(), self.counters.clone());
        state.spare = Some(SpareLink {
            link: PeerLink::open(self.address, greetings, counters),
            opened_at: now,
        });
    }

    fn lock(&self) -> MutexGuard<'_, RouteState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
