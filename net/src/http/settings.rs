//! Settings of an HTTP client.

use almondhead_macros::key;
use almondhead_macros::value;

const DEFAULT_CONNECTIONS: usize = 16;
const DEFAULT_STREAMS: usize = 64;
const DEFAULT_IDLE_MS: u64 = 30_000;
const DEFAULT_RESPONSE_BODY_BYTES: usize = 16 * 1024 * 1024;

/// The HTTP version used with a peer.
#[key]
#[derive(Default)]
pub enum Protocol {
    /// HTTP/1.1, one request at a time per connection.
    #[default]
    Http1,
    /// HTTP/2 with prior knowledge, many concurrent requests per connection.
    Http2,
}

/// Limits of an HTTP client, each per peer address.
#[value]
pub struct HttpSettings {
    /// The HTTP version.
    pub protocol: Protocol,
    /// Maximum number of open connections, idle ones included.
    pub connections: usize,
    /// Maximum number of concurrent requests on an HTTP/2 connection.
    pub streams: usize,
    /// How long an idle connection is kept open, in milliseconds.
    pub idle_ms: u64,
    /// Maximum length of a response body in bytes.
    pub response_body_bytes: usize,
}

impl Default for HttpSettings {
    fn default() -> Self {
        Self {
            protocol: Protocol::default(),
            connections: DEFAULT_CONNECTIONS,
            streams: DEFAULT_STREAMS,
            idle_ms: DEFAULT_IDLE_MS,
            response_body_bytes: DEFAULT_RESPONSE_BODY_BYTES,
        }
    }
}
