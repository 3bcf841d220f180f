//! A connection to one sibling and the queue of messages for it.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use almondhead_lib::peer_greeting::GREETING_BYTES;
use almondhead_lib::peer_greeting::GreetingSide;
use almondhead_lib::peer_greeting::PeerGreetings;
use async_channel::Receiver;
use async_channel::Sender;
use bytes::Bytes;
use bytes::BytesMut;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use futures_lite::future::or;
use smol::Async;
use smol::Timer;
use smol::net::TcpStream;

use crate::executor;
use crate::peer_counters::PeerCount;
use crate::peer_counters::PeerCounters;
use crate::peer_frame::PeerFrames;
use crate::peer_queue::PeerQueue;

/// Minimum delay between two attempts to connect to a sibling.
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// Maximum delay between two attempts to connect to a sibling.
const MAX_RECONNECT_DELAY: Duration = Duration::from_millis(500);

/// How long an attempt to connect may take, including the sibling's greeting. A first packet that
/// was lost is sent again after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of bytes of queued messages that are written at once.
const MAX_WRITE_BYTES: usize = 64 * 1024;

/// Sends to one sibling and reconnects until it is dropped.
#[derive(Debug)]
pub(crate) struct PeerLink {
    shared: Arc<Shared>,
    /// Wakes the writer; its end stops the link.
    wake: Sender<()>,
}

/// Why a link did not accept a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkRefusal {
    NotConnected,
    QueueFull,
}

/// The state shared between a link and its task.
#[derive(Debug)]
struct Shared {
    address: SocketAddr,
    greetings: Arc<PeerGreetings>,
    counters: Arc<PeerCounters>,
    state: Mutex<LinkState>,
}

#[derive(Debug, Default)]
struct LinkState {
    is_connected: bool,
    /// The number of messages taken from the queue whose writing has not ended.
    writing: usize,
    queue: PeerQueue,
}

impl PeerLink {
    /// Opens a link, which starts to connect to `address`.
    pub(crate) fn open(
        address: SocketAddr,
        greetings: Arc<PeerGreetings>,
        counters: Arc<PeerCounters>,
    ) -> Self {
        let shared = Arc::new(Shared {
            address,
            greetings,
            counters,
            state: Mutex::default(),
        });
        let (wake, woken) = async_channel::bounded(1);
        executor::spawn(Arc::clone(&shared).run(woken));
        PeerLink { shared, wake }
    }

    /// Returns whether the sibling has accepted the connection.
    pub(crate) fn is_connected(&self) -> bool {
        self.shared.lock().is_connected
    }

    /// Returns whether every accepted message has been handed to the network or lost.
    pub(crate) fn is_idle(&self) -> bool {
        let state = self.shared.lock();
        state.writing == 0 && state.queue.is_empty()
    }

    /// Sends a sealed message after those that are queued.
    pub(crate) fn send(&self, message: Bytes) -> Result<(), LinkRefusal> {
        let mut state = self.shared.lock();
        if !state.is_connected {
            return Err(LinkRefusal::NotConnected);
        }
        if !state.queue.push(message) {
            return Err(LinkRefusal::QueueFull);
        }
        // Fails when the writer has already been woken.
        self.wake.try_send(()).ok();
        Ok(())
    }
}

impl Drop for PeerLink {
    fn drop(&mut self) {
        self.shared.on_disconnected();
    }
}

impl Shared {
    /// Connects, sends and reconnects until the link is dropped.
    async fn run(self: Arc<Self>, woken: Receiver<()>) {
        let mut delay = MIN_RECONNECT_DELAY;
        while !woken.is_closed() {
            match self.connect_in_time(&woken).await {
                Ok(stream) => {
                    delay = MIN_RECONNECT_DELAY;
                    self.lock().is_connected = true;
                    if let Err(error) = self.serve(&stream, &woken).await {
                        tracing::debug!(address = %self.address, %error, "peer connection ended");
                    }
                    self.on_disconnected();
                }
                Err(error) => {
                    tracing::debug!(address = %self.address, %error, "peer not connected");
                }
            }
            or(dropped(&woken), async {
                Timer::after(delay).await;
            })
            .await;
            delay = (delay * 2).min(MAX_RECONNECT_DELAY);
        }
    }

    async fn connect_in_time(&self, woken: &Receiver<()>) -> io::Result<TcpStream> {
        let timeout = async {
            Timer::after(CONNECT_TIMEOUT).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let dropped = async {
            dropped(woken).await;
            Err(io::ErrorKind::Interrupted.into())
        };
        or(self.connect(), or(dropped, timeout)).await
    }

    /// Connects and exchanges greetings.
    async fn connect(&self) -> io::Result<TcpStream> {
        let mut stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        let greeting = self.greetings.of(GreetingSide::Dialer);
        stream.write_all(greeting).await?;
        let mut answer = [0; GREETING_BYTES];
        stream.read_exact(&mut answer).await?;
        match self.greetings.is_from(GreetingSide::Listener, &answer) {
            true => Ok(stream),
            false => Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "not the greeting of a peer of this firm",
            )),
        }
    }

    /// Sends messages until the connection breaks or the link is dropped.
    async fn serve(&self, stream: &TcpStream, woken: &Receiver<()>) -> io::Result<()> {
        or(watch_end(stream.clone()), self.write(stream.clone(), woken)).await
    }

    async fn write(&self, mut stream: TcpStream, woken: &Receiver<()>) -> io::Result<()> {
        let mut frames = PeerFrames::default();
        let mut bytes = BytesMut::new();
        loop {
            self.take_messages(&mut frames, &mut bytes)?;
            if bytes.is_empty() {
                if woken.recv().await.is_err() {
                    return Ok(());
                }
                continue;
            }
            stream.write_all(&bytes).await?;
            let written = std::mem::take(&mut self.lock().writing);
            self.counters.add(PeerCount::Sent, written);
            // Frees the memory of a large message.
            match bytes.capacity() > MAX_WRITE_BYTES {
                true => bytes = BytesMut::new(),
                false => bytes.clear(),
            }
        }
    }

    /// Moves queued messages into the bytes to send.
    fn take_messages(&self, frames: &mut PeerFrames, bytes: &mut BytesMut) -> io::Result<()> {
        let mut state = self.lock();
        while bytes.len() < MAX_WRITE_BYTES
            && let Some(message) = state.queue.pop()
        {
            state.writing += 1;
            frames.append(message, bytes)?;
        }
        Ok(())
    }

    /// Drops the queued messages: after a reconnect they would arrive after their senders had given
    /// them up, or at another incarnation of the sibling.
    fn on_disconnected(&self) {
        let mut state = self.lock();
        state.is_connected = false;
        // Messages whose writing was cut off count as lost, whether or not they arrived.
        let dropped = state.queue.clear() + std::mem::take(&mut state.writing);
        self.counters.add(PeerCount::Lost, dropped);
    }

    fn lock(&self) -> MutexGuard<'_, LinkState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Waits until the link has been dropped.
async fn dropped(woken: &Receiver<()>) {
    while woken.recv().await.is_ok() {}
}

/// Waits until the sibling has closed the connection; it sends nothing after its greeting.
///
/// It reads only once the connection is readable: the future is also polled for each message to send, and
/// a read that finds nothing costs a system call.
async fn watch_end(mut stream: TcpStream) -> io::Result<()> {
    let socket: Arc<Async<std::net::TcpStream>> = stream.clone().into();
    socket.readable().await?;
    let mut byte = [0];
    match stream.read(&mut byte).await? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        _ => Err(io::Error::new(
            io::ErrorKind::InvalidData,
            "bytes from a peer that only receives",
        )),
    }
}
