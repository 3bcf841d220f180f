//! The data centres of the document and the network times between them.

use almondhead_macros::document;

use crate::document_limits::MAX_DATA_CENTRES;
use crate::document_limits::MAX_NAME_CHARS;
use crate::document_limits::MAX_ONE_WAY_US;

/// A place with entry instances and upstreams of its own, which can be cut off from others.
#[document]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// The unique name.
    #[schemars(length(min = 1, max = MAX_NAME_CHARS))]
    pub name: String,
    /// The region, for data centres that are far from each other.
    #[serde(default)]
    #[schemars(length(max = MAX_NAME_CHARS))]
    pub region: String,
    /// The one-way network times to other data centres; missing ones count as far.
    #[serde(default)]
    #[schemars(length(max = MAX_DATA_CENTRES))]
    pub distances: Vec<Distance>,
}

/// The one-way network time to another data centre.
#[document]
#[serde(deny_unknown_fields)]
pub struct Distance {
    /// The name of the other data centre.
    #[schemars(length(min = 1, max = MAX_NAME_CHARS))]
    pub to: String,
    /// The one-way time in microseconds.
    #[schemars(range(min = 0, max = MAX_ONE_WAY_US))]
    pub one_way_us: u32,
}
