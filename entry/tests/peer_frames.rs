//! The framing of peer messages: any split of the bytes gives the same messages, and no bytes break
//! the decoder. `PEER_FRAMES_ROUNDS=1000000` runs more rounds.

use std::env;

use almondhead_entry::peer_frame::PeerFrames;
use almondhead_lib::peer_envelope::MAX_ENVELOPE_BYTES;
use bytes::Bytes;
use bytes::BytesMut;
use quickcheck::Arbitrary;
use quickcheck::Gen;

const SEED: u64 = 0xf4a3e;

/// The rounds that CI runs.
const ROUNDS: usize = 20_000;

fn rounds() -> usize {
    let requested = env::var("PEER_FRAMES_ROUNDS").ok();
    requested.map_or(ROUNDS, |text| text.parse().expect("a number"))
}

/// Feeds bytes to a decoder in pieces; returns the messages, and whether the bytes were refused.
fn decode(bytes: &[u8], g: &mut Gen) -> (Vec<Bytes>, bool) {
    let mut frames = PeerFrames::default();
    let mut received = BytesMut::new();
    let mut messages = Vec::new();
    let mut rest = bytes;
    while !rest.is_empty() {
        let piece = (usize::arbitrary(g) % 40 + 1).min(rest.len());
        received.extend_from_slice(&rest[..piece]);
        rest = &rest[piece..];
        loop {
            match frames.next(&mut received) {
                Ok(Some(message)) => messages.push(message),
                Ok(None) => break,
                Err(_) => return (messages, true),
            }
        }
    }
    (messages, false)
}

#[test]
fn any_split_gives_the_same_messages() {
    let mut g = Gen::from_size_and_seed(200, SEED);
    for _ in 0..rounds() / 10 {
        let messages: Vec<Vec<u8>> = Arbitrary::arbitrary(&mut g);
        let messages: Vec<Bytes> = messages.into_iter().take(20).map(Bytes::from).collect();
        let mut bytes = BytesMut::new();
        for message in &messages {
            let appended = PeerFrames::default().append(message.clone(), &mut bytes);
            appended.expect("a message below the maximum");
        }
        assert_eq!(decode(&bytes, &mut g), (messages, false));
    }
}

#[test]
fn random_bytes_break_nothing() {
    let mut g = Gen::from_size_and_seed(300, SEED);
    let mut refused = 0;
    for _ in 0..rounds() {
        let bytes: Vec<u8> = Arbitrary::arbitrary(&mut g);
        let (messages, is_refused) = decode(&bytes, &mut g);
        let decoded: usize = messages.iter().map(|message| message.len() + 4).sum();
        assert!(decoded <= bytes.len());
        refused += usize::from(is_refused);
    }
    assert!(refused > 0);
}

#[test]
fn message_above_the_maximum_is_refused() {
    let mut bytes = BytesMut::new();
    let message = Bytes::from(vec![0; MAX_ENVELOPE_BYTES + 1]);
    assert!(PeerFrames::default().append(message, &mut bytes).is_err());
    let length = u32::try_from(MAX_ENVELOPE_BYTES + 1).unwrap();
    let mut received = BytesMut::from(&length.to_be_bytes()[..]);
    assert!(PeerFrames::default().next(&mut received).is_err());
}
