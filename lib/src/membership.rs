//! The live, leaving and ended instances known to this entry instance.

use std::net::SocketAddr;
use std::sync::Arc;

use almondhead_macros::value;

use crate::id::Incarnation;

/// The instances in the platform's list and in the document.
#[value]
#[derive(Default)]
pub struct Membership {
    /// Entry instances other than this one.
    pub siblings: Vec<Sibling>,
    /// Incarnations of entry instances that the platform has listed and that have ended.
    pub ended: Vec<Incarnation>,
    /// The names of upstreams that the platform lists as leaving.
    pub leaving_upstreams: Vec<Arc<str>>,
}

/// A sibling: an entry instance other than this one.
#[value]
pub struct Sibling {
    /// Its name.
    pub name: Arc<str>,
    /// The name of its data centre.
    pub data_centre: Arc<str>,
    /// The address at which it receives peer messages.
    pub peer_address: SocketAddr,
    /// Its incarnation, if the platform's list has one.
    pub incarnation: Option<Incarnation>,
    /// Whether it is leaving and accepts no new work.
    pub leaving: bool,
}
