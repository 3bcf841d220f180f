//! A connection to one sibling: a push socket and the queue of messages for it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::Weak;
use std::time::Duration;

use bytes::Bytes;
use nng::Aio;
use nng::AioResult;
use nng::Message;
use nng::PipeEvent;
use nng::Protocol;
use nng::Socket;
use nng::options::Options;
use nng::options::ReconnectMaxTime;
use nng::options::ReconnectMinTime;
use nng::options::RecvBufferSize;
use nng::options::SendBufferSize;
use nng::options::transport::tcp::NoDelay;

use crate::peer_counters::PeerCount;
use crate::peer_counters::PeerCounters;
use crate::peer_queue::PeerQueue;

/// Minimum delay between two attempts to connect to a sibling.
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// Maximum delay between two attempts to connect to a sibling.
const MAX_RECONNECT_DELAY: Duration = Duration::from_millis(500);

/// Sends to one sibling, one message at a time, and reconnects until it is dropped.
#[derive(Debug)]
pub(crate) struct PeerLink {
    shared: Arc<Shared>,
    sender: Aio,
}

/// Why a link did not accept a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkRefusal {
    NotConnected,
    QueueFull,
}

/// The state shared between a link and the callbacks of its socket.
#[derive(Debug)]
struct Shared {
    socket: Socket,
    counters: Arc<PeerCounters>,
    state: Mutex<LinkState>,
}

#[derive(Debug, Default)]
struct LinkState {
    is_connected: bool,
    is_sending: bool,
    queue: PeerQueue,
}

impl PeerLink {
    /// Opens a link, which starts to connect to `address`.
    pub(crate) fn open(address: SocketAddr, counters: Arc<PeerCounters>) -> nng::Result<Self> {
        let socket = Socket::new(Protocol::Push0)?;
        socket.set_opt::<SendBufferSize>(0)?;
        socket.set_opt::<RecvBufferSize>(0)?;
        socket.set_opt::<ReconnectMinTime>(Some(MIN_RECONNECT_DELAY))?;
        socket.set_opt::<ReconnectMaxTime>(Some(MAX_RECONNECT_DELAY))?;
        socket.set_opt::<NoDelay>(true)?;
        let shared = Arc::new(Shared {
            socket,
            counters,
            state: Mutex::default(),
        });
        let sender = shared.new_sender()?;
        shared.watch_connection()?;
        shared.socket.dial_async(&format!("tcp://{address}"))?;
        Ok(PeerLink { shared, sender })
    }

    /// Returns whether the library reports an open connection.
    pub(crate) fn is_connected(&self) -> bool {
        self.shared.lock().is_connected
    }

    /// Returns whether every accepted message has been handed to the network or lost.
    pub(crate) fn is_idle(&self) -> bool {
        !self.shared.lock().is_sending
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
        if !state.is_sending {
            self.shared.send_next(&mut state, &self.sender);
        }
        Ok(())
    }
}

impl Drop for PeerLink {
    fn drop(&mut self) {
        self.shared.on_disconnected();
        self.shared.socket.close();
        self.sender.wait();
    }
}

impl Shared {
    /// Creates the operation that sends the queued messages one after the other.
    fn new_sender(self: &Arc<Self>) -> nng::Result<Aio> {
        let shared = Arc::downgrade(self);
        Aio::new(move |sender, result| {
            if let Some(shared) = shared.upgrade() {
                shared.on_sent(&sender, &result);
            }
        })
    }

    fn on_sent(&self, sender: &Aio, result: &AioResult) {
        let outcome = match result {
            AioResult::Send(Ok(())) => PeerCount::Sent,
            _ => PeerCount::Lost,
        };
        self.counters.increment(outcome);
        let mut state = self.lock();
        self.send_next(&mut state, sender);
    }

    fn send_next(&self, state: &mut LinkState, sender: &Aio) {
        state.is_sending = false;
        while let Some(message) = state.queue.pop() {
            let message = Message::from(&message[..]);
            if self.socket.send_async(sender, message).is_ok() {
                state.is_sending = true;
                return;
            }
            self.counters.increment(PeerCount::Lost);
        }
    }

    fn watch_connection(self: &Arc<Self>) -> nng::Result<()> {
        let shared: Weak<Shared> = Arc::downgrade(self);
        self.socket.pipe_notify(move |_, event| {
            let Some(shared) = shared.upgrade() else {
                return;
            };
            match event {
                PipeEvent::AddPost => shared.lock().is_connected = true,
                PipeEvent::RemovePost => shared.on_disconnected(),
                _ => {}
            }
        })
    }

    /// Drops the queued messages: after a reconnect they would arrive after their senders had given
    /// them up, or at another incarnation of the sibling.
    fn on_disconnected(&self) {
        let mut state = self.lock();
        state.is_connected = false;
        let dropped = state.queue.clear();
        self.counters.add(PeerCount::Lost, dropped);
    }

    fn lock(&self) -> MutexGuard<'_, LinkState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
