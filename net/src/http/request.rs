//! A request with its whole body.

use std::net::SocketAddr;

use almondhead_macros::value;
use bytes::Bytes;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Uri;
use hyper::header::HOST;
use hyper::header::HeaderValue;

use super::settings::Protocol;

/// A request with its whole body, and the address that it is for.
#[value]
pub struct HttpRequest {
    /// The method.
    pub method: Method,
    /// The address of the peer.
    pub address: SocketAddr,
    /// The path with its query, starting with a slash.
    pub path: String,
    /// The headers, without `Host` and `Content-Length`, which the client adds.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl HttpRequest {
    /// Creates a request without headers and body.
    pub fn new(method: Method, address: SocketAddr, path: impl Into<String>) -> Self {
        Self {
            method,
            address,
            path: path.into(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
        }
    }

    /// Sets the body.
    #[must_use]
    pub fn with_body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    pub(crate) fn to_hyper(
        &self,
        protocol: Protocol,
    ) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let builder = Request::builder().method(self.method.clone());
        let mut request = match protocol {
            Protocol::Http1 => builder.uri(self.path.as_str()),
            Protocol::Http2 => builder.uri(self.absolute_uri()?),
        }
        .body(Full::new(self.body.clone()))?;
        *request.headers_mut() = self.headers.clone();
        if protocol == Protocol::Http1 {
            let host = HeaderValue::try_from(self.address.to_string())?;
            request.headers_mut().insert(HOST, host);
        }
        Ok(request)
    }

    fn absolute_uri(&self) -> Result<Uri, hyper::http::Error> {
        Uri::builder()
            .scheme("http")
            .authority(self.address.to_string())
            .path_and_query(self.path.as_str())
            .build()
    }
}
