//! A response body that fails, so that the server closes the connection.

use std::io;
use std::io::ErrorKind;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use smol::io::AsyncRead;
use trillium::Body;

/// A body that yields some bytes, lets them be sent, and then fails.
struct BrokenBody {
    /// The bytes not yet read.
    remaining: Vec<u8>,
    /// Whether the body has once been pending after `remaining`, so that the server could send it.
    flushed: bool,
}

/// Returns a body with a stated length of `stated_bytes` that fails after `part`.
///
/// With an empty part the connection closes before the head of the response is sent.
pub(crate) fn broken_body(part: Vec<u8>, stated_bytes: u64) -> Body {
    let flushed = part.is_empty();
    let reader = BrokenBody {
        remaining: part,
        flushed,
    };
    Body::new_streaming(reader, Some(stated_bytes))
}

impl AsyncRead for BrokenBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if !self.remaining.is_empty() {
            let count = buffer.len().min(self.remaining.len());
            buffer[..count].copy_from_slice(&self.remaining[..count]);
            self.remaining.drain(..count);
            return Poll::Ready(Ok(count));
        }
        if !self.flushed {
            self.flushed = true;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        Poll::Ready(Err(ErrorKind::ConnectionAborted.into()))
    }
}
