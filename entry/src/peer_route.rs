//! The way to one sibling: a link, and a spare one when the link may be dead without showing it.

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

/// How long messages go out unanswered before another connection is tried.
///
/// After a cut, TCP itself sends again only after a pause as long as the cut was.
const SILENCE_LIMIT: Duration = Duration::from_secs(2);

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
    spare: Option<Spare>,
    /// The link before, while it still sends what it took.
    retired: Option<PeerLink>,
    /// When the first message after the last sign of the sibling went out.
    unheard_since: Option<Instant>,
}

#[derive(Debug)]
struct Spare {
    link: PeerLink,
    opened_at: Instant,
}

impl PeerRoute {
    /// A route that starts to connect to `address`.
    pub(crate) fn open(address: SocketAddr, counters: Arc<PeerCounters>) -> nng::Result<Self> {
        let link = PeerLink::open(address, counters.clone())?;
        Ok(PeerRoute {
            address,
            counters,
            state: Mutex::new(RouteState {
                link,
                spare: None,
                retired: None,
                unheard_since: None,
            }),
        })
    }

    /// Where the sibling listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a sealed message after those that wait.
    pub(crate) fn send(&self, message: Bytes) -> Result<(), LinkRefusal> {
        let now = Instant::now();
        let mut state = self.lock();
        self.renew(&mut state, now);
        state.link.send(message)?;
        state.unheard_since.get_or_insert(now);
        Ok(())
    }

    /// Notes that the sibling sent a message.
    pub(crate) fn heard(&self) {
        let mut state = self.lock();
        state.unheard_since = None;
        if let Some(spare) = state.spare.take() {
            close(spare.link);
        }
    }

    fn renew(&self, state: &mut RouteState, now: Instant) {
        if let Some(idle) = state.retired.take_if(|link| link.is_idle()) {
            close(idle);
        }
        if let Some(spare) = state.spare.take_if(|spare| spare.link.is_connected()) {
            let link = std::mem::replace(&mut state.link, spare.link);
            if let Some(older) = state.retired.replace(link) {
                close(older);
            }
            state.unheard_since = None;
        }
        let silent_since = |since: Instant| now.duration_since(since) >= SILENCE_LIMIT;
        let silent = state.unheard_since.is_some_and(silent_since);
        let tried = state.spare.as_ref().map(|spare| spare.opened_at);
        if !silent || !state.link.is_connected() || tried.is_some_and(|at| !silent_since(at)) {
            return;
        }
        let opened = PeerLink::open(self.address, self.counters.clone()).ok();
        let spare = opened.map(|link| Spare {
            link,
            opened_at: now,
        });
        if let Some(tried) = std::mem::replace(&mut state.spare, spare) {
            close(tried.link);
        }
    }

    fn lock(&self) -> MutexGuard<'_, RouteState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Closes a link elsewhere, since closing waits for the library's threads.
fn close(link: PeerLink) {
    smol::unblock(move || drop(link)).detach();
}
