//! Peer messages as bytes that are authenticated with the firm's shared key.
//!
//! An envelope is a tag of 32 bytes, the HMAC-SHA256 of everything after it, followed by the
//! protobuf encoding of the sender and the message. Nothing is parsed before the tag is verified.

use std::sync::Arc;

use almondhead_macros::value;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use prost::Message;

use crate::authenticator::Authenticator;
use crate::authenticator::Purpose;
use crate::authenticator::TAG_BYTES;
use crate::event::PeerIdentity;
use crate::id::Incarnation;
use crate::peer_codec::DecodeError;
use crate::peer_codec::MAX_NAME_BYTES;
use crate::peer_message::PeerMessage;
use crate::peer_proto as proto;

/// The maximum size of an envelope in bytes, including the tag.
pub const MAX_ENVELOPE_BYTES: usize = 16 * 1024 * 1024;

/// A message with its sender.
#[value]
pub struct Envelope {
    /// The sending instance.
    pub sender: PeerIdentity,
    /// The message.
    pub message: PeerMessage,
}

/// Encodes and authenticates envelopes to siblings, and verifies and decodes those from them.
#[derive(Clone, Debug)]
pub struct EnvelopeSealer {
    authenticator: Authenticator,
}

/// Why a message cannot be sent.
#[value]
#[derive(Display, Error)]
pub enum SealError {
    /// The envelope would exceed [`MAX_ENVELOPE_BYTES`].
    #[display(
        "peer message needs an envelope of {envelope_bytes} bytes, more than {MAX_ENVELOPE_BYTES}"
    )]
    TooLarge {
        /// The size that it would have, including the tag.
        envelope_bytes: usize,
    },
}

/// Why an envelope was not opened.
#[value]
#[derive(Display, Error, From)]
pub enum OpenError {
    /// It exceeds [`MAX_ENVELOPE_BYTES`].
    #[display("envelope of {envelope_bytes} bytes is larger than {MAX_ENVELOPE_BYTES}")]
    #[from(skip)]
    TooLarge {
        /// Its size.
        envelope_bytes: usize,
    },
    /// Its tag is missing or does not verify under the key.
    #[display("envelope is not authenticated with this firm's key")]
    NotAuthentic,
    /// It is authentic, but its content is not valid.
    #[display("envelope is authentic, but its content is not valid: {_0}")]
    Invalid(DecodeError),
}

impl EnvelopeSealer {
    /// A sealer that uses the firm's shared `key`.
    pub fn new(key: &[u8]) -> Self {
        EnvelopeSealer {
            authenticator: Authenticator::new(key, Purpose::PeerEnvelope),
        }
    }

    /// Encodes an envelope.
    ///
    /// # Errors
    ///
    /// [`SealError`] when it would exceed [`MAX_ENVELOPE_BYTES`].
    pub fn seal(&self, envelope: &Envelope) -> Result<Bytes, SealError> {
        self.seal_from(&envelope.sender, envelope.message.clone())
    }

    /// Encodes a message from `sender`, without copying what it contains.
    ///
    /// # Errors
    ///
    /// [`SealError`] when its envelope would exceed [`MAX_ENVELOPE_BYTES`].
    pub fn seal_from(
        &self,
        sender: &PeerIdentity,
        message: PeerMessage,
    ) -> Result<Bytes, SealError> {
        let content = proto::Envelope {
            sender_instance: sender.instance.to_string(),
            sender_incarnation: sender.incarnation.0,
            message: Some(message.into()),
        };
        let envelope_bytes = TAG_BYTES + content.encoded_len();
        if envelope_bytes > MAX_ENVELOPE_BYTES {
            return Err(SealError::TooLarge { envelope_bytes });
        }
        let mut bytes = BytesMut::with_capacity(envelope_bytes);
        bytes.put_bytes(0, TAG_BYTES);
        content.encode_raw(&mut bytes);
        let (tag, sealed) = bytes.split_at_mut(TAG_BYTES);
        tag.copy_from_slice(&self.authenticator.tag(sealed));
        Ok(bytes.freeze())
    }

    /// Verifies and decodes an envelope. Inputs and bodies in it share the memory of `bytes`.
    ///
    /// # Errors
    ///
    /// [`OpenError`] when the bytes are not a valid envelope sealed under this key.
    pub fn open(&self, mut bytes: Bytes) -> Result<Envelope, OpenError> {
        let envelope_bytes = bytes.len();
        if envelope_bytes > MAX_ENVELOPE_BYTES {
            return Err(OpenError::TooLarge { envelope_bytes });
        }
        if envelope_bytes < TAG_BYTES {
            return Err(OpenError::NotAuthentic);
        }
        let tag = bytes.split_to(TAG_BYTES);
        if !self.authenticator.verify(&bytes, &tag) {
            return Err(OpenError::NotAuthentic);
        }
        let content = proto::Envelope::decode(bytes).map_err(|_| DecodeError::Malformed)?;
        Ok(decode_content(content)?)
    }
}

fn decode_content(content: proto::Envelope) -> Result<Envelope, DecodeError> {
    if content.sender_instance.len() > MAX_NAME_BYTES {
        return Err(DecodeError::TooLong {
            field: "sender_instance",
            text_bytes: content.sender_instance.len(),
            max_bytes: MAX_NAME_BYTES,
        });
    }
    let message = content
        .message
        .ok_or(DecodeError::Missing { field: "message" })?;
    Ok(Envelope {
        sender: PeerIdentity {
            instance: Arc::from(content.sender_instance),
            incarnation: Incarnation(content.sender_incarnation),
        },
        message: message.try_into()?,
    })
}
