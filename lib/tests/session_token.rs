//! Session tokens: issuing, verification and rejection of other text.

use std::sync::Arc;

use almondhead_lib::id::Incarnation;
use almondhead_lib::id::SessionId;
use almondhead_lib::session_token::MAX_INSTANCE_BYTES;
use almondhead_lib::session_token::MAX_TOKEN_BYTES;
use almondhead_lib::session_token::SessionTokens;
use almondhead_lib::session_token::TokenError;
use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use quickcheck::quickcheck;

const KEY: &[u8] = b"a key of the firm, 32 bytes long";

fn session(instance: &str) -> SessionId {
    SessionId {
        home: Incarnation(0x0123_4567_89ab_cdef),
        instance: Arc::from(instance),
        number: 42,
    }
}

#[test]
fn issued_token_verifies() {
    let tokens = SessionTokens::new(KEY);
    let longest = "x".repeat(MAX_INSTANCE_BYTES);
    for instance in ["", "ate-1", "Töölö-2", longest.as_str()] {
        let session = session(instance);
        let token = tokens.issue(&session);
        assert!(token.len() <= MAX_TOKEN_BYTES);
        assert_eq!(tokens.verify(&token), Ok(session));
    }
}

#[test]
fn bit_flips_refused() {
    let tokens = SessionTokens::new(KEY);
    let token = tokens.issue(&session("ate-1"));
    let bytes = URL_SAFE_NO_PAD.decode(&token).unwrap();
    for bit in 0..bytes.len() * 8 {
        let mut changed = bytes.clone();
        changed[bit / 8] ^= 1 << (bit % 8);
        let changed = URL_SAFE_NO_PAD.encode(changed);
        assert_eq!(tokens.verify(&changed), Err(TokenError::NotIssued));
    }
}

#[test]
fn other_characters_refused() {
    let tokens = SessionTokens::new(KEY);
    let token = tokens.issue(&session("ate-1"));
    for at in 0..token.len() {
        for other in ["A", "_", "=", "\0", "é"] {
            let changed = format!("{}{other}{}", &token[..at], &token[at + 1..]);
            assert!(changed == token || tokens.verify(&changed).is_err());
        }
    }
}

#[test]
fn other_key_refused() {
    let token = SessionTokens::new(KEY).issue(&session("ate-1"));
    let others = SessionTokens::new(b"a key of the firm, 32 bytes lonG");
    assert_eq!(others.verify(&token), Err(TokenError::NotIssued));
}

#[test]
fn malformed_refused() {
    let tokens = SessionTokens::new(KEY);
    let long = "A".repeat(MAX_TOKEN_BYTES + 1);
    assert_eq!(tokens.verify(&long), Err(TokenError::TooLong));
    assert_eq!(tokens.verify(""), Err(TokenError::Malformed));
    assert_eq!(tokens.verify("AAAA"), Err(TokenError::Malformed));
    assert_eq!(tokens.verify("no base64!"), Err(TokenError::Malformed));
}

quickcheck! {
    fn any_session_round_trips(home: u64, number: u64, instance: String) -> bool {
        let instance: String = instance.chars().take(MAX_INSTANCE_BYTES / 4).collect();
        let session = SessionId { home: Incarnation(home), instance: Arc::from(instance), number };
        let tokens = SessionTokens::new(KEY);
        tokens.verify(&tokens.issue(&session)) == Ok(session)
    }

    fn any_text_is_bounded(text: String) -> bool {
        SessionTokens::new(KEY).verify(&text).is_err()
    }
}
