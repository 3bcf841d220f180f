//! Which entry instance owns which upstream.

use almondhead_macros::value;
use xxhash_rust::xxh3::xxh3_64;

/// An upstream to be owned.
#[value]
#[derive(Copy)]
pub struct OwnedUpstream<'a> {
    /// The unique name.
    pub name: &'a str,
    /// How many tasks it runs at a time.
    pub slots: u32,
}

/// The index of the owning instance of each upstream, in the order of `upstreams`.
///
/// The result depends on the names alone, not on their order; it is empty without instances.
pub fn assign_owners(upstreams: &[OwnedUpstream<'_>], instances: &[&str]) -> Vec<usize> {
    if instances.is_empty() {
        return Vec::new();
    }
    upstreams
        .iter()
        .map(|upstream| {
            (0..instances.len())
                .max_by_key(|index| {
                    xxh3_64(format!("{}\0{}", upstream.name, instances[*index]).as_bytes())
                })
                .unwrap_or(0)
        })
        .collect()
}
