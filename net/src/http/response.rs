//! A response with its whole body.

use almondhead_macros::value;
use bytes::Bytes;
use hyper::HeaderMap;
use hyper::StatusCode;

/// A response whose body has arrived completely.
#[value]
pub struct HttpResponse {
    /// The HTTP status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl HttpResponse {
    /// Returns the value of a header if it is present and visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}
