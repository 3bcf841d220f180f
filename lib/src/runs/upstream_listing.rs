//! The listed upstreams, including those whose entries may have expired only because of a store outage.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use super::listed_upstream::ListedUpstream;
use super::listed_upstream::ListingChange;
use super::listed_upstream::ListingRead;
use super::resources::Resources;
use crate::time::Timestamp;

/// The maximum number of removed upstreams whose last change is remembered.
const MAX_REMOVED_VERSIONS: usize = 4_096;

/// What changes of the list changed here.
#[derive(Debug, Default)]
pub(crate) struct AppliedChanges {
    /// The upstreams that are gone.
    pub(crate) gone: Vec<Arc<str>>,
    /// The changes that may change a decision, which most heartbeats do not.
    pub(crate) deciding: Vec<ListingChange>,
}

/// The upstreams that are listed.
///
/// While the store is unreachable, entries may expire although their upstreams still run. Such a
/// removal takes effect only after the upstream has had time to list itself again.
#[derive(Debug)]
pub(crate) struct UpstreamListing {
    listed: IndexMap<Arc<str>, Arc<ListedUpstream>>,
    /// The version of the last change of each upstream, listed or removed.
    ///
    /// Changes arrive from the store and from other instances, in any order.
    versions: IndexMap<Arc<str>, u64>,
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
            versions: IndexMap::new(),
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

    /// Applies a read of the list; returns what it changed.
    pub(crate) fn apply_read(&mut self, now: Timestamp, read: ListingRead) -> AppliedChanges {
        let mut changes = read.changes;
        if let Some(all_ids) = read.all_ids {
            let all_ids: IndexSet<Arc<str>> = all_ids.into_iter().collect();
            let removed = self.listed.keys().filter(|id| !all_ids.contains(*id));
            let removed: Vec<ListingChange> = removed
                .map(|id| ListingChange {
                    id: id.clone(),
                    version: read.version,
                    upstream: None,
                })
                .collect();
            changes.extend(removed);
        }
        self.apply(now, changes)
    }

    /// Applies changes of the list that are newer than those known; returns what they changed.
    pub(crate) fn apply(&mut self, now: Timestamp, changes: Vec<ListingChange>) -> AppliedChanges {
        let mut applied = AppliedChanges::default();
        for change in changes {
            let known = self.versions.get(&change.id);
            if known.is_some_and(|known| change.version <= *known) {
                continue;
            }
            self.versions.insert(change.id.clone(), change.version);
            if self.apply_change(now, &change, &mut applied.gone) {
                applied.deciding.push(change);
            }
        }
        self.forget_old_versions();
        applied
    }

    /// Applies a change; returns whether it changed more than a heartbeat does.
    fn apply_change(
        &mut self,
        now: Timestamp,
        change: &ListingChange,
        gone: &mut Vec<Arc<str>>,
    ) -> bool {
        let id = &change.id;
        let Some(upstream) = &change.upstream else {
            let is_listed = self.listed.contains_key(id);
            match self.may_relist_until(now) {
                Some(until) if is_listed => {
                    tracing::info!(upstream = %id, "entry removed during a store outage: kept for now");
                    self.pending_removals.insert(id.clone(), until);
                }
                _ => {
                    self.listed.swap_remove(id);
                    self.revision += 1;
                    gone.push(id.clone());
                }
            }
            return is_listed;
        };
        let was_pending = self.pending_removals.swap_remove(id).is_some();
        // Most entries change only in the number of their heartbeat.
        let is_changed = self.listed.get(id) != Some(upstream);
        if is_changed {
            self.listed.insert(id.clone(), upstream.clone());
            self.revision += 1;
        }
        is_changed || was_pending
    }

    /// Forgets the earlier half of the removals when there are too many.
    fn forget_old_versions(&mut self) {
        let listed = &self.listed;
        if self.versions.len() <= listed.len() + MAX_REMOVED_VERSIONS {
            return;
        }
        let removed = self
            .versions
            .iter()
            .filter(|(id, _)| !listed.contains_key(*id));
        let mut removed: Vec<u64> = removed.map(|(_, version)| *version).collect();
        removed.sort_unstable();
        let oldest_kept = removed[removed.len() / 2];
        self.versions
            .retain(|id, version| *version >= oldest_kept || listed.contains_key(id));
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
