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

/// The connections to one address; the limit covers idle ones and those in use together.
///
/// A connection is opened only by a permit's holder that found none idle, and returns to the idle
/// ones before its permit is released.
pub(crate) struct Http1Pool {
    address: SocketAddr,
    permits: Semaphore,
    idle: Mutex<Vec<Http1Connection>>,
    idle_timeout: Duration,
    response_body_bytes: usize,
}

impl Http1Pool {
    pub(crate) fn new(address: SocketAddr, settings: &HttpSettings) -> Self {
        Self {
            address,
            permits: Semaphore::new(settings.connections),
            idle: Mutex::default(),
            idle_timeout: Duration::from_millis(settings.idle_ms),
            response_body_bytes: settings.response_body_bytes,
        }
    }

    /// Sends a request on an idle connection or a new one.
    ///
    /// If an idle connection fails before a byte of the request is written, the next one is tried.
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
            return self.release(connection, result).await;
        }
        progress.enter(Step::Connect);
        let mut connection = Http1Connection::connect(self.address).await?;
        let result = connection
            .exchange(message, self.response_body_bytes, progress)
            .await;
        self.release(connection, result).await
    }

    /// Closes the idle connections: the network path may drop packets without a reset.
    pub(crate) fn close_idle(&self) {
        self.idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clear();
    }

    /// Returns whether every idle connection has exceeded the idle timeout, so that the pool can be
    /// dropped.
    pub(crate) fn is_idle(&self) -> bool {
        self.idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .iter()
            .all(|connection| connection.is_unused_for(self.idle_timeout))
    }

    /// Returns the connection to the idle ones if it can be reused.
    async fn release(
        &self,
        mut connection: Http1Connection,
        result: Result<HttpResponse, Failure>,
    ) -> Result<HttpResponse, Failure> {
        let response = result?;
        if connection.finish_exchange().await {
            self.idle
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(connection);
        }
        Ok(response)
    }

    fn take_idle(&self) -> Option<Http1Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|connection| !connection.is_unused_for(self.idle_timeout));
        idle.pop()
    }
}
