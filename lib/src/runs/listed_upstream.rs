//! Upstreams as they list themselves at the platform.

use std::net::SocketAddr;
use std::sync::Arc;

use almondhead_macros::value;

use super::resources::Resources;

/// One upstream's own entry.
#[value]
pub struct ListedUpstream {
    /// Its unique name.
    pub id: Arc<str>,
    /// The service whose tasks it runs.
    pub service: Arc<str>,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Whether it is about to leave and takes no new work.
    pub draining: bool,
    /// What it has in all.
    pub capacity: Resources,
    /// Its kind and its rack.
    pub labels: Vec<Arc<str>>,
    /// When this life of it began, in milliseconds since the Unix epoch, where it says so.
    pub born_unix_ms: Option<u64>,
}

impl ListedUpstream {
    /// Whether it has a label.
    pub(crate) fn has_label(&self, label: &str) -> bool {
        self.labels.iter().any(|own| &**own == label)
    }
}

/// A change of the list.
#[value]
pub enum ListingChange {
    /// The upstream is listed so now.
    Listed(Arc<ListedUpstream>),
    /// The upstream with this name is listed no more.
    Removed(Arc<str>),
}
