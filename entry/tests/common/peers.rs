//! Transports for the tests of peer messages.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use almondhead_entry::peer::Incoming;
use almondhead_entry::peer::MAX_INCOMING_MESSAGES;
use almondhead_entry::peer::PeerSendError;
use almondhead_entry::peer::PeerSettings;
use almondhead_entry::peer::PeerTransport;
use almondhead_entry::peer_counters::PeerCount;
use almondhead_entry::peer_tcp::TcpTransport;
use almondhead_lib::event::PeerIdentity;
use almondhead_lib::id::Incarnation;
use almondhead_lib::membership::Sibling;
use almondhead_lib::peer_envelope::Envelope;
use almondhead_lib::peer_message::PeerMessage;
use futures_lite::FutureExt;

/// The key of the firm.
pub(crate) const KEY: &[u8] = b"a key of the firm, 32 bytes long";
/// How long a test waits for what must happen.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(5);
/// The pause between two looks.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A transport with its received messages.
pub(crate) struct Peer {
    pub(crate) transport: TcpTransport,
    pub(crate) incoming: Incoming,
}

/// The identity of an instance.
pub(crate) fn identity(instance: &str, incarnation: u64) -> PeerIdentity {
    PeerIdentity {
        instance: Arc::from(instance),
        incarnation: Incarnation(incarnation),
    }
}

/// Starts a transport that listens on `listen`.
pub(crate) fn start(instance: &str, incarnation: u64, listen: SocketAddr, key: &[u8]) -> Peer {
    let settings = PeerSettings {
        identity: identity(instance, incarnation),
        listen,
        key: key.to_vec(),
        max_incoming_messages: Some(MAX_INCOMING_MESSAGES),
    };
    start_with(settings)
}

/// Starts a transport with its settings.
#[allow(dead_code)]
pub(crate) fn start_with(settings: PeerSettings) -> Peer {
    let (transport, incoming) = TcpTransport::start(settings).unwrap();
    Peer {
        transport,
        incoming,
    }
}

/// A loopback address whose port the system chooses.
pub(crate) fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

/// A sibling at an address.
pub(crate) fn sibling(name: &str, peer_address: SocketAddr) -> Sibling {
    Sibling {
        name: Arc::from(name),
        data_centre: Arc::from("ate"),
        peer_address,
        incarnation: None,
        leaving: false,
    }
}

/// Starts two transports, each of which lists the other as a sibling.
pub(crate) fn start_siblings(key_of_second: &[u8]) -> (Peer, Peer) {
    let first = start("ate-1", 1, any_port(), KEY);
    let second = start("ate-2", 2, any_port(), key_of_second);
    let first_address = first.transport.local_address();
    let second_address = second.transport.local_address();
    first
        .transport
        .set_siblings(&[sibling("ate-2", second_address)]);
    second
        .transport
        .set_siblings(&[sibling("ate-1", first_address)]);
    (first, second)
}

/// Sends a message as soon as there is a connection. Panics if there is none within `timeout`.
pub(crate) fn send_when_connected(peer: &Peer, to: &str, message: &PeerMessage, timeout: Duration) {
    let to = Arc::from(to);
    let started = Instant::now();
    loop {
        match peer.transport.send(&to, message) {
            Ok(()) => return,
            Err(PeerSendError::NotConnected { .. }) if started.elapsed() < timeout => {
                std::thread::sleep(POLL_INTERVAL);
            }
            Err(error) => panic!("sending to {to}: {error} after {:?}", started.elapsed()),
        }
    }
}

/// Returns the next message, or none if there is none within `WAIT_TIMEOUT`.
pub(crate) fn receive(incoming: &Incoming) -> Option<Envelope> {
    let timeout = async {
        smol::Timer::after(WAIT_TIMEOUT).await;
        None
    };
    smol::block_on(async { incoming.recv().await.ok() }.or(timeout))
}

/// Waits until a counter of the transport has reached a value.
pub(crate) fn wait_for_count(peer: &Peer, count: PeerCount, at_least: u64) {
    let started = Instant::now();
    while peer.transport.counters().get(count) < at_least {
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "{count:?} stayed below {at_least}"
        );
        std::thread::sleep(POLL_INTERVAL);
    }
}
