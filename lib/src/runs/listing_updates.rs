//! What the dispatcher does with changes of the upstreams' entries, read here or by another instance.

use std::sync::Arc;

use super::listed_upstream::ListingRead;
use super::listing_relay::ListingUpdate;
use super::run_action::RunAction;
use super::run_dispatcher::RunDispatcher;
use super::run_id::PeerKey;
use super::run_message::RunMessage;
use super::upstream_listing::AppliedChanges;
use crate::time::Timestamp;

impl RunDispatcher {
    /// Applies a read of the upstreams' entries, and passes on what it changed where this instance
    /// reads for others.
    pub(crate) fn handle_listing_read(&mut self, read: ListingRead) {
        let (version, as_of) = (read.version, read.as_of);
        let applied = self.listing.apply_read(self.now, read);
        let relay = &mut self.listing_relay;
        let after = relay.record_read(version, as_of);
        self.follow_listing(&applied);
        let Some(after) = after else {
            return;
        };
        let update = ListingUpdate {
            after,
            version,
            changes: applied.deciding,
            age: as_of.map(|as_of| self.now.since(as_of)),
        };
        let receivers = self.listing_relay.receivers();
        let receivers = receivers.filter_map(|name| self.peers.by_name(name));
        for receiver in receivers.collect::<Vec<_>>() {
            self.send(receiver, RunMessage::Listing(update.clone()));
        }
    }

    /// Applies what another instance has read of the upstreams' entries.
    ///
    /// `sent_at` is when it was sent, on this instance's clock, if that is known.
    pub(crate) fn handle_listing_update(
        &mut self,
        peer: PeerKey,
        sender: &Arc<str>,
        sent_at: Option<Timestamp>,
        update: ListingUpdate,
    ) {
        if sent_at.is_none() {
            self.show_clock(peer);
        }
        let relay = &mut self.listing_relay;
        if !relay.record_update(sender, sent_at, &update) {
            tracing::info!(
                instance = %sender,
                after = update.after,
                known = relay.version(),
                "changes of the listing missed: reading it"
            );
            return;
        }
        let applied = self.listing.apply(self.now, update.changes);
        self.follow_listing(&applied);
    }

    /// Takes over and releases upstreams as the changes of the listing require.
    fn follow_listing(&mut self, applied: &AppliedChanges) {
        self.owner.known_listing = self.listing_relay.known().clone();
        self.forget_upstreams(&applied.gone);
        if !applied.deciding.is_empty() {
            self.assign_upstreams();
        }
    }

    /// Starts or stops to read the upstreams' entries.
    pub(crate) fn switch_listing_reads(&mut self) {
        let is_on = self.listing_relay.must_read(self.now);
        if is_on != self.reads_listing {
            self.reads_listing = is_on;
            let known_version = self.listing_relay.version();
            tracing::info!(is_on, known_version, "reading of the listing switched");
            self.actions.push(RunAction::ReadListing {
                is_on,
                known_version,
            });
        }
    }
}
