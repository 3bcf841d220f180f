//! The entries with which upstreams list themselves at the platform.

use std::net::SocketAddr;
use std::sync::Arc;

use almondhead_macros::value;

use super::resources::Resources;
use crate::time::Timestamp;

/// An upstream's entry in the platform's list.
#[value]
pub struct ListedUpstream {
    /// Its unique name.
    pub id: Arc<str>,
    /// The service whose tasks it runs.
    pub service: Arc<str>,
    /// The address that takes orders.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Whether it is about to leave and takes no new work.
    pub draining: bool,
    /// Its whole capacity, free or in use.
    pub capacity: Resources,
    /// Its kind and its rack.
    pub labels: Vec<Arc<str>>,
    /// When its current incarnation began, in milliseconds since the Unix epoch, where it reports that.
    pub born_unix_ms: Option<u64>,
}

impl ListedUpstream {
    /// Whether it has this label.
    pub(crate) fn has_label(&self, label: &str) -> bool {
        self.labels.iter().any(|own| &**own == label)
    }

    /// Whether another entry is of the same incarnation, or of one that can run the same tasks.
    pub(crate) fn is_alike(&self, other: &ListedUpstream) -> bool {
        let kind = |upstream: &ListedUpstream| {
            let (service, labels) = (upstream.service.clone(), upstream.labels.clone());
            (service, labels, upstream.capacity)
        };
        self.born_unix_ms == other.born_unix_ms || kind(self) == kind(other)
    }
}

/// A change in the list of upstreams.
#[value]
pub struct ListingChange {
    /// The upstream's name.
    pub id: Arc<str>,
    /// The version of the store that the change produced.
    pub version: u64,
    /// Its entry from now on; none when it is no longer listed.
    pub upstream: Option<Arc<ListedUpstream>>,
}

/// What a read of the upstreams' entries brought.
#[value]
pub struct ListingRead {
    /// The names of all upstreams with an entry, if all entries were read.
    pub all_ids: Option<Vec<Arc<str>>>,
    /// The version of the store up to which every change has been read.
    pub version: u64,
    /// The entries that have changed.
    pub changes: Vec<ListingChange>,
    /// The time before which every change has been read, which is when the read was requested; none if
    /// more changes wait to be read.
    pub as_of: Option<Timestamp>,
}
