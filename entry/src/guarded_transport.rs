//! Limits on a caller's connection: its idle time, and what it receives before an answer and ahead of one.

use std::any::Any;
use std::borrow::Cow;
use std::io;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use almondhead_net::Deadline;
use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;
use smol::net::TcpStream;
use trillium::Conn;
use trillium::Method;
use trillium::Transport;
use trillium_smol::SmolTransport;

use crate::connection_budget::OpenConnection;
use crate::connection_budget::Phase;
use crate::settings::Limits;

/// The first bytes of the HTTP/2 connection preface.
const HTTP2_PREFACE_START: &[u8] = b"PRI ";

/// Allowance for chunk framing, on top of the limits on head and body.
const MAX_FRAMING_BYTES: u64 = 64 * 1024;

/// The most bytes that are read at once.
const MAX_READ_BYTES: usize = 16 * 1024;

/// The reads in a row after which a connection lets others go on.
const MAX_READS_IN_A_ROW: u32 = 16;

/// How much more memory input takes than it has bytes, since buffers grow by doubling.
const BUFFER_FACTOR: u64 = 2;

/// What a line of a head takes in addition once it is parsed, in bytes: an entry in a map.
const HEAD_LINE_BYTES: u64 = 256;

/// What a connection with HTTP/2 takes: its flow control windows. The bodies of its streams are not counted.
const HTTP2_BYTES: u64 = 2 * 1024 * 1024;

/// What the limits of a connection are.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GuardSettings {
    idle_timeout: Duration,
    max_unanswered_bytes: u64,
    max_ahead_bytes: u64,
    head_bytes: u64,
    offers_http2: bool,
}

impl GuardSettings {
    /// Returns the settings for these limits; HTTP/2 is offered to callers only where `offers_http2`.
    pub(crate) fn new(limits: &Limits, offers_http2: bool) -> Self {
        let head_bytes = u64::try_from(limits.head_bytes).unwrap_or(u64::MAX);
        GuardSettings {
            idle_timeout: Duration::from_millis(limits.idle_ms),
            max_unanswered_bytes: head_bytes
                .saturating_add(limits.body_bytes.saturating_mul(2))
                .saturating_add(MAX_FRAMING_BYTES),
            max_ahead_bytes: limits.ahead_bytes,
            head_bytes,
            offers_http2,
        }
    }
}

/// The progress of a connection's current request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
enum Progress {
    /// Its head has not been read whole.
    Head,
    /// Its body is being read.
    Body,
    /// All of it has been read, and its answer is not being written yet.
    Received,
}

/// A connection that fails when it is idle too long, or receives too much before an answer or ahead of one.
///
/// Of these, only the count of connections applies to HTTP/2.
pub(crate) struct GuardedTransport {
    inner: SmolTransport<TcpStream>,
    open: OpenConnection,
    settings: GuardSettings,
    is_http2: bool,
    /// How much of the start of the HTTP/2 preface has been received, until something else has.
    preface_bytes: Option<usize>,
    progress: AtomicU8,
    idle_timer: Deadline,
    /// Runs while an answer cannot be written.
    write_timer: Option<Deadline>,
    /// The bytes received that a buffer or the request may still hold.
    unanswered_bytes: u64,
    /// Those of them that were received while a request was being answered.
    ahead_bytes: u64,
    /// The memory that the request may take, and what was sent ahead.
    request_memory_bytes: u64,
    ahead_memory_bytes: u64,
    reads_in_a_row: AtomicU32,
}

/// Records that the head of a request has been read, and all of it if it has no body: the idle timeout is
/// suspended until an answer is written, which may take longer than a connection may be idle.
pub(crate) fn mark_request_received(conn: &Conn) {
    let progress = match conn.method() {
        Method::Post | Method::Put | Method::Patch => Progress::Body,
        _ => Progress::Received,
    };
    set_progress(conn, progress);
}

/// Records that a request's body has been read: what follows is sent ahead of its answer.
pub(crate) fn mark_body_received(conn: &Conn) {
    set_progress(conn, Progress::Received);
}

