//! A TCP stream that counts the bytes written to its socket.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use smol::io::AsyncRead;
use smol::io::AsyncWrite;
use smol::net::TcpStream;

/// A TCP stream with a shared counter of written bytes.
pub(crate) struct CountedStream {
    stream: TcpStream,
    written_bytes: Arc<AtomicU64>,
}

impl CountedStream {
    /// Connects with `TCP_NODELAY` set.
    pub(crate) async fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            written_bytes: Arc::default(),
        })
    }

    /// Returns the shared counter of bytes written to the socket.
    pub(crate) fn written_bytes(&self) -> Arc<AtomicU64> {
        Arc::clone(&self.written_bytes)
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(context, buffer))?;
        self.written_bytes
            .fetch_add(written as u64, Ordering::AcqRel);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
