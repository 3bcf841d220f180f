//! An entry instance of the document.

use std::net::SocketAddr;

use almondhead_macros::document;

/// An entry instance that is meant to run.
#[document]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// The unique name.
    pub name: String,
    /// The name of its data centre.
    pub data_centre: String,
    /// The address at which it takes messages of other entry instances.
    #[schemars(with = "String")]
    pub peer_address: SocketAddr,
    /// When it leaves, in milliseconds since the Unix epoch; it stays when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leaves_at_unix_ms: Option<u64>,
}
