//! Bad input on the peer port closes its connection and harms nothing else.

#[path = "common/peers.rs"]
mod peers;

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use almondhead_entry::peer_counters::PeerCount;
use almondhead_lib::peer_greeting::GREETING_BYTES;
use almondhead_lib::peer_greeting::GreetingSide;
use almondhead_lib::peer_greeting::PeerGreetings;
use almondhead_lib::peer_message::PeerMessage;

use crate::peers::KEY;
use crate::peers::Peer;
use crate::peers::WAIT_TIMEOUT;
use crate::peers::any_port;
use crate::peers::identity;
use crate::peers::receive;
use crate::peers::send_when_connected;
use crate::peers::sibling;
use crate::peers::start;
use crate::peers::start_siblings;
use crate::peers::wait_for_count;
use almondhead_entry::peer::PeerTransport;

/// How much the process may grow by input that is not authenticated.
const MAX_GROWTH_KB: u64 = 16 * 1024;

fn greeting() -> [u8; GREETING_BYTES] {
    *PeerGreetings::new(KEY).of(GreetingSide::Dialer)
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    stream
}

/// Whether the other side closes the connection within `WAIT_TIMEOUT`.
fn is_closed(mut stream: TcpStream) -> bool {
    let mut rest = Vec::new();
    match stream.read_to_end(&mut rest) {
        Ok(_) => true,
        Err(error) => error.kind() == std::io::ErrorKind::ConnectionReset,
    }
}

/// Whether a message still passes from one sibling to the other.
fn assert_connected(first: &Peer, second: &Peer, correlation: u64) {
    let message = PeerMessage::HomeGone { correlation };
    send_when_connected(first, "ate-2", &message, WAIT_TIMEOUT);
    let there = receive(&second.incoming).expect("the sibling's message");
    assert_eq!(there.sender, identity("ate-1", 1));
    assert_eq!(there.message, message);
}

/// The resident memory of this process in kilobytes.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let words = line.unwrap().split_whitespace();
    words.clone().next().unwrap().parse().unwrap()
}

#[test]
fn bytes_of_other_protocols_are_rejected() {
    let (first, second) = start_siblings(KEY);
    assert_connected(&first, &second, 1);
    let address = second.transport.local_address();
    let mut other_version = greeting();
    other_version[7] += 1;
    let mut wrong_tag = greeting();
    wrong_tag[GREETING_BYTES - 1] ^= 1;
    let listener_greeting = *PeerGreetings::new(KEY).of(GreetingSide::Listener);
    let other_key = *PeerGreetings::new(b"another key").of(GreetingSide::Dialer);
    let inputs: [&[u8]; 6] = [
        b"GET / HTTP/1.1\r\nhost: peer.example\r\naccept: */*\r\n\r\n",
        b"\0SP\0\0\x50\0\0\0\0\0\0\0\0\0\x20\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0",
        &other_version,
        &wrong_tag,
        &listener_greeting,
        &other_key,
    ];
    for (input, rejected) in inputs.iter().zip(1..) {
        let mut stranger = connect(address);
        stranger.write_all(input).unwrap();
        assert!(is_closed(stranger));
        wait_for_count(&second, PeerCount::Rejected, rejected);
    }
    assert_connected(&first, &second, 2);
}

#[test]
fn half_a_frame_is_dropped() {
    let (first, second) = start_siblings(KEY);
    let mut broken = connect(second.transport.local_address());
    broken.write_all(&greeting()).unwrap();
    broken.write_all(&1_000_u32.to_be_bytes()).unwrap();
    broken.write_all(&[1; 500]).unwrap();
    broken.shutdown(Shutdown::Write).unwrap();
    assert!(is_closed(broken));
    assert_connected(&first, &second, 1);
    assert_eq!(second.transport.counters().get(PeerCount::Received), 1);
    assert_eq!(second.transport.counters().get(PeerCount::NotAuthentic), 0);
}

#[test]
fn connection_that_sends_a_byte_a_second_is_closed() {
    let (first, second) = start_siblings(KEY);
    let mut slow = connect(second.transport.local_address());
    let started = Instant::now();
    for byte in greeting() {
        let written = slow.write_all(&[byte]);
        if written.is_err() || started.elapsed() > WAIT_TIMEOUT {
            break;
        }
        std::thread::sleep(Duration::from_secs(1));
    }
    wait_for_count(&second, PeerCount::Rejected, 1);
    assert!(started.elapsed() < WAIT_TIMEOUT + Duration::from_secs(2));
    assert_connected(&first, &second, 1);
}

/// Neither an open nor a new connection of a sibling is kept out by connections that say nothing.
#[test]
fn many_silent_connections_keep_no_sibling_out() {
    let (first, second) = start_siblings(KEY);
    assert_connected(&first, &second, 1);
    let address = second.transport.local_address();
    let before_kb = resident_kb();
    let silent: Vec<TcpStream> = (0..500).map(|_| connect(address)).collect();
    assert_connected(&first, &second, 2);
    let third = start("ate-3", 3, any_port(), KEY);
    third.transport.set_siblings(&[sibling("ate-2", address)]);
    let message = PeerMessage::HomeGone { correlation: 3 };
    send_when_connected(&third, "ate-2", &message, Duration::from_secs(1));
    assert!(receive(&second.incoming).is_some());
    assert!(resident_kb() < before_kb + MAX_GROWTH_KB);
    assert!(silent.into_iter().all(is_closed));
}

/// Lengths of large messages reserve no memory before their connection has sent a greeting.
#[test]
fn announced_lengths_cost_no_memory() {
    let (first, second) = start_siblings(KEY);
    let address = second.transport.local_address();
    let before_kb = resident_kb();
    let mut strangers: Vec<TcpStream> = (0..60).map(|_| connect(address)).collect();
    for stranger in &mut strangers {
        let length = 16_u32 * 1024 * 1024;
        stranger.write_all(&length.to_be_bytes()).unwrap();
        stranger.write_all(&[0; 30]).unwrap();
    }
    assert_connected(&first, &second, 1);
    assert!(resident_kb() < before_kb + MAX_GROWTH_KB);
}
