//! The upstreams of the document.

use std::net::SocketAddr;

use almondhead_macros::document;

use crate::document_limits::MAX_ACCELERATORS;
use crate::document_limits::MAX_CONNECTIONS;
use crate::document_limits::MAX_CORES;
use crate::document_limits::MAX_LEAVES_AT_UNIX_MS;
use crate::document_limits::MAX_MEMORY_MIB;
use crate::document_limits::MAX_NAME_CHARS;
use crate::document_limits::MAX_SLOTS;
use crate::document_limits::MIN_LEAVES_AT_UNIX_MS;

/// A worker that runs tasks of one service.
#[document]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// The unique name.
    #[schemars(length(min = 1, max = MAX_NAME_CHARS))]
    pub name: String,
    /// The name of its data centre.
    #[schemars(length(min = 1, max = MAX_NAME_CHARS))]
    pub data_centre: String,
    /// The rack that it shares with other upstreams.
    #[serde(default)]
    #[schemars(length(max = MAX_NAME_CHARS))]
    pub rack: String,
    /// The name of the service whose tasks it runs.
    #[schemars(length(min = 1, max = MAX_NAME_CHARS))]
    pub service: String,
    /// Its HTTP address.
    #[schemars(with = "String", extend("format" = "socket-address"))]
    pub address: SocketAddr,
    /// How many tasks it runs at a time.
    #[schemars(range(min = 1, max = MAX_SLOTS))]
    pub slots: u32,
    /// How many connections it takes from all entry instances together.
    #[schemars(range(min = 1, max = MAX_CONNECTIONS))]
    pub connections: u32,
    /// Its processors.
    #[schemars(range(min = 1, max = MAX_CORES))]
    pub cores: u32,
    /// Its memory in mebibytes.
    #[schemars(range(min = 1, max = MAX_MEMORY_MIB))]
    pub memory_mib: u32,
    /// Its accelerators.
    #[serde(default)]
    #[schemars(range(min = 0, max = MAX_ACCELERATORS))]
    pub accelerators: u32,
    /// When it leaves, in milliseconds since the Unix epoch; it stays when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(range(min = MIN_LEAVES_AT_UNIX_MS, max = MAX_LEAVES_AT_UNIX_MS))]
    pub leaves_at_unix_ms: Option<u64>,
}