fn set_progress(conn: &Conn, progress: Progress) {
    let http: &trillium_http::Conn<Box<dyn Transport>> = conn.as_ref();
    let transport: &dyn Any = &**http.transport();
    if let Some(guarded) = transport.downcast_ref::<GuardedTransport>() {
        guarded.set_progress(progress);
        // The next read tells whether the caller is still there.
        guarded.reads_in_a_row.store(0, Ordering::Release);
        if progress == Progress::Received {
            guarded.open.enter(Phase::Answering);
        }
    }
}

impl GuardedTransport {
    pub(crate) fn new(stream: TcpStream, open: OpenConnection, settings: GuardSettings) -> Self {
        GuardedTransport {
            inner: SmolTransport::from(stream),
            open,
            settings,
            is_http2: false,
            preface_bytes: Some(0),
            progress: AtomicU8::new(Progress::Head as u8),
            idle_timer: Deadline::after(settings.idle_timeout),
            write_timer: None,
            unanswered_bytes: 0,
            ahead_bytes: 0,
            request_memory_bytes: 0,
            ahead_memory_bytes: 0,
            reads_in_a_row: AtomicU32::new(0),
        }
    }

    fn set_progress(&self, progress: Progress) {
        self.progress.store(progress as u8, Ordering::Release);
    }

    fn is_in(&self, progress: Progress) -> bool {
        self.progress.load(Ordering::Acquire) == progress as u8
    }

    fn count_read(&mut self, bytes: &[u8]) -> io::Result<()> {
        if bytes.is_empty() {
            return Ok(());
        }
        if self.ends_preface(bytes) {
            return self.switch_to_http2();
        }
        let read_bytes = u64::try_from(bytes.len()).unwrap_or(u64::MAX);
        let memory_bytes = self.memory_of(bytes);
        if self.is_in(Progress::Received) {
            self.ahead_bytes = self.ahead_bytes.saturating_add(read_bytes);
            self.ahead_memory_bytes = self.ahead_memory_bytes.saturating_add(memory_bytes);
        } else {
            // All that was sent ahead has been taken from the buffer.
            self.ahead_bytes = 0;
            self.ahead_memory_bytes = 0;
            self.request_memory_bytes = self.request_memory_bytes.saturating_add(memory_bytes);
        }
        self.unanswered_bytes = self.unanswered_bytes.saturating_add(read_bytes);
        if self.ahead_bytes > self.settings.max_ahead_bytes
            || self.unanswered_bytes > self.settings.max_unanswered_bytes
        {
            return Err(ErrorKind::ConnectionReset.into());
        }
        self.report_memory();
        Ok(())
    }

    /// The memory that input takes: its buffer and, unless it belongs to a body, the lines of heads.
    fn memory_of(&self, bytes: &[u8]) -> u64 {
        let count = |number: usize| u64::try_from(number).unwrap_or(u64::MAX);
        let lines = match self.is_in(Progress::Body) {
            true => 0,
            false => bytes.iter().filter(|byte| **byte == b'\n').count(),
        };
        let buffered_bytes = count(bytes.len()).saturating_mul(BUFFER_FACTOR);
        buffered_bytes.saturating_add(count(lines).saturating_mul(HEAD_LINE_BYTES))
    }

    fn report_memory(&self) {
        let input_bytes = self.request_memory_bytes;
        let input_bytes = input_bytes.saturating_add(self.ahead_memory_bytes);
        self.open.set_input_bytes(input_bytes);
    }

    /// Whether the connection begins like one with HTTP/2, which these bytes show.
    fn ends_preface(&mut self, bytes: &[u8]) -> bool {
        let Some(received_bytes) = self.preface_bytes else {
            return false;
        };
        let rest = &HTTP2_PREFACE_START[received_bytes..];
        let compared_bytes = rest.len().min(bytes.len());
        let is_same = rest[..compared_bytes] == bytes[..compared_bytes];
        let is_whole = compared_bytes == rest.len();
        let is_open = is_same && !is_whole;
        self.preface_bytes = is_open.then_some(received_bytes + compared_bytes);
        is_same && is_whole
    }

