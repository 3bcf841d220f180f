//! Which instances exchange heartbeats with their load.
//!
//! Each instance chooses a few others to place work at, most of them in its own data centre, by
//! rendezvous hashing; both sides of a choice send heartbeats. So the number of heartbeats of an
//! instance stays bounded as the site grows.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::roster::Member;
use super::roster::Roster;

/// How many others of its own data centre an instance chooses.
const NEAR_NEIGHBOURS: usize = 8;

/// How many of other data centres an instance chooses, for when its own is full.
const FAR_NEIGHBOURS: usize = 4;

/// The names of the instances with which `own` exchanges heartbeats; all of them when the roster does
/// not list `own`.
pub(crate) fn neighbours(own: &str, roster: &Roster) -> Vec<Arc<str>> {
    let Some(own) = roster.member(own) else {
        return roster
            .members
            .iter()
            .map(|member| member.name.clone())
            .collect();
    };
    let others = roster
        .members
        .iter()
        .filter(|member| member.name != own.name);
    let chosen_by_own = chosen(own, roster);
    let neighbours = others.filter(|other| {
        chosen_by_own.contains(&&*other.name) || chosen(other, roster).contains(&&*own.name)
    });
    neighbours.map(|member| member.name.clone()).collect()
}

/// The names of the instances that `member` chooses.
fn chosen<'a>(member: &Member, roster: &'a Roster) -> Vec<&'a str> {
    let seed = xxh3_64_with_seed(member.name.as_bytes(), 0);
    let is_near = |other: &Member| other.data_centre == member.data_centre;
    let others = roster
        .members
        .iter()
        .filter(|other| other.name != member.name);
    let (near, far): (Vec<&Member>, Vec<&Member>) = others.partition(|other| is_near(other));
    // Places that its own data centre cannot fill go to other data centres.
    let far_count = FAR_NEIGHBOURS + NEAR_NEIGHBOURS.saturating_sub(near.len());
    let mut chosen = lowest_hashes(near, seed, NEAR_NEIGHBOURS);
    chosen.extend(lowest_hashes(far, seed, far_count));
    chosen
}

/// The names of the `count` members with the lowest hashes.
fn lowest_hashes(mut members: Vec<&Member>, seed: u64, count: usize) -> Vec<&str> {
    members.sort_by_cached_key(|member| xxh3_64_with_seed(member.name.as_bytes(), seed));
    members.truncate(count);
    members.into_iter().map(|member| &*member.name).collect()
}
