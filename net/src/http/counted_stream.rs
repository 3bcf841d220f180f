//! A TCP stream that counts the bytes written to its socket.

use std::io;
use std::io::ErrorKind;
use std::io::Read;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use smol::Async;
use smol::io::AsyncRead;
use smol::io::AsyncWrite;

/// A TCP stream with a shared counter of written bytes.
///
/// hyper reads at each poll, mostly in vain. The stream reads its socket again only after the
/// reactor has reported it readable, or when its user asks for it.
pub(crate) struct CountedStream {
    stream: Async<TcpStream>,
    state: Arc<StreamState>,
}

/// What a stream shares with the user of its connection.
#[derive(Debug, Default)]
pub(crate) struct StreamState {
    written_bytes: AtomicU64,
    /// Whether the last read found fewer bytes than it had room for.
    is_drained: AtomicBool,
}

impl CountedStream {
    /// Connects with `TCP_NODELAY` set.
    pub(crate) async fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = Async::<TcpStream>::connect(address).await?;
        stream.get_ref().set_nodelay(true)?;
        Ok(Self {
            stream,
            state: Arc::default(),
        })
    }

    /// Returns the state that the stream shares.
    pub(crate) fn state(&self) -> Arc<StreamState> {
        Arc::clone(&self.state)
    }
}

impl StreamState {
    /// Returns the number of bytes written to the socket.
    pub(crate) fn written_bytes(&self) -> u64 {
        self.written_bytes.load(Ordering::Acquire)
    }

    /// Makes the next poll read the socket: the reactor may not have reported yet that the peer has
    /// closed it, such as after the process was suspended.
    pub(crate) fn request_read(&self) {
        self.is_drained.store(false, Ordering::Release);
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            if self.state.is_drained.load(Ordering::Acquire) {
                ready!(self.stream.poll_readable(context))?;
                self.state.is_drained.store(false, Ordering::Release);
            }
            match self.stream.get_ref().read(buffer) {
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    self.state.is_drained.store(true, Ordering::Release);
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Ok(read_bytes) => {
                    // The reactor reports further bytes, and also an end, which reads nothing.
                    let is_drained = read_bytes > 0 && read_bytes < buffer.len();
                    self.state.is_drained.store(is_drained, Ordering::Release);
                    return Poll::Ready(Ok(read_bytes));
                }
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(context, buffer))?;
        let written_bytes = &self.state.written_bytes;
        written_bytes.fetch_add(written as u64, Ordering::AcqRel);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.stream.get_ref().shutdown(Shutdown::Write))
    }
}
