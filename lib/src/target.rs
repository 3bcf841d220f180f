//! What the entry process needs to send a task to an upstream.

use std::net::SocketAddr;
use std::sync::Arc;

use almondhead_macros::value;

/// The address and connection settings of an upstream that attempts are sent to.
#[value]
pub struct UpstreamTarget {
    /// The name of the upstream.
    pub name: Arc<str>,
    /// Its HTTP address.
    pub address: SocketAddr,
    /// The path of the HTTP resource that runs one task.
    pub path: Arc<str>,
    /// The maximum number of connections from this entry instance.
    pub connections: u32,
    /// Whether to use HTTP/2 with prior knowledge.
    pub http2: bool,
}
