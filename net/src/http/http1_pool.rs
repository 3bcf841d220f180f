//! The HTTP/1.1 connections to one address.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use smol::lock::Semaphore;

use super::error::Failure;
use super::error::Sent;
use super::error::Step;
use super::http1_connection::Http1Connection;
use super::progress::Progress;
use super::request::HttpRequest;
use super::response::HttpResponse;
use super::settings::HttpSettings;
use super::settings::Protocol;

/// The connections to one address, idle and in use together never more than the limit.
///
/// A connection is opened only by the holder of a permit that found none idle, and goes back to
/// the idle ones before its permit does.
pub(crate) struct Http1Pool {
    address: SocketAddr,
    permits: Semaphore,
    idle: Mutex<Vec<Http1Connection>>,
    idle_limit: Duration,
    response_body_bytes: usize,
}

impl Http1Pool {
    pub(crate) fn new(address: SocketAddr, settings: &HttpSettings) -> Self {
        Self {
            address,
            permits: Semaphore::new(settings.connections),
            idle: Mutex::default(),
            idle_limit: Duration::from_millis(settings.idle_ms),
            response_body_bytes: settings.response_body_bytes,
        }
    }

    /// Sends a request on a kept connection or a new one.
    ///
    /// A kept connection that breaks before it took a byte of the request is replaced.
    pub(crate) async fn send(
        &self,
        request: &HttpRequest,
        progress: &Progress,
    ) -> Result<HttpResponse, Failure> {
        let message = request.to_hyper(Protocol::Http1)?;
        progress.enter(Step::AwaitConnection);
        let _permit = self.permits.acquire().await;
        while let Some(mut connection) = self.take_idle() {
            if !connection.is_usable().await {
                continue;
            }
            let result = connection
                .exchange(message.clone(), self.response_body_bytes, progress)
                .await;
            if result.is_err() && progress.sent() == Sent::Nothing {
                continue;
            }
            return self.finish(connection, result).await;
        }
        progress.enter(Step::Connect);
        let mut connection = Http1Connection::connect(self.address).await?;
        let result = connection
            .exchange(message, self.response_body_bytes, progress)
            .await;
        self.finish(connection, result).await
    }

    /// Closes the connections that nobody uses: the path to the address may have gone silent.
    pub(crate) fn drop_idle(&self) {
        self.idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clear();
    }

    /// Says whether no connection is worth keeping the pool for.
    pub(crate) fn is_idle(&self) -> bool {
        self.idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .iter()
            .all(|connection| connection.is_unused_for(self.idle_limit))
    }

    async fn finish(
        &self,
        mut connection: Http1Connection,
        result: Result<HttpResponse, Failure>,
    ) -> Result<HttpResponse, Failure> {
        let response = result?;
        if connection.is_usable().await {
            self.idle
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(connection);
        }
        Ok(response)
    }

    fn take_idle(&self) -> Option<Http1Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|connection| !connection.is_unused_for(self.idle_limit));
        idle.pop()
    }
}
