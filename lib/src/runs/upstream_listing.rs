//! The listed upstreams, including those whose entries may have expired only because of a store outage.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use super::listed_upstream::ListedUpstream;
use super::listed_upstream::ListingChange;
use super::resources::Resources;
use crate::time::Timestamp;

/// The upstreams that are listed.
///
/// While the store is unreachable, entries may expire although their upstreams still run. Such a
/// removal takes effect only after the upstream has had time to list itself again.
#[derive(Debug)]
pub(crate) struct UpstreamListing {
    listed: IndexMap<Arc<str>, Arc<ListedUpstream>>,
    /// Removed entries that may still be listed again, with the time at which the removal takes effect.
    pending_removals: IndexMap<Arc<str>, Timestamp>,
    /// How long upstreams may take to list themselves again once the store is reachable.
    relisting_grace: Duration,
    is_store_unreachable: bool,
    /// When the store was last reachable again after an outage; none before the first one.
    regained_at: Option<Timestamp>,
    /// Counts the changes of the listed upstreams.
    revision: u64,
}

impl UpstreamListing {
    pub(crate) fn new(relisting_grace: Duration) -> Self {
        UpstreamListing {
            listed: IndexMap::new(),
            pending_removals: IndexMap::new(),
            relisting_grace,
            is_store_unreachable: false,
            regained_at: None,
            revision: 0,
        }
    }

    /// Handles that the store has become unreachable.
    pub(crate) fn on_store_lost(&mut self) {
        self.is_store_unreachable = true;
    }

    /// Handles that the store is reachable again.
    pub(crate) fn on_store_regained(&mut self, now: Timestamp) {
        if std::mem::take(&mut self.is_store_unreachable) {
            self.regained_at = Some(now);
        }
    }

    /// Applies changes of the list; returns the ids of the upstreams that are gone.
    pub(crate) fn apply(&mut self, now: Timestamp, changes: Vec<ListingChange>) -> Vec<Arc<str>> {
        let mut gone = Vec::new();
        for change in changes {
            match change {
                ListingChange::Listed(upstream) => {
                    self.pending_removals.swap_remove(&upstream.id);
                    // Most entries change only in the number of their heartbeat.
                    if self.listed.get(&upstream.id) != Some(&upstream) {
                        self.listed.insert(upstream.id.clone(), upstream);
                        self.revision += 1;
                    }
                }
                ListingChange::Removed(id) => match self.may_relist_until(now) {
                    Some(until) if self.listed.contains_key(&id) => {
                        tracing::info!(upstream = %id, "entry removed during a store outage: kept for now");
                        self.pending_removals.insert(id, until);
                    }
                    _ => {
                        self.listed.swap_remove(&id);
                        self.revision += 1;
                        gone.push(id);
                    }
                },
            }
        }
        gone
    }

    /// Until when an upstream whose entry is removed now may list itself again; none when the removal
    /// takes effect at once.
    fn may_relist_until(&self, now: Timestamp) -> Option<Timestamp> {
        if self.is_store_unreachable {
            return Some(now + self.relisting_grace);
        }
        let until = self.regained_at? + self.relisting_grace;
        (until > now).then_some(until)
    }

    /// Removes the upstreams that have not listed themselves again in time; returns their ids.
    pub(crate) fn expire(&mut self, now: Timestamp) -> Vec<Arc<str>> {
        if self.is_store_unreachable {
            return Vec::new();
        }
        let expired = self
            .pending_removals
            .extract_if(.., |_, until| *until <= now);
        let gone: Vec<Arc<str>> = expired.map(|(id, _)| id).collect();
        for id in &gone {
            tracing::info!(upstream = %id, "upstream gone: not listed again after a store outage");
            self.listed.swap_remove(id);
            self.revision += 1;
        }
        gone
    }

    /// Rises with each change of the listed upstreams.
    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// The listed upstreams.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Arc<ListedUpstream>> {
        self.listed.values()
    }

    /// Whether some listed upstream of the service could run such a task if nothing else ran there.
    pub(crate) fn can_ever_run(
        &self,
        service: &str,
        demand: Resources,
        label: Option<&str>,
    ) -> bool {
        self.iter().any(|upstream| {
            let has_label = label.is_none_or(|label| upstream.has_label(label));
            &*upstream.service == service && demand.fits(upstream.capacity) && has_label
        })
    }

    /// Whether an upstream of the service is listed.
    pub(crate) fn has_service(&self, service: &str) -> bool {
        self.iter().any(|upstream| &*upstream.service == service)
    }
}
