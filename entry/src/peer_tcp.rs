//! Peer transport over TCP: a listener that receives, and a connection for each sibling to send on.
//!
//! A message is sent at most once, and nothing is answered at this level.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use almondhead_lib::event::PeerIdentity;
use almondhead_lib::membership::Sibling;
use almondhead_lib::peer_envelope::Envelope;
use almondhead_lib::peer_envelope::EnvelopeSealer;
use almondhead_lib::peer_envelope::SealError;
use almondhead_lib::peer_greeting::PeerGreetings;
use almondhead_lib::peer_message::PeerMessage;
use async_channel::Sender;
use bytes::Bytes;
use smol::net::TcpListener;

use crate::executor;
use crate::executor::BackgroundTask;
use crate::log_limit::LogLimit;
use crate::peer::Incoming;
use crate::peer::PeerSendError;
use crate::peer::PeerSettings;
use crate::peer::PeerStartError;
use crate::peer::PeerTransport;
use crate::peer_counters::PeerCount;
use crate::peer_counters::PeerCounters;
use crate::peer_inbox::Inbox;
use crate::peer_link::LinkRefusal;
use crate::peer_route::PeerRoute;
use crate::peer_route::Routes;

/// The peer transport between entry processes.
pub struct TcpTransport {
    identity: PeerIdentity,
    sealer: EnvelopeSealer,
    greetings: Arc<PeerGreetings>,
    counters: Arc<PeerCounters>,
    local_address: SocketAddr,
    routes: Routes,
    incoming: Sender<Envelope>,
    inbox: Arc<Inbox>,
    /// Accepts connections; none once the transport is being dropped.
    acceptor: Option<BackgroundTask>,
}

impl TcpTransport {
    /// Starts to listen; received messages are sent to the returned channel.
    ///
    /// # Errors
    ///
    /// [`PeerStartError`] when the address cannot be listened on.
    pub fn start(settings: PeerSettings) -> Result<(Self, Incoming), PeerStartError> {
        let address = settings.listen;
        let failed = |error: std::io::Error| PeerStartError {
            step: "listen for peers",
            address,
            reason: error.to_string(),
        };
        let listener = std::net::TcpListener::bind(address).map_err(failed)?;
        let local_address = listener.local_addr().map_err(failed)?;
        listener.set_nonblocking(true).map_err(failed)?;
        let listener = TcpListener::try_from(listener).map_err(failed)?;
        let sealer = EnvelopeSealer::new(&settings.key);
        let greetings = Arc::new(PeerGreetings::new(&settings.key));
        let counters = Arc::new(PeerCounters::default());
        let (incoming, messages) = match settings.max_incoming_messages {
            Some(messages) => async_channel::bounded(messages),
            None => async_channel::unbounded(),
        };
        let routes = Routes::default();
        let inbox = Arc::new(Inbox {
            routes: routes.clone(),
            sealer: sealer.clone(),
            greetings: greetings.clone(),
            counters: counters.clone(),
            incoming: incoming.clone(),
            connections: Mutex::default(),
            log_limit: LogLimit::default(),
        });
        let acceptor = executor::spawn_task(Arc::clone(&inbox).accept(listener));
        let transport = TcpTransport {
            identity: settings.identity,
            sealer,
            greetings,
            counters,
            local_address,
            routes,
            incoming,
            inbox,
            acceptor: Some(acceptor),
        };
        Ok((transport, messages))
    }

    /// Returns the address that it listens on.
    pub fn local_address(&self) -> SocketAddr {
        self.local_address
    }

    /// Returns the counters of the transport.
    pub fn counters(&self) -> Arc<PeerCounters> {
        self.counters.clone()
    }

    fn seal(&self, to: &Arc<str>, message: &PeerMessage) -> Result<Bytes, PeerSendError> {
        let envelope = Envelope {
            sender: self.identity.clone(),
            message: message.clone(),
        };
        let sealed = self.sealer.seal(&envelope);
        sealed.map_err(
            |SealError::TooLarge { envelope_bytes }| PeerSendError::TooLarge {
                to: to.clone(),
                envelope_bytes,
            },
        )
    }

    fn send_sealed(&self, to: &Arc<str>, message: &PeerMessage) -> Result<(), PeerSendError> {
        let routes = self.routes.read().unwrap_or_else(PoisonError::into_inner);
        let route = routes.get(to);
        let route = route.ok_or_else(|| PeerSendError::UnknownSibling { to: to.clone() })?;
        let sealed = self.seal(to, message)?;
        route.send(sealed).map_err(|refusal| match refusal {
            LinkRefusal::NotConnected => PeerSendError::NotConnected { to: to.clone() },
            LinkRefusal::QueueFull => PeerSendError::QueueFull { to: to.clone() },
        })
    }
}

impl PeerTransport for TcpTransport {
    fn send(&self, to: &Arc<str>, message: &PeerMessage) -> Result<(), PeerSendError> {
        let sent = self.send_sealed(to, message);
        if let Err(error) = &sent {
            self.counters.increment(count_for(error));
        }
        sent
    }

    fn set_siblings(&self, siblings: &[Sibling]) {
        let mut routes = self.routes.write().unwrap_or_else(PoisonError::into_inner);
        let mut previous = std::mem::take(&mut *routes);
        for sibling in siblings {
            if sibling.name == self.identity.instance {
                continue;
            }
            let kept = previous
                .swap_remove(&sibling.name)
                .filter(|route| route.address() == sibling.peer_address);
            let route = kept.unwrap_or_else(|| {
                let (greetings, counters) = (self.greetings.clone(), self.counters.clone());
                PeerRoute::open(sibling.peer_address, greetings, counters)
            });
            routes.insert(sibling.name.clone(), route);
        }
    }
}

impl Drop for TcpTransport {
    /// Waits until the address can be listened on again.
    fn drop(&mut self) {
        self.incoming.close();
        if let Some(acceptor) = self.acceptor.take() {
            smol::block_on(acceptor.cancel());
        }
        self.inbox.close();
    }
}

const fn count_for(error: &PeerSendError) -> PeerCount {
    match error {
        PeerSendError::NotConnected { .. } => PeerCount::NotConnected,
        PeerSendError::QueueFull { .. } => PeerCount::QueueFull,
        PeerSendError::UnknownSibling { .. } | PeerSendError::TooLarge { .. } => {
            PeerCount::NotSendable
        }
    }
}
