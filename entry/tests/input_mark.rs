//! A mark comes behind all inputs that had reached the sockets of the process.

#[path = "common/peers.rs"]
#[allow(dead_code)]
mod peers;

use std::future::Future;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::task::Context;
use std::task::Wake;
use std::task::Waker;
use std::time::Duration;

use almondhead_entry::input_mark::InputMark;
use almondhead_entry::peer::PeerSettings;
use almondhead_entry::peer_frame::PeerFrames;
use almondhead_lib::peer_envelope::Envelope;
use almondhead_lib::peer_envelope::EnvelopeSealer;
use almondhead_lib::peer_greeting::GREETING_BYTES;
use almondhead_lib::peer_greeting::GreetingSide;
use almondhead_lib::peer_greeting::PeerGreetings;
use almondhead_lib::peer_message::PeerMessage;
use bytes::BytesMut;
use futures_lite::AsyncReadExt;
use smol::Async;
use smol::channel::Receiver;
use smol::channel::Sender;
use smol::channel::unbounded;
use trillium_smol::async_global_executor;
use trillium_smol::async_global_executor::GlobalExecutorConfig;

use crate::peers::KEY;
use crate::peers::WAIT_TIMEOUT;
use crate::peers::any_port;
use crate::peers::identity;
use crate::peers::start_with;

/// More sockets than the reactor asks the system for at a time (1,024).
const MANY_SOCKETS: usize = 1_500;

const ROUNDS: usize = 20;

/// How long the reactor is held up while inputs arrive.
const BUSY: Duration = Duration::from_millis(30);

/// How long tasks may take to wait for their sockets again.
const SETTLE: Duration = Duration::from_millis(50);

/// Only one test at a time uses the executor, which has one thread as in the deployment.
fn lock_executor() -> MutexGuard<'static, ()> {
    static EXECUTOR: Mutex<()> = Mutex::new(());
    let guard = EXECUTOR.lock().unwrap_or_else(|error| error.into_inner());
    let one_thread = GlobalExecutorConfig::default()
        .with_min_threads(1)
        .with_max_threads(1);
    async_global_executor::init_with_config(one_thread);
    guard
}

/// Asks for a mark and returns how many inputs `inputs` holds when it comes back.
///
/// As in the process, another thread waits for something else and runs the reactor meanwhile.
fn inputs_at_mark<T: Send + 'static>(mark: &Arc<InputMark>, inputs: &Receiver<T>) -> usize {
    let (mark, inputs) = (Arc::clone(mark), inputs.clone());
    let passed = async_global_executor::spawn(async move {
        mark.pass().await.unwrap();
        inputs.len()
    });
    smol::block_on(passed)
}

/// A waker that holds the reactor up, which wakes tasks one after another.
struct SlowWaker(Sender<()>);

impl Wake for SlowWaker {
    fn wake(self: Arc<Self>) {
        self.0.try_send(()).unwrap();
        std::thread::sleep(BUSY);
    }
}

/// Holds the reactor up, as a stop of the process does; returns once it is.
///
/// Inputs that arrive meanwhile are found in one pass of the reactor, together with timers.
fn hold_reactor_up() {
    let (here, mut there) = UnixStream::pair().unwrap();
    let socket = Async::new(here).unwrap();
    let (is_held, held) = unbounded();
    let waker = Waker::from(Arc::new(SlowWaker(is_held)));
    let mut readable = Box::pin(socket.readable());
    let first = readable.as_mut().poll(&mut Context::from_waker(&waker));
    assert!(first.is_pending());
    there.write_all(&[0]).unwrap();
    held.recv_blocking().unwrap();
}

/// Starts a task that reads a socket and sends each byte to `inputs`; returns the other side.
fn start_reader(inputs: &Sender<u8>) -> UnixStream {
    let (here, there) = UnixStream::pair().unwrap();
    let mut socket = Async::new(here).unwrap();
    let inputs = inputs.clone();
    async_global_executor::spawn(async move {
        let mut byte = [0];
        while socket.read_exact(&mut byte).await.is_ok() {
            inputs.send(byte[0]).await.unwrap();
        }
    })
    .detach();
    there
}

/// Starts a task that hands messages on, as the one between peer connections and the driver.
fn forward<T: Send + 'static>(messages: Receiver<T>) -> Receiver<T> {
    let (sender, forwarded) = unbounded();
    async_global_executor::spawn(async move {
        while let Ok(message) = messages.recv().await {
            sender.send(message).await.unwrap();
        }
    })
    .detach();
    forwarded
}

fn drain<T>(inputs: &Receiver<T>) {
    while inputs.try_recv().is_ok() {}
}

