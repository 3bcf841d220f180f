//! An upstream of the document.

use std::net::SocketAddr;

use almondhead_macros::document;

/// A worker that runs tasks of one service.
#[document]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// The unique name.
    pub name: String,
    /// The name of its data centre.
    pub data_centre: String,
    /// The rack that it shares with other upstreams.
    #[serde(default)]
    pub rack: String,
    /// The name of the service whose tasks it runs.
    pub service: String,
    /// Its HTTP address.
    #[schemars(with = "String")]
    pub address: SocketAddr,
    /// How many tasks it runs at a time.
    pub slots: u32,
    /// How many connections it takes from all entry instances together.
    pub connections: u32,
    /// Its processors.
    pub cores: u32,
    /// Its memory in mebibytes.
    pub memory_mib: u32,
    /// Its accelerators.
    #[serde(default)]
    pub accelerators: u32,
    /// When it leaves, in milliseconds since the Unix epoch; it stays when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leaves_at_unix_ms: Option<u64>,
}
