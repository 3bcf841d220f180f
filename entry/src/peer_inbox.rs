//! The receiving side of the peer transport: accepts connections and reads messages from them.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use almondhead_lib::peer_envelope::Envelope;
use almondhead_lib::peer_envelope::EnvelopeSealer;
use almondhead_lib::peer_envelope::OpenError;
use almondhead_lib::peer_greeting::GREETING_BYTES;
use almondhead_lib::peer_greeting::GreetingSide;
use almondhead_lib::peer_greeting::PeerGreetings;
use almondhead_macros::value;
use async_channel::Receiver;
use async_channel::Sender;
use bytes::Bytes;
use bytes::BytesMut;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use futures_lite::future::or;
use futures_lite::future::yield_now;
use indexmap::IndexMap;
use smol::Async;
use smol::Timer;
use smol::net::TcpListener;
use smol::net::TcpStream;

use crate::executor;
use crate::log_limit::LogLimit;
use crate::peer_counters::PeerCount;
use crate::peer_counters::PeerCounters;
use crate::peer_frame::PeerFrames;
use crate::peer_route::Routes;

/// How long a connection may take to send its greeting: a round trip and a retransmission.
const GREETING_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of connections that have not sent their greeting. The oldest is closed for a new
/// one, so that strangers cannot keep siblings out.
const MAX_UNGREETED: usize = 64;

/// Maximum number of connections of siblings: one for each of 1,443 instances, which a site is to
/// grow to, and some spare ones. The links to as many siblings and these fit into 4,096 descriptors.
const MAX_GREETED: usize = 2_048;

/// How long a connection may be silent. Its sibling opens another when it has something to send.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// How long to wait after a failure to accept, which is mostly a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Number of bytes that are read from a connection at once.
const READ_BYTES: usize = 4 * 1024;

/// Maximum capacity of a connection's buffer that is kept between messages.
const MAX_KEPT_BYTES: usize = 4 * READ_BYTES;

/// The state shared by all connections.
pub(crate) struct Inbox {
    pub(crate) routes: Routes,
    pub(crate) sealer: EnvelopeSealer,
    pub(crate) greetings: Arc<PeerGreetings>,
    pub(crate) counters: Arc<PeerCounters>,
    pub(crate) incoming: Sender<Envelope>,
    pub(crate) connections: Mutex<Connections>,
    pub(crate) log_limit: LogLimit,
}

/// The open connections by number, in the order of their coming.
#[derive(Debug, Default)]
pub(crate) struct Connections {
    last_number: u64,
    /// Those without a greeting; dropping a sender closes its connection.
    ungreeted: IndexMap<u64, Sender<()>>,
    greeted: IndexMap<u64, Sender<()>>,
}

/// Why a connection was closed by this side.
#[value]
#[derive(Display, Error)]
enum Rejection {
    /// Its first bytes are not a greeting under the firm's key, or did not come in time.
    #[display("no valid greeting")]
    Greeting,
    /// There are too many connections.
    #[display("too many connections")]
    TooMany,
    /// A message is larger than the maximum.
    #[display("message too large")]
    TooLarge,
    /// A message has no valid tag.
    #[display("message not authentic")]
    NotAuthentic,
}

/// Why a connection ended.
#[derive(Debug, Display, From)]
enum ConnectionEnd {
    /// The other side or the network ended it, or it was silent for too long.
    Broken(io::Error),
    Rejected(Rejection),
    /// The transport was closed.
    #[from(skip)]
    #[display("closed")]
    Closed,
}

