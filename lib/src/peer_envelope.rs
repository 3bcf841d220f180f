//! Peer messages as bytes, authenticated under the firm's shared key.
//!
//! An envelope is a tag of 32 bytes, the HMAC-SHA256 of all that follows it, and then the
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

/// The largest envelope in bytes, tag included.
pub const MAX_ENVELOPE_BYTES: usize = 16 * 1024 * 1024;

/// A message with its sender.
#[value]
pub struct Envelope {
    /// Who sends it.
    pub sender: PeerIdentity,
    /// The message.
    pub message: PeerMessage,
}

/// Seals envelopes for siblings and opens theirs.
#[derive(Clone, Debug)]
pub struct EnvelopeSealer {
    authenticator: Authenticator,
}

/// Why a message cannot be sent.
#[value]
#[derive(Display, Error)]
pub enum SealError {
    /// The message does not fit an envelope.
    #[display("peer message of {envelope_bytes} bytes exceeds {MAX_ENVELOPE_BYTES}")]
    TooLarge {
        /// The size that it would have.
        envelope_bytes: usize,
    },
}

/// Why an envelope was not opened.
#[value]
#[derive(Display, Error, From)]
pub enum OpenError {
    /// It is larger than any envelope.
    #[display("envelope of {envelope_bytes} bytes exceeds {MAX_ENVELOPE_BYTES}")]
    #[from(skip)]
    TooLarge {
        /// Its size.
        envelope_bytes: usize,
    },
    /// It was not sealed under the firm's key.
    #[display("envelope is not of this firm")]
    NotAuthentic,
    /// It is authentic, and its message is not valid.
    #[display("envelope holds no valid message: {_0}")]
    Invalid(DecodeError),
}

impl EnvelopeSealer {
    /// A sealer under the firm's shared `key`.
    pub fn new(key: &[u8]) -> Self {
        EnvelopeSealer {
            authenticator: Authenticator::new(key, Purpose::PeerEnvelope),
        }
    }

    /// The bytes of an envelope.
    ///
    /// # Errors
    ///
    /// [`SealError`] when it would exceed [`MAX_ENVELOPE_BYTES`].
    pub fn seal(&self, envelope: &Envelope) -> Result<Bytes, SealError> {
        let content = proto::Envelope {
            sender_instance: envelope.sender.instance.to_string(),
            sender_incarnation: envelope.sender.incarnation.0,
            message: Some(envelope.message.clone().into()),
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

    /// The envelope in `bytes`, whose inputs and bodies share their memory.
    ///
    /// # Errors
    ///
    /// [`OpenError`] when the bytes are not an envelope sealed under this key.
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
