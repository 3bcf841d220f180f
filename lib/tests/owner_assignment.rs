//! Assignment of upstreams to entry instances.

use almondhead_lib::ownership::OwnedUpstream;
use almondhead_lib::ownership::assign_owners;

fn names(prefix: &str, count: usize) -> Vec<String> {
    (0..count)
        .map(|index| format!("{prefix}-{index}"))
        .collect()
}

fn owned(names: &[String], slots: u32) -> Vec<OwnedUpstream<'_>> {
    names
        .iter()
        .map(|name| OwnedUpstream { name, slots })
        .collect()
}

fn refs(names: &[String]) -> Vec<&str> {
    names.iter().map(String::as_str).collect()
}

fn moved_share(before: &[usize], after: &[usize]) -> f64 {
    let moved = before
        .iter()
        .zip(after)
        .filter(|(left, right)| left != right);
    moved.count() as f64 / before.len() as f64
}

/// The slots owned by each instance.
fn owned_slots(upstreams: &[OwnedUpstream<'_>], owners: &[usize], instances: usize) -> Vec<u32> {
    let mut slots = vec![0; instances];
    for (upstream, owner) in upstreams.iter().zip(owners) {
        slots[*owner] += upstream.slots;
    }
    slots
}

#[test]
fn nobody_owns_without_instances() {
    let upstreams = names("upstream", 3);
    assert!(assign_owners(&owned(&upstreams, 8), &[]).is_empty());
    assert!(assign_owners(&[], &["entry"]).is_empty());
}

#[test]
fn slots_are_nearly_even() {
    for (upstream_count, instance_count) in [(1, 7), (12, 2), (50, 7), (140, 20), (350, 20)] {
        let upstreams = names("upstream", upstream_count);
        let instances = names("entry", instance_count);
        let equal = owned(&upstreams, 8);
        let owners = assign_owners(&equal, &refs(&instances));
        let slots = owned_slots(&equal, &owners, instance_count);
        let (least, most) = (slots.iter().min(), slots.iter().max());
        let least = least.copied().unwrap_or(0);
        assert!(most <= Some(&(least + 8)), "{upstream_count}: {slots:?}");
    }
}

#[test]
fn uneven_upstreams_stay_under_the_cap() {
    let upstreams = names("upstream", 50);
    let instances = names("entry", 7);
    let mut uneven = owned(&upstreams, 4);
    for upstream in uneven.iter_mut().step_by(5) {
        upstream.slots = 32;
    }
    let owners = assign_owners(&uneven, &refs(&instances));
    let total: u32 = uneven.iter().map(|upstream| upstream.slots).sum();
    for slots in owned_slots(&uneven, &owners, 7) {
        assert!(
            slots <= total / 7 + 32,
            "one instance owns {slots} of {total} slots"
        );
    }
}

#[test]
fn order_of_names_does_not_matter() {
    let upstreams = names("upstream", 50);
    let instances = names("entry", 7);
    let mut pairs = owned(&upstreams, 8);
    let mut entries = refs(&instances);
    let owners = assign_owners(&pairs, &entries);
    let names: Vec<&str> = owners.iter().map(|owner| entries[*owner]).collect();
    pairs.reverse();
    entries.rotate_left(3);
    let owners = assign_owners(&pairs, &entries);
    let other_names: Vec<&str> = owners.iter().rev().map(|owner| entries[*owner]).collect();
    assert_eq!(names, other_names);
}

#[test]
fn few_upstreams_change_owner() {
    // Numbers of upstreams and instances, and the maximum share of upstreams that change owner when
    // an instance joins or leaves.
    let cases = [(12, 2, 0.5), (50, 6, 0.3), (50, 7, 0.3), (350, 20, 0.15)];
    for (upstream_count, instance_count, max_share) in cases {
        for site in 0..20 {
            let upstreams = names(&format!("upstream-{site}"), upstream_count);
            let instances = names(&format!("entry-{site}"), instance_count + 1);
            let upstreams = owned(&upstreams, 8);
            let before = assign_owners(&upstreams, &refs(&instances[..instance_count]));
            let after = assign_owners(&upstreams, &refs(&instances));
            let share = moved_share(&before, &after);
            assert!(
                share <= max_share,
                "{upstream_count}, {instance_count}: {share}"
            );
        }
    }
}
