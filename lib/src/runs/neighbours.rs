//! Which instances tell each other their load.
//!
//! Each instance chooses some to place work at, most of its own data centre; both sides of a choice
//! send heartbeats. So their number for an instance is bounded however many there are.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::roster::Member;
use super::roster::Roster;

/// How many of its own data centre an instance chooses.
const NEAR: usize = 8;

/// How many of other data centres it chooses, for when its own is full.
const FAR: usize = 4;

/// The other instances with which `own` exchanges heartbeats.
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

/// The instances that `member` chooses.
fn chosen<'a>(member: &Member, roster: &'a Roster) -> Vec<&'a str> {
    let seed = xxh3_64_with_seed(member.name.as_bytes(), 0);
    let is_near = |other: &Member| other.data_centre == member.data_centre;
    let others = roster
        .members
        .iter()
        .filter(|other| other.name != member.name);
    let (near, far): (Vec<&Member>, Vec<&Member>) = others.partition(|other| is_near(other));
    // What few there are near leaves its places to those far.
    let far_places = FAR + NEAR.saturating_sub(near.len());
    let mut chosen = best(near, seed, NEAR);
    chosen.extend(best(far, seed, far_places));
    chosen
}

fn best(mut members: Vec<&Member>, seed: u64, most: usize) -> Vec<&str> {
    members.sort_by_cached_key(|member| xxh3_64_with_seed(member.name.as_bytes(), seed));
    members.truncate(most);
    members.into_iter().map(|member| &*member.name).collect()
}
