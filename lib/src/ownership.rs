//! Assignment of upstreams to the entry instances that own them, by rendezvous hashing.

use std::cmp::Reverse;

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

/// The instances that may own upstreams, each with its weight.
///
/// Owners are chosen by weighted rendezvous hashing: the score of an instance is its weight divided
/// by `-log2(u)`, where `u` in (0, 1) comes from the hash of upstream and instance, and the highest
/// score owns the upstream. So instances own upstreams in proportion to their weights, and a
/// change of an instance or a weight moves only upstreams from or to that instance.
///
/// The result is the same on every instance: it depends only on names and weights, and it is
/// computed with integers, since the logarithm of a mathematics library may differ in its last bits
/// between builds and processors.
#[derive(Clone, Debug)]
pub struct WeightedOwners<'a> {
    /// In descending order of weight, then by name.
    instances: Vec<(u32, &'a str)>,
}

impl<'a> WeightedOwners<'a> {
    /// Returns the candidates from names and weights in any order; weights of zero count as one.
    pub fn new(instances: impl IntoIterator<Item = (&'a str, u32)>) -> Self {
        let instances = instances.into_iter();
        let mut instances: Vec<(u32, &str)> = instances
            .map(|(name, weight)| (weight.max(1), name))
            .collect();
        instances.sort_unstable_by_key(|(weight, name)| (Reverse(*weight), *name));
        WeightedOwners { instances }
    }

    /// The instance that owns an upstream; `None` without instances. Where all weights are equal,
    /// it is the one that [`rendezvous_owner`] finds among the names in ascending order.
    pub fn owner(&self, upstream: &str) -> Option<&'a str> {
        let seed = xxh3_64_with_seed(upstream.as_bytes(), 0);
        let mut best: Option<(u64, u32, &str)> = None;
        let mut highest_hash = 0;
        for (weight, name) in &self.instances {
            let hash = score(seed, name);
            // An earlier instance has a higher hash and at least the same weight, so at least the
            // same score. Only record hashes get further, a few of a thousand, so that logarithms
            // cost little beside the hashes.
            if hash < highest_hash {
                continue;
            }
            highest_hash = hash;
            let wins = best.is_none_or(|(best_hash, best_weight, _)| {
                *weight == best_weight || is_higher_score((hash, *weight), (best_hash, best_weight))
            });
            if wins {
                best = Some((hash, *weight, name));
            }
        }
        best.map(|(_, _, name)| name)
    }
}

/// Whether the weighted score of a hash and weight is higher than that of another.
pub(crate) fn is_higher_score(left: (u64, u32), right: (u64, u32)) -> bool {
    // left.weight / cost(left.hash) > right.weight / cost(right.hash), without a division.
    let left_product = u128::from(left.1) * u128::from(negative_log2(right.0));
    let right_product = u128::from(right.1) * u128::from(negative_log2(left.0));
    left_product > right_product
}

/// Fractional bits of [`negative_log2`]. Of a million instances, the highest hash is about
/// 2^-20 below 1, which leaves 24 bits of precision.
const LOG2_BITS: u32 = 44;

/// `-log2(hash / 2^64)` as a fixed-point number with [`LOG2_BITS`] fractional bits, above zero and
/// never higher for a higher hash.
fn negative_log2(hash: u64) -> u64 {
    let hash = hash.max(1);
    let whole = u64::from(hash.ilog2());
    // In [1, 2), with 63 fractional bits. Each squaring shifts the logarithm by one binary digit.
    let mut mantissa = u128::from(hash << hash.leading_zeros());
    let mut log2 = whole;
    for _ in 0..LOG2_BITS {
        mantissa = (mantissa * mantissa) >> 63;
        let digit = mantissa >> 64;
        mantissa >>= digit;
        log2 = (log2 << 1) | digit as u64;
    }
    (64 << LOG2_BITS) - log2
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
