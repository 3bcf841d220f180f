//! One HTTP/2 connection, shared by many exchanges and driven by a task of its own.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http2::Builder;
use hyper::client::conn::http2::SendRequest;
use hyper::rt::Executor;
use smol_hyper::rt::FuturesIo;
use smol_hyper::rt::SmolTimer;

use super::counted_stream::CountedStream;
use super::error::Failure;

/// How often a connection with exchanges in progress is probed.
const PROBE_INTERVAL: Duration = Duration::from_secs(5);
/// How long a probe may stay unanswered before the connection counts as broken.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// A handle to an open connection, and a count of the handles.
#[derive(Clone)]
pub(crate) struct Http2Connection {
    sender: SendRequest<Full<Bytes>>,
    handles: Arc<()>,
}

impl Http2Connection {
    pub(crate) async fn connect(address: SocketAddr) -> Result<Self, Failure> {
        let stream = CountedStream::connect(address).await?;
        let (sender, driver) = Builder::new(SmolSpawn)
            .timer(SmolTimer::new())
            .keep_alive_interval(PROBE_INTERVAL)
            .keep_alive_timeout(PROBE_TIMEOUT)
            .handshake(FuturesIo::new(stream))
            .await?;
        smol::spawn(driver).detach();
        Ok(Self {
            sender,
            handles: Arc::default(),
        })
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Returns the number of handles besides the pool's own, which is that of the exchanges.
    pub(crate) fn exchanges(&self) -> usize {
        Arc::strong_count(&self.handles) - 1
    }

    /// Sends a request and returns the head of its response, or gives the request back untouched.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        self.sender.try_send_request(request).await
    }
}

#[derive(Clone, Copy)]
struct SmolSpawn;

impl<F> Executor<F> for SmolSpawn
where
    F: Future + Send + 'static,
    F::Output: Send,
{
    fn execute(&self, future: F) {
        smol::spawn(future).detach();
    }
}
