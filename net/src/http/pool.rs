//! The connections to one address, for either protocol.

use std::net::SocketAddr;

use super::error::Failure;
use super::http1_pool::Http1Pool;
use super::http2_pool::Http2Pool;
use super::progress::Progress;
use super::request::HttpRequest;
use super::response::HttpResponse;
use super::settings::HttpSettings;
use super::settings::Protocol;

/// The connections to one address.
pub(crate) enum Pool {
    Http1(Http1Pool),
    Http2(Http2Pool),
}

impl Pool {
    pub(crate) fn new(address: SocketAddr, settings: &HttpSettings) -> Self {
        match settings.protocol {
            Protocol::Http1 => Self::Http1(Http1Pool::new(address, settings)),
            Protocol::Http2 => Self::Http2(Http2Pool::new(address, settings)),
        }
    }

    pub(crate) async fn send(
        &self,
        request: &HttpRequest,
        progress: &Progress,
    ) -> Result<HttpResponse, Failure> {
        match self {
            Self::Http1(pool) => pool.send(request, progress).await,
            Self::Http2(pool) => pool.send(request, progress).await,
        }
    }

    /// Closes idle HTTP/1.1 connections.
    pub(crate) fn close_idle(&self) {
        match self {
            Self::Http1(pool) => pool.close_idle(),
            // The connection is shared, and its pings detect whether the peer still answers.
            Self::Http2(_) => {}
        }
    }

    /// Returns whether the pool has no connection worth keeping.
    pub(crate) fn is_idle(&self) -> bool {
        match self {
            Self::Http1(pool) => pool.is_idle(),
            Self::Http2(pool) => pool.is_idle(),
        }
    }
}
