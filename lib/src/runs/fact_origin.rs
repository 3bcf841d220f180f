//! Where an instance learned a fact of the platform's store, for logs.

use std::sync::Arc;

use almondhead_macros::value;
use derive_more::Display;

use super::run_dispatcher::RunDispatcher;
use super::run_id::PeerKey;

/// Where an instance learned what is stored.
#[value]
#[derive(Default, Display)]
pub(crate) enum FactOrigin {
    /// Nowhere yet.
    #[default]
    #[display("nowhere")]
    Unknown,
    /// From the store.
    #[display("store")]
    Store,
    /// From another instance.
    #[display("{_0}")]
    Instance(Arc<str>),
}

impl RunDispatcher {
    /// The origin of what this peer sends.
    pub(crate) fn origin(&self, peer: PeerKey) -> FactOrigin {
        let peer = self.peers.peers.get(peer);
        peer.map_or(FactOrigin::Unknown, |peer| {
            FactOrigin::Instance(peer.name.clone())
        })
    }
}
