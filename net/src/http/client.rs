//! The HTTP client.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use futures_lite::future::or;
use indexmap::IndexMap;

use super::error::ExchangeError;
use super::error::Failure;
use super::pool::Pool;
use super::progress::Progress;
use super::request::HttpRequest;
use super::response::HttpResponse;
use super::settings::HttpSettings;
use super::transfer_timeouts::TransferTimeouts;
use crate::deadline::Deadline;

/// An HTTP client that keeps a bounded number of connections to each address.
///
/// It never sends `Expect: 100-continue`, and never retries a request of which a byte was sent.
/// Dropping the future of [`HttpClient::send`] abandons the exchange.
pub struct HttpClient {
    settings: HttpSettings,
    pools: Mutex<IndexMap<SocketAddr, Arc<Pool>>>,
}

impl HttpClient {
    /// Creates a client without connections.
    pub fn new(settings: HttpSettings) -> Self {
        Self {
            settings,
            pools: Mutex::default(),
        }
    }

    /// Sends a request and returns its whole response.
    ///
    /// `timeout` covers the wait for a connection, the connect and the exchange.
    pub async fn send(
        &self,
        request: HttpRequest,
        timeout: Duration,
    ) -> Result<HttpResponse, ExchangeError> {
        self.send_before(request, Instant::now() + timeout).await
    }

    /// Sends a request and returns its whole response if it arrives before `deadline`.
    ///
    /// The clock is read on every poll of the exchange, so a process that was suspended sends
    /// nothing after the deadline.
    pub async fn send_before(
        &self,
        request: HttpRequest,
        deadline: Instant,
    ) -> Result<HttpResponse, ExchangeError> {
        let started_at = Instant::now();
        let progress = Progress::new();
        let pool = self.pool(request.address);
        let timed_out = async {
            Deadline::at(deadline).await;
            let timeout_ms = deadline.saturating_duration_since(started_at).as_millis();
            Err(Failure::Timeout { timeout_ms })
        };
        let result = or(timed_out, pool.send(&request, &progress)).await;
        finish(&pool, &request, &progress, result)
    }

    /// Sends a request and returns its whole response, which may take as long as its parts keep arriving.
    ///
    /// A response that has arrived is returned even if the process reads it after a timeout.
    pub async fn send_while_receiving(
        &self,
        request: HttpRequest,
        timeouts: TransferTimeouts,
    ) -> Result<HttpResponse, ExchangeError> {
        let started_at = Instant::now();
        let progress = Progress::new();
        let pool = self.pool(request.address);
        let timed_out = async {
            timeouts.expire(started_at, &progress).await;
            let timeout_ms = started_at.elapsed().as_millis();
            Err(Failure::Timeout { timeout_ms })
        };
        let result = or(pool.send(&request, &progress), timed_out).await;
        finish(&pool, &request, &progress, result)
    }

    fn pool(&self, address: SocketAddr) -> Arc<Pool> {
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(pool) = pools.get(&address) {
            return Arc::clone(pool);
        }
        pools.retain(|_, pool| Arc::strong_count(pool) > 1 || !pool.is_idle());
        let pool = Arc::new(Pool::new(address, &self.settings));
        pools.insert(address, Arc::clone(&pool));
        pool
    }
}

fn finish(
    pool: &Pool,
    request: &HttpRequest,
    progress: &Progress,
    result: Result<HttpResponse, Failure>,
) -> Result<HttpResponse, ExchangeError> {
    if let Err(Failure::Timeout { .. }) = &result {
        // All connections to the peer may have stopped delivering without a reset.
        pool.close_idle();
    }
    result.map_err(|failure| ExchangeError {
        step: progress.step(),
        peer: request.address,
        sent: progress.sent(),
        failure,
    })
}
