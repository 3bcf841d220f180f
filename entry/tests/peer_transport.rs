//! Peer messages between two transports over loopback.

#[path = "../../lib/tests/common/mod.rs"]
mod common;
#[path = "common/peers.rs"]
mod peers;

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use almondhead_entry::peer::PeerSendError;
use almondhead_entry::peer::PeerTransport;
use almondhead_entry::peer_counters::PeerCount;
use almondhead_entry::peer_memory::MemoryNetwork;
use almondhead_entry::peer_queue::MAX_QUEUED_BYTES;
use almondhead_lib::peer_envelope::MAX_ENVELOPE_BYTES;
use almondhead_lib::peer_greeting::GreetingSide;
use almondhead_lib::peer_greeting::PeerGreetings;
use almondhead_lib::peer_message::PeerMessage;
use almondhead_testsupport::FaultProxy;
use almondhead_testsupport::ProxyFaults;
use bytes::Bytes;
use quickcheck::Gen;

use crate::common::any_message::KINDS;
use crate::common::any_message::message_of_kind;
use crate::peers::KEY;
use crate::peers::POLL_INTERVAL;
use crate::peers::WAIT_TIMEOUT;
use crate::peers::any_port;
use crate::peers::identity;
use crate::peers::receive;
use crate::peers::send_when_connected;
use crate::peers::sibling;
use crate::peers::start;
use crate::peers::start_siblings;
use crate::peers::wait_for_count;

const SEED: u64 = 0x5eed;
const RECONNECT_TIMEOUT: Duration = Duration::from_secs(1);

#[test]
fn every_kind_arrives() {
    let (first, second) = start_siblings(KEY);
    let mut g = Gen::from_size_and_seed(30, SEED);
    for round in 0..10 * KINDS {
        let message = message_of_kind(&mut g, round % KINDS);
        send_when_connected(&first, "ate-2", &message, WAIT_TIMEOUT);
        let there = receive(&second.incoming).unwrap();
        assert_eq!(there.sender, identity("ate-1", 1));
        assert_eq!(there.message, message);
        send_when_connected(&second, "ate-1", &message, WAIT_TIMEOUT);
        let back = receive(&first.incoming).unwrap();
        assert_eq!(back.sender, identity("ate-2", 2));
        assert_eq!(back.message, message);
    }
}

#[test]
fn order_is_kept() {
    let (first, second) = start_siblings(KEY);
    let numbers = 0..500;
    for correlation in numbers.clone() {
        let message = PeerMessage::HomeGone { correlation };
        send_when_connected(&first, "ate-2", &message, WAIT_TIMEOUT);
    }
    for correlation in numbers {
        let message = receive(&second.incoming).unwrap().message;
        assert_eq!(message, PeerMessage::HomeGone { correlation });
    }
}

/// A sibling with another key is not connected, so that none of its messages arrives.
#[test]
fn wrong_key_dropped() {
    let (first, second) = start_siblings(b"another firm's key of 32 bytes..");
    wait_for_count(&first, PeerCount::Rejected, 1);
    let message = PeerMessage::HomeGone { correlation: 1 };
    let sent = second.transport.send(&Arc::from("ate-1"), &message);
    assert!(matches!(sent, Err(PeerSendError::NotConnected { .. })));
    assert!(first.incoming.is_empty());
    assert_eq!(first.transport.counters().get(PeerCount::Received), 0);
}

/// Each message that follows a valid greeting is authenticated, too.
#[test]
fn unauthenticated_bytes_dropped() {
    let first = start("ate-1", 1, any_port(), KEY);
    let greetings = PeerGreetings::new(KEY);
    for bytes in [&b""[..], b"short", &[0; 32], &[7; 4_096]] {
        let mut stranger = TcpStream::connect(first.transport.local_address()).unwrap();
        stranger
            .write_all(greetings.of(GreetingSide::Dialer))
            .unwrap();
        let length = u32::try_from(bytes.len()).unwrap();
        stranger.write_all(&length.to_be_bytes()).unwrap();
        stranger.write_all(bytes).unwrap();
    }
    wait_for_count(&first, PeerCount::NotAuthentic, 4);
    assert!(first.incoming.is_empty());
}

#[test]
fn oversized_refused() {
    let (first, second) = start_siblings(KEY);
    let message = PeerMessage::DocumentBody {
        revision: 1,
        text: Bytes::from(vec![b' '; MAX_ENVELOPE_BYTES]),
    };
    let sent = first.transport.send(&Arc::from("ate-2"), &message);
    assert!(matches!(sent, Err(PeerSendError::TooLarge { .. })));

    let mut stranger = TcpStream::connect(second.transport.local_address()).unwrap();
    let greetings = PeerGreetings::new(KEY);
    stranger
        .write_all(greetings.of(GreetingSide::Dialer))
        .unwrap();
    let length = u32::try_from(MAX_ENVELOPE_BYTES + 1).unwrap();
    stranger.write_all(&length.to_be_bytes()).unwrap();
    wait_for_count(&second, PeerCount::NotAuthentic, 1);
    send_when_connected(
        &first,
        "ate-2",
        &PeerMessage::HomeGone { correlation: 1 },
        WAIT_TIMEOUT,
    );
    assert!(receive(&second.incoming).is_some());
    assert_eq!(second.transport.counters().get(PeerCount::NotAuthentic), 1);
}

