//! Authentication of bytes by HMAC-SHA256 under the shared key.

use std::fmt;

use hmac::Hmac;
use hmac::Mac;
use sha2::Sha256;

/// The length of a tag in bytes.
pub(crate) const TAG_BYTES: usize = 32;

/// The purpose of a tag; a tag for one purpose never verifies for another.
#[derive(Clone, Copy)]
pub(crate) enum Purpose {
    /// A session token.
    SessionToken,
    /// The envelope of a message between entry instances.
    PeerEnvelope,
    /// The greeting of an entry instance that connects to another.
    PeerDialer,
    /// The greeting of an entry instance that accepts a connection of another.
    PeerListener,
}

impl Purpose {
    const fn label(self) -> &'static [u8] {
        match self {
            Purpose::SessionToken => b"almondhead session token 1\0",
            Purpose::PeerEnvelope => b"almondhead peer envelope 1\0",
            Purpose::PeerDialer => b"almondhead peer dialer 1\0",
            Purpose::PeerListener => b"almondhead peer listener 1\0",
        }
    }
}

/// Computes and verifies tags for one purpose.
#[derive(Clone)]
pub(crate) struct Authenticator {
    keyed: Hmac<Sha256>,
}

impl Authenticator {
    /// Creates an authenticator with a `key` of any length.
    pub(crate) fn new(key: &[u8], purpose: Purpose) -> Self {
        let mut keyed =
            <Hmac<Sha256> as Mac>::new_from_slice(key).expect("HMAC takes a key of any length");
        keyed.update(purpose.label());
        Authenticator { keyed }
    }

    /// The tag of `bytes`.
    pub(crate) fn tag(&self, bytes: &[u8]) -> [u8; TAG_BYTES] {
        self.keyed
            .clone()
            .chain_update(bytes)
            .finalize()
            .into_bytes()
            .into()
    }

    /// Whether `tag` is the tag of `bytes`, compared in constant time.
    pub(crate) fn verify(&self, bytes: &[u8], tag: &[u8]) -> bool {
        self.keyed
            .clone()
            .chain_update(bytes)
            .verify_slice(tag)
            .is_ok()
    }
}

impl fmt::Debug for Authenticator {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Authenticator").finish_non_exhaustive()
    }
}
