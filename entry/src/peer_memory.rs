//! A peer transport between instances within one process, for tests.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use almondhead_lib::event::PeerIdentity;
use almondhead_lib::membership::Sibling;
use almondhead_lib::peer_envelope::Envelope;
use almondhead_lib::peer_message::PeerMessage;
use indexmap::IndexMap;
use indexmap::IndexSet;
use smol::channel::Sender;

use crate::peer::Incoming;
use crate::peer::MAX_INCOMING_MESSAGES;
use crate::peer::PeerSendError;
use crate::peer::PeerTransport;

type Inboxes = Arc<Mutex<IndexMap<Arc<str>, Sender<Envelope>>>>;

/// The network that connects the transports of one test.
#[derive(Clone, Debug, Default)]
pub struct MemoryNetwork {
    inboxes: Inboxes,
}

impl MemoryNetwork {
    /// Adds an instance; it replaces an earlier one of the same name.
    pub fn join(&self, identity: PeerIdentity) -> (MemoryTransport, Incoming) {
        let (inbox, messages) = smol::channel::bounded(MAX_INCOMING_MESSAGES);
        let mut inboxes = lock(&self.inboxes);
        inboxes.insert(identity.instance.clone(), inbox);
        let transport = MemoryTransport {
            identity,
            inboxes: self.inboxes.clone(),
            siblings: Mutex::default(),
        };
        (transport, messages)
    }
}

/// A transport that puts messages directly into the channels of its siblings.
#[derive(Debug)]
pub struct MemoryTransport {
    identity: PeerIdentity,
    inboxes: Inboxes,
    siblings: Mutex<IndexSet<Arc<str>>>,
}

impl PeerTransport for MemoryTransport {
    fn send(&self, to: &Arc<str>, message: &PeerMessage) -> Result<(), PeerSendError> {
        if !lock(&self.siblings).contains(to) {
            return Err(PeerSendError::UnknownSibling { to: to.clone() });
        }
        let envelope = Envelope {
            sender: self.identity.clone(),
            message: message.clone(),
        };
        let inboxes = lock(&self.inboxes);
        let Some(inbox) = inboxes.get(to).filter(|inbox| !inbox.is_closed()) else {
            return Err(PeerSendError::NotConnected { to: to.clone() });
        };
        let sent = inbox.try_send(envelope);
        sent.map_err(|_| PeerSendError::QueueFull { to: to.clone() })
    }

    fn set_siblings(&self, siblings: &[Sibling]) {
        let names = siblings.iter().map(|sibling| sibling.name.clone());
        *lock(&self.siblings) = names.collect();
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
