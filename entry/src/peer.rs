//! Sending messages to other entry instances, whatever carries them.

use std::sync::Arc;

use almondhead_lib::event::PeerIdentity;
use almondhead_lib::membership::Sibling;
use almondhead_lib::peer_envelope::Envelope;
use almondhead_lib::peer_message::PeerMessage;
use almondhead_macros::value;
use derive_more::Display;
use derive_more::Error;
use smol::channel::Receiver;

/// The messages that came in, each authenticated, in the order of their arrival.
pub type Incoming = Receiver<Envelope>;

/// The most messages that came in and wait to be taken.
pub(crate) const MAX_INCOMING_MESSAGES: usize = 64;

/// Carries messages to siblings; each may arrive twice, late or never.
pub trait PeerTransport: Send + Sync {
    /// Hands a message over for sending, without waiting.
    ///
    /// # Errors
    ///
    /// [`PeerSendError`] when not a byte of it was sent, and none will be.
    fn send(&self, to: &Arc<str>, message: &PeerMessage) -> Result<(), PeerSendError>;

    /// Replaces the siblings that messages can be sent to.
    fn set_siblings(&self, siblings: &[Sibling]);
}

/// Why a message was not sent.
#[value]
#[derive(Display, Error)]
pub enum PeerSendError {
    /// No sibling has this name.
    #[display("send to {to}: unknown sibling")]
    UnknownSibling {
        /// The name.
        to: Arc<str>,
    },
    /// There is no connection to the sibling now.
    #[display("send to {to}: not connected")]
    NotConnected {
        /// The sibling's name.
        to: Arc<str>,
    },
    /// As much waits for the sibling as may.
    #[display("send to {to}: queue full")]
    QueueFull {
        /// The sibling's name.
        to: Arc<str>,
    },
    /// The message is larger than an envelope.
    #[display("send to {to}: message of {envelope_bytes} bytes is too large")]
    TooLarge {
        /// The sibling's name.
        to: Arc<str>,
        /// The size that its envelope would have.
        envelope_bytes: usize,
    },
}

/// Why a transport could not start.
#[value]
#[derive(Display, Error)]
#[display("{step} at {address}: {reason}")]
pub struct PeerStartError {
    /// What was attempted.
    pub step: &'static str,
    /// The address to listen on.
    pub address: std::net::SocketAddr,
    /// What the library answered.
    pub reason: String,
}

/// What a transport needs to know of its own instance.
#[derive(Clone)]
pub struct PeerSettings {
    /// Its identity, which goes with each message.
    pub identity: PeerIdentity,
    /// The address that it takes messages at.
    pub listen: std::net::SocketAddr,
    /// The firm's shared key.
    pub key: Vec<u8>,
}
