//! One HTTP/1.1 connection, polled by the exchange that uses it.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::pin::pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_lite::future::poll_fn;
use futures_lite::future::poll_once;
use http_body_util::Full;
use hyper::Request;
use hyper::client::conn::http1;
use hyper::client::conn::http1::Connection;
use hyper::client::conn::http1::SendRequest;
use smol_hyper::rt::FuturesIo;

use super::counted_stream::CountedStream;
use super::counted_stream::StreamState;
use super::error::Failure;
use super::error::Step;
use super::progress::Progress;
use super::read_body::read_body;
use super::response::HttpResponse;

/// An open connection. No background task polls it, so dropping it closes the socket at once.
pub(crate) struct Http1Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: Connection<FuturesIo<CountedStream>, Full<Bytes>>,
    stream: Arc<StreamState>,
    last_used_at: Instant,
}

impl Http1Connection {
    pub(crate) async fn connect(address: SocketAddr) -> Result<Self, Failure> {
        let stream = CountedStream::connect(address).await?;
        let state = stream.state();
        let (sender, driver) = http1::handshake(FuturesIo::new(stream)).await?;
        Ok(Self {
            sender,
            driver,
            stream: state,
            last_used_at: Instant::now(),
        })
    }

    pub(crate) fn is_unused_for(&self, limit: Duration) -> bool {
        self.last_used_at.elapsed() >= limit
    }

    /// Checks whether the connection can send a request, after reading what the peer has sent.
    pub(crate) async fn is_usable(&mut self) -> bool {
        self.stream.request_read();
        let closed = poll_once(&mut self.driver).await.is_some();
        !closed && self.sender.is_ready()
    }

    /// Polls the connection after an exchange, so that it can send another request; returns false when
    /// it cannot. It does not check whether the peer has closed it: [`Self::is_usable`] does, before
    /// the next exchange.
    pub(crate) async fn finish_exchange(&mut self) -> bool {
        let closed = poll_once(&mut self.driver).await.is_some();
        !closed && self.sender.is_ready()
    }

    /// Sends one request and reads its whole response, whose body may have up to `limit_bytes`.
    pub(crate) async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        limit_bytes: usize,
        progress: &Progress,
    ) -> Result<HttpResponse, Failure> {
        progress.enter(Step::Exchange);
        progress.count_from(Arc::clone(&self.stream));
        let sender = &mut self.sender;
        let exchange = async move {
            let response = sender.send_request(request).await?;
            progress.enter(Step::ReadBody);
            read_body(response, limit_bytes, progress).await
        };
        let result = drive(exchange, &mut self.driver).await;
        self.last_used_at = Instant::now();
        result
    }
}

/// Polls `exchange` to completion, and `driver` alongside it until either completes.
async fn drive<T, D>(exchange: impl Future<Output = T>, driver: &mut D) -> T
where
    D: Future + Unpin,
{
    let mut exchange = pin!(exchange);
    let mut driver_ended = false;
    poll_fn(|context| {
        if let Poll::Ready(output) = exchange.as_mut().poll(context) {
            return Poll::Ready(output);
        }
        if !driver_ended {
            driver_ended = Pin::new(&mut *driver).poll(context).is_ready();
        }
        if driver_ended {
            return exchange.as_mut().poll(context);
        }
        Poll::Pending
    })
    .await
}
