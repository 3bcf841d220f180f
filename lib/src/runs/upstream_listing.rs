//! The upstreams that are listed, with those that an outage of the store may have dropped.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use super::listed_upstream::ListedUpstream;
use super::listed_upstream::ListingChange;
use super::resources::Resources;
use crate::time::Timestamp;

/// The upstreams that are listed.
///
/// Entries may lapse while the store is away although their upstreams live. Such a removal takes
/// effect only once the upstream had time to list itself again.
#[derive(Debug)]
pub(crate) struct UpstreamListing {
    listed: IndexMap<Arc<str>, Arc<ListedUpstream>>,
    /// Removed entries that may come back, with the time at which they are gone.
    lapsed: IndexMap<Arc<str>, Timestamp>,
    relisting: Duration,
    is_store_away: bool,
    regained_at: Option<Timestamp>,
}

impl UpstreamListing {
    pub(crate) fn new(relisting: Duration) -> Self {
        UpstreamListing {
            listed: IndexMap::new(),
            lapsed: IndexMap::new(),
            relisting,
            is_store_away: false,
            regained_at: None,
        }
    }

    pub(crate) fn store_lost(&mut self) {
        self.is_store_away = true;
    }

    pub(crate) fn store_regained(&mut self, now: Timestamp) {
        if std::mem::take(&mut self.is_store_away) {
            self.regained_at = Some(now);
        }
    }

    /// Takes in changes; gives the upstreams that are gone.
    pub(crate) fn apply(&mut self, now: Timestamp, changes: Vec<ListingChange>) -> Vec<Arc<str>> {
        let mut gone = Vec::new();
        for change in changes {
            match change {
                ListingChange::Listed(upstream) => {
                    self.lapsed.swap_remove(&upstream.id);
                    self.listed.insert(upstream.id.clone(), upstream);
                }
                ListingChange::Removed(id) => match self.may_come_back_until(now) {
                    Some(until) if self.listed.contains_key(&id) => {
                        tracing::info!(upstream = %id, "entry lapsed while the store was away");
                        self.lapsed.insert(id, until);
                    }
                    _ => {
                        self.listed.swap_remove(&id);
                        gone.push(id);
                    }
                },
            }
        }
        gone
    }

    /// Until when an entry that vanishes now may come back.
    fn may_come_back_until(&self, now: Timestamp) -> Option<Timestamp> {
        if self.is_store_away {
            return Some(now + self.relisting);
        }
        let until = self.regained_at? + self.relisting;
        (until > now).then_some(until)
    }

    /// Takes out the upstreams whose entries did not come back in time; gives them.
    pub(crate) fn expire(&mut self, now: Timestamp) -> Vec<Arc<str>> {
        if self.is_store_away {
            return Vec::new();
        }
        let lapsed = self.lapsed.extract_if(.., |_, until| *until <= now);
        let gone: Vec<Arc<str>> = lapsed.map(|(id, _)| id).collect();
        for id in &gone {
            tracing::info!(upstream = %id, "entry did not come back: upstream gone");
            self.listed.swap_remove(id);
        }
        gone
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Arc<ListedUpstream>> {
        self.listed.values()
    }

    /// Whether some listed upstream of the service could run such a task when nothing else ran.
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
