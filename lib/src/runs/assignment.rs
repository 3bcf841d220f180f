//! Assignment of upstreams to the instances that own them.

use std::sync::Arc;

use indexmap::IndexMap;

use super::listed_upstream::ListedUpstream;
use super::roster::Member;
use super::roster::Roster;
use super::upstream_listing::UpstreamListing;
use crate::ownership::WeightedOwners;

/// The upstreams that are assigned to one instance, worked out again only when the members of the
/// roster or the listed upstreams have changed.
///
/// The roster is read twice a second, and most reads differ in heartbeats alone.
#[derive(Debug, Default)]
pub(crate) struct OwnAssignment {
    /// The revision of the listing that it was worked out from; none when the members have changed.
    listing_revision: Option<u64>,
    upstreams: Vec<Arc<ListedUpstream>>,
}

impl OwnAssignment {
    /// Records that the members of the roster have changed.
    pub(crate) fn on_membership_changed(&mut self) {
        self.listing_revision = None;
    }

    /// The listed upstreams that are assigned to `instance`.
    pub(crate) fn upstreams(
        &mut self,
        instance: &str,
        roster: &Roster,
        listing: &UpstreamListing,
    ) -> &[Arc<ListedUpstream>] {
        let revision = Some(listing.revision());
        if self.listing_revision != revision {
            self.listing_revision = revision;
            self.upstreams = assigned_to(instance, roster, listing);
        }
        &self.upstreams
    }
}

/// The listed upstreams that are assigned to `instance`.
///
/// The upstreams of a data centre are assigned to its own instances or, if it has none, to those
/// of all other data centres, in proportion to their processor capacities. The owner of an upstream
/// depends on the roster alone: instances whose listings differ temporarily agree on it, so the
/// roster's version can fence ownership.
fn assigned_to(
    instance: &str,
    roster: &Roster,
    listing: &UpstreamListing,
) -> Vec<Arc<ListedUpstream>> {
    let assigned = with_owners(roster, listing).filter(|(_, owner)| *owner == Some(instance));
    assigned.map(|(upstream, _)| upstream.clone()).collect()
}

/// The listed upstreams, each with the instance that it is assigned to.
pub(crate) fn with_owners<'a>(
    roster: &'a Roster,
    listing: &'a UpstreamListing,
) -> impl Iterator<Item = (&'a Arc<ListedUpstream>, Option<&'a str>)> {
    let mut candidates: IndexMap<&str, WeightedOwners<'_>> = IndexMap::new();
    listing.iter().map(move |upstream| {
        let data_centre: &str = &upstream.data_centre;
        let candidates = candidates
            .entry(data_centre)
            .or_insert_with(|| candidate_owners(data_centre, roster));
        (upstream, candidates.owner(&upstream.id))
    })
}

/// The instances that may own the upstreams of a data centre.
///
/// Their capacities count only if all staying members declare one: a program without weighted
/// ownership declares none and ignores those of others, and during a rolling upgrade all programs
/// must find the same owner under the same version of the roster.
fn candidate_owners<'a>(data_centre: &str, roster: &'a Roster) -> WeightedOwners<'a> {
    let weights = roster.owner_weights();
    let near = weights.iter();
    let near = near.filter(|(member, _)| &*member.data_centre == data_centre);
    let mut candidates: Vec<(&str, u32)> = near.map(named).collect();
    if candidates.is_empty() {
        candidates = weights.iter().map(named).collect();
    }
    WeightedOwners::new(candidates)
}

fn named<'a>((member, weight): &(&'a Member, u32)) -> (&'a str, u32) {
    (&member.name, *weight)
}
