//! The HTTP/2 connections to one address.

use std::net::SocketAddr;

use smol::lock::Mutex;
use smol::lock::Semaphore;

use super::error::Failure;
use super::error::Step;
use super::http2_connection::Http2Connection;
use super::progress::Progress;
use super::read_body::read_body;
use super::request::HttpRequest;
use super::response::HttpResponse;
use super::settings::HttpSettings;
use super::settings::Protocol;

/// The connections to one address. Another is opened only when all have reached the stream limit.
pub(crate) struct Http2Pool {
    address: SocketAddr,
    permits: Semaphore,
    connections: Mutex<Vec<Http2Connection>>,
    streams_per_connection: usize,
    response_body_bytes: usize,
}

impl Http2Pool {
    pub(crate) fn new(address: SocketAddr, settings: &HttpSettings) -> Self {
        Self {
            address,
            permits: Semaphore::new(settings.connections * settings.streams),
            connections: Mutex::default(),
            streams_per_connection: settings.streams,
            response_body_bytes: settings.response_body_bytes,
        }
    }

    /// Sends a request on the least used connection, or on another one if that connection closes
    /// before the request is sent.
    pub(crate) async fn send(
        &self,
        request: &HttpRequest,
        progress: &Progress,
    ) -> Result<HttpResponse, Failure> {
        let mut message = request.to_hyper(Protocol::Http2)?;
        progress.enter(Step::AwaitConnection);
        let _permit = self.permits.acquire().await;
        loop {
            let mut connection = self.connection(progress).await?;
            progress.enter(Step::Exchange);
            progress.mark_handed_over();
            let mut error = match connection.send(message).await {
                Ok(response) => {
                    progress.enter(Step::ReadBody);
                    return read_body(response, self.response_body_bytes, progress).await;
                }
                Err(error) => error,
            };
            let Some(unsent) = error.take_message() else {
                return Err(error.into_error().into());
            };
            progress.mark_returned();
            if !connection.is_closed() {
                return Err(error.into_error().into());
            }
            message = unsent;
        }
    }

    /// Returns whether every connection is closed, so that the pool can be dropped.
    pub(crate) fn is_idle(&self) -> bool {
        let Some(connections) = self.connections.try_lock() else {
            return false;
        };
        connections.iter().all(Http2Connection::is_closed)
    }

    async fn connection(&self, progress: &Progress) -> Result<Http2Connection, Failure> {
        let mut connections = self.connections.lock().await;
        connections.retain(|connection| !connection.is_closed());
        let least_used = connections
            .iter()
            .filter(|connection| connection.exchange_count() < self.streams_per_connection)
            .min_by_key(|connection| connection.exchange_count());
        if let Some(connection) = least_used {
            return Ok(connection.clone());
        }
        progress.enter(Step::Connect);
        let connection = Http2Connection::connect(self.address).await?;
        connections.push(connection.clone());
        Ok(connection)
    }
}
