//! A peer transport that starts once the peer key is known.

use std::sync::Arc;
use std::sync::OnceLock;

use almondhead_lib::membership::Sibling;
use almondhead_lib::peer_message::PeerMessage;

use crate::peer::PeerSendError;
use crate::peer::PeerTransport;
use crate::peer_tcp::TcpTransport;

/// Passes messages to a transport; refuses them until the transport has been started.
#[derive(Default)]
pub(crate) struct DeferredTransport {
    started: OnceLock<TcpTransport>,
}

impl DeferredTransport {
    /// Sets the started transport; a second one is ignored.
    pub(crate) fn start(&self, transport: TcpTransport) {
        if self.started.set(transport).is_err() {
            tracing::warn!("second peer transport ignored");
        }
    }
}

impl PeerTransport for DeferredTransport {
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
