//! The border to the transport between entry instances.

use almondhead_lib::membership::Membership;
use almondhead_lib::peer_message::PeerMessage;

/// Sends messages to other entry instances, each at most once and without waiting.
pub(crate) trait Outbound: Send + Sync {
    /// Sends `message` to `instance`, or drops it when that is not reachable.
    fn send(&self, instance: &str, message: PeerMessage);

    /// Tells the transport under which addresses the instances are reached.
    fn update(&self, membership: &Membership);
}

/// Drops every message: for a site of one entry instance.
pub(crate) struct NoPeers;

impl Outbound for NoPeers {
    fn send(&self, _instance: &str, _message: PeerMessage) {}

    fn update(&self, _membership: &Membership) {}
}
