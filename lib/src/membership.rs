//! Which instances live, as far as this entry instance knows.

use std::net::SocketAddr;
use std::sync::Arc;

use almondhead_macros::value;

use crate::id::Incarnation;

/// The instances as the platform's list and the document name them.
#[value]
#[derive(Default)]
pub struct Membership {
    /// Entry instances other than this one.
    pub siblings: Vec<Sibling>,
    /// Incarnations of entry instances that the platform listed before and that have ended.
    pub ended: Vec<Incarnation>,
    /// The names of upstreams that the platform lists as leaving.
    pub leaving_upstreams: Vec<Arc<str>>,
}

/// Another entry instance.
#[value]
pub struct Sibling {
    /// Its name.
    pub name: Arc<str>,
    /// The name of its data centre.
    pub data_centre: Arc<str>,
    /// The address at which it takes messages.
    pub peer_address: SocketAddr,
    /// The incarnation that the platform's list names, when it names one.
    pub incarnation: Option<Incarnation>,
    /// Whether it is leaving and takes no new work.
    pub leaving: bool,
}
