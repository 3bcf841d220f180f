//! Session tokens: authenticated session identifiers that callers present.

use std::sync::Arc;

use almondhead_macros::key;
use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use derive_more::Display;
use derive_more::Error;

use crate::authenticator::Authenticator;
use crate::authenticator::Purpose;
use crate::authenticator::TAG_BYTES;
use crate::id::Incarnation;
use crate::id::SessionId;

/// The maximum length in bytes of the instance name in a token.
pub const MAX_INSTANCE_BYTES: usize = 255;

/// The maximum length of a token in bytes of text.
pub const MAX_TOKEN_BYTES: usize = (FIXED_BYTES + MAX_INSTANCE_BYTES + TAG_BYTES).div_ceil(3) * 4;

const VERSION: u8 = 1;
const FIXED_BYTES: usize = 1 + 8 + 8;

/// Issues and verifies session tokens.
///
/// A token is the URL-safe base64, without padding, of the session's fields and their
/// HMAC-SHA256 under the shared key, so every entry instance can verify it without stored state.
#[derive(Clone, Debug)]
pub struct SessionTokens {
    authenticator: Authenticator,
}

/// Why a session token was rejected.
#[key]
#[derive(Display, Error)]
pub enum TokenError {
    /// The text is longer than any token.
    #[display("session token is longer than {MAX_TOKEN_BYTES} bytes")]
    TooLong,
    /// The text is not the encoding of a token.
    #[display("session token is malformed")]
    Malformed,
    /// The token was not issued under this key.
    #[display("session token was not issued under this firm's key")]
    NotIssued,
}

impl SessionTokens {
    /// Creates an issuer of tokens authenticated by the shared `key`.
    pub fn new(key: &[u8]) -> Self {
        SessionTokens {
            authenticator: Authenticator::new(key, Purpose::SessionToken),
        }
    }

    /// The token of `session`, whose instance name must not exceed [`MAX_INSTANCE_BYTES`].
    pub fn issue(&self, session: &SessionId) -> String {
        debug_assert!(session.instance.len() <= MAX_INSTANCE_BYTES);
        let mut bytes = encode_fields(session);
        let tag = self.authenticator.tag(&bytes);
        bytes.extend_from_slice(&tag);
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// The session that `token` identifies.
    ///
    /// # Errors
    ///
    /// [`TokenError`] when the text is not a token issued under this key.
    pub fn verify(&self, token: &str) -> Result<SessionId, TokenError> {
        if token.len() > MAX_TOKEN_BYTES {
            return Err(TokenError::TooLong);
        }
        let bytes = URL_SAFE_NO_PAD
            .decode(token)
            .map_err(|_| TokenError::Malformed)?;
        let (fields, tag) = bytes
            .split_last_chunk::<TAG_BYTES>()
            .ok_or(TokenError::Malformed)?;
        if !self.authenticator.verify(fields, tag) {
            return Err(TokenError::NotIssued);
        }
        decode_fields(fields).ok_or(TokenError::Malformed)
    }
}

fn encode_fields(session: &SessionId) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(FIXED_BYTES + session.instance.len() + TAG_BYTES);
    bytes.push(VERSION);
    bytes.extend_from_slice(&session.home.0.to_be_bytes());
    bytes.extend_from_slice(&session.number.to_be_bytes());
    bytes.extend_from_slice(session.instance.as_bytes());
    bytes
}

fn decode_fields(fields: &[u8]) -> Option<SessionId> {
    let (version, rest) = fields.split_first()?;
    let (home, rest) = rest.split_first_chunk::<8>()?;
    let (number, instance) = rest.split_first_chunk::<8>()?;
    if *version != VERSION {
        return None;
    }
    Some(SessionId {
        home: Incarnation(u64::from_be_bytes(*home)),
        instance: Arc::from(std::str::from_utf8(instance).ok()?),
        number: u64::from_be_bytes(*number),
    })
}
