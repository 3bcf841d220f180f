//! The greetings that open a connection between two entry instances.
//!
//! Each side sends its greeting before anything else: the protocol's name and version, and a tag
//! under the firm's key. A stranger's connection is known by its first bytes, before it can make
//! the process reserve memory for a message. A recorded greeting can be replayed; what follows it is
//! authenticated message by message.

use std::fmt;

use crate::authenticator::Authenticator;
use crate::authenticator::Purpose;
use crate::authenticator::TAG_BYTES;

/// The name and the version of the protocol.
const PROTOCOL: [u8; 8] = *b"almond\0\x01";

/// The length of a greeting in bytes.
pub const GREETING_BYTES: usize = PROTOCOL.len() + TAG_BYTES;

/// The side of a connection that sends a greeting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GreetingSide {
    /// The instance that connects, and sends messages.
    Dialer,
    /// The instance that accepts the connection, and receives messages.
    Listener,
}

/// The greetings of both sides under one key.
#[derive(Clone)]
pub struct PeerGreetings {
    dialer: [u8; GREETING_BYTES],
    listener: [u8; GREETING_BYTES],
    dialer_authenticator: Authenticator,
    listener_authenticator: Authenticator,
}

impl PeerGreetings {
    /// The greetings under the firm's shared `key`.
    pub fn new(key: &[u8]) -> Self {
        let dialer_authenticator = Authenticator::new(key, Purpose::PeerDialer);
        let listener_authenticator = Authenticator::new(key, Purpose::PeerListener);
        PeerGreetings {
            dialer: greeting(&dialer_authenticator),
            listener: greeting(&listener_authenticator),
            dialer_authenticator,
            listener_authenticator,
        }
    }

    /// The greeting that a side sends.
    pub fn of(&self, side: GreetingSide) -> &[u8; GREETING_BYTES] {
        match side {
            GreetingSide::Dialer => &self.dialer,
            GreetingSide::Listener => &self.listener,
        }
    }

    /// Whether `bytes` are the greeting of a side under this key.
    pub fn is_from(&self, side: GreetingSide, bytes: &[u8; GREETING_BYTES]) -> bool {
        let authenticator = match side {
            GreetingSide::Dialer => &self.dialer_authenticator,
            GreetingSide::Listener => &self.listener_authenticator,
        };
        let (protocol, tag) = bytes.split_at(PROTOCOL.len());
        protocol == PROTOCOL && authenticator.verify(protocol, tag)
    }
}

impl fmt::Debug for PeerGreetings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PeerGreetings").finish_non_exhaustive()
    }
}

fn greeting(authenticator: &Authenticator) -> [u8; GREETING_BYTES] {
    let mut bytes = [0; GREETING_BYTES];
    let (protocol, tag) = bytes.split_at_mut(PROTOCOL.len());
    protocol.copy_from_slice(&PROTOCOL);
    tag.copy_from_slice(&authenticator.tag(&PROTOCOL));
    bytes
}