    fn switch_to_http2(&mut self) -> io::Result<()> {
        if !self.settings.offers_http2 {
            return Err(ErrorKind::ConnectionReset.into());
        }
        self.is_http2 = true;
        self.open.enter(Phase::Answering);
        self.open.set_input_bytes(HTTP2_BYTES);
        Ok(())
    }

    fn poll_idle(&mut self, context: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let may_wait = self.is_http2 || !self.is_in(Progress::Head);
        match !may_wait && Pin::new(&mut self.idle_timer).poll(context).is_ready() {
            true => Poll::Ready(Err(ErrorKind::TimedOut.into())),
            false => Poll::Pending,
        }
    }

    fn mark_answered(&mut self) {
        self.write_timer = None;
        if self.is_http2 {
            return;
        }
        self.set_progress(Progress::Head);
        self.idle_timer = Deadline::after(self.settings.idle_timeout);
        self.open.enter(Phase::Receiving);
        // The buffer may hold the start of a request, and what was sent ahead.
        let head_bytes = self.settings.head_bytes;
        let request_bytes = self.unanswered_bytes.saturating_sub(self.ahead_bytes);
        self.unanswered_bytes = request_bytes.min(head_bytes) + self.ahead_bytes;
        let head_memory_bytes = head_bytes.saturating_mul(BUFFER_FACTOR);
        self.request_memory_bytes = self.request_memory_bytes.min(head_memory_bytes);
        self.report_memory();
    }

    /// Fails when an answer could not be written for too long.
    fn poll_stalled(&mut self, context: &mut Context<'_>) -> Poll<io::Result<usize>> {
        if self.write_timer.is_none() && !self.is_http2 {
            self.open.enter(Phase::Receiving);
        }
        let idle_timeout = self.settings.idle_timeout;
        let timer = self
            .write_timer
            .get_or_insert_with(|| Deadline::after(idle_timeout));
        match Pin::new(timer).poll(context) {
            Poll::Ready(()) => Poll::Ready(Err(ErrorKind::ConnectionReset.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncRead for GuardedTransport {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.open.is_closing() {
            return Poll::Ready(Err(ErrorKind::ConnectionReset.into()));
        }
        // While a request is answered, reads tell whether its caller is still there, and are bounded.
        if !self.is_in(Progress::Received) && self.open.poll_receive(context).is_pending() {
            return self.poll_idle(context);
        }
        if self.reads_in_a_row.fetch_add(1, Ordering::AcqRel) >= MAX_READS_IN_A_ROW {
            self.reads_in_a_row.store(0, Ordering::Release);
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let room_bytes = buffer.len().min(MAX_READ_BYTES);
        match Pin::new(&mut self.inner).poll_read(context, &mut buffer[..room_bytes]) {
            Poll::Ready(Ok(read_bytes)) => {
                let counted = self.count_read(&buffer[..read_bytes]);
                Poll::Ready(counted.map(|()| read_bytes))
            }
            Poll::Pending => {
                self.reads_in_a_row.store(0, Ordering::Release);
                self.poll_idle(context)
            }
            failed => failed,
        }
    }
}

impl AsyncWrite for GuardedTransport {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.open.is_closing() {
            return Poll::Ready(Err(ErrorKind::ConnectionReset.into()));
        }
        match Pin::new(&mut self.inner).poll_write(context, buffer) {
            Poll::Pending => self.poll_stalled(context),
            written => {
                self.mark_answered();
                written
            }
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(context)
    }
}

impl Transport for GuardedTransport {
    fn set_linger(&mut self, linger: Option<Duration>) -> io::Result<()> {
        self.inner.set_linger(linger)
    }

    fn set_nodelay(&mut self, nodelay: bool) -> io::Result<()> {
        self.inner.set_nodelay(nodelay)
    }

    fn set_ip_ttl(&mut self, ttl: u32) -> io::Result<()> {
        self.inner.set_ip_ttl(ttl)
    }

    fn peer_addr(&self) -> io::Result<Option<SocketAddr>> {
        self.inner.peer_addr()
    }

    fn negotiated_alpn(&self) -> Option<Cow<'_, [u8]>> {
        self.inner.negotiated_alpn()
    }
}
