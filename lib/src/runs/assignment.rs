//! Assignment of upstreams to the instances that own them.

use std::sync::Arc;

use indexmap::IndexMap;

use super::listed_upstream::ListedUpstream;
use super::roster::Member;
use super::roster::Roster;
use super::upstream_listing::UpstreamListing;
use crate::ownership::rendezvous_owner;

/// The listed upstreams that are assigned to `instance`.
///
/// The upstreams of a data centre are assigned to its own instances or, if it has none, to those
/// of all other data centres. The owner of an upstream depends on the roster alone: instances
/// whose listings differ temporarily agree on it, so the roster's version can fence ownership.
pub(crate) fn assigned_to(
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
    let mut owners: IndexMap<&str, Vec<&str>> = IndexMap::new();
    listing.iter().map(move |upstream| {
        let data_centre: &str = &upstream.data_centre;
        let owners = owners
            .entry(data_centre)
            .or_insert_with(|| candidate_owners(data_centre, roster));
        let owner = rendezvous_owner(&upstream.id, owners);
        (upstream, owner.map(|owner| owners[owner]))
    })
}

fn candidate_owners<'a>(data_centre: &str, roster: &'a Roster) -> Vec<&'a str> {
    let staying = || roster.members.iter().filter(|member| !member.leaving);
    let near = staying().filter(|member| &*member.data_centre == data_centre);
    let mut owners: Vec<&str> = near.map(name).collect();
    if owners.is_empty() {
        owners = staying().map(name).collect();
    }
    owners.sort_unstable();
    owners
}

fn name(member: &Member) -> &str {
    &member.name
}
