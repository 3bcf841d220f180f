//! Assignment of upstreams to the entry instances that own them, by rendezvous hashing.

use almondhead_macros::value;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// An upstream to assign to an owner.
#[value]
#[derive(Copy)]
pub struct OwnedUpstream<'a> {
    /// Its unique name.
    pub name: &'a str,
    /// The number of tasks that it can run at a time.
    pub slots: u32,
}

/// An upstream and a possible owner; pairs with higher scores are assigned first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Pair {
    score: u64,
    upstream: usize,
    instance: usize,
}

/// The index of the owning instance of each upstream, in the order of `upstreams`.
///
/// Instances own nearly the same number of slots. The result depends only on the names and slots,
/// not on their order, and few upstreams change owner when an instance joins or leaves. It is
/// empty without instances.
pub fn assign_owners(upstreams: &[OwnedUpstream<'_>], instances: &[&str]) -> Vec<usize> {
    if instances.is_empty() {
        return Vec::new();
    }
    let mut assignment = Assignment::new(upstreams, instances.len());
    let pairs = ranked_pairs(upstreams, instances);
    assignment.assign_within(&pairs, assignment.even_share());
    assignment.assign_within(&pairs, assignment.even_share() + assignment.max_slots());
    assignment
        .owners
        .into_iter()
        .map(|owner| owner.expect("the cap of the second pass admits every upstream"))
        .collect()
}

/// The index of the instance that owns an upstream; `None` without instances.
///
/// It depends only on the names of the upstream and the instances, so all who know the same
/// instances find the same owner whatever other upstreams they know.
pub fn rendezvous_owner(upstream: &str, instances: &[&str]) -> Option<usize> {
    let seed = xxh3_64_with_seed(upstream.as_bytes(), 0);
    let scores = instances.iter().enumerate();
    let scores = scores.map(|(index, name)| (score(seed, name), index));
    scores.max().map(|(_, index)| index)
}

/// The rendezvous hash of an instance for an upstream with this seed.
fn score(upstream_seed: u64, instance: &str) -> u64 {
    xxh3_64_with_seed(instance.as_bytes(), upstream_seed)
}

/// All pairs in descending order of their scores.
fn ranked_pairs(upstreams: &[OwnedUpstream<'_>], instances: &[&str]) -> Vec<Pair> {
    let mut pairs = Vec::with_capacity(upstreams.len() * instances.len());
    for (upstream, owned) in upstreams.iter().enumerate() {
        let seed = xxh3_64_with_seed(owned.name.as_bytes(), 0);
        for (instance, name) in instances.iter().enumerate() {
            let score = score(seed, name);
            pairs.push(Pair {
                score,
                upstream,
                instance,
            });
        }
    }
    pairs.sort_unstable_by(|left, right| right.cmp(left));
    pairs
}

/// The owners assigned so far and the slots of each instance.
struct Assignment<'a> {
    upstreams: &'a [OwnedUpstream<'a>],
    owners: Vec<Option<usize>>,
    owned_slots: Vec<u64>,
}

impl<'a> Assignment<'a> {
    fn new(upstreams: &'a [OwnedUpstream<'a>], instances: usize) -> Self {
        Assignment {
            upstreams,
            owners: vec![None; upstreams.len()],
            owned_slots: vec![0; instances],
        }
    }

    /// The slots per instance if they could be split evenly, rounded down.
    fn even_share(&self) -> u64 {
        let total: u64 = self
            .upstreams
            .iter()
            .map(|owned| u64::from(owned.slots))
            .sum();
        total / self.owned_slots.len() as u64
    }

    fn max_slots(&self) -> u64 {
        let max = self.upstreams.iter().map(|owned| owned.slots).max();
        u64::from(max.unwrap_or(0))
    }

    /// Assigns upstreams without an owner to instances that stay within `cap` slots.
    fn assign_within(&mut self, pairs: &[Pair], cap: u64) {
        for pair in pairs {
            let slots = u64::from(self.upstreams[pair.upstream].slots);
            let owned = &mut self.owned_slots[pair.instance];
            let owner = &mut self.owners[pair.upstream];
            if owner.is_none() && *owned + slots <= cap {
                *owner = Some(pair.instance);
                *owned += slots;
            }
        }
    }
}