/// Guards against a mark that overtakes inputs while another thread wakes the tasks of many sockets, and
/// against one that does not wait for more sockets than the reactor reads at a time.
#[test]
fn mark_comes_behind_many_readable_sockets() {
    let _executor = lock_executor();
    let mark = Arc::new(InputMark::open().unwrap());
    let (sender, inputs) = unbounded();
    let mut others: Vec<UnixStream> = (0..MANY_SOCKETS).map(|_| start_reader(&sender)).collect();
    for round in 0..ROUNDS {
        std::thread::sleep(SETTLE);
        if round % 2 == 0 {
            hold_reactor_up();
        }
        for other in &mut others {
            other.write_all(&[1]).unwrap();
        }
        let before_mark = inputs_at_mark(&mark, &inputs);
        assert_eq!(before_mark, MANY_SOCKETS, "round {round}");
        drain(&inputs);
    }
}

/// Guards against a mark that overtakes messages which a second task hands on to the driver.
#[test]
fn mark_comes_behind_forwarded_messages() {
    const SOCKETS: usize = 40;
    let _executor = lock_executor();
    let mark = Arc::new(InputMark::open().unwrap());
    let (sender, messages) = unbounded();
    let inputs = forward(messages);
    let mut others: Vec<UnixStream> = (0..SOCKETS).map(|_| start_reader(&sender)).collect();
    for round in 0..ROUNDS {
        std::thread::sleep(SETTLE);
        if round % 2 == 0 {
            hold_reactor_up();
        }
        for other in &mut others {
            other.write_all(&[1]).unwrap();
        }
        let before_mark = inputs_at_mark(&mark, &inputs);
        assert_eq!(before_mark, SOCKETS, "round {round}");
        drain(&inputs);
    }
}

/// Guards against a mark that rests on nothing: one whose task was kept from running for a while after it
/// was asked for, as in a process that is stopped at that moment.
#[test]
fn mark_of_a_stopped_process_comes_behind_inputs() {
    let _executor = lock_executor();
    let mark = Arc::new(InputMark::open().unwrap());
    let (sender, inputs) = unbounded();
    let mut other = start_reader(&sender);
    for round in 0..ROUNDS {
        std::thread::sleep(SETTLE);
        let (mark, inputs_then) = (Arc::clone(&mark), inputs.clone());
        let (is_asked, asked) = std::sync::mpsc::channel();
        let passed = async_global_executor::spawn(async move {
            let mut pass = Box::pin(mark.pass());
            // The first turn lasts for longer than it takes the input to arrive.
            let first = futures_lite::future::poll_once(&mut pass).await;
            assert!(first.is_none(), "a mark without a pass of the reactor");
            is_asked.send(()).unwrap();
            std::thread::sleep(BUSY);
            pass.await.unwrap();
            inputs_then.len()
        });
        asked.recv().unwrap();
        other.write_all(&[1]).unwrap();
        assert_eq!(smol::block_on(passed), 1, "round {round}");
        drain(&inputs);
    }
}

/// Connects to a transport as a peer of the site.
fn dial(address: SocketAddr) -> TcpStream {
    let greetings = PeerGreetings::new(KEY);
    let mut peer = TcpStream::connect(address).unwrap();
    peer.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    peer.write_all(greetings.of(GreetingSide::Dialer)).unwrap();
    let mut answer = [0; GREETING_BYTES];
    peer.read_exact(&mut answer).unwrap();
    peer
}

fn framed_messages(messages: usize) -> BytesMut {
    let sealer = EnvelopeSealer::new(KEY);
    let mut frames = PeerFrames::default();
    let mut bytes = BytesMut::new();
    for correlation in 0..messages {
        let sealed = sealer.seal(&Envelope {
            sender: identity("ate-2", 2),
            message: PeerMessage::HomeGone {
                correlation: correlation as u64,
            },
        });
        frames.append(sealed.unwrap(), &mut bytes).unwrap();
    }
    bytes
}

/// Guards against a mark that overtakes the messages of peers when more have come than the channel
/// behind the connections holds.
#[test]
fn mark_comes_behind_bursts_of_peer_messages() {
    const PEERS: usize = 50;
    const MESSAGES: usize = 100;
    let _executor = lock_executor();
    let mark = Arc::new(InputMark::open().unwrap());
    let peer = start_with(PeerSettings {
        identity: identity("ate-1", 1),
        listen: any_port(),
        key: KEY.to_vec(),
        max_incoming_messages: None,
    });
    let inputs = forward(peer.incoming.clone());
    let address = peer.transport.local_address();
    let mut siblings: Vec<TcpStream> = (0..PEERS).map(|_| dial(address)).collect();
    let burst = framed_messages(MESSAGES);
    for round in 0..ROUNDS {
        std::thread::sleep(SETTLE);
        if round % 2 == 0 {
            hold_reactor_up();
        }
        for sibling in &mut siblings {
            sibling.write_all(&burst).unwrap();
        }
        let before_mark = inputs_at_mark(&mark, &inputs);
        assert_eq!(before_mark, PEERS * MESSAGES, "round {round}");
        drain(&inputs);
    }
}
