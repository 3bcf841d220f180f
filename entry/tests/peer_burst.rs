//! Siblings that connect at the same moment, as after a restart of the site, to an instance with one
//! executor thread.

#[path = "common/peers.rs"]
#[allow(dead_code)]
mod peers;

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use almondhead_entry::peer_counters::PeerCount;
use almondhead_lib::peer_greeting::GREETING_BYTES;
use almondhead_lib::peer_greeting::GreetingSide;
use almondhead_lib::peer_greeting::PeerGreetings;
use trillium_smol::async_global_executor;
use trillium_smol::async_global_executor::GlobalExecutorConfig;

use crate::peers::KEY;
use crate::peers::WAIT_TIMEOUT;
use crate::peers::any_port;
use crate::peers::start;

/// The number of siblings, which all fit into the backlog of a listener.
const SIBLINGS: usize = 120;

/// How long the instance is busy while they connect.
const BUSY: Duration = Duration::from_millis(300);

/// Guards against siblings being closed as the oldest of many connections without a greeting, before
/// the greetings that they had sent were read.
#[test]
fn siblings_that_connect_at_once_are_all_accepted() {
    let one_thread = GlobalExecutorConfig::default()
        .with_min_threads(1)
        .with_max_threads(1);
    async_global_executor::init_with_config(one_thread);
    let peer = start("ate-1", 1, any_port(), KEY);
    let address = peer.transport.local_address();
    let greetings = PeerGreetings::new(KEY);
    async_global_executor::spawn(async { std::thread::sleep(BUSY) }).detach();
    let siblings = (0..SIBLINGS).map(|_| {
        let mut sibling = TcpStream::connect(address).unwrap();
        sibling.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        let greeting = greetings.of(GreetingSide::Dialer);
        sibling.write_all(greeting).unwrap();
        sibling
    });
    let siblings: Vec<TcpStream> = siblings.collect();
    for mut sibling in siblings {
        let mut answer = [0; GREETING_BYTES];
        sibling.read_exact(&mut answer).unwrap();
        assert!(greetings.is_from(GreetingSide::Listener, &answer));
    }
    assert_eq!(peer.transport.counters().get(PeerCount::Rejected), 0);
}
