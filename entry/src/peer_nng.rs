//! Peer transport over `nng`: a pull socket that receives, and a push socket for each sibling.
//!
//! Push and pull sockets send a message at most once and have no replies, so the library never
//! resends one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;

use almondhead_lib::event::PeerIdentity;
use almondhead_lib::membership::Sibling;
use almondhead_lib::peer_envelope::Envelope;
use almondhead_lib::peer_envelope::EnvelopeSealer;
use almondhead_lib::peer_envelope::MAX_ENVELOPE_BYTES;
use almondhead_lib::peer_envelope::OpenError;
use almondhead_lib::peer_envelope::SealError;
use almondhead_lib::peer_message::PeerMessage;
use bytes::Bytes;
use indexmap::IndexMap;
use nng::Aio;
use nng::AioResult;
use nng::Message;
use nng::Protocol;
use nng::Socket;
use nng::options::Options;
use nng::options::RecvBufferSize;
use nng::options::RecvMaxSize;
use nng::options::transport::tcp::BoundPort;
use smol::channel::Sender;

use crate::peer::Incoming;
use crate::peer::MAX_INCOMING_MESSAGES;
use crate::peer::PeerSendError;
use crate::peer::PeerSettings;
use crate::peer::PeerStartError;
use crate::peer::PeerTransport;
use crate::peer_counters::PeerCount;
use crate::peer_counters::PeerCounters;
use crate::peer_link::LinkRefusal;
use crate::peer_route::PeerRoute;

/// The routes to the siblings, by their names.
type Routes = Arc<RwLock<IndexMap<Arc<str>, PeerRoute>>>;

/// The peer transport between entry processes.
pub struct NngTransport {
    identity: PeerIdentity,
    sealer: EnvelopeSealer,
    counters: Arc<PeerCounters>,
    local_address: SocketAddr,
    routes: Routes,
    incoming: Sender<Envelope>,
    socket: Socket,
    receiver: Aio,
}

impl NngTransport {
    /// Starts to listen; received messages are sent to the returned channel.
    ///
    /// # Errors
    ///
    /// [`PeerStartError`] when the address cannot be listened on.
    pub fn start(settings: PeerSettings) -> Result<(Self, Incoming), PeerStartError> {
        let address = settings.listen;
        let failed = |step| {
            move |error: nng::Error| PeerStartError {
                step,
                address,
                reason: error.to_string(),
            }
        };
        let sealer = EnvelopeSealer::new(&settings.key);
        let counters = Arc::new(PeerCounters::default());
        let (incoming, messages) = smol::channel::bounded(MAX_INCOMING_MESSAGES);
        let socket = pull_socket().map_err(failed("open the peer socket"))?;
        let local_address = listen(&socket, address).map_err(failed("listen for peers"))?;
        let routes = Routes::default();
        let inbox = Inbox {
            routes: routes.clone(),
            socket: socket.clone(),
            sealer: sealer.clone(),
            counters: counters.clone(),
            incoming: incoming.clone(),
        };
        let receiver = Aio::new(move |receiver, result| inbox.on_received(&receiver, result))
            .map_err(failed("prepare receiving"))?;
        socket
            .recv_async(&receiver)
            .map_err(failed("receive from peers"))?;
        let transport = NngTransport {
            identity: settings.identity,
            sealer,
            counters,
            local_address,
            routes,
            incoming,
            socket,
            receiver,
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

    fn open_route(&self, sibling: &Sibling) -> Option<PeerRoute> {
        let route = PeerRoute::open(sibling.peer_address, self.counters.clone());
        if let Err(error) = &route {
            tracing::warn!(
                sibling = &*sibling.name,
                address = %sibling.peer_address,
                %error,
                "connection to a sibling not opened"
            );
        }
        route.ok()
    }
}

impl PeerTransport for NngTransport {
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
            if let Some(route) = kept.or_else(|| self.open_route(sibling)) {
                routes.insert(sibling.name.clone(), route);
            }
        }
    }
}

impl Drop for NngTransport {
    fn drop(&mut self) {
        self.incoming.close();
        self.socket.close();
        self.receiver.wait();
    }
}

/// Handles the messages that the pull socket receives.
struct Inbox {
    routes: Routes,
    socket: Socket,
    sealer: EnvelopeSealer,
    counters: Arc<PeerCounters>,
    incoming: Sender<Envelope>,
}

impl Inbox {
    /// Delivers a message and starts to receive the next; a full channel blocks, which applies
    /// backpressure to the senders.
    fn on_received(&self, receiver: &Aio, result: AioResult) {
        match result {
            AioResult::Recv(Ok(message)) => self.deliver(&message),
            AioResult::Recv(Err(nng::Error::Closed)) => return,
            _ => {}
        }
        // Fails only when the socket is closed, which ends receiving.
        let _ = self.socket.recv_async(receiver);
    }

    fn deliver(&self, message: &Message) {
        match self.sealer.open(Bytes::copy_from_slice(message)) {
            Ok(envelope) => {
                self.record_received(&envelope.sender.instance);
                self.counters.increment(PeerCount::Received);
                // Fails only when the receiver of the channel has been dropped.
                let _ = self.incoming.send_blocking(envelope);
            }
            Err(OpenError::Invalid(_)) => self.counters.increment(PeerCount::Invalid),
            Err(OpenError::NotAuthentic | OpenError::TooLarge { .. }) => {
                self.counters.increment(PeerCount::NotAuthentic);
            }
        }
    }

    fn record_received(&self, instance: &str) {
        let routes = self.routes.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(route) = routes.get(instance) {
            route.record_received();
        }
    }
}

fn pull_socket() -> nng::Result<Socket> {
    let socket = Socket::new(Protocol::Pull0)?;
    socket.set_opt::<RecvMaxSize>(MAX_ENVELOPE_BYTES)?;
    socket.set_opt::<RecvBufferSize>(0)?;
    Ok(socket)
}

fn listen(socket: &Socket, address: SocketAddr) -> nng::Result<SocketAddr> {
    let listener = nng::Listener::new(socket, &format!("tcp://{address}"))?;
    let port = listener.get_opt::<BoundPort>()?;
    Ok(SocketAddr::new(address.ip(), port))
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
