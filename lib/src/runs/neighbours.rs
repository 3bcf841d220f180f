//! Which instances exchange heartbeats with their load.
//!
//! Each instance chooses a few others to place work at, most of them in its own data centre, by
//! rendezvous hashing weighted by processor capacity; both sides of a choice send heartbeats. So the number of heartbeats of an
//! instance stays bounded as the site grows.

use std::cmp::Ordering;
use std::cmp::Reverse;
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::roster::Member;
use super::roster::Roster;
use crate::ownership::is_higher_score;

/// How many others of its own data centre an instance chooses.
const NEAR_NEIGHBOURS: usize = 8;

/// How many of other data centres an instance chooses, for when its own is full.
const FAR_NEIGHBOURS: usize = 4;

/// A member and its weight.
type Weighted<'a> = (&'a Member, u32);

/// The names of the instances with which `own` exchanges heartbeats; all of them when the roster does
/// not list `own`.
///
/// Larger instances own more upstreams and are chosen more often, so that the neighbours of an
/// instance own most upstreams of its data centre. Capacities count only if all members declare
/// one: both sides of a choice must find it, also when one of them runs an older program.
pub(crate) fn neighbours(own: &str, roster: &Roster) -> Vec<Arc<str>> {
    let Some(own) = roster.member(own) else {
        return roster
            .members
            .iter()
            .map(|member| member.name.clone())
            .collect();
    };
    let mut members = roster.member_weights();
    members.sort_by_key(|(_, weight)| Reverse(*weight));
    let others = roster
        .members
        .iter()
        .filter(|member| member.name != own.name);
    let chosen_by_own = chosen(own, &members);
    let neighbours = others.filter(|other| {
        chosen_by_own.contains(&&*other.name) || chosen(other, &members).contains(&&*own.name)
    });
    neighbours.map(|member| member.name.clone()).collect()
}

/// The names of the instances that `member` chooses of members in descending order of weight.
fn chosen<'a>(member: &Member, members: &[Weighted<'a>]) -> Vec<&'a str> {
    let seed = xxh3_64_with_seed(member.name.as_bytes(), 0);
    let is_near = |other: &Member| other.data_centre == member.data_centre;
    let others = members
        .iter()
        .filter(|(other, _)| other.name != member.name);
    let (near, far): (Vec<Weighted<'_>>, Vec<Weighted<'_>>) =
        others.partition(|(other, _)| is_near(other));
    // Places that its own data centre cannot fill go to other data centres.
    let far_count = FAR_NEIGHBOURS + NEAR_NEIGHBOURS.saturating_sub(near.len());
    let mut chosen = lowest_hashes(&near, seed, NEAR_NEIGHBOURS);
    chosen.extend(lowest_hashes(&far, seed, far_count));
    chosen
}

/// The names of the `count` members with the lowest hashes in relation to their weights; `members`
/// are in descending order of weight.
fn lowest_hashes<'a>(members: &[Weighted<'a>], seed: u64, count: usize) -> Vec<&'a str> {
    // The lowest hashes so far, in ascending order.
    let mut lowest: Vec<u64> = Vec::with_capacity(count + 1);
    let mut eligible: Vec<(u64, u32, &str)> = Vec::new();
    for (member, weight) in members {
        let hash = xxh3_64_with_seed(member.name.as_bytes(), seed);
        // `count` members with lower hashes and at least the same weight precede this one, without
        // a logarithm.
        if lowest.len() == count && lowest.last().is_none_or(|last| hash > *last) {
            continue;
        }
        lowest.insert(lowest.partition_point(|other| *other <= hash), hash);
        lowest.truncate(count);
        eligible.push((hash, *weight, &member.name));
    }
    eligible.sort_by(|left, right| by_weighted_hash((left.0, left.1), (right.0, right.1)));
    eligible.truncate(count);
    eligible.into_iter().map(|(_, _, name)| name).collect()
}

fn by_weighted_hash(left: (u64, u32), right: (u64, u32)) -> Ordering {
    if left.1 == right.1 {
        return left.0.cmp(&right.0);
    }
    // Scores prefer high hashes.
    let (left, right) = ((!left.0, left.1), (!right.0, right.1));
    match (is_higher_score(left, right), is_higher_score(right, left)) {
        (true, _) => Ordering::Less,
        (_, true) => Ordering::Greater,
        _ => Ordering::Equal,
    }
}
