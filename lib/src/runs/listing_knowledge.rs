//! How much of the upstreams' entries an instance knows.

use super::fact_origin::FactOrigin;
use crate::time::Timestamp;

/// The changes of the upstreams' entries on which an instance decides.
#[derive(Clone, Debug, Default)]
pub(crate) struct ListingKnowledge {
    /// The version of the store up to which they are known; none before the first read.
    pub(crate) version: Option<u64>,
    /// The time before which all of them are known; none before the first read.
    pub(crate) as_of: Option<Timestamp>,
    /// Where the latest ones came from.
    pub(crate) origin: FactOrigin,
}
