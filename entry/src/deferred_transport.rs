//! A transport that starts once the key of the instances is known.

use std::sync::Arc;
use std::sync::OnceLock;

use almondhead_lib::membership::Sibling;
use almondhead_lib::peer_message::PeerMessage;

use crate::peer::PeerSendError;
use crate::peer::PeerTransport;
use crate::peer_nng::NngTransport;

/// Passes messages to a transport, and refuses them as long as there is none.
#[derive(Default)]
pub(crate) struct LateTransport {
    started: OnceLock<NngTransport>,
}

impl LateTransport {
    /// Takes the transport that has started.
    pub(crate) fn start(&self, transport: NngTransport) {
        if self.started.set(transport).is_err() {
            tracing::warn!("a second transport between instances: not used");
        }
    }
}

impl PeerTransport for LateTransport {
    fn send(&self, to: &Arc<str>, message: &PeerMessage) -> Result<(), PeerSendError> {
        match self.started.get() {
            Some(transport) => transport.send(to, message),
            None => Err(PeerSendError::NotConnected { to: to.clone() }),
        }
    }

    fn set_siblings(&self, siblings: &[Sibling]) {
        if let Some(transport) = self.started.get() {
            transport.set_siblings(siblings);
        }
    }
}
