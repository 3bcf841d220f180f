//! Settings of an HTTP client.

use almondhead_macros::key;
use almondhead_macros::value;

const DEFAULT_CONNECTIONS: usize = 16;
const DEFAULT_STREAMS: usize = 64;
const DEFAULT_IDLE_MS: u64 = 30_000;
const DEFAULT_RESPONSE_BODY_BYTES: usize = 16 * 1024 * 1024;

/// The version of HTTP spoken to a peer.
#[key]
#[derive(Default)]
pub enum Protocol {
    /// HTTP/1.1, one request at a time on a connection.
    #[default]
    Http1,
    /// HTTP/2 by prior knowledge, many requests at a time on a connection.
    Http2,
}

/// Limits of an HTTP client, each per peer address.
#[value]
pub struct HttpSettings {
    /// The version spoken.
    pub protocol: Protocol,
    /// Most connections open at a time, idle ones included.
    pub connections: usize,
    /// Most requests at a time on an HTTP/2 connection.
    pub streams: usize,
    /// How long an unused connection is kept, in milliseconds.
    pub idle_ms: u64,
    /// Longest response body taken, in bytes.
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
