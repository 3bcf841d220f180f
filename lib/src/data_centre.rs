//! A data centre of the document.

use almondhead_macros::document;

/// A place with entry instances and upstreams of its own, which can be cut off from others.
#[document]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// The unique name.
    pub name: String,
    /// The region, for data centres that are far from each other.
    #[serde(default)]
    pub region: String,
    /// The one-way network times to other data centres; missing ones count as far.
    #[serde(default)]
    pub distances: Vec<Distance>,
}

/// The one-way network time to another data centre.
#[document]
#[serde(deny_unknown_fields)]
pub struct Distance {
    /// The name of the other data centre.
    pub to: String,
    /// The one-way time in microseconds.
    pub one_way_us: u32,
}