#[test]
fn restarted_sibling_reconnects() {
    let (first, second) = start_siblings(KEY);
    let address = second.transport.local_address();
    let message = PeerMessage::HomeGone { correlation: 1 };
    send_when_connected(&first, "ate-2", &message, WAIT_TIMEOUT);
    assert!(receive(&second.incoming).is_some());
    drop(second);
    let to = Arc::from("ate-2");
    let started = Instant::now();
    while first.transport.send(&to, &message).is_ok() {
        assert!(started.elapsed() < WAIT_TIMEOUT);
        std::thread::sleep(POLL_INTERVAL);
    }
    let second = start("ate-2", 3, address, KEY);
    let message = PeerMessage::HomeGone { correlation: 2 };
    send_when_connected(&first, "ate-2", &message, RECONNECT_TIMEOUT);
    let started = Instant::now();
    while receive(&second.incoming).unwrap().message != message {
        assert!(started.elapsed() < WAIT_TIMEOUT);
    }
}

#[test]
fn unresponsive_connection_is_replaced() {
    let (first, second) = start_siblings(KEY);
    let address = second.transport.local_address();
    let proxy = smol::block_on(FaultProxy::start(address)).unwrap();
    first
        .transport
        .set_siblings(&[sibling("ate-2", proxy.address())]);
    let message = PeerMessage::HomeGone { correlation: 1 };
    send_when_connected(&first, "ate-2", &message, WAIT_TIMEOUT);
    assert!(receive(&second.incoming).is_some());
    assert_eq!(proxy.counters().connections, 1);
    proxy.set_faults(ProxyFaults::black_hole());
    let started = Instant::now();
    while proxy.counters().connections < 2 {
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "no second connection was opened"
        );
        send_when_connected(&first, "ate-2", &message, WAIT_TIMEOUT);
        std::thread::sleep(10 * POLL_INTERVAL);
    }
    assert!(proxy.counters().black_holed > 0);
    smol::block_on(proxy.heal()).unwrap();
    send_when_connected(&first, "ate-2", &message, WAIT_TIMEOUT);
    assert!(receive(&second.incoming).is_some());
}

#[test]
fn responsive_connection_is_kept() {
    let (first, second) = start_siblings(KEY);
    let address = second.transport.local_address();
    let proxy = smol::block_on(FaultProxy::start(address)).unwrap();
    first
        .transport
        .set_siblings(&[sibling("ate-2", proxy.address())]);
    let message = PeerMessage::HomeGone { correlation: 1 };
    let started = Instant::now();
    while started.elapsed() < WAIT_TIMEOUT / 2 {
        send_when_connected(&first, "ate-2", &message, WAIT_TIMEOUT);
        assert!(receive(&second.incoming).is_some());
        send_when_connected(&second, "ate-1", &message, WAIT_TIMEOUT);
        assert!(receive(&first.incoming).is_some());
        std::thread::sleep(10 * POLL_INTERVAL);
    }
    assert_eq!(proxy.counters().connections, 1);
}

#[test]
fn full_queue_refuses() {
    let (first, second) = start_siblings(KEY);
    let to = Arc::from("ate-2");
    let message = PeerMessage::DocumentBody {
        revision: 1,
        text: Bytes::from(vec![b' '; MAX_QUEUED_BYTES / 8]),
    };
    send_when_connected(&first, "ate-2", &message, WAIT_TIMEOUT);
    let mut accepted = 1_u64;
    let refused = loop {
        match first.transport.send(&to, &message) {
            Ok(()) => accepted += 1,
            Err(error) => break error,
        }
        assert!(accepted < 10_000);
    };
    assert!(matches!(refused, PeerSendError::QueueFull { .. }));
    assert_eq!(first.transport.counters().get(PeerCount::QueueFull), 1);
    for _ in 0..accepted {
        assert!(receive(&second.incoming).is_some());
    }
    send_when_connected(&first, "ate-2", &message, WAIT_TIMEOUT);
    assert!(receive(&second.incoming).is_some());
}

#[test]
fn unlisted_sibling_refused() {
    let (first, _second) = start_siblings(KEY);
    first.transport.set_siblings(&[]);
    let message = PeerMessage::HomeGone { correlation: 1 };
    let sent = first.transport.send(&Arc::from("ate-2"), &message);
    assert!(matches!(sent, Err(PeerSendError::UnknownSibling { .. })));
}

#[test]
fn memory_delivers() {
    let network = MemoryNetwork::default();
    let (first, _) = network.join(identity("ate-1", 1));
    let (_second, incoming) = network.join(identity("ate-2", 2));
    let to = Arc::from("ate-2");
    let message = PeerMessage::HomeGone { correlation: 1 };
    assert!(first.send(&to, &message).is_err());
    first.set_siblings(&[sibling("ate-2", any_port())]);
    first.send(&to, &message).unwrap();
    let envelope = receive(&incoming).unwrap();
    assert_eq!(envelope.sender, identity("ate-1", 1));
    assert_eq!(envelope.message, message);
    drop(incoming);
    let sent = first.send(&to, &message);
    assert!(matches!(sent, Err(PeerSendError::NotConnected { .. })));
}
