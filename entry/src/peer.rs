//! The interface of the transports that carry messages between entry instances.

use std::sync::Arc;

use almondhead_lib::event::PeerIdentity;
use almondhead_lib::membership::Sibling;
use almondhead_lib::peer_envelope::Envelope;
use almondhead_lib::peer_message::PeerMessage;
use almondhead_macros::value;
use derive_more::Display;
use derive_more::Error;
use smol::channel::Receiver;

/// The received messages, authenticated, in the order of their arrival.
pub type Incoming = Receiver<Envelope>;

/// Maximum number of received messages that wait for a receiver which applies backpressure.
pub const MAX_INCOMING_MESSAGES: usize = 64;

/// Sends messages to siblings; a message may arrive late, more than once or not at all.
pub trait PeerTransport: Send + Sync {
    /// Queues a message for sending, without waiting.
    ///
    /// # Errors
    ///
    /// [`PeerSendError`] when no byte of the message was sent and none will be.
    fn send(&self, to: &Arc<str>, message: &PeerMessage) -> Result<(), PeerSendError>;

    /// Replaces the set of siblings that messages can be sent to.
    fn set_siblings(&self, siblings: &[Sibling]);
}

/// Why a message was not sent.
#[value]
#[derive(Display, Error)]
pub enum PeerSendError {
    /// No sibling has this name.
    #[display("send to {to}: unknown sibling")]
    UnknownSibling {
        /// The name that the message was addressed to.
        to: Arc<str>,
    },
    /// There is no open connection to the sibling.
    #[display("send to {to}: not connected")]
    NotConnected {
        /// The sibling's name.
        to: Arc<str>,
    },
    /// The queue of messages for the sibling is full.
    #[display("send to {to}: queue full")]
    QueueFull {
        /// The sibling's name.
        to: Arc<str>,
    },
    /// The message does not fit into an envelope.
    #[display("send to {to}: message of {envelope_bytes} bytes is too large")]
    TooLarge {
        /// The sibling's name.
        to: Arc<str>,
        /// The size that its envelope would have, in bytes.
        envelope_bytes: usize,
    },
}

/// Why a transport could not be started.
#[value]
#[derive(Display, Error)]
#[display("{step} at {address}: {reason}")]
pub struct PeerStartError {
    /// The step that failed.
    pub step: &'static str,
    /// The address to listen on.
    pub address: std::net::SocketAddr,
    /// The error text of the operating system.
    pub reason: String,
}

/// The settings of a transport.
#[derive(Clone)]
pub struct PeerSettings {
    /// The identity of the own instance, sent with each message.
    pub identity: PeerIdentity,
    /// The address to receive messages at.
    pub listen: std::net::SocketAddr,
    /// The key that all entry instances of the firm share; it authenticates messages.
    pub key: Vec<u8>,
    /// The maximum number of received messages that wait for their receiver; further ones wait at the
    /// sockets. None for a receiver that hands messages on at once.
    pub max_incoming_messages: Option<usize>,
}
