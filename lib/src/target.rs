//! What the entry process must know of an upstream to send it a task.

use std::net::SocketAddr;
use std::sync::Arc;

use almondhead_macros::value;

/// An upstream as the target of attempts.
#[value]
pub struct UpstreamTarget {
    /// Its name.
    pub name: Arc<str>,
    /// Its HTTP address.
    pub address: SocketAddr,
    /// The path that runs one task.
    pub path: Arc<str>,
    /// The most connections that this entry instance may hold to it.
    pub connections: u32,
    /// Whether it is spoken to by HTTP/2 with prior knowledge.
    pub http2: bool,
}