impl Inbox {
    /// Accepts connections until the task is cancelled.
    pub(crate) async fn accept(self: Arc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, address)) => {
                    let (number, closed) = self.lock().add();
                    let inbox = Arc::clone(&self);
                    executor::spawn(inbox.handle(stream, address, number, closed));
                    // Lets the connection read its greeting before the next ones count against it:
                    // after a restart of the site all siblings connect at the same moment.
                    yield_now().await;
                }
                Err(error) => {
                    tracing::warn!(%error, "peer connection not accepted");
                    Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Closes all connections.
    pub(crate) fn close(&self) {
        *self.lock() = Connections::default();
    }

    async fn handle(
        self: Arc<Self>,
        stream: TcpStream,
        address: SocketAddr,
        number: u64,
        closed: Receiver<()>,
    ) {
        let is_closed = async {
            // Nothing is ever sent: it ends when the sender is dropped.
            closed.recv().await.ok();
            ConnectionEnd::Closed
        };
        let end = or(self.receive(stream, number), is_closed).await;
        self.lock().remove(number);
        match end {
            ConnectionEnd::Rejected(rejection) => {
                self.counters.increment(rejection.count());
                if let Some(suppressed) = self.log_limit.permit() {
                    tracing::warn!(%address, %rejection, suppressed, "peer connection rejected");
                }
            }
            end => tracing::debug!(%address, %end, "peer connection ended"),
        }
    }

    /// Receives messages until the connection ends.
    async fn receive(&self, mut stream: TcpStream, number: u64) -> ConnectionEnd {
        if let Err(end) = self.greet(&mut stream, number).await {
            return end;
        }
        let reads = AtomicU64::new(0);
        let read = async {
            match self.read_messages(&mut stream, &reads).await {
                Ok(()) => ConnectionEnd::Closed,
                Err(end) => end,
            }
        };
        or(read, watch_idle(&reads)).await
    }

    async fn greet(&self, stream: &mut TcpStream, number: u64) -> Result<(), ConnectionEnd> {
        let mut greeting = [0; GREETING_BYTES];
        let read = async { stream.read_exact(&mut greeting).await.is_ok() };
        let timeout = async {
            Timer::after(GREETING_TIMEOUT).await;
            false
        };
        let is_read = or(read, timeout).await;
        if !is_read || !self.greetings.is_from(GreetingSide::Dialer, &greeting) {
            return Err(Rejection::Greeting.into());
        }
        if !self.lock().set_greeted(number) {
            return Err(Rejection::TooMany.into());
        }
        stream.set_nodelay(true)?;
        let answer = self.greetings.of(GreetingSide::Listener);
        Ok(stream.write_all(answer).await?)
    }

    /// Reads messages and delivers them; a full channel applies backpressure to the sibling.
    ///
    /// Counts its reads in `reads`.
    async fn read_messages(
        &self,
        stream: &mut TcpStream,
        reads: &AtomicU64,
    ) -> Result<(), ConnectionEnd> {
        let mut frames = PeerFrames::default();
        let mut received = BytesMut::new();
        let mut chunk = vec![0; READ_BYTES];
        let socket: Arc<Async<std::net::TcpStream>> = stream.clone().into();
        let mut is_drained = false;
        loop {
            if is_drained {
                // Another read would find nothing, at the cost of a system call.
                socket.readable().await?;
            }
            let read_bytes = stream.read(&mut chunk).await?;
            if read_bytes == 0 {
                return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
            }
            is_drained = read_bytes < chunk.len();
            reads.fetch_add(1, Ordering::Relaxed);
            received.extend_from_slice(&chunk[..read_bytes]);
            while let Some(message) = frames
                .next(&mut received)
                .map_err(|_| Rejection::TooLarge)?
            {
                self.deliver(message).await?;
            }
            if received.is_empty() && received.capacity() > MAX_KEPT_BYTES {
                // Frees the memory of a large message.
                received = BytesMut::new();
            }
        }
    }

    /// Delivers a message; one whose content is not valid is counted and ignored.
    async fn deliver(&self, message: Bytes) -> Result<(), ConnectionEnd> {
        match self.sealer.open(message) {
            Ok(envelope) => {
                self.record_received(&envelope.sender.instance);
                self.counters.increment(PeerCount::Received);
                let sent = self.incoming.send(envelope).await;
                sent.map_err(|_| ConnectionEnd::Closed)
            }
            Err(OpenError::Invalid(error)) => {
                self.counters.increment(PeerCount::Invalid);
                if let Some(suppressed) = self.log_limit.permit() {
                    tracing::warn!(%error, suppressed, "peer message ignored: not valid");
                }
                Ok(())
            }
            Err(OpenError::NotAuthentic | OpenError::TooLarge { .. }) => {
                Err(Rejection::NotAuthentic.into())
            }
        }
    }

    fn record_received(&self, instance: &str) {
        let routes = self.routes.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(route) = routes.get(instance) {
            route.record_received();
        }
    }

    fn lock(&self) -> MutexGuard<'_, Connections> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Connections {
    /// Adds a connection without a greeting and returns its number and what ends when it is closed.
    fn add(&mut self) -> (u64, Receiver<()>) {
        self.last_number += 1;
        let (close, closed) = async_channel::bounded(1);
        self.ungreeted.insert(self.last_number, close);
        if self.ungreeted.len() > MAX_UNGREETED {
            self.ungreeted.shift_remove_index(0);
        }
        (self.last_number, closed)
    }

    /// Records that a connection has sent its greeting; false when there are too many.
    fn set_greeted(&mut self, number: u64) -> bool {
        if self.greeted.len() >= MAX_GREETED {
            return false;
        }
        let connection = self.ungreeted.shift_remove(&number);
        connection.is_some_and(|connection| self.greeted.insert(number, connection).is_none())
    }

    fn remove(&mut self, number: u64) {
        self.ungreeted.shift_remove(&number);
        self.greeted.swap_remove(&number);
    }
}

impl Rejection {
    const fn count(&self) -> PeerCount {
        match self {
            Rejection::Greeting | Rejection::TooMany => PeerCount::Rejected,
            Rejection::TooLarge | Rejection::NotAuthentic => PeerCount::NotAuthentic,
        }
    }
}

/// Ends when nothing has been read for [`IDLE_TIMEOUT`]. One timer for many reads: a connection is read
/// several times a second.
async fn watch_idle(reads: &AtomicU64) -> ConnectionEnd {
    loop {
        let before = reads.load(Ordering::Relaxed);
        Timer::after(IDLE_TIMEOUT).await;
        if reads.load(Ordering::Relaxed) == before {
            return io::Error::from(io::ErrorKind::TimedOut).into();
        }
    }
}
