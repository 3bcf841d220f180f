//! Which upstreams an instance is to own.

use std::sync::Arc;

use indexmap::IndexMap;

use super::listed_upstream::ListedUpstream;
use super::roster::Member;
use super::roster::Roster;
use super::upstream_listing::UpstreamListing;
use crate::ownership::OwnedUpstream;
use crate::ownership::assign_owners;

/// The upstreams that `instance` is to own by this roster.
///
/// Those of a data centre belong to its own instances, evenly by processor; where it has none, to
/// those of all others.
pub(crate) fn assigned_to(
    instance: &str,
    roster: &Roster,
    listing: &UpstreamListing,
) -> Vec<Arc<ListedUpstream>> {
    let mut by_data_centre: IndexMap<&str, Vec<&Arc<ListedUpstream>>> = IndexMap::new();
    for upstream in listing.iter() {
        let of_data_centre = by_data_centre.entry(&upstream.data_centre).or_default();
        of_data_centre.push(upstream);
    }
    let mut assigned = Vec::new();
    for (data_centre, mut upstreams) in by_data_centre {
        let owners = owners_of(data_centre, roster);
        if !owners.contains(&instance) {
            continue;
        }
        upstreams.sort_by(|left, right| left.id.cmp(&right.id));
        let shares: Vec<OwnedUpstream<'_>> = upstreams.iter().map(|u| share(u)).collect();
        let chosen = assign_owners(&shares, &owners);
        let own = upstreams.into_iter().zip(chosen);
        let own = own.filter(|(_, owner)| owners[*owner] == instance);
        assigned.extend(own.map(|(upstream, _)| upstream.clone()));
    }
    assigned
}

fn owners_of<'a>(data_centre: &str, roster: &'a Roster) -> Vec<&'a str> {
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

fn share(upstream: &ListedUpstream) -> OwnedUpstream<'_> {
    OwnedUpstream {
        name: &upstream.id,
        slots: upstream.room.cpu_millicores / 1_000,
    }
}
