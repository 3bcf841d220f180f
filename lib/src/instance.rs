//! The entry instances of the document.

use std::net::SocketAddr;

use almondhead_macros::document;

use crate::document_limits::MAX_LEAVES_AT_UNIX_MS;
use crate::document_limits::MAX_NAME_CHARS;
use crate::document_limits::MIN_LEAVES_AT_UNIX_MS;

/// An entry instance that is meant to run.
#[document]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// The unique name.
    #[schemars(length(min = 1, max = MAX_NAME_CHARS))]
    pub name: String,
    /// The name of its data centre.
    #[schemars(length(min = 1, max = MAX_NAME_CHARS))]
    pub data_centre: String,
    /// The address at which it takes messages of other entry instances.
    #[schemars(with = "String", extend("format" = "socket-address"))]
    pub peer_address: SocketAddr,
    /// When it leaves, in milliseconds since the Unix epoch; it stays when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(range(min = MIN_LEAVES_AT_UNIX_MS, max = MAX_LEAVES_AT_UNIX_MS))]
    pub leaves_at_unix_ms: Option<u64>,
}
