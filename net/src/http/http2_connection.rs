//! One HTTP/2 connection, shared by many exchanges and polled by its own background task.

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

/// The interval of keep-alive pings while exchanges are in progress.
const PING_INTERVAL: Duration = Duration::from_secs(5);
/// How long a ping may stay unanswered before the connection is closed.
const PING_TIMEOUT: Duration = Duration::from_secs(2);

/// A handle to an open connection that counts its clones.
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
            .keep_alive_interval(PING_INTERVAL)
            .keep_alive_timeout(PING_TIMEOUT)
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

    /// Returns the number of exchanges, each of which holds a handle besides the pool's own.
    pub(crate) fn exchange_count(&self) -> usize {
        Arc::strong_count(&self.handles) - 1
    }

    /// Sends a request and returns the head of its response.
    ///
    /// The error contains the request if none of it was sent.
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
